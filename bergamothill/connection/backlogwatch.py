"""Ends connections whose peer no longer reads what was written, on an asyncio event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from bergamothill.clock import ms_to_seconds
from bergamothill.logs import EventLog

__all__ = ["BacklogWatch"]

BACKLOG_CHECK_MS = 30_000
"""Time in which some of the backlog must be read."""

_log = EventLog("gateway")


class BacklogWatch:
    """Watches the bytes that a connection has still to send; nothing is added to them meanwhile."""

    def __init__(self) -> None:
        self._timer: asyncio.TimerHandle | None = None

    def start(self, transport: asyncio.WriteTransport, left_bytes: Callable[[], int]) -> None:
        """Abort the connection if its backlog stops shrinking.

        :param transport: transport of the connection
        :param left_bytes: returns the size of the backlog
        """
        self.cancel()
        size_bytes = left_bytes()
        if size_bytes:
            loop = asyncio.get_running_loop()
            delay_s = ms_to_seconds(BACKLOG_CHECK_MS)
            self._timer = loop.call_later(delay_s, self._check, transport, left_bytes, size_bytes)

    def cancel(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(
        self, transport: asyncio.WriteTransport, left_bytes: Callable[[], int], before_bytes: int
    ) -> None:
        size_bytes = left_bytes()
        if size_bytes >= before_bytes:
            _log.info("answer_not_read", left_bytes=size_bytes)
            transport.abort()
        else:
            self.start(transport, left_bytes)
