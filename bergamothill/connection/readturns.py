"""Turns of connections whose bytes cost more to read than they bring, on an asyncio event loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque

__all__ = ["TURN_BYTES", "ReadTurns"]

TURN_BYTES = 16_384
"""Maximum bytes of such a connection to parse before other connections get their turn."""


class ReadTurns:
    """Lets one of the waiting connections read in each turn of the event loop.

    All other events are handled between two of these turns.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.ReadTransport] = deque()

    def limit_buffer(self, transport: asyncio.ReadTransport) -> None:
        """Let the kernel hold little of what a connection receives until it is read."""
        with contextlib.suppress(OSError):
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, TURN_BYTES)

    def wait(self, transport: asyncio.ReadTransport) -> None:
        """Read no more from a connection until it is its turn."""
        transport.pause_reading()
        self._waiting.append(transport)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._next)

    def _next(self) -> None:
        self._waiting.popleft().resume_reading()
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._next)
