"""Client interface of the weight store, which limits the rate of requests."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from urllib.parse import quote

from bergamothill.connection.http import HttpClient, decode_json
from bergamothill.errors import NotFoundError, PeerTimeoutError, ProtocolError
from bergamothill.ids import ModelName, WeightVersion

__all__ = ["HttpWeightStore", "MemoryWeightStore", "WeightStore"]

CALL_TIMEOUT_MS = 2_000


class WeightStore(ABC):
    """Client of the weight store; engines download the weights themselves."""

    @abstractmethod
    def versions(self, model: ModelName) -> tuple[WeightVersion, ...]:
        """Return the versions that can be loaded, oldest first.

        :raises NotFoundError: the store does not know the model
        """


class HttpWeightStore(WeightStore):
    """Client of the weight store over HTTP.

    :param client: HTTP client of the store
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def versions(self, model: ModelName) -> tuple[WeightVersion, ...]:
        """Return the versions that can be loaded, oldest first."""
        step, peer = "weightstore.versions", self._client.peer
        path = f"/models/{quote(model, safe='')}/versions"
        reply = self._client.request("GET", path, step=step, timeout_ms=CALL_TIMEOUT_MS)
        if reply.status == 404:
            raise NotFoundError(f"unknown model {model}", step=step, peer=peer)
        if reply.status != 200:
            raise PeerTimeoutError(f"status {reply.status}", step=step, peer=peer)
        items = decode_json(reply, step=step, peer=peer)
        if not isinstance(items, list):
            raise ProtocolError("reply is not a JSON array", step=step, peer=peer)
        return tuple(WeightVersion(str(item)) for item in items)


class MemoryWeightStore(WeightStore):
    """In-memory weight store.

    :param versions: versions of each model, oldest first
    """

    def __init__(self, versions: Mapping[ModelName, Iterable[WeightVersion]] | None = None) -> None:
        self._versions = {model: tuple(names) for model, names in (versions or {}).items()}

    def versions(self, model: ModelName) -> tuple[WeightVersion, ...]:
        """Return the versions that can be loaded, oldest first."""
        if model not in self._versions:
            raise NotFoundError(f"unknown model {model}", step="weightstore.versions")
        return self._versions[model]

    def add(self, model: ModelName, version: WeightVersion) -> None:
        """Append a version to those of a model.

        :param model: model of the version; created if it is new
        :param version: version to append
        """
        self._versions[model] = (*self._versions.get(model, ()), version)
