"""Membership of entry instances: who is live, decided from connections and the instance list.

Silence on a connection never counts against the peer behind it: a new connection is opened, and
only its failure does. The instance list names candidates; it never removes a peer that answers.
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
    LinkHeard,
    LinkId,
    LinkOpened,
    LinkSent,
    PeerChanged,
    PeerStatus,
    SendHeartbeat,
    Tick,
)
from bergamothill.process.rendezvous import rendezvous

__all__ = ["Membership", "PeerView"]

RELAYS_PER_ZONE_PAIR = 2
SECOND_DIALER_DELAY_MS = 600
RACE_WINDOW_MS = 2_000
UNWANTED_LINK_MS = 15_000
REDIAL_MIN_MS = 500
REDIAL_MAX_MS = 4_000


@dataclass(frozen=True, slots=True)
class PeerView:
    """What is known of a peer.

    :param link: connection in use; None when there is none
    :param since_ms: instant of the last change of status
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
    failures: int = 0
    next_dial_ms: int = 0


class Membership:
    """State machine of one entry instance's membership; not safe for concurrent use.

    :param entry_id: this entry instance
    :param zone: its availability zone
    :param incarnation: its incarnation
    :param bounds: liveness bounds of each connection
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
        self._owner: dict[LinkId, tuple[_Peer, _Link]] = {}
        self._last_tick_ms: int | None = None
        self._wanted: frozenset[EntryInstanceId] | None = None

    def handle(self, event: Event, now_ms: int) -> tuple[Effect, ...]:
        """Take in one event.

        :param event: what happened
        :param now_ms: instant on the clock of this process
        :returns: what to do, in order
        """
        effects: list[Effect] = []
        self._on(event, now_ms, effects)
        return tuple(effects)

    def live_peers(self) -> tuple[EntryInstanceId, ...]:
        """Return the live entry instances of the zone, itself included, in name order."""
        live = [self.entry_id]
        live += [p.peer for p in self._peers.values() if self._is_live(p, self.zone)]
        return tuple(sorted(live))

    def live_elsewhere(self) -> tuple[EntryInstanceId, ...]:
        """Return the entry instances of other zones that are not known to be dead or gone."""
        gone = (PeerStatus.DEAD, PeerStatus.LEFT)
        others = (p for p in self._peers.values() if p.zone != self.zone)
        return tuple(sorted(p.peer for p in others if p.status not in gone))

    def peers(self) -> tuple[PeerView, ...]:
        """Return all known peers in name order."""
        return tuple(self._view(self._peers[name]) for name in sorted(self._peers))

    def link_of(self, peer: EntryInstanceId) -> LinkId | None:
        """Return the connection to use for a peer, or None."""
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
    def _on(self, event: Event, now_ms: int, effects: list[Effect]) -> None:
        raise TypeError(f"{type(event).__name__} is no event of membership")

    @_on.register
    def _(self, event: InstancesListed, now_ms: int, effects: list[Effect]) -> None:
        entries = [i for i in event.instances if i.kind is InstanceKind.ENTRY]
        named = {EntryInstanceId(i.instance_id): i for i in entries}
        named.pop(self.entry_id, None)
        for peer, instance in named.items():
            self._take_listed(peer, instance, now_ms, effects)
        for record in list(self._peers.values()):
            record.listed = record.peer in named
            if not record.listed and not record.links and not record.dialing:
                del self._peers[record.peer]
        self._wanted = None

    def _take_listed(
        self, peer: EntryInstanceId, instance: Instance, now_ms: int, effects: list[Effect]
    ) -> None:
        record = self._peers.get(peer)
        if record is None or instance.incarnation > record.incarnation:
            record = self._replace(peer, instance, now_ms, effects)
        if not record.links:
            record.address = instance.address
        if instance.incarnation == record.incarnation and instance.state is InstanceState.LEAVING:
            self._set_status(record, PeerStatus.LEFT, now_ms, effects)

    def _replace(
        self, peer: EntryInstanceId, instance: Instance, now_ms: int, effects: list[Effect]
    ) -> _Peer:
        """Start a record for a new incarnation; connections to the old one are closed."""
        self._drop_links(peer, effects)
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
            record.next_dial_ms = now_ms + SECOND_DIALER_DELAY_MS
        self._peers[peer] = record
        return record

    def _drop_links(self, peer: EntryInstanceId, effects: list[Effect]) -> None:
        record = self._peers.get(peer)
        for link in record.links if record is not None else ():
            self._owner.pop(link.link, None)
            effects.append(CloseLink(link.link))

    @_on.register
    def _(self, event: LinkOpened, now_ms: int, effects: list[Effect]) -> None:
        record = self._peers.get(event.peer)
        if record is not None and event.incarnation < record.incarnation:
            effects.append(CloseLink(event.link))
            return
        if record is None or event.incarnation > record.incarnation:
            record = self._meet(event, now_ms, effects)
        if event.dialed:
            record.dialing = False
        record.address = event.address
        record.failures = 0
        self._adopt(record, event, now_ms, effects)
        if record.status is not PeerStatus.LEFT:
            self._set_status(record, PeerStatus.LIVE, now_ms, effects)

    def _meet(self, event: LinkOpened, now_ms: int, effects: list[Effect]) -> _Peer:
        self._drop_links(event.peer, effects)
        record = _Peer(
            event.peer,
            event.zone,
            event.address,
            event.incarnation,
            PeerStatus.UNKNOWN,
            now_ms,
        )
        self._peers[event.peer] = record
        self._wanted = None
        return record

    def _adopt(self, record: _Peer, event: LinkOpened, now_ms: int, effects: list[Effect]) -> None:
        """Keep one connection: the newer, or in a race the one that the lesser id dialed."""
        link = _Link(event.link, event.dialed, now_ms, LinkLiveness(self._bounds, now_ms))
        for other in list(record.links):
            if self._wins_race(record.peer, other, link, now_ms):
                effects.append(CloseLink(link.link))
                return
            self._forget(record, other)
            effects.append(CloseLink(other.link))
        record.links.append(link)
        self._owner[link.link] = (record, link)

    def _wins_race(self, peer: EntryInstanceId, other: _Link, link: _Link, now_ms: int) -> bool:
        if other.dialed == link.dialed or now_ms - other.opened_ms > RACE_WINDOW_MS:
            return False
        return other.dialed == (self.entry_id < peer)

    def _forget(self, record: _Peer, link: _Link) -> None:
        record.links.remove(link)
        self._owner.pop(link.link, None)

    @_on.register
    def _(self, event: LinkHeard, now_ms: int, effects: list[Effect]) -> None:
        owned = self._owner.get(event.link)
        if owned is not None:
            owned[1].liveness.heard(now_ms)

    @_on.register
    def _(self, event: LinkSent, now_ms: int, effects: list[Effect]) -> None:
        owned = self._owner.get(event.link)
        if owned is not None:
            owned[1].liveness.sent(now_ms)

    @_on.register
    def _(self, event: LinkClosed, now_ms: int, effects: list[Effect]) -> None:
        owned = self._owner.get(event.link)
        if owned is None:
            return
        record, link = owned
        self._forget(record, link)
        if not record.links and self._wants(record):
            self._dial(record, effects)

    @_on.register
    def _(self, event: DialFailed, now_ms: int, effects: list[Effect]) -> None:
        record = self._peers.get(event.peer)
        if record is None:
            return
        record.dialing = False
        if any(not link.liveness.silent(now_ms) for link in record.links):
            return
        for link in list(record.links):
            self._forget(record, link)
            effects.append(CloseLink(link.link))
        record.failures += 1
        backoff_ms = min(REDIAL_MAX_MS, REDIAL_MIN_MS << min(record.failures - 1, 8))
        record.next_dial_ms = now_ms + backoff_ms
        if record.status is not PeerStatus.LEFT:
            self._set_status(record, PeerStatus.DEAD, now_ms, effects)

    @_on.register
    def _(self, event: GoodbyeReceived, now_ms: int, effects: list[Effect]) -> None:
        record = self._peers.get(event.peer)
        if record is not None and record.incarnation == event.incarnation:
            self._set_status(record, PeerStatus.LEFT, now_ms, effects)

    @_on.register
    def _(self, event: Tick, now_ms: int, effects: list[Effect]) -> None:
        last_ms = self._last_tick_ms
        self._last_tick_ms = now_ms
        resumed = last_ms is not None and now_ms - last_ms > self._bounds.pause_ms
        for record in self._peers.values():
            for link in tuple(record.links):
                if resumed:
                    link.liveness.resumed(now_ms)
                self._check_link(record, link, now_ms, effects)
            if not record.links and now_ms >= record.next_dial_ms and self._wants(record):
                self._dial(record, effects)

    def _check_link(self, record: _Peer, link: _Link, now_ms: int, effects: list[Effect]) -> None:
        if link.dialed and now_ms - link.opened_ms > UNWANTED_LINK_MS and not self._wants(record):
            self._forget(record, link)
            effects.append(CloseLink(link.link))
            return
        if link.liveness.heartbeat_due(now_ms):
            link.liveness.sent(now_ms)
            effects.append(SendHeartbeat(link.link))
        if link.liveness.silent(now_ms):
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
        self._wanted = None
        effects.append(PeerChanged(record.peer, status))

    def _wants(self, record: _Peer) -> bool:
        if record.status is PeerStatus.LEFT:
            return False
        if record.zone == self.zone:
            return True
        if self._wanted is None:
            self._wanted = frozenset(self._relay_targets())
        return record.peer in self._wanted

    def _relay_targets(self) -> Iterable[EntryInstanceId]:
        """Yield the peers of other zones to which this instance keeps a connection."""
        by_zone: dict[ZoneName, list[EntryInstanceId]] = {}
        for record in self._peers.values():
            if record.zone != self.zone and record.status is not PeerStatus.LEFT:
                by_zone.setdefault(record.zone, []).append(record.peer)
        mine = self.live_peers()
        for zone, peers in by_zone.items():
            pair = "|".join(sorted((zone, self.zone)))
            if self.entry_id in rendezvous(pair, mine)[:RELAYS_PER_ZONE_PAIR]:
                yield from self._reachable_first(pair, peers)[:RELAYS_PER_ZONE_PAIR]

    def _reachable_first(
        self, pair: str, peers: list[EntryInstanceId]
    ) -> tuple[EntryInstanceId, ...]:
        ranked = rendezvous(pair, peers)
        dead = tuple(p for p in ranked if self._peers[p].status is PeerStatus.DEAD)
        return tuple(p for p in ranked if p not in dead) + dead
