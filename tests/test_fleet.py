"""Tests of the observed state of backend servers and of the choice of one."""

import unittest

from bergamothill.process.fleet import (
    OLD_WEIGHTS_GRACE_MS,
    REREGISTRATION_GRACE_MS,
    SUSPECT_SILENCE_MS,
)
from bergamothill.process.loadreport import LoadReport, PeerLoads, ServerLoad
from bergamothill.request.forwarding import NoRoom
from bergamothill.version.weightgoal import WeightGoal
from tests.builders import backend, caller_request, fleet, routing_config

LLM = routing_config().services["llm"]
BOOKINGS = routing_config().services["bookings"]


def choose(beliefs, now_ms=0, service=LLM, avoided=(), urgency=0, **changes):
    return beliefs.choose(service, caller_request(**changes), None, avoided, urgency, now_ms)


def chosen(*args, **kwargs):
    choice = choose(*args, **kwargs)
    return None if choice is None else choice[0].server


class ListTest(unittest.TestCase):
    def test_a_leaving_server_gets_nothing(self):
        self.assertIsNone(chosen(fleet(backend("s1", is_leaving=True))))

    def test_leaving_is_final_for_an_incarnation(self):
        beliefs = fleet(backend("s1", is_leaving=True))
        beliefs.apply_list([backend("s1")], 100, 100)
        self.assertIsNone(chosen(beliefs, 100))
        beliefs.apply_list([backend("s1", started_wall_ms=2)], 200, 200)
        self.assertEqual("s1", chosen(beliefs, 200))

    def test_a_server_that_the_list_lost_gets_nothing(self):
        beliefs = fleet(backend("s1"), backend("s2"))
        beliefs.apply_list([backend("s2")], 100, 100)
        self.assertEqual("s2", chosen(beliefs, 100))

    def test_entries_that_lapsed_in_an_outage_are_waited_for(self):
        beliefs = fleet(backend("s1"))
        beliefs.store_returned()
        beliefs.apply_list([], 1_000, 1_000)
        later_ms = 1_000 + REREGISTRATION_GRACE_MS
        self.assertEqual("s1", chosen(beliefs, later_ms - 1))
        self.assertIsNone(chosen(beliefs, later_ms))

    def test_a_second_outage_does_not_end_the_wait_for_lapsed_entries(self):
        beliefs = fleet(backend("s1"), backend("s2"))
        beliefs.apply_list([backend("s1")], 500, 500)
        beliefs.store_returned()
        beliefs.apply_list([], 1_000, 1_000)
        beliefs.store_lost()
        self.assertEqual("s1", chosen(beliefs, 9_000))
        beliefs.store_returned()
        beliefs.apply_list([], 9_500, 9_500)
        self.assertEqual("s1", chosen(beliefs, 9_500 + REREGISTRATION_GRACE_MS - 1))
        self.assertIsNone(chosen(beliefs, 9_500 + REREGISTRATION_GRACE_MS))

    def test_a_wait_that_ran_out_without_a_read_goes_on_in_the_next_outage(self):
        beliefs = fleet(backend("s1"), backend("s2"))
        beliefs.apply_list([backend("s1")], 500, 500)
        beliefs.store_returned()
        beliefs.apply_list([], 1_000, 1_000)
        self.assertIsNone(chosen(beliefs, 5_000))
        beliefs.store_lost()
        self.assertEqual("s1", chosen(beliefs, 5_000))

    def test_a_server_that_left_before_an_outage_stays_gone(self):
        beliefs = fleet(backend("s1"), backend("s2"))
        beliefs.apply_list([backend("s2")], 500, 510)
        beliefs.store_lost()
        self.assertEqual("s2", chosen(beliefs, 600))

    def test_a_server_that_was_listed_since_the_return_is_not_waited_for(self):
        beliefs = fleet(backend("s1"), backend("s2"))
        beliefs.store_returned()
        beliefs.apply_list([backend("s1"), backend("s2")], 1_000, 1_020)
        beliefs.apply_list([backend("s2")], 1_900, 1_910)
        self.assertEqual("s2", chosen(beliefs, 1_910))

    def test_a_leaving_server_is_not_waited_for(self):
        beliefs = fleet(backend("s1", is_leaving=True))
        beliefs.store_returned()
        beliefs.apply_list([], 1_000, 1_000)
        self.assertIsNone(chosen(beliefs, 1_100))

    def test_a_server_that_comes_back_while_its_requests_run_is_used_again(self):
        beliefs = fleet(backend("s1"))
        beliefs.started("s1", 10, 10, 0)
        beliefs.apply_list([], 100, 100)
        self.assertIsNone(chosen(beliefs, 100))
        beliefs.apply_list([backend("s1")], 200, 200)
        self.assertEqual("s1", chosen(beliefs, 200))

    def test_another_instance_at_the_address_is_not_asked_again(self):
        beliefs = fleet(backend("s1"))
        beliefs.is_other_instance("s1")
        beliefs.apply_list([backend("s1")], 100, 100)
        self.assertIsNone(chosen(beliefs, 100))

    def test_a_server_without_known_weights_gets_no_prompt(self):
        self.assertIsNone(chosen(fleet(backend("s1", weights={}))))


