"""Tests of the shares of brands, routes and urgencies in the capacity of a service."""

import asyncio
import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from bergamothill.clock import ManualClock
from bergamothill.process.admissionqueue import AdmissionQueue
from bergamothill.request.fairqueue import Flow
from bergamothill.request.requestqueue import NO_LIMIT, QueuedRequest, RequestQueue
from bergamothill.version.routetable import Brand
from tests.builders import caller_request
from tests.capacityload import PLAIN_ROUTE, STREAM_ROUTE, engine_world, plain_world


def waiting(flow, arrived_ms=0, tokens=1_000, on_time_until_ms=10**9):
    request = caller_request(prompt_tokens=tokens, max_output_tokens=0)
    request.flow = flow
    return QueuedRequest(flow.urgency, arrived_ms, tokens, on_time_until_ms, 10**9, request=request)


class Server:
    """Takes the next of the queue as often as it is asked."""

    def __init__(self):
        self.queue, self.now_ms = RequestQueue(), 0
        self.sent: list[QueuedRequest] = []

    def add(self, flow, count, **changes):
        for number in range(count):
            self.queue.enqueue(waiting(flow, number, **changes), 0)

    def send(self, work):
        """Send requests of some work; return the work sent by flow."""
        sent = Counter()
        while sum(sent.values()) < work and (head := self.queue.peek(self.now_ms)) is not None:
            self.queue.discard(head)
            self.queue.record_sent(head, self.now_ms)
            self.queue.record_admission(head.work_tokens, self.now_ms, head.flow)
            sent[head.flow] += head.work_tokens
            self.sent.append(head)
        return sent


A, B = Flow(0, "a", "quote"), Flow(0, "b", "quote")


class SharesTest(unittest.TestCase):
    def setUp(self):
        self.server = Server()

    def test_a_brand_with_many_requests_does_not_take_the_share_of_another(self):
        self.server.add(A, 100)
        self.server.add(B, 10)
        sent = self.server.send(20_000)
        self.assertEqual((10_000, 10_000), (sent[A], sent[B]))

    def test_shares_count_work_and_large_requests_get_their_turn(self):
        self.server.add(A, 200, tokens=800)
        self.server.add(B, 20, tokens=12_000)
        sent = self.server.send(96_000)
        self.assertAlmostEqual(sent[A], sent[B], delta=12_000)

    def test_routes_share_what_their_brand_gets(self):
        checks = Flow(0, "a", "check")
        self.server.add(A, 100)
        self.server.add(checks, 100)
        self.server.add(B, 100)
        sent = self.server.send(40_000)
        self.assertEqual((10_000, 10_000, 20_000), (sent[A], sent[checks], sent[B]))

    def test_an_unused_share_is_lent_at_once_and_not_claimed_back(self):
        self.server.add(A, 100)
        self.assertEqual(30_000, self.server.send(30_000)[A])
        self.server.add(B, 100)
        sent = self.server.send(20_000)
        # Two flows may differ by one request of each.
        self.assertAlmostEqual(sent[A], sent[B], delta=2_000)

    def test_those_in_time_come_first_in_each_urgency(self):
        self.server.add(A, 1, on_time_until_ms=-1)
        self.server.add(B, 2)
        self.server.send(3_000)
        self.assertEqual([B, B, A], [request.flow for request in self.server.sent])

    def test_a_less_urgent_kind_gets_little_but_not_nothing(self):
        low = Flow(3, "b", "quote")
        for _ in range(40):
            self.server.add(A, 10)
            self.server.add(low, 10)
            sent = self.server.send(10_000)
        totals = Counter(request.flow for request in self.server.sent)
        self.assertLess(0, totals[low])
        self.assertLess(totals[low], 0.2 * totals[A])
        self.assertEqual(10_000, sum(sent.values()))

    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.sampled_from("ab"), st.integers(1, 12_000)),
            min_size=1,
            max_size=60,
        ),
        st.integers(1, 100_000),
    )
    def test_a_more_urgent_kind_is_never_served_worse(self, requests, work):
        server = Server()
        for number, (urgency, brand, tokens) in enumerate(requests):
            server.add(Flow(urgency, brand, "quote"), 1 + number % 2, tokens=tokens)
        offered = Counter()
        for request in server.queue._waiting:
            offered[request.urgency] += request.work_tokens
        server.send(work)
        served = Counter()
        for request in server.sent:
            served[request.urgency] += request.work_tokens
        left = {request.urgency for request in server.queue._waiting}
        for urgent in left:
            for other in offered:
                if other > urgent:
                    largest = max(tokens for _, _, tokens in requests)
                    ratio = (served[other] - largest) / offered[other]
                    self.assertLessEqual(ratio, served[urgent] / offered[urgent] + 1e-9)


