"""Calls to store instances: a thread pool per store; failing stores are skipped for a while."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from typing import TypeVar

from bergamothill.clock import Clock
from bergamothill.connection.store import StoreInstance
from bergamothill.errors import BergamothillError, UnavailableError
from bergamothill.ids import StoreId, ZoneName
from bergamothill.logs import EventLog
from bergamothill.process.rendezvous import rendezvous

__all__ = ["StoreCalls", "StoreEndpoint"]

THREADS_PER_STORE = 8
SUSPECT_MS = 2_000

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class StoreEndpoint:
    """One store instance.

    :param store: id
    :param zone: availability zone
    :param address: ``host:port`` at which engines reach it
    :param instance: client
    """

    store: StoreId
    zone: ZoneName
    address: str
    instance: StoreInstance


class StoreCalls:
    """Thread pool and availability of each store; a slow store does not block calls to others.

    :param stores: store instances of the region
    :param zone: availability zone of this entry instance
    :param clock: time source
    """

    def __init__(
        self, stores: Mapping[StoreId, StoreEndpoint], zone: ZoneName, clock: Clock
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._log = EventLog("stores")
        self._lock = threading.Lock()
        self._pools: dict[StoreId, ThreadPoolExecutor] = {}
        self._suspect_until_ms: dict[StoreId, int] = {}
        self._stores: dict[StoreId, StoreEndpoint] = dict(stores)

    def replace(self, stores: Mapping[StoreId, StoreEndpoint]) -> None:
        """Replace the store instances by those in the current instance list."""
        with self._lock:
            removed_pools = [
                self._pools.pop(store) for store in list(self._pools) if store not in stores
            ]
            self._stores = dict(stores)
        for pool in removed_pools:
            pool.shutdown(wait=False, cancel_futures=True)

    def close(self) -> None:
        """Stop the threads; queued calls are dropped."""
        self.replace({})

    def find(self, store: StoreId) -> StoreEndpoint | None:
        """Return a store by id, or None if it is unknown."""
        return self._stores.get(store)

    def all(self) -> tuple[StoreEndpoint, ...]:
        """Return all known stores."""
        return tuple(self._stores.values())

    def stores_to_read(self, key: str) -> tuple[StoreEndpoint, ...]:
        """Return the preferred store of each zone for a block, unless suspect; own zone first.

        :param key: block key
        """
        zones: dict[ZoneName, list[StoreId]] = {}
        for endpoint in self._stores.values():
            zones.setdefault(endpoint.zone, []).append(endpoint.store)
        candidates = [self._stores[rendezvous(key, store_ids)[0]] for store_ids in zones.values()]
        candidates.sort(key=lambda endpoint: (endpoint.zone != self._zone, endpoint.zone))
        return tuple(endpoint for endpoint in candidates if self.is_available(endpoint.store))

    def store_to_write(self, key: str, zone: ZoneName) -> StoreEndpoint | None:
        """Return the store for a new copy, in the engine's zone if the zone has stores.

        :param key: block key
        :param zone: availability zone of the engine
        """
        stores = self._stores
        local_stores = [name for name, endpoint in stores.items() if endpoint.zone == zone]
        ranked = rendezvous(key, local_stores or stores)
        return stores[ranked[0]] if ranked else None

    def is_available(self, store: StoreId) -> bool:
        """Return whether a store may be called, that is, is not suspect."""
        return self._suspect_until_ms.get(store, 0) <= self._clock.now_ms()

    def mark_suspect(self, store: StoreId, reason: str) -> None:
        """Skip a store for a while after a failed or late call."""
        if self.is_available(store):
            self._log.warning("store_suspect", store=store, reason=reason, for_ms=SUSPECT_MS)
        self._suspect_until_ms[store] = self._clock.now_ms() + SUSPECT_MS

    def submit(
        self, endpoint: StoreEndpoint, call: Callable[[StoreEndpoint], Result]
    ) -> Future[Result]:
        """Run a call in the thread pool of the store; a failure marks the store as suspect."""
        try:
            return self._pool(endpoint.store).submit(self._run, endpoint, call)
        except RuntimeError:
            return self._unknown_store_future(endpoint.store)

    def _unknown_store_future(self, store: StoreId) -> Future:
        """Return a future that fails because the store is no longer known."""
        future: Future = Future()
        future.set_exception(
            UnavailableError(
                "the store is no longer in the instance list", step="store.call", peer=store
            )
        )
        return future

    def _run(self, endpoint: StoreEndpoint, call: Callable[[StoreEndpoint], Result]) -> Result:
        if not self.is_available(endpoint.store):
            raise UnavailableError(
                "the store is suspect after a failed or late call",
                step="store.call",
                peer=endpoint.store,
            )
        try:
            return call(endpoint)
        except BergamothillError as error:
            self.mark_suspect(endpoint.store, error.code)
            raise

    def _pool(self, store: StoreId) -> ThreadPoolExecutor:
        with self._lock:
            pool = self._pools.get(store)
            if pool is None:
                pool = ThreadPoolExecutor(THREADS_PER_STORE, thread_name_prefix=f"store-{store}")
                self._pools[store] = pool
            return pool
