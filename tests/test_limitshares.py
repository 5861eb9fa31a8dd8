"""Tests of how the limit of a server is divided among entry instances, and of what they send."""

import itertools
import threading
import time
import unittest

from bergamothill.process.instanceroster import DEPARTURE_MS, DISCOVERY_MS, InstanceRoster
from bergamothill.process.limitreport import LimitReport, ReportedLimit
from bergamothill.process.serverlimits import (
    EXTRA_SENDERS,
    LIFTED_REPORT_MS,
    REPORT_DELAY_MS,
    SPENT_TTL_MS,
    STALE_AFTER_MS,
    ServerLimits,
)
from bergamothill.request.callerrequest import RequestLimit
from bergamothill.request.forwarding import Finish, Forwarding, Reason, WaitForMemory
from bergamothill.request.requestqueue import AdmissionRate, QueuedRequest, RequestQueue
from bergamothill.request.serverchoice import AtLimit
from bergamothill.request.tokenbucket import TokenBucket
from bergamothill.request.windowedbudget import WindowedRetryBudget
from tests.builders import (
    backend,
    caller_request,
    joined_roster,
    routing_config,
    server_pool,
)
from tests.doubles import ScriptedChooser
from tests.gatewayworld import GatewayCase, answer, replies, request

SERVER = backend("s1")
MAX_QUEUED_S = 2.0
MAX_REFUSAL_S = 0.3
CONFIG = routing_config()
LLM = CONFIG.services["llm"]
BOOKINGS = CONFIG.services["bookings"]


def entries(count):
    return [f"e{number}" for number in range(count)]


def limits_of(entry="e0", count=1):
    return ServerLimits(joined_roster(entry, [name for name in entries(count) if name != entry]))


def name_limit(limits, per_s, now_ms=0):
    return limits.record_answer(SERVER, RequestLimit(per_s), now_ms, now_ms)


def sent(limits, from_ms, to_ms):
    """Return how many requests an instance with enough demand sends in a time."""
    count = 0
    for now_ms in range(from_ms, to_ms, 10):
        while limits.wait_ms(SERVER, now_ms) == 0:
            limits.spend(SERVER, now_ms)
            count += 1
    return count


class ShareTest(unittest.TestCase):
    def test_the_shares_of_all_instances_add_up_to_the_limit(self):
        for per_s, count in ((2.7, 6), (4.2, 7), (0.5, 3), (50.0, 88), (3.0, 300)):
            with self.subTest(per_s=per_s, count=count):
                shares = []
                for entry in entries(count):
                    limits = limits_of(entry, count)
                    name_limit(limits, per_s)
                    shares.append(limits.share_per_s(SERVER, 0))
                self.assertAlmostEqual(per_s, sum(shares))
                most = min(count, int(per_s) + EXTRA_SENDERS)
                self.assertEqual(most, sum(share > 0 for share in shares))

    def test_a_limit_of_zero_admits_a_request_now_and_then(self):
        limits = limits_of(count=1)
        name_limit(limits, 0.0)
        self.assertEqual(4, sent(limits, 0, 20_010))

    def test_nothing_may_be_sent_at_once_when_a_limit_becomes_known(self):
        limits = limits_of(count=1)
        name_limit(limits, 2.0)
        self.assertEqual(500, limits.wait_ms(SERVER, 0))

    def test_a_new_instance_sends_nothing_until_the_others_know_of_it(self):
        limits = ServerLimits(InstanceRoster("e0"))
        name_limit(limits, 2.0)
        self.assertIsNone(limits.wait_ms(SERVER, 60_000 - 1))
        limits.roster.set_registered([], 60_000)
        self.assertIsNone(limits.wait_ms(SERVER, 60_000 + DISCOVERY_MS - 1))
        self.assertEqual(500, limits.wait_ms(SERVER, 60_000 + DISCOVERY_MS))

    def test_an_instance_that_left_keeps_its_share_for_a_while(self):
        limits = limits_of(count=2)
        name_limit(limits, 2.0)
        limits.roster.set_registered([], 1_000)
        for now_ms, share_per_s in ((1_000, 1.0), (1_001, 2.0)):
            limits.roster.set_registered([], now_ms + DEPARTURE_MS)
            self.assertEqual(share_per_s, limits.share_per_s(SERVER, now_ms + DEPARTURE_MS))

    def test_an_instance_that_cannot_read_the_registrations_takes_no_share_of_others(self):
        limits = limits_of(count=2)
        name_limit(limits, 2.0)
        self.assertEqual(1.0, limits.share_per_s(SERVER, 100_000))

    def test_an_instance_that_is_heard_but_not_registered_has_a_share(self):
        limits = limits_of(count=1)
        name_limit(limits, 2.0)
        limits.roster.record_heard("e1", 0)
        self.assertEqual(1.0, limits.share_per_s(SERVER, 0))

    def test_an_instance_that_was_paused_for_long_joins_anew(self):
        limits = limits_of(count=1)
        name_limit(limits, 2.0)
        limits.record_check(DEPARTURE_MS, 20_000)
        self.assertEqual(0.0, limits.share_per_s(SERVER, 20_000))

    def test_a_limit_without_news_for_long_is_tried_by_instances_without_a_share(self):
        shares = []
        for entry in entries(20):
            limits = limits_of(entry, 20)
            name_limit(limits, 1.0)
            shares.append(limits.share_per_s(SERVER, STALE_AFTER_MS + 1))
        self.assertTrue(all(shares))
        self.assertLess(sum(shares), 1.5)

    def test_a_limit_belongs_to_an_incarnation(self):
        limits = limits_of(count=1)
        name_limit(limits, 2.0)
        self.assertIsNone(limits.limit_per_s(backend("s1", started_wall_ms=2)))


