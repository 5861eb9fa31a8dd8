"""Slow start of servers that have started or recovered; no I/O and no clock.

Each instance learns from its own answers and tells the others the level it has come to. A rate that
was lowered later counts, and else the higher one of the same recovery. Shares are divided by
:class:`~bergamothill.process.serverlimits.ServerLimits`.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from statistics import median

from bergamothill.ids import EntryInstanceId, ServerId, ServiceName
from bergamothill.logs import EventLog
from bergamothill.process.backends import BackendServer
from bergamothill.process.pacereport import PaceReport, ReportedPace
from bergamothill.request.pace import (
    MIN_PER_S,
    SLOW_RATIO,
    START_PER_S,
    GradientPace,
    PaceController,
    PaceLevel,
)
from bergamothill.version.routetable import Service

__all__ = ["ServerPaces"]

ENOUGH_PER_S = 200.0
"""Rate at which no server of the deployments is held back any more."""

ENOUGH_LOAD = 0.9
"""Share of the load of the others at which a server is as busy as they are."""

FAILURE_MEMORY_MS = 30_000
"""Time for which a server stays below the rate at which it failed."""

BELOW_FAILURE = 0.4
"""Share of that rate: while it doubles every 350 ms, half of it was sent in the last second."""

SAME_RECOVERY_MS = 2_000
"""Most by which two instances notice a recovery apart; two reads of the server list."""

OWN_NEWS_MS = 2_000
UNHEARD_MS = 3_000
"""Time without answers and reports; a server that answers well is at its full rate by then."""

LATE_MS = 20
"""Time by which any answer may be later than usual."""

SAMPLES = 32
MIN_SAMPLES = 5

_log = EventLog("gateway")

Incarnation = tuple[ServerId, int]


@dataclass(slots=True)
class _PacedServer:
    """Slow start of one incarnation.

    :param began_ms: time at which it began
    :param level: level from which the rate rises
    :param lowered_ms: time at which it was last lowered; 0 if never
    :param good_ms: time of the last good answer, to whichever instance; 0 if there was none
    :param own_ms: time of the last answer to this instance
    :param failed_per_s: rate at which it last failed; 0 if it did not
    :param held_ms: time at which another limit last held it back; 0 if none did
    :param heard_ms: time of the last answer to this instance or report of a peer
    """

    began_ms: int
    level: PaceLevel
    lowered_ms: int = 0
    good_ms: int = 0
    own_ms: int = 0
    failed_per_s: float = 0.0
    held_ms: int = 0
    heard_ms: int = 0


class ServerPaces:
    """Paces of all servers in slow start.

    :param controller: how rates rise and fall
    """

    def __init__(self, controller: PaceController | None = None) -> None:
        self._controller = controller or GradientPace()
        self._services: frozenset[ServiceName] = frozenset()
        self._servers: dict[Incarnation, _PacedServer] = {}
        self._failures: dict[ServerId, tuple[float, int]] = {}
        self._usual_ms: dict[tuple[ServiceName, int], deque[float]] = {}
        self.report_revision = 0
        self.on_news: Callable[[], None] = lambda: None

    @property
    def has_any(self) -> bool:
        """Whether any server is in slow start."""
        return bool(self._servers)

    def set_services(
        self, services: Mapping[ServiceName, Service], *, names_bound: bool = False
    ) -> None:
        """Set the services whose servers have a slow start.

        :param names_bound: whether the settings name a bound for cold servers, so that engines
            have one, too
        """
        self._services = frozenset(
            name
            for name, service in services.items()
            if service.cold_per_s > 0 or (names_bound and service.engine is not None)
        )

    # When a slow start begins and ends.

    def begin(
        self, server: BackendServer, reason: str, at_ms: int, paced: int, others: int
    ) -> None:
        """Begin the slow start of a server that has started or recovered.

        :param reason: what it recovered from, for the log
        :param at_ms: time from which on it gets requests
        :param paced: number of other usable servers of its service in slow start
        :param others: number of those that are not
        """
        if server.service not in self._services or paced + 1 > others:
            return
        self._servers[server.incarnation] = _PacedServer(at_ms, PaceLevel(START_PER_S, at_ms))
        _log.info("server_pace_begins", server=server.server, reason=reason)

    def end_if_busy(self, server: BackendServer, load: float, others: float, now_ms: int) -> None:
        """End a slow start once the server is as busy as the others of its service.

        :param load: its requests in progress
        :param others: mean of those of the others
        """
        rate_per_s = self.rate_per_s(server, now_ms)
        if rate_per_s is None or self._ceiling_per_s(server, now_ms) < math.inf:
            return
        is_busy = others >= 1 and load >= ENOUGH_LOAD * others
        if is_busy or rate_per_s >= ENOUGH_PER_S:
            state = self._servers.pop(server.incarnation)
            _log.info(
                "server_pace_ends",
                server=server.server,
                per_s=f"{rate_per_s:.3g}",
                took_ms=now_ms - state.began_ms,
            )

    def paced(self) -> frozenset[Incarnation]:
        """Return the incarnations in slow start."""
        return frozenset(self._servers)

    def retain(self, servers: Iterable[BackendServer]) -> None:
        """Forget all servers but these."""
        kept = {server.incarnation for server in servers}
        self._servers = {key: state for key, state in self._servers.items() if key in kept}
        names = {server for server, _ in kept}
        self._failures = {s: failure for s, failure in self._failures.items() if s in names}

    # Rates.

    def rate_per_s(self, server: BackendServer, now_ms: int) -> float | None:
        """Return the pace of a server, for all instances together; None if it has none."""
        state = self._servers.get(server.incarnation)
        if state is None:
            return None
        rate = self._controller.rate_per_s(state.level, state.good_ms, now_ms)
        return min(rate, max(MIN_PER_S, self._ceiling_per_s(server, now_ms)))

    def is_unheard(self, server: BackendServer, now_ms: int) -> bool:
        """Return whether nobody tells how a server answers, so that this instance has to find out.

        Others have no slow start of a server that only this one found away, and so tell nothing.
        """
        state = self._servers.get(server.incarnation)
        return state is not None and now_ms - max(state.began_ms, state.heard_ms) >= UNHEARD_MS

    def hold_below(self, server: BackendServer, most_per_s: float, now_ms: int) -> None:
        """Let the rate rise from another limit that it has reached, once that has ended."""
        state, rate_per_s = self._servers.get(server.incarnation), self.rate_per_s(server, now_ms)
        if state is not None and rate_per_s > most_per_s:
            state.level, state.held_ms = PaceLevel(most_per_s, now_ms), now_ms

    def _ceiling_per_s(self, server: BackendServer, now_ms: int) -> float:
        per_s, failed_ms = self._failures.get(server.server, (math.inf, -FAILURE_MEMORY_MS))
        return BELOW_FAILURE * per_s if now_ms - failed_ms < FAILURE_MEMORY_MS else math.inf

    # Answers.

    def record_answer(
        self, server: BackendServer, size: int, took_ms: int, sent_ms: int, now_ms: int
    ) -> None:
        """Record the beginning of an answer.

        :param size: length of the prompt; answers to requests of like size are compared
        :param took_ms: time since the request was sent
        """
        if server.service not in self._services:
            return
        key = (server.service, size.bit_length())
        samples = self._usual_ms.setdefault(key, deque(maxlen=SAMPLES))
        state = self._servers.get(server.incarnation)
        if state is None:
            samples.append(took_ms)
            return
        state.own_ms = state.heard_ms = now_ms
        usual_ms = median(samples) if len(samples) >= MIN_SAMPLES else None
        ratio = 1.0 if usual_ms is None else (took_ms - LATE_MS) / max(1.0, usual_ms)
        if ratio > SLOW_RATIO:
            self._lower(server, state, ratio, sent_ms, now_ms)
        else:
            state.good_ms = now_ms

    def record_rejection(self, server: BackendServer, sent_ms: int, now_ms: int) -> None:
        """Record that a server rejected a request."""
        state = self._servers.get(server.incarnation)
        if state is not None:
            state.own_ms = now_ms
            self._lower(server, state, None, sent_ms, now_ms)

    def record_failure(self, server: BackendServer, sent_ms: int, now_ms: int) -> None:
        """Record that a request to a server failed."""
        state, rate_per_s = self._servers.get(server.incarnation), self.rate_per_s(server, now_ms)
        if state is not None and sent_ms > state.lowered_ms:
            state.own_ms, state.failed_per_s = now_ms, rate_per_s
            self._lower(server, state, None, sent_ms, now_ms)
            self._failures[server.server] = (rate_per_s, now_ms)

    def _lower(
        self,
        server: BackendServer,
        state: _PacedServer,
        ratio: float | None,
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """Lower a rate, unless the request was sent before the last time it was."""
        if sent_ms <= state.lowered_ms:
            return
        rate = self._controller.lowered(self.rate_per_s(server, now_ms), ratio)
        state.level, state.lowered_ms = PaceLevel(rate, now_ms), now_ms
        self.report_revision += 1
        self.on_news()
        _log.info(
            "server_pace_lowered",
            server=server.server,
            per_s=f"{rate:.3g}",
            ratio="-" if ratio is None else f"{ratio:.2f}",
        )

    # What instances tell each other.

    def report(self, own: EntryInstanceId, now_ms: int) -> PaceReport:
        """Return the paces of the servers that have answered this instance lately."""
        rows = [
            ReportedPace(
                server=server,
                started_wall_ms=started_wall_ms,
                per_s=state.level.per_s,
                level_age_ms=now_ms - state.level.at_ms,
                began_age_ms=now_ms - state.began_ms,
                lowered_age_ms=now_ms - state.lowered_ms if state.lowered_ms else None,
                good_age_ms=now_ms - state.good_ms if state.good_ms else None,
                failed_per_s=state.failed_per_s,
            )
            for (server, started_wall_ms), state in self._servers.items()
            if state.own_ms and now_ms - state.own_ms <= OWN_NEWS_MS
        ]
        return PaceReport(own, tuple(rows))

    def merge(self, report: PaceReport, now_ms: int) -> None:
        """Merge what a peer has found; servers without a slow start here are left out."""
        for row in report.paces:
            state = self._servers.get((row.server, row.started_wall_ms))
            if state is None:
                continue
            state.heard_ms = now_ms
            self._merge_level(state, row, now_ms)
            if row.good_age_ms is not None:
                state.good_ms = max(state.good_ms, now_ms - row.good_age_ms)
            if row.failed_per_s:
                self._failures[row.server] = (row.failed_per_s, now_ms - (row.lowered_age_ms or 0))

    def _merge_level(self, state: _PacedServer, row: ReportedPace, now_ms: int) -> None:
        level = PaceLevel(row.per_s, now_ms - row.level_age_ms)
        lowered_ms = 0 if row.lowered_age_ms is None else now_ms - row.lowered_age_ms
        if lowered_ms and lowered_ms < state.began_ms:
            return
        if lowered_ms > state.lowered_ms:
            state.level, state.lowered_ms = level, lowered_ms
        elif lowered_ms == state.lowered_ms == 0:
            is_same = abs(now_ms - row.began_age_ms - state.began_ms) <= SAME_RECOVERY_MS
            if is_same and state.held_ms <= level.at_ms < state.level.at_ms:
                state.level = level
