"""Copies new blocks from engines to stores, preferably while the engine's network link is idle."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass

from bergamothill.clock import Clock
from bergamothill.connection.engine import ModelEngine
from bergamothill.errors import BergamothillError
from bergamothill.ids import BrandName, ServerId, ZoneName
from bergamothill.logs import EventLog
from bergamothill.request.blockstoreclient import BlockStoreClient, ExportStatus
from bergamothill.request.export import ExportCandidate, ExportSchedule, ReuseRates
from bergamothill.version.block import BlockChain

__all__ = ["ExportSource", "Exporter"]

_log = EventLog("export")


@dataclass(frozen=True, slots=True)
class ExportSource:
    """Engine with cached blocks that no store has yet.

    :param server: id of the engine
    :param zone: availability zone of the engine
    :param engine: client of the engine
    """

    server: ServerId
    zone: ZoneName
    engine: ModelEngine


@dataclass(frozen=True, slots=True)
class _QueuedBlock:
    source: ExportSource
    chain: BlockChain
    index: int


class Exporter:
    """Queues the new blocks of each prompt and exports them, one at a time per engine.

    :param clock: time source
    :param block_stores: access to the blocks at the stores
    :param is_link_idle: returns whether an engine's network link is estimated to be idle
    :param block_bytes: returns the expected size of the block at an index of a chain, in bytes
    :param warm_time_ms: returns how long a brand's blocks are kept, in milliseconds
    :param pool: runs the exports
    """

    def __init__(
        self,
        clock: Clock,
        block_stores: BlockStoreClient,
        is_link_idle: Callable[[ServerId], bool],
        block_bytes: Callable[[BlockChain, int], int],
        warm_time_ms: Callable[[BrandName], int],
        pool: Executor,
    ) -> None:
        self._clock = clock
        self._block_stores = block_stores
        self._is_link_idle = is_link_idle
        self._block_bytes = block_bytes
        self._warm_time_ms = warm_time_ms
        self._pool = pool
        self._lock = threading.Lock()
        self._schedule = ExportSchedule()
        self._reuse_rates = ReuseRates()
        self._queued_blocks: dict[tuple[ServerId, str], _QueuedBlock] = {}
        self._exporting_servers: set[ServerId] = set()

    def enqueue(self, source: ExportSource, chain: BlockChain, stored_blocks: int) -> None:
        """Queue those blocks of a prompt that are not known to be at a store.

        :param source: engine that ran the prompt
        :param chain: blocks of the prompt
        :param stored_blocks: number of leading blocks at stores when the engine was chosen
        """
        now_ms = self._clock.now_ms()
        warm_until_ms = now_ms + self._warm_time_ms(chain.brand)
        with self._lock:
            self._reuse_rates.record_reused(chain.brand, stored_blocks)
            expected_uses = self._reuse_rates.expected(chain.brand)
            for index in range(stored_blocks, len(chain.keys)):
                size_bytes = self._block_bytes(chain, index)
                candidate = ExportCandidate(
                    source.server,
                    chain.keys[index],
                    index,
                    size_bytes,
                    expected_uses,
                    now_ms,
                    warm_until_ms,
                )
                self._queued_blocks[source.server, candidate.key] = _QueuedBlock(
                    source, chain, index
                )
                for dropped in self._schedule.add(candidate, now_ms):
                    self._queued_blocks.pop((dropped.server, dropped.key), None)

    def step(self) -> None:
        """Start a task for each engine that has queued blocks and no running task.

        Called several times a second. A task exports the blocks that are due, and then ends.
        """
        with self._lock:
            servers = {server for server, _ in self._queued_blocks} - self._exporting_servers
            self._exporting_servers |= servers
        for server in servers:
            self._pool.submit(self._export_due_blocks, server)

    def _export_due_blocks(self, server: ServerId) -> None:
        try:
            while block := self._take_due_block(server):
                self._export(block)
        finally:
            with self._lock:
                self._exporting_servers.discard(server)

    def _take_due_block(self, server: ServerId) -> _QueuedBlock | None:
        is_idle = self._is_link_idle(server)
        with self._lock:
            candidate = self._schedule.next(server, is_idle, self._clock.now_ms())
            if candidate is not None:
                return self._queued_blocks.pop((server, candidate.key))
            if not self._schedule.queued(server):
                self._discard_blocks(server)
            return None

    def _discard_blocks(self, server: ServerId) -> None:
        """Discard the blocks of an engine without scheduled exports; their warm time has ended."""
        for key in [key for key in self._queued_blocks if key[0] == server]:
            del self._queued_blocks[key]

    def _export(self, block: _QueuedBlock) -> None:
        source, chain = block.source, block.chain
        try:
            outcome = self._block_stores.export(source.engine, chain, block.index, source.zone)
        except BergamothillError as error:
            _log.warning(
                "export_failed",
                brand=chain.brand,
                server=source.server,
                step=error.step,
                peer=error.peer,
                reason=error.message,
            )
            return
        if outcome.status is ExportStatus.COMMITTED:
            with self._lock:
                self._reuse_rates.record_exported(chain.brand, 1)
