"""Server table: what an entry instance believes of backend servers and stores, and since when.

Every belief has an age. Work is sent only on a belief that is young enough; otherwise the caller
confirms it first. That holds for an instance that was paused as well, whatever waited in its
buffers meanwhile, because ages are bounded by echoed timestamps, not by arrival.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from bergamothill.connection.engine import EngineLoad
from bergamothill.connection.instancelist import Instance, InstanceKind, InstanceState
from bergamothill.ids import Incarnation, ServerId, ServiceName, ZoneName
from bergamothill.process.leavingset import LeavingSet
from bergamothill.process.servermessages import (
    InstanceChanges,
    LeavingNotice,
    LeavingServer,
    Numbering,
    ServerNews,
    ServerReport,
    ZoneSummary,
    figures_of,
)

__all__ = ["EngineRecord", "ServerBounds", "ServerStatus", "ServerTable"]

NEVER_MS = -(1 << 60)
"""Instant before all others."""

UNKNOWN = Incarnation(0)
"""Incarnation of a server that has not answered since the list showed a new one."""

ToLocal = Callable[[int], int | None]
"""Converts an instant on the reporter's clock to one of ours that is not later."""


@dataclass(frozen=True, slots=True)
class ServerBounds:
    """Largest ages of a belief on which work is sent, in milliseconds.

    :param answer_ms: age of the server's own answer
    :param list_ms: age of the newest read of the instance list, here or at a peer
    :param peers_ms: age of the last agreement with a peer about leaving servers
    :param unlisted_ms: time without an answer after which an unlisted server is forgotten
    """

    answer_ms: int = 4_000
    list_ms: int = 4_000
    peers_ms: int = 4_000
    unlisted_ms: int = 30_000


@dataclass(frozen=True, slots=True)
class EngineRecord:
    """Belief about one engine.

    :param instance: instance as listed
    :param load: last load report; None before the first
    :param received_at_ms: instant on this process's clock at which the report was made, or earlier
    :param leaving: takes no new work
    :param reachable: the last attempt to reach it did not fail
    """

    instance: Instance
    load: EngineLoad | None = None
    received_at_ms: int = NEVER_MS
    leaving: bool = False
    reachable: bool = True


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """Line of ``status`` about one server.

    :param age_ms: age of the belief, in milliseconds; None when it was never confirmed
    """

    server: ServerId
    kind: InstanceKind
    zone: ZoneName
    incarnation: Incarnation
    leaving: bool
    reachable: bool
    age_ms: int | None


@dataclass(slots=True)
class _Server:
    instance: Instance
    own_incarnation: Incarnation = UNKNOWN
    listed: bool = True
    reachable: bool = True
    load: EngineLoad | None = None
    load_ms: int = NEVER_MS
    confirmed_ms: int = NEVER_MS
    touched_ms: int = NEVER_MS


