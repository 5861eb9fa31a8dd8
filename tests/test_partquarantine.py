from __future__ import annotations

import itertools
import random
import unittest

from bergamothill.ids import EntryInstanceId, ModelName, RequestId, ServerId
from bergamothill.request.callerrequest import PromptPart
from bergamothill.request.crashevidence import MAX_REPORTS, MAX_SHARED
from bergamothill.request.fingerprint import shared_parts
from bergamothill.request.partquarantine import (
    CONFIRM_MS,
    WELL_BEGUN_MS,
    AwaitTrial,
    PartId,
    PartQuarantine,
    Quarantined,
    RunEnd,
    ServerIncarnation,
    Trial,
    Unsuspected,
)
from bergamothill.request.trialslots import MAX_SETTLE_MS, PEER_TRIAL_TTL_MS, POLL_MS, SETTLE_MS
from bergamothill.request.verdictset import IDLE_TTL_MS

MODEL = ModelName("mend-llm")
START_WALL_MS = 1_700_000_000_000


def prompt(*shared: str) -> tuple[PromptPart, ...]:
    return tuple(PromptPart(name, 10) for name in (*shared, "last"))


def suspects(*shared: str, model: ModelName = MODEL) -> frozenset[PartId]:
    return shared_parts(model, prompt(*shared))


def part_ids(*names: str) -> frozenset[PartId]:
    return frozenset(PartId(MODEL, name) for name in names)


class Fleet:
    """Entry instances that exchange a report after each step; each crash takes a new server."""

    def __init__(self, count: int = 1) -> None:
        self.now_ms = 1_000
        self.entries = [self.new_entry(number) for number in range(count)]
        self.servers = itertools.count(1)
        self.request_ids = itertools.count(1)

    def new_entry(self, number: int) -> PartQuarantine:
        return PartQuarantine(EntryInstanceId(f"entry-{number}"), START_WALL_MS + self.now_ms)

    def server(self, name: str = "") -> ServerIncarnation:
        return ServerIncarnation(ServerId(name or f"s{next(self.servers)}"), START_WALL_MS)

    def exchange(self) -> None:
        for sender, receiver in itertools.permutations(self.entries, 2):
            receiver.merge(sender.report(self.now_ms), self.now_ms)

    def check(self, *shared: str, entry: int = 0):
        return self.entries[entry].check(suspects(*shared), self.now_ms)

    def check_for_trial(self, *shared: str, entry: int = 0):
        """Ask until the verdict is no longer to wait."""
        for _ in range(50):
            verdict = self.check(*shared, entry=entry)
            if not isinstance(verdict, AwaitTrial):
                return verdict
            self.now_ms += verdict.retry_ms
            self.exchange()
        return verdict

    def begin(self, *shared: str, entry=0, trial=None, server=None, request_id=""):
        return self.entries[entry].begin_run(
            RequestId(request_id or f"r{next(self.request_ids)}"),
            server or self.server(),
            suspects(*shared),
            self.now_ms,
            trial=trial,
        )

    def crash(self, *shared: str, entry=0, trial=None, server=None, request_id="") -> None:
        run = self.begin(*shared, entry=entry, trial=trial, server=server, request_id=request_id)
        self.now_ms += 50
        self.entries[entry].end_run(run, RunEnd.CRASHED, self.now_ms)
        self.exchange()

    def answer(self, *shared: str, entry=0, trial=None) -> None:
        run = self.begin(*shared, entry=entry, trial=trial)
        self.now_ms += 50
        self.entries[entry].end_run(run, RunEnd.COMPLETE, self.now_ms)
        self.exchange()

    def crash_in_trial(self, *shared: str, entry=0, server=None, request_id="") -> None:
        trial = self.check_for_trial(*shared, entry=entry)
        assert isinstance(trial, Trial), trial
        self.crash(*shared, entry=entry, trial=trial, server=server, request_id=request_id)

    def convict(self, *shared: str, entry=0) -> None:
        self.crash(*shared, entry=entry)
        self.crash_in_trial(*shared, entry=entry)
        self.crash_in_trial(*shared, entry=entry)
        self.now_ms += CONFIRM_MS
        self.exchange()