class ChoiceTest(unittest.TestCase):
    def test_a_server_that_refused_rests_unless_it_is_the_only_one(self):
        beliefs = fleet(backend("s1"), backend("s2"))
        beliefs.refused("s1", 0)
        self.assertEqual("s2", chosen(beliefs, 10))
        beliefs.failed("s2", 0)
        self.assertEqual("s1", chosen(beliefs, 10))

    def test_servers_that_failed_the_request_come_last(self):
        beliefs = fleet(backend("s1"), backend("s2"))
        self.assertEqual("s2", chosen(beliefs, avoided=("s1",)))
        self.assertIsNotNone(chosen(beliefs, avoided=("s1", "s2")))

    def test_plain_requests_go_to_the_least_loaded_server_of_the_deployment(self):
        loads = PeerLoads()
        servers = [backend(s, service="bookings", weights={}) for s in ("s1", "s2")]
        beliefs = fleet(*servers, peer_loads=loads)
        loads.take(LoadReport("other", 1, {"s1": ServerLoad(5, 0, 0)}), 0)
        self.assertEqual("s2", chosen(beliefs, service=BOOKINGS, model=None))

    def test_plain_requests_prefer_the_own_zone(self):
        servers = [
            backend("s1", service="bookings", weights={}, zone="zone-b"),
            backend("s2", service="bookings", weights={}),
        ]
        self.assertEqual("s2", chosen(fleet(*servers), service=BOOKINGS, model=None))

    def test_an_engine_that_fell_silent_is_avoided(self):
        beliefs = fleet(backend("s1"), backend("s2"))
        beliefs.started("s1", 10, 10, 0)
        beliefs.started("s2", 90, 90, 0)
        beliefs.heard("s2", SUSPECT_SILENCE_MS)
        self.assertEqual("s2", chosen(beliefs, SUSPECT_SILENCE_MS))
        beliefs.heard("s1", SUSPECT_SILENCE_MS)
        self.assertEqual("s1", chosen(beliefs, SUSPECT_SILENCE_MS))

    def test_a_full_deployment_has_no_room(self):
        beliefs = fleet(backend("s1"))
        beliefs.started("s1", 95_000, 0, 0)
        self.assertIsInstance(choose(beliefs), NoRoom)
        beliefs.ended("s1", 95_000)
        self.assertEqual("s1", chosen(beliefs))

    def test_the_peers_requests_fill_an_engine_too(self):
        loads = PeerLoads()
        beliefs = fleet(backend("s1"), backend("s2"), peer_loads=loads)
        loads.take(LoadReport("other", 1, {"s1": ServerLoad(9, 95_000, 0)}), 0)
        self.assertEqual("s2", chosen(beliefs))

    def test_less_urgent_requests_leave_room(self):
        beliefs = fleet(backend("s1"))
        beliefs.started("s1", 85_000, 0, 0)
        self.assertEqual("s1", chosen(beliefs, urgency=0))
        self.assertIsInstance(choose(beliefs, urgency=5), NoRoom)

    def test_an_empty_engine_takes_any_prompt(self):
        self.assertEqual("s1", chosen(fleet(backend("s1")), prompt_tokens=99_000))


