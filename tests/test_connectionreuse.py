"""Tests of which attempts may use a kept connection, and of what follows when it was closed."""

from dataclasses import replace

from bergamothill.errors import Execution
from bergamothill.request.forwarding import Finish, Send
from bergamothill.request.partquarantine import Trial
from tests.test_forwarding import PARTS, ForwardingCase, Screen

QUOTE, BOOK, OPEN = 0, 1, 2


class ReuseDecisionTest(ForwardingCase):
    def run_of(self, route=QUOTE, *, max_servers=3, **changes):
        run = self.forwarding(route, **changes)
        run._route = replace(run._route, max_servers=max_servers)
        return run

    def assert_may_reuse(self, expected, step):
        self.assertIsInstance(step, Send)
        self.assertIs(expected, step.terms.may_reuse_connection)

    def lose(self, run, step, *, is_stale):
        step.attempt.is_stale = is_stale
        return run.on_answer_lost(step, 0, last_event_id="")

    def test_only_requests_that_may_run_again(self):
        for route, expected in ((QUOTE, True), (BOOK, False), (OPEN, True)):
            self.assert_may_reuse(expected, self.run_of(route).begin(0))

    def test_only_with_an_id_that_can_be_compared(self):
        for request_id in ("", "r\xa0"):
            self.assert_may_reuse(False, self.run_of(request_id=request_id).begin(0))

    def test_only_while_a_repeat_is_within_the_number_of_servers_and_the_budget(self):
        self.assert_may_reuse(False, self.run_of(max_servers=1).begin(0))
        run = self.run_of(max_servers=2)
        first = run.begin(0)
        self.assert_may_reuse(True, first)
        self.assert_may_reuse(False, self.lose(run, first, is_stale=False))
        run = self.run_of()
        while run._retry_budget.try_spend(0):
            pass
        self.assert_may_reuse(False, run.begin(0))

    def test_not_for_an_attempt_beside_one_in_progress_that_may_be_the_last(self):
        run = self.run_of(max_servers=2)
        run.begin(0)
        self.assert_may_reuse(False, run.begin_move(0, last_event_id=""))

    def test_not_for_a_trial_as_a_reset_there_must_be_evidence(self):
        run = self.run_of(screen=Screen(Trial(PARTS, False)))
        self.assert_may_reuse(False, run.begin(0))

    def test_the_repeat_is_charged_uses_a_new_connection_and_may_go_to_the_same_server(self):
        run = self.run_of()
        left = run.retries_left(0)
        step = self.lose(run, run.begin(0), is_stale=True)
        self.assert_may_reuse(False, step)
        self.assertEqual(("s1", 1), (step.server.server, run.run_count))
        self.assertEqual(left - 1, run.retries_left(0))
        self.assertIs(Execution.UNKNOWN, run.attempts.execution())

    def test_no_request_has_more_runs_than_servers_allowed(self):
        run = self.run_of(max_servers=2)
        step = self.lose(run, run.begin(0), is_stale=True)
        step = self.lose(run, step, is_stale=False)
        self.assertIsInstance(step, Finish)
        self.assertEqual((502, 2), (step.status, run.run_count))
