"""Server table: an entry instance's view of backend servers and stores, with their ages.

Work is sent only on a record that is fresh enough; an outdated one is refreshed first. This also
holds after a pause of the process, when stale messages wait in its buffers, because ages are
derived from echoed timestamps and not from the time of arrival.
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
    PollResult,
    ServerReport,
    ZoneSummary,
    figures_of,
)

__all__ = ["EngineRecord", "FreshnessLimits", "ServerStatus", "ServerTable"]

NEVER_MS = -(1 << 60)
"""Earlier than any time on the clock."""

UNKNOWN_INCARNATION = Incarnation(0)
"""Incarnation of a server that has not answered since its current incarnation was listed."""

ToLocal = Callable[[int], int | None]
"""Converts a time on a peer's clock to a local time that is not later; None if unknown."""


@dataclass(frozen=True, slots=True)
class FreshnessLimits:
    """Maximum ages of the information on which work is sent, in milliseconds.

    :param max_answer_age_ms: age of the server's own answer
    :param max_list_age_ms: age of the latest attempt to read the instance list here, or of a
        peer's latest read
    :param max_sync_age_ms: age of the last synchronization of leaving servers with a peer
    :param unlisted_retention_ms: time without an answer until an unlisted server is removed
    """

    max_answer_age_ms: int = 4_000
    max_list_age_ms: int = 4_000
    max_sync_age_ms: int = 4_000
    unlisted_retention_ms: int = 30_000