class PeerTest(unittest.TestCase):
    def setUp(self):
        self.first, self.second = limits_of("e0", 2), limits_of("e1", 2)

    def test_an_instance_that_knows_a_limit_only_from_a_peer_obeys_it(self):
        name_limit(self.first, 2.0)
        (change,) = self.second.merge(self.first.report(10), 10)
        self.assertEqual((2.0, 1.0), (change.per_s, change.share_per_s))
        self.assertEqual([], self.second.merge(self.first.report(20), 20))

    def test_an_instance_without_a_request_of_its_own_learns_that_a_limit_has_ended(self):
        name_limit(self.first, 2.0)
        self.second.merge(self.first.report(10), 10)
        lifted_ms = 20 + REPORT_DELAY_MS
        self.first.record_answer(SERVER, None, lifted_ms, lifted_ms + 10)
        self.second.merge(self.first.report(lifted_ms + 10), lifted_ms + 10)
        self.assertIsNone(self.second.limit_per_s(SERVER))

    def test_what_an_instance_was_told_by_peers_is_not_reported_by_it(self):
        name_limit(self.first, 2.0)
        self.second.merge(self.first.report(10), 10)
        self.assertEqual((), self.second.report(10).limits)

    def test_a_lifted_limit_is_reported_for_a_bounded_time(self):
        name_limit(self.first, 2.0)
        self.first.record_answer(SERVER, None, 10, 20)
        self.assertEqual(1, len(self.first.report(10 + LIFTED_REPORT_MS).limits))
        self.assertEqual(0, len(self.first.report(11 + LIFTED_REPORT_MS).limits))

    def test_a_report_of_an_earlier_limit_does_not_undo_a_later_answer(self):
        name_limit(self.first, 2.0)
        self.first.record_answer(SERVER, None, 3_000, 3_010)
        row = ReportedLimit(SERVER.server, SERVER.started_wall_ms, 2.0, 2_000, 1_900)
        self.first.merge(LimitReport("e1", (row,)), 4_000)
        self.assertIsNone(self.first.limit_per_s(SERVER))


