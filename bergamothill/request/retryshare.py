"""Retry budget of a service: the share of one entry instance, in a sliding window; no clock.

The budget belongs to the whole deployment. Each entry instance spends a share that stays within it
whatever the others do: the ratio of the requests that it took itself, and an equal part of the
slack.
"""

from __future__ import annotations

from collections import deque

__all__ = ["RetryShare"]

SAFETY = 0.8
"""Part of the share that is spent; repeats and requests may fall into windows differently."""


class RetryShare:
    """Repeats that may be sent to one service.

    :param ratio: repeats allowed for each request
    :param slack: repeats allowed beyond that, in one window, for this entry instance
    :param window_ms: length of the window, in milliseconds
    """

    def __init__(self, ratio: float, slack: float, window_ms: int) -> None:
        self.slack = slack
        self.ratio = ratio
        self._window_ms = window_ms
        self._requests: deque[int] = deque()
        self._repeats: deque[int] = deque()

    def arrived(self, now_ms: int) -> None:
        """Count a request of a caller."""
        self._requests.append(now_ms)
        _drop_before(self._requests, now_ms - self._window_ms)

    def try_spend(self, now_ms: int) -> bool:
        """Spend one repeat.

        :param now_ms: current time, in milliseconds
        :returns: False when the share is used up
        """
        _drop_before(self._requests, now_ms - self._window_ms)
        _drop_before(self._repeats, now_ms - self._window_ms)
        allowed = SAFETY * (self.ratio * len(self._requests) + self.slack)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_ms)
        return True


def _drop_before(instants: deque[int], start_ms: int) -> None:
    while instants and instants[0] < start_ms:
        instants.popleft()
