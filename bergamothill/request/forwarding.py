"""Decisions about one forwarded request, from its admission to its final answer; no I/O.

The machine says which backend server gets the request next, or how it ends. It is told the outcome
of each attempt. A request is reported as not run only if no attempt can have run it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from bergamothill.errors import BergamothillError, Execution, PeerTimeoutError, UnavailableError
from bergamothill.process.backends import BackendServer
from bergamothill.request.attemptlog import Attempt, AttemptLog
from bergamothill.request.callerrequest import CallerRequest, ForwardTerms
from bergamothill.request.retryshare import RetryShare
from bergamothill.version.routetable import Brand, Route, Service

__all__ = [
    "BreakOff",
    "Deliver",
    "Finish",
    "Forwarding",
    "ForwardStep",
    "Hold",
    "NoRoom",
    "Reason",
    "Send",
    "ServerChooser",
]

MAX_SENDS = 6
"""Attempts of one request, refused ones included, so that a loop of refusals ends."""

RETRY_SOON_MS = 150
"""Earliest return of a caller that was refused: an entry learns of new servers within 400 ms."""

RETRY_SPREAD_MS = 350
"""Width over which returns are spread, so that refused callers do not come back together."""

LEAST_USEFUL_MS = 5
"""Time left below which no server can answer."""


LEAST_SILENCE_MS = 2_000
"""Callers of streams leave after two seconds of silence, four times the objective or eight times
the longest pause that is on time, whichever is longest."""

FIRST_EVENT_MS = 300
"""Time that an engine with room takes up to the first event, at most."""

USUAL_FIRST_EVENT_MS = 150
"""Time that it takes as a rule."""

LEAST_URGENT = 9
RANKS_PER_BRAND_RANK = 3
"""A brand's rank goes before the ranks of routes, of which three are in use."""


class Reason(Enum):
    """Why a request ended without a server's answer."""

    NO_SERVER = "no_server"
    REFUSED = "refused_by_servers"
    BUDGET = "retry_budget"
    BROKEN = "answer_lost"
    EXPIRED = "expired"
    FULL = "engines_full"


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a server.

    :param server: server
    :param terms: what is set anew in the request
    :param attempt: entry in the attempt log
    """

    server: BackendServer
    terms: ForwardTerms
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Deliver:
    """Deliver the server's failure that was held back for a further attempt."""


@dataclass(frozen=True, slots=True)
class Finish:
    """End the request with an answer of our own.

    :param status: HTTP status; 503 promises that the request has not run and never will
    :param retry_after_ms: when to come back; None where that is not promised to help
    :param reason: why
    """

    status: int
    retry_after_ms: int | None
    reason: Reason


