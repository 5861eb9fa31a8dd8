"""Tests of the state machine of a forwarded request."""

import unittest
from unittest import mock

from bergamothill.request.callerrequest import PromptPart
from bergamothill.request.crashevidence import PartId
from bergamothill.request.forwarding import (
    MAX_FIRST_EVENT_MS,
    MIN_TRIAL_WAIT_MS,
    QUARANTINE_RETRY_AFTER_MS,
    TYPICAL_FIRST_EVENT_MS,
    AbortStream,
    Deliver,
    Finish,
    Forwarding,
    Reason,
    Send,
    WaitForMemory,
    WaitForTrial,
)
from bergamothill.request.partquarantine import AwaitTrial, Quarantined, Trial, Unsuspected
from bergamothill.request.serverchoice import NoFreeMemory
from bergamothill.request.windowedbudget import WindowedRetryBudget
from tests.builders import backend, caller_request, routing_config
from tests.doubles import ScriptedChooser


class Screen:
    """Returns the verdict that a test sets."""

    def __init__(self, verdict) -> None:
        self.verdict = verdict
        self.checks = 0

    def check(self, request, now_ms):
        self.checks += 1
        return self.verdict


class RetryBudgetTest(unittest.TestCase):
    def spend_all(self, budget, now_ms):
        count = 0
        while budget.try_spend(now_ms):
            count += 1
        return count

    def test_there_is_no_slack_until_a_window_after_the_start(self):
        for now_ms, expected in ((5_000, 0), (15_000, 0), (15_001, 8)):
            with self.subTest(now_ms=now_ms):
                budget = WindowedRetryBudget(0.2, 10, 10_000, started_ms=5_000)
                self.assertEqual(expected, self.spend_all(budget, now_ms))

    def test_the_share_of_own_requests_is_available_from_the_start(self):
        budget = WindowedRetryBudget(0.2, 10, 10_000, started_ms=5_000)
        for _ in range(50):
            budget.record_request(5_000)
        self.assertEqual(8, self.spend_all(budget, 5_000))


class ForwardingCase(unittest.TestCase):
    def forwarding(self, route=0, chooser=None, ratio=1.0, screen=None, **changes):
        config = routing_config()
        route = config.routes[route]
        service = config.services[route.shares[0].service]
        self.chooser = chooser or ScriptedChooser(backend("s1"), backend("s2"))
        share = WindowedRetryBudget(ratio, 10, 10_000, started_ms=-10_001)
        brand = config.brands["key-1"]
        request = caller_request(**changes)
        return Forwarding(request, route, service, brand, self.chooser, share, 0.5, screen)


