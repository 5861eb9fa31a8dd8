"""Tests of what an instance concludes about its way to the servers."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from bergamothill.process.reachability import (
    CLEARED_INTERVAL_MS,
    FAILURE_LIFE_MS,
    PERSISTENT_MS,
    ROUND_INTERVAL_MS,
    Reachability,
    ReachState,
)

STEPS = st.lists(st.sampled_from(["fail-a", "fail-b", "answer", "round", "lost-round"]))


def suspected(count=4):
    reachability = Reachability()
    reachability.set_server_count(count)
    reachability.record_failure("a", 1_000)
    reachability.record_failure("b", 1_100)
    return reachability


class ReachabilityTest(unittest.TestCase):
    def test_one_failing_server_is_suspicious_only_if_no_other_answers_for_long(self):
        reachability = Reachability()
        reachability.set_server_count(4)
        for now_ms in range(0, 10 * PERSISTENT_MS, 100):
            reachability.record_failure("a", now_ms)
            if now_ms % 500 == 0:
                reachability.record_answer(now_ms)
        self.assertIs(ReachState.REACHED, reachability.state)
        for now_ms in range(0, PERSISTENT_MS + 1, 100):
            self.assertIs(ReachState.REACHED, reachability.state)
            reachability.record_failure("a", 20_000 + now_ms)
        self.assertIs(ReachState.SUSPECTED, reachability.state)

    def test_two_failing_servers_without_an_answer_in_between_are_suspicious(self):
        self.assertIs(ReachState.SUSPECTED, suspected().state)
        reachability = Reachability()
        reachability.set_server_count(4)
        reachability.record_failure("a", 0)
        reachability.record_answer(50)
        reachability.record_failure("b", 100)
        self.assertIs(ReachState.REACHED, reachability.state)
        reachability.record_failure("a", 100 + FAILURE_LIFE_MS + 1)
        self.assertIs(ReachState.REACHED, reachability.state)

    def test_the_only_server_is_enough(self):
        reachability = Reachability()
        reachability.record_failure("a", 0)
        self.assertIs(ReachState.REACHED, reachability.state)
        reachability.set_server_count(1)
        reachability.record_failure("a", 0)
        self.assertIs(ReachState.SUSPECTED, reachability.state)

    def test_a_lost_round_shows_that_no_server_is_reached_and_two_answered_ones_the_return(self):
        reachability = suspected()
        self.assertEqual(0, reachability.next_round_ms(1_100))
        reachability.record_round(False, 1_400)
        self.assertIs(ReachState.UNREACHED, reachability.state)
        for answered, state in (
            (True, ReachState.UNREACHED),
            (False, ReachState.UNREACHED),
            (True, ReachState.UNREACHED),
            (True, ReachState.REACHED),
        ):
            self.assertEqual(ROUND_INTERVAL_MS, reachability.next_round_ms(1_400))
            reachability.record_round(answered, 1_400)
            self.assertIs(state, reachability.state)
        self.assertIsNone(reachability.next_round_ms(1_400))

    def test_probes_that_clear_a_suspicion_are_not_repeated_at_once(self):
        reachability = suspected()
        reachability.record_round(True, 1_200)
        for now_ms in (1_300, 1_199 + CLEARED_INTERVAL_MS):
            reachability.record_failure("a", now_ms)
            reachability.record_failure("b", now_ms)
            self.assertIs(ReachState.REACHED, reachability.state)
        reachability.record_failure("b", 1_200 + CLEARED_INTERVAL_MS)
        self.assertIs(ReachState.SUSPECTED, reachability.state)

    def test_a_pause_of_the_process_discards_a_suspicion(self):
        reachability = suspected()
        reachability.record_pause()
        self.assertIs(ReachState.REACHED, reachability.state)

    @given(STEPS)
    def test_servers_are_given_up_only_by_a_lost_round_and_each_state_can_be_left(self, steps):
        reachability, now_ms = Reachability(), 0
        reachability.set_server_count(2)
        for step in steps:
            now_ms += CLEARED_INTERVAL_MS
            before = reachability.state
            if step == "answer":
                reachability.record_answer(now_ms)
            elif step.startswith("fail"):
                reachability.record_failure(step, now_ms)
            elif before is not ReachState.REACHED:
                reachability.record_round(step == "round", now_ms)
            if reachability.state is ReachState.UNREACHED and before is not ReachState.UNREACHED:
                self.assertEqual("lost-round", step)
            has_round = reachability.next_round_ms(now_ms) is not None
            self.assertEqual(reachability.state is not ReachState.REACHED, has_round)


if __name__ == "__main__":
    unittest.main()
