"""Progress of one stream, by its events; does no I/O and has no clock.

Bytes alone are no progress: a server may send comments or single bytes for as long as it likes. How
long a stream may pause depends on the pauses that it has made before.
"""

from __future__ import annotations

__all__ = ["StreamProgress"]

MIN_STALL_MS = 1_700
"""Callers disconnect after two seconds of silence at the earliest."""

STALL_FACTOR = 4
"""Times the longest pause of the stream so far, and the gap objective of its route."""

MAX_CHECK_GAP_MS = 500
"""Time without a check that shows a pause of this process."""


class StreamProgress:
    """Progress of one stream at one server.

    :param event_gap_ms: time between events that meets the objective of the route
    """

    def __init__(self, event_gap_ms: int) -> None:
        self._event_gap_ms = event_gap_ms
        self._latest_ms: int | None = None
        self._longest_pause_ms = 0
        self._checked_ms: int | None = None

    def record_event(self, now_ms: int) -> None:
        """Record that an event came that is more than a comment."""
        if self._latest_ms is not None:
            self._longest_pause_ms = max(self._longest_pause_ms, now_ms - self._latest_ms)
        self._latest_ms = now_ms

    def has_stalled(self, now_ms: int, *, is_unread: bool) -> bool:
        """Return whether a stream that has begun has made a longer pause than it should.

        :param is_unread: whether its answer is not read here, as its caller does not keep up
        """
        checked_ms, self._checked_ms = self._checked_ms, now_ms
        if self._latest_ms is None:
            return False
        # The pause may have begun before the first check.
        seen_ms = self._latest_ms if checked_ms is None else checked_ms
        if is_unread or now_ms - seen_ms >= MAX_CHECK_GAP_MS:
            self._latest_ms = now_ms
        pause_ms = STALL_FACTOR * max(self._longest_pause_ms, self._event_gap_ms)
        return now_ms - self._latest_ms >= max(MIN_STALL_MS, pause_ms)
