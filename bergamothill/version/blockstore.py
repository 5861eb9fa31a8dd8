"""Sans-I/O state machines that write and read one copy of a block at a store.

The protocol needs no more of a store than put, get, delete and list.

A copy becomes readable with its commit record, which is written last. It stops being readable when
it is marked as retired or its commit record is deleted, and the data is deleted only after that.
After its last byte, a reader lists the copy again instead of relying on its first look-up, and it
gives up once it has taken longer than the sweeper waits before a deletion.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import singledispatchmethod

from bergamothill.connection.engine import BlockRef
from bergamothill.ids import Generation
from bergamothill.version.blockname import BlockName, CopyListing

__all__ = [
    "AbortReason",
    "BlockBounds",
    "BlockEffect",
    "BlockEvent",
    "BlockRead",
    "BlockWrite",
    "DataTransferred",
    "DeleteObject",
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
    """Time bounds shared by writers, readers and sweepers.

    :param read_ms: maximum time from a reader's look-up to the end of its final check
    :param write_ms: maximum time between the data of a copy and its commit record
    :param retire_wait_ms: time from the retire marker to the first deletion
    :param orphan_ms: age from which data without a valid commit record counts as orphaned
    """

    read_ms: int = 20_000
    write_ms: int = 30_000
    retire_wait_ms: int = 60_000
    orphan_ms: int = 120_000

    def __post_init__(self) -> None:
        if self.retire_wait_ms <= self.read_ms or self.orphan_ms <= self.write_ms:
            raise ValueError(
                "retire_wait_ms must exceed read_ms, and orphan_ms must exceed write_ms"
            )


class AbortReason(Enum):
    """Why a write or read of a copy was given up."""

    FAILED = "failed"
    """A call failed or its outcome is unknown."""

    CHANGED = "changed"
    """The store lists the copy differently from how it was found or written."""

    LATE = "late"
    """The time bound was exceeded."""


@dataclass(frozen=True, slots=True)
class ExportData:
    """Effect: have the engine write the data to the store."""

    name: BlockName


@dataclass(frozen=True, slots=True)
class ImportData:
    """Effect: have the engine read the data from the store into its staging area."""

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
    """Result: the writer gave up without committing the copy."""

    reason: AbortReason


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """Result: the imported data is valid and may be used by a run."""

    generation: Generation


@dataclass(frozen=True, slots=True)
class ReadRejected:
    """Result: the copy cannot be used and counts as a cache miss."""

    reason: AbortReason


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
class DataTransferred:
    """Event: the engine transferred the data; the block has the length and digest it computed."""

    block: BlockRef


@dataclass(frozen=True, slots=True)
class Listed:
    """Event: the store listed the copy; the listing is None when no object was found."""

    listing: CopyListing | None


@dataclass(frozen=True, slots=True)
class MarkerPut:
    """Event: the store confirmed the write of an empty object."""


@dataclass(frozen=True, slots=True)
class StepFailed:
    """Event: the call for the last effect failed or its outcome is unknown."""


BlockEvent = DataTransferred | Listed | MarkerPut | StepFailed


class BlockWrite:
    """Writes one copy: data, length check, then commit record.

    :param name: name of the copy to write, with a generation not used before
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
        """Start the write and return the first effect.

        :param now_ms: current time, in milliseconds
        """
        self._started_ms = now_ms
        return ExportData(self._name)

    @singledispatchmethod
    def handle(self, event: BlockEvent, now_ms: int) -> BlockEffect:
        """Process the outcome of the last effect and return the next effect or the result.

        :param event: outcome of the last effect
        :param now_ms: current time, in milliseconds, read after the call returned
        """
        raise TypeError(f"unknown event {event!r}")

    @handle.register
    def _(self, event: DataTransferred, now_ms: int) -> BlockEffect:
        self._block = event.block
        return ListCopy(self._name)

    @handle.register
    def _(self, event: Listed, now_ms: int) -> BlockEffect:
        if now_ms - self._started_ms >= self._bounds.write_ms:
            return self._abandon(AbortReason.LATE)
        listing = event.listing
        if listing is None or listing.data_bytes != self._block.size_bytes:
            return self._abandon(AbortReason.CHANGED)
        if listing.retired_age_ms is not None:
            return self._abandon(AbortReason.CHANGED)
        return PutMarker(self._name.commit(self._block, self._index))

    @handle.register
    def _(self, event: MarkerPut, now_ms: int) -> BlockEffect:
        return WriteCommitted(self._block)

    @handle.register
    def _(self, event: StepFailed, now_ms: int) -> BlockEffect:
        return self._abandon(AbortReason.FAILED)

    def _abandon(self, reason: AbortReason) -> BlockEffect:
        """Give up and leave written objects to the sweeper.

        The commit record may exist although its reply was lost, so a writer deletes nothing.
        """
        return WriteAbandoned(reason)


class BlockRead:
    """Reads one copy into an engine's staging area and validates it after the last byte.

    :param found: listing returned by the look-up
    :param looked_up_ms: time at which the look-up was sent, in milliseconds
    :param bounds: time bounds
    """

    def __init__(self, found: CopyListing, looked_up_ms: int, bounds: BlockBounds) -> None:
        self._found = found
        self._looked_up_ms = looked_up_ms
        self._bounds = bounds

    def start(self, now_ms: int) -> BlockEffect:
        """Start the read and return the first effect.

        :param now_ms: current time, in milliseconds
        """
        if not self._found.is_readable(self._bounds.write_ms):
            return ReadRejected(AbortReason.CHANGED)
        if self._is_late(now_ms):
            return ReadRejected(AbortReason.LATE)
        return ImportData(self._found.name, self._found.block)

    @singledispatchmethod
    def handle(self, event: BlockEvent, now_ms: int) -> BlockEffect:
        """Process the outcome of the last effect and return the next effect or the result.

        :param event: outcome of the last effect
        :param now_ms: current time, in milliseconds, read after the call returned
        """
        raise TypeError(f"unknown event {event!r}")

    @handle.register
    def _(self, event: DataTransferred, now_ms: int) -> BlockEffect:
        if event.block != self._found.block:
            return ReadRejected(AbortReason.CHANGED)
        return ListCopy(self._found.name)

    @handle.register
    def _(self, event: Listed, now_ms: int) -> BlockEffect:
        if self._is_late(now_ms):
            return ReadRejected(AbortReason.LATE)
        if not self._is_unchanged(event.listing):
            return ReadRejected(AbortReason.CHANGED)
        return ReadConfirmed(self._found.name.generation)

    @handle.register
    def _(self, event: StepFailed, now_ms: int) -> BlockEffect:
        return ReadRejected(AbortReason.FAILED)

    def _is_late(self, now_ms: int) -> bool:
        return now_ms - self._looked_up_ms >= self._bounds.read_ms

    def _is_unchanged(self, listing: CopyListing | None) -> bool:
        if listing is None or listing.name != self._found.name:
            return False
        if not listing.is_readable(self._bounds.write_ms):
            return False
        return listing.block == self._found.block
