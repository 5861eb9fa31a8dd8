"""Tests of the observed state of backend servers and of the choice of one."""

import unittest

from bergamothill.process.loadreport import LoadReport, PeerLoads, ServerLoad
from bergamothill.process.serverlist import MAX_QUIET_MS, RECOVERY_NOTICE_MS
from bergamothill.process.serversilence import (
    CORROBORATING_STREAMS,
    STALL_SILENCE_MS,
    SUSPECT_SILENCE_MS,
    UNREAD_STALL_SILENCE_MS,
)
from bergamothill.process.serverweights import OLD_WEIGHTS_GRACE_MS
from bergamothill.request.serverchoice import AllQuiet, NoFreeMemory
from bergamothill.version.weightswap import WeightSwap
from bergamothill.version.weighttarget import WeightTarget
from tests.builders import backend, caller_request, routing_config, server_pool

LLM = routing_config().services["llm"]
REREGISTRATION_GRACE_MS = 3_000 - RECOVERY_NOTICE_MS
BOOKINGS = routing_config().services["bookings"]


def choose(pool, now_ms=0, service=LLM, avoided=(), urgency=0, **changes):
    return pool.choose(service, caller_request(**changes), None, avoided, urgency, now_ms)


def chosen(*args, **kwargs):
    choice = choose(*args, **kwargs)
    return None if choice is None else choice[0].server


class UnreadAnswerTest(unittest.TestCase):
    """An engine whose events are read by other instances sends an answer that is not read here."""

    def setUp(self):
        self.pool = server_pool(backend("s1"))
        self.pool.record_events_unread(backend("s1").address)
        self.pool.request_started("s1", 100, 100, 0)
        self.pool.stream_began("s1")
        self.pool.record_bytes("s1", 100)

    def test_a_further_request_is_not_taken_for_stalled_at_once(self):
        self.pool.record_unread("s1", 1, 200)
        self.assertFalse(self.pool.has_stalled("s1", 2_000))
        self.pool.request_started("s1", 100, 100, 2_000)
        self.assertFalse(self.pool.has_stalled("s1", 2_000 + STALL_SILENCE_MS - 1))
        self.assertTrue(self.pool.has_stalled("s1", 2_000 + STALL_SILENCE_MS))

    def test_silence_counts_anew_once_the_answer_is_read_again(self):
        self.pool.record_unread("s1", 1, 200)
        self.pool.record_unread("s1", -1, 2_000)
        self.assertFalse(self.pool.has_stalled("s1", 2_000 + STALL_SILENCE_MS - 1))
        self.assertTrue(self.pool.has_stalled("s1", 2_000 + STALL_SILENCE_MS))


