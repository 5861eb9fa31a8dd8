"""Tests of the rule that the soak of stops applies, and a short soak."""

import unittest
from dataclasses import replace

from scripts.callerload import CallerHabit, CallerRecord, Ending
from scripts.drainsoak import Stop, StopJudge, Verdict, run_soak
from scripts.platformfleet import KOWHAI_MEND, LONG_LIMITS

STOP = Stop("n1", signalled_ms=100_000, exited_ms=107_500, was_killed=False)


def record(request="r1", **changes):
    values = {"sent_ms": 101_000, "ended_ms": 107_300, "ending": Ending.CLOSED, **changes}
    return CallerRecord(request, KOWHAI_MEND.kinds[0], CallerHabit.KEEPS, "n1", **values)


def at_server(ended_ms):
    return {"begun_ms": 101_010, "ended_ms": ended_ms, "outcome": "left"}


class StopJudgeTest(unittest.TestCase):
    def verdicts(self, *records, seen=None):
        findings = StopJudge(8_000).findings(list(records), [STOP], seen or {})
        return [finding.verdict for finding in findings]

    def test_whole_answers_and_ends_outside_the_stop_are_no_findings(self):
        self.assertEqual([], self.verdicts(record(ending=Ending.WHOLE)))
        self.assertEqual([], self.verdicts(record(ended_ms=99_999)))
        self.assertEqual([], self.verdicts(record(ended_ms=109_001)))

    def test_a_request_that_was_not_wholly_sent_is_no_finding(self):
        self.assertEqual([], self.verdicts(record(sent_ms=0.0)))

    def test_a_cut_is_allowed_while_the_server_works_in_the_last_sixth(self):
        for ended_ms, verdict in ((106_700, Verdict.CUT_AT_END), (106_600, Verdict.VIOLATION)):
            with self.subTest(ended_ms=ended_ms):
                self.assertEqual(
                    [verdict], self.verdicts(record(), seen={"r1": at_server(ended_ms)})
                )

    def test_a_cut_of_a_request_sent_after_three_seconds_is_a_violation(self):
        late = record(sent_ms=103_001)
        self.assertEqual([Verdict.VIOLATION], self.verdicts(late, seen={"r1": at_server(107_300)}))

    def test_a_stream_may_end_at_its_time_limit(self):
        for ended_ms, verdict in ((102_000, Verdict.TIMED_OUT), (101_999, Verdict.VIOLATION)):
            with self.subTest(ended_ms=ended_ms):
                stream = record(sent_ms=90_000, ended_ms=ended_ms)
                self.assertEqual([verdict], self.verdicts(stream, seen={"r1": at_server(ended_ms)}))

    def test_a_request_that_crosses_the_close_is_allowed_for_the_slack(self):
        self.assertEqual([Verdict.CROSSED], self.verdicts(record(sent_ms=107_100)))
        self.assertEqual([Verdict.VIOLATION], self.verdicts(record(sent_ms=107_099)))

    def test_a_request_behind_a_stream_is_allowed_if_the_cut_is(self):
        first = record("r1")
        behind = record("r2", behind=first)
        allowed = self.verdicts(first, behind, seen={"r1": at_server(107_300)})
        self.assertEqual([Verdict.CUT_AT_END, Verdict.BEHIND_CUT], allowed)
        early = self.verdicts(first, behind, seen={"r1": at_server(102_000)})
        self.assertEqual([Verdict.VIOLATION, Verdict.VIOLATION], early)

    def test_a_request_that_ends_after_a_pause_of_its_instance_is_told_apart(self):
        stop = replace(STOP, paused_ms=105_000.0)
        for ended_ms, verdict in ((105_000, Verdict.PAUSED), (104_999, Verdict.VIOLATION)):
            with self.subTest(ended_ms=ended_ms):
                found = StopJudge(8_000).findings([record(ended_ms=ended_ms)], [stop], {})
                self.assertEqual([verdict], [finding.verdict for finding in found])

    def test_a_caller_that_reads_after_the_exit_is_judged_by_the_exit(self):
        late = record(sent_ms=104_000, ended_ms=111_000, unread_ms=4_000)
        self.assertEqual([Verdict.VIOLATION], self.verdicts(late, seen={"r1": at_server(104_500)}))


class SoakTest(unittest.TestCase):
    def test_stops_beside_disturbances_lose_no_request_and_no_line(self):
        for shape, seed in ((KOWHAI_MEND, 12), (LONG_LIMITS, 7)):
            with self.subTest(seed=seed):
                result = run_soak(shape, seed, rounds=1, callers_per_habit=2)
                self.assertEqual([], [str(finding) for finding in result.violations])
                self.assertEqual([], result.unlogged)
                self.assertTrue(result.soak.stops)
