"""Exchange of loads by zone: what one instance sends, to whom, and what it counts; no I/O.

Inside a zone each instance reports to all, or to the two relays if the zone is large. Relays send
the sum of their zone to those of the other zones, which pass it on inside theirs.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatchmethod

from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId, ServerId, ZoneName
from bergamothill.process.loadreport import (
    KeyedLoads,
    LoadReport,
    MemberKey,
    PeerLoads,
    ServerKey,
    ServerLoad,
    encode_report,
    keyed_loads,
    member_key,
)
from bergamothill.process.registry import Peer
from bergamothill.process.zonepasses import Outgoing, ZonePasses
from bergamothill.process.zonerelays import (
    SILENCE_MS,
    ZoneRelays,
)
from bergamothill.process.zonereport import (
    ZoneForward,
    ZoneHello,
    ZoneMessage,
    ZonePass,
    ZoneReport,
    ZoneSum,
    append_zone,
    decode_zone_message,
    encode_zone_message,
    layout_of,
    pack_loads,
)
from bergamothill.process.zonesums import STALE_MS, ZoneSums

__all__ = ["Outgoing", "ZoneLoads"]

REPORT_INTERVAL_MS = 50  # half the time that an engine needs for the fastest prompt
INTERVAL_PER_PEER_MS = 4  # limits one instance to 250 datagrams per second
DIRECT_KEEPALIVE_MS = 400

MIN_HOP_INTERVAL_MS = 25
MAX_HOP_INTERVAL_MS = 90
"""Three hops, to a relay, between relays and from a relay, take less than 300 ms."""

SECOND_RELAY_FACTOR = 2
"""The second relay's sums count only when one of the first is lost or late."""

SUM_INTERVAL_MS = 75
"""With the report interval less than that of 33 instances that all report to each other."""

LAYOUT_REPEATS = 2
SUMS_PER_LAYOUT = 8
"""One of so many sums has names in full, and the first two with new names or other receivers."""

SERVER_TTL_MS = 5_000

KEEPALIVE_MS = 200
RELAY_KEEPALIVE_MS = 100
"""Three of a relay's datagrams in a row may be lost before it is taken for silent."""

PART_TTL_MS = 600
"""Age at which a relay drops a report; a sum that contains it lives for 400 ms at least."""

PAUSE_MS = SILENCE_MS
DISCARD_MS = 100
"""Time after a pause in which datagrams are read that arrived during it."""

OWN_REPORTS_MS = 3_000
HEARD_INTERVAL_MS = 1_000
SEQUENCE_MASK = 0xFFFFFFFF
MAX_NAMES = 4_096


@dataclass(frozen=True, slots=True)
class _Part:
    sequence_number: int
    received_ms: int
    loads: KeyedLoads


_Content = tuple[int, dict[MemberKey, int], KeyedLoads]
"""Age of the oldest part of a sum, sequence number of each, and the loads."""


