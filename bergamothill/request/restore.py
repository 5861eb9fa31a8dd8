"""Kept context of a prompt: look up its blocks, have an engine import them, export new ones."""

from __future__ import annotations

import secrets
import threading
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import CancelledError, Future, ThreadPoolExecutor, TimeoutError
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from bergamothill.clock import Clock, seconds
from bergamothill.connection.engine import BlockRef, ModelEngine
from bergamothill.errors import BergamothillError, StoreFullError
from bergamothill.ids import Generation, ServerId, StoreId, ZoneName
from bergamothill.logs import EventLog
from bergamothill.process.metrics import StatsdMetrics
from bergamothill.request.blockport import BlockPort, run_block_machine
from bergamothill.request.flight import SingleFlight
from bergamothill.request.routing import StoredBlock
from bergamothill.request.storecalls import StoreCalls, StoreEndpoint
from bergamothill.request.sweep import StoreSweeper, SweepReport
from bergamothill.version.block import BlockChain
from bergamothill.version.blockname import BlockName, CopyListing, parse_listing
from bergamothill.version.blockstore import (
    BlockBounds,
    BlockRead,
    BlockWrite,
    ReadConfirmed,
    WriteCommitted,
)
from bergamothill.version.blocksweep import WarmTime

__all__ = ["ExportOutcome", "ExportStatus", "Found", "KeptContext"]

LOOKUP_TIMEOUT_MS = 150
LOOKUP_WINDOW = 8
TRANSFER_THREADS = 32
TOUCH_INTERVAL_MS = 600_000
GENERATION_BYTES = 16
PRESENT_MS = 60_000
PRESENT_KEYS = 20_000

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class Found:
    """One readable copy of a block of the prompt.

    :param listing: what the store listed
    :param store: store instance that holds it
    :param zone: availability zone of the store
    :param looked_up_ms: instant before the look-up was sent, in milliseconds
    """

    listing: CopyListing
    store: StoreId
    zone: ZoneName
    looked_up_ms: int

    @property
    def block(self) -> BlockRef:
        """Reference to the data."""
        return self.listing.block

    def stored(self) -> StoredBlock:
        """Return the copy as routing weighs it."""
        block = self.block
        return StoredBlock(self.store, self.zone, block.size_bytes, block.token_count)


@dataclass(frozen=True, slots=True)
class _Asked:
    """A look-up of one block at one store."""

    store: StoreId
    future: Future[tuple[Found, ...]]


class ExportStatus(Enum):
    """Outcome of one export."""

    COMMITTED = "committed"
    PRESENT = "present"
    """A readable copy was there already."""

    ABANDONED = "abandoned"
    FULL = "full"
    """The store had no room; something was retired to make some later."""


@dataclass(frozen=True, slots=True)
class ExportOutcome:
    """Outcome of the export of one block.

    :param key: block key
    :param status: outcome
    :param size_bytes: bytes moved
    """

    key: str
    status: ExportStatus
    size_bytes: int = 0