@dataclass(frozen=True, slots=True)
class EngineRecord:
    """Known state of one engine.

    :param instance: instance as listed
    :param load: last load report; None before the first
    :param observed_ms: local time at which the report was made, or earlier
    :param leaving: accepts no new work
    :param reachable: the last call to it did not fail
    """

    instance: Instance
    load: EngineLoad | None = None
    observed_ms: int = NEVER_MS
    leaving: bool = False
    reachable: bool = True


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """One server in the output of ``status``.

    :param age_ms: age of the last answer, in milliseconds; None when there was none
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
    own_incarnation: Incarnation = UNKNOWN_INCARNATION
    listed: bool = True
    reachable: bool = True
    load: EngineLoad | None = None
    load_observed_ms: int = NEVER_MS
    confirmed_ms: int = NEVER_MS
    updated_ms: int = NEVER_MS


class ServerTable:
    """Known state of all servers of an entry instance; safe for concurrent use.

    :param limits: maximum ages of the information on which work is sent
    """

    def __init__(self, limits: FreshnessLimits = FreshnessLimits()) -> None:  # noqa: B008 - immutable
        self._limits = limits
        self._servers: dict[ServerId, _Server] = {}
        self._leaving = LeavingSet()
        self._new_leaving: list[LeavingServer] = []
        self._list_attempt_ms = NEVER_MS
        self._list_read_ms = NEVER_MS
        self._peer_sync_ms = NEVER_MS
        self._has_peers = False
        self._has_list = False
        self._lock = threading.RLock()

    def apply_instance_list(self, instances: Iterable[Instance], sent_ms: int, now_ms: int) -> None:
        """Apply the complete instance list as read by this process.

        :param instances: all instances
        :param sent_ms: local time before the read was sent
        :param now_ms: current time
        """
        with self._lock:
            listed = {ServerId(i.instance_id): i for i in instances if _is_server(i)}
            for instance in listed.values():
                self._apply_instance(instance, now_ms)
            for name, server in self._servers.items():
                server.listed = name in listed
            self._remove_unlisted(now_ms)
            self._leaving.expire(listed, now_ms)
            self._list_attempt_ms = max(self._list_attempt_ms, sent_ms)
            self._list_read_ms = max(self._list_read_ms, sent_ms)
            self._has_list = True

    def record_list_failure(self, sent_ms: int) -> None:
        """Record that the instance list could not be read.

        :param sent_ms: local time before the read was sent
        """
        with self._lock:
            self._list_attempt_ms = max(self._list_attempt_ms, sent_ms)

    def apply_instance_changes(
        self, changes: InstanceChanges, to_local: ToLocal, now_ms: int
    ) -> None:
        """Apply the changes that a peer found when it read the instance list.

        The peer's read counts as a local read only if both sets of leaving servers are equal
        afterwards, because an earlier change may have been lost.
        """
        with self._lock:
            for instance in filter(_is_server, changes.changed):
                self._apply_instance(instance, now_ms)
            for name in changes.removed:
                server = self._servers.get(ServerId(name))
                if server is not None:
                    server.listed = False
            self._remove_unlisted(now_ms)
            if changes.leaving_digest == self._leaving.digest():
                self._record_peer_list_read(to_local(changes.read_ms))

    def apply_engine_load(
        self, server: ServerId, load: EngineLoad, sent_ms: int, now_ms: int
    ) -> None:
        """Apply the load report that an engine returned to this process.

        :param server: polled engine
        :param load: its load report
        :param sent_ms: local time before the call was sent
        :param now_ms: current time
        """
        with self._lock:
            result = PollResult(
                server,
                load.state.incarnation,
                sent_ms - load.age_ms,
                figures_of(load),
                load.state,
            )
            self._apply_poll_result(result, sent_ms - load.age_ms, now_ms)

    def apply_server_report(self, report: ServerReport, to_local: ToLocal, now_ms: int) -> bool:
        """Apply a peer's report.

        :param report: report of a peer of the zone
        :param to_local: converts times on the peer's clock
        :param now_ms: current time
        :returns: False when the peer's set of leaving servers differs and should be fetched
        """
        with self._lock:
            for result in report.poll_results:
                observed_ms = to_local(result.observed_ms)
                if observed_ms is not None:
                    self._apply_poll_result(result, observed_ms, now_ms)
            if report.leaving_digest != self._leaving.digest():
                return False
            self._record_peer_sync(report.created_ms, report.list_read_ms, to_local)
            return True

    def apply_leaving_notice(self, notice: LeavingNotice, now_ms: int) -> None:
        """Add leaving servers that a peer announced."""
        with self._lock:
            for leaving in notice.servers:
                self._add_leaving(leaving, now_ms)

    def apply_full_leaving_set(self, notice: LeavingNotice, to_local: ToLocal, now_ms: int) -> None:
        """Apply a peer's complete set of leaving servers, its reply to a query."""
        with self._lock:
            self.apply_leaving_notice(notice, now_ms)
            self._record_peer_sync(notice.created_ms, notice.list_read_ms, to_local)

    def record_no_peer_answer(self, sent_ms: int) -> None:
        """Record that no peer answered a query for leaving servers; counts as a synchronization.

        :param sent_ms: local time before the first request was sent
        """
        with self._lock:
            self._peer_sync_ms = max(self._peer_sync_ms, sent_ms)

    def apply_zone_summary(self, summary: ZoneSummary, now_ms: int) -> None:
        """Apply the loads of another zone's engines.

        Their age is unknown, so they confirm no server for :meth:`may_send`.
        """
        with self._lock:
            for result in summary.poll_results:
                self._apply_load(result, now_ms)
                self._apply_state(result, now_ms)

    def set_peer_count(self, peer_count: int) -> None:
        """Set the number of other live entry instances in the zone."""
        with self._lock:
            self._has_peers = peer_count > 0

    def mark_unreachable(self, server: ServerId) -> None:
        """Mark a server whose call failed as unreachable until its next answer."""
        with self._lock:
            record = self._servers.get(server)
            if record is not None:
                record.reachable = False
                record.confirmed_ms = NEVER_MS

    def may_send(self, server: ServerId, now_ms: int) -> bool:
        """Return whether the known state is fresh enough to send new work to a server.

        Call this after the last step that can block, right before the send. On False, confirm the
        server and call this again.

        :param server: backend server
        :param now_ms: current time, read right before the call
        """
        with self._lock:
            record = self._servers.get(server)
            if record is None or self._is_leaving(record):
                return False
            if not self._announcements_are_fresh(now_ms):
                return False
            if record.instance.kind is not InstanceKind.ENGINE:
                return record.reachable
            return now_ms - record.confirmed_ms <= self._limits.max_answer_age_ms

    def is_leaving(self, server: ServerId) -> bool:
        """Return whether a server's current incarnation is known to be leaving."""
        with self._lock:
            record = self._servers.get(server)
            return record is not None and self._is_leaving(record)

    def is_listed_leaving(self, server: ServerId) -> bool:
        """Return whether the instance list shows a server as leaving, so it need not be polled."""
        with self._lock:
            record = self._servers.get(server)
            return record is not None and self._leaving.contains(
                server, record.instance.incarnation, Numbering.LISTED
            )

    def engines(self) -> tuple[EngineRecord, ...]:
        """Return all known engines, including leaving and unreachable ones."""
        with self._lock:
            return tuple(self._engine_record(s) for s in self._of_kind(InstanceKind.ENGINE))

    def services(self, name: ServiceName) -> tuple[Instance, ...]:
        """Return the servers of a plain service that accept work, in name order.

        :param name: service
        """
        with self._lock:
            servers = self._of_kind(InstanceKind.SERVICE)
            return tuple(
                s.instance for s in servers if s.instance.group == name and self._accepts_work(s)
            )

    def stores(self) -> tuple[Instance, ...]:
        """Return the store instances that accept work, in name order."""
        with self._lock:
            servers = self._of_kind(InstanceKind.STORE)
            return tuple(s.instance for s in servers if self._accepts_work(s))

    def instance(self, server: ServerId) -> Instance | None:
        """Return a server's listed instance, or None for an unknown server."""
        with self._lock:
            record = self._servers.get(server)
            return None if record is None else record.instance

    def confirmed_ms(self, server: ServerId) -> int:
        """Return the local time at which the server's last answer was made, or earlier."""
        with self._lock:
            record = self._servers.get(server)
            return NEVER_MS if record is None else record.confirmed_ms

    def list_attempt_ms(self) -> int:
        """Return the time of the latest attempt to read the list here, or of a peer's read."""
        with self._lock:
            return max(self._list_attempt_ms, self._list_read_ms)

    def list_read_ms(self) -> int:
        """Return the time of the latest successful read of the list, here or at a peer."""
        with self._lock:
            return self._list_read_ms

    def leaving_digest(self) -> int:
        """Return the digest of the set of known leaving servers."""
        with self._lock:
            return self._leaving.digest()

    def leaving(self, now_ms: int) -> tuple[LeavingServer, ...]:
        """Return the known leaving servers."""
        with self._lock:
            return self._leaving.servers(now_ms)

    def pop_new_leaving(self) -> tuple[LeavingServer, ...]:
        """Return and clear the leaving servers added since the last call, to be announced."""
        with self._lock:
            new_leaving, self._new_leaving = tuple(self._new_leaving), []
            return new_leaving

    def status(self, now_ms: int) -> tuple[ServerStatus, ...]:
        """Return the status of each server, in name order."""
        with self._lock:
            return tuple(self._status(self._servers[n], now_ms) for n in sorted(self._servers))

    def _status(self, record: _Server, now_ms: int) -> ServerStatus:
        instance = record.instance
        is_confirmed = record.confirmed_ms > NEVER_MS
        return ServerStatus(
            server=ServerId(instance.instance_id),
            kind=instance.kind,
            zone=instance.zone,
            incarnation=record.own_incarnation or instance.incarnation,
            leaving=self._is_leaving(record),
            reachable=record.reachable,
            age_ms=now_ms - record.confirmed_ms if is_confirmed else None,
        )

    def announcements_are_fresh(self, now_ms: int) -> bool:
        """Return whether the list read and the synchronization with a peer are recent enough."""
        with self._lock:
            return self._announcements_are_fresh(now_ms)

    def _announcements_are_fresh(self, now_ms: int) -> bool:
        list_attempt_ms = max(self._list_attempt_ms, self._list_read_ms)
        if now_ms - list_attempt_ms > self._limits.max_list_age_ms:
            return False
        return not self._has_peers or now_ms - self._peer_sync_ms <= self._limits.max_sync_age_ms

    def _record_peer_sync(self, created_ms: int, list_read_ms: int, to_local: ToLocal) -> None:
        local_created_ms = to_local(created_ms)
        if local_created_ms is not None:
            self._peer_sync_ms = max(self._peer_sync_ms, local_created_ms)
        if list_read_ms >= 0:
            self._record_peer_list_read(to_local(list_read_ms))

    def _record_peer_list_read(self, read_ms: int | None) -> None:
        """Count a peer's read of the list as a local one.

        Peers send only changes, so this needs a complete list read by this process before.
        """
        if self._has_list and read_ms is not None:
            self._list_read_ms = max(self._list_read_ms, read_ms)

    def _apply_instance(self, instance: Instance, now_ms: int) -> None:
        name = ServerId(instance.instance_id)
        record = self._servers.get(name)
        if instance.state is InstanceState.LEAVING:
            self._add_leaving(LeavingServer(name, instance.incarnation), now_ms)
        if record is None or instance.incarnation > record.instance.incarnation:
            self._servers[name] = _Server(instance, updated_ms=now_ms)
        elif instance.incarnation == record.instance.incarnation:
            record.instance = instance
            record.listed = True

    def _apply_poll_result(self, result: PollResult, observed_ms: int, now_ms: int) -> None:
        """Apply a poll result that was true at local time ``observed_ms`` or later."""
        record = self._servers.get(result.server)
        if record is None or result.incarnation < record.own_incarnation:
            return
        record = self._apply_state(result, now_ms) or record
        if observed_ms < record.confirmed_ms:
            return
        record.confirmed_ms = observed_ms
        record.updated_ms = now_ms
        record.reachable = True
        self._apply_load(result, observed_ms)

    def _apply_state(self, result: PollResult, now_ms: int) -> _Server | None:
        """Apply a new incarnation or leaving flag; both are valid at any age of the result."""
        record = self._servers.get(result.server)
        if record is None:
            return None
        if result.incarnation > record.own_incarnation:
            record = _Server(
                record.instance, result.incarnation, listed=record.listed, updated_ms=now_ms
            )
            self._servers[result.server] = record
        if result.state is not None and result.state.leaving:
            leaving = LeavingServer(result.server, result.incarnation, Numbering.OWN)
            self._add_leaving(leaving, now_ms)
        return record

    def _apply_load(self, result: PollResult, observed_ms: int) -> None:
        record = self._servers.get(result.server)
        if record is None or result.incarnation != record.own_incarnation:
            return
        state = result.state or (record.load.state if record.load is not None else None)
        if state is None or observed_ms < record.load_observed_ms:
            return
        if result.figures is not None:
            record.load = result.figures.with_state(state)
        elif record.load is not None:
            record.load = replace(record.load, state=state)
        record.load_observed_ms = observed_ms

    def _add_leaving(self, leaving: LeavingServer, now_ms: int) -> None:
        if self._leaving.add(leaving, now_ms):
            self._new_leaving.append(leaving)

    def _is_leaving(self, record: _Server) -> bool:
        instance = record.instance
        server = ServerId(instance.instance_id)
        if self._leaving.contains(server, instance.incarnation, Numbering.LISTED):
            return True
        own = record.own_incarnation
        return own != UNKNOWN_INCARNATION and self._leaving.contains(server, own, Numbering.OWN)

    def _accepts_work(self, record: _Server) -> bool:
        return record.reachable and not self._is_leaving(record)

    def _of_kind(self, kind: InstanceKind) -> list[_Server]:
        names = sorted(n for n, s in self._servers.items() if s.instance.kind is kind)
        return [self._servers[name] for name in names]

    def _engine_record(self, record: _Server) -> EngineRecord:
        return EngineRecord(
            record.instance,
            record.load,
            record.load_observed_ms,
            self._is_leaving(record),
            record.reachable,
        )

    def _remove_unlisted(self, now_ms: int) -> None:
        expired = [
            name
            for name, record in self._servers.items()
            if not record.listed and now_ms - record.updated_ms > self._limits.unlisted_retention_ms
        ]
        for name in expired:
            del self._servers[name]


def _is_server(instance: Instance) -> bool:
    return instance.kind is not InstanceKind.ENTRY
