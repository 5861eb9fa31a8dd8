"""Tests of prompt parts that crash servers in ways that hide it."""

import unittest

from bergamothill.request.crashevidence import SETTLED_SHARE_MS, WHOLE_REQUEST
from bergamothill.request.partquarantine import (
    AwaitTrial,
    PartId,
    PartQuarantine,
    Quarantined,
    RunEnd,
    ServerIncarnation,
    Trial,
    Unsuspected,
)
from bergamothill.request.soundparts import MAX_PARTS

MODEL = "llm"


def _parts(model, *names):
    return frozenset(PartId(model, name) for name in names)


def _shared(fingerprint, names):
    return _parts(MODEL, *names) | _parts(WHOLE_REQUEST, fingerprint)


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


class WholeRequests:
    """Requests that are recorded as a whole, beside any parts of their prompts."""

    def __init__(self):
        self.quarantine = PartQuarantine("entry", 1)
        self.now_ms = 1_000
        self.servers = 0

    def check(self, fingerprint, *names):
        """Return the verdict on a request after any wait."""
        for _ in range(20):
            verdict = self.quarantine.check(_shared(fingerprint, names), self.now_ms)
            if not isinstance(verdict, AwaitTrial):
                break
            self.now_ms += verdict.retry_ms
        return verdict

    def run(self, fingerprint, *names, end=RunEnd.CRASHED, request_id=""):
        """Send a request, after any wait, and end it; return what it was sent as."""
        shared = _shared(fingerprint, names)
        verdict = self.check(fingerprint, *names)
        if isinstance(verdict, Quarantined):
            return verdict
        self.servers += 1
        trial = verdict if isinstance(verdict, Trial) else None
        server = ServerIncarnation(f"s{self.servers}", 1)
        request_id = request_id or f"r{self.servers}"
        run = self.quarantine.begin_run(request_id, server, shared, self.now_ms, trial=trial)
        self.now_ms += 80
        self.quarantine.end_run(run, end, self.now_ms)
        self.now_ms += 400
        return verdict


class WholeRequestTest(unittest.TestCase):
    def setUp(self):
        self.requests = WholeRequests()

    def test_a_request_that_comes_again_is_convicted_by_its_third_crash(self):
        for _ in range(3):
            self.assertNotIsInstance(self.requests.run("bad"), Quarantined)
        self.assertEqual(Quarantined(_parts(WHOLE_REQUEST, "bad")), self.requests.run("bad"))
        self.assertIsInstance(self.requests.run("other"), Unsuspected)

    def test_attempts_of_one_request_alone_do_not_convict_it(self):
        for _ in range(5):
            self.requests.run("bad", request_id="r")
        self.assertIsInstance(self.requests.run("bad"), Trial)

    def test_an_answer_clears_a_request_also_if_it_reports_a_failure(self):
        for end in (RunEnd.COMPLETE, RunEnd.FAILED):
            self.requests.run(end.value)
            self.assertIsInstance(self.requests.run(end.value, end=end), Trial)
            self.assertIsInstance(self.requests.run(end.value), Unsuspected)

    def test_a_failure_that_a_server_reports_clears_no_part_of_a_prompt(self):
        self.requests.run("r1", "part")
        self.requests.run("r2", "part", end=RunEnd.FAILED)
        self.assertIsInstance(self.requests.run("r3", "part"), Trial)

    def test_a_part_is_convicted_alone_although_each_request_with_it_is_repeated(self):
        for number in range(2):
            for _ in range(2):
                self.requests.run(f"r{number}", "part", request_id=f"r{number}")
        self.assertEqual(Quarantined(_parts(MODEL, "part")), self.requests.run("r9", "part"))

    def test_repeats_of_a_request_that_crashes_as_a_whole_do_not_convict_its_parts(self):
        self.requests.run("other", "part")
        for request_id in ("r", "r", "r", "again"):
            self.requests.run("bad", "part", request_id=request_id)
            self.assertNotIsInstance(self.requests.check("new", "part"), Quarantined)
        bad = _parts(WHOLE_REQUEST, "bad")
        self.assertLessEqual(bad, self.requests.run("bad", "part").parts)
        self.assertIsInstance(self.requests.run("new", "part"), Trial | Unsuspected)

    def test_a_request_whose_prompt_has_a_sound_part_is_convicted_as_a_whole(self):
        self.requests.run("r0", "part", end=RunEnd.COMPLETE)
        for _ in range(3):
            self.requests.run("bad", "part")
        self.assertEqual(Quarantined(_parts(WHOLE_REQUEST, "bad")), self.requests.run("bad"))
        self.assertIsInstance(self.requests.run("r1", "part"), Unsuspected)

    def test_many_requests_that_broke_off_once_are_told_to_peers_for_a_bounded_time(self):
        for number in range(20):
            self.requests.run(f"r{number}")
        now_ms = self.requests.now_ms + SETTLED_SHARE_MS
        self.assertEqual((), self.requests.quarantine.report(now_ms).crashes)

    def test_many_different_requests_displace_no_sound_part(self):
        self.requests.run("r", "part", end=RunEnd.COMPLETE)
        answered_ms = self.requests.now_ms
        for number in range(MAX_PARTS + 1):
            self.requests.run(f"r{number}", end=RunEnd.COMPLETE)
            self.requests.now_ms = answered_ms
        self.requests.run("r", "part")
        self.assertIsInstance(self.requests.run("new", "part"), Unsuspected)


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
