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
from bergamothill.process.configstate import ConfigState
from bergamothill.version.cacheindex import CacheIndex, PartKey
from bergamothill.version.cachenamespace import BrandIsolation
from bergamothill.version.cachesweep import CacheSweep, StoreListing, SweepTask
from bergamothill.version.scopesweep import FREE_TIMEOUT_MS, ScopeSweep, ScopeTask, is_retired
from bergamothill.version.weightswap import SwapEngine
from bergamothill.version.weighttarget import WeightTarget

__all__ = ["SweepDuty"]

SWEEP_CHECK_INTERVAL_MS = 1_000
CONFIRM_INTERVAL_MS = 100
CONFIRM_TIMEOUT_MS = 3_000
FREE_BATCH_SIZE = 500

_log = EventLog("sweep")


class SweepDuty:
    """Periodically frees outdated context in the managed stores.

    :param clock: source of time
    :param is_held: returns whether this entry instance holds the duty
    :param view: returns weight targets and engines
    :param config: configuration in force
    :param index: context that the stores are known to hold
    :param settle_ms: see :class:`~bergamothill.version.cachesweep.CacheSweep`
    """

    def __init__(
        self,
        clock: Clock,
        is_held: Callable[[], bool],
        view: Callable[[], tuple[Mapping[ModelName, WeightTarget], tuple[SwapEngine, ...]]],
        config: ConfigState,
        index: CacheIndex,
        settle_ms: int,
    ) -> None:
        self._clock = clock
        self._is_held = is_held
        self._view = view
        self._config = config
        self._index = index
        self._settle_ms = settle_ms
        self._sweep = CacheSweep(settle_ms)
        self._scopes = ScopeSweep()

    async def run(self) -> None:
        """Sweep the stores when due, until cancelled."""
        loop = asyncio.get_running_loop()
        with ThreadPoolExecutor(max_workers=1, thread_name_prefix="sweep") as pool:
            while True:
                await asyncio.sleep(ms_to_seconds(SWEEP_CHECK_INTERVAL_MS))
                if not self._is_held():
                    self._sweep = CacheSweep(self._settle_ms)
                    self._scopes = ScopeSweep()
                    continue
                targets, engines = self._view()
                now_ms = self._clock.now_ms()
                for task in self._sweep.plan(targets, engines, self._managed_stores(), now_ms):
                    if await loop.run_in_executor(pool, _sweep_store, task):
                        self._sweep.done(task)
                for task in self._plan_scopes(self._clock.now_ms()):
                    await self._sweep_scopes(task, pool)

    def _managed_stores(self) -> tuple[str, ...]:
        table = self._config.table
        stores = () if table is None else table.config.stores
        return tuple(store.address for store in stores if store.is_managed)

    def _plan_scopes(self, now_ms: int) -> tuple[ScopeTask, ...]:
        """Return the stores whose retired scopes are due.

        Where keys may be accepted by a configuration of any age, no scope is ever out of use.
        """
        table = self._config.table
        if table is None or not self._config.is_strict:
            return ()
        isolation = BrandIsolation(table.config.isolated)
        timeout_ms = max((route.timeout_ms for route in table.config.routes), default=0)

        def has_retired(address: str) -> bool:
            salts = {key.salt for key in self._index.source(address).parts}
            return any(is_retired(isolation, salt) for salt in salts)

        settle_ms = self._settle_ms + timeout_ms
        stores = self._managed_stores()
        return self._scopes.plan(isolation, stores, has_retired, settle_ms, now_ms)

    async def _sweep_scopes(self, task: ScopeTask, pool: ThreadPoolExecutor) -> None:
        """Free the parts of retired scopes that a store lists.

        The parts were made under configurations that were accepted before the listing, so that a
        read sent after it shows whether a newer one than that of the task is among them.
        """
        loop = asyncio.get_running_loop()
        listing = await loop.run_in_executor(pool, _list_store, task.address)
        retired = [] if listing is None else task.retired(listing)
        if not retired or not await self._await_confirmation(task, self._clock.now_ms() + 1):
            return
        source = self._index.source(task.address)
        if not source.answered_clock_ms:
            return  # its clock is not known, so that the call could not be kept from coming late
        until_ms = self._clock.now_ms() + FREE_TIMEOUT_MS + source.clock_offset_ms
        await loop.run_in_executor(pool, _free, task.address, retired, listing, until_ms)

    async def _await_confirmation(self, task: ScopeTask, since_ms: int) -> bool:
        """Wait for a read that shows the configuration of a task; return whether there was one."""
        for _ in range(CONFIRM_TIMEOUT_MS // CONFIRM_INTERVAL_MS):
            await asyncio.sleep(ms_to_seconds(CONFIRM_INTERVAL_MS))
            if self._config.table.config.isolated != task.isolation.isolated:
                return False
            if self._config.is_confirmed_since(since_ms):
                return True
        return False


def _list_store(address: str) -> StoreListing | None:
    try:
        return list_stored_parts(address)
    except BergamothillError as error:
        _log.info("sweep_failed", store=address, step=error.step, reason=error.message)
        return None


def _sweep_store(task: SweepTask) -> bool:
    """List the contents of a store and free outdated parts; runs in a worker thread.

    :returns: whether all outdated parts were freed
    """
    listing = _list_store(task.address)
    return listing is not None and _free(task.address, task.outdated(listing), listing)


def _free(
    address: str, keys: list[PartKey], listing: StoreListing, until_ms: int | None = None
) -> bool:
    """Free listed parts; runs in a worker thread.

    :param until_ms: time on the store's clock after which it frees nothing; None for no limit
    :returns: whether all of them were freed
    """
    try:
        for start in range(0, len(keys), FREE_BATCH_SIZE):
            batch = keys[start : start + FREE_BATCH_SIZE]
            free_parts(address, batch, listing.epoch, until_ms)
    except BergamothillError as error:
        _log.info("sweep_failed", store=address, step=error.step, reason=error.message)
        return False
    _log.info("store_swept", store=address, held=len(listing.keys), freed=len(keys))
    return True
