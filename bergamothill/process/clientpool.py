"""Clients of the backend servers, one for each incarnation of a server."""

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
    """Makes and keeps clients; safe for concurrent use.

    :param find: returns the instance of a server, or None when it is not known
    """

    def __init__(self, find: Callable[[ServerId], Instance | None]) -> None:
        self._find = find
        self._lock = threading.Lock()
        self._engines: dict[ServerId, tuple[Instance, ModelEngine]] = {}
        self._stores: dict[StoreId, StoreEndpoint] = {}

    def engine(self, server: ServerId) -> ModelEngine:
        """Return the client of an engine.

        :raises NotFoundError: the engine is not known
        """
        instance = self._find(server)
        if instance is None:
            raise NotFoundError("the engine is not known", step="servers", peer=server)
        with self._lock:
            known = self._engines.get(server)
            if known is None or not _is_same(known[0], instance):
                known = (instance, engine_client(instance))
                self._engines[server] = known
            return known[1]

    def service(self, instance: Instance) -> PlainService:
        """Return the client of a plain service's server; each call uses a fresh connection."""
        return HttpPlainService(HttpClient(instance.instance_id, instance.address))

    def store_endpoints(self, instances: Iterable[Instance]) -> Mapping[StoreId, StoreEndpoint]:
        """Return the store instances of an instance list, with their clients.

        :param instances: all instances
        """
        listed = [item for item in instances if item.kind is InstanceKind.STORE]
        with self._lock:
            self._stores = {StoreId(item.instance_id): self._store(item) for item in listed}
            return dict(self._stores)

    def _store(self, instance: Instance) -> StoreEndpoint:
        store = StoreId(instance.instance_id)
        known = self._stores.get(store)
        if known is not None and known.address == instance.address:
            return known
        client = HttpStoreInstance(HttpClient(instance.instance_id, instance.address))
        return StoreEndpoint(store, instance.zone, instance.address, client)


def engine_client(instance: Instance) -> ModelEngine:
    """Return a client of an engine.

    :param instance: engine as listed
    """
    return HttpModelEngine(HttpClient(instance.instance_id, instance.address))


def _is_same(known: Instance, listed: Instance) -> bool:
    return known.address == listed.address and known.incarnation == listed.incarnation
