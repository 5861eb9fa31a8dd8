import json
import signal
import subprocess
import sys
import threading
import time
import unittest

from bergamothill.errors import BergamothillError
from scripts.caller import Caller
from scripts.deployment import OPERATOR_KEY, Deployment, DeploymentShape, bearer_key, wait_until
from scripts.processes import ROOT, ProcessGroup

QUESTION = [{"role": "user", "content": "Which quills fit a 1975 jack?"}]
ENGINE_OPTIONS = ("--decode-ms", "15", "--answer-tokens", "600")
ANSWER_TOKENS = 60


class DeploymentTestCase(unittest.TestCase):
    """Starts one small deployment that all tests of a class share."""

    shape = DeploymentShape(
        zones=1, entries=3, engines=2, stores=1, engine_options=ENGINE_OPTIONS, drain_notice_ms=300
    )

    @classmethod
    def setUpClass(cls):
        group = ProcessGroup()
        cls.addClassCleanup(group.__exit__)
        cls.deployment = Deployment.start(group, cls.shape)

    def tearDown(self):
        for member in (*self.deployment.engines, self.deployment.kvs, self.deployment.booking):
            member.set_faults()

    def error_of(self, reply):
        return json.loads(reply.body)["error"]

    def post_chat(self, document, entry=0, brand="kowhai"):
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        return self.deployment.caller(entry, brand).request("POST", "/v1/chat/completions", body)


class TypedErrorTests(DeploymentTestCase):
    def test_each_bad_request_gets_a_typed_error_and_the_process_goes_on(self):
        chat = {"model": "manual", "messages": QUESTION}
        cases = [
            (b"{", 400, "invalid_request"),
            ({**chat, "model": "unknown"}, 403, "permission_denied"),
            ({**chat, "messages": 3}, 400, "invalid_request"),
            (b" " * 70_000_000, 413, "body_too_large"),
        ]
        for document, status, code in cases:
            with self.subTest(code):
                reply = self.post_chat(document)
                self.assertEqual((status, code), (reply.status, self.error_of(reply)["code"]))
        self.assertEqual(200, self.post_chat(chat).status)

    def test_unknown_key_and_unknown_path(self):
        unknown_caller = Caller(self.deployment.entries[0].address, "nobody")
        reply = unknown_caller.request("GET", "/v1/models")
        self.assertEqual((401, "invalid_key"), (reply.status, self.error_of(reply)["code"]))
        reply = unknown_caller.request("GET", "/v2/other")
        self.assertEqual((404, "not_found"), (reply.status, self.error_of(reply)["code"]))

    def test_engines_that_are_gone_get_a_true_refusal_with_a_time_to_come_back(self):
        for engine in self.deployment.engines:
            engine.set_faults(outage=True, path="/")
        reply = self.post_chat({"model": "manual", "messages": QUESTION})
        self.assertIn(reply.status, (502, 503, 504))
        self.assertIn("retry-after", reply.headers)
        self.tearDown()
        runs = [run for engine in self.deployment.engines for run in engine.json("GET", "/runs")]
        error = self.error_of(reply)
        ran = any(run["request_id"] == error["request_id"] for run in runs)
        self.assertFalse(ran and error["execution"] == "not_run")

    def test_dead_platform_refuses_keyed_calls_as_not_run_and_goes_on_serving_chats(self):
        self.deployment.kvs.set_faults(outage=True, path="/")
        caller = self.deployment.caller(0)
        before = len(self.deployment.booking.json("GET", "/effects"))
        reply = caller.request("POST", "/v1/services/booking/pickups", b"{}", Idempotency_Key="k1")
        error = self.error_of(reply)
        self.assertEqual((503, "not_run"), (reply.status, error["execution"]))
        self.assertIsNotNone(error["retry_after_ms"])
        self.assertEqual(before, len(self.deployment.booking.json("GET", "/effects")))
        self.assertTrue(caller.chat(QUESTION).is_whole)
        reply = caller.request("POST", "/v1/services/booking/pickups", b"{}")
        self.assertEqual(201, reply.status)

    def test_one_key_with_another_body_is_refused(self):
        caller = self.deployment.caller(0)
        path = "/v1/services/booking/pickups"
        self.assertEqual(201, caller.request("POST", path, b"1", Idempotency_Key="k2").status)
        reply = self.deployment.caller(1).request("POST", path, b"2", Idempotency_Key="k2")
        self.assertEqual((409, "conflict"), (reply.status, self.error_of(reply)["code"]))


