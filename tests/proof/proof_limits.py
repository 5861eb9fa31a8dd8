"""Proof: no brand exceeds its fleet-wide limit beyond the slack, and no flood starves a brand."""

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
QUIET_GAP_MS = 1_000
DEADLINE_MS = 10_000
MILLIS_PER_SECOND = 1_000
FLOOD_STEP_MS = 200
FLOOD_COUNT = 10
TOLERANCE = 1e-6
PEER = EntryInstanceId("peer")


class SharedAdmission(Admission):
    """Double without limits of their own for the brands: all count as one."""

    def admit(self, brand: BrandName, *arguments: object, **options: object) -> Ticket:
        return super().admit(FLOOD, *arguments, **options)


class UnsafeAdmission(Admission):
    """Double without the hand-over: a lender keeps on using what it lent."""

    def grant_loans(self, request: LoanRequest, now_ms: int) -> LoanGrant:
        return LoanGrant(request.ask_id, request.wanted)


@dataclass
class Instance:
    """One entry instance; its clock is the real one plus an offset."""

    admission: Admission
    offset_ms: int
    frozen: bool = False
    tickets: list[Ticket] = field(default_factory=list)
    asked: list[LoanRequest] = field(default_factory=list)
    grants: list[tuple[int, LoanGrant]] = field(default_factory=list)


class LimitsMachine(ProofMachine):
    """Entry instances that flood, lend, are cut off, freeze, and are killed and started anew."""

    double: ClassVar[type[Admission]] = UnsafeAdmission

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 100_000
        self.rng = random.Random(7)
        self.instances = [self._start() for _ in range(ENTRIES)]
        self.incarnations = ENTRIES
        self.cut: set[int] = set()
        self.admitted = 0
        self.least_level = 0.0
        self.most_in_window = 0.0
        self.quiet_ms = [self.now_ms] * ENTRIES
        self.starved = 0

    def _start(self) -> Instance:
        offset_ms = self.rng.randrange(1_000_000)
        kind = Admission if self.mechanism_enabled else self.double
        started_ms = self.now_ms + offset_ms
        return Instance(kind(LIMITS.__getitem__, ENTRIES, started_ms, self.rng), offset_ms)

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
        """Track the largest count of any window, less what the rate allows in it."""
        level = self.admitted - LIMITS[FLOOD].requests_per_s * self.now_ms / MILLIS_PER_SECOND
        self.least_level = level if self.admitted == 0 else min(self.least_level, level)
        self.admitted += 1
        self.most_in_window = max(self.most_in_window, level + 1 - self.least_level)

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
        if instance.frozen or self.now_ms - self.quiet_ms[index] < QUIET_GAP_MS:
            return
        self.quiet_ms[index] = self.now_ms
        if not self._admit(index, QUIET):
            self.starved += 1
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
            instance.asked.append(request)

    @rule(borrower=st.integers(0, ENTRIES - 1), lender=st.integers(0, ENTRIES - 1))
    def lend(self, borrower: int, lender: int) -> None:
        """Deliver the latest request to one peer; its grant travels on its own."""
        self.operation()
        self._lend(borrower, lender)

    def _lend(self, borrower: int, lender: int) -> None:
        asker, giver = self.instances[borrower], self.instances[lender]
        if borrower == lender or giver.frozen or not asker.asked or self._apart(borrower, lender):
            return
        grant = giver.admission.grant_loans(asker.asked[-1], self.now_ms + giver.offset_ms)
        asker.grants.append((lender, grant))

    @rule(borrower=st.integers(0, ENTRIES - 1))
    def borrow_from_all(self, borrower: int) -> None:
        """Ask, lend and deliver at one instant, as happens when nothing fails."""
        self.operation()
        self._ask(borrower)
        for lender in range(ENTRIES):
            self._lend(borrower, lender)
            self._deliver(borrower, lose=False)

    @rule(borrower=st.integers(0, ENTRIES - 1), lose=st.booleans())
    def deliver(self, borrower: int, lose: bool) -> None:
        """Deliver a grant, however late, or lose it."""
        self.operation()
        self._deliver(borrower, lose)

    def _deliver(self, borrower: int, lose: bool) -> None:
        asker = self.instances[borrower]
        if asker.frozen or not asker.grants:
            return
        lender, grant = asker.grants.pop(0)
        if not lose and not self._apart(borrower, lender):
            asker.admission.add_loans(PEER, grant, self.now_ms + asker.offset_ms)

    @rule(index=st.integers(0, ENTRIES - 1))
    def cut_or_join(self, index: int) -> None:
        self.fault()
        self.cut ^= {index}

    @rule(index=st.integers(0, ENTRIES - 1))
    def freeze_or_wake(self, index: int) -> None:
        self.fault()
        self.instances[index].frozen = not self.instances[index].frozen

    @rule(index=st.integers(0, ENTRIES - 1))
    def kill_and_start(self, index: int) -> None:
        """The new incarnation knows nothing; what was under way may still reach it."""
        self.fault()
        old = self.instances[index]
        self.instances[index] = self._start()
        self.instances[index].asked = old.asked
        self.instances[index].grants = old.grants
        self.incarnations += 1
        self.quiet_ms[index] = self.now_ms

    def _apart(self, one: int, other: int) -> bool:
        return (one in self.cut) != (other in self.cut)

    @invariant()
    def rate_is_within_the_slack(self) -> None:
        """Any window holds at most burst, rate times length, and one for each incarnation."""
        most = LIMITS[FLOOD].burst + self.incarnations
        assert self.most_in_window <= most + TOLERANCE, f"{self.most_in_window:.1f} above {most}"

    @invariant()
    def concurrency_is_within_the_slack(self) -> None:
        most = concurrent_share(LIMITS[FLOOD], ENTRIES) * ENTRIES
        running = sum(each.admission.in_progress(FLOOD) for each in self.instances)
        assert running <= most, f"{running} in progress above {most}"

    @invariant()
    def the_quiet_brand_is_not_starved(self) -> None:
        assert self.starved == 0, "a brand far below its limit was refused"


class StarvationMachine(LimitsMachine):
    """The same, with the double that lets one brand use up another's limit."""

    double = SharedAdmission


PROOFS = (
    Proof(slug="limits", machine=LimitsMachine),
    Proof(slug="limits-starvation", machine=StarvationMachine),
)