class ChoiceTest(unittest.TestCase):
    def choose(self, pool, now_ms, service=LLM, **changes):
        return pool.choose(service, caller_request(**changes), None, (), 0, now_ms)

    def test_a_server_whose_limit_is_used_up_is_not_chosen(self):
        pool = server_pool(SERVER, backend("s2"))
        name_limit(pool.limits, 2.0)
        self.assertEqual({"s2"}, {self.choose(pool, 0)[0].server for _ in range(5)})

    def test_each_choice_is_counted(self):
        pool = server_pool(SERVER)
        name_limit(pool.limits, 2.0)
        entry, terms = self.choose(pool, 500)
        self.assertEqual(("s1", 500), (entry.server, terms.limit_spent_ms))
        self.assertEqual(AtLimit(500, 500), self.choose(pool, 500))

    def test_plain_servers_are_limited_too(self):
        plain = backend("s1", service="bookings", weights={})
        pool = server_pool(plain)
        name_limit(pool.limits, 4.0)
        self.assertEqual(AtLimit(250, 250), self.choose(pool, 0, BOOKINGS, model=None, parts=()))

    def test_a_new_request_does_not_overtake_the_queue_for_limited_servers(self):
        pool = server_pool(SERVER)
        name_limit(pool.limits, 2.0)
        first, later = caller_request(), caller_request()
        pool.next_limited_request = lambda _service: first
        self.assertIsInstance(pool.choose(LLM, later, None, (), 0, 500), AtLimit)
        self.assertEqual("s1", pool.choose(LLM, first, None, (), 0, 500)[0].server)

    def test_a_new_request_goes_to_a_server_without_a_limit_past_the_queue(self):
        pool = server_pool(SERVER, backend("s2"))
        name_limit(pool.limits, 2.0)
        pool.next_limited_request = lambda _service: caller_request()
        self.assertEqual("s2", self.choose(pool, 500)[0].server)

    def test_requests_in_series_are_admitted_at_the_sum_of_the_limits(self):
        pool = server_pool(SERVER, backend("s2"))
        name_limit(pool.limits, 2.0)
        pool.limits.record_answer(backend("s2"), RequestLimit(6.0), 0, 0)
        self.assertEqual(125, self.choose(pool, 0).interval_ms)


class ForwardingTest(unittest.TestCase):
    def begin(self, choice):
        chooser = ScriptedChooser()
        chooser.answer = choice
        budget = WindowedRetryBudget(0.2, 10, 10_000, started_ms=0)
        route = next(route for route in CONFIG.routes if route.name == "quote")
        return Forwarding(caller_request(), route, LLM, None, chooser, budget, 0.0).begin(0)

    def test_a_request_waits_at_the_rate_that_the_limits_admit(self):
        step = self.begin(AtLimit(200, 500))
        self.assertIsInstance(step, WaitForMemory)
        self.assertEqual(AdmissionRate(200, 500), step.rate)

    def test_an_instance_that_may_send_nothing_refuses_at_once(self):
        step = self.begin(AtLimit(None, 0))
        self.assertIsInstance(step, Finish)
        self.assertEqual((503, Reason.LIMITED), (step.status, step.reason))


class QueueTest(unittest.TestCase):
    def waiting(self, give_up_ms=1_000):
        return QueuedRequest(0, next(self.arrivals_ms), 0, give_up_ms, give_up_ms)

    def setUp(self):
        self.arrivals_ms = itertools.count()

    def test_a_request_whose_turn_comes_too_late_is_not_queued(self):
        queue, rate = RequestQueue(), AdmissionRate(100, 400)
        queued = [queue.enqueue(self.waiting(), number, rate) for number in range(5)]
        self.assertEqual([True, True, False, False, False], queued)

    def test_refused_callers_return_one_after_the_other_at_the_rate(self):
        queue, rate = RequestQueue(), AdmissionRate(100, 400)
        self.assertEqual([100, 500, 900], [queue.schedule_return(rate, 0) for _ in range(3)])

    def test_refused_callers_return_within_a_bounded_time(self):
        queue, rate = RequestQueue(), AdmissionRate(100, 60_000)
        self.assertEqual([100, 10_000], [queue.schedule_return(rate, 0) for _ in range(2)])