@dataclass(frozen=True, slots=True)
class BreakOff:
    """Close the caller's connection in the middle of a stream that cannot be finished."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class Hold:
    """Wait for room at the engines, then call :meth:`Forwarding.retry`.

    :param urgency: place in the line; 0 comes first
    :param tokens: memory that is needed
    :param timely_until_ms: until when the objective can still be met
    :param leaves_ms: when waiting is of no use any more
    """

    urgency: int
    tokens: int
    timely_until_ms: int
    leaves_ms: int


ForwardStep = Send | Deliver | Finish | BreakOff | Hold


class NoRoom:
    """All servers that could run the request are full."""


class ServerChooser(Protocol):
    """Knows the servers of a service."""

    def choose(
        self,
        service: Service,
        request: CallerRequest,
        brand: Brand | None,
        avoided: tuple[str, ...],
        urgency: int,
        now_ms: int,
    ) -> tuple[BackendServer, ForwardTerms] | NoRoom | None:
        """Return a server and the terms for it, or None when there is none.

        :param urgency: 0 comes first; the less urgent, the more room has to be left
        :param avoided: servers that failed the request already; used only when nothing else is left
        """


class Forwarding:
    """One request on its way.

    :param request: caller's request
    :param route: its route
    :param service: service that it goes to
    :param brand: brand of its key; None on a public route
    :param chooser: knows the servers
    :param share: retry budget of the service
    :param spread: number in [0, 1) that spreads the returns of refused callers
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        service: Service,
        brand: Brand | None,
        chooser: ServerChooser,
        share: RetryShare,
        spread: float,
    ) -> None:
        self.attempts = AttemptLog()
        self.stream_started = False
        self._request = request
        self._route = route
        self._service = service
        self._brand = brand
        self._chooser = chooser
        self._share = share
        self._spread = spread
        self._runs = 0
        self._urgency = _urgency(route, brand)
        self._held_event_id = ""
        arrived_ms = request.raw.arrived_ms
        patience_ms = request.patience_ms
        self._leaves_ms = arrived_ms + (route.timeout_ms if patience_ms is None else patience_ms)
        self.due_ms = min(self._leaves_ms, arrived_ms + route.timeout_ms)
        """Instant by which the caller gets a final answer."""

    def begin(self, now_ms: int) -> ForwardStep:
        """Return the first step."""
        self._share.arrived(now_ms)
        return self._send(now_ms, last_event_id="")

    def not_connected(self, send: Send, now_ms: int) -> ForwardStep:
        """Take that no byte was sent; another server costs nothing."""
        self.attempts.failed(send.attempt, _NOT_RUN)
        return self._again(now_ms, send.terms.last_event_id, is_repeat=False)

    def refused(self, send: Send, now_ms: int) -> ForwardStep:
        """Take that the server did not run the request."""
        self.attempts.failed(send.attempt, _NOT_RUN)
        return self._again(now_ms, send.terms.last_event_id, is_repeat=True)

    def broken(self, send: Send, now_ms: int, *, last_event_id: str) -> ForwardStep:
        """Take that the answer was lost, wholly or after an event.

        :param last_event_id: last event that the caller was sent; empty for none
        """
        self.attempts.failed(send.attempt, _UNKNOWN)
        self._runs += 1
        if not self._route.may_repeat or self._runs >= self._route.most_servers:
            return self._give_up(now_ms, Reason.BROKEN)
        if self.stream_started and not last_event_id:
            return self._give_up(now_ms, Reason.BROKEN)
        return self._again(now_ms, last_event_id, is_repeat=True)

    def failed(self, send: Send, now_ms: int) -> ForwardStep:
        """Take a failure that the server answered after it ran the request."""
        self.attempts.failed(send.attempt, _UNKNOWN)
        self._runs += 1
        if not self._route.may_repeat or self._runs >= self._route.most_servers:
            return Deliver()
        step = self._again(now_ms, send.terms.last_event_id, is_repeat=True)
        return step if isinstance(step, Send) else Deliver()

    def expired(self, now_ms: int) -> ForwardStep:
        """Take that the time for an answer is over."""
        return self._give_up(now_ms, Reason.EXPIRED)

    def retry(self, now_ms: int) -> ForwardStep:
        """Try again to find room."""
        return self._send(now_ms, self._held_event_id)

    def full(self, now_ms: int) -> ForwardStep:
        """Take that waiting for room is of no use."""
        return self._give_up(now_ms, Reason.FULL)

    def _hold(self, now_ms: int, last_event_id: str) -> ForwardStep:
        self._held_event_id = last_event_id
        request = self._request
        route = self._route
        if self.stream_started:
            timely_until_ms = now_ms + route.event_gap_ms - USUAL_FIRST_EVENT_MS
            leaves_ms = now_ms + _silence_ms(route) - FIRST_EVENT_MS
        else:
            # A request that is late anyway takes room from one that is not; it may come back.
            timely_until_ms = request.raw.arrived_ms + route.target_ms - USUAL_FIRST_EVENT_MS
            leaves_ms = max(now_ms, timely_until_ms)
        leaves_ms = min(leaves_ms, self.due_ms)
        return Hold(self._urgency, request.prompt_tokens, timely_until_ms, leaves_ms)

    def _again(self, now_ms: int, last_event_id: str, *, is_repeat: bool) -> ForwardStep:
        if len(self.attempts.servers) >= MAX_SENDS:
            return self._give_up(now_ms, Reason.REFUSED)
        if is_repeat and not self._share.try_spend(now_ms):
            return self._give_up(now_ms, Reason.BUDGET)
        return self._send(now_ms, last_event_id)

    def _send(self, now_ms: int, last_event_id: str) -> ForwardStep:
        if self.due_ms - now_ms < LEAST_USEFUL_MS:
            return self._give_up(now_ms, Reason.EXPIRED)
        chosen = self._chooser.choose(
            self._service, self._request, self._brand, self.attempts.servers, self._urgency, now_ms
        )
        if chosen is None:
            return self._give_up(now_ms, Reason.NO_SERVER)
        if isinstance(chosen, NoRoom):
            return self._hold(now_ms, last_event_id)
        server, terms = chosen
        terms.time_left_ms = self._leaves_ms - now_ms
        terms.last_event_id = last_event_id
        if self._service.engine is not None:
            terms.urgency = self._urgency
        attempt = self.attempts.begin(server.server)
        self.attempts.sending(attempt)
        return Send(server, terms, attempt)

    def _give_up(self, now_ms: int, reason: Reason) -> ForwardStep:
        if self.stream_started:
            return BreakOff(reason)
        if self.attempts.execution() is Execution.NOT_RUN:
            wait_ms = RETRY_SOON_MS + int(self._spread * RETRY_SPREAD_MS)
            return Finish(503, wait_ms, reason)
        return Finish(504 if reason is Reason.EXPIRED else 502, None, reason)


def _silence_ms(route: Route) -> int:
    """Return how long a caller waits for the next event of a stream before it leaves."""
    return max(LEAST_SILENCE_MS, 4 * route.target_ms, 8 * route.event_gap_ms)


def _urgency(route: Route, brand: Brand | None) -> int:
    """Return the urgency of a run; 0 comes first."""
    brand_rank = brand.rank if brand is not None and brand.rank is not None else 0
    return min(LEAST_URGENT, RANKS_PER_BRAND_RANK * brand_rank + route.rank)


_NOT_RUN: BergamothillError = UnavailableError("refused by the server", step="forward")
_UNKNOWN: BergamothillError = PeerTimeoutError("answer lost", step="forward")
