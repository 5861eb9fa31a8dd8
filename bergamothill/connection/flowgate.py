"""Flow control between a caller and the servers that answer it, on an asyncio event loop."""

from __future__ import annotations

import asyncio

__all__ = ["FlowGate"]


class FlowGate:
    """Stops reading from backend servers while the caller does not keep up."""

    def __init__(self) -> None:
        self.is_paused = False
        self.pause_count = 0
        self._sources: set[asyncio.ReadTransport] = set()

    def attach(self, source: asyncio.ReadTransport) -> None:
        """Add a connection to read from; it is paused at once if the caller lags behind."""
        self._sources.add(source)
        if self.is_paused:
            source.pause_reading()

    def detach(self, source: asyncio.ReadTransport) -> None:
        """Forget a connection."""
        self._sources.discard(source)

    def pause(self) -> None:
        """Stop reading."""
        self.is_paused = True
        self.pause_count += 1
        for source in self._sources:
            source.pause_reading()

    def resume(self) -> None:
        """Read again."""
        self.is_paused = False
        for source in self._sources:
            source.resume_reading()
