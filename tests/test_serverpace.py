"""Tests of the slow start of servers that have started or recovered."""

import unittest
from dataclasses import replace

from bergamothill.errors import ProtocolError
from bergamothill.process.coldservers import ColdBounds
from bergamothill.process.pacereport import PaceReport, ReportedPace, decode_pace, encode_pace
from bergamothill.process.serverpace import UNHEARD_MS, ServerPaces
from bergamothill.request.pace import START_PER_S, AdditivePace, GradientPace
from tests.builders import backend, caller_request, joined_roster, routing_config, server_pool
from tests.paceworld import CASES, DEMAND_PER_SERVER, most_in_a_second, rate_reached_ms, run
from tests.proof.proof_coldservers import BOUND, cold_services

LLM = routing_config().services["llm"]
OTHER_SERVERS = 9
MAX_LATE_SHARE = 0.02
REACHED_MS = 3_000
ROW = ReportedPace("s1", 1, 9.0, 100, 400, None, 50, 0.0)


def paces(*servers, controller=GradientPace):
    result = ServerPaces(controller())
    result.set_services(cold_services())
    for server in servers:
        result.begin(server, "start", 0, 0, OTHER_SERVERS)
    return result


class TargetsTest(unittest.TestCase):
    """The targets of the requirements, in the decision code of all instances together."""

    def test_servers_get_the_rate_of_the_others_in_time_and_few_requests_are_late(self):
        for case, (servers, healthy_ms, _) in CASES.items():
            world = run(GradientPace, case)
            without = run(GradientPace, case, paced=False)
            for server in world.servers:
                if "slow for good" not in case and "crashes" not in case:
                    reached_ms = rate_reached_ms(server, healthy_ms)
                    self.assertLessEqual(reached_ms or REACHED_MS + 1, REACHED_MS, case)
            late = sum(server.late for server in world.servers)
            requests = (len(servers) + OTHER_SERVERS) * DEMAND_PER_SERVER * world.now_ms / 1_000
            self.assertLessEqual(late, MAX_LATE_SHARE * requests, case)
            self.assertLessEqual(late, sum(server.late for server in without.servers), case)

    def test_a_cold_server_never_gets_more_than_its_bound(self):
        for seed in range(5):
            (server,) = run(GradientPace, "cold for 3 s", seed=seed).servers
            self.assertLessEqual(most_in_a_second(server, 2_000), BOUND)

    def test_a_server_that_crashes_above_a_rate_is_kept_below_it(self):
        for seed in range(5):
            (server,) = run(GradientPace, "crashes above 25/s", seed=seed).servers
            self.assertEqual(1, server.crashes)
            self.assertGreater(len(server.arrivals_ms), 100)


class PaceTest(unittest.TestCase):
    def test_the_rate_rises_only_while_answers_are_good(self):
        for controller in (AdditivePace, GradientPace):
            pace = paces(backend("s1"), controller=controller)
            self.assertEqual(START_PER_S, pace.rate_per_s(backend("s1"), 5_000))
            pace.record_answer(backend("s1"), 0, 50, 950, 1_000)
            risen = pace.rate_per_s(backend("s1"), 1_500)
            self.assertGreater(risen, 4 * START_PER_S)
            self.assertEqual(risen, pace.rate_per_s(backend("s1"), 9_000))

    def test_slow_rejected_and_failed_requests_lower_the_rate_once(self):
        for record in ("record_rejection", "record_failure"):
            pace = paces(backend("s1"))
            pace.record_answer(backend("s1"), 0, 50, 950, 1_000)
            before = pace.rate_per_s(backend("s1"), 1_000)
            for _ in range(3):
                getattr(pace, record)(backend("s1"), 900, 1_000)
            after = pace.rate_per_s(backend("s1"), 1_000)
            self.assertGreaterEqual(after, 0.4 * before)
            self.assertLessEqual(after, 0.5 * before)

    def test_it_ends_when_the_server_is_as_busy_as_the_others(self):
        pace = paces(backend("s1"))
        pace.end_if_busy(backend("s1"), 8, 10.0, 1_000)
        self.assertTrue(pace.has_any)
        pace.end_if_busy(backend("s1"), 9, 10.0, 1_000)
        self.assertFalse(pace.has_any)

    def test_most_servers_of_a_service_never_start_slowly_at_once(self):
        pace = paces()
        pace.begin(backend("s1"), "start", 0, 1, 1)
        self.assertFalse(pace.has_any)

    def test_a_reload_that_names_the_bound_lets_engines_begin_slowly(self):
        limits = server_pool().limits
        limits.set_services({LLM.name: LLM})
        limits.set_bounds(ColdBounds(is_named=True))
        limits.pace.begin(backend("s1"), "start", 0, 0, OTHER_SERVERS)
        self.assertTrue(limits.pace.has_any)

    def test_existing_deployments_have_no_slow_start(self):
        for services, names_bound, has_any in ((LLM, False, False), (LLM, True, True)):
            pace = ServerPaces()
            pace.set_services({services.name: services}, names_bound=names_bound)
            pace.begin(backend("s1"), "start", 0, 0, OTHER_SERVERS)
            self.assertEqual(has_any, pace.has_any)


