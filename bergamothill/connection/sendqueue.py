"""Bytes that wait until the peer of a connection reads, on an asyncio event loop."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable

__all__ = ["SendQueue"]


class SendQueue:
    """Pieces of a message that are written one by one; a transport would copy what has to wait."""

    def __init__(self) -> None:
        self.size_bytes = 0
        self._pieces: deque[bytes] = deque()
        self._is_paused = False

    def __bool__(self) -> bool:
        """Return whether something was not written."""
        return bool(self._pieces)

    def send(self, transport: asyncio.WriteTransport, pieces: Iterable[bytes]) -> None:
        """Add pieces, and write what the transport takes."""
        for piece in pieces:
            self._pieces.append(piece)
            self.size_bytes += len(piece)
        self._write(transport)

    def pause(self) -> None:
        """Write no more, because the transport's buffer is full."""
        self._is_paused = True

    def resume(self, transport: asyncio.WriteTransport) -> None:
        """Go on writing."""
        self._is_paused = False
        self._write(transport)

    def _write(self, transport: asyncio.WriteTransport) -> None:
        while self._pieces and not self._is_paused and not transport.is_closing():
            piece = self._pieces.popleft()
            self.size_bytes -= len(piece)
            transport.write(piece)

    def clear(self) -> None:
        """Discard what was not written."""
        self._pieces.clear()
        self.size_bytes = 0
