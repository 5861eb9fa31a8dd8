"""Reports in which entry instances tell peers of the limits that servers name; no I/O.

A report is a full snapshot of what its sender was told itself, so that lost, repeated and reordered
datagrams do no harm.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import cbor2

from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId, ServerId

__all__ = [
    "LimitReport",
    "ReportedLimit",
    "decode_limit_report",
    "encode_limit_report",
    "is_limit_report",
]

KIND = "limits"
FORMAT = 1
MAX_LIMITS = 500
"""Servers in one datagram, which holds 60,000 bytes."""

# The datagram of a load report has three items, that of a quarantine report seven.
_DATAGRAM_PREFIX = b"\x84" + cbor2.dumps(KIND)


@dataclass(frozen=True, slots=True)
class ReportedLimit:
    """What an answer told the sender of the limit of a server.

    :param server: server
    :param started_wall_ms: start of its incarnation
    :param per_s: requests per second for all entry instances together; None if it names no limit
    :param sent_age_ms: time since the request was sent
    :param answered_age_ms: time since the answer arrived
    """

    server: ServerId
    started_wall_ms: int
    per_s: float | None
    sent_age_ms: int
    answered_age_ms: int


@dataclass(frozen=True, slots=True)
class LimitReport:
    """Report of one entry instance.

    :param entry: sender
    :param limits: the latest that it knows of each server
    """

    entry: EntryInstanceId
    limits: tuple[ReportedLimit, ...]


def is_limit_report(datagram: bytes) -> bool:
    """Return whether a datagram is a report of limits."""
    return datagram.startswith(_DATAGRAM_PREFIX)


def encode_limit_report(report: LimitReport) -> bytes:
    """Encode a report as a datagram.

    :param report: report to encode
    """
    rows = [
        [row.server, row.started_wall_ms, row.per_s, row.sent_age_ms, row.answered_age_ms]
        for row in report.limits[:MAX_LIMITS]
    ]
    return cbor2.dumps([KIND, FORMAT, report.entry, rows])


def decode_limit_report(datagram: bytes) -> LimitReport:
    """Decode a report; what a newer build appends to a row is ignored.

    :param datagram: content of a datagram
    :raises ProtocolError: it is not a valid report
    """
    try:
        _, _, entry, rows = cbor2.loads(datagram)
        return LimitReport(EntryInstanceId(str(entry)), tuple(_decode_row(row) for row in rows))
    except (TypeError, ValueError, OverflowError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(f"not a report of limits: {error}", step="limits.decode") from error


def _decode_row(row: Any) -> ReportedLimit:
    server, started_wall_ms, per_s, sent_age_ms, answered_age_ms, *_ = row
    if per_s is not None:
        per_s = float(per_s)
        if not math.isfinite(per_s) or per_s < 0:
            raise ValueError("not a rate")
    return ReportedLimit(
        ServerId(str(server)),
        int(started_wall_ms),
        per_s,
        max(0, int(sent_age_ms)),
        max(0, int(answered_age_ms)),
    )
