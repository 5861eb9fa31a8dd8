"""Tests of chat requests while engines fail, with real processes."""

import signal
import threading

from bergamothill.errors import BergamothillError
from scripts.deployment import DeploymentShape, wait_until
from tests.failureworld import ANSWER_TOKENS, ENGINE_OPTIONS, FailureTestCase, long_prompt


class EngineFaultTests(FailureTestCase):
    def test_stream_is_resumed_after_its_engine_stalls(self):
        expected = self.expected_text()
        counts = self.run_counts()
        self.set_engine_faults(silent_after_events=20)

        def schedule_recovery(answer):
            if len(answer.event_ids) == 20:
                timer = threading.Timer(1.5, self.set_engine_faults)
                timer.start()
                self.addCleanup(timer.join)

        answer = self.ask(on_event=schedule_recovery)
        self.assertEqual((True, expected), (answer.is_whole, answer.text))
        self.assertEqual(sum(counts) + 1, sum(self.run_counts()))

    def test_stream_of_a_permanently_stalled_engine_ends_in_a_typed_error(self):
        expected = self.expected_text()
        self.set_engine_faults(silent_after_events=0)
        stalled_answer = self.ask()
        self.assertEqual((False, ""), (stalled_answer.is_whole, stalled_answer.text))
        self.assertEqual("unknown", self.told(stalled_answer))
        self.set_engine_faults(cut_after_events=20, path="/")
        answer = self.ask(max_tokens=ANSWER_TOKENS)
        self.assertEqual((True, expected), (answer.is_whole, answer.text))

    def test_run_moves_to_another_engine_if_stopped_before_the_first_token(self):
        counts = self.run_counts()
        answers = []
        prompt = long_prompt("slow", 4)
        thread = self.ask_in_thread(answers, messages=prompt)
        wait_until(lambda: self.running_engine(counts), "an engine runs")
        stopped = self.running_engine(counts)
        stopped.signal(signal.SIGSTOP)
        thread.join()
        stopped.signal(signal.SIGCONT)
        self.assertTrue(answers[0].is_whole, answers[0].error)
        undisturbed = self.ask(1, messages=prompt)
        self.assertEqual(undisturbed.text, answers[0].text)

    def test_stream_resumes_when_its_stopped_engine_continues(self):
        expected = self.expected_text()
        counts = self.run_counts()

        seen = []

        def stop(answer):
            if len(answer.event_ids) == 20 and not seen:
                seen.append(answer)
                stopped = self.running_engine(counts)
                stopped.signal(signal.SIGSTOP)
                timer = threading.Timer(1.6, stopped.signal, [signal.SIGCONT])
                timer.start()
                self.addCleanup(timer.join)

        answer = self.ask(on_event=stop)
        self.assertEqual((True, expected), (answer.is_whole, answer.text))
        self.assertEqual(sum(counts) + 1, sum(self.run_counts()))

    def test_abandoned_stream_of_a_stopped_engine_never_appears_complete(self):
        expected = self.expected_text()
        counts = self.run_counts()
        stopped = []

        def stop(answer):
            if len(answer.event_ids) == 20 and not stopped:
                stopped.append(self.running_engine(counts))
                stopped[0].signal(signal.SIGSTOP)

        answer = self.ask(on_event=stop)
        self.assert_broken(answer, expected)
        stopped[0].signal(signal.SIGCONT)
        resumed = self.deployment.caller(1).resume(answer.event_ids[-1])
        if resumed.is_whole:
            self.assertEqual(expected, answer.text + resumed.text)
        else:
            self.assertTrue(resumed.error)

    def test_stream_cancelled_at_another_entry_ends_in_a_typed_error(self):
        expected = self.expected_text()

        seen = []

        def cancel(answer):
            if len(answer.event_ids) == 20 and not seen:
                seen.append(answer)
                caller = self.deployment.caller(1)
                fields = {"Last_Event_ID": answer.event_ids[-1]}
                self.assertEqual(204, caller.request("DELETE", "/v1/streams", **fields).status)

        answer = self.ask(on_event=cancel)
        self.assert_broken(answer, expected)

    def test_stream_survives_a_half_second_engine_outage(self):
        expected = self.expected_text()
        self.set_engine_faults(cut_after_events=20, outage=True, path="/streams")

        seen = []

        def schedule_recovery(answer):
            if len(answer.event_ids) == 20 and not seen:
                seen.append(answer)
                timer = threading.Timer(0.5, self.set_engine_faults)
                timer.start()
                self.addCleanup(timer.join)

        answer = self.ask(on_event=schedule_recovery)
        self.assertEqual((True, expected), (answer.is_whole, answer.text), answer.error)

    def test_one_rejection_and_one_lost_reply_are_unknown(self):
        refusing, losing = self.deployment.engines
        refusing.set_faults(refuse_runs=True)
        losing.set_faults(lose_reply=1, path="/runs")
        answer = self.ask()
        self.assertEqual("unknown", self.told(answer), answer.error)
        self.assertEqual(0, losing.json("GET", "/faults")["lose_reply"])

    def test_rejections_by_all_engines_are_not_run(self):
        self.set_engine_faults(refuse_runs=True)
        answer = self.ask()
        self.assertEqual((429, "not_run"), (answer.status, self.told(answer)))
        self.assertFalse(self.ran(answer.error))


