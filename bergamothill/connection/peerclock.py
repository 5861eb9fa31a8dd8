"""Relation between the clocks of two processes, taken from echoed timestamps.

A frame that echoes our timestamp was made after we sent it, however long it waited in a buffer or
behind a paused process. That bounds the age of what a peer reports without synchronized clocks.
"""

from __future__ import annotations

__all__ = ["PeerClock"]

DRIFT_DIVISOR = 2_000
"""Clocks are taken to drift apart by at most one millisecond in this many."""


class PeerClock:
    """Lower bound of a peer's instants on the clock of this process."""

    def __init__(self) -> None:
        self._offset_ms: int | None = None
        self._taken_ms = 0

    def observe(self, echo_ms: int, echo_received_ms: int, now_ms: int) -> None:
        """Take in one frame's echo.

        :param echo_ms: instant on our clock at which we made the echoed frame; -1 for none
        :param echo_received_ms: instant on the peer's clock at which it received that frame
        :param now_ms: instant on our clock
        """
        if not 0 <= echo_ms <= now_ms:
            return
        offset_ms = echo_ms - echo_received_ms
        current = self._current_offset(now_ms)
        if current is None or offset_ms >= current:
            self._offset_ms = offset_ms
            self._taken_ms = now_ms

    def local_ms(self, peer_ms: int, now_ms: int) -> int | None:
        """Convert an instant of the peer.

        :param peer_ms: instant on the peer's clock
        :param now_ms: instant on our clock
        :returns: instant on our clock that is not later than the peer's; None when not known yet
        """
        offset_ms = self._current_offset(now_ms)
        if offset_ms is None:
            return None
        return min(now_ms, peer_ms + offset_ms)

    def _current_offset(self, now_ms: int) -> int | None:
        if self._offset_ms is None:
            return None
        return self._offset_ms - max(0, now_ms - self._taken_ms) // DRIFT_DIVISOR