class AnswersTest(unittest.TestCase):
    """What servers say of themselves in their answers."""

    def test_a_server_that_says_it_is_leaving_gets_no_more_requests(self):
        pool = server_pool(backend("s1"), backend("s2"))
        self.assertTrue(pool.record_leaving(backend("s1")))
        self.assertFalse(pool.record_leaving(backend("s1")))
        self.assertEqual("s2", chosen(pool))
        self.assertFalse(pool.may_send_to(backend("s1"), 0))
        self.assertEqual(["s2"], [engine.server for engine in pool.engines()])

    def test_leaving_outlasts_lists_that_do_not_know_it_and_a_lapse_of_the_entry(self):
        pool = server_pool(backend("s1"), backend("s2"))
        pool.record_leaving(backend("s1"))
        for listed in ([backend("s1"), backend("s2")], [backend("s2")], [backend("s1")]):
            pool.apply_list(listed, 100, 100)
            self.assertNotEqual("s1", chosen(pool, 100))

    def test_leaving_holds_for_the_incarnation_that_answered(self):
        pool = server_pool(backend("s1"))
        pool.apply_list([backend("s1", started_wall_ms=2)], 100, 100)
        self.assertFalse(pool.record_leaving(backend("s1")))
        self.assertEqual("s1", chosen(pool, 100))

    def test_a_malformed_answer_takes_back_only_what_it_said(self):
        pool = server_pool(backend("s1"))
        pool.record_leaving(backend("s1"))
        pool.withdraw_leaving(backend("s1"))
        self.assertEqual("s1", chosen(pool))
        pool.record_leaving(backend("s1"))
        pool.record_leaving(backend("s1"))
        pool.withdraw_leaving(backend("s1"))
        self.assertIsNone(chosen(pool))

    def test_a_source_of_events_that_says_it_is_leaving(self):
        pool = server_pool(backend("s1"), backend("s2"))
        pool.record_reply_from(backend("s1").address, 10, is_leaving=True)
        self.assertEqual("s2", chosen(pool, 10))

    def test_a_server_that_asks_for_quiet_gets_no_requests_for_so_long(self):
        pool = server_pool(backend("s1"), backend("s2"))
        pool.record_quiet(backend("s1"), 1_500, 1_000)
        self.assertEqual("s2", chosen(pool, 2_499, avoided=("s2",)))
        self.assertFalse(pool.may_send_to(backend("s1"), 2_499))
        self.assertEqual("s1", chosen(pool, 2_500, avoided=("s2",)))

    def test_a_shorter_pause_does_not_end_a_longer_one(self):
        pool = server_pool(backend("s1"))
        pool.record_quiet(backend("s1"), 5_000, 1_000)
        pool.record_quiet(backend("s1"), 100, 1_100)
        self.assertEqual(AllQuiet(6_000), choose(pool, 1_300))

    def test_an_absurd_pause_is_bounded(self):
        pool = server_pool(backend("s1"))
        pool.record_quiet(backend("s1"), 10**15, 0)
        self.assertEqual("s1", chosen(pool, MAX_QUIET_MS))

    def test_when_all_ask_for_quiet_the_first_end_is_told(self):
        pool = server_pool(backend("s1"), backend("s2"), backend("s3", is_leaving=True))
        pool.record_quiet(backend("s3"), 100, 0)
        pool.record_quiet(backend("s1"), 900, 0)
        pool.record_quiet(backend("s2"), 700, 0)
        self.assertEqual(AllQuiet(700), choose(pool, 10))
        self.assertEqual("s2", chosen(pool, 700))

    def test_a_pause_outlasts_a_lapse_of_the_entry(self):
        pool = server_pool(backend("s1"))
        pool.record_quiet(backend("s1"), 5_000, 0)
        pool.apply_list([], 100, 100)
        pool.apply_list([backend("s1")], 200, 200)
        self.assertEqual(AllQuiet(5_000), choose(pool, 300))

    def test_a_restarted_server_asked_for_nothing(self):
        pool = server_pool(backend("s1"))
        pool.record_quiet(backend("s1"), 9_000, 0)
        pool.apply_list([backend("s1", started_wall_ms=2)], 100, 100)
        self.assertEqual("s1", chosen(pool, 100))