class TurnTest(unittest.TestCase):
    """Turns of requests that do not fit for now."""

    def setUp(self):
        self.clock = ManualClock()
        self.queue = AdmissionQueue(self.clock)
        self.large = waiting(A, 0, 12_000, on_time_until_ms=400)
        self.small = waiting(A, 1, 800)
        for request in (self.large, self.small):
            self.queue.requests.enqueue(request, 0)

    def test_others_pass_one_that_does_not_fit_until_its_time_is_short(self):
        self.assertTrue(self.queue.has_turn(self.large))
        self.queue.pass_turn(self.large)
        self.assertTrue(self.queue.has_turn(self.small))
        self.queue.wake_head()
        self.assertTrue(self.queue.has_turn(self.large))
        self.clock.advance_ms(300)
        self.queue.pass_turn(self.large)
        self.assertTrue(self.queue.has_turn(self.large))

    def test_all_try_again_after_a_wait_without_a_wakeup(self):
        """Guards against requests that are never tried again when reports are lost."""
        for request in (self.large, self.small):
            self.queue.pass_turn(request)
        self.assertIsNone(self.queue.next_request())
        asyncio.run(self.queue.wait_for_turn(self.large, NO_LIMIT))
        self.assertTrue(self.queue.has_turn(self.large))


class InOrder(RequestQueue):
    """Queue without shares."""

    def peek(self, now_ms, passed=()):
        waiting = [r for r in self._waiting if r not in passed]
        return min(waiting, key=lambda request: request.sort_key(now_ms), default=None)

    def is_reserving(self, request, now_ms):
        return False


def in_order(instance):
    instance.queue = InOrder()


class LoadTest(unittest.TestCase):
    """Load: brands and kinds compete for too little capacity."""

    def run_brands(self, configure=None):
        """Return the shares of calls in time of a brand with many calls and one with few."""
        world, _ = plain_world(instances=3, work_ms=90, configure=configure)
        route = replace(PLAIN_ROUTE, target_ms=408)
        world.add_calls("large", route, 350, 9_000, brand=Brand("a"))
        world.add_calls("small", route, 40, 9_000, brand=Brand("b"))
        world.run(11_000)
        return [world.good_share(kind, 2_000) for kind in ("large", "small")]

    def test_a_small_brand_is_served_beside_one_that_asks_for_too_much(self):
        large, small = self.run_brands()
        _, before = self.run_brands(in_order)
        self.assertGreater(small, 0.9)
        self.assertGreater(small, before + 0.1)

    def run_prompts(self, configure=None):
        """Return the shares in time of prompts at an engine whose memory is short."""
        world, _ = engine_world(
            1, 1, tokens_per_ms=1_000, memory_tokens=20_000, configure=configure
        )
        world.add_calls(
            "long",
            replace(STREAM_ROUTE, target_ms=1_500, name="long"),
            0.7,
            25_000,
            prompt=(9_122, 2_870),
        )
        world.add_calls(
            "short", replace(STREAM_ROUTE, target_ms=600), 35, 25_000, prompt=(650, 177)
        )
        world.run(27_000)
        return [world.good_share(kind, 1_000) for kind in ("long", "short")]

    def test_long_prompts_get_their_turn_beside_short_ones(self):
        long, short = self.run_prompts()
        before = self.run_prompts(in_order)
        self.assertGreater(long, before[0] + 0.1)
        self.assertGreaterEqual(short, before[1] - 0.02)
