"""Token bucket that limits the requests sent to one server; does no I/O."""

from __future__ import annotations

import math

__all__ = ["TokenBucket"]

MS_PER_S = 1_000


class TokenBucket:
    """Token bucket; a new one is empty.

    :param now_ms: current time, in milliseconds
    """

    def __init__(self, now_ms: int) -> None:
        self.rate_per_s = 0.0
        self._capacity = 1.0
        self._tokens = 0.0
        self._filled_ms = now_ms

    def set_rate(self, rate_per_s: float, capacity: float, now_ms: int) -> None:
        """Set the rate at which tokens accrue, and the most that are kept."""
        self._fill(now_ms)
        self.rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def empty(self, now_ms: int) -> None:
        """Drop all tokens."""
        self._tokens = 0.0
        self._filled_ms = now_ms

    def try_spend(self, now_ms: int) -> bool:
        """Take a token if there is one."""
        self._fill(now_ms)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def wait_ms(self, now_ms: int) -> int | None:
        """Return the time until there is a token; None if none accrues."""
        self._fill(now_ms)
        if self._tokens >= 1:
            return 0
        if not self.rate_per_s:
            return None
        return math.ceil((1 - self._tokens) / self.rate_per_s * MS_PER_S)

    def _fill(self, now_ms: int) -> None:
        passed_s = max(0, now_ms - self._filled_ms) / MS_PER_S
        self._filled_ms = max(now_ms, self._filled_ms)
        self._tokens = min(self._capacity, self._tokens + passed_s * self.rate_per_s)
