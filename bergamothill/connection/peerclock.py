"""Offset between the clocks of two processes, estimated from echoed timestamps.

A frame that echoes a local timestamp was created after that timestamp was sent, no matter how long
either frame was delayed by buffers or a paused process. This bounds the age of the data that a peer
reports without synchronized clocks.
"""

from __future__ import annotations

__all__ = ["PeerClock"]

DRIFT_DIVISOR = 2_000
"""Assumed maximum clock drift: one millisecond in this many milliseconds."""


class PeerClock:
    """Converts times of a peer's clock to lower bounds on the clock of this process."""

    def __init__(self) -> None:
        self._offset_ms: int | None = None
        self._observed_ms = 0

    def observe(self, echo_ms: int, echo_received_ms: int, now_ms: int) -> None:
        """Update the offset from the echo in a received frame; keep the highest lower bound.

        :param echo_ms: local time at which the echoed frame was created; -1 for none
        :param echo_received_ms: time on the peer's clock at which it received that frame
        :param now_ms: current local time
        """
        if not 0 <= echo_ms <= now_ms:
            return
        offset_ms = echo_ms - echo_received_ms
        current = self._current_offset(now_ms)
        if current is None or offset_ms >= current:
            self._offset_ms = offset_ms
            self._observed_ms = now_ms

    def to_local_ms(self, peer_ms: int, now_ms: int) -> int | None:
        """Convert a time on the peer's clock.

        :param peer_ms: time on the peer's clock
        :param now_ms: current local time
        :returns: lower bound of the same moment in local time; None while the offset is unknown
        """
        offset_ms = self._current_offset(now_ms)
        if offset_ms is None:
            return None
        return min(now_ms, peer_ms + offset_ms)

    def _current_offset(self, now_ms: int) -> int | None:
        if self._offset_ms is None:
            return None
        return self._offset_ms - max(0, now_ms - self._observed_ms) // DRIFT_DIVISOR
