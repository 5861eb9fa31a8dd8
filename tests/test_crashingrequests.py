"""Tests of prompt parts that crash servers in ways that hide it."""

import unittest

from bergamothill.request.partquarantine import (
    AwaitTrial,
    PartId,
    PartQuarantine,
    RunEnd,
    ServerIncarnation,
    Trial,
    Unsuspected,
)

MODEL = "llm"


def _parts(model, *names):
    return frozenset(PartId(model, name) for name in names)


class CrashingRequests:
    """Requests with one part that crashes each server it is sent to."""

    def __init__(self, quarantine):
        self.quarantine = quarantine
        self.now_ms = 1_000
        self.sent = 0

    def send(self, server, *, model=MODEL, companions=()):
        """Send one request, after any wait; return whether it was sent."""
        quarantine = self.quarantine
        parts = _parts(model, *companions, "part")
        for _ in range(20):
            verdict = quarantine.check(parts, self.now_ms)
            if not isinstance(verdict, AwaitTrial):
                break
            self.now_ms += verdict.retry_ms
        if not isinstance(verdict, Trial | Unsuspected):
            return False
        trial = verdict if isinstance(verdict, Trial) else None
        run = quarantine.begin_run(f"r{self.now_ms}", server, parts, self.now_ms, trial=trial)
        self.now_ms += 80
        quarantine.end_run(run, RunEnd.CRASHED, self.now_ms)
        self.sent += 1
        return True


class CrashingRequestsTest(unittest.TestCase):
    def test_answer_of_a_process_restarted_under_the_same_id_voids_no_crash(self):
        requests = CrashingRequests(PartQuarantine("entry", 1))
        for number in range(20):
            server = ServerIncarnation(f"s{number % 5}", number // 5)
            if requests.send(server):
                # Sent with the list that still names the earlier process.
                sent_ms = requests.now_ms + 2_000
                requests.quarantine.record_alive(server, sent_ms, sent_ms + 10)
            requests.now_ms += 3_000
        self.assertLessEqual(requests.sent, 5)

    def test_rapid_crashes_convict_a_part_that_was_sound(self):
        quarantine = PartQuarantine("entry", 1)
        server = ServerIncarnation("s", 1)
        run = quarantine.begin_run("r", server, _parts(MODEL, "part"), 500, trial=None)
        quarantine.end_run(run, RunEnd.COMPLETE, 600)
        requests = CrashingRequests(quarantine)
        for number in range(40):
            requests.send(ServerIncarnation(f"s{number}", 1))
            requests.now_ms += 320
        self.assertLessEqual(requests.sent, 8)

    def test_crash_of_a_prompt_with_many_parts_does_not_hide_other_reports(self):
        requests = CrashingRequests(PartQuarantine("entry", 1))
        for number in range(2):
            companions = tuple(f"{part:012x}" for part in range(500))
            requests.send(ServerIncarnation(f"s{number}", 1), companions=companions)
            requests.now_ms += 1_000
        requests.send(ServerIncarnation("s9", 1), model="other")
        self.assertTrue(requests.quarantine.report(requests.now_ms).crashes)
