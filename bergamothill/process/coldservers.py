"""Which servers are cold, so that they take few requests; no I/O and no clock.

A server is cold for some time after its start, and may become cold again. Its entry and its answers
tell for how long. An incarnation is taken for cold before anything is known of it, and so is one in
whose place another process may be answering.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from bergamothill.ids import ServerId, ServiceName
from bergamothill.logs import EventLog
from bergamothill.process.backends import BackendServer
from bergamothill.version.routetable import Service

__all__ = ["ColdBounds", "ColdServers"]

START_SKEW_MS = 2_000
"""Most by which the clocks of two machines are assumed to differ."""

MAX_DOUBT_MS = 30_000
"""Longest time without a list or an answer after which a server is trusted again."""

MIN_RESTART_MS = 1_000
"""Shortest time from the end of a process until another one answers in its place."""

STALE_LIST_MS = 2_000
"""Age from which on the list no longer shows that a server that was cold has not restarted."""

_log = EventLog("gateway")


@dataclass(frozen=True, slots=True)
class ColdBounds:
    """Most requests that all entry instances together send to a cold server in any one second.

    :param overshoot: multiple of the rate that the server takes
    :param slack: requests in addition to that
    :param is_named: whether the settings name it
    """

    overshoot: float = 1.5
    slack: float = 5.0
    is_named: bool = False

    def per_second(self, rate_per_s: float) -> float:
        """Return the bound for a server.

        :param rate_per_s: rate that it takes while it is cold
        """
        return rate_per_s * self.overshoot + self.slack


@dataclass(slots=True)
class _ColdServer:
    """What is known of the cold phases of one incarnation.

    :param first_listed_ms: time at which it was first listed
    :param is_new: whether it was not in the first list; otherwise it may have run for long
    :param told_ms: end of its cold phase by its entry; None if that tells nothing
    :param answered_ms: the same by its answers
    :param doubt_ms: time since which another process may answer in its place; None for no doubt
    :param doubt_ends_ms: time from which on such a process would be warm
    :param doubt_revision: revision of the entry in the first list read since then
    :param news: revision of the entry that set ``told_ms``, and its value
    """

    first_listed_ms: int
    is_new: bool
    told_ms: int | None = None
    answered_ms: int = 0
    doubt_ms: int | None = None
    doubt_ends_ms: int = 0
    doubt_revision: int | None = None
    news: tuple[int, int | None] | None = None

    def is_open_doubt(self) -> bool:
        """Return whether no process is known to have answered since the doubt began."""
        return self.doubt_ms is not None and self.doubt_ends_ms == self.doubt_ms + MAX_DOUBT_MS


def _end_doubt_if_written(state: _ColdServer, revision: int, written_by_ms: int) -> None:
    """End a doubt if the entry was written after it began, so that the process still runs.

    :param written_by_ms: time after which entries that a list has were written at the latest
    """
    if state.doubt_revision is None:
        state.doubt_revision = revision
    if revision > state.doubt_revision or written_by_ms >= state.doubt_ms:
        state.doubt_ms, state.doubt_ends_ms, state.doubt_revision = None, 0, None


class ColdServers:
    """Cold phases of all servers.

    :param bounds: most requests that cold servers get
    :param wall_ms: source of the time by which servers state their start
    """

    def __init__(
        self, bounds: ColdBounds | None = None, wall_ms: Callable[[], int] = lambda: 0
    ) -> None:
        self.bounds = bounds or ColdBounds()
        self.wall_ms = wall_ms
        self._services: dict[ServiceName, Service] = {}
        self._servers: dict[tuple[ServerId, int], _ColdServer] = {}
        self._has_list = False
        self._listed_ms = 0
        self._checked_ms: int | None = None
        self._paused_ms = -1

    @property
    def has_any(self) -> bool:
        """Whether any service has servers that take fewer requests while they are cold."""
        return bool(self._services)

    def set_services(self, services: Mapping[ServiceName, Service]) -> None:
        """Set the services, from the configuration in force."""
        self._services = {name: s for name, s in services.items() if s.cold_per_s > 0}

    def record_list(
        self,
        entries: Iterable[BackendServer],
        sent_ms: int,
        now_ms: int,
        entry_expiry_ms: int,
    ) -> None:
        """Record the servers of a list.

        :param sent_ms: time at which its read was sent; entries may be as recent as its reply
        :param entry_expiry_ms: time after which the entry of a process that ended is removed
        """
        for entry in entries:
            state = self._servers.get(entry.incarnation)
            if state is None:
                state = self._servers[entry.incarnation] = _ColdServer(now_ms, self._has_list)
            news = (entry.revision, entry.cold_remaining_ms)
            if news != state.news and entry.cold_remaining_ms is not None:
                state.told_ms = now_ms + entry.cold_remaining_ms
                if entry.cold_remaining_ms:
                    self._log(entry, "entry", now_ms)
            state.news = news
            if state.doubt_ms is not None and sent_ms >= state.doubt_ms:
                _end_doubt_if_written(state, entry.revision, sent_ms - entry_expiry_ms)
        self._has_list = True
        self._listed_ms = max(sent_ms, self._listed_ms)

    def retain(self, servers: Iterable[BackendServer]) -> None:
        """Forget all servers but these."""
        kept = {server.incarnation for server in servers}
        self._servers = {key: state for key, state in self._servers.items() if key in kept}

    def record_check(self, passed_ms: int, now_ms: int) -> None:
        """Record a periodic check.

        :param passed_ms: time since the one before; a long one shows a pause of this process
        """
        if passed_ms >= MIN_RESTART_MS:
            self._paused_ms = now_ms
        self._checked_ms = now_ms

    def _has_paused(self, now_ms: int) -> bool:
        """Return whether servers may have restarted in a pause, and no list was read since."""
        if self._checked_ms is not None and now_ms - self._checked_ms >= MIN_RESTART_MS:
            return True
        return self._paused_ms >= self._listed_ms and now_ms < self._paused_ms + MAX_DOUBT_MS

    def record_answer(
        self, server: BackendServer, remaining_ms: int | None, sent_ms: int, now_ms: int
    ) -> None:
        """Record the head of an answer.

        :param remaining_ms: remaining time of the cold phase; None if the answer tells nothing
        :param sent_ms: time before the request was sent
        """
        state, service = self._servers.get(server.incarnation), self._services.get(server.service)
        if state is None or service is None:
            return
        if state.is_open_doubt() and sent_ms > state.doubt_ms:
            # A process that has taken the place has started by now.
            state.doubt_ends_ms = now_ms + service.cold_start_ms
        if remaining_ms is None:
            return
        was_cold = now_ms < state.answered_ms
        state.answered_ms = now_ms + remaining_ms
        if remaining_ms and not was_cold:
            self._log(server, "answer", now_ms)

    def record_doubt(self, server: BackendServer, now_ms: int) -> None:
        """Record that the process of a server may have ended and another one taken its place."""
        state, service = self._servers.get(server.incarnation), self._services.get(server.service)
        if state is None or service is None:
            return
        was_in_doubt = now_ms < state.doubt_ends_ms
        state.doubt_ms, state.doubt_revision = now_ms, None
        state.doubt_ends_ms = now_ms + MAX_DOUBT_MS
        if not was_in_doubt:
            self._log(server, "doubt", now_ms)

    def rate_per_s(self, server: BackendServer) -> float | None:
        """Return the rate that a server takes while it is cold; None if it is never cold."""
        service = self._services.get(server.service)
        return None if service is None else service.cold_per_s

    def left_ms(self, server: BackendServer, now_ms: int) -> int:
        """Return for how long a server will be cold; 0 if it is warm."""
        service, state = self._services.get(server.service), self._servers.get(server.incarnation)
        if service is None or state is None:
            return 0
        told_ms = state.told_ms
        if told_ms is None:
            told_ms = self._start_ms(server, state, service, now_ms) + service.cold_start_ms
        ends_ms = max(told_ms, state.answered_ms, state.doubt_ends_ms)
        if now_ms >= ends_ms > self._listed_ms + STALE_LIST_MS:
            # Without lists, nothing may have been sent for long enough to miss a restart.
            ends_ms = self._listed_ms + MAX_DOUBT_MS
        if self._has_paused(now_ms):
            ends_ms = max(ends_ms, now_ms + service.cold_start_ms)
        told_left_ms = max(told_ms, state.answered_ms) - now_ms
        return max(0, told_left_ms, min(ends_ms - now_ms, service.cold_start_ms))

    def _start_ms(
        self, server: BackendServer, state: _ColdServer, service: Service, now_ms: int
    ) -> int:
        """Return when a server started at the latest, if its entry tells nothing else."""
        if state.is_new:
            return state.first_listed_ms
        # It was there before this instance: only the start that it states can tell.
        age_ms = self.wall_ms() - server.started_wall_ms - START_SKEW_MS
        return min(state.first_listed_ms, now_ms - max(0, min(age_ms, service.cold_start_ms)))

    def _log(self, server: BackendServer, source: str, now_ms: int) -> None:
        service = self._services.get(server.service)
        if service is not None:
            _log.info(
                "server_cold",
                server=server.server,
                source=source,
                per_s=f"{service.cold_per_s:g}",
                bound=f"{self.bounds.per_second(service.cold_per_s):g}",
                left_ms=self.left_ms(server, now_ms),
            )
