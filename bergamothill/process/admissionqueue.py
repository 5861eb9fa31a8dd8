"""Queue of requests that wait for capacity at the engines; runs on the event loop."""

from __future__ import annotations

import asyncio

from bergamothill.clock import Clock
from bergamothill.process.loadexchange import REPORT_INTERVAL_MS
from bergamothill.process.wakeup import wait_until_set
from bergamothill.request.requestqueue import (
    NO_LIMIT,
    AdmissionRate,
    QueuedRequest,
    RequestQueue,
)

__all__ = ["AdmissionQueue"]

MAX_WAIT_MS = 2 * REPORT_INTERVAL_MS
"""Longest wait without a wakeup; a load report may be lost."""

MAX_PASSED = 4
"""Number of requests that others may pass at a time; bounds the work of a wakeup."""


class AdmissionQueue:
    """Queue of the requests of one service, with a wakeup event for each waiting one.

    :param clock: source of time
    """

    def __init__(self, clock: Clock) -> None:
        self.requests = RequestQueue()
        self._clock = clock
        self._wakeups: dict[int, asyncio.Event] = {}
        self._passed: list[QueuedRequest] = []

    async def wait_for_turn(self, request: QueuedRequest, rate: AdmissionRate) -> None:
        """Wait until a request should be tried again: when it is woken, or after a timeout.

        :param request: request in the queue
        :param rate: rate at which limits admit requests; the head waits for the next one
        """
        now_ms = self._clock.now_ms()
        # A head that is given up lets the next one try at once.
        timeout_ms = min(MAX_WAIT_MS, max(1, request.give_up_ms - now_ms))
        if rate is not NO_LIMIT and self.has_turn(request):
            timeout_ms = min(timeout_ms, max(1, rate.first_ms))
        wakeup = self._wakeups.setdefault(id(request), asyncio.Event())
        wakeup.clear()
        # After the timeout a peer may have freed capacity, and its load report have been lost.
        await wait_until_set(wakeup, timeout_ms)
        if not wakeup.is_set():
            self._passed.clear()

    def has_turn(self, request: QueuedRequest) -> bool:
        """Return whether a request may try to be sent."""
        return self.next_request() is request

    def next_request(self) -> QueuedRequest | None:
        """Return the request that may try to be sent."""
        return self.requests.peek(self._clock.now_ms(), self._passed)

    def pass_turn(self, request: QueuedRequest) -> None:
        """Let the next one try, as a request does not fit, unless it must not be passed any more.

        It has its turn again when capacity changes.
        """
        if len(self._passed) >= MAX_PASSED or not self.has_turn(request):
            return
        if not self.requests.is_reserving(request, self._clock.now_ms()):
            self._passed.append(request)
            self._wake_next()

    def leave(self, request: QueuedRequest, *, is_sent: bool = False) -> None:
        """Remove a request from the queue and wake the next one.

        :param is_sent: whether it is being sent to a server
        """
        self.requests.discard(request)
        if is_sent:
            self.requests.record_sent(request, self._clock.now_ms())
        self._wakeups.pop(id(request), None)
        self.wake_head()

    def wake_head(self) -> None:
        """Wake the request at the head of the queue so that it tries again."""
        self._passed.clear()
        self._wake_next()

    def _wake_next(self) -> None:
        head = self.next_request()
        if head is not None and id(head) in self._wakeups:
            self._wakeups[id(head)].set()
