"""Quarantine of parts of requests in an entry instance: its gate, its exchange and its store."""

from __future__ import annotations

import asyncio
import random
import threading

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.kvs import KeyValueService
from bergamothill.errors import UnavailableError
from bergamothill.ids import EntryInstanceId
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.loadexchange import LoadExchange
from bergamothill.process.quarantineexchange import QuarantineExchange
from bergamothill.process.quarantinegate import QuarantineGate
from bergamothill.process.supervisor import Guard
from bergamothill.process.verdictstore import VerdictStore
from bergamothill.request.partquarantine import PartQuarantine, StoredQuarantine

__all__ = ["NodeQuarantine"]

MERGE_TIMEOUT_MS = 2_000
WRITE_SPREAD_PER_INSTANCE_MS = 3


class NodeQuarantine:
    """Connects the quarantine with the peers and the key-value service.

    :param entry: this entry instance
    :param clock: source of time
    :param metrics: counters and histograms
    :param load_exchange: its socket carries the reports
    """

    def __init__(
        self,
        entry: EntryInstanceId,
        clock: Clock,
        metrics: GatewayMetrics,
        load_exchange: LoadExchange,
    ) -> None:
        quarantine = PartQuarantine(entry, clock.wall_ms())
        self.gate = QuarantineGate(clock, quarantine, metrics)
        self._clock = clock
        self._exchange = QuarantineExchange(
            clock, quarantine, load_exchange, self.gate.merge, self.gate.record_check
        )
        self._store: VerdictStore | None = None

    async def run(self, kvs: KeyValueService, guard: Guard | None = None) -> None:
        """Exchange reports and keep the verdicts stored until cancelled.

        :param kvs: key-value service
        :param guard: restarts the thread that reads and writes verdicts after errors
        """
        self.stop()
        loop = asyncio.get_running_loop()

        async def add_stored(stored: StoredQuarantine) -> StoredQuarantine:
            return self.gate.add_stored(stored)

        def merge(stored: StoredQuarantine) -> StoredQuarantine:
            future = asyncio.run_coroutine_threadsafe(add_stored(stored), loop)
            try:
                return future.result(ms_to_seconds(MERGE_TIMEOUT_MS))
            except TimeoutError:
                raise UnavailableError("the event loop is busy", step="quarantine.merge") from None

        store = self._store = VerdictStore(kvs, self._clock, merge)
        gate = self.gate
        gate.on_change = self._exchange.wake
        gate.on_pause = store.request_read
        gate.on_store = self._record_stored
        run_store = store.run if guard is None else guard("verdicts", store.run)
        threading.Thread(target=run_store, name="verdicts", daemon=True).start()
        await self._exchange.run()

    def _record_stored(self, stored: StoredQuarantine, delay_ms: int) -> None:
        # All instances reach a verdict by the same evidence at about the same time.
        spread_ms = random.randrange(WRITE_SPREAD_PER_INSTANCE_MS * self._exchange.instance_count)
        is_own = delay_ms == 0
        self._store.record(stored, delay_ms=delay_ms + spread_ms, is_own=is_own)

    def stop(self) -> None:
        """Stop the thread that reads and writes verdicts."""
        if self._store is not None:
            self._store.stop()

    def handle_restore(self) -> None:
        """React to a restoration of the key-value service; callable from any thread."""
        if self._store is not None:
            self._store.handle_restore()
