"""Which instances relay loads between zones; no I/O and no clock.

Each instance ranks those of a zone by their links, then by rendezvous hashing. The first two that
are not silent relay.
Views may differ for a while: a third relay costs datagrams, and never counts a load twice.
"""

from __future__ import annotations

from collections.abc import Iterable

from bergamothill.ids import EntryInstanceId, ZoneName
from bergamothill.process.machineranking import rank_by_link
from bergamothill.process.registry import Peer

__all__ = ["MAX_DIRECT_INSTANCES", "RELAYS", "SILENCE_MS", "ZoneRelays"]

RELAYS = 2
MAX_DIRECT_INSTANCES = 8
"""Instances of a deployment that all report to each other, and of a zone that do so."""

FIRST_TARGETS = 4
"""Instances of another zone that are tried while none of its relays is heard."""

SILENCE_MS = 400
"""Time after which a relay that is not heard is replaced."""

FORGET_MS = 10_000
"""Time for which an instance that is not registered is known to understand the datagrams."""


class ZoneRelays:
    """Relays of all zones as one instance sees them.

    :param own: this entry instance
    :param zone: its zone; None if the settings name none
    """

    def __init__(self, own: EntryInstanceId, zone: ZoneName | None) -> None:
        self._own = own
        self._has_zone = zone is not None
        self.zone = zone or ZoneName("")
        self._peers: dict[EntryInstanceId, Peer] = {}
        self._capable_ms: dict[EntryInstanceId, int] = {}
        self._ranked: dict[ZoneName, tuple[EntryInstanceId, ...]] = {self.zone: (own,)}
        self._alive_ms: dict[EntryInstanceId, int] = {}
        self._heard_ms: dict[EntryInstanceId, int] = {}
        self._watched_ms: dict[EntryInstanceId, int] = {}
        self._probes = 0

        self.own_link_mbps = 0
        """Bandwidth of the link of this instance's machine, as its registration names it."""

        self.direct: tuple[EntryInstanceId, ...] = ()
        """Peers that are told this instance's load by reports of the former form."""

        self.zone_size = 1
        """Registered instances of the own zone, including this one."""

    def set_peers(self, peers: Iterable[Peer], now_ms: int) -> None:
        """Set the other registered instances."""
        self._peers = {peer.entry: peer for peer in peers}
        for entry, known_ms in list(self._capable_ms.items()):
            if entry in self._peers:
                self._capable_ms[entry] = now_ms
            elif now_ms - known_ms > FORGET_MS:
                del self._capable_ms[entry]
        self._rank()

    def record_capable(self, entry: EntryInstanceId, now_ms: int) -> None:
        """Record a datagram from an instance that understands the exchange by zone."""
        is_new = entry not in self._capable_ms
        self._capable_ms[entry] = self._alive_ms[entry] = now_ms
        if is_new:
            self._rank()

    def record_former_build(self, entry: EntryInstanceId) -> None:
        """Record that an instance does not understand the exchange by zone."""
        if self._capable_ms.pop(entry, None) is not None:
            self._rank()

    def _rank(self) -> None:
        zones: dict[ZoneName, list[EntryInstanceId]] = {self.zone: [self._own]}
        direct = []
        size = 1
        for peer in self._peers.values():
            size += peer.zone == self.zone
            if peer.zone is None or peer.entry not in self._capable_ms:
                direct.append(peer.entry)
            else:
                zones.setdefault(peer.zone, []).append(peer.entry)
        self.zone_size = size
        self.direct = tuple(direct)
        self._ranked = {
            zone: rank_by_link(f"zone-relays/{zone}", {e: self._link_of(e) for e in entries})
            for zone, entries in zones.items()
        }
        known = {entry for entries in self._ranked.values() for entry in entries}
        for times in (self._alive_ms, self._heard_ms, self._watched_ms):
            for entry in times.keys() - known:
                del times[entry]

    def _link_of(self, entry: EntryInstanceId) -> int:
        return self.own_link_mbps if entry == self._own else self._peers[entry].link_mbps

    @property
    def is_zoned(self) -> bool:
        """Whether loads are exchanged by zone."""
        return self._has_zone and len(self._peers) >= MAX_DIRECT_INSTANCES

    @property
    def all_report(self) -> bool:
        """Whether the instances of the own zone report to each other, not only to relays."""
        return self.zone_size <= MAX_DIRECT_INSTANCES

    @property
    def other_zones(self) -> tuple[ZoneName, ...]:
        """Zones beside the own one, with instances that take part in the exchange by zone."""
        return tuple(zone for zone in self._ranked if zone != self.zone)

    @property
    def all_other_zones(self) -> tuple[ZoneName, ...]:
        """Zones of registered peers beside the own one, whatever their build."""
        zones = {peer.zone for peer in self._peers.values()} - {None, self.zone}
        return tuple(sorted(zones))

    @property
    def members(self) -> tuple[EntryInstanceId, ...]:
        """Peers of the own zone that take part in the exchange by zone."""
        return tuple(entry for entry in self._ranked[self.zone] if entry != self._own)

    def members_of(self, zone: ZoneName | None) -> tuple[EntryInstanceId, ...]:
        """Return all registered peers of a zone, whatever their build."""
        return tuple(peer.entry for peer in self._peers.values() if peer.zone == zone)

    def zone_of(self, entry: EntryInstanceId) -> ZoneName | None:
        """Return the zone of a registered peer that takes part in the exchange by zone."""
        peer = self._peers.get(entry)
        return peer.zone if peer is not None and entry in self._capable_ms else None

    def is_registered(self, entry: EntryInstanceId) -> bool:
        """Return whether a peer is registered, so that its address is known."""
        return entry in self._peers

    def record_relay(self, entry: EntryInstanceId, now_ms: int) -> None:
        """Record a datagram that only a relay sends, from the relay itself."""
        self._heard_ms[entry] = now_ms

    def is_heard(self, entry: EntryInstanceId, now_ms: int) -> bool:
        """Return whether a relay was heard lately."""
        heard_ms = self._heard_ms.get(entry)
        return heard_ms is not None and now_ms - heard_ms <= SILENCE_MS

    def relays(self, now_ms: int) -> tuple[EntryInstanceId, ...]:
        """Return the relays of the own zone, best first, with this instance if it is one."""
        chosen: list[EntryInstanceId] = []
        for entry in self._ranked[self.zone]:
            if entry == self._own or self._may_relay(entry, now_ms):
                chosen.append(entry)
                if len(chosen) == RELAYS:
                    break
        # One that leaves the first two gets the whole time again when it returns to them.
        for entry in self._watched_ms.keys() - set(chosen):
            if now_ms - self._watched_ms[entry] > FORGET_MS:
                del self._watched_ms[entry]
        return tuple(chosen)

    def _may_relay(self, entry: EntryInstanceId, now_ms: int) -> bool:
        """Return whether an instance is heard, or has not yet had the time to be heard."""
        if self.all_report and now_ms - self._alive_ms.get(entry, now_ms) > SILENCE_MS:
            return False
        if self.is_heard(entry, now_ms):
            self._watched_ms[entry] = now_ms
            return True
        return now_ms - self._watched_ms.setdefault(entry, now_ms) <= SILENCE_MS

    def restart_watch(self, now_ms: int) -> None:
        """Give all instances time to be heard, after a pause of this process."""
        for times in (self._alive_ms, self._watched_ms):
            times.update(dict.fromkeys(times, now_ms))

    def targets(
        self, zone: ZoneName, relays: tuple[EntryInstanceId, ...], now_ms: int
    ) -> tuple[EntryInstanceId, ...]:
        """Return the relays of another zone to which this relay sends.

        The first relays of two zones send to each other, and so do the second ones. Until one of
        the other zone is heard, its first four are tried and one more, in turn.

        :param relays: those of the own zone
        """
        ranked = self._ranked.get(zone, ())
        position = relays.index(self._own) if self._own in relays else 0
        paired = ranked[position : position + 1]
        if paired and self.is_heard(paired[0], now_ms):
            return paired
        heard = tuple(entry for entry in ranked if self.is_heard(entry, now_ms))
        if heard:
            # The one that is paired may start again.
            self._probes += 1
            return (*heard[:RELAYS], *(paired if self._probes % RELAYS else ()))
        rest = ranked[FIRST_TARGETS:]
        self._probes += 1
        probe = (rest[self._probes % len(rest)],) if rest else ()
        return (*ranked[:FIRST_TARGETS], *probe)
