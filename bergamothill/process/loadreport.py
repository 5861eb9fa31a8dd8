"""What entry instances tell each other about their requests at backend servers; no I/O.

A report is a whole snapshot, so that a lost or repeated one does no harm. It counts for a short
time only, since its sender may have stopped.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import cbor2

from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId, ServerId

__all__ = ["LoadReport", "PeerLoads", "ServerLoad", "decode_report", "encode_report"]

REPORT_LIFE_MS = 1_000
"""Time after which the sender's requests are taken to be over or its link to be cut."""


@dataclass(slots=True)
class ServerLoad:
    """Requests at one server.

    :param in_progress: number of requests
    :param tokens: prompt tokens of those
    :param unread_tokens: tokens that the server has yet to read for them
    """

    in_progress: int = 0
    tokens: int = 0
    unread_tokens: int = 0

    def add(self, other: ServerLoad) -> None:
        """Add another entry instance's requests."""
        self.in_progress += other.in_progress
        self.tokens += other.tokens
        self.unread_tokens += other.unread_tokens


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Report of one entry instance.

    :param entry: its sender
    :param number: grows with each report of one start of the sender; begins at its wall clock
    :param loads: servers with requests
    """

    entry: EntryInstanceId
    number: int
    loads: dict[ServerId, ServerLoad]


def encode_report(report: LoadReport) -> bytes:
    """Encode a report as CBOR.

    :param report: report
    """
    rows = [[s, v.in_progress, v.tokens, v.unread_tokens] for s, v in report.loads.items()]
    return cbor2.dumps([report.entry, report.number, rows])


def decode_report(encoded: bytes) -> LoadReport:
    """Decode a report.

    :param encoded: datagram
    :raises ProtocolError: it is no report
    """
    try:
        entry, number, rows = cbor2.loads(encoded)
        loads = {
            ServerId(str(server)): ServerLoad(int(runs), int(tokens), int(unread))
            for server, runs, tokens, unread in rows
        }
        return LoadReport(EntryInstanceId(str(entry)), int(number), loads)
    except (TypeError, ValueError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(f"not a load report: {error}", step="load.decode") from error


class PeerLoads:
    """Latest reports of the other entry instances."""

    def __init__(self) -> None:
        self._reports: dict[EntryInstanceId, LoadReport] = {}
        self._taken_ms: dict[EntryInstanceId, int] = {}
        self._totals: dict[ServerId, ServerLoad] = {}

    def take(self, report: LoadReport, now_ms: int) -> None:
        """Take over a report unless it is older than the one known."""
        known = self._reports.get(report.entry)
        if known is not None and report.number <= known.number:
            return
        self._reports[report.entry] = report
        self._taken_ms[report.entry] = now_ms
        self.refresh(now_ms)

    def refresh(self, now_ms: int) -> None:
        """Drop reports that are too old, and add up the rest."""
        for entry, taken_ms in list(self._taken_ms.items()):
            if now_ms - taken_ms > REPORT_LIFE_MS:
                del self._taken_ms[entry], self._reports[entry]
        self._totals = _sum(self._reports.values())

    def at(self, server: ServerId) -> ServerLoad:
        """Return the load that the others have at a server."""
        return self._totals.get(server) or ServerLoad()


def _sum(reports: Iterable[LoadReport]) -> dict[ServerId, ServerLoad]:
    totals: dict[ServerId, ServerLoad] = {}
    for report in reports:
        for server, load in report.loads.items():
            totals.setdefault(server, ServerLoad()).add(load)
    return totals
