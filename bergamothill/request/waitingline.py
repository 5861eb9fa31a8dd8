"""Requests that wait for room at the engines, and whether waiting can still help; no I/O.

It answers the load at which requests in progress fill the engines' memory: one more would make an
engine preempt a run and read its prompt again, which slows all others.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field

__all__ = ["WaitingLine", "WaitingRequest"]

RATE_WINDOW_MS = 2_000
"""Time over which the rate of admissions is measured."""

LEAST_ADMISSIONS = 4
"""Admissions in the window below which the rate says nothing."""


@dataclass(order=True, slots=True)
class WaitingRequest:
    """A request that waits.

    :param urgency: 0 comes first
    :param arrived_ms: when it arrived
    :param tokens: memory that it needs at an engine
    :param leaves_ms: when its caller gives up if nothing was sent to it
    """

    urgency: int
    arrived_ms: int
    tokens: int = field(compare=False)
    leaves_ms: int = field(compare=False)
    is_over: bool = field(default=False, compare=False)


class WaitingLine:
    """Line of one service at one entry instance, by urgency and arrival."""

    def __init__(self) -> None:
        self._heap: list[WaitingRequest] = []
        self._admitted: deque[tuple[int, int]] = deque()

    def __len__(self) -> int:
        return sum(not request.is_over for request in self._heap)

    def join(self, request: WaitingRequest, now_ms: int) -> bool:
        """Let a request wait.

        :returns: False when those before it will take longer than its caller waits
        """
        if now_ms + self._expected_wait_ms(request, now_ms) >= request.leaves_ms:
            return False
        heapq.heappush(self._heap, request)
        return True

    def head(self) -> WaitingRequest | None:
        """Return the request that comes next; it stays in the line."""
        while self._heap and self._heap[0].is_over:
            heapq.heappop(self._heap)
        return self._heap[0] if self._heap else None

    def leave(self, request: WaitingRequest) -> None:
        """Take a request out of the line."""
        request.is_over = True

    def is_behind(self, urgency: int) -> bool:
        """Tell whether a new request of this urgency has to wait behind others."""
        head = self.head()
        return head is not None and head.urgency <= urgency

    def admitted(self, tokens: int, now_ms: int) -> None:
        """Count a request that was sent to an engine."""
        self._admitted.append((now_ms, tokens))
        self._drop_old(now_ms)

    def _drop_old(self, now_ms: int) -> None:
        while self._admitted and self._admitted[0][0] < now_ms - RATE_WINDOW_MS:
            self._admitted.popleft()

    def _expected_wait_ms(self, request: WaitingRequest, now_ms: int) -> float:
        self._drop_old(now_ms)
        if len(self._admitted) < LEAST_ADMISSIONS:
            return 0.0
        before = sum(r.tokens for r in self._heap if not r.is_over and r < request)
        rate = sum(tokens for _, tokens in self._admitted) / RATE_WINDOW_MS
        return before / rate if rate > 0 else 0.0