class ChoiceTest(unittest.TestCase):
    def test_a_server_in_backoff_is_chosen_only_if_no_other_is_left(self):
        pool = server_pool(backend("s1"), backend("s2"))
        pool.request_rejected("s1", 0)
        self.assertEqual("s2", chosen(pool, 10))
        pool.request_failed("s2", 0)
        self.assertEqual("s1", chosen(pool, 10))

    def test_servers_that_failed_the_request_come_last(self):
        pool = server_pool(backend("s1"), backend("s2"))
        self.assertEqual("s2", chosen(pool, avoided=("s1",)))
        self.assertIsNotNone(chosen(pool, avoided=("s1", "s2")))

    def test_plain_requests_go_to_the_least_loaded_server_of_the_deployment(self):
        loads = PeerLoads()
        servers = [backend(s, service="bookings", weights={}) for s in ("s1", "s2")]
        pool = server_pool(*servers, peer_loads=loads)
        loads.add_report(LoadReport("other", 1, {"s1": ServerLoad(5, 0, 0)}), 0)
        self.assertEqual("s2", chosen(pool, service=BOOKINGS, model=None))

    def test_plain_requests_prefer_the_same_zone(self):
        servers = [
            backend("s1", service="bookings", weights={}, zone="zone-b"),
            backend("s2", service="bookings", weights={}),
        ]
        self.assertEqual("s2", chosen(server_pool(*servers), service=BOOKINGS, model=None))

    def test_an_engine_whose_events_are_not_read_may_keep_a_prompt_waiting(self):
        pool = server_pool(backend("s1"), backend("s2"))
        pool.record_events_unread(backend("s1").address)
        pool.request_started("s1", 10, 10, 0)
        pool.request_started("s2", 90, 90, 0)
        self.assertFalse(pool.has_stalled("s1", 1_500))
        self.assertTrue(pool.has_stalled("s2", 1_500))
        self.assertTrue(pool.has_stalled("s1", UNREAD_STALL_SILENCE_MS))
        pool.stream_began("s1")
        self.assertTrue(pool.has_stalled("s1", 1_500))
        pool.stream_ended("s1")
        pool.record_reply_from(backend("s1").address, 100, is_leaving=False)
        self.assertTrue(pool.has_stalled("s1", 1_500))

    def test_a_silent_engine_is_avoided(self):
        pool = server_pool(backend("s1"), backend("s2"))
        pool.request_started("s1", 10, 10, 0)
        pool.request_started("s2", 90, 90, 0)
        pool.record_bytes("s2", SUSPECT_SILENCE_MS)
        self.assertEqual("s2", chosen(pool, SUSPECT_SILENCE_MS))
        pool.record_bytes("s1", SUSPECT_SILENCE_MS)
        self.assertEqual("s1", chosen(pool, SUSPECT_SILENCE_MS))

    def test_a_full_deployment_has_no_room_for_requests(self):
        pool = server_pool(backend("s1"))
        pool.request_started("s1", 95_000, 0, 0)
        self.assertIsInstance(choose(pool), NoFreeMemory)
        pool.request_ended("s1", 95_000)
        self.assertEqual("s1", chosen(pool))

    def test_requests_of_peers_count_against_the_memory_of_an_engine(self):
        loads = PeerLoads()
        pool = server_pool(backend("s1"), backend("s2"), peer_loads=loads)
        loads.add_report(LoadReport("other", 1, {"s1": ServerLoad(9, 95_000, 0)}), 0)
        self.assertEqual("s2", chosen(pool))

    def test_less_urgent_requests_leave_memory_free(self):
        pool = server_pool(backend("s1"))
        pool.request_started("s1", 85_000, 0, 0)
        self.assertEqual("s1", chosen(pool, urgency=0))
        self.assertIsInstance(choose(pool, urgency=5), NoFreeMemory)

    def test_an_empty_engine_takes_any_prompt(self):
        self.assertEqual("s1", chosen(server_pool(backend("s1")), prompt_tokens=99_000))