class ZoneLoads:
    """What one instance reports and counts.

    :param entry: this entry instance
    :param zone: its zone; None if the settings name none, so that it reports to all
    :param loads: adds up the loads of the others
    :param sequence_number: first sequence number, above those of an earlier process
    :param link_mbps: bandwidth of the link of its machine, in Mbit/s; 0 if not known
    """

    def __init__(
        self,
        entry: EntryInstanceId,
        zone: ZoneName | None,
        loads: PeerLoads,
        sequence_number: int,
        link_mbps: int = 0,
    ) -> None:
        self._entry = entry
        self._zone = zone
        self._loads = loads
        self._sequence_number = sequence_number
        self._roles = ZoneRelays(entry, zone)
        self._roles.own_link_mbps = link_mbps
        self._sums = ZoneSums(loads, self._own_part)
        self._peers: tuple[EntryInstanceId, ...] = ()
        self.passes = ZonePasses(zone, self._roles, self._sums)
        self._names: dict[MemberKey, EntryInstanceId] = {}
        self._parts: dict[EntryInstanceId, _Part] = {}
        self._own_loads: KeyedLoads = {}
        self._own_reports: deque[tuple[int, int, KeyedLoads]] = deque()
        self._servers_ms: dict[ServerKey, int] = {}
        self._sent_layouts: deque[tuple[int, tuple[EntryInstanceId, ...]]] = deque(
            maxlen=LAYOUT_REPEATS
        )
        self._sums_sent = 0
        self._pending: dict[EntryInstanceId, tuple[int, bytes]] = {}
        self._direct_ms = self._report_ms = self._sum_ms = self._forward_ms = 0
        self._direct_sent = self._report_sent = self._sum_sent = _Sent()
        self._zone_sum_sent = _Sent()
        self._forwarded_ms = 0
        self._ticked_ms: int | None = None
        self._discard_until_ms = 0
        self._heard_ms = 0
        self.relays: tuple[EntryInstanceId, ...] = ()
        """Relays of the own zone as of the last tick; empty while all report to each other."""

    # What is known.

    @property
    def is_zoned(self) -> bool:
        """Whether loads are exchanged by zone."""
        return self._roles.is_zoned

    @property
    def is_relay(self) -> bool:
        """Whether this instance is a relay of its zone."""
        return self._entry in self.relays

    def set_peers(self, peers: tuple[Peer, ...], now_ms: int) -> None:
        """Set the other registered instances."""
        self._peers = tuple(peer.entry for peer in peers)
        self._roles.set_peers(peers, now_ms)
        # Instances that are no longer registered are still heard in sums.
        if len(self._names) > MAX_NAMES:
            self._names.clear()
        self._names.update((member_key(entry), entry) for entry in self._peers)

    def on_report(
        self, report: LoadReport, zone: ZoneName | None, now_ms: int
    ) -> tuple[Outgoing, ...]:
        """Handle a report of the former form.

        :param zone: zone of the sender, which asks for a hello; None for a former build
        """
        self._names[member_key(report.entry)] = report.entry
        self._loads.add_report(report, now_ms)
        if zone is None:
            self._roles.record_former_build(report.entry)
            return ()
        self._roles.record_capable(report.entry, now_ms)
        if self._zone is None or not self._roles.is_registered(report.entry):
            return ()
        hello = encode_zone_message(ZoneHello(self._entry, self._zone))
        return (Outgoing(hello, (report.entry,)),)

    def on_message(
        self, message: ZoneMessage, datagram: bytes, now_ms: int
    ) -> tuple[Outgoing, ...]:
        """Handle a message.

        :param datagram: its encoded form
        """
        if self.is_discarding(now_ms):
            return ()
        if message.entry:
            self._names[member_key(message.entry)] = message.entry
            self._roles.record_capable(message.entry, now_ms)
        return self._on_message(message, datagram, now_ms)

    def is_discarding(self, now_ms: int) -> bool:
        """Return whether datagrams may have waited during a pause of this process."""
        is_paused = self._ticked_ms is not None and now_ms - self._ticked_ms > PAUSE_MS
        return is_paused or now_ms < self._discard_until_ms

    @singledispatchmethod
    def _on_message(
        self, message: ZoneMessage, datagram: bytes, now_ms: int
    ) -> tuple[Outgoing, ...]:
        raise TypeError(type(message).__name__)

    @_on_message.register
    def _(self, message: ZoneHello, _datagram: bytes, _now_ms: int) -> tuple[Outgoing, ...]:
        return ()

    @_on_message.register
    def _(self, message: ZoneReport, _datagram: bytes, now_ms: int) -> tuple[Outgoing, ...]:
        self._loads.add_loads(message.entry, message.sequence_number, message.loads, now_ms)
        known = self._parts.get(message.entry)
        if known is not None and message.sequence_number <= known.sequence_number:
            return ()
        if message.zone == self._zone:
            self._parts[message.entry] = _Part(message.sequence_number, now_ms, message.loads)
        return ()

    @_on_message.register
    def _(self, message: ZoneSum, datagram: bytes, now_ms: int) -> tuple[Outgoing, ...]:
        self._roles.record_relay(message.entry, now_ms)
        if not self._sums.add(message, 0, now_ms) or message.zone == self._zone:
            return ()
        self._pending[message.entry] = (now_ms, datagram)
        return self._forward(now_ms) if self._roles.all_report else ()

    @_on_message.register
    def _(self, message: ZoneForward, _datagram: bytes, now_ms: int) -> tuple[Outgoing, ...]:
        self._roles.record_relay(message.entry, now_ms)
        for held_ms, encoded in message.sums:
            try:
                zone_sum = decode_zone_message(encoded)
            except ProtocolError:
                continue
            if isinstance(zone_sum, ZoneSum):
                self._sums.add(zone_sum, held_ms, now_ms)
        return ()

    @_on_message.register
    def _(self, message: ZonePass, _datagram: bytes, _now_ms: int) -> tuple[Outgoing, ...]:
        return self.passes.on_pass(message)

    def _own_part(self, zone_sum: ZoneSum, now_ms: int) -> KeyedLoads | None:
        """Return this instance's part of a sum; None if its own reports tell more."""
        if zone_sum.zone != self._zone:
            return {}
        fresh = sum(now_ms - part.received_ms <= STALE_MS for part in self._parts.values())
        if len(zone_sum.members) <= fresh + 1:
            return None
        own = member_key(self._entry)
        if own not in zone_sum.members or not zone_sum.member_sequences:
            return {}
        sequence = zone_sum.member_sequences[zone_sum.members.index(own)]
        for number, _, loads in self._own_reports:
            if number & SEQUENCE_MASK == sequence:
                return loads
        return {}  # The part of an earlier process of this instance, which has ended.

    def take_heard(self, now_ms: int) -> tuple[EntryInstanceId, ...]:
        """Return the instances that are in the sums, once each second."""
        if now_ms - self._heard_ms < HEARD_INTERVAL_MS:
            return ()
        self._heard_ms = now_ms
        names = (self._names.get(key) for key in self._sums.covered)
        return tuple(name for name in names if name is not None and name != self._entry)

    # What is sent.

    @property
    def _hop_interval_ms(self) -> int:
        if self._roles.all_report:
            return REPORT_INTERVAL_MS
        # Two hops take no longer than one interval if all of the zone report to each other.
        hop_ms = INTERVAL_PER_PEER_MS * (self._roles.zone_size - 1) // 2
        return min(MAX_HOP_INTERVAL_MS, max(MIN_HOP_INTERVAL_MS, hop_ms))

    def wait_ms(self, now_ms: int) -> int:
        """Return the time until the next tick is due."""
        due_ms = min(self._direct_ms, now_ms + REPORT_INTERVAL_MS)
        if self.is_zoned:
            due_ms = min(due_ms, self._report_ms)
        if self.is_relay:
            due_ms = min(due_ms, self._sum_ms, self._forward_ms)
        return max(1, due_ms - now_ms)

    def tick(self, own_loads: Mapping[ServerId, ServerLoad], now_ms: int) -> list[Outgoing]:
        """Return what is due.

        :param own_loads: loads of this instance
        """
        if self._ticked_ms is not None and now_ms - self._ticked_ms > PAUSE_MS:
            self._discard_until_ms = now_ms + DISCARD_MS
            self._parts.clear()
            self._pending.clear()
            self._roles.restart_watch(now_ms)
        self._ticked_ms = now_ms
        self._loads.expire_reports(now_ms)
        for entry, part in list(self._parts.items()):
            if now_ms - part.received_ms > PART_TTL_MS:
                del self._parts[entry]
        self._sums.choose(now_ms)
        self._own_loads = keyed_loads(own_loads)
        outgoing = self._direct_reports(own_loads, now_ms)
        if not self.is_zoned:
            self.relays = ()
            return outgoing
        self.relays = self._roles.relays(now_ms)
        outgoing += self._zone_reports(now_ms)
        if not self.is_relay:
            self._pending.clear()
        elif now_ms >= self._discard_until_ms:
            outgoing += self._zone_sums(now_ms)
        return outgoing

    def _direct_reports(
        self, own_loads: Mapping[ServerId, ServerLoad], now_ms: int
    ) -> list[Outgoing]:
        """Return the report of the former form to peers that do not exchange loads by zone."""
        receivers = self._roles.direct if self.is_zoned else self._peers
        if now_ms < self._direct_ms:
            return []
        interval_ms = max(REPORT_INTERVAL_MS, INTERVAL_PER_PEER_MS * len(receivers))
        self._direct_ms = now_ms + interval_ms
        loads = dict(own_loads)
        if not receivers or not self._direct_sent.is_due(loads, DIRECT_KEEPALIVE_MS, now_ms):
            return []
        self._direct_sent = _Sent(loads, now_ms)
        self._sequence_number += 1
        report = encode_report(LoadReport(self._entry, self._sequence_number, loads))
        if self.is_zoned:
            report = append_zone(report, self._zone)
        return [Outgoing(report, receivers)]

    def _zone_reports(self, now_ms: int) -> list[Outgoing]:
        if now_ms < self._report_ms:
            return []
        self._report_ms = now_ms + self._hop_interval_ms
        loads = self._own_loads
        if not self._report_sent.is_due(loads, KEEPALIVE_MS, now_ms):
            return []
        self._report_sent = _Sent(loads, now_ms)
        self._sequence_number += 1
        self._own_reports.append((self._sequence_number, now_ms, loads))
        while now_ms - self._own_reports[0][1] > OWN_REPORTS_MS:
            self._own_reports.popleft()
        has_relay = any(
            relay == self._entry or self._roles.is_heard(relay, now_ms) for relay in self.relays
        )
        receivers = self._roles.members
        if has_relay and not self._roles.all_report:
            receivers = tuple(relay for relay in self.relays if relay != self._entry)
        if not receivers:
            return []
        report = ZoneReport(self._entry, self._zone, self._sequence_number, loads)
        return [Outgoing(encode_zone_message(report), receivers)]

    def _zone_sums(self, now_ms: int) -> list[Outgoing]:
        outgoing = []
        is_sum_due, is_forward_due = now_ms >= self._sum_ms, now_ms >= self._forward_ms
        sums_own_zone = is_forward_due and not self._roles.all_report
        if not (is_sum_due or is_forward_due):
            return outgoing
        content = self._sum_content(now_ms) if is_sum_due or sums_own_zone else None
        factor = 1 if self.relays[0] == self._entry else SECOND_RELAY_FACTOR
        if is_sum_due:
            self._sum_ms = now_ms + factor * max(SUM_INTERVAL_MS, self._hop_interval_ms)
            outgoing += self._sum_for_other_zones(content, now_ms)
        if is_forward_due:
            self._forward_ms = now_ms + factor * self._hop_interval_ms
            if sums_own_zone:
                self._add_sum_for_own_zone(content, now_ms)
            if self._pending or now_ms - self._forwarded_ms >= RELAY_KEEPALIVE_MS:
                outgoing += self._forward(now_ms)
        return outgoing

    def _sum_for_other_zones(self, content: _Content, now_ms: int) -> list[Outgoing]:
        zones = self._roles.other_zones
        if not zones or not self._sum_sent.is_due(content[1:], RELAY_KEEPALIVE_MS, now_ms):
            return []
        self._sum_sent = _Sent(content[1:], now_ms)
        receivers = tuple(
            relay for zone in zones for relay in self._roles.targets(zone, self.relays, now_ms)
        )
        zone_sum = self._make_sum(content, is_for_own_zone=False)
        is_known = set(self._sent_layouts) == {(zone_sum.layout, receivers)}
        is_known = is_known and len(self._sent_layouts) == LAYOUT_REPEATS
        self._sent_layouts.append((zone_sum.layout, receivers))
        self._sums_sent += 1
        if is_known and self._sums_sent % SUMS_PER_LAYOUT:
            zone_sum = zone_sum.without_layout
        return [Outgoing(encode_zone_message(zone_sum), receivers)]

    def _add_sum_for_own_zone(self, content: _Content, now_ms: int) -> None:
        if self._zone_sum_sent.is_due(content[1:], RELAY_KEEPALIVE_MS, now_ms):
            self._zone_sum_sent = _Sent(content[1:], now_ms)
            encoded = encode_zone_message(self._make_sum(content, is_for_own_zone=True))
            self._pending[self._entry] = (now_ms, encoded)

    def _sum_content(self, now_ms: int) -> _Content:
        """Return the age of the oldest part, the sequence number of each, and the sum."""
        parts = {self._entry: _Part(0, now_ms, self._own_loads), **self._parts}
        # Servers stay in the sum for a while, so that its layout changes seldom.
        total: dict[ServerKey, ServerLoad] = {}
        for server, used_ms in list(self._servers_ms.items()):
            if now_ms - used_ms > SERVER_TTL_MS:
                del self._servers_ms[server]
            else:
                total[server] = ServerLoad()
        for part in parts.values():
            for server, load in part.loads.items():
                known = total.get(server)
                if known is None:
                    known = total[server] = ServerLoad()
                known.add(load)
        for part in parts.values():
            self._servers_ms.update(dict.fromkeys(part.loads, now_ms))
        oldest_ms = min(part.received_ms for part in parts.values())
        numbers = {member_key(entry): part.sequence_number for entry, part in parts.items()}
        return now_ms - oldest_ms, numbers, total

    def _make_sum(self, content: _Content, *, is_for_own_zone: bool) -> ZoneSum:
        oldest_age_ms, numbers, total = content
        self._sequence_number += 1
        members = tuple(sorted(numbers))
        sequences = tuple(numbers[member] & SEQUENCE_MASK for member in members)
        servers, columns = pack_loads(dict(sorted(total.items())))
        return ZoneSum(
            self._entry,
            self._zone,
            self._sequence_number,
            oldest_age_ms,
            layout_of(members, servers),
            members,
            sequences if is_for_own_zone else (),
            servers,
            columns,
        )

    def _forward(self, now_ms: int) -> tuple[Outgoing, ...]:
        """Return the sums that were received or made since the last forward."""
        self._forwarded_ms = now_ms
        members = self._roles.members
        sums = tuple((now_ms - at_ms, encoded) for at_ms, encoded in self._pending.values())
        self._pending.clear()
        if not members:
            return ()
        return (Outgoing(encode_zone_message(ZoneForward(self._entry, sums)), members),)


class _Sent:
    """What was sent last, and when."""

    def __init__(self, content: object = None, sent_ms: int | None = None) -> None:
        self._content = content
        self._sent_ms = sent_ms

    def is_due(self, content: object, keepalive_ms: int, now_ms: int) -> bool:
        """Return whether content differs from what was sent, or is to be sent again."""
        is_old = self._sent_ms is None or now_ms - self._sent_ms >= keepalive_ms
        return is_old or content != self._content
