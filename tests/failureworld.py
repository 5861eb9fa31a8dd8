"""Test case with a small deployment of real processes, for tests that make them fail."""

import signal
import threading
import unittest

from scripts.deployment import Deployment, DeploymentShape
from scripts.processes import ProcessGroup

QUESTION = [{"role": "user", "content": "Which quills fit a 1975 jack?"}]
ANSWER_TOKENS = 60
ENGINE_OPTIONS = ("--decode-ms", "15", "--answer-tokens", "400")
SILENT_CONNECTIONS = 600
RECEIVE_BUFFER_BYTES = 4_096


def long_prompt(name, blocks):
    """Return a prompt of that many whole blocks and a partial one, distinct for each name."""
    return [{"role": "user", "content": f"{name} " + "x" * (blocks * 8_192)}]


class FailureTestCase(unittest.TestCase):
    """Starts one small deployment that all tests of a class share."""

    shape = DeploymentShape(
        zones=1,
        entries=2,
        engines=2,
        stores=0,
        engine_options=ENGINE_OPTIONS,
        drain_notice_ms=0,
        idle_timeout_ms=1_000,
    )

    @classmethod
    def setUpClass(cls):
        group = ProcessGroup()
        cls.addClassCleanup(group.__exit__)
        cls.deployment = Deployment.start(group, cls.shape)

    def tearDown(self):
        deployment = self.deployment
        members = (*deployment.engines, *deployment.stores, deployment.kvs, deployment.booking)
        for member in (*members, deployment.instance_list):
            if member.process.poll() is None:
                member.signal(signal.SIGCONT)
                member.set_faults()
        deployment.wait_engines_known()

    def ask(self, entry=0, *, messages=QUESTION, max_tokens=ANSWER_TOKENS, on_event=None):
        caller = self.deployment.caller(entry)
        return caller.chat(messages, max_tokens=max_tokens, on_event=on_event)

    def ask_in_thread(self, answers, **options):
        thread = threading.Thread(target=lambda: answers.append(self.ask(**options)))
        thread.start()
        self.addCleanup(thread.join)
        return thread

    def expected_text(self):
        """Return the whole answer to the default question, from a run without faults."""
        answer = self.ask()
        self.assertTrue(answer.is_whole, answer.error)
        return answer.text

    def set_engine_faults(self, **faults):
        for engine in self.deployment.engines:
            engine.set_faults(**faults)

    def runs(self):
        """Return the runs that the live engines recorded."""
        live_engines = [
            engine for engine in self.deployment.engines if engine.process.poll() is None
        ]
        return [run for engine in live_engines for run in engine.json("GET", "/runs")]

    def running_engine(self, counts):
        """Return an engine that started a run since the counts were taken, or ``None``."""
        started = (
            engine
            for engine, count in zip(self.deployment.engines, counts, strict=True)
            if len(engine.json("GET", "/runs")) > count
        )
        return next(started, None)

    def run_counts(self):
        return [len(engine.json("GET", "/runs")) for engine in self.deployment.engines]

    def ran(self, error):
        return any(run["request_id"] == error["request_id"] for run in self.runs())

    def assert_true_refusal(self, error):
        """Check that an error says ``not_run`` only if no engine recorded the run."""
        self.assertIn(error["execution"], ("not_run", "unknown"))
        if self.ran(error):
            self.assertEqual("unknown", error["execution"])

    def assert_broken(self, answer, expected):
        """Check that the answer ended in a typed error after a prefix of the expected text."""
        self.assertFalse(answer.is_whole)
        self.assertTrue(expected.startswith(answer.text))
        self.assertEqual(("stream_broken", "unknown"), (answer.error["code"], self.told(answer)))

    def told(self, answer):
        return answer.error["execution"]