class PauseTest(unittest.TestCase):
    """This process did not run for a while, so it could not receive anything."""

    def setUp(self):
        self.pool = server_pool(backend("s1"), backend("s2"))
        self.pool.request_started("s1", 10, 10, 0)
        self.pool.request_started("s2", 90, 90, 0)
        self.run_until(300)

    def run_until(self, end_ms, start_ms=0):
        for now_ms in range(start_ms, end_ms + 1, 100):
            self.pool.record_check(now_ms)

    def test_a_pause_is_no_silence_of_an_engine(self):
        self.pool.record_check(3_300)
        self.assertFalse(self.pool.has_stalled("s1", 3_300))
        self.assertEqual("s1", chosen(self.pool, 3_300))

    def test_a_pause_is_no_silence_before_the_first_check_after_it(self):
        self.pool.record_bytes("s2", 3_300)
        self.assertFalse(self.pool.has_stalled("s1", 3_300))
        self.assertEqual("s1", chosen(self.pool, 3_300))

    def test_silence_counts_anew_from_the_end_of_a_pause(self):
        self.run_until(4_300, start_ms=3_300)
        self.assertFalse(self.pool.has_stalled("s1", 4_299))
        self.assertTrue(self.pool.has_stalled("s1", 4_300))
        self.assertEqual("s1", chosen(self.pool, 3_300 + SUSPECT_SILENCE_MS - 1))
        self.pool.record_bytes("s2", 4_300)
        self.assertEqual("s2", chosen(self.pool, 4_300))

    def test_a_pause_shorter_than_the_silence_of_a_stall_is_counted_too(self):
        for _ in range(CORROBORATING_STREAMS):
            self.pool.stream_began("s1")
        self.pool.record_check(1_000)
        self.assertFalse(self.pool.has_stalled("s1", 1_000))

    def test_checks_that_are_a_little_late_do_not_hide_a_stall(self):
        for now_ms in (600, 900, 1_200):
            self.pool.record_check(now_ms)
        self.assertTrue(self.pool.has_stalled("s1", 1_200))

    def test_bytes_received_since_the_end_of_a_pause_count(self):
        self.pool.record_bytes("s1", 3_290)
        self.pool.record_check(3_280)
        self.assertEqual(10, self.pool.silence_ms("s1", 3_300))


class ForwardTermsTest(unittest.TestCase):
    def test_terms_contain_the_estimates_behind_the_choice(self):
        pool = server_pool(backend("s1"), backend("s2"))
        pool.request_started("s1", 1_000, 10_000, 0)
        _, terms = choose(pool)
        self.assertEqual(("s2", "s1"), (terms.server, terms.runner_up))
        self.assertLess(terms.expected_first_ms, terms.runner_up_first_ms)

    def test_the_only_engine_has_no_runner_up(self):
        _, terms = choose(server_pool(backend("s1")))
        self.assertEqual("", terms.runner_up)


