"""Block protocol over the least store: write and read of one copy, as state machines without I/O.

A copy is readable from its commit record, which is written last, until its retire marker or the
deletion of the commit record, which comes before that of the data. A reader trusts nothing that it
saw before its last byte: it asks the store again, and gives up when it took longer than the bound
that the sweeper waits out.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import singledispatchmethod

from bergamothill.connection.engine import BlockRef
from bergamothill.ids import Generation
from bergamothill.version.blockname import BlockName, CopyListing

__all__ = [
    "BlockBounds",
    "BlockEffect",
    "BlockEvent",
    "BlockRead",
    "BlockWrite",
    "DataMoved",
    "DeleteObject",
    "DoubtReason",
    "ExportData",
    "ImportData",
    "ListCopy",
    "Listed",
    "MarkerPut",
    "PutMarker",
    "ReadConfirmed",
    "ReadRejected",
    "StepFailed",
    "WriteAbandoned",
    "WriteCommitted",
]


@dataclass(frozen=True, slots=True)
class BlockBounds:
    """Bounds that writers, readers and sweepers share.

    :param read_ms: longest time from a reader's look-up to the end of its last check
    :param write_ms: longest time between the data of a copy and its commit record
    :param retire_wait_ms: time from the retire marker to the first deletion
    :param orphan_ms: age from which data without a valid commit record is an orphan
    """

    read_ms: int = 20_000
    write_ms: int = 30_000
    retire_wait_ms: int = 60_000
    orphan_ms: int = 120_000

    def __post_init__(self) -> None:
        if self.retire_wait_ms <= self.read_ms or self.orphan_ms <= self.write_ms:
            raise ValueError("a sweeper must wait longer than readers and writers may take")


class DoubtReason(Enum):
    """Why a copy was not written or not read."""

    FAILED = "failed"
    """A call failed or its outcome is unknown."""

    CHANGED = "changed"
    """The store no longer shows the copy as it was found, or not as it was written."""

    LATE = "late"
    """The time bound passed."""


@dataclass(frozen=True, slots=True)
class ExportData:
    """Effect: have the engine write the data."""

    name: BlockName


@dataclass(frozen=True, slots=True)
class ImportData:
    """Effect: have the engine read the data into staging."""

    name: BlockName
    block: BlockRef


@dataclass(frozen=True, slots=True)
class ListCopy:
    """Effect: list the objects of the copy."""

    name: BlockName


@dataclass(frozen=True, slots=True)
class PutMarker:
    """Effect: put an empty object."""

    object_name: str


@dataclass(frozen=True, slots=True)
class DeleteObject:
    """Effect: delete an object."""

    object_name: str


@dataclass(frozen=True, slots=True)
class WriteCommitted:
    """Result: the copy is readable."""

    block: BlockRef


@dataclass(frozen=True, slots=True)
class WriteAbandoned:
    """Result: this writer will not commit the copy."""

    reason: DoubtReason


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """Result: a run may use the imported generation."""

    generation: Generation


@dataclass(frozen=True, slots=True)
class ReadRejected:
    """Result: the copy is a miss."""

    reason: DoubtReason


BlockEffect = (
    ExportData
    | ImportData
    | ListCopy
    | PutMarker
    | DeleteObject
    | WriteCommitted
    | WriteAbandoned
    | ReadConfirmed
    | ReadRejected
)


@dataclass(frozen=True, slots=True)
class DataMoved:
    """Event: the engine moved the data; the block has the length and digest that it saw."""

    block: BlockRef


@dataclass(frozen=True, slots=True)
class Listed:
    """Event: what the store lists of the copy; None when it lists nothing."""

    listing: CopyListing | None


@dataclass(frozen=True, slots=True)
class MarkerPut:
    """Event: the store confirmed an empty object."""


@dataclass(frozen=True, slots=True)
class StepFailed:
    """Event: the call of the last effect failed or its outcome is unknown."""


BlockEvent = DataMoved | Listed | MarkerPut | StepFailed


class BlockWrite:
    """Write of one copy: data, length check, commit record.

    :param name: copy to write, with a generation of its own
    :param index: position of the block in its prompt
    :param bounds: time bounds
    """

    def __init__(self, name: BlockName, index: int, bounds: BlockBounds) -> None:
        self._name = name
        self._index = index
        self._bounds = bounds
        self._started_ms = 0
        self._block: BlockRef | None = None

    def start(self, now_ms: int) -> BlockEffect:
        """Begin the write.

        :param now_ms: now, in milliseconds
        """
        self._started_ms = now_ms
        return ExportData(self._name)

    @singledispatchmethod
    def handle(self, event: BlockEvent, now_ms: int) -> BlockEffect:
        """Take the outcome of the last effect and return what to do next.

        :param event: outcome
        :param now_ms: now, in milliseconds, taken after the call returned
        """
        raise TypeError(f"unknown event {event!r}")

    @handle.register
    def _(self, event: DataMoved, now_ms: int) -> BlockEffect:
        self._block = event.block
        return ListCopy(self._name)

    @handle.register
    def _(self, event: Listed, now_ms: int) -> BlockEffect:
        if now_ms - self._started_ms >= self._bounds.write_ms:
            return self._abandon(DoubtReason.LATE)
        listing = event.listing
        if listing is None or listing.data_bytes != self._block.size_bytes:
            return self._abandon(DoubtReason.CHANGED)
        if listing.retired_age_ms is not None:
            return self._abandon(DoubtReason.CHANGED)
        return PutMarker(self._name.commit(self._block, self._index))

    @handle.register
    def _(self, event: MarkerPut, now_ms: int) -> BlockEffect:
        return WriteCommitted(self._block)

    @handle.register
    def _(self, event: StepFailed, now_ms: int) -> BlockEffect:
        return self._abandon(DoubtReason.FAILED)

    def _abandon(self, reason: DoubtReason) -> BlockEffect:
        """Give up and leave what was written to the sweeper.

        A commit record whose reply was lost may be in force, so a writer deletes nothing.
        """
        return WriteAbandoned(reason)


class BlockRead:
    """Read of one copy into an engine's staging, confirmed after the last byte.

    :param found: what the look-up listed
    :param looked_up_ms: instant before the look-up was sent, in milliseconds
    :param bounds: time bounds
    """

    def __init__(self, found: CopyListing, looked_up_ms: int, bounds: BlockBounds) -> None:
        self._found = found
        self._looked_up_ms = looked_up_ms
        self._bounds = bounds

    def start(self, now_ms: int) -> BlockEffect:
        """Begin the read.

        :param now_ms: now, in milliseconds
        """
        if not self._found.is_readable(self._bounds.write_ms):
            return ReadRejected(DoubtReason.CHANGED)
        if self._is_late(now_ms):
            return ReadRejected(DoubtReason.LATE)
        return ImportData(self._found.name, self._found.block)

    @singledispatchmethod
    def handle(self, event: BlockEvent, now_ms: int) -> BlockEffect:
        """Take the outcome of the last effect and return what to do next.

        :param event: outcome
        :param now_ms: now, in milliseconds, taken after the call returned
        """
        raise TypeError(f"unknown event {event!r}")

    @handle.register
    def _(self, event: DataMoved, now_ms: int) -> BlockEffect:
        if event.block != self._found.block:
            return ReadRejected(DoubtReason.CHANGED)
        return ListCopy(self._found.name)

    @handle.register
    def _(self, event: Listed, now_ms: int) -> BlockEffect:
        if self._is_late(now_ms):
            return ReadRejected(DoubtReason.LATE)
        if not self._is_unchanged(event.listing):
            return ReadRejected(DoubtReason.CHANGED)
        return ReadConfirmed(self._found.name.generation)

    @handle.register
    def _(self, event: StepFailed, now_ms: int) -> BlockEffect:
        return ReadRejected(DoubtReason.FAILED)

    def _is_late(self, now_ms: int) -> bool:
        return now_ms - self._looked_up_ms >= self._bounds.read_ms

    def _is_unchanged(self, listing: CopyListing | None) -> bool:
        if listing is None or listing.name != self._found.name:
            return False
        if not listing.is_readable(self._bounds.write_ms):
            return False
        return listing.block == self._found.block
