"""Frees outdated cached context in the managed stores while the duty is held; uses asyncio."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.errors import BergamothillError
from bergamothill.ids import ModelName
from bergamothill.logs import EventLog
from bergamothill.platform.cachedcontext import free_parts, list_stored_parts
from bergamothill.version.cachesweep import CacheSweep, SweepTask
from bergamothill.version.weightswap import SwapEngine
from bergamothill.version.weighttarget import WeightTarget

__all__ = ["SweepDuty"]

SWEEP_CHECK_INTERVAL_MS = 1_000
FREE_BATCH_SIZE = 500

_log = EventLog("sweep")


class SweepDuty:
    """Periodically frees outdated context in the managed stores.

    :param clock: source of time
    :param is_held: returns whether this entry instance holds the duty
    :param view: returns weight targets and engines
    :param stores: returns the addresses of managed stores
    :param settle_ms: see :class:`~bergamothill.version.cachesweep.CacheSweep`
    """

    def __init__(
        self,
        clock: Clock,
        is_held: Callable[[], bool],
        view: Callable[[], tuple[Mapping[ModelName, WeightTarget], tuple[SwapEngine, ...]]],
        stores: Callable[[], tuple[str, ...]],
        settle_ms: int,
    ) -> None:
        self._clock = clock
        self._is_held = is_held
        self._view = view
        self._stores = stores
        self._settle_ms = settle_ms
        self._sweep = CacheSweep(settle_ms)

    async def run(self) -> None:
        """Sweep the stores when due, until cancelled."""
        loop = asyncio.get_running_loop()
        with ThreadPoolExecutor(max_workers=1, thread_name_prefix="sweep") as pool:
            while True:
                await asyncio.sleep(ms_to_seconds(SWEEP_CHECK_INTERVAL_MS))
                if not self._is_held():
                    self._sweep = CacheSweep(self._settle_ms)
                    continue
                targets, engines = self._view()
                now_ms = self._clock.now_ms()
                for task in self._sweep.plan(targets, engines, self._stores(), now_ms):
                    if await loop.run_in_executor(pool, _sweep_store, task):
                        self._sweep.done(task)


def _sweep_store(task: SweepTask) -> bool:
    """List the contents of a store and free outdated parts; runs in a worker thread.

    :returns: whether all outdated parts were freed
    """
    try:
        listing = list_stored_parts(task.address)
        outdated = task.outdated(listing)
        for start in range(0, len(outdated), FREE_BATCH_SIZE):
            free_parts(task.address, outdated[start : start + FREE_BATCH_SIZE], listing.epoch)
    except BergamothillError as error:
        _log.info("sweep_failed", store=task.address, step=error.step, reason=error.message)
        return False
    _log.info("store_swept", store=task.address, held=len(listing.keys), freed=len(outdated))
    return True
