"""Queue of requests that wait for capacity of servers; does no I/O.

The queue is needed when the requests in progress fill the engines' memory: one more would make an
engine preempt a run and later recompute its prompt, which slows down all other runs. Plain servers
reject requests when they are full.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

from bergamothill.request.callerrequest import CallerRequest
from bergamothill.request.fairqueue import (
    MAX_FLOWS,
    NO_FLOW,
    FairShares,
    Flow,
    UrgencyShares,
)

__all__ = ["NO_LIMIT", "AdmissionRate", "QueuedRequest", "RequestQueue", "ReturnTime"]

RATE_WINDOW_MS = 2_000
"""Window over which the admission rate is measured."""

MIN_ADMISSIONS = 4
"""Lowest number of admissions in the window from which a rate is estimated."""

MAX_WORK = 10.0**9
"""Highest work of one request; callers may state any number of tokens."""

TIME_WEIGHT = 0.1
"""Weight of the newest request in the average time in a slot of a flow."""

RESERVE_AFTER = 0.75
"""Share of its time after which a request that does not fit keeps others from passing it."""

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


@dataclass(frozen=True, slots=True)
class ReturnTime:
    """When a refused caller should return.

    :param wait_ms: time until the expected wait is short enough
    :param interval_ms: time in which the servers take one such request from this instance
    """

    wait_ms: float
    interval_ms: float


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

    @property
    def flow(self) -> Flow:
        """Requests with which it shares a part of the capacity."""
        request = self.request or self.limited
        return NO_FLOW if request is None else request.flow

    @property
    def work_tokens(self) -> int:
        """Tokens of its prompt and of its answer; 0 for a plain request."""
        request = self.request or self.limited
        return self.tokens if request is None else request.work_tokens

    def sort_key(self, now_ms: int) -> tuple[int, bool, int]:
        """Return the sort key in a queue without shares; the lowest comes first."""
        return (self.urgency, now_ms > self.on_time_until_ms, self.arrived_ms)


class RequestQueue:
    """Queue of one service at one entry instance.

    Requests are ordered by urgency. Among equally urgent ones, those that can still meet their
    objective come before those that cannot; plain FIFO order would make all requests late once the
    queueing time reaches the objective. Each group is divided among brands, and among the routes of
    a brand, by work; requests of one route are in order of arrival.
    """

    def __init__(self) -> None:
        self._waiting: list[QueuedRequest] = []
        self._admitted: deque[tuple[int, float]] = deque()
        self._next_return_ms = 0
        self._next_full_return_ms = 0.0
        self._shares: dict[int, FairShares] = {}
        self._urgencies = UrgencyShares()
        self._slot_ms: dict[Flow, float] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def enqueue(
        self,
        request: QueuedRequest,
        now_ms: int,
        rate: AdmissionRate = NO_LIMIT,
        work_per_ms: float = 0.0,
    ) -> bool:
        """Add a request to the queue, unless its caller would give up before its turn.

        :param rate: rate at which requests are admitted, beside what memory allows
        :param work_per_ms: work that the servers are expected to take from this instance
        :returns: whether the request was added
        """
        wait_ms = self.expected_wait_ms(request, now_ms, rate, work_per_ms)
        self._urgencies.record_offered(request.urgency, self._work(request), now_ms)
        if now_ms + wait_ms >= request.give_up_ms:
            return False
        self._waiting.append(request)
        return True

    def peek(self, now_ms: int, passed: Collection[QueuedRequest] = ()) -> QueuedRequest | None:
        """Return the next request without removing it.

        :param passed: requests that do not fit for now
        """
        waiting = [r for r in self._waiting if r not in passed] if passed else self._waiting
        if len(waiting) <= 1:
            return waiting[0] if waiting else None
        urgency = self._urgencies.next_of({request.urgency for request in waiting})
        shares = self._shares.get(urgency) or FairShares()
        starts: dict[Flow, tuple[float, float]] = {}
        best, best_key = None, None
        for request in waiting:
            if request.urgency != urgency:
                continue
            flow = request.flow
            if flow not in starts:
                starts[flow] = shares.start(flow)
            is_late = now_ms > request.on_time_until_ms
            key = (is_late, *starts[flow], request.arrived_ms)
            if best_key is None or key < best_key:
                best, best_key = request, key
        return best

    def is_reserving(self, request: QueuedRequest, now_ms: int) -> bool:
        """Return whether others must not pass a request that does not fit, so that it will."""
        until_ms = min(request.on_time_until_ms, request.give_up_ms)
        waited_ms = now_ms - request.arrived_ms
        return waited_ms >= RESERVE_AFTER * (until_ms - request.arrived_ms)

    def discard(self, request: QueuedRequest) -> None:
        """Remove a request from the queue."""
        if request in self._waiting:
            self._waiting.remove(request)

    def record_sent(self, request: QueuedRequest, now_ms: int) -> None:
        """Record that a request that waited is being sent."""
        self._urgencies.record_served(request.urgency, self._work(request), now_ms)

    def record_admission(self, tokens: int, now_ms: int, flow: Flow = NO_FLOW) -> None:
        """Record that a request was sent to a server.

        :param tokens: tokens of its prompt and of its answer; 0 for a plain request
        """
        work = self._work_of(flow, tokens)
        self._admitted.append((now_ms, work))
        self._shares.setdefault(flow.urgency, FairShares()).charge(flow, work)
        self._drop_expired(now_ms)

    def record_slot_time(self, flow: Flow, took_ms: float) -> None:
        """Record for how long a plain request occupied its server."""
        if flow not in self._slot_ms and len(self._slot_ms) >= MAX_FLOWS:
            self._slot_ms.clear()
        average_ms = self._slot_ms.setdefault(flow, took_ms)
        self._slot_ms[flow] = average_ms + TIME_WEIGHT * (took_ms - average_ms)

    def _work(self, request: QueuedRequest) -> float:
        return self._work_of(request.flow, request.work_tokens)

    def _work_of(self, flow: Flow, tokens: int) -> float:
        """Return the work of a request: its tokens, or the time in a slot of a plain request."""
        if tokens:
            return float(min(tokens, MAX_WORK))
        return max(1.0, self._slot_ms.get(flow, 1.0))

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

    def schedule_full_return(
        self, request: QueuedRequest, now_ms: int, work_per_ms: float = 0.0
    ) -> ReturnTime | None:
        """Return when a caller should return that was refused for lack of capacity.

        Callers return one after the other, at the rate at which capacity frees.

        :param work_per_ms: work that the servers are expected to take from this instance
        :returns: None if the rate is not known
        """
        rate = max(work_per_ms, self._admitted_per_ms(now_ms))
        if not rate:
            return None
        interval_ms = self._work(request) / rate
        # A caller that returns may wait again for as long as its objective allows.
        again_ms = max(0, request.on_time_until_ms - request.arrived_ms)
        free_ms = now_ms + sum(self._work(r) for r in self._waiting) / rate - again_ms
        return_ms = min(max(now_ms, free_ms, self._next_full_return_ms), now_ms + MAX_RETURN_MS)
        self._next_full_return_ms = return_ms + interval_ms
        return ReturnTime(return_ms - now_ms, interval_ms)

    def expected_wait_ms(
        self,
        request: QueuedRequest,
        now_ms: int,
        rate: AdmissionRate = NO_LIMIT,
        work_per_ms: float = 0.0,
    ) -> float:
        """Return the time until the turn of a request, in the queue or about to enter it."""
        ahead, work = self._ahead_of(request, now_ms)
        limited_ms = LIMITED_WAIT_MARGIN * (rate.first_ms + ahead * rate.interval_ms)
        work_per_ms = max(work_per_ms, self._admitted_per_ms(now_ms))
        return max(limited_ms, work / work_per_ms) if work_per_ms else limited_ms

    def _admitted_per_ms(self, now_ms: int) -> float:
        """Return the work that was admitted lately in one ms; 0 if it is too little to tell."""
        self._drop_expired(now_ms)
        if len(self._admitted) < MIN_ADMISSIONS:
            return 0.0
        return sum(work for _, work in self._admitted) / RATE_WINDOW_MS

    def _ahead_of(self, request: QueuedRequest, now_ms: int) -> tuple[int, float]:
        """Return the number and the work of the requests that come before one.

        Another flow sends before it at most as much as its own flow has sent by then.
        """
        key = request.sort_key(now_ms)
        own_work = self._work(request)
        ahead, work, other_work = 0, 0.0, {}
        for other in self._waiting:
            other_key = other.sort_key(now_ms)
            is_same_group = other_key[:2] == key[:2]
            if other is request or other_key[:2] > key[:2]:
                continue
            if is_same_group and other.flow != request.flow:
                size = self._work(other)
                other_work[other.flow] = other_work.get(other.flow, 0.0) + size
                ahead += 1
            elif other_key < key:
                ahead += 1
                work += self._work(other)
                own_work += self._work(other) if is_same_group else 0.0
        return ahead, work + sum(min(own_work, total) for total in other_work.values())
