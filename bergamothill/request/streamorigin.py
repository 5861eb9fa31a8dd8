"""Which software version began each stream that callers may take up again; no I/O and no clock."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from bergamothill.ids import (
    BrandName,
    EntryInstanceId,
    RequestId,
    ServerId,
    ServiceName,
    SoftwareVersion,
)

__all__ = [
    "MAX_RESUME_MS",
    "KnownOrigin",
    "SoleVersion",
    "StreamKey",
    "StreamOrigin",
    "StreamOrigins",
    "may_record",
]

MAX_RESUME_MS = 60_000
"""Longest time after its first event in which a stream may be taken up."""

MAX_BYTES = 8 * 1024 * 1024
MAX_REQUEST_ID_CHARS = 200

ENTRY_BYTES = 700
"""Memory of an entry besides its text."""


@dataclass(frozen=True, slots=True)
class StreamKey:
    """Identifies a stream; request ids are chosen by callers and belong to their brand.

    :param brand: brand of the caller; None without one
    :param request: request that brought the first event
    """

    brand: BrandName | None
    request: RequestId


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    :param key: identifies the stream
    :param service: service of the server
    :param version: version of the server's software
    :param server: server that sent the first event
    :param started_wall_ms: start of the server's incarnation
    :param begun_wall_ms: wall-clock time of the first event
    :param is_presumed: whether another process may have answered under the id of the server, which
        only a later list of servers shows
    """

    key: StreamKey
    service: ServiceName
    version: SoftwareVersion
    server: ServerId
    started_wall_ms: int
    begun_wall_ms: int
    is_presumed: bool = False

    def agrees_with(self, other: StreamOrigin) -> bool:
        """Return whether a stream of the same key may go on at the same servers."""
        return (self.service, self.version) == (other.service, other.version)


@dataclass(frozen=True, slots=True)
class SoleVersion:
    """Version at which all streams of a service are presumed to have begun."""

    service: ServiceName
    version: SoftwareVersion


@dataclass(frozen=True, slots=True)
class KnownOrigin:
    """Origin that was found.

    :param origin: where the stream began
    :param age_ms: time since it was recorded, or since the first event if a peer has just told it
    :param source: peer that told it when asked; None if it was known here
    """

    origin: StreamOrigin
    age_ms: int
    source: EntryInstanceId | None = None


@dataclass(slots=True)
class _Record:
    origin: StreamOrigin
    recorded_ms: int
    expires_ms: int
    size: int
    is_ambiguous: bool = False


class _BrandRecords:
    """Records of one brand, the latest last."""

    def __init__(self) -> None:
        self.by_request: OrderedDict[RequestId, _Record] = OrderedDict()
        self.size = 0

    def add(self, record: _Record) -> None:
        self.by_request[record.origin.key.request] = record
        self.size += record.size

    def remove_oldest(self) -> int:
        """Remove the oldest record and return its size."""
        _, record = self.by_request.popitem(last=False)
        self.size -= record.size
        return record.size

    def is_oldest_expired(self, now_ms: int) -> bool:
        oldest = next(iter(self.by_request.values()), None)
        return oldest is not None and oldest.expires_ms <= now_ms


def may_record(key: StreamKey) -> bool:
    """Return whether streams with this key are recorded."""
    return 0 < len(key.request) <= MAX_REQUEST_ID_CHARS


class StreamOrigins:
    """Origins of streams, for as long as callers may take them up.

    A brand whose origins take less than an equal part of the memory loses none before they expire,
    whatever other brands do.

    :param max_bytes: limits the estimated memory of all records
    """

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._brands: OrderedDict[BrandName | None, _BrandRecords] = OrderedDict()
        self.size = 0
        """Estimated memory of all records, in bytes."""

    def record(self, origin: StreamOrigin, now_ms: int, ttl_ms: int = MAX_RESUME_MS) -> None:
        """Record where a stream began.

        A key whose records disagree stays ambiguous until the latest of them expires, as its
        caller gave several requests the same id.

        :param origin: where it began
        :param now_ms: current time
        :param ttl_ms: time for which it may still be taken up
        """
        self._expire(origin.key.brand, now_ms)
        if not may_record(origin.key):
            return
        expires_ms = now_ms + min(ttl_ms, MAX_RESUME_MS)
        records = self._brands.setdefault(origin.key.brand, _BrandRecords())
        known = records.by_request.get(origin.key.request)
        if known is None or known.expires_ms <= now_ms:
            self._replace(records, known, _Record(origin, now_ms, expires_ms, _size(origin)))
        else:
            known.is_ambiguous |= not known.origin.agrees_with(origin)
            if known.origin.is_presumed and not origin.is_presumed:
                known.origin = origin
            known.recorded_ms = now_ms
            known.expires_ms = max(known.expires_ms, expires_ms)
        records.by_request.move_to_end(origin.key.request)
        self._evict()

    def find(self, key: StreamKey, now_ms: int) -> KnownOrigin | None:
        """Return where a stream began; None if this is not known or ambiguous."""
        record = self._find_record(key, now_ms)
        if record is None or record.is_ambiguous:
            return None
        return KnownOrigin(record.origin, now_ms - record.recorded_ms)

    def is_ambiguous(self, key: StreamKey, now_ms: int) -> bool:
        """Return whether streams of several versions began with this key."""
        record = self._find_record(key, now_ms)
        return record is not None and record.is_ambiguous

    def _find_record(self, key: StreamKey, now_ms: int) -> _Record | None:
        records = self._brands.get(key.brand)
        record = None if records is None else records.by_request.get(key.request)
        return None if record is None or record.expires_ms <= now_ms else record

    def _replace(self, records: _BrandRecords, known: _Record | None, record: _Record) -> None:
        if known is not None:
            records.size -= known.size
            self.size -= known.size
        records.add(record)
        self.size += record.size

    def _expire(self, brand: BrandName | None, now_ms: int) -> None:
        """Remove expired records of one brand and of the next one in turn."""
        next_brand = next(iter(self._brands), None)
        if next_brand in self._brands:
            self._brands.move_to_end(next_brand)
        for name in {brand, next_brand} & self._brands.keys():
            records = self._brands[name]
            while records.is_oldest_expired(now_ms):
                self._remove_oldest(name, records)

    def _evict(self) -> None:
        while self.size > self._max_bytes:
            name, records = max(self._brands.items(), key=lambda item: item[1].size)
            self._remove_oldest(name, records)

    def _remove_oldest(self, brand: BrandName | None, records: _BrandRecords) -> None:
        self.size -= records.remove_oldest()
        if not records.by_request:
            del self._brands[brand]


def _size(origin: StreamOrigin) -> int:
    texts = (origin.key.brand or "", origin.key.request, origin.service, origin.version)
    return ENTRY_BYTES + sum(map(len, texts)) + len(origin.server)