class BucketTest(unittest.TestCase):
    def test_tokens_accrue_up_to_the_capacity(self):
        bucket = TokenBucket(0)
        bucket.set_rate(2.0, 3.0, 0)
        self.assertFalse(bucket.try_spend(499))
        self.assertTrue(bucket.try_spend(500))
        self.assertEqual(3, sum(bucket.try_spend(100_000) for _ in range(9)))

    def test_a_clock_that_goes_back_adds_no_tokens(self):
        bucket = TokenBucket(1_000)
        bucket.set_rate(1.0, 1.0, 1_000)
        bucket.try_spend(0)
        self.assertFalse(bucket.try_spend(1_999))


class GatewayTest(GatewayCase):
    def test_a_request_chosen_before_the_limit_was_known_is_counted_before_it_is_written(self):
        world = self.world(plain=[replies(answer())])
        (server,) = (state.entry for state in world.server_pool.usable("bookings", 0))
        limits = world.server_pool.limits
        now_ms = world.clock.now_ms()
        self.assertTrue(limits.may_send(server, None, now_ms))
        limits.record_answer(server, RequestLimit(1.0), now_ms, now_ms)
        self.assertFalse(limits.may_send(server, None, now_ms))
        self.assertTrue(limits.may_send(server, now_ms - SPENT_TTL_MS, now_ms))
        self.assertFalse(limits.may_send(server, now_ms - SPENT_TTL_MS - 1, now_ms))

    def test_a_service_whose_servers_are_at_their_limits_refuses_with_the_time_to_return(self):
        limited = answer(headers=b"X-Server-Signature: sig\r\nServer-Limit: 0\r\n")
        world = self.world(plain=[replies(limited)])
        self.assertIn(b" 200 ", world.exchange(request()))
        refused = world.exchange(request())
        self.assertIn(b" 503 ", refused)
        (line,) = (line for line in refused.split(b"\r\n") if line.startswith(b"Retry-After"))
        self.assertGreaterEqual(float(line.split(b":")[1]), 4.0)
        self.assertEqual(1, len(self.sent()))


class OverloadTest(GatewayCase):
    """Callers ask twice as often as the two servers of a service together take."""

    LIMIT_PER_S = 10
    CALLS_PER_S = 40
    DURATION_S = 4.0
    FIRST_S = 1.0

    def ask(self, world, outcomes, at_s):
        found = world.exchange(request())
        outcomes.append((at_s, found.split(b" ")[1], time.monotonic() - at_s, found))

    def test_a_limited_service_serves_its_limits_and_refuses_the_rest_at_once(self):
        limited = b"X-Server-Signature: sig\r\nServer-Limit: %d\r\n" % self.LIMIT_PER_S
        world = self.world(plain=[replies(answer(headers=limited)) for _ in range(2)])
        started_s, outcomes, callers = time.monotonic(), [], []
        for number in range(int(self.CALLS_PER_S * self.DURATION_S)):
            at_s = started_s + number / self.CALLS_PER_S
            time.sleep(max(0.0, at_s - time.monotonic()))
            caller = threading.Thread(target=self.ask, args=(world, outcomes, time.monotonic()))
            caller.start()
            callers.append(caller)
        for caller in callers:
            caller.join()
        later = [outcome for outcome in outcomes if outcome[0] > started_s + self.FIRST_S]
        served = sum(status == b"200" for _, status, _, _ in later)
        possible = 2 * self.LIMIT_PER_S * (self.DURATION_S - self.FIRST_S)
        self.assertGreaterEqual(served, 0.7 * possible)
        self.assertLessEqual(served, possible + MAX_QUEUED_S * 2 * self.LIMIT_PER_S)
        refused = [outcome for outcome in later if outcome[1] != b"200"]
        self.assertEqual({b"503"}, {status for _, status, _, _ in refused})
        self.assertTrue(all(b"Retry-After: " in found for *_, found in refused))
        self.assertLess(max(took_s for _, _, took_s, _ in refused), MAX_REFUSAL_S)
