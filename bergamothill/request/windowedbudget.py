"""Share of an entry instance in a service's retry budget, in a sliding window; reads no clock.

The budget applies to the whole deployment. The shares of the entry instances never add up to more
than the budget: each instance may spend the ratio of the requests that it received itself, plus an
equal part of the slack. In the first window after its start it has no part of the slack, as the
process before it may have spent it.
"""

from __future__ import annotations

from collections import deque

__all__ = ["WindowedRetryBudget"]

SAFETY_FACTOR = 0.8
"""Fraction of the share that is spent, as retries and requests may fall into different windows."""


class WindowedRetryBudget:
    """Retries that this entry instance may send to one service.

    :param ratio: retries allowed per request
    :param slack: additional retries allowed in one window, for this entry instance
    :param window_ms: length of the window, in milliseconds
    :param started_ms: time at which this process started
    """

    def __init__(self, ratio: float, slack: float, window_ms: int, *, started_ms: int) -> None:
        self.slack = slack
        self.ratio = ratio
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()

    def record_request(self, now_ms: int) -> None:
        """Record a request from a caller."""
        self._requests.append(now_ms)
        _drop_before(self._requests, now_ms - self._window_ms)

    def left(self, now_ms: int) -> int:
        """Return the number of retries that may be spent now.

        :param now_ms: current time, in milliseconds
        """
        _drop_before(self._requests, now_ms - self._window_ms)
        _drop_before(self._retries, now_ms - self._window_ms)
        has_slack = now_ms - self._started_ms > self._window_ms
        slack = self.slack if has_slack else 0.0
        allowed = SAFETY_FACTOR * (self.ratio * len(self._requests) + slack)
        return max(0, int(allowed - len(self._retries)))

    def try_spend(self, now_ms: int) -> bool:
        """Spend one retry.

        :param now_ms: current time, in milliseconds
        :returns: False if the share is used up
        """
        if not self.left(now_ms):
            return False
        self._retries.append(now_ms)
        return True


def _drop_before(instants: deque[int], start_ms: int) -> None:
    while instants and instants[0] < start_ms:
        instants.popleft()
