"""Reports in which entry instances tell peers how servers in slow start answer; no I/O.

A report is a full snapshot, so that lost, repeated and reordered datagrams do no harm.
"""

from __future__ import annotations

import math
from dataclasses import astuple, dataclass
from typing import Any

import cbor2

from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId, ServerId

__all__ = ["PaceReport", "ReportedPace", "decode_pace", "encode_pace", "is_pace"]

KIND = "pace"
FORMAT = 1
MAX_ROWS = 300

# The datagram of a load report has three items.
_DATAGRAM_PREFIX = b"\x84" + cbor2.dumps(KIND)


@dataclass(frozen=True, slots=True)
class ReportedPace:
    """What one instance has found of a server in slow start.

    :param server: server
    :param started_wall_ms: start of its incarnation
    :param per_s: level from which its rate rises
    :param level_age_ms: time since it has risen from there
    :param began_age_ms: time since the slow start began
    :param lowered_age_ms: time since the rate was lowered; None if it was not
    :param good_age_ms: time since the last good answer; None if there was none
    :param failed_per_s: rate at which the server failed; 0 if it did not
    """

    server: ServerId
    started_wall_ms: int
    per_s: float
    level_age_ms: int
    began_age_ms: int
    lowered_age_ms: int | None
    good_age_ms: int | None
    failed_per_s: float


@dataclass(frozen=True, slots=True)
class PaceReport:
    """Report of one entry instance.

    :param entry: sender
    :param paces: servers in slow start that have answered it lately
    """

    entry: EntryInstanceId
    paces: tuple[ReportedPace, ...]


def is_pace(datagram: bytes) -> bool:
    """Return whether a datagram is a report of paces."""
    return datagram.startswith(_DATAGRAM_PREFIX)


def encode_pace(report: PaceReport) -> bytes:
    """Encode a report as a datagram."""
    rows = [list(astuple(row)) for row in report.paces[:MAX_ROWS]]
    return cbor2.dumps([KIND, FORMAT, report.entry, rows])


def decode_pace(datagram: bytes) -> PaceReport:
    """Decode a report; what a newer build appends to a row is ignored.

    :raises ProtocolError: it is not a valid report
    """
    try:
        _, _, entry, rows = cbor2.loads(datagram)
        return PaceReport(EntryInstanceId(str(entry)), tuple(_decode_row(row) for row in rows))
    except (TypeError, ValueError, OverflowError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(f"not a report of paces: {error}", step="pace.decode") from error


def _decode_row(row: Any) -> ReportedPace:
    server, started_wall_ms, per_s, level, began, lowered, good, failed_per_s, *_ = row
    return ReportedPace(
        ServerId(str(server)),
        int(started_wall_ms),
        _rate(per_s),
        _age(level),
        _age(began),
        None if lowered is None else _age(lowered),
        None if good is None else _age(good),
        _rate(failed_per_s),
    )


def _rate(value: Any) -> float:
    rate = float(value)
    if not math.isfinite(rate) or rate < 0:
        raise ValueError("not a rate")
    return rate


def _age(value: Any) -> int:
    return max(0, int(value))
