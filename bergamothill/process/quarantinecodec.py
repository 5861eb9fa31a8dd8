"""CBOR form of what entry instances tell each other about parts that crash servers; no I/O.

A report is a full snapshot, so that lost, repeated and reordered datagrams do no harm.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

import cbor2

from bergamothill.connection.datagrams import MAX_DATAGRAM_BYTES
from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId, ModelName, RequestId, ServerId
from bergamothill.request.crashevidence import (
    CrashReport,
    PartId,
    ReportId,
    RunNumber,
    ServerIncarnation,
)
from bergamothill.request.partquarantine import (
    PeerTrial,
    QuarantineReport,
    ReportedCrash,
    StoredQuarantine,
    Verdict,
)

__all__ = [
    "decode_quarantine_report",
    "decode_stored",
    "encode_quarantine_report",
    "encode_stored",
    "is_quarantine_report",
]

KIND = "quarantine"
MAX_STORED_BYTES = 500_000
MAX_ROWS = 10_000

_STEP = "quarantine.decode"
_CONTENT_ERRORS = (TypeError, ValueError, IndexError, OverflowError, cbor2.CBORDecodeError)

# The datagram of a load report has three items and begins otherwise, whichever build sent it.
_DATAGRAM_PREFIX = b"\x87" + cbor2.dumps(KIND)


class _Writer:
    """Numbers the parts and crash reports of a message, so that each is sent once."""

    def __init__(self) -> None:
        self._parts: dict[PartId, int] = {}
        self._reports: dict[CrashReport, int] = {}

    def parts(self, parts: Iterable[PartId]) -> list[int]:
        """Return the numbers of parts."""
        return [self._parts.setdefault(part, len(self._parts)) for part in sorted(parts)]

    def report(self, report: CrashReport) -> int:
        """Return the number of a crash report."""
        return self._reports.setdefault(report, len(self._reports))

    def verdict(self, verdict: Verdict, time_ms: int) -> list[Any]:
        """Return the row of a verdict, with its idle time or the time of its last use."""
        reports = sorted(verdict.reports, key=lambda report: report.report_id)
        return [self.parts(verdict.parts), time_ms, [self.report(report) for report in reports]]

    def tables(self) -> list[Any]:
        """Return the rows of all parts and reports that were numbered."""
        reports = [self._report_row(report) for report in self._reports]  # numbers more parts
        return [[[part.model, part.name] for part in self._parts], reports]

    def _report_row(self, report: CrashReport) -> list[Any]:
        return [
            report.report_id.entry,
            report.report_id.run,
            report.request_id,
            report.server.server,
            report.server.started_wall_ms,
            self.parts(report.suspects),
            self.parts(report.tried),
        ]


class _Reader:
    """Resolves the numbers of parts and crash reports in a received message."""

    def __init__(self, part_rows: Any, report_rows: Any) -> None:
        self._parts = [PartId(ModelName(str(m)), str(name)) for m, name in _bounded(part_rows)]
        self._reports = [self._decode_report(row) for row in _bounded(report_rows)]

    def parts(self, numbers: Any) -> frozenset[PartId]:
        """Return the parts with these numbers."""
        return frozenset(self._parts[_checked(number)] for number in _bounded(numbers))

    def report(self, number: Any) -> CrashReport:
        """Return the crash report with a number."""
        return self._reports[_checked(number)]

    def verdict(self, row: Any, *, wall_ms: int | None = None) -> Verdict:
        """Decode a verdict.

        :param wall_ms: current wall-clock time if the row has the time of the last use
        """
        parts, time_ms, reports, *_ = row
        idle_ms = int(time_ms) if wall_ms is None else wall_ms - int(time_ms)
        reports = frozenset(self.report(number) for number in _bounded(reports))
        return Verdict(self.parts(parts), max(0, idle_ms), reports)

    def stored_crashes(self, row: Any, wall_ms: int) -> tuple[ReportedCrash, ...]:
        """Decode the crash reports of a stored row; earlier builds store only the reports."""
        _, _, numbers, *details = row
        reports = [self.report(number) for number in _bounded(numbers)]
        known = _bounded(details[0]) if details else [[wall_ms, [], [], False]] * len(reports)
        return tuple(
            ReportedCrash(
                report,
                max(0, wall_ms - int(broke_wall_ms)),
                self.parts(known_sound),
                self.parts(cleared),
                bool(is_void),
            )
            for report, (broke_wall_ms, known_sound, cleared, is_void, *_) in zip(
                reports, known, strict=True
            )
        )

    def _decode_report(self, row: Any) -> CrashReport:
        entry, run, request_id, server, started_wall_ms, suspects, tried, *_ = row
        return CrashReport(
            ReportId(EntryInstanceId(str(entry)), RunNumber(int(run))),
            RequestId(str(request_id)),
            ServerIncarnation(ServerId(str(server)), int(started_wall_ms)),
            self.parts(suspects),
            self.parts(tried),
        )


def is_quarantine_report(datagram: bytes) -> bool:
    """Return whether a datagram is a quarantine report rather than a load report."""
    return datagram.startswith(_DATAGRAM_PREFIX)


def encode_quarantine_report(report: QuarantineReport) -> bytes:
    """Encode a report as a datagram, without its oldest crashes and verdicts if it is too large.

    :param report: report to encode
    """
    while len(encoded := _encode_whole(report)) > MAX_DATAGRAM_BYTES:
        report = _shorten(report)
    return encoded


def _shorten(report: QuarantineReport) -> QuarantineReport:
    """Return a report with half of what can best be spared."""
    if report.crashes:
        crashes = sorted(report.crashes, key=lambda crash: crash.age_ms)
        return replace(report, crashes=tuple(crashes[: len(crashes) // 2]))
    if report.verdicts:
        verdicts = sorted(report.verdicts, key=lambda verdict: verdict.idle_ms)
        return replace(report, verdicts=tuple(verdicts[: len(verdicts) // 2]))
    return replace(report, trials=report.trials[: len(report.trials) // 2])


def _encode_whole(report: QuarantineReport) -> bytes:
    writer = _Writer()
    crashes = [_crash_row(crash, writer) for crash in report.crashes]
    trials = [[writer.parts(trial.parts), trial.server] for trial in report.trials]
    verdicts = [writer.verdict(verdict, verdict.idle_ms) for verdict in report.verdicts]
    head = [KIND, report.entry, report.sequence_number]
    return cbor2.dumps([*head, writer.tables(), crashes, trials, verdicts])


def _crash_row(crash: ReportedCrash, writer: _Writer) -> list[Any]:
    return [
        writer.report(crash.report),
        crash.age_ms,
        writer.parts(crash.known_sound),
        writer.parts(crash.cleared),
        crash.is_void,
    ]


def decode_quarantine_report(datagram: bytes) -> QuarantineReport:
    """Decode a report; what a newer build appends to a row is ignored.

    :param datagram: content of a datagram
    :raises ProtocolError: it is not a valid report
    """
    try:
        _, entry, sequence_number, (parts, reports), crashes, trials, verdicts = cbor2.loads(
            datagram
        )
        reader = _Reader(parts, reports)
        return QuarantineReport(
            EntryInstanceId(str(entry)),
            int(sequence_number),
            tuple(_decode_crash(row, reader) for row in _bounded(crashes)),
            tuple(_decode_trial(row, reader) for row in _bounded(trials)),
            tuple(reader.verdict(row) for row in _bounded(verdicts)),
        )
    except _CONTENT_ERRORS as error:
        raise ProtocolError(f"not a quarantine report: {error}", step=_STEP) from error


def _decode_crash(row: Any, reader: _Reader) -> ReportedCrash:
    report, age_ms, known_sound, cleared, is_void, *_ = row
    return ReportedCrash(
        reader.report(report),
        max(0, int(age_ms)),
        reader.parts(known_sound),
        reader.parts(cleared),
        bool(is_void),
    )


def _decode_trial(row: Any, reader: _Reader) -> PeerTrial:
    parts, server, *_ = row
    return PeerTrial(reader.parts(parts), None if server is None else ServerId(str(server)))


def encode_stored(stored: StoredQuarantine, wall_ms: int) -> bytes:
    """Encode what the key-value service keeps, without the oldest if it is too large.

    :param stored: verdicts and crash reports
    :param wall_ms: wall-clock time to which their ages refer
    """
    verdicts = sorted(stored.verdicts, key=lambda verdict: verdict.idle_ms)[:MAX_ROWS]
    crashes = stored.crashes[:MAX_ROWS]
    while True:
        writer = _Writer()
        rows = [writer.verdict(verdict, wall_ms - verdict.idle_ms) for verdict in verdicts]
        if crashes:
            # Without parts, as the row of a verdict that is not yet justified in earlier builds.
            rows.append([[], wall_ms, *_stored_crash_columns(crashes, writer, wall_ms)])
        encoded = cbor2.dumps([writer.tables(), rows])
        if len(encoded) <= MAX_STORED_BYTES:
            return encoded
        if crashes:
            crashes = crashes[: len(crashes) // 2]
        else:
            verdicts = verdicts[: len(verdicts) // 2]


def _stored_crash_columns(
    crashes: Iterable[ReportedCrash], writer: _Writer, wall_ms: int
) -> tuple[list[int], list[Any]]:
    rows = [_crash_row(crash, writer) for crash in crashes]
    details = [[wall_ms - age_ms, *known] for _, age_ms, *known in rows]
    return [number for number, *_ in rows], details


def decode_stored(encoded: bytes, wall_ms: int) -> StoredQuarantine:
    """Decode what the key-value service keeps.

    :param encoded: value of the key
    :param wall_ms: current wall-clock time
    :raises ProtocolError: the value is not valid
    """
    try:
        (parts, reports), rows = cbor2.loads(encoded)
        reader = _Reader(parts, reports)
        verdicts, crashes = [], []
        for row in _bounded(rows):
            if row[0]:
                verdicts.append(reader.verdict(row, wall_ms=wall_ms))
            else:
                crashes += reader.stored_crashes(row, wall_ms)
        return StoredQuarantine(tuple(verdicts), tuple(crashes))
    except _CONTENT_ERRORS as error:
        raise ProtocolError(f"not a stored quarantine: {error}", step=_STEP) from error


def _bounded(rows: Any) -> list[Any]:
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise ValueError(f"not a list of at most {MAX_ROWS} items")
    return rows


def _checked(number: Any) -> int:
    if not isinstance(number, int) or number < 0:
        raise ValueError("not a number of a part or report")
    return number