class ReasonsTest(unittest.TestCase):
    def test_terms_tell_what_the_choice_was_made_by(self):
        beliefs = fleet(backend("s1"), backend("s2"))
        beliefs.started("s1", 1_000, 10_000, 0)
        _, terms = choose(beliefs)
        self.assertEqual(("s2", "s1"), (terms.server, terms.runner_up))
        self.assertLess(terms.expected_first_ms, terms.runner_up_first_ms)

    def test_the_only_engine_has_no_runner_up(self):
        _, terms = choose(fleet(backend("s1")))
        self.assertEqual("", terms.runner_up)


class WeightsTest(unittest.TestCase):
    def setUp(self):
        self.beliefs = fleet(backend("s1"), backend("s2"))
        self.beliefs.set_weight_goal(WeightGoal("m1", 1), 0, is_first_read=True)
        self.beliefs.set_weight_goal(WeightGoal("m1", 2), 10_000, is_first_read=False)

    def test_terms_pin_the_version_and_its_namespace(self):
        _, terms = choose(self.beliefs, 10_000)
        self.assertEqual((1, "m1~1"), (terms.weight_version, terms.cache_salt))

    def test_new_weights_go_first_once_half_of_the_engines_have_them(self):
        self.beliefs.record_weight_swap("s2", "m1", 2)
        late_ms = 10_000 + OLD_WEIGHTS_GRACE_MS
        self.beliefs.started("s2", 50_000, 50_000, 10_000)
        self.beliefs.heard("s2", late_ms)
        self.assertEqual("s1", chosen(self.beliefs, 10_100))
        self.assertEqual("s2", chosen(self.beliefs, late_ms))

    def test_old_weights_take_what_new_ones_have_no_room_for(self):
        self.beliefs.record_weight_swap("s2", "m1", 2)
        late_ms = 10_000 + OLD_WEIGHTS_GRACE_MS
        self.beliefs.started("s2", 99_000, 0, late_ms)
        self.assertEqual("s1", chosen(self.beliefs, late_ms))
        self.beliefs.heard("s2", 14_000)
        self.assertIsInstance(choose(self.beliefs, 14_000), NoRoom)

    def test_near_the_bound_old_weights_begin_nothing(self):
        self.assertIsNotNone(chosen(self.beliefs, 13_000))
        self.assertIsNone(chosen(self.beliefs, 14_000))

    def test_a_further_version_does_not_make_overdue_weights_good_again(self):
        self.assertIsNone(chosen(self.beliefs, 15_900))
        self.beliefs.set_weight_goal(WeightGoal("m1", 3), 16_000, is_first_read=False)
        self.assertIsNone(chosen(self.beliefs, 16_100))
        self.beliefs.record_weight_swap("s1", "m1", 2)
        self.assertEqual("s1", chosen(self.beliefs, 16_200))

    def test_a_version_named_before_the_start_is_due_at_once(self):
        beliefs = fleet(backend("s1"))
        beliefs.set_weight_goal(WeightGoal("m1", 2), 0, is_first_read=True)
        self.assertIsNone(chosen(beliefs, 0))

    def test_the_first_version_that_is_named_while_it_runs_is_not_due_at_once(self):
        beliefs = fleet(backend("s1"))
        beliefs.set_weight_goal(WeightGoal("m1", 2), 10_000, is_first_read=False)
        self.assertEqual("s1", chosen(beliefs, 10_000))

    def test_a_refusal_of_the_version_tells_that_the_server_has_moved_on(self):
        self.beliefs.has_other_weights("s1", "m1", 1)
        self.assertEqual(2, self.beliefs.belief("s1").weight_version("m1"))

    def test_an_older_list_does_not_take_a_version_back(self):
        self.beliefs.record_weight_swap("s1", "m1", 2)
        self.beliefs.apply_list([backend("s1"), backend("s2")], 10_100, 10_100)
        self.assertEqual(2, self.beliefs.belief("s1").weight_version("m1"))
