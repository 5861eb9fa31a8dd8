"""Queue of requests that wait for free engine memory; does no I/O.

The queue is needed when the requests in progress fill the engines' memory: one more would make an
engine preempt a run and later recompute its prompt, which slows down all other runs.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from bergamothill.request.callerrequest import CallerRequest

__all__ = ["NO_LIMIT", "AdmissionRate", "QueuedRequest", "RequestQueue"]

RATE_WINDOW_MS = 2_000
"""Window over which the admission rate is measured."""

MIN_ADMISSIONS = 4
"""Lowest number of admissions in the window from which a rate is estimated."""


LIMITED_WAIT_MARGIN = 1.25
"""Factor on the wait for limits: requests queued to the brim would be refused after their wait."""

MAX_RETURN_MS = 10_000
"""Longest time after which refused callers are told to return."""


@dataclass(frozen=True, slots=True)
class AdmissionRate:
    """Rate at which the limits that servers name admit requests.

    :param first_ms: time until the next one
    :param interval_ms: time between two
    """

    first_ms: int
    interval_ms: int


NO_LIMIT = AdmissionRate(0, 0)


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """Queued request.

    :param urgency: 0 comes first
    :param arrived_ms: arrival time
    :param tokens: engine memory needed, in tokens
    :param on_time_until_ms: time until which an engine can still answer within the objective
    :param give_up_ms: time at which the caller gives up if nothing was sent to it
    :param limited: the request, if it waits for the limits of servers
    :param request: the request, if it waits for capacity
    """

    urgency: int
    arrived_ms: int
    tokens: int
    on_time_until_ms: int
    give_up_ms: int
    limited: CallerRequest | None = None
    request: CallerRequest | None = None

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
        self._next_return_ms = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def enqueue(self, request: QueuedRequest, now_ms: int, rate: AdmissionRate = NO_LIMIT) -> bool:
        """Add a request to the queue, unless its caller would give up before its turn.

        :param rate: rate at which requests are admitted, beside what memory allows
        :returns: whether the request was added
        """
        if now_ms + self._expected_wait_ms(request, now_ms, rate) >= request.give_up_ms:
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

    def schedule_return(self, rate: AdmissionRate, now_ms: int) -> int:
        """Return after how long a refused caller should return, one at a time at the rate.

        :param rate: rate at which requests are admitted
        """
        next_ms = now_ms + rate.first_ms + len(self._waiting) * rate.interval_ms
        return_ms = min(max(next_ms, self._next_return_ms), now_ms + MAX_RETURN_MS)
        self._next_return_ms = return_ms + rate.interval_ms
        return return_ms - now_ms

    def _expected_wait_ms(self, request: QueuedRequest, now_ms: int, rate: AdmissionRate) -> float:
        sort_key = request.sort_key(now_ms)
        ahead = [r for r in self._waiting if r.sort_key(now_ms) < sort_key]
        limited_ms = LIMITED_WAIT_MARGIN * (rate.first_ms + len(ahead) * rate.interval_ms)
        self._drop_expired(now_ms)
        if len(self._admitted) < MIN_ADMISSIONS:
            return limited_ms
        tokens_per_ms = sum(tokens for _, tokens in self._admitted) / RATE_WINDOW_MS
        if not tokens_per_ms:
            return limited_ms
        return max(limited_ms, sum(r.tokens for r in ahead) / tokens_per_ms)
