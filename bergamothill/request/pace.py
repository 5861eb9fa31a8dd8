"""Pace of a server in slow start: how its rate rises and falls; no I/O and no clock.

A level is the rate at a time. The rate rises from it by the time for which answers stay good, so
that instances that know the same level and the same last good answer compute the same rate.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

__all__ = ["START_PER_S", "AdditivePace", "GradientPace", "PaceController", "PaceLevel"]

START_PER_S = 3.0
"""Rate of a server of which nothing is known; a third of what a cold server of Suksawat takes."""

MIN_PER_S = 2.0
"""Lowest rate, which still brings an answer within the time in which a healthy server recovers."""

SLOW_RATIO = 1.6
"""Ratio to the usual time above which an answer is slow; servers differ by a factor of 1.3."""

GOOD_FOR_MS = 500
"""Time for which a good answer lets the rate rise; longer than most answers take."""

DOUBLING_MS = 350
ADDED_PER_S2 = 20.0
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class PaceLevel:
    """Rate at a time.

    :param per_s: requests per second for all entry instances together
    :param at_ms: time from which on it rises
    """

    per_s: float
    at_ms: int

    def risen_ms(self, good_ms: int, now_ms: int) -> int:
        """Return for how long the rate has risen.

        :param good_ms: time of the last good answer
        """
        return max(0, min(now_ms, good_ms + GOOD_FOR_MS) - self.at_ms) if good_ms else 0


class PaceController(Protocol):
    """How a rate rises and falls."""

    def rate_per_s(self, level: PaceLevel, good_ms: int, now_ms: int) -> float:
        """Return the rate at a time."""

    def lowered(self, rate_per_s: float, ratio: float | None) -> float:
        """Return the rate after an answer that was not good.

        :param ratio: its time by the usual one; None if it failed or was rejected
        """


class GradientPace:
    """Doubles at a constant interval; a slow answer lowers the rate by how slow it was."""

    def rate_per_s(self, level: PaceLevel, good_ms: int, now_ms: int) -> float:
        """Return the rate at a time."""
        return level.per_s * 2 ** min(20.0, level.risen_ms(good_ms, now_ms) / DOUBLING_MS)

    def lowered(self, rate_per_s: float, ratio: float | None) -> float:
        """Return the rate after an answer that was not good."""
        factor = 0.5 if ratio is None else max(0.5, SLOW_RATIO / ratio)
        return max(MIN_PER_S, rate_per_s * factor)


class AdditivePace:
    """Rises by a constant amount a second; any answer that is not good halves the rate."""

    def rate_per_s(self, level: PaceLevel, good_ms: int, now_ms: int) -> float:
        """Return the rate at a time."""
        return level.per_s + ADDED_PER_S2 * level.risen_ms(good_ms, now_ms) / MS_PER_S

    def lowered(self, rate_per_s: float, ratio: float | None) -> float:
        """Return the rate after an answer that was not good."""
        return max(MIN_PER_S, rate_per_s / 2)
