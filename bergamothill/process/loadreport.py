"""Load reports, in which entry instances tell peers of their requests at servers; no I/O.

A report is a full snapshot, so that lost or duplicated datagrams do no harm. It expires after a
short time, since its sender may have stopped.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from typing import NewType, Protocol

import cbor2

from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId, ServerId

__all__ = [
    "CountedSum",
    "KeyedLoads",
    "LoadReport",
    "MemberKey",
    "PeerLoads",
    "ServerKey",
    "ServerLoad",
    "decode_report",
    "encode_report",
    "keyed_loads",
    "member_key",
    "server_key",
]

REPORT_TTL_MS = 1_000
"""Time after which the sender's requests are assumed to have ended, or its link to be down."""

EXPIRY_INTERVAL_MS = 100

KEY_BYTES = 4
MAX_KNOWN_KEYS = 8_192

ServerKey = NewType("ServerKey", int)
"""Hash of the name of a server; two of 1,000 servers share one with a probability of 1 in 8,600."""

MemberKey = NewType("MemberKey", int)
"""Hash of the name of an entry instance."""


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


KeyedLoads = Mapping[ServerKey, ServerLoad]


def _key(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=KEY_BYTES).digest(), "little")


@lru_cache(maxsize=MAX_KNOWN_KEYS)
def server_key(server: ServerId) -> ServerKey:
    """Return the key that stands for a server in datagrams."""
    return ServerKey(_key(server))


@lru_cache(maxsize=MAX_KNOWN_KEYS)
def member_key(entry: EntryInstanceId) -> MemberKey:
    """Return the key that stands for an entry instance in datagrams."""
    return MemberKey(_key(entry))


def keyed_loads(loads: Mapping[ServerId, ServerLoad]) -> KeyedLoads:
    """Return loads by the keys of their servers."""
    return {server_key(server): load for server, load in loads.items()}


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


class CountedSum(Protocol):
    """Sum of the loads of several instances."""

    @property
    def loads(self) -> KeyedLoads:
        """Loads by server, without those of this instance."""


@dataclass(frozen=True, slots=True)
class _Reported:
    sequence_number: int
    received_ms: int
    loads: KeyedLoads


class PeerLoads:
    """Latest loads of the other entry instances, added up by server.

    An instance is counted by its own report or by the sum of a zone that contains it, never by
    both. Loads are added up when they are asked for, as most reports are replaced before that.
    """

    def __init__(self) -> None:
        self._reports: dict[EntryInstanceId, _Reported] = {}
        self._sums: tuple[CountedSum, ...] = ()
        self._covered: frozenset[MemberKey] = frozenset()
        self._sources: list[KeyedLoads] | None = []
        self._totals: dict[ServerKey, ServerLoad] = {}
        self._expired_ms = 0

    def add_report(self, report: LoadReport, now_ms: int) -> None:
        """Store a report unless a newer one from the same sender is known."""
        self.add_loads(report.entry, report.sequence_number, keyed_loads(report.loads), now_ms)

    def add_loads(
        self, entry: EntryInstanceId, sequence_number: int, loads: KeyedLoads, now_ms: int
    ) -> None:
        """Store the loads of an instance unless newer ones are known.

        :param entry: sender
        :param sequence_number: increases with each report of the sender
        :param loads: its loads
        """
        latest = self._reports.get(entry)
        if latest is not None and sequence_number <= latest.sequence_number:
            return
        self._reports[entry] = _Reported(sequence_number, now_ms, loads)
        self._sources = None
        if now_ms - self._expired_ms >= EXPIRY_INTERVAL_MS:
            self.expire_reports(now_ms)

    def set_sums(self, sums: Iterable[CountedSum], covered: frozenset[MemberKey]) -> None:
        """Set the sums of zones that are counted.

        :param sums: sums without a common instance
        :param covered: instances that they contain, whose own reports are not counted
        """
        self._sums, self._covered, self._sources = tuple(sums), covered, None

    def expire_reports(self, now_ms: int) -> None:
        """Drop expired reports."""
        self._expired_ms = now_ms
        for entry, reported in list(self._reports.items()):
            if now_ms - reported.received_ms > REPORT_TTL_MS:
                del self._reports[entry]
                self._sources = None

    @property
    def reporting(self) -> int:
        """Number of other entry instances whose latest reports count."""
        return len(self._reports)

    def load_on(self, server: ServerId) -> ServerLoad:
        """Return the total load of the other entry instances on a server."""
        if self._sources is None:
            reports = self._reports.items()
            self._sources = [
                reported.loads
                for entry, reported in reports
                if not self._covered or member_key(entry) not in self._covered
            ]
            self._sources += [each.loads for each in self._sums]
            self._totals.clear()
        key = server_key(server)
        total = self._totals.get(key)
        if total is None:
            total = self._totals[key] = ServerLoad()
            for loads in self._sources:
                load = loads.get(key)
                if load is not None:
                    total.add(load)
        return total
