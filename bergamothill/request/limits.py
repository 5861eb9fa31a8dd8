"""Admission: fleet-wide brand limits, weighted fairness and early refusal."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from bergamothill.connection.bus import message
from bergamothill.errors import OverloadedError
from bergamothill.ids import BrandName, EntryInstanceId
from bergamothill.request.quota import LOAN_MARGIN_MS, LOAN_MS, Quota
from bergamothill.request.usage import DecayingRates
from bergamothill.version.config import Limits

__all__ = [
    "Admission",
    "LoanGrant",
    "LoanRequest",
    "RequestClass",
    "ShareLoan",
    "Ticket",
    "concurrent_share",
]

STEP = "admission"
DEMAND_TIME_CONSTANT_MS = 5_000
WORK_TIME_CONSTANT_MS = 30_000
MIN_RATE_PER_S = 0.01
DEMAND_HEADROOM = 1.25
MIN_LOAN = 0.001
FAIRNESS_QUEUE_MS = 100
BATCH_MAX_QUEUE_MS = 110
BATCH_CONCURRENT_FRACTION = 0.5
EXCESS_LIMIT = 1.5
EXCESS_ALLOWANCE = 0.1
MAX_EXCESS_PRIORITY = 4
BATCH_PRIORITY = 10
WEIGHT_REFRESH_MS = 1_000
CONCURRENT_RETRY_AFTER_MS = 1_000
MIN_RETRY_AFTER_MS = 100
ASK_ID_BITS = 63
MAX_FLEET_SIZE = 400


class RequestClass(Enum):
    """Latency class of a request."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


