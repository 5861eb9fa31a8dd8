"""Snapshot in which entry instances tell peers of crashes, trials and verdicts."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.ids import EntryInstanceId
from bergamothill.request.crashevidence import CrashReport, PartId, ReportedCrash
from bergamothill.request.trialslots import PeerTrial

__all__ = ["QuarantineReport", "StoredQuarantine", "Verdict"]


@dataclass(frozen=True, slots=True)
class Verdict:
    """Parts that crash servers when a prompt has all of them; most often a single one.

    :param parts: convicted parts
    :param idle_ms: time since the last request with these parts
    :param reports: crash reports it rests on, at most eight
    """

    parts: frozenset[PartId]
    idle_ms: int
    reports: frozenset[CrashReport] = frozenset()


@dataclass(frozen=True, slots=True)
class StoredQuarantine:
    """What the key-value service keeps, so that it outlasts a restart of all instances.

    :param verdicts: convicted parts
    :param crashes: crash reports with all that is known about them
    """

    verdicts: tuple[Verdict, ...] = ()
    crashes: tuple[ReportedCrash, ...] = ()


@dataclass(frozen=True, slots=True)
class QuarantineReport:
    """Snapshot of what one entry instance knows.

    :param entry: sender
    :param sequence_number: increases with each report; initially the sender's wall-clock time
    :param crashes: crash reports
    :param trials: the sender's trials and claims
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
