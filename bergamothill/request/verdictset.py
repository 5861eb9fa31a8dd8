"""Convicted parts of prompts; merged by union, dropped when long unused; no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from bergamothill.ids import RequestId
from bergamothill.request.crashevidence import (
    Crash,
    CrashEvidence,
    CrashReport,
    PartId,
    ReportId,
    ServerIncarnation,
)
from bergamothill.request.quarantinereport import Verdict

__all__ = ["CONVICT_AT", "VerdictSet", "find_verdict", "is_sufficient"]

IDLE_TTL_MS = 600_000
MAX_VERDICTS = 128
MAX_REPORTS_NAMED = 8

CONVICT_AT = 3
"""Crashed servers that convict a part."""

CONVICT_SOUND_AT = 5
"""Crashed servers that convict a part with which answers succeeded lately."""

MIN_TRIALS = 2
"""Crashed servers on which the part was on trial; others may share one cause, as a zone's.

To convict a part alone, none of these requests may have another suspect of several crashes.
"""

MIN_REQUESTS = 2
"""Requests that convict; of a part of a prompt they have to be trials.

Those of one request alone may have crashed because of the request as a whole.
"""

LIKELY_CAUSE_AT = 2
"""Crashes of a suspect that may be the cause of those of its companions."""

IsSound = Callable[[PartId], bool]


@dataclass(slots=True)
class _Known:
    used_ms: int
    reports: frozenset[CrashReport]
    in_force: bool = True


class VerdictSet:
    """Verdicts known to one entry instance."""

    def __init__(self) -> None:
        self._known: dict[frozenset[PartId], _Known] = {}

    def __len__(self) -> int:
        """Return the number of verdicts, in force or not."""
        return len(self._known)

    def find(self, parts: frozenset[PartId], now_ms: int) -> frozenset[PartId] | None:
        """Return a verdict in force on a request with these parts, if any; record its use."""
        for verdict, known in self._known.items():
            is_recent = now_ms - known.used_ms <= IDLE_TTL_MS
            if verdict <= parts and known.in_force and is_recent:
                known.used_ms = now_ms
                return verdict
        return None

    def add(self, verdict: Verdict, now_ms: int) -> bool:
        """Add a verdict; return whether it is new."""
        self._expire(now_ms)
        used_ms = now_ms - max(0, verdict.idle_ms)
        known = self._known.get(verdict.parts)
        if known is not None:
            if known.in_force:
                known.used_ms = max(known.used_ms, used_ms)
            return False
        if not verdict.parts or now_ms - used_ms > IDLE_TTL_MS:
            return False
        if len(self._known) >= MAX_VERDICTS:
            del self._known[min(self._known, key=lambda key: self._known[key].used_ms)]
        self._known[verdict.parts] = _Known(used_ms, verdict.reports)
        return True

    def knows(self, parts: frozenset[PartId]) -> bool:
        """Return whether there is a verdict on exactly these parts, in force or not."""
        return parts in self._known

    def review(self, evidence: CrashEvidence, is_sound: IsSound, now_ms: int) -> None:
        """Put verdicts in force, or out of it if what else is known refutes their reports."""
        for verdict, known in self._known.items():
            if known.reports and evidence.knows(known.reports):
                known.in_force = any(is_sufficient(evidence, part, is_sound) for part in verdict)

    def in_force(self) -> tuple[frozenset[PartId], ...]:
        """Return the parts of each verdict in force."""
        return tuple(verdict for verdict, known in self._known.items() if known.in_force)

    def rows(self, now_ms: int) -> tuple[Verdict, ...]:
        """Return the verdicts in force, for peers and the store."""
        self._expire(now_ms)
        return tuple(
            Verdict(verdict, max(0, now_ms - known.used_ms), known.reports)
            for verdict, known in self._known.items()
            if known.in_force
        )

    def _expire(self, now_ms: int) -> None:
        for verdict, known in list(self._known.items()):
            if now_ms - known.used_ms > IDLE_TTL_MS:
                del self._known[verdict]


def find_verdict(
    evidence: CrashEvidence, part: PartId, is_sound: IsSound, known_before_ms: int
) -> Verdict | None:
    """Return the verdict that the evidence against a part justifies, if any.

    Parts that the crashes do not tell apart are convicted together: a prompt with all of them
    crashes servers, whichever of them is the cause.

    :param is_sound: whether an answer with a part succeeded lately; it then needs more evidence
    :param known_before_ms: reports that became known later are not yet counted
    """
    crashes = [crash for crash in evidence.against(part) if crash.known_ms <= known_before_ms]
    part_is_sound = is_sound(part)
    if not _is_sufficient(evidence, crashes, part, part_is_sound):
        return None
    companions = {
        other
        for crash in crashes
        for other in crash.report.suspects - {part}
        if (part_is_sound or not is_sound(other)) and _is_likely_cause(evidence, other)
    }
    alone = [crash for crash in crashes if companions.isdisjoint(crash.report.suspects)]
    if _has_trials(evidence, alone, part):
        return Verdict(frozenset({part}), 0, _strongest_reports(evidence, crashes, part))
    joint = max((_with(crashes, other) for other in sorted(companions)), key=_server_count)
    if not _is_sufficient(evidence, joint, part, part_is_sound):
        return None
    inseparable = {
        other
        for other in companions
        if len(_servers(joint) - _servers(_with(joint, other))) < LIKELY_CAUSE_AT
    }
    return Verdict(frozenset({part} | inseparable), 0, _strongest_reports(evidence, joint, part))


def _is_likely_cause(evidence: CrashEvidence, part: PartId) -> bool:
    if len(evidence.servers_against(part)) < LIKELY_CAUSE_AT:
        return False
    # All attempts of a request have it as a whole in common, whatever the cause.
    return not part.is_request or _request_count(evidence.against(part)) >= MIN_REQUESTS


def is_sufficient(evidence: CrashEvidence, part: PartId, is_sound: IsSound) -> bool:
    """Return whether the evidence against a part justifies a verdict, with all that is known."""
    return _is_sufficient(evidence, evidence.all_against(part), part, is_sound(part))


def _is_sufficient(
    evidence: CrashEvidence, crashes: Sequence[Crash], part: PartId, is_sound: bool
) -> bool:
    needed = CONVICT_SOUND_AT if is_sound else CONVICT_AT
    if len(crashes) < needed or len(_servers(crashes)) < needed:
        return False
    return _request_count(crashes) >= MIN_REQUESTS and _has_trials(evidence, crashes, part)


def _request_count(crashes: Iterable[Crash]) -> int:
    return len({_request_key(crash.report) for crash in crashes})


def _has_trials(evidence: CrashEvidence, crashes: Iterable[Crash], part: PartId) -> bool:
    """Return whether enough servers crashed under trials of the part and of no other.

    A part of a prompt needs two requests for this, none of which was on all of these servers.
    """
    trials = [crash for crash in crashes if evidence.is_clean_trial(crash, part)]
    servers = _servers(trials)
    if len(servers) < MIN_TRIALS:
        return False
    servers_of: dict[RequestId | ReportId, set[ServerIncarnation]] = {}
    for crash in trials:
        servers_of.setdefault(_request_key(crash.report), set()).add(crash.report.server)
    return part.is_request or servers not in servers_of.values()


def _strongest_reports(
    evidence: CrashEvidence, crashes: Sequence[Crash], part: PartId
) -> frozenset[CrashReport]:
    """Return enough of the reports to justify the verdict elsewhere: one a server, trials first."""
    by_server: dict[ServerIncarnation, CrashReport] = {}
    ranked = sorted(crashes, key=lambda c: (not evidence.is_clean_trial(c, part), c.broke_ms))
    for crash in ranked:
        by_server.setdefault(crash.report.server, crash.report)
    named = list(by_server.values())[:MAX_REPORTS_NAMED]
    requests = {_request_key(report) for report in named}
    others = [c.report for c in ranked if _request_key(c.report) not in requests]
    if len(requests) < MIN_REQUESTS and others:
        named[-1] = others[0]
    return frozenset(named)


def _request_key(report: CrashReport) -> RequestId | ReportId:
    return report.request_id or report.report_id


def _with(crashes: Iterable[Crash], part: PartId) -> list[Crash]:
    return [crash for crash in crashes if part in crash.report.suspects]


def _server_count(crashes: Iterable[Crash]) -> int:
    return len(_servers(crashes))


def _servers(crashes: Iterable[Crash]) -> set[ServerIncarnation]:
    return {crash.report.server for crash in crashes}
