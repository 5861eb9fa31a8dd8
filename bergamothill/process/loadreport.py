"""Load reports, in which entry instances tell peers of their requests at servers; no I/O.

A report is a full snapshot, so that lost or duplicated datagrams do no harm. It expires after a
short time, since its sender may have stopped.
"""

from __future__ import annotations

from dataclasses import dataclass

import cbor2

from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId, ServerId

__all__ = ["LoadReport", "PeerLoads", "ServerLoad", "decode_report", "encode_report"]

REPORT_TTL_MS = 1_000
"""Time after which the sender's requests are assumed to have ended, or its link to be down."""

EXPIRY_INTERVAL_MS = 100


@dataclass(slots=True)
class ServerLoad:
    """Load on one server.

    :param in_progress: number of requests in progress
    :param tokens: prompt tokens of these requests
    :param pending_prefill_tokens: prompt tokens of these that the server has not yet prefilled
    """

    in_progress: int = 0
    tokens: int = 0
    pending_prefill_tokens: int = 0

    def add(self, other: ServerLoad) -> None:
        """Add another entry instance's load."""
        self.in_progress += other.in_progress
        self.tokens += other.tokens
        self.pending_prefill_tokens += other.pending_prefill_tokens

    def subtract(self, other: ServerLoad) -> None:
        """Subtract a load that was added before."""
        self.in_progress -= other.in_progress
        self.tokens -= other.tokens
        self.pending_prefill_tokens -= other.pending_prefill_tokens


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Report of one entry instance.

    :param entry: sender
    :param sequence_number: increases with each report; initially the sender's wall-clock time
    :param loads: the sender's load on each server at which it has requests
    """

    entry: EntryInstanceId
    sequence_number: int
    loads: dict[ServerId, ServerLoad]


def encode_report(report: LoadReport) -> bytes:
    """Encode a report as CBOR.

    :param report: report to encode
    """
    rows = [[s, v.in_progress, v.tokens, v.pending_prefill_tokens] for s, v in report.loads.items()]
    return cbor2.dumps([report.entry, report.sequence_number, rows])


def decode_report(encoded: bytes) -> LoadReport:
    """Decode a report.

    :param encoded: content of a datagram
    :raises ProtocolError: the datagram is not a load report
    """
    try:
        entry, sequence_number, rows = cbor2.loads(encoded)
        loads = {
            ServerId(str(server)): ServerLoad(int(in_progress), int(tokens), int(pending_prefill))
            for server, in_progress, tokens, pending_prefill in rows
        }
        return LoadReport(EntryInstanceId(str(entry)), int(sequence_number), loads)
    except (TypeError, ValueError, OverflowError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(f"not a load report: {error}", step="load.decode") from error


class PeerLoads:
    """Latest load reports of the other entry instances, added up by server."""

    def __init__(self) -> None:
        self._reports: dict[EntryInstanceId, LoadReport] = {}
        self._received_ms: dict[EntryInstanceId, int] = {}
        self._totals: dict[ServerId, ServerLoad] = {}
        self._expired_ms = 0

    def add_report(self, report: LoadReport, now_ms: int) -> None:
        """Store a report unless a newer one from the same sender is known.

        The totals change by what the report changes, so the work does not grow with the number of
        senders.
        """
        latest = self._reports.get(report.entry)
        if latest is not None and report.sequence_number <= latest.sequence_number:
            return
        if latest is not None:
            self._remove_from_totals(latest)
        self._reports[report.entry] = report
        self._received_ms[report.entry] = now_ms
        for server, load in report.loads.items():
            self._totals.setdefault(server, ServerLoad()).add(load)
        if now_ms - self._expired_ms >= EXPIRY_INTERVAL_MS:
            self.expire_reports(now_ms)

    def expire_reports(self, now_ms: int) -> None:
        """Drop expired reports."""
        self._expired_ms = now_ms
        for entry, received_ms in list(self._received_ms.items()):
            if now_ms - received_ms > REPORT_TTL_MS:
                del self._received_ms[entry]
                self._remove_from_totals(self._reports.pop(entry))

    def _remove_from_totals(self, report: LoadReport) -> None:
        for server, load in report.loads.items():
            total = self._totals.setdefault(server, ServerLoad())
            total.subtract(load)
            if total == ServerLoad():
                del self._totals[server]

    def load_on(self, server: ServerId) -> ServerLoad:
        """Return the total load of the other entry instances on a server."""
        return self._totals.get(server) or ServerLoad()
