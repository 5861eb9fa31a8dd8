"""Times of the reads of a prefix that several instances share."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ReadTimes", "poll_interval_ms"]

POLLS_PER_BOUND = 2
READ_MARGIN_MS = 100
MIN_POLL_INTERVAL_MS = 200

MAX_SILENCE_MS = 1_200
MAX_SPREAD_MS = 1_000


def poll_interval_ms(bound_ms: int) -> int:
    """Return how often to read a prefix whose changes must be known in time without a watch.

    :param bound_ms: time within which a change must be known
    """
    return max(MIN_POLL_INTERVAL_MS, bound_ms // POLLS_PER_BOUND - READ_MARGIN_MS)


@dataclass(frozen=True, slots=True)
class ReadTimes:
    """Times of one prefix.

    :param interval_ms: time between two reads of a reader
    :param bound_ms: time in which a change must be known everywhere
    """

    interval_ms: int
    bound_ms: int

    @classmethod
    def of_bound(cls, bound_ms: int) -> ReadTimes:
        """Return the times by which a change is known in time without a watch."""
        return cls(poll_interval_ms(bound_ms), bound_ms)

    @property
    def silence_ms(self) -> int:
        """Time without a confirmation after which the next in rank reads."""
        return min(MAX_SILENCE_MS, self.bound_ms * 2 // 5)

    @property
    def spread_ms(self) -> int:
        """Time over which the reads of all ranks are spread after that."""
        return min(MAX_SPREAD_MS, self.bound_ms // 3)

    @property
    def max_age_ms(self) -> int:
        """Age of the newest read known after which the next in rank reads."""
        return self.interval_ms + (self.bound_ms - self.interval_ms) // 2
