from __future__ import annotations

import random
import unittest

from bergamothill.errors import Execution, OverloadedError
from bergamothill.ids import BrandName, EntryInstanceId
from bergamothill.request.limits import Admission, RequestClass
from bergamothill.request.quota import LOAN_MARGIN_MS, LOAN_MS
from bergamothill.version.config import Limits

HUTS = BrandName("huts")
TRAILS = BrandName("trails")
PEER = EntryInstanceId("entry-2")
SETTLED_MS = LOAN_MS + LOAN_MARGIN_MS


def admission(limits: Limits, members: int = 2) -> Admission:
    return Admission(lambda brand: limits, members, 0, random.Random(1))


def admitted(subject: Admission, count: int, now_ms: int, brand: BrandName = HUTS) -> int:
    done = 0
    for _ in range(count):
        try:
            subject.admit(brand, RequestClass.INTERACTIVE, 10, 1_000, now_ms)
        except OverloadedError:
            continue
        done += 1
    return done


class AdmissionTests(unittest.TestCase):
    def test_refuses_at_once_what_cannot_meet_its_deadline(self) -> None:
        subject = admission(Limits())
        with self.assertRaises(OverloadedError) as caught:
            subject.admit(HUTS, RequestClass.INTERACTIVE, 1_500, 1_000, 0)
        self.assertEqual(Execution.NOT_RUN, caught.exception.execution)
        self.assertEqual(500, caught.exception.retry_after_ms)

    def test_holds_its_own_part_of_rate_and_burst(self) -> None:
        subject = admission(Limits(requests_per_s=10, burst=20))
        self.assertEqual(1, admitted(subject, 50, 0))
        self.assertEqual(2, admitted(subject, 50, 1_000))
        self.assertEqual(10, admitted(subject, 50, SETTLED_MS + 10_000))
        self.assertEqual(5, admitted(subject, 50, SETTLED_MS + 11_000))

    def test_first_read_of_the_instance_list_is_no_change_of_size(self) -> None:
        limits = Limits(requests_per_s=10, burst=20)
        subject = Admission(lambda brand: limits, None, 0, random.Random(1))
        subject.resize(2, 0)
        self.assertEqual(1 + 2, admitted(subject, 50, 0) + admitted(subject, 50, 1_000))

    def test_without_the_instance_list_the_share_is_least(self) -> None:
        subject = Admission(lambda brand: Limits(), None, 0, random.Random(1))
        self.assertEqual(1, admitted(subject, 50, SETTLED_MS))

    def test_limits_requests_in_progress(self) -> None:
        subject = admission(Limits(concurrent=4))
        ticket = subject.admit(HUTS, RequestClass.INTERACTIVE, 1, 9, SETTLED_MS + 9_000)
        self.assertEqual(1, admitted(subject, 5, SETTLED_MS + 9_000))
        subject.release(ticket)
        self.assertEqual(1, admitted(subject, 5, SETTLED_MS + 9_000))

    def test_unneeded_part_goes_on_loan_and_comes_back(self) -> None:
        limits = Limits(requests_per_s=10, burst=10)
        lender, borrower = admission(limits), admission(limits)
        now_ms = SETTLED_MS + 10_000
        admitted(borrower, 40, now_ms)
        request = borrower.loan_request(1, now_ms)
        grant = lender.grant_loans(request, now_ms)
        borrower.add_loans(PEER, grant, now_ms)
        self.assertEqual(7, admitted(borrower, 40, now_ms + 1_000))
        self.assertLess(admitted(lender, 40, now_ms + 1_000), 3)
        self.assertEqual(5, admitted(lender, 40, now_ms + SETTLED_MS + 9_000))
        admitted(borrower, 40, now_ms + LOAN_MS)
        self.assertEqual(5, admitted(borrower, 40, now_ms + LOAN_MS + 1_000))

    def test_a_grant_that_arrives_after_its_end_is_useless(self) -> None:
        limits = Limits(requests_per_s=10, burst=10)
        lender, borrower = admission(limits), admission(limits)
        now_ms = SETTLED_MS + 10_000
        admitted(borrower, 40, now_ms)
        grant = lender.grant_loans(borrower.loan_request(1, now_ms), now_ms)
        borrower.add_loans(PEER, grant, now_ms + LOAN_MS)
        admitted(borrower, 40, now_ms + LOAN_MS)
        self.assertEqual(5, admitted(borrower, 40, now_ms + LOAN_MS + 1_000))

    def test_under_pressure_only_the_brand_above_its_share_is_refused(self) -> None:
        subject = admission(Limits())
        now_ms = SETTLED_MS + 10_000
        for _ in range(10):
            now_ms += 10
            subject.admit(HUTS, RequestClass.INTERACTIVE, 1, 9_000, now_ms, cost_tokens=9_000)
        subject.admit(TRAILS, RequestClass.INTERACTIVE, 1, 9_000, now_ms, cost_tokens=1_000)
        now_ms += 10
        with self.assertRaises(OverloadedError):
            subject.admit(HUTS, RequestClass.INTERACTIVE, 600, 9_000, now_ms, queue_ms=600)
        ticket = subject.admit(TRAILS, RequestClass.INTERACTIVE, 600, 9_000, now_ms, queue_ms=600)
        self.assertEqual(0, ticket.priority)

    def test_batch_gives_way_first(self) -> None:
        subject = admission(Limits())
        with self.assertRaises(OverloadedError):
            subject.admit(HUTS, RequestClass.BATCH, 150, 9_000, SETTLED_MS, queue_ms=150)
        subject.admit(HUTS, RequestClass.INTERACTIVE, 150, 9_000, SETTLED_MS, queue_ms=150)
