"""Whether an instance can serve callers, and the handler of checks of that and of metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Sequence
from enum import Enum

from bergamothill.clock import Clock, SystemClock
from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.connection.callerintake import CallerIntake
from bergamothill.logs import EventLog
from bergamothill.platform.httppaths import METRICS_PATH, READINESS_PATH
from bergamothill.process.configstate import ConfigState
from bergamothill.process.quarantinegate import QuarantineGate
from bergamothill.process.serverpool import ServerPool
from bergamothill.process.supervisor import Supervisor
from bergamothill.request.callerrequest import RawRequest
from bergamothill.version.routetable import CallerLimits

__all__ = ["Lack", "Readiness", "ReadinessHandler"]

_log = EventLog("node")


class Lack(Enum):
    """What an instance lacks to serve callers."""

    CONFIGURATION = "configuration"
    RECENT_CONFIGURATION = "recent_configuration"
    SERVER_LIST = "server_list"
    VERDICTS = "verdicts"
    HEALTH = "health"
    TIME_LEFT = "time_left"


class Readiness:
    """Whether an instance can serve callers; logs each change of what it lacks.

    :param clock: source of time
    :param config: configuration in force
    :param server_pool: observed state of the backend servers
    :param gate: quarantine of parts of requests
    :param supervisor: restarts the parts of this process
    """

    def __init__(
        self,
        clock: Clock,
        config: ConfigState,
        server_pool: ServerPool,
        gate: QuarantineGate,
        supervisor: Supervisor,
    ) -> None:
        self._clock = clock
        self._config = config
        self._server_pool = server_pool
        self._gate = gate
        self._supervisor = supervisor
        self.is_stopping = False
        self._lacks: tuple[Lack, ...] | None = None

    def is_ready(self) -> bool:
        """Return whether the instance lacks nothing."""
        now_ms = self._clock.now_ms()
        lacks = tuple(self._find_lacks(now_ms))
        if lacks != self._lacks:
            self._lacks = lacks
            self._log_change(now_ms)
        return not lacks

    def _find_lacks(self, now_ms: int) -> Iterator[Lack]:
        if self._config.table is None:
            yield Lack.CONFIGURATION
        elif not self._config.is_config_fresh(now_ms):
            yield Lack.RECENT_CONFIGURATION
        if self._server_pool.listed_ms is None:
            yield Lack.SERVER_LIST
        if not self._gate.has_read:
            yield Lack.VERDICTS
        if not self._supervisor.is_healthy():
            yield Lack.HEALTH
        if self.is_stopping:
            yield Lack.TIME_LEFT

    def _log_change(self, now_ms: int) -> None:
        age_ms = self._config.age_ms(now_ms)
        _log.info(
            "readiness",
            is_ready=not self._lacks,
            lacks=" ".join(lack.value for lack in self._lacks) or "-",
            config_revision=self._config.revision,
            config_age_ms=-1 if age_ms is None else age_ms,
            config_read_by=self._config.confirmed_by or "own",
        )


class ReadinessHandler:
    """Request handler for readiness checks and metrics.

    :param is_ready: returns whether this instance can serve callers
    :param metrics: returns the metrics as text
    :param intake: what the connections share; None for the default limits
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        metrics: Callable[[], str],
        intake: CallerIntake | None = None,
    ) -> None:
        self.intake = intake or CallerIntake(SystemClock())
        self._is_ready = is_ready
        self._metrics = metrics

    def limits(self) -> CallerLimits:
        """Return the default limits."""
        return CallerLimits()

    def is_draining(self) -> bool:
        """Return False, so that connections for checks stay open during a graceful shutdown."""
        return False

    def record_dropped(self, requests: Sequence[RawRequest]) -> None:
        """Do not log checks that were dropped."""

    def start(self, connection: CallerConnection, request: RawRequest) -> Callable[[], None]:
        """Schedule the answer to a request; return a function that cancels it."""
        handle = asyncio.get_running_loop().call_soon(self._answer, connection, request)
        return handle.cancel

    def _answer(self, connection: CallerConnection, request: RawRequest) -> None:
        path = request.target.partition(b"?")[0]
        if path == READINESS_PATH:
            connection.send_response(200 if self._is_ready() else 503, [], b"")
        elif path == METRICS_PATH:
            connection.send_response(
                200, [(b"Content-Type", b"text/plain")], self._metrics().encode()
            )
        else:
            connection.send_response(404, [], b"")