def concurrent_share(limits: Limits, members: int) -> int:
    """Return how many requests of a brand may be in progress at one entry instance.

    :param limits: fleet-wide limits of the brand
    :param members: number of entry instances in the fleet
    """
    return max(1, limits.concurrent // members)


@dataclass(frozen=True, slots=True)
class Ticket:
    """Admitted request.

    :param brand: brand of the request
    :param request_class: class of the request
    :param priority: priority for the engine; grows with the brand's excess over its fair share
    """

    brand: BrandName
    request_class: RequestClass
    priority: int


@dataclass(frozen=True, slots=True)
class ShareLoan:
    """Share of a brand's limit, requested or lent.

    :param brand: brand
    :param share: share of the fleet-wide limit, from 0 to 1
    """

    brand: BrandName
    share: float


@message("loan_request")
@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Asks a peer of the zone for unneeded shares of limits.

    :param ask_id: random request id, repeated in the grant
    :param wanted: shares that the sender needs
    """

    ask_id: int
    wanted: tuple[ShareLoan, ...]


@message("loan_grant")
@dataclass(frozen=True, slots=True)
class LoanGrant:
    """Reply to :class:`LoanRequest`; loans are valid for ``LOAN_MS`` after the request was made.

    :param ask_id: id of the request
    :param loans: shares lent
    """

    ask_id: int
    loans: tuple[ShareLoan, ...]


class Admission:
    """Admits or refuses requests immediately, without a queue.

    Each entry instance owns an equal share of each brand's limit, and lends what it does not need
    to peers of the zone. An instance that cannot reach its peers keeps its own share.

    :param limits_for: returns the limits in force of a brand
    :param members: number of entry instances in the instance list, reachable or not; None if the
        list has not been read yet, in which case the largest fleet is assumed
    :param started_ms: time at which this incarnation started
    :param rng: random number generator for request ids
    """

    def __init__(
        self,
        limits_for: Callable[[BrandName], Limits],
        members: int | None,
        started_ms: int,
        rng: random.Random,
    ) -> None:
        self._limits_for = limits_for
        self._has_instance_list = members is not None
        self._members = MAX_FLEET_SIZE if members is None else max(1, members)
        self._started_ms = started_ms
        self._previous_members = self._members
        self._resized_ms = started_ms
        self._rng = rng
        self._quotas: dict[BrandName, Quota] = {}
        self._in_progress: dict[tuple[BrandName, RequestClass], int] = {}
        self._demand = DecayingRates(DEMAND_TIME_CONSTANT_MS)
        self._work = DecayingRates(WORK_TIME_CONSTANT_MS)
        self._pending_asks: dict[int, int] = {}
        self._weight = 0.0
        self._weight_updated_ms = started_ms - WEIGHT_REFRESH_MS

    def admit(
        self,
        brand: BrandName,
        request_class: RequestClass,
        expected_ttft_ms: int,
        deadline_ms: int,
        now_ms: int,
        *,
        queue_ms: int = 0,
        cost_tokens: int = 1,
    ) -> Ticket:
        """Admit a request, or refuse it before any work is done.

        :param brand: brand that is charged
        :param request_class: class of the request
        :param expected_ttft_ms: expected time to first token, in milliseconds
        :param deadline_ms: time left for the first token, in milliseconds
        :param now_ms: current time, in milliseconds
        :param queue_ms: part of the expected time that is spent in queues, in milliseconds
        :param cost_tokens: prompt tokens to compute
        :returns: ticket to pass to :meth:`release` when the request ends
        :raises OverloadedError: the request was refused and did not run
        """
        self._demand.add(brand, 1.0, now_ms)
        self._check_deadline(expected_ttft_ms, deadline_ms)
        self._check_queue(brand, request_class, queue_ms, now_ms)
        self._check_concurrent(brand, request_class)
        self._take_token(brand, now_ms)
        priority = self._priority(brand, request_class, now_ms)
        key = (brand, request_class)
        self._in_progress[key] = self._in_progress.get(key, 0) + 1
        self._record_work(brand, cost_tokens, now_ms)
        return Ticket(brand, request_class, priority)

    def release(self, ticket: Ticket) -> None:
        """Record the end of an admitted request; call it exactly once per ticket.

        :param ticket: ticket returned by :meth:`admit`
        """
        key = (ticket.brand, ticket.request_class)
        left = self._in_progress.get(key, 0) - 1
        if left > 0:
            self._in_progress[key] = left
        else:
            self._in_progress.pop(key, None)

    def in_progress(self, brand: BrandName) -> int:
        """Return how many requests of a brand are in progress at this entry instance.

        :param brand: brand
        """
        return sum(self._in_progress.get((brand, cls), 0) for cls in RequestClass)

    def resize(self, members: int, now_ms: int) -> None:
        """Adapt to a new fleet size.

        :param members: number of entry instances in the instance list
        :param now_ms: current time, in milliseconds
        """
        if not self._has_instance_list and not self._quotas:
            self._previous_members = self._members = max(1, members)
        self._has_instance_list = True
        if max(1, members) == self._members:
            return
        loans_expired = now_ms - self._resized_ms > LOAN_MS + LOAN_MARGIN_MS
        previous_members = (
            self._members if loans_expired else max(self._previous_members, self._members)
        )
        self._previous_members = previous_members
        self._resized_ms = now_ms
        self._members = max(1, members)
        for quota in self._quotas.values():
            quota.resize(1 / self._members, now_ms)

    def loan_request(self, peer_count: int, now_ms: int) -> LoanRequest | None:
        """Return the loan request to send to each peer of the zone, or None if no loan is needed.

        :param peer_count: number of peers that the request is sent to
        :param now_ms: current time, in milliseconds
        """
        self._demand.remove_below(MIN_RATE_PER_S, now_ms)
        self._pending_asks = {
            ask: at for ask, at in self._pending_asks.items() if now_ms - at < LOAN_MS
        }
        if peer_count < 1:
            return None
        shortages = (
            ShareLoan(brand, min(1.0, 2 * self._shortage(brand, now_ms) / peer_count))
            for brand in self._demand.all_rates(now_ms)
        )
        wanted = tuple(loan for loan in shortages if loan.share >= MIN_LOAN)
        if not wanted:
            return None
        ask_id = self._rng.getrandbits(ASK_ID_BITS)
        self._pending_asks[ask_id] = now_ms
        return LoanRequest(ask_id, wanted)

    def grant_loans(self, request: LoanRequest, now_ms: int) -> LoanGrant:
        """Lend shares that this instance does not need; they are given up before the grant is sent.

        :param request: request of a peer
        :param now_ms: current time, in milliseconds
        """
        loans = []
        for wanted in request.wanted:
            quota = self._quota(wanted.brand)
            share = min(
                wanted.share, quota.lendable(self._needed_share(wanted.brand, now_ms), now_ms)
            )
            if share < MIN_LOAN:
                continue
            quota.lend(share, now_ms)
            loans.append(ShareLoan(wanted.brand, share))
        return LoanGrant(request.ask_id, tuple(loans))

    def add_loans(self, peer: EntryInstanceId, grant: LoanGrant, now_ms: int) -> None:
        """Add borrowed shares; a grant that matches no request of this incarnation is ignored.

        :param peer: lender
        :param grant: grant of the peer, delivered at most once
        :param now_ms: current time, in milliseconds
        """
        asked_ms = self._pending_asks.get(grant.ask_id)
        if asked_ms is None:
            return
        for loan in grant.loans:
            self._quota(loan.brand).borrow(loan.share, asked_ms + LOAN_MS, now_ms)

    def excess(self, brand: BrandName, now_ms: int) -> float:
        """Return the ratio of a brand's share of recent work to its fair share.

        A tenth of all recent work is subtracted from the brand's share, so that a single request of
        a small brand does not count as excess. Fair shares are proportional to the rate limits of
        the active brands.

        :param brand: brand
        :param now_ms: current time, in milliseconds
        """
        total = self._work.total(now_ms)
        if total <= MIN_RATE_PER_S:
            return 0.0
        weight = self._limits_for(brand).requests_per_s
        fair = min(1.0, weight / max(weight, self._active_weight(now_ms)))
        work_share = self._work.rate(brand, now_ms) / total
        return max(0.0, work_share - EXCESS_ALLOWANCE) / max(fair, MIN_LOAN)

    def _record_work(self, brand: BrandName, cost_tokens: int, now_ms: int) -> None:
        if brand not in self._work:
            self._weight += self._limits_for(brand).requests_per_s
        self._work.add(brand, cost_tokens, now_ms)

    def _active_weight(self, now_ms: int) -> float:
        """Return the sum of the rate limits of the active brands, cached for one second."""
        if now_ms - self._weight_updated_ms >= WEIGHT_REFRESH_MS:
            self._weight_updated_ms = now_ms
            self._work.remove_below(MIN_RATE_PER_S, now_ms)
            active = self._work.all_rates(now_ms)
            self._weight = sum(self._limits_for(name).requests_per_s for name in active)
        return self._weight

    def _check_deadline(self, expected_ttft_ms: int, deadline_ms: int) -> None:
        if expected_ttft_ms > deadline_ms:
            late_ms = expected_ttft_ms - deadline_ms
            raise _refusal("the deadline cannot be met", max(MIN_RETRY_AFTER_MS, late_ms))

    def _check_queue(
        self, brand: BrandName, request_class: RequestClass, queue_ms: int, now_ms: int
    ) -> None:
        if request_class is RequestClass.BATCH and queue_ms > BATCH_MAX_QUEUE_MS:
            raise _refusal("batch work waits for idle engines", max(MIN_RETRY_AFTER_MS, queue_ms))
        if queue_ms > FAIRNESS_QUEUE_MS and self.excess(brand, now_ms) > EXCESS_LIMIT:
            raise _refusal("the brand is above its fair share", max(MIN_RETRY_AFTER_MS, queue_ms))

    def _check_concurrent(self, brand: BrandName, request_class: RequestClass) -> None:
        max_concurrent = concurrent_share(self._limits_for(brand), self._members)
        batch = self._in_progress.get((brand, RequestClass.BATCH), 0)
        batch_full = batch >= max(1, int(max_concurrent * BATCH_CONCURRENT_FRACTION))
        if self.in_progress(brand) >= max_concurrent or (
            request_class is RequestClass.BATCH and batch_full
        ):
            raise _refusal("too many requests in progress", CONCURRENT_RETRY_AFTER_MS)

    def _take_token(self, brand: BrandName, now_ms: int) -> None:
        wait_ms = self._quota(brand).take(now_ms)
        if wait_ms:
            raise _refusal("the brand's rate is used up", max(MIN_RETRY_AFTER_MS, wait_ms))

    def _priority(self, brand: BrandName, request_class: RequestClass, now_ms: int) -> int:
        base = BATCH_PRIORITY if request_class is RequestClass.BATCH else 0
        return base + min(MAX_EXCESS_PRIORITY, int(self.excess(brand, now_ms) / EXCESS_LIMIT))

    def _quota(self, brand: BrandName) -> Quota:
        limits = self._limits_for(brand)
        quota = self._quotas.get(brand)
        if quota is None:
            quota = Quota(limits, 1 / self._previous_members, self._started_ms)
            quota.resize(1 / self._members, self._resized_ms)
            self._quotas[brand] = quota
        quota.limits = limits
        return quota

    def _needed_share(self, brand: BrandName, now_ms: int) -> float:
        limits = self._limits_for(brand)
        rate = self._demand.rate(brand, now_ms) * DEMAND_HEADROOM
        return rate / max(limits.requests_per_s, MIN_RATE_PER_S)

    def _shortage(self, brand: BrandName, now_ms: int) -> float:
        quota = self._quota(brand)
        if not quota.is_low(now_ms):
            return 0.0
        return max(0.0, self._needed_share(brand, now_ms) - quota.share(now_ms))


def _refusal(message: str, retry_after_ms: int) -> OverloadedError:
    return OverloadedError(message, step=STEP, retry_after_ms=retry_after_ms)
