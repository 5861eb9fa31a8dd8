"""Admission: brand limits over the whole fleet, weighted fairness and early refusal."""

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
    "class_of",
    "concurrent_share",
]

STEP = "admission"
DEMAND_TIME_CONSTANT_MS = 5_000
WORK_TIME_CONSTANT_MS = 30_000
LEAST_RATE_PER_S = 0.01
DEMAND_HEADROOM = 1.25
LEAST_LOAN = 0.001
PRESSURE_MS = 100
BATCH_PRESSURE_MS = 110
BATCH_CONCURRENT_PART = 0.5
FAIR_EXCESS = 1.5
EXCESS_ALLOWANCE = 0.1
EXCESS_PRIORITY_LIMIT = 4
BATCH_PRIORITY = 10
WEIGHING_MS = 1_000
CONCURRENT_RETRY_MS = 1_000
LEAST_RETRY_MS = 100
ASK_ID_BITS = 63
LARGEST_FLEET = 400


class RequestClass(Enum):
    """Class of a request by how soon its caller needs the answer."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


def class_of(priority: int) -> RequestClass:
    """Return the class that a caller's priority stands for.

    :param priority: lower runs first
    """
    return RequestClass.BATCH if priority >= BATCH_PRIORITY else RequestClass.INTERACTIVE


def concurrent_share(limits: Limits, members: int) -> int:
    """Return how many requests of a brand may be in progress at one entry instance.

    :param limits: limits of the brand over the whole fleet
    :param members: entry instances of the fleet
    """
    return max(1, limits.concurrent // members)


@dataclass(frozen=True, slots=True)
class Ticket:
    """Admitted request.

    :param brand: brand that the request counts for
    :param request_class: class that it counts for
    :param priority: priority for the engine; grows with the brand's excess over its fair share
    """

    brand: BrandName
    request_class: RequestClass
    priority: int


@dataclass(frozen=True, slots=True)
class ShareLoan:
    """Part of one brand's limit, asked for or lent.

    :param brand: brand concerned
    :param share: part of the fleet-wide limit, from 0 to 1
    """

    brand: BrandName
    share: float


@message("loan_request")
@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Ask a peer of the zone for parts of limits that it does not need.

    :param ask_id: random number that the grant repeats
    :param wanted: what the sender lacks
    """

    ask_id: int
    wanted: tuple[ShareLoan, ...]


@message("loan_grant")
@dataclass(frozen=True, slots=True)
class LoanGrant:
    """Parts lent, valid for ``LOAN_MS`` from the instant of the request.

    :param ask_id: number of the request
    :param loans: what is lent
    """

    ask_id: int
    loans: tuple[ShareLoan, ...]


