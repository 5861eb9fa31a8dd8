"""Quarantine of parts of requests that crash servers; a state machine without I/O and clock.

A part that crashes each server that runs a request with it is found by the servers that crashed
under it. It may be a part of a prompt, or the request as a whole. Suspected parts run in trials,
one at a time; convicted parts are not forwarded.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from enum import Enum

from bergamothill.ids import EntryInstanceId, RequestId, ServerId
from bergamothill.request.crashevidence import (
    CrashEvidence,
    CrashReport,
    PartId,
    ReportedCrash,
    ReportId,
    RunNumber,
    ServerIncarnation,
)
from bergamothill.request.quarantinereport import QuarantineReport, StoredQuarantine, Verdict
from bergamothill.request.soundparts import SoundParts
from bergamothill.request.trialslots import PeerTrial, TrialSlots
from bergamothill.request.verdictset import (
    CONVICT_AT,
    VerdictSet,
    find_verdict,
    is_sufficient,
)

__all__ = [
    "AwaitTrial",
    "CrashReport",
    "PartId",
    "PartQuarantine",
    "PeerTrial",
    "Quarantined",
    "QuarantineReport",
    "QuarantineVerdict",
    "ReportId",
    "ReportedCrash",
    "RunEnd",
    "RunNumber",
    "ServerIncarnation",
    "StoredQuarantine",
    "Trial",
    "Unsuspected",
    "Verdict",
]

SUSPECT_AT = 1
"""Crashed servers that make a part suspect."""

SUSPECT_SOUND_AT = 3
"""Separate crashes that make a part suspect with which answers succeeded lately."""

LONE_TRIAL_AT = 2
"""Crashed servers from which on a trial needs a server without another one."""

SAME_CAUSE_MS = 500
"""Servers that crash within this time of each other may share a cause, as an outage of a zone."""

CONFIRM_MS = 300
"""Time to learn that a server is alive, before its crash may convict."""

WELL_BEGUN_MS = 200
"""Length of an answer from which on its parts are known to be sound."""

WAIT_FOR_CONFIRMATION_MS = 100


class RunEnd(Enum):
    """How the run of a request at a server ended."""

    COMPLETE = "complete"
    """A whole, successful answer."""

    FAILED = "failed"
    """A whole answer in which the server reports a failure."""

    CRASHED = "crashed"
    """The server closed or reset the connection before the end of the answer."""

    OTHER = "other"


@dataclass(frozen=True, slots=True)
class Unsuspected:
    """The request may be sent like any other."""


@dataclass(frozen=True, slots=True)
class Trial:
    """The request may be sent as the only one with these parts, best to a server without a trial.

    :param parts: suspected parts of the request
    :param needs_lone_server: no server that runs another trial will do
    """

    parts: frozenset[PartId]
    needs_lone_server: bool


@dataclass(frozen=True, slots=True)
class AwaitTrial:
    """The request waits until it may be tried.

    :param retry_ms: time after which to ask again, unless a report of a peer or the end of a run
        comes first; a request that no longer asks loses its turn
    """

    retry_ms: int


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The request is refused.

    :param parts: convicted parts of the request
    """

    parts: frozenset[PartId]


QuarantineVerdict = Unsuspected | Trial | AwaitTrial | Quarantined


@dataclass(slots=True)
class _Run:
    request_id: RequestId
    server: ServerIncarnation
    parts: frozenset[PartId]
    tried: frozenset[PartId]
    began_order: int
    first_event_ms: int | None = None
    is_sound: bool = False


