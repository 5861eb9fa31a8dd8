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
    Verdict,
)

__all__ = [
    "decode_quarantine_report",
    "decode_verdicts",
    "encode_quarantine_report",
    "encode_verdicts",
    "is_quarantine_report",
]

KIND = "quarantine"
MAX_VERDICT_BYTES = 500_000
MAX_ROWS = 10_000

_STEP = "quarantine.decode"
_CONTENT_ERRORS = (TypeError, ValueError, IndexError, OverflowError, cbor2.CBORDecodeError)

# The datagram of a load report has three items and begins otherwise, whichever build sent it.
_DATAGRAM_PREFIX = b"\x87" + cbor2.dumps(KIND)


class _PartTable:
    """Numbers the parts of a message, so that each name is sent once."""

    def __init__(self) -> None:
        self._numbers: dict[PartId, int] = {}

    def references(self, parts: Iterable[PartId]) -> list[int]:
        """Return the numbers of parts."""
        return [self._numbers.setdefault(part, len(self._numbers)) for part in sorted(parts)]

    def rows(self) -> list[list[str]]:
        """Return the model and the name of each part."""
        return [[part.model, part.name] for part in self._numbers]


class _PartReader:
    """Resolves the numbers of parts in a received message."""

    def __init__(self, rows: Any) -> None:
        self._parts = [PartId(ModelName(str(m)), str(name)) for m, name in _bounded(rows)]

    def parts(self, references: Any) -> frozenset[PartId]:
        """Return the parts with these numbers."""
        numbers = [int(number) for number in _bounded(references)]
        if min(numbers, default=0) < 0:
            raise ValueError("negative reference")
        return frozenset(self._parts[number] for number in numbers)


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
    table = _PartTable()
    crashes = [_crash_row(crash, table) for crash in report.crashes]
    trials = [[table.references(t.parts), t.server] for t in report.trials]
    verdicts = [_verdict_row(v, v.idle_ms, table) for v in report.verdicts]
    header = [KIND, report.entry, report.sequence_number, table.rows()]
    return cbor2.dumps([*header, crashes, trials, verdicts])


def _crash_row(crash: ReportedCrash, table: _PartTable) -> list[Any]:
    report = crash.report
    return [
        _report_row(report.report_id),
        report.request_id,
        [report.server.server, report.server.started_wall_ms],
        table.references(report.suspects),
        table.references(report.tried),
        crash.age_ms,
        table.references(crash.known_sound),
        table.references(crash.cleared),
        crash.is_void,
    ]


def _verdict_row(verdict: Verdict, time_ms: int, table: _PartTable) -> list[Any]:
    reports = [_report_row(report_id) for report_id in sorted(verdict.reports)]
    return [table.references(verdict.parts), time_ms, reports]


def _report_row(report_id: ReportId) -> list[Any]:
    return [report_id.entry, report_id.run]


def decode_quarantine_report(datagram: bytes) -> QuarantineReport:
    """Decode a report; what a newer build appends to a crash or a verdict is ignored.

    :param datagram: content of a datagram
    :raises ProtocolError: it is not a valid report
    """
    try:
        _, entry, sequence_number, part_rows, crashes, trials, verdicts = cbor2.loads(datagram)
        reader = _PartReader(part_rows)
        return QuarantineReport(
            EntryInstanceId(str(entry)),
            int(sequence_number),
            tuple(_decode_crash(row, reader) for row in _bounded(crashes)),
            tuple(_decode_trial(row, reader) for row in _bounded(trials)),
            tuple(_decode_verdict(row, reader, 0) for row in _bounded(verdicts)),
        )
    except _CONTENT_ERRORS as error:
        raise ProtocolError(f"not a quarantine report: {error}", step=_STEP) from error


def _decode_crash(row: Any, reader: _PartReader) -> ReportedCrash:
    report_id, request_id, (server, started_wall_ms), suspects, tried, *rest = row
    age_ms, known_sound, cleared, is_void, *_ = rest
    return ReportedCrash(
        CrashReport(
            _decode_report_id(report_id),
            RequestId(str(request_id)),
            ServerIncarnation(ServerId(str(server)), int(started_wall_ms)),
            reader.parts(suspects),
            reader.parts(tried),
        ),
        max(0, int(age_ms)),
        reader.parts(known_sound),
        reader.parts(cleared),
        bool(is_void),
    )


def _decode_trial(row: Any, reader: _PartReader) -> PeerTrial:
    references, server = row
    return PeerTrial(reader.parts(references), None if server is None else ServerId(str(server)))


def _decode_verdict(row: Any, reader: _PartReader, wall_ms: int) -> Verdict:
    """Decode a verdict with its idle time, or with the time of its last use before ``wall_ms``."""
    references, time_ms, reports, *_ = row
    idle_ms = wall_ms - int(time_ms) if wall_ms else int(time_ms)
    report_ids = frozenset(_decode_report_id(report) for report in _bounded(reports))
    return Verdict(reader.parts(references), max(0, idle_ms), report_ids)


def _decode_report_id(row: Any) -> ReportId:
    entry, run = row
    return ReportId(EntryInstanceId(str(entry)), RunNumber(int(run)))


def encode_verdicts(verdicts: Iterable[Verdict], wall_ms: int) -> bytes:
    """Encode verdicts for the key-value service, without the oldest if they are too large.

    :param verdicts: verdicts to store
    :param wall_ms: wall-clock time to which their idle time refers
    """
    kept = sorted(verdicts, key=lambda verdict: verdict.idle_ms)[:MAX_ROWS]
    while True:
        table = _PartTable()
        rows = [_verdict_row(v, wall_ms - v.idle_ms, table) for v in kept]
        encoded = cbor2.dumps([table.rows(), rows])
        if len(encoded) <= MAX_VERDICT_BYTES:
            return encoded
        kept = kept[: len(kept) // 2]


def decode_verdicts(encoded: bytes, wall_ms: int) -> tuple[Verdict, ...]:
    """Decode stored verdicts.

    :param encoded: value of the key
    :param wall_ms: current wall-clock time
    :raises ProtocolError: the value holds no valid verdicts
    """
    try:
        part_rows, rows = cbor2.loads(encoded)
        reader = _PartReader(part_rows)
        return tuple(_decode_verdict(row, reader, wall_ms) for row in _bounded(rows))
    except _CONTENT_ERRORS as error:
        raise ProtocolError(f"not a list of verdicts: {error}", step=_STEP) from error


def _bounded(rows: Any) -> list[Any]:
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise ValueError(f"not a list of at most {MAX_ROWS} items")
    return rows
