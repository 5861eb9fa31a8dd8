"""Ends connections whose peer no longer reads what was written, on an asyncio event loop."""

from __future__ import annotations

import asyncio

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

    def start(self, transport: asyncio.WriteTransport) -> None:
        """Abort the connection if its backlog stops shrinking."""
        self.cancel()
        size_bytes = transport.get_write_buffer_size()
        if size_bytes:
            loop = asyncio.get_running_loop()
            delay_s = ms_to_seconds(BACKLOG_CHECK_MS)
            self._timer = loop.call_later(delay_s, self._check, transport, size_bytes)

    def cancel(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self, transport: asyncio.WriteTransport, previous_bytes: int) -> None:
        left_bytes = transport.get_write_buffer_size()
        if left_bytes >= previous_bytes:
            _log.info("answer_not_read", left_bytes=left_bytes)
            transport.abort()
        else:
            self.start(transport)
