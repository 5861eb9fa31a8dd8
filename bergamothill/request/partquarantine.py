"""Quarantine of prompt parts that crash servers; a state machine without I/O and clock.

A part that crashes each server that answers a prompt with it is found by the servers that crashed
under it. Suspected parts run in trials, one at a time; convicted parts are not forwarded.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from bergamothill.ids import EntryInstanceId, ModelName, RequestId, ServerId
from bergamothill.request.callerrequest import PromptPart
from bergamothill.request.crashevidence import (
    CrashReport,
    PartId,
    RunNumber,
    ServerIncarnation,
)

__all__ = [
    "AwaitTrial",
    "PartQuarantine",
    "PeerTrial",
    "Quarantined",
    "QuarantineReport",
    "QuarantineVerdict",
    "ReportedCrash",
    "RunEnd",
    "Trial",
    "Unsuspected",
    "Verdict",
]


class RunEnd(Enum):
    """How the run of a request at a server ended."""

    COMPLETE = "complete"
    CRASHED = "crashed"
    """The server closed or reset the connection before the end of the answer."""

    OTHER = "other"


@dataclass(frozen=True, slots=True)
class Unsuspected:
    """The request may be sent like any other."""


@dataclass(frozen=True, slots=True)
class Trial:
    """The request may be sent as the only one with these parts.

    :param parts: suspected parts of the request
    :param needs_lone_server: the server must not run another trial
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


@dataclass(frozen=True, slots=True)
class Verdict:
    """Parts that crash servers when a prompt has all of them; most often a single one.

    :param parts: convicted parts
    :param idle_ms: time since the last request with these parts
    """

    parts: frozenset[PartId]
    idle_ms: int


@dataclass(frozen=True, slots=True)
class ReportedCrash:
    """Crash report with all that is known about it; merged by union.

    :param report: crash report
    :param age_ms: time since the break
    :param known_sound: suspects of the report with which an answer succeeded before it
    :param cleared: suspects with which an answer succeeded after it
    :param is_void: the server was seen alive after the break
    """

    report: CrashReport
    age_ms: int
    known_sound: frozenset[PartId]
    cleared: frozenset[PartId]
    is_void: bool


@dataclass(frozen=True, slots=True)
class PeerTrial:
    """Trial that is running, or that a request waits for.

    :param parts: suspected parts
    :param server: server that runs it; None while the request waits
    """

    parts: frozenset[PartId]
    server: ServerId | None


@dataclass(frozen=True, slots=True)
class QuarantineReport:
    """Snapshot that an entry instance sends to its peers.

    :param entry: sender
    :param sequence_number: increases with each report; initially the sender's wall-clock time
    :param crashes: crash reports
    :param trials: the sender's trials
    :param verdicts: convicted parts
    """

    entry: EntryInstanceId
    sequence_number: int
    crashes: tuple[ReportedCrash, ...] = ()
    trials: tuple[PeerTrial, ...] = ()
    verdicts: tuple[Verdict, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not (self.crashes or self.trials or self.verdicts)


class PartQuarantine:
    """Crash evidence, trials and verdicts as known to one entry instance.

    :param entry: this entry instance
    :param started_wall_ms: wall-clock time of its start
    """

    def __init__(self, entry: EntryInstanceId, started_wall_ms: int) -> None:
        self._entry = entry
        self._sequence_number = started_wall_ms
        self.report_revision = 0
        """Increases when peers should get a report at once."""

        self.verdict_revision = 0
        """Increases when the verdicts in the store should be written."""

    def check(
        self, model: ModelName, parts: Sequence[PromptPart], now_ms: int
    ) -> QuarantineVerdict:
        """Return whether a request may be sent.

        :param parts: all parts of the prompt; the last one is never suspected
        """
        return Unsuspected()

    def begin_run(
        self,
        request_id: RequestId,
        server: ServerIncarnation,
        model: ModelName,
        parts: Sequence[PromptPart],
        now_ms: int,
        *,
        trial: Trial | None,
    ) -> RunNumber:
        """Record that a request is sent to a server.

        To be called without a pause after :meth:`check`.

        :param trial: result of the check, if it was a trial
        """
        return RunNumber(0)

    def record_event(self, run: RunNumber, now_ms: int) -> None:
        """Record that an event of the answer arrived."""

    def end_run(self, run: RunNumber, end: RunEnd, now_ms: int) -> None:
        """Record the end of a run."""

    def record_alive(self, server: ServerIncarnation, sent_ms: int, now_ms: int) -> None:
        """Record that a server answered a request.

        :param sent_ms: time at which the request was sent
        """

    def servers_under_trial(self, now_ms: int) -> frozenset[ServerId]:
        """Return the servers that run a trial of any entry instance."""
        return frozenset()

    def may_send(self, model: ModelName, parts: Sequence[PromptPart], now_ms: int) -> bool:
        """Return False if the parts have been convicted."""
        return True

    def merge(self, report: QuarantineReport, now_ms: int) -> bool:
        """Merge the report of a peer; return whether waiting requests should ask again."""
        return False

    def report(self, now_ms: int) -> QuarantineReport:
        """Return a snapshot for the peers."""
        return QuarantineReport(self._entry, self._sequence_number)

    def verdicts(self, now_ms: int) -> tuple[Verdict, ...]:
        """Return the verdicts in force, for the store."""
        return ()

    def add_verdicts(self, verdicts: Iterable[Verdict], now_ms: int) -> bool:
        """Add verdicts from the store; return whether any is new."""
        return False