class WeightsTest(unittest.TestCase):
    def setUp(self):
        self.pool = server_pool(backend("s1"), backend("s2"))
        self.pool.set_weight_target(WeightTarget("m1", 1), 0, set_after_ms=None)
        self.pool.set_weight_target(WeightTarget("m1", 2), 10_000, set_after_ms=10_000)

    def test_terms_pin_the_version_and_its_namespace(self):
        _, terms = choose(self.pool, 10_000)
        self.assertEqual((1, "m1~1"), (terms.weight_version, terms.cache_salt))

    def test_new_weights_go_first_once_half_of_the_engines_have_them(self):
        self.pool.record_weight_swap("s2", "m1", 2)
        late_ms = 10_000 + OLD_WEIGHTS_GRACE_MS
        self.pool.request_started("s2", 50_000, 50_000, 10_000)
        self.pool.record_bytes("s2", late_ms)
        self.assertEqual("s1", chosen(self.pool, 10_100))
        self.assertEqual("s2", chosen(self.pool, late_ms))

    def test_the_preference_for_new_weights_counts_from_the_read_of_the_target(self):
        pool = server_pool(backend("s1"), backend("s2"))
        pool.set_weight_target(WeightTarget("m1", 2), 10_000, set_after_ms=9_000)
        pool.record_weight_swap("s2", "m1", 2)
        pool.request_started("s2", 50_000, 50_000, 10_000)
        pool.record_bytes("s2", 10_000 + OLD_WEIGHTS_GRACE_MS)
        _, terms = choose(pool, 10_000 + OLD_WEIGHTS_GRACE_MS - 1)
        self.assertEqual(
            ("s1", OLD_WEIGHTS_GRACE_MS + 999), (terms.server, terms.weights_outdated_ms)
        )
        self.assertEqual("s2", chosen(pool, 10_000 + OLD_WEIGHTS_GRACE_MS))

    def test_old_weights_take_what_new_ones_have_no_room_for(self):
        self.pool.record_weight_swap("s2", "m1", 2)
        late_ms = 10_000 + OLD_WEIGHTS_GRACE_MS
        self.pool.request_started("s2", 99_000, 0, late_ms)
        self.assertEqual("s1", chosen(self.pool, late_ms))
        self.pool.record_bytes("s2", 14_000)
        self.assertIsInstance(choose(self.pool, 14_000), NoFreeMemory)

    def test_near_the_deadline_old_weights_get_no_new_requests(self):
        self.assertIsNotNone(chosen(self.pool, 13_000))
        self.assertIsNone(chosen(self.pool, 14_000))

    def test_an_engine_in_backoff_is_used_if_the_others_have_overdue_weights(self):
        self.pool.record_weight_swap("s2", "m1", 2)
        self.pool.request_failed("s2", 15_000)
        self.assertEqual("s2", chosen(self.pool, 15_000))
        self.assertEqual("s2", chosen(self.pool, 15_000, avoided=("s2",)))

    def test_a_further_version_does_not_make_overdue_weights_good_again(self):
        self.assertIsNone(chosen(self.pool, 15_900))
        self.pool.set_weight_target(WeightTarget("m1", 3), 16_000, set_after_ms=16_000)
        self.assertIsNone(chosen(self.pool, 16_100))
        self.pool.record_weight_swap("s1", "m1", 2)
        self.assertEqual("s1", chosen(self.pool, 16_200))

    def test_weights_named_in_a_long_gap_of_reads_are_used_until_the_instance_is_in_touch(self):
        pool = server_pool(backend("s1"), stability_window_ms=3_000)
        pool.set_weight_target(WeightTarget("m1", 2), 20_000, set_after_ms=10_000)
        self.assertEqual("s1", chosen(pool, 20_400))
        self.assertIsNone(chosen(pool, 20_500))

    def test_a_version_named_before_the_start_is_due_at_once(self):
        pool = server_pool(backend("s1"))
        pool.set_weight_target(WeightTarget("m1", 2), 0, set_after_ms=None)
        self.assertIsNone(chosen(pool, 0))

    def test_the_first_version_that_is_named_while_it_runs_is_not_due_at_once(self):
        pool = server_pool(backend("s1"))
        pool.set_weight_target(WeightTarget("m1", 2), 10_000, set_after_ms=10_000)
        self.assertEqual("s1", chosen(pool, 10_000))

    def test_a_version_mismatch_shows_that_the_server_has_swapped(self):
        self.pool.record_weight_mismatch("s1", "m1", 1)
        self.assertEqual(2, self.pool.server_state("s1").weight_version("m1"))

    def test_a_version_mismatch_does_not_show_which_newer_version_is_loaded(self):
        self.pool.set_weight_target(WeightTarget("m1", 3), 10_500, set_after_ms=10_500)
        self.pool.record_weight_mismatch("s1", "m1", 1)
        self.pool.apply_list([backend("s1", weights={"m1": 2}), backend("s2")], 12_000, 12_000)
        self.assertEqual(2, self.pool.server_state("s1").weight_version("m1"))
        effects = WeightSwap().plan(self.pool.targets, self.pool.engines(), 12_000)
        self.assertIn("s1", [effect.engine.server for effect in effects])

    def test_a_version_mismatch_does_not_show_a_version_beyond_the_target(self):
        self.pool.record_weight_swap("s1", "m1", 2)
        self.pool.record_weight_mismatch("s1", "m1", 2)
        self.assertEqual(2, self.pool.server_state("s1").weight_version("m1"))

    def test_an_older_list_does_not_revert_a_version(self):
        self.pool.record_weight_swap("s1", "m1", 2)
        self.pool.apply_list([backend("s1"), backend("s2")], 10_100, 10_100)
        self.assertEqual(2, self.pool.server_state("s1").weight_version("m1"))