class Admission:
    """Admits or refuses at once; keeps no queue.

    Each entry instance owns an equal part of each brand's limit. Parts that it does not need go on
    loan to peers of the zone that do. An instance cut off from its peers keeps its own part.

    :param limits_for: limits in force of a brand
    :param members: entry instances of the fleet by the instance list, not by reachability; None
        while the list was not read, which counts as the largest fleet
    :param started_ms: instant at which this incarnation started
    :param rng: source of request numbers
    """

    def __init__(
        self,
        limits_for: Callable[[BrandName], Limits],
        members: int | None,
        started_ms: int,
        rng: random.Random,
    ) -> None:
        self._limits_for = limits_for
        self._is_listed = members is not None
        self._members = LARGEST_FLEET if members is None else max(1, members)
        self._started_ms = started_ms
        self._older_members = self._members
        self._resized_ms = started_ms
        self._rng = rng
        self._quotas: dict[BrandName, Quota] = {}
        self._in_progress: dict[tuple[BrandName, RequestClass], int] = {}
        self._demand = DecayingRates(DEMAND_TIME_CONSTANT_MS)
        self._work = DecayingRates(WORK_TIME_CONSTANT_MS)
        self._asks: dict[int, int] = {}
        self._weight = 0.0
        self._weighed_ms = started_ms - WEIGHING_MS

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

        :param brand: brand that pays
        :param request_class: class of the request
        :param expected_ttft_ms: expected time to first token, in milliseconds
        :param deadline_ms: time left for the first token, in milliseconds
        :param now_ms: current time, in milliseconds
        :param queue_ms: part of the expected time that is spent in queues
        :param cost_tokens: prompt tokens to compute
        :returns: ticket to release when the request ends
        :raises OverloadedError: refused; the request did not run
        """
        self._demand.add(brand, 1.0, now_ms)
        self._check_deadline(expected_ttft_ms, deadline_ms)
        self._check_pressure(brand, request_class, queue_ms, now_ms)
        self._check_concurrent(brand, request_class)
        self._take_token(brand, now_ms)
        priority = self._priority(brand, request_class, now_ms)
        key = (brand, request_class)
        self._in_progress[key] = self._in_progress.get(key, 0) + 1
        self._count_work(brand, cost_tokens, now_ms)
        return Ticket(brand, request_class, priority)

    def release(self, ticket: Ticket) -> None:
        """End an admitted request.

        :param ticket: what :meth:`admit` returned, once
        """
        key = (ticket.brand, ticket.request_class)
        left = self._in_progress.get(key, 0) - 1
        if left > 0:
            self._in_progress[key] = left
        else:
            self._in_progress.pop(key, None)

    def in_progress(self, brand: BrandName) -> int:
        """Return how many requests of a brand are in progress here.

        :param brand: brand asked for
        """
        return sum(self._in_progress.get((brand, cls), 0) for cls in RequestClass)

    def resize(self, members: int, now_ms: int) -> None:
        """Take over a new size of the fleet.

        :param members: entry instances of the fleet by the instance list
        :param now_ms: current time, in milliseconds
        """
        if not self._is_listed and not self._quotas:
            self._older_members = self._members = max(1, members)
        self._is_listed = True
        if max(1, members) == self._members:
            return
        settled = now_ms - self._resized_ms > LOAN_MS + LOAN_MARGIN_MS
        older = self._members if settled else max(self._older_members, self._members)
        self._older_members = older
        self._resized_ms = now_ms
        self._members = max(1, members)
        for quota in self._quotas.values():
            quota.resize(1 / self._members, now_ms)

    def loan_request(self, peer_count: int, now_ms: int) -> LoanRequest | None:
        """Return what to ask of each peer of the zone, or None when nothing is lacking.

        :param peer_count: peers that will be asked
        :param now_ms: current time, in milliseconds
        """
        self._demand.forget_below(LEAST_RATE_PER_S, now_ms)
        self._asks = {ask: at for ask, at in self._asks.items() if now_ms - at < LOAN_MS}
        if peer_count < 1:
            return None
        lacking = (
            ShareLoan(brand, min(1.0, 2 * self._lack(brand, now_ms) / peer_count))
            for brand in self._demand.all_rates(now_ms)
        )
        wanted = tuple(loan for loan in lacking if loan.share >= LEAST_LOAN)
        if not wanted:
            return None
        ask_id = self._rng.getrandbits(ASK_ID_BITS)
        self._asks[ask_id] = now_ms
        return LoanRequest(ask_id, wanted)

    def lend(self, request: LoanRequest, now_ms: int) -> LoanGrant:
        """Lend what this instance does not need; it is given up before the grant is sent.

        :param request: what a peer lacks
        :param now_ms: current time, in milliseconds
        """
        loans = []
        for wanted in request.wanted:
            quota = self._quota(wanted.brand)
            share = min(wanted.share, quota.lendable(self._needed(wanted.brand, now_ms), now_ms))
            if share < LEAST_LOAN:
                continue
            quota.lend(share, now_ms)
            loans.append(ShareLoan(wanted.brand, share))
        return LoanGrant(request.ask_id, tuple(loans))

    def accept(self, peer: EntryInstanceId, grant: LoanGrant, now_ms: int) -> None:
        """Use what a peer lent; a grant that answers no request of this incarnation is ignored.

        :param peer: lender
        :param grant: what it lent, delivered at most once
        :param now_ms: current time, in milliseconds
        """
        asked_ms = self._asks.get(grant.ask_id)
        if asked_ms is None:
            return
        for loan in grant.loans:
            self._quota(loan.brand).borrow(loan.share, asked_ms + LOAN_MS, now_ms)

    def excess(self, brand: BrandName, now_ms: int) -> float:
        """Return a brand's recent work, less a tenth of all, over its fair share.

        The tenth keeps a single request of a small brand from counting as an excess. Fair shares
        are in proportion to the rate limits of the brands that were active.

        :param brand: brand asked for
        :param now_ms: current time, in milliseconds
        """
        total = self._work.total(now_ms)
        if total <= LEAST_RATE_PER_S:
            return 0.0
        weight = self._limits_for(brand).requests_per_s
        fair = min(1.0, weight / max(weight, self._active_weight(now_ms)))
        part = self._work.rate(brand, now_ms) / total
        return max(0.0, part - EXCESS_ALLOWANCE) / max(fair, LEAST_LOAN)

    def _count_work(self, brand: BrandName, cost_tokens: int, now_ms: int) -> None:
        if brand not in self._work:
            self._weight += self._limits_for(brand).requests_per_s
        self._work.add(brand, cost_tokens, now_ms)

    def _active_weight(self, now_ms: int) -> float:
        """Return the summed rate limits of the active brands, at most a second old."""
        if now_ms - self._weighed_ms >= WEIGHING_MS:
            self._weighed_ms = now_ms
            self._work.forget_below(LEAST_RATE_PER_S, now_ms)
            active = self._work.all_rates(now_ms)
            self._weight = sum(self._limits_for(name).requests_per_s for name in active)
        return self._weight

    def _check_deadline(self, expected_ttft_ms: int, deadline_ms: int) -> None:
        if expected_ttft_ms > deadline_ms:
            late_ms = expected_ttft_ms - deadline_ms
            raise _refusal("the deadline cannot be met", max(LEAST_RETRY_MS, late_ms))

    def _check_pressure(
        self, brand: BrandName, request_class: RequestClass, queue_ms: int, now_ms: int
    ) -> None:
        if request_class is RequestClass.BATCH and queue_ms > BATCH_PRESSURE_MS:
            raise _refusal("batch work waits for idle engines", max(LEAST_RETRY_MS, queue_ms))
        if queue_ms > PRESSURE_MS and self.excess(brand, now_ms) > FAIR_EXCESS:
            raise _refusal("the brand is above its fair share", max(LEAST_RETRY_MS, queue_ms))

    def _check_concurrent(self, brand: BrandName, request_class: RequestClass) -> None:
        most = concurrent_share(self._limits_for(brand), self._members)
        batch = self._in_progress.get((brand, RequestClass.BATCH), 0)
        batch_full = batch >= max(1, int(most * BATCH_CONCURRENT_PART))
        if self.in_progress(brand) >= most or (request_class is RequestClass.BATCH and batch_full):
            raise _refusal("too many requests in progress", CONCURRENT_RETRY_MS)

    def _take_token(self, brand: BrandName, now_ms: int) -> None:
        wait_ms = self._quota(brand).take(now_ms)
        if wait_ms:
            raise _refusal("the brand's rate is used up", max(LEAST_RETRY_MS, wait_ms))

    def _priority(self, brand: BrandName, request_class: RequestClass, now_ms: int) -> int:
        base = BATCH_PRIORITY if request_class is RequestClass.BATCH else 0
        return base + min(EXCESS_PRIORITY_LIMIT, int(self.excess(brand, now_ms) / FAIR_EXCESS))

    def _quota(self, brand: BrandName) -> Quota:
        limits = self._limits_for(brand)
        quota = self._quotas.get(brand)
        if quota is None:
            quota = Quota(limits, 1 / self._older_members, self._started_ms)
            quota.resize(1 / self._members, self._resized_ms)
            self._quotas[brand] = quota
        quota.limits = limits
        return quota

    def _needed(self, brand: BrandName, now_ms: int) -> float:
        limits = self._limits_for(brand)
        rate = self._demand.rate(brand, now_ms) * DEMAND_HEADROOM
        return rate / max(limits.requests_per_s, LEAST_RATE_PER_S)

    def _lack(self, brand: BrandName, now_ms: int) -> float:
        quota = self._quota(brand)
        if not quota.is_low(now_ms):
            return 0.0
        return max(0.0, self._needed(brand, now_ms) - quota.share(now_ms))


def _refusal(text: str, retry_after_ms: int) -> OverloadedError:
    return OverloadedError(text, step=STEP, retry_after_ms=retry_after_ms)
