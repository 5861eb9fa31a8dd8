"""Convicted parts of prompts; merged by union, dropped when long unused; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bergamothill.request.crashevidence import CrashEvidence, PartId
from bergamothill.request.quarantinereport import Verdict

__all__ = ["VerdictSet", "find_verdict"]

IDLE_TTL_MS = 600_000
MAX_VERDICTS = 128

CONVICT_AT = 3
"""Crashed servers that convict a part."""

CONVICT_SOUND_AT = 5
"""Crashed servers that convict a part with which answers succeeded lately."""

MIN_TRIALS = 2
"""Crashed servers on which the part was on trial; others may share one cause, as a zone's."""

MIN_REQUESTS = 2

DISTINCT_AT = 2
"""Crashes under one part but not another that tell the two apart."""


@dataclass(slots=True)
class _Known:
    verdict: frozenset[PartId]
    used_ms: int


class VerdictSet:
    """Verdicts in force at one entry instance."""

    def __init__(self) -> None:
        self._known: dict[frozenset[PartId], _Known] = {}

    def find(self, parts: frozenset[PartId], now_ms: int) -> frozenset[PartId] | None:
        """Return a verdict on a request with these parts, if any, and record its use."""
        for known in self._known.values():
            if known.verdict <= parts and now_ms - known.used_ms <= IDLE_TTL_MS:
                known.used_ms = now_ms
                return known.verdict
        return None

    def add(self, parts: frozenset[PartId], used_ms: int, now_ms: int) -> bool:
        """Add a verdict; return whether it is new.

        :param used_ms: time of the last request with these parts
        """
        self._expire(now_ms)
        known = self._known.get(parts)
        if known is not None:
            known.used_ms = max(known.used_ms, used_ms)
            return False
        is_outdated = now_ms - used_ms > IDLE_TTL_MS
        if is_outdated or not parts or any(verdict < parts for verdict in self._known):
            return False
        for verdict in [verdict for verdict in self._known if parts < verdict]:
            del self._known[verdict]
        if len(self._known) >= MAX_VERDICTS:
            del self._known[min(self._known, key=lambda key: self._known[key].used_ms)]
        self._known[parts] = _Known(parts, used_ms)
        return True

    def parts(self) -> tuple[frozenset[PartId], ...]:
        """Return the parts of each verdict."""
        return tuple(self._known)

    def rows(self, now_ms: int) -> tuple[Verdict, ...]:
        """Return the verdicts for peers and the store."""
        self._expire(now_ms)
        return tuple(
            Verdict(known.verdict, max(0, now_ms - known.used_ms)) for known in self._known.values()
        )

    def _expire(self, now_ms: int) -> None:
        for verdict, known in list(self._known.items()):
            if now_ms - known.used_ms > IDLE_TTL_MS:
                del self._known[verdict]


def find_verdict(
    evidence: CrashEvidence, part: PartId, sound: Iterable[PartId], known_before_ms: int
) -> frozenset[PartId] | None:
    """Return the verdict that the evidence against a part justifies, if any.

    Parts that the crashes do not tell apart are convicted together: a prompt with all of them
    crashes servers, whichever of them is the cause.

    :param sound: parts with which answers succeeded lately, so that they need more evidence
    :param known_before_ms: reports that became known later are not yet counted
    """
    crashes = [c for c in evidence.against(part) if c.known_ms <= known_before_ms]
    servers = {crash.report.server for crash in crashes}
    needed = CONVICT_SOUND_AT if part in sound else CONVICT_AT
    tried_on = {crash.report.server for crash in crashes if part in crash.report.tried}
    requests = {crash.report.request_id or crash.report.run for crash in crashes}
    if len(servers) < needed or len(tried_on) < MIN_TRIALS or len(requests) < MIN_REQUESTS:
        return None
    companions = {other for crash in crashes for other in crash.report.suspects} - {part}
    inseparable = {
        other
        for other in companions
        if (part in sound or other not in sound)
        and len(servers - {c.report.server for c in evidence.against(other)}) < DISTINCT_AT
    }
    return frozenset({part} | inseparable)
