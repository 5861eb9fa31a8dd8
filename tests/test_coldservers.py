"""Tests that cold servers get few requests, divided among the entry instances."""

import json
import unittest

from bergamothill.platform.config import decode_config
from bergamothill.platform.headers import decode_answer
from bergamothill.platform.servers import decode_server
from bergamothill.process.coldservers import ColdBounds
from bergamothill.process.coldshare import divide_cold_rate
from bergamothill.process.instanceroster import DISCOVERY_MS
from bergamothill.process.serverlimits import ServerLimits
from bergamothill.request.serverchoice import AtLimit
from tests.builders import (
    backend,
    caller_request,
    joined_roster,
    operator_config,
    server_entry,
    server_pool,
)

COLD_MS = 3_000
PER_S = 9.5
BOUND = 19
EXPIRY_MS = 4_800
NAMES = tuple(f"e{number}" for number in range(90))


def services(**changes):
    values = {"name": "llm", "coldStartS": COLD_MS / 1_000, "coldPerS": PER_S, **changes}
    encoded = json.dumps(operator_config(services=[values])).encode()
    return decode_config(encoded).services


def cold_limits(own="e0", members=("e0",), **changes):
    limits = ServerLimits(joined_roster(own, [name for name in members if name != own]))
    limits.cold.set_services(services(**changes))
    limits.cold.record_list((), 0, 0, EXPIRY_MS)
    return limits


def list_servers(limits, *servers, now_ms=0):
    limits.cold.record_list(servers, now_ms, now_ms, EXPIRY_MS)


class ColdPhaseTest(unittest.TestCase):
    def setUp(self):
        self.limits = cold_limits()

    def left_ms(self, server, now_ms=0):
        return self.limits.cold.left_ms(server, now_ms)

    def test_a_new_server_is_cold_before_anything_is_known_of_it(self):
        list_servers(self.limits, backend("s1"))
        self.assertEqual(COLD_MS, self.left_ms(backend("s1")))
        self.assertEqual(COLD_MS, self.left_ms(backend("s1"), COLD_MS))  # without a recent list
        list_servers(self.limits, backend("s1"), now_ms=COLD_MS - 100)
        self.assertEqual(0, self.left_ms(backend("s1"), COLD_MS))

    def test_servers_that_were_there_first_are_cold_only_by_what_they_state(self):
        limits = cold_limits()
        limits.cold._has_list = False
        limits.cold.wall_ms = lambda: 100_000
        old, young = backend("s1"), backend("s2", started_wall_ms=100_000)
        told = backend("s3", cold_remaining_ms=700)
        list_servers(limits, old, young, told)
        left_ms = [limits.cold.left_ms(server, 0) for server in (old, young, told)]
        self.assertEqual([0, COLD_MS, 700], left_ms)

    def test_an_entry_tells_when_a_server_becomes_cold_again(self):
        list_servers(self.limits, backend("s1", cold_remaining_ms=0, revision=1))
        self.assertEqual(0, self.left_ms(backend("s1")))
        again = backend("s1", cold_remaining_ms=900, revision=2)
        for now_ms in (10_000, 10_500):  # the second read has no news
            list_servers(self.limits, again, now_ms=now_ms)
        self.assertEqual(400, self.left_ms(again, 10_500))

    def test_a_server_in_whose_place_another_process_may_answer_is_cold_until_it_is_listed(self):
        self.doubt(at_ms=100)
        list_servers(self.limits, backend("s1", cold_remaining_ms=0, revision=2), now_ms=200)
        self.assertEqual(COLD_MS, self.left_ms(backend("s1"), 8_000))
        list_servers(self.limits, backend("s1", cold_remaining_ms=0, revision=3), now_ms=8_000)
        self.assertEqual(0, self.left_ms(backend("s1"), 8_000))

    def test_a_doubt_ends_when_a_process_that_answers_would_be_warm(self):
        self.doubt(at_ms=100)
        for sent_ms in (100, 500):  # the first answer may come from the process that ended
            self.limits.cold.record_answer(backend("s1"), None, sent_ms, 600)
            left_ms = COLD_MS if sent_ms == 100 else 600
            self.assertEqual(left_ms, self.left_ms(backend("s1"), 3_000))

    def doubt(self, at_ms):
        server = backend("s1", cold_remaining_ms=0, revision=1)
        list_servers(self.limits, server)
        self.limits.cold.record_doubt(server, at_ms)

    def test_an_answer_tells_of_a_cold_phase(self):
        server = backend("s1", cold_remaining_ms=0)
        list_servers(self.limits, server)
        self.limits.cold.record_answer(server, 250, 90, 100)
        self.assertEqual(200, self.left_ms(server, 150))

    def test_implausible_values_are_ignored(self):
        for value in (-1, float("inf"), float("nan"), "9", True, 1e99):
            with self.subTest(value):
                self.assertEqual(0.0, services(coldPerS=value)["llm"].cold_per_s)
                entry = json.dumps(server_entry(coldRemainingMs=value)).encode()
                self.assertIsNone(decode_server("servers/s1", entry).cold_remaining_ms)
        name = b"X-Cold-Milliseconds"
        for headers in ([(name, b"-5")], [(name, b"5"), (name, b"5")], [(name, b"9" * 9)]):
            self.assertIsNone(decode_answer(200, headers).cold_ms)
        self.assertEqual(5, decode_answer(200, [(name, b"5")]).cold_ms)