class SuspicionTests(unittest.TestCase):
    def test_parts_without_a_crash_are_not_suspected(self) -> None:
        fleet = Fleet()
        self.assertEqual(Unsuspected(), fleet.check("a", "b"))
        self.assertTrue(fleet.entries[0].report(0).is_empty)

    def test_the_last_part_is_never_suspected(self) -> None:
        fleet = Fleet()
        fleet.crash()
        self.assertEqual(Unsuspected(), fleet.check())
        fleet.crash("a")
        self.assertEqual(Unsuspected(), fleet.check("last"))

    def test_parts_of_other_models_are_not_suspected(self) -> None:
        fleet = Fleet()
        fleet.crash("a")
        other = fleet.entries[0].check(suspects("a", model=ModelName("other")), fleet.now_ms)
        self.assertEqual(Unsuspected(), other)

    def test_an_answer_that_went_on_for_long_is_no_evidence(self) -> None:
        fleet = Fleet()
        run = fleet.begin("a")
        fleet.entries[0].record_event(run, fleet.now_ms)
        fleet.now_ms += WELL_BEGUN_MS
        fleet.entries[0].end_run(run, RunEnd.CRASHED, fleet.now_ms)
        self.assertEqual(Unsuspected(), fleet.check("a"))

    def test_an_answer_that_broke_off_after_its_first_event_is_evidence(self) -> None:
        fleet = Fleet()
        run = fleet.begin("a")
        fleet.entries[0].record_event(run, fleet.now_ms)
        fleet.entries[0].end_run(run, RunEnd.CRASHED, fleet.now_ms + WELL_BEGUN_MS - 1)
        self.assertIsInstance(fleet.check("a"), AwaitTrial)

    def test_a_server_that_answers_later_had_not_crashed(self) -> None:
        fleet = Fleet(2)
        server = fleet.server()
        fleet.crash("a", server=server)
        broke_ms = fleet.now_ms
        fleet.entries[1].record_alive(server, broke_ms, broke_ms + 20)
        self.assertIsInstance(fleet.check("a"), AwaitTrial)
        fleet.entries[1].record_alive(server, broke_ms + 1, broke_ms + 20)
        fleet.exchange()
        self.assertEqual(Unsuspected(), fleet.check("a"))

    def test_one_crash_is_no_evidence_against_parts_with_recent_answers(self) -> None:
        fleet = Fleet(2)
        fleet.answer("a", entry=1)
        fleet.crash("a", "b")
        self.assertEqual(Unsuspected(), fleet.check("a"))
        self.assertIsInstance(fleet.check("b"), AwaitTrial)

    def test_servers_that_crash_together_count_once_against_a_sound_part(self) -> None:
        fleet = Fleet()
        fleet.answer("a")
        runs = [fleet.begin("a") for _ in range(8)]
        for run in runs:
            fleet.entries[0].end_run(run, RunEnd.CRASHED, fleet.now_ms)
        self.assertEqual(Unsuspected(), fleet.check("a"))


