"""Exporter: copies new blocks from engines to stores, preferably while links are idle."""

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
    """Engine that has blocks cached which no store has yet.

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
    """Queues blocks after each run and exports them, one at a time per engine.

    :param clock: time source
    :param block_stores: access to the blocks at the stores
    :param is_link_idle: returns whether no transfer is believed to be queued on an engine's link
    :param block_bytes: returns the expected size of a block of a chain, in bytes
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
        self._blocks: dict[tuple[ServerId, str], _QueuedBlock] = {}
        self._running: set[ServerId] = set()

    def enqueue(self, source: ExportSource, chain: BlockChain, stored_blocks: int) -> None:
        """Queue the blocks of a prompt that no store is known to have.

        :param source: engine that ran the prompt
        :param chain: blocks of the prompt
        :param stored_blocks: leading blocks that stores had when the run was placed
        """
        now_ms = self._clock.now_ms()
        warm_until_ms = now_ms + self._warm_time_ms(chain.brand)
        with self._lock:
            self._reuse_rates.record_reused(chain.brand, stored_blocks)
            expected = self._reuse_rates.expected(chain.brand)
            for index in range(stored_blocks, len(chain.keys)):
                size_bytes = self._block_bytes(chain, index)
                candidate = ExportCandidate(
                    source.server,
                    chain.keys[index],
                    index,
                    size_bytes,
                    expected,
                    now_ms,
                    warm_until_ms,
                )
                self._blocks[source.server, candidate.key] = _QueuedBlock(source, chain, index)
                for dropped in self._schedule.add(candidate, now_ms):
                    self._blocks.pop((dropped.server, dropped.key), None)

    def step(self) -> None:
        """Start exports on the engines whose links are idle; call it several times a second."""
        with self._lock:
            servers = {server for server, _ in self._blocks} - self._running
            self._running |= servers
        for server in servers:
            self._pool.submit(self._run, server)

    def _run(self, server: ServerId) -> None:
        try:
            while block := self._next(server):
                self._export(block)
        finally:
            with self._lock:
                self._running.discard(server)

    def _next(self, server: ServerId) -> _QueuedBlock | None:
        is_idle = self._is_link_idle(server)
        with self._lock:
            candidate = self._schedule.next(server, is_idle, self._clock.now_ms())
            if candidate is not None:
                return self._blocks.pop((server, candidate.key))
            if not self._schedule.queued(server):
                self._discard_blocks(server)
            return None

    def _discard_blocks(self, server: ServerId) -> None:
        """Discard the blocks of an engine whose queue is empty, as they have expired."""
        for key in [key for key in self._blocks if key[0] == server]:
            del self._blocks[key]

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