class ForwardingTest(ForwardingCase):
    def test_terms_carry_the_time_that_is_left(self):
        step = self.forwarding(caller_timeout_ms=3_000).begin(1_000)
        self.assertEqual(2_000, step.terms.time_left_ms)

    def test_no_server_is_refused_at_once_as_not_run(self):
        step = self.forwarding(chooser=ScriptedChooser()).begin(0)
        self.assertEqual((503, Reason.NO_SERVER), (step.status, step.reason))
        self.assertIsNotNone(step.retry_after_ms)

    def test_a_refused_request_goes_to_another_server_whatever_its_kind(self):
        run = self.forwarding(route=1)
        first = run.begin(0)
        second = run.on_refused(first, 10)
        self.assertIsInstance(second, Send)
        self.assertNotEqual(first.server.server, second.server.server)

    def test_refused_everywhere_is_not_run(self):
        run = self.forwarding(route=1)
        step = run.begin(0)
        while isinstance(step, Send):
            step = run.on_refused(step, 10)
        self.assertEqual((503, Reason.REFUSED), (step.status, step.reason))

    def test_a_lost_answer_is_never_sent_again_nor_called_not_run(self):
        run = self.forwarding(route=1)
        step = run.on_answer_lost(run.begin(0), 10, last_event_id="")
        self.assertEqual((502, None), (step.status, step.retry_after_ms))

    def test_refusal_then_loss_is_unknown(self):
        run = self.forwarding(route=1)
        step = run.on_answer_lost(run.on_refused(run.begin(0), 5), 10, last_event_id="")
        self.assertEqual(502, step.status)

    def test_loss_then_refusal_is_unknown(self):
        run = self.forwarding(route=2)
        step = run.on_answer_lost(run.begin(0), 10, last_event_id="")
        while isinstance(step, Send):
            step = run.on_refused(step, 20)
        self.assertEqual(502, step.status)

    def test_expiry_with_an_attempt_in_flight_is_unknown(self):
        run = self.forwarding(route=1)
        run.begin(0)
        self.assertEqual(504, run.on_expired(2_000).status)

    def test_expiry_before_any_attempt_is_not_run(self):
        run = self.forwarding()
        self.chooser.answer = NoFreeMemory()
        self.assertIsInstance(run.begin(0), WaitForMemory)
        self.assertEqual(503, run.on_expired(12_000).status)

    def test_expiry_in_mid_stream_breaks_off(self):
        run = self.forwarding()
        run.begin(0)
        run.stream_started, run.version = True, "v1"
        self.assertIsInstance(run.on_expired(12_000), AbortStream)

    def test_a_resumable_stream_goes_on_after_its_last_event(self):
        run = self.forwarding()
        first = run.begin(0)
        run.stream_started, run.version = True, "v1"
        step = run.on_answer_lost(first, 50, last_event_id="7")
        self.assertEqual("7", step.terms.last_event_id)
        self.assertNotEqual(first.server.server, step.server.server)

    def test_a_started_stream_of_an_unknown_version_cannot_go_on(self):
        run = self.forwarding()
        first = run.begin(0)
        run.stream_started = True
        step = run.on_answer_lost(first, 50, last_event_id="7")
        self.assertIsInstance(step, AbortStream)

    def test_a_stream_of_an_unknown_version_is_not_resumed(self):
        step = self.forwarding(last_event_id="7").begin(0)
        self.assertEqual((503, Reason.ORIGIN_UNKNOWN), (step.status, step.reason))

    def test_a_started_stream_without_event_ids_cannot_go_on(self):
        run = self.forwarding()
        first = run.begin(0)
        run.stream_started, run.version = True, "v1"
        self.assertIsInstance(run.on_answer_lost(first, 50, last_event_id=""), AbortStream)

    def test_no_more_servers_run_it_than_the_route_allows(self):
        run = self.forwarding()
        second = run.on_answer_lost(run.begin(0), 10, last_event_id="")
        self.assertIsInstance(run.on_answer_lost(second, 20, last_event_id=""), Finish)

    def test_a_failure_that_may_not_be_repeated_is_delivered(self):
        run = self.forwarding(route=1)
        self.assertIsInstance(run.on_failure(run.begin(0), 10), Deliver)

    def test_a_failure_is_delivered_when_the_retry_budget_is_spent(self):
        run = self.forwarding(route=2, ratio=0.0)
        run._retry_budget.slack = 0
        self.assertIsInstance(run.on_failure(run.begin(0), 10), Deliver)

    def test_an_attempt_that_was_not_connected_costs_no_budget(self):
        run = self.forwarding(route=1, ratio=0.0)
        run._retry_budget.slack = 0
        self.assertIsInstance(run.on_not_connected(run.begin(0), 10), Send)

    def test_a_held_request_is_retried_from_where_it_stood(self):
        run = self.forwarding()
        first = run.begin(0)
        run.stream_started, run.version = True, "v1"
        self.chooser.answer = NoFreeMemory()
        wait = run.on_answer_lost(first, 50, last_event_id="7")
        self.assertIsInstance(wait, WaitForMemory)
        self.chooser.answer = None
        self.assertEqual("7", run.retry(60).terms.last_event_id)

    def test_a_request_is_held_while_it_can_still_be_in_time(self):
        run = self.forwarding(arrived_ms=1_000)
        self.chooser.answer = NoFreeMemory()
        wait = run.begin(1_100)
        self.assertEqual(1_000 + 600 - TYPICAL_FIRST_EVENT_MS, wait.give_up_ms)
        self.assertEqual(wait.on_time_until_ms, wait.give_up_ms)

    def test_a_request_that_is_late_already_is_told_at_once(self):
        run = self.forwarding()
        first = run.begin(0)
        self.chooser.answer = NoFreeMemory()
        self.assertEqual(5_000, run.on_refused(first, 5_000).give_up_ms)

    def test_a_stream_that_goes_on_is_held_while_its_caller_waits_for_an_event(self):
        run = self.forwarding()
        first = run.begin(0)
        run.stream_started, run.version = True, "v1"
        self.chooser.answer = NoFreeMemory()
        wait = run.on_answer_lost(first, 1_000, last_event_id="7")
        self.assertEqual(1_000 + 2_400 - MAX_FIRST_EVENT_MS, wait.give_up_ms)


PARTS = frozenset({PartId("m1", "a")})


