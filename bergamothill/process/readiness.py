"""Answers the balancer's readiness checks and the reader of metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.platform.checks import METRICS_PATH, READINESS_PATH
from bergamothill.request.callerrequest import RawRequest
from bergamothill.version.routetable import CallerLimits

__all__ = ["ReadinessHandler"]


class ReadinessHandler:
    """Handler of the connections of checks.

    :param is_ready: tells whether callers can be served
    :param metrics: returns the metrics as text
    """

    def __init__(self, is_ready: Callable[[], bool], metrics: Callable[[], str]) -> None:
        self._is_ready = is_ready
        self._metrics = metrics

    def limits(self) -> CallerLimits:
        """Return the usual bounds."""
        return CallerLimits()

    def is_draining(self) -> bool:
        """Keep the connections of checks through a stop."""
        return False

    def start(self, connection: CallerConnection, request: RawRequest) -> Callable[[], None]:
        """Answer a check."""
        handle = asyncio.get_running_loop().call_soon(self._answer, connection, request)
        return handle.cancel

    def _answer(self, connection: CallerConnection, request: RawRequest) -> None:
        path = request.target.partition(b"?")[0]
        if path == READINESS_PATH:
            connection.answer(200 if self._is_ready() else 503, [], b"")
        elif path == METRICS_PATH:
            connection.answer(200, [(b"Content-Type", b"text/plain")], self._metrics().encode())
        else:
            connection.answer(404, [], b"")
