"""Record of the versions that services have had, which outlives all entry instances; no I/O.

Before a stream begins at a version of a service, that version is in the record in the key-value
service. So if the record has had a single version for as long as streams may be taken up, all of
them began at it, also those whose origin was lost with the instances that held it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from bergamothill.ids import ServiceName, SoftwareVersion

__all__ = ["FORGET_MS", "SETTLE_MS", "RecordItem", "RecordKeeper", "RecordUse", "VersionRecord"]

SETTLE_MS = 65_000
"""Time after which no stream can be taken up that began before the record existed.

Streams may be taken up for 60 s; the rest covers a write that is under way.
"""

FORGET_MS = 600_000
"""Time without an item in any list after which it is removed.

It is far longer than an instance that has lost the key-value service goes on with an older list.
"""

MAX_GAP_MS = 10_000
"""Longest time between two lists in which one that has an item is not missed."""


class RecordUse(Enum):
    """What an entry instance does with the record.

    All instances of a deployment have to write it before one may trust it.
    """

    OFF = "off"
    OBSERVE = "observe"
    """Write what lists show, and trust it beside them; servers do not wait for the record."""

    WRITE = "write"
    TRUST = "trust"


@dataclass(frozen=True, slots=True, order=True)
class RecordItem:
    """A version that a service has had, or a service that a route has had.

    :param kind: ``service`` or ``route``
    :param name: name of the service or route
    :param value: version of the service, or service of the route
    """

    kind: str
    name: str
    value: str

    @classmethod
    def of_version(cls, service: ServiceName, version: SoftwareVersion) -> RecordItem:
        """Return the item of a version of a service."""
        return cls("service", service, version)

    @classmethod
    def of_route(cls, route: str, service: ServiceName) -> RecordItem:
        """Return the item of a service of a route."""
        return cls("route", route, service)


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """Content of the record.

    :param era: era of the key-value service in which it was begun; a restored service may have
        lost later items
    :param is_settled: whether it has existed for longer than any stream may be taken up
    :param items: all that may have begun a stream since
    """

    era: int
    is_settled: bool
    items: frozenset[RecordItem]

    def only_value(self, kind: str, name: str) -> str | None:
        """Return the single value of a service or route; None if there are none or several."""
        values = [item.value for item in self.items if (item.kind, item.name) == (kind, name)]
        return values[0] if len(values) == 1 else None

    def only_origin(self, route: str, era: int) -> tuple[ServiceName, SoftwareVersion] | None:
        """Return the service and version at which all streams of a route began, if it is known.

        :param era: current era of the key-value service; 0 if it names none, as one does that is
            never restored
        """
        if not self.is_settled or self.era != era:
            return None
        service = self.only_value("route", route)
        version = None if service is None else self.only_value("service", service)
        return None if version is None else (ServiceName(service), SoftwareVersion(version))


class RecordKeeper:
    """What one entry instance knows of the record, and what it should write.

    Times are those of this instance, so that its clock need not agree with those of the others.

    :param settle_ms: time after which no stream can be taken up that began before the record did
    :param forget_ms: time without an item in any list after which it is removed
    """

    def __init__(self, settle_ms: int = SETTLE_MS, forget_ms: int = FORGET_MS) -> None:
        self._settle_ms, self._forget_ms = settle_ms, forget_ms
        self.record: VersionRecord | None = None
        """The record as read or written last; None if there is none or it was not read."""

        self._read_ms: int | None = None
        self._era = 0
        self._seen_since_ms = 0
        self._listed_ms: dict[RecordItem, int] = {}
        self._current: frozenset[RecordItem] = frozenset()
        self._confirmed: frozenset[RecordItem] = frozenset()
        self._observed_since_ms = 0
        self._last_list_ms: int | None = None
        self._past: frozenset[RecordItem] | None = None

    @property
    def must_read(self) -> bool:
        """Whether the record is not known, or lacks what is in use."""
        is_known = self._read_ms is not None and self._is_valid
        return bool(self._current) and not (is_known and self._current <= self._confirmed)

    @property
    def _is_valid(self) -> bool:
        return self.record is not None and self.record.era == self._era

    def apply_list(self, items: Iterable[RecordItem], now_ms: int) -> None:
        """Apply what the latest list of servers and the configuration contain."""
        gap_ms = MAX_GAP_MS + 1 if self._last_list_ms is None else now_ms - self._last_list_ms
        if gap_ms > MAX_GAP_MS:
            self._observed_since_ms = now_ms
        self._last_list_ms = now_ms
        self._current = frozenset(items)
        # An item that was away may have been removed from the record meanwhile.
        is_recent = gap_ms < self._forget_ms // 2
        self._confirmed = self._confirmed & self._current if is_recent else frozenset()
        for item in self._current:
            self._listed_ms[item] = now_ms

    def apply_record(self, record: VersionRecord | None, era: int, now_ms: int) -> None:
        """Apply the record as it was read or written.

        :param record: its content; None if there is none
        :param era: current era of the key-value service
        """
        known = self.record
        was_seen = known is not None and record is not None and known.era == record.era
        if not was_seen or known.is_settled:
            self._seen_since_ms = now_ms
        self.record, self._read_ms, self._era = record, now_ms, era
        if self._is_valid:
            self._confirmed |= self._current & record.items

    @property
    def lacks_past(self) -> bool:
        """Whether the record would be settled if all that came before it were known."""
        return self._is_valid and not self.record.is_settled and self._past is None

    def apply_past(self, items: Iterable[RecordItem]) -> None:
        """Apply all that may have begun a stream before the record was begun."""
        self._past = frozenset(items)

    def handle_restore(self) -> None:
        """Read and write again, as the key-value service was restored from an older copy.

        What was confirmed stays in use: no record of the new era is settled before it is in it.
        """
        self.record = self._read_ms = self._past = None

    def may_begin(self, item: RecordItem, now_ms: int) -> bool:
        """Return whether streams may begin at a version of a service.

        Without a settled record there is no evidence yet that they could contradict.
        """
        if item in self._confirmed:
            return True
        is_settled = self._is_valid and self.record.is_settled
        is_read = self._read_ms is not None and now_ms - self._read_ms < self._settle_ms // 2
        return is_read and not is_settled

    def next_record(self, now_ms: int, *, is_first: bool) -> VersionRecord | None:
        """Return what to write in place of the record that was read; None for nothing.

        :param is_first: whether this instance does what any single one may do
        """
        record = self.record
        if self._read_ms is None or not self._current:
            return None
        if not self._is_valid:
            items = self._current if record is None else self._current | record.items
            return VersionRecord(self._era, False, items)
        if not record.is_settled and self._past is not None:
            return VersionRecord(record.era, True, record.items | self._current | self._past)
        if not self._current <= record.items:
            return replace(record, items=record.items | self._current)
        if not is_first:
            return None
        if not record.is_settled:
            is_due = now_ms - self._seen_since_ms >= self._settle_ms
            return replace(record, is_settled=True) if is_due else None
        kept = frozenset(i for i in record.items if not self._is_forgotten(i, now_ms))
        return None if kept == record.items else replace(record, items=kept)

    def _is_forgotten(self, item: RecordItem, now_ms: int) -> bool:
        since_ms = max(self._observed_since_ms, self._listed_ms.get(item, 0))
        return item not in self._current and now_ms - since_ms >= self._forget_ms