class ColdRateTest(unittest.TestCase):
    def test_the_senders_and_the_rate_stay_below_the_bound(self):
        for members in (1, 2, 9, 90):
            for rate in (0.1, 9.5, 100.0):
                bound = ColdBounds().per_second(rate)
                terms = divide_cold_rate(rate, bound, members)
                most = terms.senders * (1 + int(1.1 * terms.per_s))
                self.assertLessEqual(most, bound)
                self.assertGreaterEqual(terms.senders * terms.per_s, 0.95 * rate)

    def test_all_instances_together_use_the_rate_and_never_exceed_the_bound(self):
        instances = [cold_limits(name, NAMES) for name in NAMES]
        server, sent_ms = backend("s1"), []
        for limits in instances:
            list_servers(limits, server)
        for now_ms in range(0, COLD_MS, 10):
            for limits in instances:
                if limits.wait_ms(server, now_ms) == 0:
                    limits.spend(server, now_ms)
                    if limits.may_send(server, None, now_ms):
                        sent_ms.append(now_ms)
        most = max(sum(at <= ms < at + 1_000 for ms in sent_ms) for at in sent_ms)
        self.assertLessEqual(most, BOUND)
        self.assertGreaterEqual(len(sent_ms), 0.9 * PER_S * COLD_MS / 1_000)

    def test_a_request_that_was_chosen_early_is_spaced_when_it_is_written(self):
        limits = cold_limits()
        list_servers(limits, backend("s1", cold_remaining_ms=0))
        self.assertTrue(limits.may_send(backend("s1"), None, 100))  # warm
        limits.cold.record_answer(backend("s1"), COLD_MS, 100, 101)
        self.assertFalse(limits.may_send(backend("s1"), 100, 110))
        self.assertTrue(limits.may_send(backend("s1"), None, 100 + 106))

    def test_an_instance_that_cannot_read_the_registrations_keeps_its_share_only_for_a_while(self):
        limits = cold_limits()
        server = backend("s1")
        list_servers(limits, server)
        self.assertEqual(0, limits.wait_ms(server, 0))
        limits.cold.record_answer(server, 60_000, 0, 0)
        self.assertIsNotNone(limits.share_per_s(server, DISCOVERY_MS) or None)
        self.assertEqual(0.0, limits.share_per_s(server, DISCOVERY_MS + 1))
        limits.roster.set_registered([], 20_000)  # others may have dropped it
        self.assertEqual(0.0, limits.share_per_s(server, 20_000))

    def test_callers_are_told_when_a_cold_server_takes_requests_again(self):
        limits = cold_limits()
        limits.roster = joined_roster("e0", NAMES)
        limits.roster.is_settled = lambda now_ms: False
        pool = server_pool(limits=limits)
        pool.apply_list([backend("s1")], 0, 0)
        choice = pool.choose(services()["llm"], caller_request(model=None), None, (), 0, 1_000)
        self.assertEqual(AtLimit(2_000, 0), choice)
