"""Queue of requests that wait for free engine memory; does no I/O.

The queue is needed when the requests in progress fill the engines' memory: one more would make an
engine preempt a run and later recompute its prompt, which slows down all other runs.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ["RequestQueue", "QueuedRequest"]

RATE_WINDOW_MS = 2_000
"""Window over which the admission rate is measured."""

MIN_ADMISSIONS = 4
"""Lowest number of admissions in the window from which a rate is estimated."""


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """Queued request.

    :param urgency: 0 comes first
    :param arrived_ms: arrival time
    :param tokens: engine memory needed, in tokens
    :param on_time_until_ms: time until which an engine can still answer within the objective
    :param give_up_ms: time at which the caller gives up if nothing was sent to it
    """

    urgency: int
    arrived_ms: int
    tokens: int
    on_time_until_ms: int
    give_up_ms: int

    def sort_key(self, now_ms: int) -> tuple[int, bool, int]:
        """Return the sort key in the queue; the lowest comes first."""
        return (self.urgency, now_ms > self.on_time_until_ms, self.arrived_ms)


class RequestQueue:
    """Queue of one service at one entry instance.

    Requests are ordered by urgency. Among equally urgent ones, those that can still meet their
    objective come before those that cannot; each group is in order of arrival. Plain FIFO order
    would make all requests late once the queueing time reaches the objective.
    """

    def __init__(self) -> None:
        self._waiting: list[QueuedRequest] = []
        self._admitted: deque[tuple[int, int]] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def enqueue(self, request: QueuedRequest, now_ms: int) -> bool:
        """Add a request to the queue, unless its caller would give up before its turn.

        :returns: whether the request was added
        """
        if now_ms + self._expected_wait_ms(request, now_ms) >= request.give_up_ms:
            return False
        self._waiting.append(request)
        return True

    def peek(self, now_ms: int) -> QueuedRequest | None:
        """Return the next request without removing it."""
        return min(self._waiting, key=lambda request: request.sort_key(now_ms), default=None)

    def discard(self, request: QueuedRequest) -> None:
        """Remove a request from the queue."""
        if request in self._waiting:
            self._waiting.remove(request)

    def record_admission(self, tokens: int, now_ms: int) -> None:
        """Record that a request was sent to an engine."""
        self._admitted.append((now_ms, tokens))
        self._drop_expired(now_ms)

    def _drop_expired(self, now_ms: int) -> None:
        while self._admitted and self._admitted[0][0] < now_ms - RATE_WINDOW_MS:
            self._admitted.popleft()

    def _expected_wait_ms(self, request: QueuedRequest, now_ms: int) -> float:
        self._drop_expired(now_ms)
        if len(self._admitted) < MIN_ADMISSIONS:
            return 0.0
        sort_key = request.sort_key(now_ms)
        tokens_ahead = sum(r.tokens for r in self._waiting if r.sort_key(now_ms) < sort_key)
        rate = sum(tokens for _, tokens in self._admitted) / RATE_WINDOW_MS
        return tokens_ahead / rate if rate > 0 else 0.0