class WeightVersionTests(FailureTestCase):
    def test_engines_with_another_than_the_pinned_version_deliver_nothing(self):
        expected = self.expected_text()
        mismatched, misreporting = self.deployment.engines
        mismatched.set_faults(run_version="v0")
        for _ in range(4):
            answer = self.ask()
            self.assertEqual((True, expected), (answer.is_whole, answer.text), answer.error)
        misreporting.set_faults(claim_version="v0")
        for _ in range(3):
            answer = self.ask()
            self.assertEqual((False, ""), (answer.is_whole, answer.text))
            self.assert_true_refusal(answer.error)
        self.tearDown()
        wait_until(lambda: self.ask().is_whole, "the engines serve again")

    def test_version_mismatch_error_has_unknown_outcome(self):
        wait_until(lambda: self.ask().is_whole, "the engines serve")
        for engine, fault in zip(
            self.deployment.engines, ("run_version", "claim_version"), strict=True
        ):
            engine.set_faults(**{fault: "v0"})
        answer = self.ask()
        self.assertEqual((False, ""), (answer.is_whole, answer.text))
        self.assertEqual(("wrong_weight_version", "unknown"), self.code_and_execution(answer))
        self.assertTrue(self.ran(answer.error))

    def code_and_execution(self, answer):
        return answer.error["code"], self.told(answer)


class EngineDeathTests(FailureTestCase):
    shape = DeploymentShape(
        zones=1,
        entries=2,
        engines=3,
        stores=0,
        engine_options=ENGINE_OPTIONS,
        drain_notice_ms=0,
        idle_timeout_ms=1_000,
    )

    def tearDown(self):
        """Keep the base class from resetting engines that were killed."""

    def run_counts(self):
        return [self.count_at(engine) for engine in self.deployment.engines]

    def count_at(self, engine):
        return len(engine.json("GET", "/runs")) if engine.process.poll() is None else 10**9

    def running_engine(self, counts):
        pairs = zip(self.deployment.engines, counts, strict=True)
        return next((engine for engine, count in pairs if self.count_at(engine) > count), None)

    def kill_midway(self, answer, counts):
        if len(answer.event_ids) == 20:
            self.running_engine(counts).kill()

    def test_stream_of_a_killed_engine_ends_in_a_typed_error(self):
        expected = self.expected_text()
        counts = self.run_counts()
        answer = self.ask(on_event=lambda answer: self.kill_midway(answer, counts))
        self.assert_broken(answer, expected)
        self.assertTrue(answer.text)
        retried = self.ask()
        self.assertEqual((True, expected), (retried.is_whole, retried.text))

    def test_stream_whose_engine_and_entry_are_killed_ends_in_a_typed_error(self):
        expected = self.expected_text()
        counts = self.run_counts()
        entry = self.deployment.entries[1]
        seen = []

        def kill_both(answer):
            seen.append(answer)
            if len(answer.event_ids) == 20:
                entry.kill()
                self.running_engine(counts).kill()

        with self.assertRaises(BergamothillError):
            self.ask(1, on_event=kill_both)
        resumed = self.deployment.caller(0).resume(seen[-1].event_ids[-1])
        self.assertFalse(resumed.is_whole)
        self.assertEqual("unknown", self.told(resumed))
        retried = self.ask()
        self.assertEqual((True, expected), (retried.is_whole, retried.text))
