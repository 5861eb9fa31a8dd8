"""Access of an entry instance to the KV cache blocks at the store instances."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from bergamothill.clock import Clock
from bergamothill.connection.engine import ModelEngine
from bergamothill.errors import BergamothillError
from bergamothill.ids import BrandName, Generation, ServerId, StoreId, ZoneName
from bergamothill.logs import EventLog
from bergamothill.process.metrics import StatsdMetrics
from bergamothill.request.blockexport import BlockExporter, ExportOutcome, ExportStatus
from bergamothill.request.blockimport import BlockImporter
from bergamothill.request.blocklookup import LOOKUP_TIMEOUT_MS, BlockLookup, FoundCopy
from bergamothill.request.storecalls import StoreCalls, StoreEndpoint
from bergamothill.request.storedblockcache import StoredBlockCache
from bergamothill.request.sweep import StoreSweeper, SweepReport
from bergamothill.version.block import BlockChain
from bergamothill.version.blockstore import BlockBounds
from bergamothill.version.blocksweep import WarmTime

__all__ = ["ExportOutcome", "ExportStatus", "FoundCopy", "BlockStoreClient"]


class BlockStoreClient:
    """Looks up, imports, exports and sweeps the KV cache blocks at the stores of a region.

    :param stores: store instances of the region
    :param zone: availability zone of this entry instance
    :param clock: time source
    :param warm_time_ms: returns how long the blocks of a brand are kept after their last use
    :param bounds: time bounds of the block protocol
    :param metrics: metrics client; None to record no metrics
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
        self._metrics = metrics
        self._log = EventLog("blocks")
        stored_blocks = StoredBlockCache(clock)
        self._sweeper = StoreSweeper(clock, self.bounds, warm_time_ms)
        self._lookup = BlockLookup(self.calls, clock, self.bounds, stored_blocks, self._count)
        self._importer = BlockImporter(self.calls, clock, self.bounds, self._count)
        self._exporter = BlockExporter(
            self.calls, self._lookup, stored_blocks, self._sweeper, clock, self.bounds, self._count
        )

    def close(self) -> None:
        """Stop the threads; transfers that have not started are dropped."""
        self._importer.close()
        self.calls.close()

    def lookup(
        self, chain: BlockChain, *, timeout_ms: int = LOOKUP_TIMEOUT_MS
    ) -> tuple[FoundCopy, ...]:
        """See :meth:`BlockLookup.lookup`."""
        return self._lookup.lookup(chain, timeout_ms=timeout_ms)

    def restore(
        self, server: ServerId, engine: ModelEngine, found: Sequence[FoundCopy], *, timeout_ms: int
    ) -> tuple[Generation, ...]:
        """See :meth:`BlockImporter.restore`."""
        return self._importer.restore(server, engine, found, timeout_ms=timeout_ms)

    def export(
        self, engine: ModelEngine, chain: BlockChain, index: int, zone: ZoneName
    ) -> ExportOutcome:
        """See :meth:`BlockExporter.export`."""
        return self._exporter.export(engine, chain, index, zone)

    def sweep(self) -> tuple[SweepReport, ...]:
        """Sweep every store that answers; called regularly by the holder of the sweeping duty."""
        reports = []
        for endpoint in self.calls.all():
            try:
                reports.append(self._sweeper.sweep(endpoint))
            except BergamothillError as error:
                self._log.warning("sweep_skipped", store=endpoint.store, error=error)
        return tuple(reports)

    def _count(self, name: str, brand: BrandName, count: int) -> None:
        if self._metrics is not None and count:
            self._metrics.incr(name, brand, count)
