"""Reports of requests that broke off, as evidence against parts of them; no I/O.

What is known of a report only grows, so peers merge it by union: order, loss and repetition do no
harm.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass, field
from typing import NewType, TypeVar

from bergamothill.ids import EntryInstanceId, ModelName, RequestId, ServerId

__all__ = [
    "Crash",
    "CrashEvidence",
    "CrashReport",
    "PartId",
    "ReportId",
    "ReportedCrash",
    "RunNumber",
    "ServerIncarnation",
    "WHOLE_REQUEST",
]

REPORT_TTL_MS = 900_000
"""Longer than a verdict lasts unused, so that one that has been refuted does not come back."""

MAX_REPORTS = 512
MAX_SHARED = 256
MAX_STORED = 128
MAX_SHARED_CHARACTERS = 40_000

SETTLED_SHARE_MS = 10_000
"""Time for which peers are told of a report that no longer leaves any part under suspicion."""

EXPIRY_INTERVAL_MS = 1_000

MIN_RESTART_MS = 1_000
"""A server that crashed may answer under the same id again, but no sooner than this."""

WHOLE_REQUEST = ModelName("\n")
"""Stands for the model of a part that is a request as a whole; no header field can contain it."""

RunNumber = NewType("RunNumber", int)
"""Number of a run, unique among all runs of entry instances of one name."""


@dataclass(frozen=True, slots=True, order=True)
class PartId:
    """Part of a request: of its prompt for a model, or the request as a whole.

    :param model: model; :data:`WHOLE_REQUEST` for a whole request
    :param name: name of the part of the prompt, or fingerprint of the request
    """

    model: ModelName
    name: str

    @property
    def is_request(self) -> bool:
        """Whether this is a request as a whole."""
        return self.model == WHOLE_REQUEST

    def __str__(self) -> str:
        """Return the part as it is logged."""
        return f"request/{self.name}" if self.is_request else f"{self.model}/{self.name}"


@dataclass(frozen=True, slots=True)
class ServerIncarnation:
    """One life of a server, from its start to its end."""

    server: ServerId
    started_wall_ms: int


@dataclass(frozen=True, slots=True, order=True)
class ReportId:
    """Id of a crash report.

    :param entry: entry instance that sent the request
    :param run: number of the run
    """

    entry: EntryInstanceId
    run: RunNumber


@dataclass(frozen=True, slots=True)
class CrashReport:
    """One run that broke off because the server closed or reset the connection.

    :param report_id: id of the report
    :param request_id: caller's id of the request
    :param server: server that ran it
    :param suspects: parts of the request that others may have in common with it
    :param tried: suspects for which the run was a trial
    """

    report_id: ReportId
    request_id: RequestId
    server: ServerIncarnation
    suspects: frozenset[PartId]
    tried: frozenset[PartId]


class _KnownCrash:
    """What can be told from all that is known of a crash report."""

    __slots__ = ()

    report: CrashReport
    known_sound: Set[PartId]
    cleared: Set[PartId]
    is_void: bool

    @property
    def is_settled(self) -> bool:
        """Whether no part is under suspicion because of this report."""
        return self.is_void or self.report.suspects <= self.known_sound | self.cleared

    def has_more_than(self, other: _KnownCrash) -> bool:
        """Return whether more is known of the crash than in another account of it."""
        return (
            self.is_void > other.is_void
            or not self.known_sound <= other.known_sound
            or not self.cleared <= other.cleared
        )


@dataclass(frozen=True, slots=True)
class ReportedCrash(_KnownCrash):
    """Crash report with all that is known about it.

    :param report: crash report
    :param age_ms: time since the break
    :param known_sound: suspects with which an answer succeeded, but not as in ``cleared``
    :param cleared: suspects with which an answer succeeded that began after the break
    :param is_void: the server was seen alive after the break
    """

    report: CrashReport
    age_ms: int
    known_sound: frozenset[PartId] = frozenset()
    cleared: frozenset[PartId] = frozenset()
    is_void: bool = False


@dataclass(slots=True)
class Crash(_KnownCrash):
    """A crash report as known here.

    :param broke_ms: time of the break
    :param known_ms: time at which the report became known here
    :param known_order: position of that among the events here
    :param told_ms: time at which this instance last had something to add to what its peers know
    :param is_stored: whether the key-value service may have the report
    """

    report: CrashReport
    broke_ms: int
    known_ms: int
    known_order: int
    told_ms: int | None
    known_sound: set[PartId] = field(default_factory=set)
    cleared: set[PartId] = field(default_factory=set)
    is_void: bool = False
    is_stored: bool = False

    @property
    def has_prompt_suspect(self) -> bool:
        """Whether a part of a prompt is under suspicion because of this report."""
        suspects = self.report.suspects - self.known_sound - self.cleared
        return any(not part.is_request for part in suspects)

    def row(self, now_ms: int) -> ReportedCrash:
        """Return the report for peers."""
        return ReportedCrash(
            self.report,
            now_ms - self.broke_ms,
            frozenset(self.known_sound),
            frozenset(self.cleared),
            self.is_void,
        )


_IndexKey = TypeVar("_IndexKey")


class CrashEvidence:
    """Crash reports of all entry instances, indexed by suspected part.

    :param entry: this entry instance
    """

    def __init__(self, entry: EntryInstanceId) -> None:
        self._entry = entry
        self._crashes: dict[ReportId, Crash] = {}
        self._by_part: dict[PartId, dict[ReportId, Crash]] = {}
        self._by_server: dict[ServerIncarnation, dict[ReportId, Crash]] = {}
        self._verdicts: tuple[frozenset[PartId], ...] = ()
        self._against: dict[PartId, tuple[Crash, ...]] = {}
        self._servers_against: dict[PartId, frozenset[ServerIncarnation]] = {}
        self._explained: dict[ServerIncarnation, tuple[frozenset[PartId], ...]] | None = None
        self._expired_ms = 0
        self.revision = 0
        """Increases with each change."""

        self.order = 0
        """Number of reports that became known so far."""

    def add(self, report: CrashReport, known_sound: Iterable[PartId], now_ms: int) -> bool:
        """Add a report of this instance, unless an earlier one of the same crash covers it."""
        if any(_covers(crash, report) for crash in self._with_first_suspect(report)):
            return False
        self._insert(report, now_ms, now_ms, told_ms=now_ms).known_sound.update(known_sound)
        self._forget_results()
        return True

    def merge(self, row: ReportedCrash, now_ms: int) -> bool:
        """Merge a report from a peer; return whether something is new."""
        key = row.report.report_id
        crash = self._crashes.get(key)
        broke_ms = now_ms - max(0, row.age_ms)
        if now_ms - broke_ms > REPORT_TTL_MS or not row.report.suspects:
            return False
        is_new = crash is None
        if is_new:
            crash = self._insert(row.report, broke_ms, now_ms, told_ms=None)
        elif crash.has_more_than(row):
            crash.told_ms = now_ms
        crash.broke_ms = min(crash.broke_ms, broke_ms)
        if not (is_new or row.has_more_than(crash)):
            return False
        crash.known_sound |= row.known_sound
        crash.cleared |= row.cleared
        crash.is_void |= row.is_void
        self._forget_results()
        return True

    def mark_sound(self, part: PartId, now_ms: int) -> bool:
        """Record that an answer with a part succeeded; return whether this is new."""
        is_new = False
        for crash in self._by_part.get(part, {}).values():
            if part not in crash.known_sound:
                crash.known_sound.add(part)
                crash.told_ms = now_ms
                is_new = True
        if is_new:
            self._forget_results()
        return is_new

    def clear(self, part: PartId, began_order: int, now_ms: int) -> bool:
        """Clear a part of the reports that were known when a successful run began."""
        is_new = False
        for crash in self._by_part.get(part, {}).values():
            if part not in crash.cleared and crash.known_order <= began_order:
                crash.cleared.add(part)
                crash.told_ms = now_ms
                is_new = True
        if is_new:
            self._forget_results()
        return is_new

    def void(self, server: ServerIncarnation, sent_ms: int, now_ms: int) -> bool:
        """Void the reports on a server that answered a request sent soon after they were known."""
        is_new = False
        for crash in self._by_server.get(server, {}).values():
            is_same_process = sent_ms - crash.broke_ms <= MIN_RESTART_MS
            if not crash.is_void and crash.known_ms < sent_ms and is_same_process:
                crash.is_void = True
                crash.told_ms = now_ms
                is_new = True
        if is_new:
            self._forget_results()
        return is_new

    def explain_by(self, verdicts: Iterable[frozenset[PartId]]) -> None:
        """Set the verdicts; a crash under convicted parts is no evidence against other parts."""
        verdicts = tuple(verdicts)
        if verdicts != self._verdicts:
            self._verdicts = verdicts
            self._against.clear()
            self._servers_against.clear()
            self._explained = None

    def against(self, part: PartId) -> tuple[Crash, ...]:
        """Return the crashes that speak against a part."""
        crashes = self._by_part.get(part)
        if crashes is None:
            return ()
        result = self._against.get(part)
        if result is None:
            result = tuple(
                crash for crash in self.all_against(part) if not self._is_explained(crash, part)
            )
            self._against[part] = result
        return result

    def servers_against(self, part: PartId) -> frozenset[ServerIncarnation]:
        """Return the servers whose crashes speak against a part."""
        if part not in self._by_part:
            return frozenset()
        servers = self._servers_against.get(part)
        if servers is None:
            servers = frozenset(crash.report.server for crash in self.against(part))
            self._servers_against[part] = servers
        return servers

    def all_against(self, part: PartId) -> tuple[Crash, ...]:
        """Return the crashes that speak against a part, also if a verdict explains them."""
        crashes = self._by_part.get(part, {}).values()
        return tuple(c for c in crashes if not c.is_void and part not in c.cleared)

    def is_clean_trial(self, crash: Crash, part: PartId) -> bool:
        """Return whether a crash came in a trial of the part, without a trial of others there."""
        return part in crash.report.tried and all(
            other.is_settled or not other.report.tried or part in other.report.tried
            for other in self._by_server.get(crash.report.server, {}).values()
        )

    def knows(self, reports: Iterable[CrashReport]) -> bool:
        """Return whether all these reports are known."""
        return all(report.report_id in self._crashes for report in reports)

    def is_known_sound(self, part: PartId) -> bool:
        """Return whether a report says that an answer with the part succeeded."""
        return any(part in crash.known_sound for crash in self._by_part.get(part, {}).values())

    def parts(self, *, min_reports: int) -> list[PartId]:
        """Return the parts that are in at least so many reports."""
        return [part for part, reports in self._by_part.items() if len(reports) >= min_reports]

    def __len__(self) -> int:
        """Return the number of reports."""
        return len(self._crashes)

    def rows(self, now_ms: int) -> tuple[ReportedCrash, ...]:
        """Return the reports that peers should get, the most important first.

        These are the reports of this instance, those it has something to add to, and all those
        against a part that has more than one crash against it, as their senders may have ended.
        """
        self.expire(now_ms)
        shared = [crash for crash in self._crashes.values() if self._is_shared(crash, now_ms)]
        shared.sort(key=lambda crash: (-self._weight(crash), -crash.broke_ms))
        rows: list[ReportedCrash] = []
        characters = 0
        for crash in shared[:MAX_SHARED]:
            size = _size(crash)
            if characters + size <= MAX_SHARED_CHARACTERS:
                characters += size
                rows.append(crash.row(now_ms))
        return tuple(rows)

    def rows_to_store(self, now_ms: int) -> tuple[ReportedCrash, ...]:
        """Return the reports that the key-value service should keep, the most important first.

        These are the open ones, and what settled those that it may have as open ones.
        """
        self.expire(now_ms)
        kept = [
            crash for crash in self._crashes.values() if crash.is_stored or not crash.is_settled
        ]
        kept.sort(key=lambda crash: (crash.is_settled, -self._weight(crash), -crash.broke_ms))
        for crash in kept[:MAX_STORED]:
            crash.is_stored = True
        return tuple(crash.row(now_ms) for crash in kept[:MAX_STORED])

    def merge_stored(self, row: ReportedCrash, now_ms: int) -> bool:
        """Merge a report that was read from the key-value service."""
        is_new = self.merge(row, now_ms)
        crash = self._crashes.get(row.report.report_id)
        if crash is not None:
            crash.is_stored = True
        return is_new

    def _is_shared(self, crash: Crash, now_ms: int) -> bool:
        if crash.told_ms is not None and now_ms - crash.told_ms <= SETTLED_SHARE_MS:
            return True
        if crash.is_settled:
            return False
        # Whole requests that broke off once need not come again, unlike parts of prompts.
        is_own = crash.report.report_id.entry == self._entry and crash.has_prompt_suspect
        return is_own or self._weight(crash) > 1

    def _weight(self, crash: Crash) -> int:
        """Return the most crashes that are known against a part of a report."""
        return max(
            (
                len(self.servers_against(part))
                for part in crash.report.suspects
                if part not in crash.known_sound
            ),
            default=0,
        )

    def _with_first_suspect(self, report: CrashReport) -> Iterable[Crash]:
        return self._by_part.get(min(report.suspects), {}).values()

    def _is_explained(self, crash: Crash, part: PartId) -> bool:
        verdicts = self._explanations().get(crash.report.server, ())
        return any(part not in verdict for verdict in verdicts)

    def _explanations(self) -> dict[ServerIncarnation, tuple[frozenset[PartId], ...]]:
        if self._explained is None:
            self._explained = {}
            for crash in self._crashes.values() if self._verdicts else ():
                server = crash.report.server
                verdicts = tuple(v for v in self._verdicts if v <= crash.report.suspects)
                if verdicts and not crash.is_void:
                    self._explained[server] = self._explained.get(server, ()) + verdicts
        return self._explained

    def _insert(
        self, report: CrashReport, broke_ms: int, now_ms: int, *, told_ms: int | None
    ) -> Crash:
        self.expire(now_ms)
        if len(self._crashes) >= MAX_REPORTS:
            self._evict()
        self.order += 1
        crash = Crash(report, broke_ms, now_ms, self.order, told_ms)
        key = report.report_id
        self._crashes[key] = crash
        self._by_server.setdefault(report.server, {})[key] = crash
        for part in report.suspects:
            self._by_part.setdefault(part, {})[key] = crash
        return crash

    def _evict(self) -> None:
        """Drop a quarter of the reports, those that matter least and of these the oldest."""
        keys = sorted(
            self._crashes,
            key=lambda key: (
                not self._crashes[key].is_settled,
                self._weight(self._crashes[key]) > 1,
                self._crashes[key].broke_ms,
            ),
        )
        for key in keys[: MAX_REPORTS // 4]:
            self._remove(key)

    def expire(self, now_ms: int) -> None:
        """Drop expired reports."""
        if now_ms - self._expired_ms < EXPIRY_INTERVAL_MS:
            return
        self._expired_ms = now_ms
        for key, crash in list(self._crashes.items()):
            if now_ms - crash.broke_ms > REPORT_TTL_MS:
                self._remove(key)

    def _remove(self, key: ReportId) -> None:
        crash = self._crashes.pop(key)
        _discard(self._by_server, crash.report.server, key)
        for part in crash.report.suspects:
            _discard(self._by_part, part, key)
        self._forget_results()

    def _forget_results(self) -> None:
        self.revision += 1
        self._against.clear()
        self._servers_against.clear()
        self._explained = None


def _discard(index: dict[_IndexKey, dict[ReportId, Crash]], by: _IndexKey, key: ReportId) -> None:
    del index[by][key]
    if not index[by]:
        del index[by]


def _covers(crash: Crash, report: CrashReport) -> bool:
    known = crash.report
    return (
        known.report_id.entry == report.report_id.entry
        and known.server == report.server
        and known.suspects >= report.suspects
        and known.tried >= report.tried
        and not crash.is_void
    )


def _size(crash: Crash) -> int:
    """Return about the size of a report in bytes."""
    names = sum(len(part.name.encode()) + len(part.model) + 8 for part in crash.report.suspects)
    # The suspects may be repeated among the tried, sound and cleared ones.
    return 100 + len(crash.report.request_id) + 4 * names
