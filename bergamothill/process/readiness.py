"""HTTP handler for readiness checks of the load balancer and for metrics scrapes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from bergamothill.clock import SystemClock
from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.connection.callerintake import CallerIntake
from bergamothill.platform.httppaths import METRICS_PATH, READINESS_PATH
from bergamothill.request.callerrequest import RawRequest
from bergamothill.version.routetable import CallerLimits

__all__ = ["ReadinessHandler"]


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