class ServerTable:
    """State of all servers that an entry instance knows; safe for concurrent use.

    :param bounds: largest ages of beliefs
    """

    def __init__(self, bounds: ServerBounds = ServerBounds()) -> None:  # noqa: B008 - immutable
        self._bounds = bounds
        self._servers: dict[ServerId, _Server] = {}
        self._leaving = LeavingSet()
        self._learned: list[LeavingServer] = []
        self._list_tried_ms = NEVER_MS
        self._list_read_ms = NEVER_MS
        self._agreed_ms = NEVER_MS
        self._has_peers = False
        self._has_list = False
        self._lock = threading.RLock()

    def take_list(self, instances: Iterable[Instance], asked_ms: int, now_ms: int) -> None:
        """Take in the whole instance list as read by this process.

        :param instances: all instances
        :param asked_ms: instant before the read was sent
        :param now_ms: instant now
        """
        with self._lock:
            listed = {ServerId(i.instance_id): i for i in instances if _is_server(i)}
            for instance in listed.values():
                self._take_instance(instance, now_ms)
            for name, server in self._servers.items():
                server.listed = name in listed
            self._forget_unlisted(now_ms)
            self._leaving.expire(listed, now_ms)
            self._list_tried_ms = max(self._list_tried_ms, asked_ms)
            self._list_read_ms = max(self._list_read_ms, asked_ms)
            self._has_list = True

    def take_list_failure(self, asked_ms: int) -> None:
        """Note that the instance list could not be read.

        :param asked_ms: instant before the read was sent
        """
        with self._lock:
            self._list_tried_ms = max(self._list_tried_ms, asked_ms)

    def take_changes(self, changes: InstanceChanges, to_local: ToLocal, now_ms: int) -> None:
        """Take in what a peer's read of the instance list changed.

        The read counts as ours only if the sets of leaving servers are equal after it, because an
        earlier change may have been lost.
        """
        with self._lock:
            for instance in filter(_is_server, changes.changed):
                self._take_instance(instance, now_ms)
            for name in changes.removed:
                server = self._servers.get(ServerId(name))
                if server is not None:
                    server.listed = False
            self._forget_unlisted(now_ms)
            if changes.leaving_digest == self._leaving.digest():
                self._adopt_read(to_local(changes.read_ms))

    def take_answer(self, server: ServerId, load: EngineLoad, asked_ms: int, now_ms: int) -> None:
        """Take in an engine's own answer.

        :param server: engine asked
        :param load: its answer
        :param asked_ms: instant before the call was sent
        :param now_ms: instant now
        """
        with self._lock:
            news = ServerNews(
                server,
                load.state.incarnation,
                asked_ms - load.age_ms,
                figures_of(load),
                load.state,
            )
            self._take_news(news, asked_ms - load.age_ms, now_ms)

    def take_report(self, report: ServerReport, to_local: ToLocal, now_ms: int) -> bool:
        """Take in a peer's report.

        :param report: report of a peer of the zone
        :param to_local: converts instants of the peer's clock
        :param now_ms: instant now
        :returns: False when the peer's set of leaving servers differs and should be asked for
        """
        with self._lock:
            for news in report.news:
                true_ms = to_local(news.asked_ms)
                if true_ms is not None:
                    self._take_news(news, true_ms, now_ms)
            if report.leaving_digest != self._leaving.digest():
                return False
            self._agree(report.made_ms, report.list_read_ms, to_local)
            return True

    def take_notice(self, notice: LeavingNotice, now_ms: int) -> None:
        """Take in leaving servers that a peer announced."""
        with self._lock:
            for leaving in notice.servers:
                self._note_leaving(leaving, now_ms)

    def take_whole_set(self, notice: LeavingNotice, to_local: ToLocal, now_ms: int) -> None:
        """Take in all leaving servers that a peer knows, as the answer to a query."""
        with self._lock:
            self.take_notice(notice, now_ms)
            self._agree(notice.made_ms, notice.list_read_ms, to_local)

    def take_no_peer_answer(self, asked_ms: int) -> None:
        """Note that peers were asked for leaving servers and none answered.

        :param asked_ms: instant before the first was asked
        """
        with self._lock:
            self._agreed_ms = max(self._agreed_ms, asked_ms)

    def take_summary(self, summary: ZoneSummary, now_ms: int) -> None:
        """Take in the loads of another zone's engines; their age is not known, see may_send."""
        with self._lock:
            for news in summary.news:
                self._take_load(news, now_ms)
                self._note_state(news, now_ms)

    def take_peers(self, peer_count: int) -> None:
        """Note how many other live entry instances the zone has."""
        with self._lock:
            self._has_peers = peer_count > 0

    def mark_unreachable(self, server: ServerId) -> None:
        """Note that a call to a server failed; the next answer lifts the mark."""
        with self._lock:
            record = self._servers.get(server)
            if record is not None:
                record.reachable = False
                record.confirmed_ms = NEVER_MS

    def may_send(self, server: ServerId, now_ms: int) -> bool:
        """Tell whether new work may be sent on what is believed now.

        Ask after the last step that can block, right before the send. On False, confirm and ask
        again.

        :param server: backend server
        :param now_ms: instant now, not one read earlier
        """
        with self._lock:
            record = self._servers.get(server)
            if record is None or self._is_leaving(record):
                return False
            if not self._announcements_young(now_ms):
                return False
            if record.instance.kind is not InstanceKind.ENGINE:
                return record.reachable
            return now_ms - record.confirmed_ms <= self._bounds.answer_ms

    def is_leaving(self, server: ServerId) -> bool:
        """Tell whether a server is known to leave in its current incarnation."""
        with self._lock:
            record = self._servers.get(server)
            return record is not None and self._is_leaving(record)

    def is_listed_leaving(self, server: ServerId) -> bool:
        """Tell whether the instance list says that a server leaves; asking the server is no use."""
        with self._lock:
            record = self._servers.get(server)
            return record is not None and self._leaving.contains(
                server, record.instance.incarnation, Numbering.LISTED
            )

    def engines(self) -> tuple[EngineRecord, ...]:
        """Return what is believed of all engines, leaving and unreachable ones included."""
        with self._lock:
            return tuple(self._engine_record(s) for s in self._of_kind(InstanceKind.ENGINE))

    def services(self, name: ServiceName) -> tuple[Instance, ...]:
        """Return the servers of a plain service that take work, in name order.

        :param name: service
        """
        with self._lock:
            servers = self._of_kind(InstanceKind.SERVICE)
            return tuple(
                s.instance for s in servers if s.instance.group == name and self._usable(s)
            )

    def stores(self) -> tuple[Instance, ...]:
        """Return the store instances that take work, in name order."""
        with self._lock:
            servers = self._of_kind(InstanceKind.STORE)
            return tuple(s.instance for s in servers if self._usable(s))

    def instance(self, server: ServerId) -> Instance | None:
        """Return a server's instance, or None when it is not known."""
        with self._lock:
            record = self._servers.get(server)
            return None if record is None else record.instance

    def confirmed_ms(self, server: ServerId) -> int:
        """Return the instant at which the server's last known answer was true, or earlier."""
        with self._lock:
            record = self._servers.get(server)
            return NEVER_MS if record is None else record.confirmed_ms

    def list_tried_ms(self) -> int:
        """Return the newest instant at which the list was read, or tried, here or at a peer."""
        with self._lock:
            return max(self._list_tried_ms, self._list_read_ms)

    def list_read_ms(self) -> int:
        """Return the newest instant at which the list was read, here or at a peer."""
        with self._lock:
            return self._list_read_ms

    def leaving_digest(self) -> int:
        """Return the digest of the known leaving servers."""
        with self._lock:
            return self._leaving.digest()

    def leaving(self, now_ms: int) -> tuple[LeavingServer, ...]:
        """Return the known leaving servers."""
        with self._lock:
            return self._leaving.servers(now_ms)

    def take_learned(self) -> tuple[LeavingServer, ...]:
        """Return the leaving servers learned since the last call, to be announced."""
        with self._lock:
            learned, self._learned = tuple(self._learned), []
            return learned

    def status(self, now_ms: int) -> tuple[ServerStatus, ...]:
        """Return one line for each server, in name order."""
        with self._lock:
            return tuple(self._status(self._servers[n], now_ms) for n in sorted(self._servers))

    def _status(self, record: _Server, now_ms: int) -> ServerStatus:
        instance = record.instance
        known = record.confirmed_ms > NEVER_MS
        return ServerStatus(
            server=ServerId(instance.instance_id),
            kind=instance.kind,
            zone=instance.zone,
            incarnation=record.own_incarnation or instance.incarnation,
            leaving=self._is_leaving(record),
            reachable=record.reachable,
            age_ms=now_ms - record.confirmed_ms if known else None,
        )

    def announcements_young(self, now_ms: int) -> bool:
        """Tell whether the instance list and the peers were heard lately enough to send."""
        with self._lock:
            return self._announcements_young(now_ms)

    def _announcements_young(self, now_ms: int) -> bool:
        list_ms = max(self._list_tried_ms, self._list_read_ms)
        if now_ms - list_ms > self._bounds.list_ms:
            return False
        return not self._has_peers or now_ms - self._agreed_ms <= self._bounds.peers_ms

    def _agree(self, made_ms: int, list_read_ms: int, to_local: ToLocal) -> None:
        made = to_local(made_ms)
        if made is not None:
            self._agreed_ms = max(self._agreed_ms, made)
        if list_read_ms >= 0:
            self._adopt_read(to_local(list_read_ms))

    def _adopt_read(self, read_ms: int | None) -> None:
        """Count a peer's read of the list as ours; changes alone are no list without a first."""
        if self._has_list and read_ms is not None:
            self._list_read_ms = max(self._list_read_ms, read_ms)

    def _take_instance(self, instance: Instance, now_ms: int) -> None:
        name = ServerId(instance.instance_id)
        record = self._servers.get(name)
        if instance.state is InstanceState.LEAVING:
            self._note_leaving(LeavingServer(name, instance.incarnation), now_ms)
        if record is None or instance.incarnation > record.instance.incarnation:
            self._servers[name] = _Server(instance, touched_ms=now_ms)
        elif instance.incarnation == record.instance.incarnation:
            record.instance = instance
            record.listed = True

    def _take_news(self, news: ServerNews, true_ms: int, now_ms: int) -> None:
        """Take in what was true at an instant of our clock, or later."""
        record = self._servers.get(news.server)
        if record is None or news.incarnation < record.own_incarnation:
            return
        record = self._note_state(news, now_ms) or record
        if true_ms < record.confirmed_ms:
            return
        record.confirmed_ms = true_ms
        record.touched_ms = now_ms
        record.reachable = True
        self._take_load(news, true_ms)

    def _note_state(self, news: ServerNews, now_ms: int) -> _Server | None:
        """Take in a new incarnation or a leaving flag; both hold however old the news are."""
        record = self._servers.get(news.server)
        if record is None:
            return None
        if news.incarnation > record.own_incarnation:
            record = _Server(
                record.instance, news.incarnation, listed=record.listed, touched_ms=now_ms
            )
            self._servers[news.server] = record
        if news.state is not None and news.state.leaving:
            leaving = LeavingServer(news.server, news.incarnation, Numbering.OWN)
            self._note_leaving(leaving, now_ms)
        return record

    def _take_load(self, news: ServerNews, true_ms: int) -> None:
        record = self._servers.get(news.server)
        if record is None or news.incarnation != record.own_incarnation:
            return
        state = news.state or (record.load.state if record.load is not None else None)
        if state is None or true_ms < record.load_ms:
            return
        if news.figures is not None:
            record.load = news.figures.with_state(state)
        elif record.load is not None:
            record.load = replace(record.load, state=state)
        record.load_ms = true_ms

    def _note_leaving(self, leaving: LeavingServer, now_ms: int) -> None:
        if self._leaving.add(leaving, now_ms):
            self._learned.append(leaving)

    def _is_leaving(self, record: _Server) -> bool:
        instance = record.instance
        server = ServerId(instance.instance_id)
        if self._leaving.contains(server, instance.incarnation, Numbering.LISTED):
            return True
        own = record.own_incarnation
        return own != UNKNOWN and self._leaving.contains(server, own, Numbering.OWN)

    def _usable(self, record: _Server) -> bool:
        return record.reachable and not self._is_leaving(record)

    def _of_kind(self, kind: InstanceKind) -> list[_Server]:
        names = sorted(n for n, s in self._servers.items() if s.instance.kind is kind)
        return [self._servers[name] for name in names]

    def _engine_record(self, record: _Server) -> EngineRecord:
        return EngineRecord(
            record.instance,
            record.load,
            record.load_ms,
            self._is_leaving(record),
            record.reachable,
        )

    def _forget_unlisted(self, now_ms: int) -> None:
        gone = [
            name
            for name, record in self._servers.items()
            if not record.listed and now_ms - record.touched_ms > self._bounds.unlisted_ms
        ]
        for name in gone:
            del self._servers[name]


def _is_server(instance: Instance) -> bool:
    return instance.kind is not InstanceKind.ENTRY
