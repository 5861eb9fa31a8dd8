"""Proof that no brand exceeds its fleet-wide limit plus slack, or starves another brand."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import ClassVar

from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from bergamothill.errors import OverloadedError
from bergamothill.ids import BrandName, EntryInstanceId
from bergamothill.request.limits import (
    Admission,
    LoanGrant,
    LoanRequest,
    RequestClass,
    Ticket,
    concurrent_share,
)
from bergamothill.version.config import Limits
from tests.proof.harness import Proof, ProofMachine

__all__ = ["PROOFS", "LimitsMachine", "StarvationMachine"]

ENTRIES = 3
FLOOD = BrandName("flood")
QUIET = BrandName("quiet")
LIMITS = {
    FLOOD: Limits(requests_per_s=30, burst=60, concurrent=120),
    QUIET: Limits(requests_per_s=30, burst=60, concurrent=30),
}
QUIET_INTERVAL_MS = 1_000
DEADLINE_MS = 10_000
MILLIS_PER_SECOND = 1_000
FLOOD_STEP_MS = 200
FLOOD_COUNT = 10
TOLERANCE = 1e-6
PEER = EntryInstanceId("peer")


class SharedLimitAdmission(Admission):
    """Test double without limits per brand: all brands share one limit."""

    def admit(self, brand: BrandName, *arguments: object, **options: object) -> Ticket:
        return super().admit(FLOOD, *arguments, **options)


class DoubleSpendAdmission(Admission):
    """Test double whose lenders keep using the share that they lent."""

    def grant_loans(self, request: LoanRequest, now_ms: int) -> LoanGrant:
        return LoanGrant(request.ask_id, request.wanted)


@dataclass
class Instance:
    """One entry instance; its clock is the simulated clock plus an offset."""

    admission: Admission
    offset_ms: int
    frozen: bool = False
    tickets: list[Ticket] = field(default_factory=list)
    loan_requests: list[LoanRequest] = field(default_factory=list)
    grants: list[tuple[int, LoanGrant]] = field(default_factory=list)


class LimitsMachine(ProofMachine):
    """Entry instances that are flooded, lend, get cut off, freeze, and are killed and restarted."""

    double: ClassVar[type[Admission]] = DoubleSpendAdmission

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 100_000
        self.rng = random.Random(7)
        self.instances = [self._start() for _ in range(ENTRIES)]
        self.incarnations = ENTRIES
        self.cut_off: set[int] = set()
        self.admitted = 0
        self.min_level = 0.0
        self.max_in_window = 0.0
        self.last_quiet_ms = [self.now_ms] * ENTRIES
        self.quiet_rejections = 0

    def _start(self) -> Instance:
        offset_ms = self.rng.randrange(1_000_000)
        admission_class = Admission if self.mechanism_enabled else self.double
        started_ms = self.now_ms + offset_ms
        return Instance(
            admission_class(LIMITS.__getitem__, ENTRIES, started_ms, self.rng), offset_ms
        )

    def _admit(self, index: int, brand: BrandName) -> bool:
        instance = self.instances[index]
        try:
            ticket = instance.admission.admit(
                brand, RequestClass.INTERACTIVE, 10, DEADLINE_MS, self.now_ms + instance.offset_ms
            )
        except OverloadedError:
            return False
        instance.tickets.append(ticket)
        return True

    def _flood(self, index: int, count: int) -> None:
        if self.instances[index].frozen:
            return
        for _ in range(count):
            if self._admit(index, FLOOD):
                self._count_admission()

    def _finish(self, index: int, count: int) -> None:
        instance = self.instances[index]
        for ticket in instance.tickets[:count]:
            instance.admission.release(ticket)
        del instance.tickets[:count]

    def _count_admission(self) -> None:
        """Track the largest count of any window, minus the requests that the rate allows in it."""
        level = self.admitted - LIMITS[FLOOD].requests_per_s * self.now_ms / MILLIS_PER_SECOND
        self.min_level = level if self.admitted == 0 else min(self.min_level, level)
        self.admitted += 1
        self.max_in_window = max(self.max_in_window, level + 1 - self.min_level)

    @initialize(warm_ms=st.integers(0, 20_000))
    def start(self, warm_ms: int) -> None:
        self.now_ms += warm_ms

    @rule(index=st.integers(0, ENTRIES - 1), count=st.integers(1, 100))
    def flood(self, index: int, count: int) -> None:
        self.operation()
        self._flood(index, count)

    @rule(steps=st.integers(1, 20))
    def flood_everywhere(self, steps: int) -> None:
        """Keep every entry instance at its limit for a while."""
        self.operation()
        for _ in range(steps):
            self.now_ms += FLOOD_STEP_MS
            for index in range(ENTRIES):
                self._flood(index, FLOOD_COUNT)
                self._finish(index, FLOOD_COUNT)

    @rule(index=st.integers(0, ENTRIES - 1))
    def quiet_request(self, index: int) -> None:
        self.operation()
        instance = self.instances[index]
        if instance.frozen or self.now_ms - self.last_quiet_ms[index] < QUIET_INTERVAL_MS:
            return
        self.last_quiet_ms[index] = self.now_ms
        if not self._admit(index, QUIET):
            self.quiet_rejections += 1
            return
        instance.admission.release(instance.tickets.pop())

    @rule(index=st.integers(0, ENTRIES - 1), count=st.integers(1, 100))
    def finish(self, index: int, count: int) -> None:
        self.operation()
        self._finish(index, count)

    @rule(elapsed_ms=st.integers(1, 4_000))
    def pass_time(self, elapsed_ms: int) -> None:
        self.operation()
        self.now_ms += elapsed_ms

    @rule(index=st.integers(0, ENTRIES - 1))
    def ask(self, index: int) -> None:
        self.operation()
        self._ask(index)

    def _ask(self, index: int) -> None:
        instance = self.instances[index]
        if instance.frozen:
            return
        now_ms = self.now_ms + instance.offset_ms
        request = instance.admission.loan_request(ENTRIES - 1, now_ms)
        if request is not None:
            instance.loan_requests.append(request)

    @rule(borrower=st.integers(0, ENTRIES - 1), lender=st.integers(0, ENTRIES - 1))
    def lend(self, borrower: int, lender: int) -> None:
        """Deliver the latest loan request to one peer; the grant is delivered separately."""
        self.operation()
        self._lend(borrower, lender)

    def _lend(self, borrower: int, lender: int) -> None:
        requester, granter = self.instances[borrower], self.instances[lender]
        if (
            borrower == lender
            or granter.frozen
            or not requester.loan_requests
            or self._is_partitioned(borrower, lender)
        ):
            return
        grant = granter.admission.grant_loans(
            requester.loan_requests[-1], self.now_ms + granter.offset_ms
        )
        requester.grants.append((lender, grant))

    @rule(borrower=st.integers(0, ENTRIES - 1))
    def borrow_from_all(self, borrower: int) -> None:
        """Request, grant and deliver loans at one instant, as in a run without faults."""
        self.operation()
        self._ask(borrower)
        for lender in range(ENTRIES):
            self._lend(borrower, lender)
            self._deliver(borrower, lose=False)

    @rule(borrower=st.integers(0, ENTRIES - 1), lose=st.booleans())
    def deliver(self, borrower: int, lose: bool) -> None:
        """Deliver a loan grant, possibly late, or lose it."""
        self.operation()
        self._deliver(borrower, lose)

    def _deliver(self, borrower: int, lose: bool) -> None:
        requester = self.instances[borrower]
        if requester.frozen or not requester.grants:
            return
        lender, grant = requester.grants.pop(0)
        if not lose and not self._is_partitioned(borrower, lender):
            requester.admission.add_loans(PEER, grant, self.now_ms + requester.offset_ms)

    @rule(index=st.integers(0, ENTRIES - 1))
    def cut_or_join(self, index: int) -> None:
        self.fault()
        self.cut_off ^= {index}

    @rule(index=st.integers(0, ENTRIES - 1))
    def freeze_or_wake(self, index: int) -> None:
        self.fault()
        self.instances[index].frozen = not self.instances[index].frozen

    @rule(index=st.integers(0, ENTRIES - 1))
    def kill_and_start(self, index: int) -> None:
        """Restart an instance without state; loan messages in transit may still reach it."""
        self.fault()
        old = self.instances[index]
        self.instances[index] = self._start()
        self.instances[index].loan_requests = old.loan_requests
        self.instances[index].grants = old.grants
        self.incarnations += 1
        self.last_quiet_ms[index] = self.now_ms

    def _is_partitioned(self, one: int, other: int) -> bool:
        return (one in self.cut_off) != (other in self.cut_off)

    @invariant()
    def rate_is_within_the_slack(self) -> None:
        """Any window has at most burst + rate * length requests, plus one for each incarnation."""
        allowed = LIMITS[FLOOD].burst + self.incarnations
        assert self.max_in_window <= allowed + TOLERANCE, (
            f"{self.max_in_window:.1f} admitted in a window, allowed are {allowed}"
        )

    @invariant()
    def concurrency_is_within_the_slack(self) -> None:
        allowed = concurrent_share(LIMITS[FLOOD], ENTRIES) * ENTRIES
        running = sum(each.admission.in_progress(FLOOD) for each in self.instances)
        assert running <= allowed, f"{running} in progress, allowed are {allowed}"

    @invariant()
    def the_quiet_brand_is_not_starved(self) -> None:
        assert self.quiet_rejections == 0, "a brand far below its limit was rejected"


class StarvationMachine(LimitsMachine):
    """The same machine, with the test double in which one brand uses up the limit of another."""

    double = SharedLimitAdmission


PROOFS = (
    Proof(slug="limits", machine=LimitsMachine),
    Proof(slug="limits-starvation", machine=StarvationMachine),
)
