"""Garbage collection of the copies of cached blocks at stores, and eviction from full stores."""

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

EVICTION_SIZE_IN_COPIES = 16  # space to free, in multiples of the largest copy
MIN_EVICTION_INTERVAL_MS = 5_000


@dataclass(frozen=True, slots=True)
class SweepReport:
    """Outcome of one sweep of a store, or of one eviction.

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
    """Sweeps stores; several entry instances may sweep the same store at the same time.

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
        self._planners: dict[StoreId, BlockSweep] = {}
        self._last_eviction_ms: dict[StoreId, int] = {}

    def sweep(self, endpoint: StoreEndpoint) -> SweepReport:
        """Sweep one store once.

        :param endpoint: store instance
        :raises BergamothillError: the store could not be listed
        """
        planner = self._planner(endpoint.store)
        copies = parse_listing(endpoint.instance.list(ROOT))
        steps = planner.plan(copies, self._warm_time_ms, self._clock.now_ms())
        report = self._perform_steps(endpoint, planner, copies, steps)
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
        """Retire the copies with the least remaining warm time, to free space in a full store.

        The space is free after the retire wait and a further sweep. Nothing is done if the last
        eviction from this store was less than :data:`MIN_EVICTION_INTERVAL_MS` ago.

        :param endpoint: store instance that refused a write
        :raises BergamothillError: the store could not be listed
        """
        if not self._begin_eviction(endpoint.store):
            return SweepReport(endpoint.store)
        planner = self._planner(endpoint.store)
        copies = parse_listing(endpoint.instance.list(ROOT))
        largest_bytes = max((copy.data_bytes or 0 for copy in copies), default=0)
        needed_bytes = EVICTION_SIZE_IN_COPIES * largest_bytes
        steps = planner.evict(copies, self._warm_time_ms, needed_bytes)
        report = self._perform_steps(endpoint, planner, copies, steps)
        self._log.warning(
            "store_full",
            store=report.store,
            copies=report.copies,
            stored_bytes=report.stored_bytes,
            retired=report.retired,
        )
        return report

    def _begin_eviction(self, store: StoreId) -> bool:
        now_ms = self._clock.now_ms()
        with self._lock:
            last_ms = self._last_eviction_ms.get(store)
            if last_ms is not None and now_ms - last_ms < MIN_EVICTION_INTERVAL_MS:
                return False
            self._last_eviction_ms[store] = now_ms
        return True

    def _planner(self, store: StoreId) -> BlockSweep:
        with self._lock:
            return self._planners.setdefault(store, BlockSweep(self._bounds))

    def _perform_steps(
        self,
        endpoint: StoreEndpoint,
        planner: BlockSweep,
        copies: tuple[CopyListing, ...],
        steps: tuple[SweepStep, ...],
    ) -> SweepReport:
        retired = deleted = failed = 0
        for step in steps:
            is_retirement = isinstance(step.effects[0], PutMarker)
            try:
                self._perform_step(endpoint, planner, step)
            except BergamothillError as error:
                failed += 1
                self._log.warning("sweep_failed", store=endpoint.store, error=error)
                continue
            retired += is_retirement
            deleted += not is_retirement
        stored_bytes = sum(copy.data_bytes or 0 for copy in copies)
        return SweepReport(endpoint.store, len(copies), stored_bytes, retired, deleted, failed)

    def _perform_step(self, endpoint: StoreEndpoint, planner: BlockSweep, step: SweepStep) -> None:
        for effect in step.effects:
            try:
                self._perform_effect(endpoint, effect)
            except StoreFullError:
                for deletion in planner.marker_refused(step, self._clock.now_ms()):
                    self._perform_effect(endpoint, deletion)

    def _perform_effect(self, endpoint: StoreEndpoint, effect: PutMarker | DeleteObject) -> None:
        if isinstance(effect, PutMarker):
            endpoint.instance.put(effect.object_name, b"")
        else:
            endpoint.instance.delete(effect.object_name)