class SuspectedPartsTest(ForwardingCase):
    def test_a_prompt_with_a_quarantined_part_is_refused_at_once_as_not_run(self):
        screen = Screen(Quarantined(PARTS))
        step = self.forwarding(screen=screen).begin(0)
        self.assertEqual((503, Reason.QUARANTINED), (step.status, step.reason))
        self.assertEqual(PARTS, step.parts)
        self.assertGreaterEqual(step.retry_after_ms, QUARANTINE_RETRY_AFTER_MS)

    def test_a_broken_run_is_not_repeated_with_a_quarantined_part_nor_called_not_run(self):
        screen = Screen(Unsuspected())
        run = self.forwarding(screen=screen)
        first = run.begin(0)
        screen.verdict = Quarantined(PARTS)
        step = run.on_answer_lost(first, 10, last_event_id="")
        self.assertEqual((502, Reason.QUARANTINED), (step.status, step.reason))

    def test_a_refused_repeat_costs_no_budget(self):
        screen = Screen(Unsuspected())
        run = self.forwarding(screen=screen)
        run._retry_budget = mock.Mock()
        first = run.begin(0)
        screen.verdict = Quarantined(PARTS)
        run.on_answer_lost(first, 10, last_event_id="")
        run._retry_budget.try_spend.assert_not_called()

    def test_a_stream_is_not_resumed_with_a_quarantined_part(self):
        screen = Screen(Unsuspected())
        run = self.forwarding(screen=screen)
        first = run.begin(0)
        run.stream_started, run.version = True, "v1"
        screen.verdict = Quarantined(PARTS)
        step = run.on_answer_lost(first, 50, last_event_id="7")
        self.assertEqual(AbortStream(Reason.QUARANTINED), step)

    def test_a_prompt_that_was_not_written_as_its_part_was_convicted_is_refused(self):
        screen = Screen(Unsuspected())
        run = self.forwarding(screen=screen)
        first = run.begin(0)
        screen.verdict = Quarantined(PARTS)
        step = run.on_not_connected(first, 10)
        self.assertEqual((503, Reason.QUARANTINED), (step.status, step.reason))

    def test_a_trial_is_placed_as_such(self):
        for needs_lone_server in (False, True):
            trial = Trial(PARTS, needs_lone_server)
            step = self.forwarding(screen=Screen(trial)).begin(0)
            self.assertIs(trial, step.trial)
            self.assertIs(needs_lone_server, self.chooser.needs_lone_server)

    def test_a_trial_without_a_server_of_its_own_does_not_join_the_queue_for_memory(self):
        run = self.forwarding(screen=Screen(Trial(PARTS, True)))
        self.chooser.answer = NoFreeMemory()
        self.assertIsInstance(run.begin(0), WaitForTrial)

    def test_a_prompt_that_waits_for_a_trial_asks_again_from_where_it_stood(self):
        screen = Screen(Unsuspected())
        run = self.forwarding(screen=screen)
        first = run.begin(0)
        run.stream_started, run.version = True, "v1"
        screen.verdict = AwaitTrial(30)
        wait = run.on_answer_lost(first, 50, last_event_id="7")
        self.assertEqual(30, wait.retry_ms)
        screen.verdict = Trial(PARTS, False)
        self.assertEqual("7", run.retry(60).terms.last_event_id)

    def test_a_prompt_waits_for_a_trial_while_it_can_be_in_time_or_briefly(self):
        run = self.forwarding(screen=Screen(AwaitTrial(30)))
        self.assertEqual(600 - TYPICAL_FIRST_EVENT_MS, run.begin(0).give_up_ms)
        self.assertEqual(5_000 + MIN_TRIAL_WAIT_MS, run.retry(5_000).give_up_ms)
        self.assertEqual(12_000, run.retry(11_900).give_up_ms)

    def test_a_prompt_that_waited_in_vain_is_refused_as_not_run(self):
        run = self.forwarding(screen=Screen(AwaitTrial(30)))
        self.assertIsInstance(run.begin(0), WaitForTrial)
        step = run.on_trial_unavailable(500)
        self.assertEqual((503, Reason.AWAITS_TRIAL), (step.status, step.reason))

    def test_requests_without_shared_parts_are_screened_as_a_whole(self):
        screen = Screen(Quarantined(PARTS))
        plain = self.forwarding(route=1, screen=screen)
        own = self.forwarding(screen=screen, parts=(PromptPart("a", 3_000),))
        for run in (plain, own):
            self.assertIs(Reason.QUARANTINED, run.begin(0).reason)
        self.assertEqual(2, screen.checks)