class TrialTests(unittest.TestCase):
    def test_a_trial_is_announced_before_it_begins(self) -> None:
        fleet = Fleet()
        fleet.crash("a")
        self.assertEqual(AwaitTrial(SETTLE_MS), fleet.check("a"))
        fleet.now_ms += SETTLE_MS
        self.assertEqual(Trial(part_ids("a"), needs_lone_server=False), fleet.check("a"))

    def test_one_trial_at_a_time_over_all_instances(self) -> None:
        fleet = Fleet(3)
        fleet.crash("a")
        verdicts = [fleet.check("a", entry=entry) for entry in range(3)]
        fleet.exchange()
        fleet.now_ms += SETTLE_MS
        verdicts = [fleet.check("a", entry=entry) for entry in range(3)]
        trials = [entry for entry in range(3) if isinstance(verdicts[entry], Trial)]
        self.assertEqual(1, len(trials))
        fleet.begin("a", entry=trials[0], trial=verdicts[trials[0]], server=fleet.server("s1"))
        fleet.exchange()
        for entry in range(3):
            self.assertIsInstance(fleet.check("a", entry=entry), AwaitTrial)
            self.assertEqual({"s1"}, fleet.entries[entry].servers_under_trial(fleet.now_ms))

    def test_the_trial_of_a_silent_peer_expires(self) -> None:
        fleet = Fleet(2)
        fleet.crash("a")
        trial = fleet.check_for_trial("a", entry=1)
        fleet.begin("a", entry=1, trial=trial)
        fleet.exchange()
        fleet.now_ms += SETTLE_MS
        self.assertIsInstance(fleet.check("a"), AwaitTrial)
        fleet.now_ms += PEER_TRIAL_TTL_MS
        fleet.check("a")
        fleet.now_ms += SETTLE_MS
        self.assertIsInstance(fleet.check("a"), Trial)

    def test_an_answer_clears_a_part_at_all_instances(self) -> None:
        fleet = Fleet(2)
        fleet.crash("a", "b")
        fleet.answer("a", trial=fleet.check_for_trial("a"))
        for entry in range(2):
            self.assertEqual(Unsuspected(), fleet.check("a", entry=entry))
            self.assertIsInstance(fleet.check("b", entry=entry), AwaitTrial)

    def test_later_trials_need_a_server_of_their_own(self) -> None:
        fleet = Fleet()
        fleet.crash("a")
        fleet.crash_in_trial("a")
        self.assertEqual(Trial(part_ids("a"), needs_lone_server=True), fleet.check_for_trial("a"))

    def test_two_trials_that_need_servers_of_their_own_do_not_begin_at_the_same_moment(
        self,
    ) -> None:
        fleet = Fleet(2)
        for part in ("a", "b"):
            fleet.crash(part)
            fleet.crash(part)
        for _ in range(MAX_SETTLE_MS // POLL_MS):
            waiting = [fleet.check("a", entry=0), fleet.check("b", entry=1)]
            fleet.exchange()
            if any(isinstance(verdict, Trial) for verdict in waiting):
                break
            fleet.now_ms += POLL_MS
        trials = [entry for entry, verdict in enumerate(waiting) if isinstance(verdict, Trial)]
        self.assertEqual(1, len(trials), waiting)
        first = trials[0]
        fleet.begin("ab"[first], entry=first, trial=waiting[first])
        fleet.exchange()
        self.assertIsInstance(fleet.check("ab"[1 - first], entry=1 - first), Trial)


class VerdictTests(unittest.TestCase):
    def test_crashes_in_trials_convict_at_all_instances(self) -> None:
        fleet = Fleet(2)
        fleet.convict("a")
        for entry in range(2):
            self.assertEqual(Quarantined(part_ids("a")), fleet.check("b", "a", entry=entry))
            subject = fleet.entries[entry]
            self.assertFalse(subject.may_send(suspects("a"), fleet.now_ms))
            self.assertTrue(subject.may_send(suspects("b"), fleet.now_ms))

    def test_no_trial_begins_until_the_crashes_are_confirmed(self) -> None:
        fleet = Fleet()
        fleet.crash("a")
        fleet.crash_in_trial("a")
        fleet.crash_in_trial("a")
        fleet.now_ms += CONFIRM_MS - 1
        self.assertIsInstance(fleet.check("a"), AwaitTrial)
        fleet.now_ms += 1
        self.assertIsInstance(fleet.check("a"), Quarantined)

    def test_crashes_outside_of_trials_do_not_convict(self) -> None:
        fleet = Fleet()
        for _ in range(10):
            fleet.crash("a")
        fleet.now_ms += CONFIRM_MS
        self.assertIsInstance(fleet.check_for_trial("a"), Trial)

    def test_repeats_of_one_request_do_not_convict(self) -> None:
        fleet = Fleet()
        fleet.crash("a", request_id="r")
        for _ in range(4):
            fleet.crash_in_trial("a", request_id="r")
        fleet.now_ms += CONFIRM_MS
        self.assertIsInstance(fleet.check_for_trial("a"), Trial)

    def test_a_part_with_recent_answers_needs_more_crashes(self) -> None:
        fleet = Fleet()
        fleet.answer("a")
        for _ in range(3):
            fleet.now_ms += 1_000
            self.assertEqual(Unsuspected(), fleet.check("a"))
            fleet.crash("a")
        fleet.crash_in_trial("a")
        self.assertIsInstance(fleet.check_for_trial("a"), Trial)
        fleet.crash_in_trial("a")
        fleet.now_ms += CONFIRM_MS
        self.assertIsInstance(fleet.check("a"), Quarantined)

    def test_parts_that_always_come_together_are_convicted_together(self) -> None:
        fleet = Fleet(2)
        fleet.convict("a", "b")
        self.assertEqual(Quarantined(part_ids("a", "b")), fleet.check("a", "b", "c"))
        fleet.answer("a", trial=fleet.check_for_trial("a"))
        self.assertEqual(Unsuspected(), fleet.check("a"))
        self.assertIsInstance(fleet.check_for_trial("b"), Quarantined)

    def test_a_verdict_explains_the_crashes_of_other_parts(self) -> None:
        fleet = Fleet(2)
        server = fleet.server()
        fleet.crash("c", entry=1, server=server)
        self.assertIsInstance(fleet.check("c"), AwaitTrial)
        fleet.crash("a", server=server)
        fleet.crash_in_trial("a")
        fleet.crash_in_trial("a")
        fleet.now_ms += CONFIRM_MS
        self.assertIsInstance(fleet.check("a"), Quarantined)
        self.assertEqual(Unsuspected(), fleet.check("c"))

    def test_a_trial_beside_the_trial_of_another_part_does_not_convict(self) -> None:
        fleet = Fleet(2)
        fleet.crash("a")
        fleet.crash("b")
        for _ in range(2):
            server = fleet.server()
            fleet.crash_in_trial("a", server=server)
            fleet.crash_in_trial("b", server=server, entry=1)
        fleet.now_ms += CONFIRM_MS
        self.assertIsInstance(fleet.check_for_trial("a"), Trial)

    def test_a_trial_beside_the_trial_of_a_prompt_that_has_the_part_too_does_not_convict(
        self,
    ) -> None:
        fleet = Fleet(2)
        fleet.crash("bad", entry=1)
        for _ in range(3):
            server = fleet.server()
            trial = Trial(part_ids("bad"), needs_lone_server=False)
            run = fleet.begin("bad", "a", entry=1, trial=trial, server=server)
            fleet.crash("a", trial=Trial(part_ids("a"), needs_lone_server=True), server=server)
            fleet.entries[1].end_run(run, RunEnd.CRASHED, fleet.now_ms)
            fleet.exchange()
        fleet.now_ms += CONFIRM_MS
        self.assertIsInstance(fleet.check_for_trial("a"), Trial)

    def test_the_verdict_of_an_instance_that_was_cut_off_is_refuted_by_the_others(self) -> None:
        fleet = Fleet()
        cut_off = fleet.entries[0]
        shared_server = fleet.server()
        fleet.crash("sound")
        fleet.crash_in_trial("sound")
        fleet.crash_in_trial("sound", server=shared_server)
        fleet.now_ms += CONFIRM_MS
        self.assertIsInstance(fleet.check("sound"), Quarantined)
        fleet.entries = [fleet.new_entry(1)]
        fleet.crash("bad")
        fleet.crash_in_trial("bad", server=shared_server)
        fleet.entries.append(cut_off)
        fleet.exchange()
        for entry in range(2):
            self.assertIsInstance(fleet.check_for_trial("sound", entry=entry), Trial)
        fleet.crash_in_trial("bad")
        fleet.crash_in_trial("bad")
        fleet.now_ms += CONFIRM_MS
        for entry in range(2):
            self.assertIsInstance(fleet.check("bad", entry=entry), Quarantined)

    def test_verdicts_outlast_a_restart_of_all_instances(self) -> None:
        fleet = Fleet()
        fleet.convict("a")
        stored = fleet.entries[0].to_store(fleet.now_ms)
        fleet.entries = [fleet.new_entry(0)]
        self.assertTrue(fleet.entries[0].add_stored(stored, fleet.now_ms))
        self.assertIsInstance(fleet.check("a"), Quarantined)

    def test_crashes_in_trials_outlast_a_restart_of_all_instances(self) -> None:
        fleet = Fleet()
        fleet.crash("a")
        revision = fleet.entries[0].verdict_revision
        fleet.crash_in_trial("a")
        self.assertGreater(fleet.entries[0].verdict_revision, revision)
        stored = fleet.entries[0].to_store(fleet.now_ms)
        fleet.entries = [fleet.new_entry(0)]
        fleet.entries[0].add_stored(stored, fleet.now_ms)
        fleet.crash_in_trial("a")
        fleet.now_ms += CONFIRM_MS
        self.assertIsInstance(fleet.check("a"), Quarantined)

    def test_crashes_outside_of_trials_outlast_a_restart_of_all_instances(self) -> None:
        fleet = Fleet()
        for _ in range(2):
            revision = fleet.entries[0].verdict_revision
            fleet.crash("a")
            self.assertGreater(fleet.entries[0].verdict_revision, revision)
            stored = fleet.entries[0].to_store(fleet.now_ms)
            fleet.entries = [fleet.new_entry(0)]
            fleet.entries[0].add_stored(stored, fleet.now_ms)
        self.assertEqual(Trial(part_ids("a"), needs_lone_server=True), fleet.check_for_trial("a"))

    def test_cleared_parts_are_no_suspects_after_a_restart_of_all_instances(self) -> None:
        fleet = Fleet()
        fleet.crash("a")
        fleet.crash_in_trial("a")
        before = fleet.entries[0].to_store(fleet.now_ms)
        revision = fleet.entries[0].verdict_revision
        fleet.answer("a", trial=fleet.check_for_trial("a"))
        self.assertGreater(fleet.entries[0].verdict_revision, revision)
        stored = fleet.entries[0].to_store(fleet.now_ms)
        cut_off, fleet.entries[0] = fleet.new_entry(1), fleet.new_entry(0)
        cut_off.add_stored(before, fleet.now_ms)
        cut_off.add_stored(stored, fleet.now_ms)
        fleet.entries[0].add_stored(cut_off.to_store(fleet.now_ms), fleet.now_ms)
        self.assertEqual(Unsuspected(), fleet.check("a"))

    def test_a_crash_that_was_settled_at_once_is_not_stored(self) -> None:
        fleet = Fleet()
        fleet.answer("a")
        fleet.crash("a")
        self.assertEqual((), fleet.entries[0].to_store(fleet.now_ms).crashes)

    def test_a_verdict_lasts_while_requests_come_and_ends_after_long_disuse(self) -> None:
        fleet = Fleet()
        fleet.convict("a")
        for _ in range(3):
            fleet.now_ms += IDLE_TTL_MS - 1_000
            self.assertIsInstance(fleet.check("a"), Quarantined)
        fleet.now_ms += IDLE_TTL_MS + 1
        self.assertEqual(Unsuspected(), fleet.check("a"))


class ReportTests(unittest.TestCase):
    def test_order_and_repetition_of_reports_do_not_matter(self) -> None:
        fleet = Fleet(3)
        reports = []
        for entry, parts in enumerate([("a", "b"), ("a", "c"), ("d",)]):
            fleet.crash(*parts, entry=entry)
            reports.append(fleet.entries[entry].report(fleet.now_ms))
        rng = random.Random(1)
        rows = []
        for number in range(5):
            subject = fleet.new_entry(10 + number)
            shuffled = reports * 2
            rng.shuffle(shuffled)
            for report in shuffled:
                subject.merge(report, fleet.now_ms)
            rows.append([subject.check(suspects(name), fleet.now_ms) for name in "abcde"])
        self.assertTrue(all(row == rows[0] for row in rows))

    def test_the_number_of_reports_is_bounded(self) -> None:
        fleet = Fleet()
        subject = fleet.entries[0]
        for number in range(2 * MAX_REPORTS):
            fleet.crash(f"part{number}")
        self.assertLessEqual(len(subject.report(fleet.now_ms).crashes), MAX_SHARED)
        self.assertLessEqual(len(subject._evidence), MAX_REPORTS)

    def test_evidence_against_a_suspect_outlasts_many_other_crashes(self) -> None:
        fleet = Fleet()
        fleet.crash("a")
        fleet.crash_in_trial("a")
        for number in range(2 * MAX_REPORTS):
            fleet.crash(f"part{number}")
        self.assertEqual(Trial(part_ids("a"), needs_lone_server=True), fleet.check_for_trial("a"))

    def test_peers_pass_on_the_evidence_of_an_instance_that_ended(self) -> None:
        fleet = Fleet(2)
        fleet.crash("a")
        fleet.crash_in_trial("a")
        fleet.entries = [fleet.entries[1], fleet.new_entry(2)]
        fleet.exchange()
        self.assertEqual(
            Trial(part_ids("a"), needs_lone_server=True), fleet.check_for_trial("a", entry=1)
        )


if __name__ == "__main__":
    unittest.main()