class PartQuarantine:
    """Crash evidence, trials and verdicts as known to one entry instance.

    :param entry: this entry instance
    :param started_wall_ms: wall-clock time of its start
    """

    def __init__(self, entry: EntryInstanceId, started_wall_ms: int) -> None:
        self._entry = entry
        self._sequence_number = started_wall_ms
        self._next_run = started_wall_ms * 1_000
        self._runs: dict[RunNumber, _Run] = {}
        self._sound = SoundParts()
        self._evidence = CrashEvidence(entry)
        self._slots = TrialSlots(entry)
        self._verdicts = VerdictSet()
        self._reviewed_revision: int | None = None
        self.report_revision = 0
        """Increases when peers should get a report at once."""

        self.verdict_revision = 0
        """Increases when the store may have to be written."""

    def check(self, shared: frozenset[PartId], now_ms: int) -> QuarantineVerdict:
        """Return whether a request may be sent.

        :param shared: parts of the request that others may have in common with it
        """
        if not (shared and self._has_anything()):
            return Unsuspected()
        convicted = self._convicted(shared, now_ms)
        if convicted is not None:
            return Quarantined(convicted)
        suspects = self.suspects(shared, now_ms)
        if not suspects:
            return Unsuspected()
        if self._slots.claim(suspects, now_ms):
            self.report_revision += 1
        if self._awaits_confirmation(suspects, shared, now_ms):
            return AwaitTrial(WAIT_FOR_CONFIRMATION_MS)
        crash_count = max(self._crash_count(part) for part in suspects)
        is_lone = crash_count >= LONE_TRIAL_AT
        wait_ms = self._slots.wait_ms(suspects, crash_count, now_ms, needs_lone_server=is_lone)
        return AwaitTrial(wait_ms) if wait_ms else Trial(suspects, is_lone)

    def begin_run(
        self,
        request_id: RequestId,
        server: ServerIncarnation,
        shared: frozenset[PartId],
        now_ms: int,
        *,
        trial: Trial | None,
    ) -> RunNumber:
        """Record that a request is sent to a server.

        To be called without a pause after :meth:`check`.

        :param trial: result of the check, if it was a trial
        """
        number = RunNumber(self._next_run)
        self._next_run += 1
        tried = trial.parts if trial is not None else frozenset()
        self._runs[number] = _Run(request_id, server, shared, tried, self._evidence.order)
        if trial is not None:
            self._slots.begin(number, tried, server.server, now_ms)
            self.report_revision += 1
        return number

    def record_event(self, run: RunNumber, now_ms: int) -> None:
        """Record that an event of the answer arrived."""
        state = self._runs.get(run)
        if state is None or state.is_sound:
            return
        if state.first_event_ms is None:
            state.first_event_ms = now_ms
        elif now_ms - state.first_event_ms >= WELL_BEGUN_MS:
            self._record_sound(run, state, now_ms)

    def end_run(self, run: RunNumber, end: RunEnd, now_ms: int) -> None:
        """Record the end of a run."""
        state = self._runs.pop(run, None)
        if state is None:
            return
        if end is RunEnd.COMPLETE and not state.is_sound:
            self._record_sound(run, state, now_ms)
        elif end is RunEnd.FAILED:
            self._clear_parts(state, [part for part in state.parts if part.is_request], now_ms)
        has_changed = self._slots.end(run)
        if end is RunEnd.CRASHED and state.parts and not _is_well_begun(state, now_ms):
            has_changed |= self._add_crash(run, state, now_ms)
        self.report_revision += has_changed

    def record_alive(self, server: ServerIncarnation, sent_ms: int, now_ms: int) -> None:
        """Record that a server answered a request.

        :param sent_ms: time at which the request was sent
        """
        if self._evidence.void(server, sent_ms, now_ms):
            self.report_revision += 1
            self.verdict_revision += 1

    def suspects(self, shared: frozenset[PartId], now_ms: int) -> frozenset[PartId]:
        """Return the parts of a request that are under suspicion."""
        return frozenset(part for part in shared if self._is_suspect(part, now_ms))

    def servers_under_trial(self, now_ms: int) -> frozenset[ServerId]:
        """Return the servers that run a trial of any entry instance."""
        return self._slots.servers(now_ms)

    def may_send(self, shared: frozenset[PartId], now_ms: int) -> bool:
        """Return False if the parts have been convicted."""
        return not (shared and self._has_anything()) or self._convicted(shared, now_ms) is None

    def merge(self, report: QuarantineReport, now_ms: int) -> bool:
        """Merge the report of a peer; return whether waiting requests should ask again."""
        if report.entry == self._entry:
            return False
        is_new = self._slots.set_peer(report.entry, report.sequence_number, report.trials, now_ms)
        for row in report.crashes:
            if self._evidence.merge(row, now_ms):
                is_new = True
                self._mark_sound_parts(row, now_ms)
        return self._merge_verdicts(report.verdicts, now_ms) or is_new

    def _mark_sound_parts(self, row: ReportedCrash, now_ms: int) -> None:
        for part in row.report.suspects:
            if self._sound.contains(part, now_ms):
                self.report_revision += self._evidence.mark_sound(part, now_ms)

    def report(self, now_ms: int) -> QuarantineReport:
        """Return a snapshot for the peers."""
        self._review_verdicts(now_ms)
        self._convict(now_ms)
        self._sequence_number += 1
        return QuarantineReport(
            self._entry,
            self._sequence_number,
            self._evidence.rows(now_ms),
            self._slots.own(now_ms),
            self._verdicts.rows(now_ms),
        )

    def verdicts(self, now_ms: int) -> tuple[Verdict, ...]:
        """Return the verdicts in force."""
        self._review_verdicts(now_ms)
        self._convict(now_ms)
        return self._verdicts.rows(now_ms)

    def to_store(self, now_ms: int) -> StoredQuarantine:
        """Return the verdicts in force and the crashes for the store."""
        return StoredQuarantine(self.verdicts(now_ms), self._evidence.rows_to_store(now_ms))

    def add_stored(self, stored: StoredQuarantine, now_ms: int) -> bool:
        """Add what was read from the store; return whether it tells something new."""
        revision = self.verdict_revision
        merged = [self._evidence.merge_stored(row, now_ms) for row in stored.crashes]
        is_new = self._merge_verdicts(stored.verdicts, now_ms) or any(merged)
        for row in stored.crashes:
            self._mark_sound_parts(row, now_ms)
        self.verdict_revision = revision
        return is_new

    def _has_anything(self) -> bool:
        return len(self._evidence) > 0 or len(self._verdicts) > 0

    def _merge_verdicts(self, verdicts: Iterable[Verdict], now_ms: int) -> bool:
        added = [self._add_verdict(verdict, now_ms) for verdict in verdicts]
        return any(added)

    def _add_verdict(self, verdict: Verdict, now_ms: int) -> bool:
        """Add a verdict and its reports; return whether either is new."""
        merged = [
            self._evidence.merge(ReportedCrash(report, age_ms=0), now_ms)
            for report in verdict.reports
        ]
        is_justified = (
            not verdict.reports
            or self._verdicts.knows(verdict.parts)
            or any(
                is_sufficient(self._evidence, part, self._is_sound_at(now_ms))
                for part in verdict.parts
            )
        )
        if not (is_justified and self._verdicts.add(verdict, now_ms)):
            return any(merged)
        self._reviewed_revision = None
        self.report_revision += 1
        self.verdict_revision += 1
        return True

    def _review_verdicts(self, now_ms: int) -> None:
        """Compare the verdicts with the evidence if that has changed."""
        self._evidence.expire(now_ms)
        if self._reviewed_revision != self._evidence.revision:
            self._reviewed_revision = self._evidence.revision
            self._verdicts.review(self._evidence, self._is_sound_at(now_ms), now_ms)
            self._evidence.explain_by(self._verdicts.in_force())

    def _convicted(self, shared: frozenset[PartId], now_ms: int) -> frozenset[PartId] | None:
        """Return the verdict on a request, after adding any that the evidence justifies by now."""
        self._review_verdicts(now_ms)
        known = self._verdicts.find(shared, now_ms)
        if known is not None:
            return known
        if any(self._justified(part, now_ms, now_ms - CONFIRM_MS) for part in shared):
            self._convict(now_ms)
        return self._verdicts.find(shared, now_ms)

    def _convict(self, now_ms: int) -> None:
        """Reach verdicts on the parts with most crashes first; they may explain those of others."""
        parts = [
            part
            for part in self._evidence.parts(min_reports=CONVICT_AT)
            if self._crash_count(part) >= CONVICT_AT
        ]
        parts.sort(key=lambda part: (-self._crash_count(part), part))
        for part in parts:
            verdict = self._justified(part, now_ms, now_ms - CONFIRM_MS)
            if verdict is not None:
                self._add_verdict(verdict, now_ms)
                self._review_verdicts(now_ms)

    def _justified(self, part: PartId, now_ms: int, known_before_ms: int) -> Verdict | None:
        if self._crash_count(part) < CONVICT_AT:
            return None
        return find_verdict(self._evidence, part, self._is_sound_at(now_ms), known_before_ms)

    def _awaits_confirmation(
        self, suspects: frozenset[PartId], shared: frozenset[PartId], now_ms: int
    ) -> bool:
        verdicts = (self._justified(part, now_ms, now_ms) for part in suspects)
        return any(verdict is not None and verdict.parts <= shared for verdict in verdicts)

    def _is_sound_at(self, now_ms: int) -> Callable[[PartId], bool]:
        return lambda part: self._is_sound(part, now_ms)

    def _is_sound(self, part: PartId, now_ms: int) -> bool:
        return self._sound.contains(part, now_ms) or self._evidence.is_known_sound(part)

    def _is_suspect(self, part: PartId, now_ms: int) -> bool:
        if not self._evidence.against(part):
            return False
        if not self._is_sound(part, now_ms):
            return self._crash_count(part) >= SUSPECT_AT
        return self._separate_crash_count(part) >= SUSPECT_SOUND_AT

    def _crash_count(self, part: PartId) -> int:
        return len(self._evidence.servers_against(part))

    def _separate_crash_count(self, part: PartId) -> int:
        count, first_ms = 0, None
        for broke_ms in sorted(crash.broke_ms for crash in self._evidence.against(part)):
            if first_ms is None or broke_ms - first_ms > SAME_CAUSE_MS:
                count += 1
                first_ms = broke_ms
        return count

    def _add_crash(self, run: RunNumber, state: _Run, now_ms: int) -> bool:
        known_sound = {part for part in state.parts if self._sound.contains(part, now_ms)}
        report_id = ReportId(self._entry, run)
        report = CrashReport(report_id, state.request_id, state.server, state.parts, state.tried)
        is_new = self._evidence.add(report, known_sound, now_ms)
        self.verdict_revision += is_new
        return is_new

    def _record_sound(self, run: RunNumber, state: _Run, now_ms: int) -> None:
        state.is_sound = True
        self.report_revision += self._slots.end(run)
        self._clear_parts(state, state.parts, now_ms)

    def _clear_parts(self, state: _Run, parts: Collection[PartId], now_ms: int) -> None:
        """Record that a server ran a request with these parts and did not crash."""
        has_changed = False
        for part in parts:
            self._sound.record(part, now_ms)
            has_changed |= self._evidence.mark_sound(part, now_ms)
            has_changed |= self._evidence.clear(part, state.began_order, now_ms)
        self.report_revision += has_changed
        self.verdict_revision += has_changed


def _is_well_begun(state: _Run, now_ms: int) -> bool:
    first_ms = state.first_event_ms
    return state.is_sound or (first_ms is not None and now_ms - first_ms >= WELL_BEGUN_MS)
