"""Monotonic and wall clocks with a resolution of one millisecond."""

from __future__ import annotations

import threading
import time
from abc import ABC, abstractmethod
from typing import NewType

__all__ = ["Clock", "ManualClock", "Millis", "SystemClock", "ms_to_seconds"]

Millis = NewType("Millis", int)
"""An instant or a duration in milliseconds."""


def ms_to_seconds(duration_ms: int) -> float:
    """Convert milliseconds to the seconds that the standard library expects.

    :param duration_ms: duration in milliseconds
    :returns: the same duration in seconds
    """
    return duration_ms / 1000


class Clock(ABC):
    """Source of time, passed in as a parameter so that tests and replays can control it."""

    @abstractmethod
    def now_ms(self) -> Millis:
        """Return a monotonic time in milliseconds, comparable within this process only."""

    @abstractmethod
    def wall_ms(self) -> Millis:
        """Return milliseconds since the Unix epoch, for records that outlive the process."""

    @abstractmethod
    def sleep_ms(self, duration_ms: int) -> None:
        """Block the calling thread.

        :param duration_ms: how long, in milliseconds
        """


class SystemClock(Clock):
    """System clock.

    ``CLOCK_BOOTTIME`` is used where it exists, because ``CLOCK_MONOTONIC`` stops while the machine
    is suspended, so that outdated state would still look current after a resume.
    """

    _CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

    def now_ms(self) -> Millis:
        """Return the time since boot in milliseconds, including suspends where supported."""
        return Millis(time.clock_gettime_ns(self._CLOCK_ID) // 1_000_000)

    def wall_ms(self) -> Millis:
        """Return the real-time clock in milliseconds since the Unix epoch."""
        return Millis(time.time_ns() // 1_000_000)

    def sleep_ms(self, duration_ms: int) -> None:
        """Block the calling thread for the duration; a negative one counts as 0."""
        time.sleep(ms_to_seconds(max(0, duration_ms)))


class ManualClock(Clock):
    """Clock that advances only when it is told to, for tests and replays."""

    # 2023-11-14T22:13:20Z. An offset other than 0 keeps wall time distinct from monotonic time.
    _WALL_OFFSET_MS = 1_700_000_000_000

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms
        self._lock = threading.Lock()

    def now_ms(self) -> Millis:
        """Return the current manual time."""
        return Millis(self._now_ms)

    def wall_ms(self) -> Millis:
        """Return the current manual time plus a fixed offset."""
        return Millis(self._now_ms + self._WALL_OFFSET_MS)

    def sleep_ms(self, duration_ms: int) -> None:
        """Advance the clock instead of blocking."""
        self.advance_ms(duration_ms)

    def advance_ms(self, duration_ms: int) -> None:
        """Advance the clock.

        :param duration_ms: how far, in milliseconds; a negative value counts as 0
        """
        with self._lock:
            self._now_ms += max(0, duration_ms)
