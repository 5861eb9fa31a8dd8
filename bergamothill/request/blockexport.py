"""Export of KV cache blocks from engines to stores, one transfer per block and store."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from enum import Enum

from bergamothill.clock import Clock
from bergamothill.connection.engine import ModelEngine
from bergamothill.errors import BergamothillError, StoreFullError
from bergamothill.ids import Generation, ServerId, ZoneName
from bergamothill.logs import EventLog
from bergamothill.request.blocklookup import BlockCounter, BlockLookup
from bergamothill.request.blockperformer import BlockPerformer, run_block_machine
from bergamothill.request.flight import SingleFlight
from bergamothill.request.storecalls import StoreCalls, StoreEndpoint
from bergamothill.request.storedblockcache import StoredBlockCache
from bergamothill.request.sweep import StoreSweeper
from bergamothill.version.block import BlockChain
from bergamothill.version.blockname import name_copy
from bergamothill.version.blockstore import BlockBounds, BlockWrite, WriteCommitted

__all__ = ["BlockExporter", "ExportOutcome", "ExportStatus"]

GENERATION_BYTES = 16


class ExportStatus(Enum):
    """Outcome of one export."""

    COMMITTED = "committed"
    PRESENT = "present"
    """The store already has a readable copy."""

    ABANDONED = "abandoned"
    FULL = "full"
    """The store had no room; eviction was started, which frees space later."""


@dataclass(frozen=True, slots=True)
class ExportOutcome:
    """Outcome of the export of one block.

    :param key: block key
    :param status: outcome
    :param size_bytes: bytes transferred
    """

    key: str
    status: ExportStatus
    size_bytes: int = 0


class BlockExporter:
    """Makes engines export blocks to stores.

    :param calls: calls to the stores
    :param lookup: queries a store for a block
    :param stored_blocks: blocks recently found at or exported to a store; these need no query
    :param sweeper: evicts copies from a full store
    :param clock: time source
    :param bounds: time bounds of the block protocol
    :param count: adds to a metrics counter
    """

    def __init__(
        self,
        calls: StoreCalls,
        lookup: BlockLookup,
        stored_blocks: StoredBlockCache,
        sweeper: StoreSweeper,
        clock: Clock,
        bounds: BlockBounds,
        count: BlockCounter,
    ) -> None:
        self._calls = calls
        self._lookup = lookup
        self._stored_blocks = stored_blocks
        self._sweeper = sweeper
        self._clock = clock
        self._bounds = bounds
        self._count = count
        self._log = EventLog("blocks")
        self._exports: SingleFlight[ExportOutcome] = SingleFlight()

    def export(
        self, engine: ModelEngine, chain: BlockChain, index: int, zone: ZoneName
    ) -> ExportOutcome:
        """Copy one block from an engine to a store, unless it is stored; blocks until done.

        A block that was found at or exported to any store within the last minute counts as stored.
        If the store has lost it since, the block is exported after a later run.

        :param engine: engine that caches the block
        :param chain: blocks of the prompt, for the weight version that the run confirmed
        :param index: position of the block in the chain
        :param zone: availability zone of the engine
        """
        key = chain.keys[index]
        if self._stored_blocks.contains(key):
            return ExportOutcome(key, ExportStatus.PRESENT)
        endpoint = self._calls.store_to_write(key, zone)
        if endpoint is None or not self._calls.is_available(endpoint.store):
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
            self._stored_blocks.add((key,))
        return outcome

    def _export(
        self, engine: ModelEngine, chain: BlockChain, index: int, endpoint: StoreEndpoint
    ) -> ExportOutcome:
        key = chain.keys[index]
        name = name_copy(chain, key, Generation(secrets.token_hex(GENERATION_BYTES)))
        try:
            if self._lookup.list_readable(endpoint, name.key_prefix):
                return ExportOutcome(key, ExportStatus.PRESENT)
        except BergamothillError as error:
            self._calls.mark_suspect(endpoint.store, error.code)
            return ExportOutcome(key, ExportStatus.ABANDONED)
        token_count = chain.token_counts[index]
        performer = BlockPerformer(engine, endpoint, token_count, self._bounds.write_ms // 2)
        machine = BlockWrite(name, index, self._bounds)
        outcome = run_block_machine(machine, performer.perform, self._clock)
        if isinstance(outcome, WriteCommitted):
            self._count("block.exported", chain.brand, 1)
            return ExportOutcome(key, ExportStatus.COMMITTED, outcome.block.size_bytes)
        self._log.warning(
            "block_export_abandoned",
            brand=chain.brand,
            key=key,
            store=endpoint.store,
            reason=outcome.reason.value,
            error=performer.error or "",
        )
        self._count("block.export_abandoned", chain.brand, 1)
        if not isinstance(performer.error, StoreFullError):
            return ExportOutcome(key, ExportStatus.ABANDONED)
        self._calls.submit(endpoint, self._sweeper.evict)
        return ExportOutcome(key, ExportStatus.FULL)
