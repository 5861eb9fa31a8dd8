"""Calls to store instances: a few threads a store, failing stores left out for a while."""

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

    :param store: its id
    :param zone: its availability zone
    :param address: ``host:port`` at which engines reach it
    :param instance: client
    """

    store: StoreId
    zone: ZoneName
    address: str
    instance: StoreInstance


class StoreCalls:
    """Threads and belief about each store; a slow store takes no thread from another.

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
        """Take over the store instances that the instance list shows now."""
        with self._lock:
            gone = [self._pools.pop(store) for store in list(self._pools) if store not in stores]
            self._stores = dict(stores)
        for pool in gone:
            pool.shutdown(wait=False, cancel_futures=True)

    def close(self) -> None:
        """Stop the threads; calls that wait for one are dropped."""
        self.replace({})

    def find(self, store: StoreId) -> StoreEndpoint | None:
        """Return a store that is known."""
        return self._stores.get(store)

    def all(self) -> tuple[StoreEndpoint, ...]:
        """Return the stores that are known."""
        return tuple(self._stores.values())

    def readers_of(self, key: str) -> tuple[StoreEndpoint, ...]:
        """Return the stores that may hold a block: the first choice of each zone, own zone first.

        :param key: block key
        """
        zones: dict[ZoneName, list[StoreId]] = {}
        for endpoint in self._stores.values():
            zones.setdefault(endpoint.zone, []).append(endpoint.store)
        firsts = [self._stores[rendezvous(key, members)[0]] for members in zones.values()]
        firsts.sort(key=lambda endpoint: (endpoint.zone != self._zone, endpoint.zone))
        return tuple(endpoint for endpoint in firsts if self.is_trusted(endpoint.store))

    def writer_of(self, key: str, zone: ZoneName) -> StoreEndpoint | None:
        """Return the store that a new copy goes to: in the engine's zone where it has stores.

        :param key: block key
        :param zone: availability zone of the engine
        """
        stores = self._stores
        near = [name for name, endpoint in stores.items() if endpoint.zone == zone]
        ranked = rendezvous(key, near or stores)
        return stores[ranked[0]] if ranked else None

    def is_trusted(self, store: StoreId) -> bool:
        """Return whether calls to a store are worth their time now."""
        return self._suspect_until_ms.get(store, 0) <= self._clock.now_ms()

    def suspect(self, store: StoreId, reason: str) -> None:
        """Leave a store out for a while after a failed or late call."""
        if self.is_trusted(store):
            self._log.warning("store_suspect", store=store, reason=reason, for_ms=SUSPECT_MS)
        self._suspect_until_ms[store] = self._clock.now_ms() + SUSPECT_MS

    def submit(
        self, endpoint: StoreEndpoint, call: Callable[[StoreEndpoint], Result]
    ) -> Future[Result]:
        """Run a call in one of the store's threads; a failure makes the store suspect."""
        try:
            return self._pool(endpoint.store).submit(self._run, endpoint, call)
        except RuntimeError:
            return self._refused(endpoint.store)

    def _refused(self, store: StoreId) -> Future:
        """Return a failed call to a store that is no longer known."""
        future: Future = Future()
        future.set_exception(UnavailableError("store gone", step="store.call", peer=store))
        return future

    def _run(self, endpoint: StoreEndpoint, call: Callable[[StoreEndpoint], Result]) -> Result:
        if not self.is_trusted(endpoint.store):
            raise UnavailableError("store suspect", step="store.call", peer=endpoint.store)
        try:
            return call(endpoint)
        except BergamothillError as error:
            self.suspect(endpoint.store, error.code)
            raise

    def _pool(self, store: StoreId) -> ThreadPoolExecutor:
        with self._lock:
            pool = self._pools.get(store)
            if pool is None:
                pool = ThreadPoolExecutor(THREADS_PER_STORE, thread_name_prefix=f"store-{store}")
                self._pools[store] = pool
            return pool
