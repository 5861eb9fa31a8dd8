"""State machine of a request that is passed on through another entry instance; does no I/O.

The other instance decides all that concerns servers. This one decides which instance is tried next,
and what the caller is told if none has answered: a request is reported as not run only if no
instance can have sent it to a server.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from bergamothill.ids import EntryInstanceId
from bergamothill.process.registry import Peer
from bergamothill.request.forwarding import (
    MIN_RETRY_AFTER_MS,
    RETRY_AFTER_JITTER_MS,
    AbortStream,
    Deliver,
    Finish,
    Reason,
)
from bergamothill.request.windowedbudget import WindowedRetryBudget
from bergamothill.version.routetable import Route

__all__ = ["PassOn", "PassedRequest", "PassStep"]

MAX_PASSES = 2
"""Instances that may have sent a request to servers."""

MAX_TRIED = 4
"""Instances that are tried, including those that refuse or cannot be reached."""

ChooseHelper = Callable[[Collection[EntryInstanceId], int], Peer | None]
"""Returns an instance beside those that were tried, at a time in milliseconds."""


@dataclass(frozen=True, slots=True)
class PassOn:
    """Pass the request to an instance.

    :param helper: the instance
    :param time_left_ms: time until the caller needs an answer
    """

    helper: Peer
    time_left_ms: int


PassStep = PassOn | Deliver | Finish | AbortStream


class PassedRequest:
    """State machine of one request that is passed on.

    :param route: route of the request
    :param choose: chooses an instance
    :param retry_budget: retry budget of the service
    :param jitter: random number in [0, 1) that spreads the retries of refused callers
    :param due_ms: time by which the caller gets a final answer
    :param may_have_run: whether a server may have run it already
    """

    def __init__(
        self,
        route: Route,
        choose: ChooseHelper,
        retry_budget: WindowedRetryBudget,
        jitter: float,
        due_ms: int,
        *,
        may_have_run: bool = False,
    ) -> None:
        self.due_ms = due_ms
        self.stream_started = False
        self.may_have_run = may_have_run
        self._route = route
        self._choose = choose
        self._retry_budget = retry_budget
        self._jitter = jitter
        self._tried: list[EntryInstanceId] = []
        self._lost_passes = 0

    def begin(self, now_ms: int) -> PassStep:
        """Return the first step."""
        return self._next(now_ms)

    def on_not_sent(self, now_ms: int) -> PassStep:
        """Handle an instance that could not be reached, or cannot help and refused the request."""
        return self._next(now_ms)

    def on_lost(self, now_ms: int) -> PassStep:
        """Handle the loss of an answer after the request was sent."""
        self.may_have_run = True
        self._lost_passes += 1
        if self.stream_started or not self._may_run_again():
            return self.give_up(now_ms, Reason.BROKEN)
        if not self._retry_budget.try_spend(now_ms):
            return self.give_up(now_ms, Reason.BUDGET)
        return self._next(now_ms)

    def _may_run_again(self) -> bool:
        route = self._route
        return route.may_retry and self._lost_passes < min(MAX_PASSES, route.max_servers)

    def _next(self, now_ms: int) -> PassStep:
        helper = None
        if len(self._tried) < MAX_TRIED:
            helper = self._choose(self._tried, now_ms)
        if helper is None:
            return self.give_up(now_ms, Reason.NO_HELPER)
        if now_ms >= self.due_ms:
            return self.give_up(now_ms, Reason.EXPIRED)
        self._tried.append(helper.entry)
        return PassOn(helper, self.due_ms - now_ms)

    def give_up(self, now_ms: int, reason: Reason) -> Finish | AbortStream:
        """Return the final step of a request that has no answer.

        :param now_ms: current time, in milliseconds
        :param reason: why there is none
        """
        if self.stream_started:
            return AbortStream(reason)
        if self.may_have_run:
            return Finish(504 if reason is Reason.EXPIRED else 502, None, reason)
        retry_after_ms = MIN_RETRY_AFTER_MS + int(self._jitter * RETRY_AFTER_JITTER_MS)
        return Finish(503, retry_after_ms, reason)
