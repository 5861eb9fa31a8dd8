"""Sweeps of store instances: retires copies past their warm time and later deletes them."""

from __future__ import annotations

import threading
from dataclasses import dataclass

from bergamothill.clock import Clock
from bergamothill.errors import BergamothillError, StoreFullError
from bergamothill.ids import StoreId
from bergamothill.logs import EventLog
from bergamothill.request.storecalls import StoreEndpoint
from bergamothill.version.blockname import ROOT, CopyListing, parse_listing
from bergamothill.version.blockstore import BlockBounds, DeleteObject, PutMarker
from bergamothill.version.blocksweep import BlockSweep, SweepStep, WarmTime

__all__ = ["StoreSweeper", "SweepReport"]

COPIES_PER_EVICTION = 16
EVICTION_INTERVAL_MS = 5_000


@dataclass(frozen=True, slots=True)
class SweepReport:
    """Outcome of one sweep of one store.

    :param store: store instance
    :param copies: copies listed
    :param stored_bytes: total size of the copies
    :param retired: copies retired
    :param deleted: copies deleted
    :param failed: copies left to the next sweep because a call failed
    """

    store: StoreId
    copies: int = 0
    stored_bytes: int = 0
    retired: int = 0
    deleted: int = 0
    failed: int = 0


class StoreSweeper:
    """Sweeper of one entry instance; concurrent sweeps by several entry instances are safe.

    :param clock: time source
    :param bounds: time bounds of the block protocol
    :param warm_time_ms: returns how long the blocks of a brand are kept after their last use
    """

    def __init__(self, clock: Clock, bounds: BlockBounds, warm_time_ms: WarmTime) -> None:
        self._clock = clock
        self._bounds = bounds
        self._warm_time_ms = warm_time_ms
        self._log = EventLog("sweep")
        self._lock = threading.Lock()
        self._sweeps: dict[StoreId, BlockSweep] = {}
        self._last_eviction_ms: dict[StoreId, int] = {}

    def sweep(self, endpoint: StoreEndpoint) -> SweepReport:
        """Sweep one store once.

        :param endpoint: store instance
        :raises BergamothillError: the store could not be listed
        """
        machine = self._machine(endpoint.store)
        copies = parse_listing(endpoint.instance.list(ROOT))
        steps = machine.plan(copies, self._warm_time_ms, self._clock.now_ms())
        report = self._perform_steps(endpoint, machine, copies, steps)
        self._log.info(
            "store_swept",
            store=report.store,
            copies=report.copies,
            stored_bytes=report.stored_bytes,
            retired=report.retired,
            deleted=report.deleted,
            failed=report.failed,
        )
        return report

    def evict(self, endpoint: StoreEndpoint) -> SweepReport:
        """Retire the copies with the least warm time left; a full store has room after the wait.

        :param endpoint: store instance that refused a write
        :raises BergamothillError: the store could not be listed
        """
        if not self._may_evict(endpoint.store):
            return SweepReport(endpoint.store)
        machine = self._machine(endpoint.store)
        copies = parse_listing(endpoint.instance.list(ROOT))
        largest_bytes = max((copy.data_bytes or 0 for copy in copies), default=0)
        needed_bytes = COPIES_PER_EVICTION * largest_bytes
        steps = machine.evict(copies, self._warm_time_ms, needed_bytes)
        report = self._perform_steps(endpoint, machine, copies, steps)
        self._log.warning(
            "store_full",
            store=report.store,
            copies=report.copies,
            stored_bytes=report.stored_bytes,
            retired=report.retired,
        )
        return report

    def _may_evict(self, store: StoreId) -> bool:
        now_ms = self._clock.now_ms()
        with self._lock:
            last_ms = self._last_eviction_ms.get(store)
            if last_ms is not None and now_ms - last_ms < EVICTION_INTERVAL_MS:
                return False
            self._last_eviction_ms[store] = now_ms
        return True

    def _machine(self, store: StoreId) -> BlockSweep:
        with self._lock:
            return self._sweeps.setdefault(store, BlockSweep(self._bounds))

    def _perform_steps(
        self,
        endpoint: StoreEndpoint,
        machine: BlockSweep,
        copies: tuple[CopyListing, ...],
        steps: tuple[SweepStep, ...],
    ) -> SweepReport:
        retired = deleted = failed = 0
        for step in steps:
            is_retirement = isinstance(step.effects[0], PutMarker)
            try:
                self._perform_step(endpoint, machine, step)
            except BergamothillError as error:
                failed += 1
                self._log.warning("sweep_failed", store=endpoint.store, error=error)
                continue
            retired += is_retirement
            deleted += not is_retirement
        stored_bytes = sum(copy.data_bytes or 0 for copy in copies)
        return SweepReport(endpoint.store, len(copies), stored_bytes, retired, deleted, failed)

    def _perform_step(self, endpoint: StoreEndpoint, machine: BlockSweep, step: SweepStep) -> None:
        for effect in step.effects:
            try:
                self._perform(endpoint, effect)
            except StoreFullError:
                for deletion in machine.marker_refused(step, self._clock.now_ms()):
                    self._perform(endpoint, deletion)

    def _perform(self, endpoint: StoreEndpoint, effect: PutMarker | DeleteObject) -> None:
        if isinstance(effect, PutMarker):
            endpoint.instance.put(effect.object_name, b"")
        else:
            endpoint.instance.delete(effect.object_name)
