"""Membership of entry instances: decides who is live from connections and the instance list.

A peer with a silent connection counts as dead only after an attempt to reconnect has failed.
The instance list adds peers to connect to; it never removes a connected peer.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import singledispatchmethod

from bergamothill.connection.instancelist import Instance, InstanceKind, InstanceState
from bergamothill.connection.liveness import LinkLiveness, LivenessBounds
from bergamothill.ids import EntryInstanceId, Incarnation, ZoneName
from bergamothill.process.membershipevents import (
    CloseLink,
    Dial,
    DialFailed,
    Effect,
    Event,
    GoodbyeReceived,
    InstancesListed,
    LinkClosed,
    LinkDataReceived,
    LinkDataSent,
    LinkId,
    LinkOpened,
    PeerChanged,
    PeerStatus,
    SendHeartbeat,
    Tick,
)
from bergamothill.process.rendezvous import rendezvous

__all__ = ["Membership", "PeerView"]

RELAYS_PER_ZONE_PAIR = 2
HIGHER_ID_DIAL_DELAY_MS = 600
SIMULTANEOUS_DIAL_WINDOW_MS = 2_000
UNNEEDED_LINK_CLOSE_MS = 15_000
REDIAL_BACKOFF_MIN_MS = 500
REDIAL_BACKOFF_MAX_MS = 4_000


@dataclass(frozen=True, slots=True)
class PeerView:
    """Snapshot of the state of a peer.

    :param link: connection in use; None without a connection
    :param since_ms: time of the last status change
    """

    peer: EntryInstanceId
    zone: ZoneName
    address: str
    incarnation: Incarnation
    status: PeerStatus
    link: LinkId | None
    since_ms: int


@dataclass(slots=True)
class _Link:
    link: LinkId
    dialed: bool
    opened_ms: int
    liveness: LinkLiveness


@dataclass(slots=True)
class _Peer:
    peer: EntryInstanceId
    zone: ZoneName
    address: str
    incarnation: Incarnation
    status: PeerStatus
    since_ms: int
    listed: bool = False
    links: list[_Link] = field(default_factory=list)
    dialing: bool = False
    failed_dials: int = 0
    next_dial_ms: int = 0


class Membership:
    """Membership state machine of one entry instance; not thread-safe.

    :param entry_id: this entry instance
    :param zone: its availability zone
    :param incarnation: its incarnation
    :param bounds: heartbeat interval and timeouts of each connection
    """

    def __init__(
        self,
        entry_id: EntryInstanceId,
        zone: ZoneName,
        incarnation: Incarnation,
        bounds: LivenessBounds = LivenessBounds(),  # noqa: B008 - immutable
    ) -> None:
        self.entry_id = entry_id
        self.zone = zone
        self.incarnation = incarnation
        self._bounds = bounds
        self._peers: dict[EntryInstanceId, _Peer] = {}
        self._link_owners: dict[LinkId, tuple[_Peer, _Link]] = {}
        self._last_tick_ms: int | None = None
        self._relay_peers: frozenset[EntryInstanceId] | None = None

    def handle(self, event: Event, now_ms: int) -> tuple[Effect, ...]:
        """Process one event.

        :param event: event to process
        :param now_ms: current time on the clock of this process, in milliseconds
        :returns: effects to perform, in order
        """
        effects: list[Effect] = []
        self._handle_event(event, now_ms, effects)
        return tuple(effects)

    def live_peers(self) -> tuple[EntryInstanceId, ...]:
        """Return the live entry instances of this zone, including this one, sorted by name."""
        live = [self.entry_id]
        live += [p.peer for p in self._peers.values() if self._is_live(p, self.zone)]
        return tuple(sorted(live))

    def peers(self) -> tuple[PeerView, ...]:
        """Return all known peers, sorted by name."""
        return tuple(self._view(self._peers[name]) for name in sorted(self._peers))

    def link_of(self, peer: EntryInstanceId) -> LinkId | None:
        """Return the connection to a peer, or None without one."""
        record = self._peers.get(peer)
        return record.links[-1].link if record is not None and record.links else None

    @staticmethod
    def _is_live(peer: _Peer, zone: ZoneName) -> bool:
        return peer.zone == zone and peer.status is PeerStatus.LIVE

    @staticmethod
    def _view(peer: _Peer) -> PeerView:
        return PeerView(
            peer=peer.peer,
            zone=peer.zone,
            address=peer.address,
            incarnation=peer.incarnation,
            status=peer.status,
            link=peer.links[-1].link if peer.links else None,
            since_ms=peer.since_ms,
        )

    @singledispatchmethod
    def _handle_event(self, event: Event, now_ms: int, effects: list[Effect]) -> None:
        raise TypeError(f"unknown membership event: {type(event).__name__}")

    @_handle_event.register
    def _(self, event: InstancesListed, now_ms: int, effects: list[Effect]) -> None:
        entries = [i for i in event.instances if i.kind is InstanceKind.ENTRY]
        listed_peers = {EntryInstanceId(i.instance_id): i for i in entries}
        listed_peers.pop(self.entry_id, None)
        for peer, instance in listed_peers.items():
            self._apply_listed_peer(peer, instance, now_ms, effects)
        for record in list(self._peers.values()):
            record.listed = record.peer in listed_peers
            if not record.listed and not record.links and not record.dialing:
                del self._peers[record.peer]
        self._relay_peers = None

    def _apply_listed_peer(
        self, peer: EntryInstanceId, instance: Instance, now_ms: int, effects: list[Effect]
    ) -> None:
        record = self._peers.get(peer)
        if record is None or instance.incarnation > record.incarnation:
            record = self._add_listed_record(peer, instance, now_ms, effects)
        if not record.links:
            record.address = instance.address
        if instance.incarnation == record.incarnation and instance.state is InstanceState.LEAVING:
            self._set_status(record, PeerStatus.LEFT, now_ms, effects)

    def _add_listed_record(
        self, peer: EntryInstanceId, instance: Instance, now_ms: int, effects: list[Effect]
    ) -> _Peer:
        """Create the record of a listed incarnation; connections to an older one are closed."""
        self._close_links(peer, effects)
        record = _Peer(
            peer,
            instance.zone,
            instance.address,
            instance.incarnation,
            PeerStatus.UNKNOWN,
            now_ms,
            listed=True,
        )
        if self.entry_id > peer:
            record.next_dial_ms = now_ms + HIGHER_ID_DIAL_DELAY_MS
        self._peers[peer] = record
        return record

    def _close_links(self, peer: EntryInstanceId, effects: list[Effect]) -> None:
        record = self._peers.get(peer)
        for link in record.links if record is not None else ():
            self._link_owners.pop(link.link, None)
            effects.append(CloseLink(link.link))

    @_handle_event.register
    def _(self, event: LinkOpened, now_ms: int, effects: list[Effect]) -> None:
        record = self._peers.get(event.peer)
        if record is not None and event.incarnation < record.incarnation:
            effects.append(CloseLink(event.link))
            return
        if record is None or event.incarnation > record.incarnation:
            record = self._add_connected_record(event, now_ms, effects)
        if event.dialed:
            record.dialing = False
        record.address = event.address
        record.failed_dials = 0
        self._add_link(record, event, now_ms, effects)
        if record.status is not PeerStatus.LEFT:
            self._set_status(record, PeerStatus.LIVE, now_ms, effects)

    def _add_connected_record(self, event: LinkOpened, now_ms: int, effects: list[Effect]) -> _Peer:
        self._close_links(event.peer, effects)
        record = _Peer(
            event.peer,
            event.zone,
            event.address,
            event.incarnation,
            PeerStatus.UNKNOWN,
            now_ms,
        )
        self._peers[event.peer] = record
        self._relay_peers = None
        return record

    def _add_link(
        self, record: _Peer, event: LinkOpened, now_ms: int, effects: list[Effect]
    ) -> None:
        """Keep the newest connection; after simultaneous dials, the one dialed by the lower id."""
        link = _Link(event.link, event.dialed, now_ms, LinkLiveness(self._bounds, now_ms))
        for existing in list(record.links):
            if self._existing_link_wins(record.peer, existing, link, now_ms):
                effects.append(CloseLink(link.link))
                return
            self._remove_link(record, existing)
            effects.append(CloseLink(existing.link))
        record.links.append(link)
        self._link_owners[link.link] = (record, link)

    def _existing_link_wins(
        self, peer: EntryInstanceId, existing: _Link, new: _Link, now_ms: int
    ) -> bool:
        if (
            existing.dialed == new.dialed
            or now_ms - existing.opened_ms > SIMULTANEOUS_DIAL_WINDOW_MS
        ):
            return False
        return existing.dialed == (self.entry_id < peer)

    def _remove_link(self, record: _Peer, link: _Link) -> None:
        record.links.remove(link)
        self._link_owners.pop(link.link, None)

    @_handle_event.register
    def _(self, event: LinkDataReceived, now_ms: int, effects: list[Effect]) -> None:
        owner = self._link_owners.get(event.link)
        if owner is not None:
            owner[1].liveness.record_received(now_ms)

    @_handle_event.register
    def _(self, event: LinkDataSent, now_ms: int, effects: list[Effect]) -> None:
        owner = self._link_owners.get(event.link)
        if owner is not None:
            owner[1].liveness.record_sent(now_ms)

    @_handle_event.register
    def _(self, event: LinkClosed, now_ms: int, effects: list[Effect]) -> None:
        owner = self._link_owners.get(event.link)
        if owner is None:
            return
        record, link = owner
        self._remove_link(record, link)
        if not record.links and self._needs_link(record):
            self._dial(record, effects)

    @_handle_event.register
    def _(self, event: DialFailed, now_ms: int, effects: list[Effect]) -> None:
        record = self._peers.get(event.peer)
        if record is None:
            return
        record.dialing = False
        if any(not link.liveness.is_silent(now_ms) for link in record.links):
            return
        for link in list(record.links):
            self._remove_link(record, link)
            effects.append(CloseLink(link.link))
        record.failed_dials += 1
        backoff_ms = min(
            REDIAL_BACKOFF_MAX_MS, REDIAL_BACKOFF_MIN_MS << min(record.failed_dials - 1, 8)
        )
        record.next_dial_ms = now_ms + backoff_ms
        if record.status is not PeerStatus.LEFT:
            self._set_status(record, PeerStatus.DEAD, now_ms, effects)

    @_handle_event.register
    def _(self, event: GoodbyeReceived, now_ms: int, effects: list[Effect]) -> None:
        record = self._peers.get(event.peer)
        if record is not None and record.incarnation == event.incarnation:
            self._set_status(record, PeerStatus.LEFT, now_ms, effects)

    @_handle_event.register
    def _(self, event: Tick, now_ms: int, effects: list[Effect]) -> None:
        last_tick_ms = self._last_tick_ms
        self._last_tick_ms = now_ms
        was_paused = last_tick_ms is not None and now_ms - last_tick_ms > self._bounds.pause_ms
        for record in self._peers.values():
            for link in tuple(record.links):
                if was_paused:
                    link.liveness.record_pause(now_ms)
                self._check_link(record, link, now_ms, effects)
            if not record.links and now_ms >= record.next_dial_ms and self._needs_link(record):
                self._dial(record, effects)

    def _check_link(self, record: _Peer, link: _Link, now_ms: int, effects: list[Effect]) -> None:
        if (
            link.dialed
            and now_ms - link.opened_ms > UNNEEDED_LINK_CLOSE_MS
            and not self._needs_link(record)
        ):
            self._remove_link(record, link)
            effects.append(CloseLink(link.link))
            return
        if link.liveness.is_heartbeat_due(now_ms):
            link.liveness.record_sent(now_ms)
            effects.append(SendHeartbeat(link.link))
        if link.liveness.is_silent(now_ms):
            self._dial(record, effects)

    def _dial(self, record: _Peer, effects: list[Effect]) -> None:
        if not record.dialing:
            record.dialing = True
            effects.append(Dial(record.peer, record.address))

    def _set_status(
        self, record: _Peer, status: PeerStatus, now_ms: int, effects: list[Effect]
    ) -> None:
        if record.status is status:
            return
        record.status = status
        record.since_ms = now_ms
        self._relay_peers = None
        effects.append(PeerChanged(record.peer, status))

    def _needs_link(self, record: _Peer) -> bool:
        if record.status is PeerStatus.LEFT:
            return False
        if record.zone == self.zone:
            return True
        if self._relay_peers is None:
            self._relay_peers = frozenset(self._relay_targets())
        return record.peer in self._relay_peers

    def _relay_targets(self) -> Iterable[EntryInstanceId]:
        """Yield the peers of other zones to which this instance maintains a connection."""
        by_zone: dict[ZoneName, list[EntryInstanceId]] = {}
        for record in self._peers.values():
            if record.zone != self.zone and record.status is not PeerStatus.LEFT:
                by_zone.setdefault(record.zone, []).append(record.peer)
        local_peers = self.live_peers()
        for zone, peers in by_zone.items():
            zone_pair = "|".join(sorted((zone, self.zone)))
            if self.entry_id in rendezvous(zone_pair, local_peers)[:RELAYS_PER_ZONE_PAIR]:
                yield from self._reachable_first(zone_pair, peers)[:RELAYS_PER_ZONE_PAIR]

    def _reachable_first(
        self, zone_pair: str, peers: list[EntryInstanceId]
    ) -> tuple[EntryInstanceId, ...]:
        ranked = rendezvous(zone_pair, peers)
        dead = tuple(p for p in ranked if self._peers[p].status is PeerStatus.DEAD)
        return tuple(p for p in ranked if p not in dead) + dead