class ReportTest(unittest.TestCase):
    def test_what_one_instance_finds_the_others_use_with_its_age(self):
        one, other = paces(backend("s1")), paces(backend("s1"))
        one.record_answer(backend("s1"), 0, 50, 700, 800)
        other.merge(one.report("e1", 900), 900)
        rates = [pace.rate_per_s(backend("s1"), 900) for pace in (one, other)]
        self.assertEqual(rates[0], rates[1])
        one.record_rejection(backend("s1"), 900, 1_000)
        for _ in range(2):  # a repeated report changes nothing
            other.merge(one.report("e1", 1_100), 1_100)
        rates = [pace.rate_per_s(backend("s1"), 1_100) for pace in (one, other)]
        self.assertEqual(rates[0], rates[1])

    def test_reports_of_an_earlier_recovery_are_ignored(self):
        pace = paces()
        pace.begin(backend("s1"), "silence", 10_000, 0, OTHER_SERVERS)
        old = replace(ROW, began_age_ms=9_000, level_age_ms=9_000, good_age_ms=None)
        pace.merge(PaceReport("e1", (old, replace(old, lowered_age_ms=8_000))), 10_100)
        self.assertEqual(START_PER_S, pace.rate_per_s(backend("s1"), 10_100))

    def test_reports_are_decoded_as_they_were_encoded(self):
        report = PaceReport("e1", (ROW, replace(ROW, lowered_age_ms=7)))
        self.assertEqual(report, decode_pace(encode_pace(report)))
        for per_s in (-1.0, float("nan"), float("inf")):
            with self.assertRaises(ProtocolError):
                decode_pace(encode_pace(PaceReport("e1", (replace(ROW, per_s=per_s),))))


class RecoveryTest(unittest.TestCase):
    """All ways in which a server returns."""

    def setUp(self):
        self.servers = [backend(f"s{n}", zone="z2" if n == 1 else "z1") for n in range(1, 7)]
        self.pool = server_pool(*self.servers)
        self.pool.limits.set_services(cold_services())

    def assert_paced(self, *names):
        self.assertEqual(set(names), {server for server, _ in self.pool.limits.pace.paced()})

    def test_a_server_begins_slowly_when_it_is_listed_for_the_first_time_or_again(self):
        self.assert_paced()
        self.pool.request_started("s1", 1, 0, 0)  # keeps its state while it is missing
        self.pool.apply_list([*self.servers[1:], backend("s7")], 1_000, 1_000)
        self.assert_paced("s7")
        self.pool.apply_list(self.servers, 2_000, 2_000)
        self.assert_paced("s1")

    def test_a_server_begins_slowly_after_failures_silence_quiet_and_evacuation(self):
        self.pool.request_failed("s2", 0)
        self.pool.request_started("s3", 1, 0, 0)
        self.pool.record_bytes("s3", 1_500)
        self.assert_paced("s2", "s3")
        self.pool = server_pool(*self.servers)
        self.pool.limits.set_services(cold_services())
        self.pool.record_quiet(self.servers[3], 500, 0)
        self.pool.apply_evacuation({"z2"}, 0, 0, is_trusted=True)
        self.pool.apply_evacuation((), 100, 100, is_trusted=True)
        self.pool.trial_passed(self.servers[4], 200)
        self.assert_paced("s4", "s1", "s5")

    def test_an_instance_that_alone_found_a_server_away_tries_it_whatever_its_rank(self):
        limits = self.pool.limits
        limits.roster = joined_roster("e0", [f"e{number}" for number in range(1, 90)])
        for server in self.servers[:3]:
            self.pool.request_failed(server.server, 0)
            limits.cold.record_list([server], 6_000, 6_000, 0)  # no doubt is left
            began_ms = 500 + UNHEARD_MS
            self.assertGreater(limits.share_per_s(server, 6_000 + began_ms), 0.0)

    def test_a_request_that_may_not_be_repeated_goes_to_servers_of_known_pace(self):
        self.pool.apply_list([*self.servers[2:], backend("s0", cold_remaining_ms=0)], 1_000, 1_000)
        for number in range(3, 7):
            self.pool.request_started(f"s{number}", 1, 0, 1_000)
        chosen = {}
        for may_repeat in (True, False):
            request = caller_request(model=None, may_repeat=may_repeat)
            service = cold_services()["llm"]
            choice = self.pool.choose(service, request, None, (), 0, 6_000)
            chosen[may_repeat] = choice[0].server
        self.assertEqual("s0", chosen[True])
        self.assertNotEqual("s0", chosen[False])