class KeptContext:
    """Access of one entry instance to the kept blocks at the stores of its region.

    :param stores: store instances of the region
    :param zone: availability zone of this entry instance
    :param clock: source of time
    :param warm_time_ms: how long a brand's blocks are kept after their last use
    :param bounds: time bounds of the block protocol
    :param metrics: counters; None for none
    """

    def __init__(
        self,
        stores: Mapping[StoreId, StoreEndpoint],
        zone: ZoneName,
        clock: Clock,
        warm_time_ms: WarmTime,
        *,
        bounds: BlockBounds | None = None,
        metrics: StatsdMetrics | None = None,
    ) -> None:
        self.bounds = bounds or BlockBounds()
        self.calls = StoreCalls(stores, zone, clock)
        self._clock = clock
        self._metrics = metrics
        self._sweeper = StoreSweeper(clock, self.bounds, warm_time_ms)
        self._log = EventLog("blocks")
        self._imports: SingleFlight[Generation | None] = SingleFlight()
        self._exports: SingleFlight[ExportOutcome] = SingleFlight()
        self._present: OrderedDict[str, int] = OrderedDict()
        self._present_lock = threading.Lock()
        self._transfers = ThreadPoolExecutor(TRANSFER_THREADS, thread_name_prefix="transfer")

    def close(self) -> None:
        """Stop the threads; transfers that have not begun are dropped."""
        self._transfers.shutdown(wait=False, cancel_futures=True)
        self.calls.close()

    def lookup(
        self, chain: BlockChain, *, timeout_ms: int = LOOKUP_TIMEOUT_MS
    ) -> tuple[Found, ...]:
        """Return the leading blocks of a prompt that stores hold; every doubt is a miss.

        :param chain: blocks of the prompt
        :param timeout_ms: longest duration of the whole look-up, in milliseconds
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        found: list[Found] = []
        for start in range(0, len(chain.keys), LOOKUP_WINDOW):
            keys = chain.keys[start : start + LOOKUP_WINDOW]
            for asked in [self._ask(chain, key) for key in keys]:
                copy = self._first_found(asked, deadline_ms)
                if copy is None:
                    return self._counted(chain, found)
                found.append(copy)
        return self._counted(chain, found)

    def restore(
        self,
        server: ServerId,
        engine: ModelEngine,
        found: Sequence[Found],
        *,
        timeout_ms: int,
    ) -> tuple[Generation, ...]:
        """Have an engine import blocks and return those that a run may use.

        :param server: id of the engine
        :param engine: engine that imports
        :param found: leading blocks, as returned by :meth:`lookup`; those that the engine keeps
            may be left out at the front
        :param timeout_ms: longest time to wait, in milliseconds
        :returns: generations of the longest confirmed prefix of ``found``
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        flights = [self._fly(server, engine, one, timeout_ms) for one in found]
        confirmed: list[Generation] = []
        for flight in flights:
            generation = self._result(flight, deadline_ms)
            if generation is None:
                break
            confirmed.append(generation)
        for one in found[: len(confirmed)]:
            self._touch(one)
        return tuple(confirmed)

    def export(
        self, engine: ModelEngine, chain: BlockChain, index: int, zone: ZoneName
    ) -> ExportOutcome:
        """Copy one block from an engine to a store, unless it is there; blocks until done.

        A block that some store showed within the last minute counts as there. At worst the store
        has lost it since, and the block is exported after a later run.

        :param engine: engine that keeps the block
        :param chain: blocks of the prompt, under the version that the run confirmed
        :param index: position of the block in the chain
        :param zone: availability zone of the engine
        """
        key = chain.keys[index]
        if self._was_present(key):
            return ExportOutcome(key, ExportStatus.PRESENT)
        endpoint = self.calls.writer_of(key, zone)
        if endpoint is None or not self.calls.is_trusted(endpoint.store):
            return ExportOutcome(key, ExportStatus.ABANDONED)
        flight = self._exports.join(ServerId(endpoint.store), key)
        if not flight.leader:
            return flight.future.result()
        try:
            outcome = self._export(engine, chain, index, endpoint)
        except Exception as error:
            self._exports.fail(ServerId(endpoint.store), key, error)
            raise
        self._exports.succeed(ServerId(endpoint.store), key, outcome)
        if outcome.status in (ExportStatus.COMMITTED, ExportStatus.PRESENT):
            self._note_present((key,))
        return outcome

    def sweep(self) -> tuple[SweepReport, ...]:
        """Sweep every store that answers; the holder of the sweeping duty calls it in turns."""
        reports = []
        for endpoint in self.calls.all():
            try:
                reports.append(self._sweeper.sweep(endpoint))
            except BergamothillError as error:
                self._log.warning("sweep_skipped", store=endpoint.store, error=error)
        return tuple(reports)

    # Look-up.

    def _ask(self, chain: BlockChain, key: str) -> list[_Asked]:
        prefix = _name(chain, key, Generation("")).key_prefix
        return [
            _Asked(endpoint.store, self.calls.submit(endpoint, lambda at: self._list(at, prefix)))
            for endpoint in self.calls.readers_of(key)
        ]

    def _list(self, endpoint: StoreEndpoint, prefix: str) -> tuple[Found, ...]:
        asked_ms = self._clock.now_ms()
        listed = parse_listing(endpoint.instance.list(prefix))
        return tuple(
            Found(listing, endpoint.store, endpoint.zone, asked_ms)
            for listing in listed
            if listing.name.key_prefix == prefix and listing.is_readable(self.bounds.write_ms)
        )

    def _first_found(self, asked: list[_Asked], deadline_ms: int) -> Found | None:
        for one in asked:
            copies = self._result(one.future, deadline_ms)
            if copies:
                return min(copies, key=lambda copy: copy.listing.name.generation)
            if not one.future.done():
                self.calls.suspect(one.store, "slow")
        return None

    def _result(self, future: Future[Result], deadline_ms: int) -> Result | None:
        """Return the result of a future; None when it failed or is late."""
        left_ms = max(0, deadline_ms - self._clock.now_ms())
        try:
            return future.result(timeout=seconds(left_ms))
        except (BergamothillError, TimeoutError, CancelledError):
            return None

    def _counted(self, chain: BlockChain, found: list[Found]) -> tuple[Found, ...]:
        self._note_present(one.block.key for one in found)
        self._count("block.found", chain.brand, len(found))
        self._count("block.missed", chain.brand, len(chain.keys) - len(found))
        return tuple(found)

    def _note_present(self, keys: Iterable[str]) -> None:
        """Remember blocks that a store has shown, so that an export need not ask for them."""
        now_ms = self._clock.now_ms()
        with self._present_lock:
            for key in keys:
                self._present[key] = now_ms
                self._present.move_to_end(key)
            while len(self._present) > PRESENT_KEYS:
                self._present.popitem(last=False)

    def _was_present(self, key: str) -> bool:
        with self._present_lock:
            seen_ms = self._present.get(key)
        return seen_ms is not None and self._clock.now_ms() - seen_ms < PRESENT_MS

    # Import.

    def _fly(
        self, server: ServerId, engine: ModelEngine, found: Found, timeout_ms: int
    ) -> Future[Generation | None]:
        """Start the import of one block, or join the one under way."""
        key = f"{found.block.key}/{found.block.generation}"
        flight = self._imports.join(server, key)
        if flight.leader:
            self._transfers.submit(self._lead_import, server, engine, found, key, timeout_ms)
        return flight.future

    def _lead_import(
        self, server: ServerId, engine: ModelEngine, found: Found, key: str, timeout_ms: int
    ) -> None:
        try:
            generation = self._import(server, engine, found, timeout_ms)
        except Exception as error:
            self._imports.fail(server, key, error)
            raise
        self._imports.succeed(server, key, generation)

    def _import(
        self, server: ServerId, engine: ModelEngine, found: Found, timeout_ms: int
    ) -> Generation | None:
        endpoint = self.calls.find(found.store)
        if endpoint is None:
            return None
        port = BlockPort(engine, endpoint, found.block.token_count, timeout_ms)
        machine = BlockRead(found.listing, found.looked_up_ms, self.bounds)
        outcome = run_block_machine(machine, port.perform, self._clock)
        if isinstance(outcome, ReadConfirmed):
            return outcome.generation
        self._log.warning(
            "block_rejected",
            brand=found.listing.name.brand,
            key=found.block.key,
            store=found.store,
            server=server,
            reason=outcome.reason.value,
            error=port.error or "",
        )
        self._count("block.rejected", found.listing.name.brand, 1)
        return None

    def _touch(self, found: Found) -> None:
        """Note the use at the store, now and then."""
        age_ms = found.listing.commits[0].age_ms
        if found.listing.used_age_ms is not None:
            age_ms = min(age_ms, found.listing.used_age_ms)
        endpoint = self.calls.find(found.store)
        if age_ms < TOUCH_INTERVAL_MS or endpoint is None:
            return
        self.calls.submit(endpoint, lambda at: at.instance.put(found.listing.name.used, b""))

    # Export.

    def _export(
        self, engine: ModelEngine, chain: BlockChain, index: int, endpoint: StoreEndpoint
    ) -> ExportOutcome:
        key = chain.keys[index]
        name = _name(chain, key, Generation(secrets.token_hex(GENERATION_BYTES)))
        try:
            if self._list(endpoint, name.key_prefix):
                return ExportOutcome(key, ExportStatus.PRESENT)
        except BergamothillError as error:
            self.calls.suspect(endpoint.store, error.code)
            return ExportOutcome(key, ExportStatus.ABANDONED)
        token_count = chain.token_counts[index]
        port = BlockPort(engine, endpoint, token_count, self.bounds.write_ms // 2)
        machine = BlockWrite(name, index, self.bounds)
        outcome = run_block_machine(machine, port.perform, self._clock)
        if isinstance(outcome, WriteCommitted):
            self._count("block.exported", chain.brand, 1)
            return ExportOutcome(key, ExportStatus.COMMITTED, outcome.block.size_bytes)
        self._log.warning(
            "block_export_abandoned",
            brand=chain.brand,
            key=key,
            store=endpoint.store,
            reason=outcome.reason.value,
            error=port.error or "",
        )
        self._count("block.export_abandoned", chain.brand, 1)
        if not isinstance(port.error, StoreFullError):
            return ExportOutcome(key, ExportStatus.ABANDONED)
        self.calls.submit(endpoint, self._sweeper.evict)
        return ExportOutcome(key, ExportStatus.FULL)

    def _count(self, name: str, brand: str, count: int) -> None:
        if self._metrics is not None and count:
            self._metrics.incr(name, brand, count)


def _name(chain: BlockChain, key: str, generation: Generation) -> BlockName:
    return BlockName(chain.brand, chain.model, chain.weight_version, key, generation)
