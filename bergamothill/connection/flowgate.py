"""Flow control between a caller and the server that answers it, on an asyncio event loop."""

from __future__ import annotations

import asyncio

__all__ = ["FlowGate"]


class FlowGate:
    """Stops reading from a backend server while the caller does not keep up."""

    def __init__(self) -> None:
        self.is_paused = False
        self._source: asyncio.ReadTransport | None = None

    def attach(self, source: asyncio.ReadTransport) -> None:
        """Set the connection to read from; it is paused at once if the caller lags behind."""
        self._source = source
        if self.is_paused:
            source.pause_reading()

    def detach(self) -> None:
        """Forget the connection."""
        self._source = None

    def pause(self) -> None:
        """Stop reading."""
        self.is_paused = True
        if self._source is not None:
            self._source.pause_reading()

    def resume(self) -> None:
        """Read again."""
        self.is_paused = False
        if self._source is not None:
            self._source.resume_reading()