class StreamTests(DeploymentTestCase):
    def whole_text(self):
        """Return the whole answer to the default question, from a run without faults."""
        answer = self.deployment.caller(0).chat(QUESTION, max_tokens=ANSWER_TOKENS)
        self.assertTrue(answer.is_whole)
        return answer.text

    def test_a_stream_that_engines_cut_is_resumed_unseen(self):
        expected = self.whole_text()
        for engine in self.deployment.engines:
            engine.set_faults(cut_after_events=25)
        answer = self.deployment.caller(1).chat(QUESTION, max_tokens=ANSWER_TOKENS)
        self.assertEqual((True, expected), (answer.is_whole, answer.text))

    def test_repeated_and_swapped_events_are_put_right(self):
        expected = self.whole_text()
        for engine in self.deployment.engines:
            engine.set_faults(duplicate_events=True, reorder_events=True)
        answer = self.deployment.caller(1).chat(QUESTION, max_tokens=ANSWER_TOKENS)
        self.assertEqual((True, expected), (answer.is_whole, answer.text))

    def test_a_stream_cut_at_one_entry_is_resumed_at_another_by_its_last_event_id(self):
        answer = self.deployment.caller(0).chat(QUESTION, max_tokens=ANSWER_TOKENS)
        cut_at = answer.event_ids[10]
        rest = self.deployment.caller(1).resume(cut_at)
        self.assertTrue(rest.is_whole)
        self.assertEqual(answer.event_ids[11:], rest.event_ids)
        self.assertTrue(answer.text.endswith(rest.text))

    def test_another_brands_token_does_not_exist(self):
        answer = self.deployment.caller(0).chat(QUESTION, max_tokens=5)
        foreign = self.deployment.caller(0, "association").resume(answer.event_ids[2])
        self.assertEqual((404, "not_found"), (foreign.status, foreign.error["code"]))

    def test_a_forged_token_is_refused(self):
        answer = self.deployment.caller(0).chat(QUESTION, max_tokens=5)
        forged = "A" * 40 + answer.event_ids[2][40:]
        self.assertEqual(400, self.deployment.caller(1).resume(forged).status)

    def test_killed_entry_in_mid_stream_loses_nothing_of_the_answer(self):
        expected = self.whole_text()
        seen = []
        entry = self.deployment.entries[2]

        def kill_midway(answer):
            seen.append(answer)
            if len(answer.event_ids) == 20:
                entry.kill()

        with self.assertRaises(BergamothillError):
            self.deployment.caller(2).chat(QUESTION, max_tokens=ANSWER_TOKENS, on_event=kill_midway)
        part = seen[-1]
        self.assertFalse(part.is_whole)
        rest = self.deployment.caller(0).resume(part.event_ids[-1])
        self.assertEqual((True, expected), (rest.is_whole, part.text + rest.text))


class PlannedStopTests(DeploymentTestCase):
    def test_drain_finishes_streams_and_refuses_late_work_as_not_run(self):
        begun = threading.Event()
        answers = []

        def ask():
            caller = self.deployment.caller(0)
            on_event = lambda answer: begun.set()  # noqa: E731
            answers.append(caller.chat(QUESTION, max_tokens=600, on_event=on_event))

        thread = threading.Thread(target=ask)
        thread.start()
        begun.wait(10)
        command = [sys.executable, "-m", "bergamothill.cli.main", "drain", "--json"]
        command += ["--entry", self.deployment.entries[0].address, "--operator-key", OPERATOR_KEY]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        self.assertEqual(0, done.returncode, done.stderr)
        ready = self.deployment.caller(0).request("GET", "/readyz")
        self.assertEqual(503, ready.status)
        self.wait_refused()
        thread.join()
        self.assertTrue(answers[0].is_whole)
        self.assertEqual(0, self.deployment.entries[0].process.wait(20))

    def wait_refused(self):
        """Send requests until one is rejected; each is either served or rejected as not run."""
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            reply = self.post_chat({"model": "manual", "messages": QUESTION, "max_tokens": 1})
            if reply.status == 503:
                error = self.error_of(reply)
                self.assertEqual(("not_run", "drain"), (error["execution"], error["step"]))
                return
            self.assertEqual(200, reply.status)
        self.fail("new requests were not rejected within 20 s")


class LeavingServerTests(DeploymentTestCase):
    def test_entry_that_slept_through_the_announcement_sends_nothing_to_a_leaving_engine(self):
        paused_entry = self.deployment.entries[1]
        paused_entry.signal(signal.SIGSTOP)
        leaving = self.deployment.engines[0]
        leaving.json("PUT", "/leaving", {"leaving": True})
        wait_until(lambda: self.state_at(0, "engine-0") == "leaving", "entry-0 knows")
        before = len(leaving.json("GET", "/runs"))
        paused_entry.signal(signal.SIGCONT)
        caller = Caller(paused_entry.address, bearer_key("kowhai"))
        for _ in range(10):
            self.assertTrue(caller.chat(QUESTION, max_tokens=1).is_whole)
        self.assertEqual(before, len(leaving.json("GET", "/runs")))

    def state_at(self, entry, server):
        servers = self.deployment.status(entry)["servers"]
        return next(item["state"] for item in servers if item["server"] == server)


class RolloutTests(DeploymentTestCase):
    def test_operators_order_moves_every_engine_and_cuts_no_stream(self):
        self.deployment.weight_store.json("PUT", "/models/manual/versions", ["v1", "v2"])
        answers = []
        caller = self.deployment.caller(0)
        asking = threading.Thread(
            target=lambda: answers.append(caller.chat(QUESTION, max_tokens=200))
        )
        asking.start()
        command = [sys.executable, "-m", "bergamothill.cli.main", "rollout", "start", "manual"]
        command += ["v2", "--kvs", self.deployment.kvs.address]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        self.assertEqual(0, done.returncode, done.stderr)
        wait_until(self.serves_new_version, "requests run on v2")
        asking.join()
        self.assertTrue(answers[0].is_whole)
        wait_until(lambda: all("v2" in versions for versions in self.loaded()), "all have v2")

    def serves_new_version(self):
        answer = self.deployment.caller(1).chat(QUESTION, max_tokens=1)
        self.assertTrue(answer.is_whole, answer.error)
        runs = [run for engine in self.deployment.engines for run in engine.json("GET", "/runs")]
        return any(run["weight_version"] == "v2" for run in runs)

    def loaded(self):
        loads = [engine.json("GET", "/load") for engine in self.deployment.engines]
        return [str(load["state"]["versions"]) for load in loads]
