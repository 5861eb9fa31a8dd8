"""Tests of refusals for lack of capacity, and of when refused callers return."""

import unittest

from bergamothill.request.forwarding import Finish, Forwarding, WaitForMemory
from bergamothill.request.requestqueue import QueuedRequest, RequestQueue, ReturnTime
from bergamothill.request.serverchoice import NoFreeMemory
from bergamothill.request.windowedbudget import WindowedRetryBudget
from tests.builders import await_true, caller_request
from tests.capacityload import CONFIG, PLAIN_ROUTE
from tests.gatewayworld import GatewayCase, answer, read_message, replies, request
from tests.test_servercapacity import kill_one, lose_reports, run_plain


def waiting(arrived_ms=0, window_ms=300):
    return QueuedRequest(0, arrived_ms, 1_000, arrived_ms + window_ms, arrived_ms + window_ms)


class QueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = RequestQueue()
        self.queued = [self.queue.enqueue(waiting(n), n, work_per_ms=10) for n in range(5)]

    def test_a_request_is_refused_at_once_if_its_turn_comes_too_late(self):
        self.assertEqual([True, True, True, False, False], self.queued)

    def test_refused_callers_return_when_the_wait_is_short_enough_and_one_by_one(self):
        refused = waiting(10, 120)
        times = [self.queue.schedule_full_return(refused, 10, 10) for _ in range(3)]
        self.assertEqual([180, 280, 380], [time.wait_ms for time in times])

    def test_without_a_rate_no_time_is_told(self):
        self.assertIsNone(self.queue.schedule_full_return(waiting(), 10))


class Full:
    """Chooser of servers that are all full."""

    def choose(self, *args, **kwargs):
        return NoFreeMemory(100.0, 0.5)


class ForwardingTest(unittest.TestCase):
    def refuse(self, now_ms, wait_ms):
        budget = WindowedRetryBudget(0.2, 10, 10_000, started_ms=0)
        service = CONFIG.services["bookings"]
        request = caller_request(model=None, caller_timeout_ms=2_000)
        forwarding = Forwarding(request, PLAIN_ROUTE, service, None, Full(), budget, 0.5)
        step = forwarding.begin(0)
        self.assertIsInstance(step, WaitForMemory)
        self.assertEqual((1_900, 0.5), (step.give_up_ms, step.work_per_ms))
        step = forwarding.on_full(now_ms, ReturnTime(wait_ms, 40))
        self.assertIsInstance(step, Finish)
        self.assertEqual(503, step.status)
        return step.retry_after_ms

    def test_the_time_to_return_follows_from_the_estimate(self):
        self.assertEqual(420, self.refuse(0, 400))

    def test_the_time_to_return_is_bounded_to_what_is_useful(self):
        self.assertEqual(200, self.refuse(1_400, 5_000))


class GatewayTest(GatewayCase):
    """Calls at a plain server that is full of the calls of others, through the whole gateway."""

    def full_world(self):
        world = self.world(plain=[replies(answer())])
        for n in range(32):
            world.server_pool.speeds.record_service_time("bookings", ("p0", 1), 1, 64, 90, n)
        for _ in range(2_000):
            world.server_pool.request_started("p0", 0, 0, world.clock.now_ms())
        return world

    def test_a_call_waits_until_the_server_has_a_place(self):
        world = self.full_world()
        with world.connect() as connection:
            connection.sendall(request())
            await_true(lambda: len(world.gateway.admission_queue("bookings").requests) == 1)
            self.assertEqual([], self.sent())
            for _ in range(2_000):
                world.server_pool.request_ended("p0", 0)
            self.assertIn(b" 200 ", read_message(connection))

    def test_a_call_whose_time_ends_is_refused_unsent_and_told_when_to_return(self):
        found = self.full_world().exchange(request())
        self.assertIn(b" 503 ", found)
        self.assertIn(b"Retry-After: 0.", found)
        self.assertEqual([], self.sent())


def spread_at_random(instance):
    """Lets refused callers return after a random time."""
    instance.queue.schedule_full_return = lambda *_: None


class LoadTest(unittest.TestCase):
    """Load: plain calls at 1.6 times the capacity for 3 s."""

    def compare(self, prepare=None):
        shares = []
        for configure in (None, spread_at_random):
            world, _ = run_plain(221, configure, burst_per_s=200, prepare=prepare)
            shares.append(world.good_share("call", 6_000))
        return shares

    def test_more_calls_are_in_time_if_callers_return_as_capacity_frees(self):
        on, off = self.compare()
        self.assertGreater(on, off)

    def test_callers_lose_nothing_where_an_instance_is_killed(self):
        on, off = self.compare(kill_one)
        self.assertGreaterEqual(on, off)

    def test_callers_lose_nothing_where_reports_are_lost(self):
        on, off = self.compare(lose_reports)
        self.assertGreaterEqual(on, off)
