"""Clients of servers; cached for engines per incarnation and for stores per address."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping

from bergamothill.connection.engine import ModelEngine
from bergamothill.connection.http import HttpClient
from bergamothill.connection.httpengine import HttpModelEngine
from bergamothill.connection.httpstore import HttpStoreInstance
from bergamothill.connection.instancelist import Instance, InstanceKind
from bergamothill.connection.service import HttpPlainService, PlainService
from bergamothill.errors import NotFoundError
from bergamothill.ids import ServerId, StoreId
from bergamothill.request.storecalls import StoreEndpoint

__all__ = ["ClientPool"]


class ClientPool:
    """Creates and caches clients; safe for concurrent use.

    :param find_instance: returns the instance of a server, or None for an unknown server
    """

    def __init__(self, find_instance: Callable[[ServerId], Instance | None]) -> None:
        self._find_instance = find_instance
        self._lock = threading.Lock()
        self._engines: dict[ServerId, tuple[Instance, ModelEngine]] = {}
        self._stores: dict[StoreId, StoreEndpoint] = {}

    def engine(self, server: ServerId) -> ModelEngine:
        """Return the client of an engine.

        :raises NotFoundError: the engine is not known
        """
        instance = self._find_instance(server)
        if instance is None:
            raise NotFoundError("the engine is not known", step="servers", peer=server)
        with self._lock:
            cached = self._engines.get(server)
            if cached is None or not _is_same_incarnation(cached[0], instance):
                cached = (instance, engine_client(instance))
                self._engines[server] = cached
            return cached[1]

    def service(self, instance: Instance) -> PlainService:
        """Return a new client of a plain service's server; each call opens its own connection."""
        return HttpPlainService(HttpClient(instance.instance_id, instance.address))

    def store_endpoints(self, instances: Iterable[Instance]) -> Mapping[StoreId, StoreEndpoint]:
        """Return the endpoints of all store instances, and drop those no longer listed.

        :param instances: complete instance list
        """
        listed = [item for item in instances if item.kind is InstanceKind.STORE]
        with self._lock:
            self._stores = {
                StoreId(item.instance_id): self._store_endpoint(item) for item in listed
            }
            return dict(self._stores)

    def _store_endpoint(self, instance: Instance) -> StoreEndpoint:
        store = StoreId(instance.instance_id)
        cached = self._stores.get(store)
        if cached is not None and cached.address == instance.address:
            return cached
        client = HttpStoreInstance(HttpClient(instance.instance_id, instance.address))
        return StoreEndpoint(store, instance.zone, instance.address, client)


def engine_client(instance: Instance) -> ModelEngine:
    """Create a client of an engine.

    :param instance: engine as listed
    """
    return HttpModelEngine(HttpClient(instance.instance_id, instance.address))


def _is_same_incarnation(cached: Instance, listed: Instance) -> bool:
    return cached.address == listed.address and cached.incarnation == listed.incarnation
