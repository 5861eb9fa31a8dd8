"""Weight store: interface. It is rate-limited."""

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
    """Client of the weight store; engines fetch the weights themselves."""

    @abstractmethod
    def versions(self, model: ModelName) -> tuple[WeightVersion, ...]:
        """Return the versions that can be loaded, oldest first.

        :raises NotFoundError: the store does not know the model
        """


class HttpWeightStore(WeightStore):
    """Weight store behind HTTP.

    :param client: client of the store's address
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def versions(self, model: ModelName) -> tuple[WeightVersion, ...]:
        """Return the versions that can be loaded, oldest first."""
        step, peer = "weightstore.versions", self._client.peer
        path = f"/models/{quote(model, safe='')}/versions"
        reply = self._client.request("GET", path, step=step, timeout_ms=CALL_TIMEOUT_MS)
        if reply.status == 404:
            raise NotFoundError(f"no model {model}", step=step, peer=peer)
        if reply.status != 200:
            raise PeerTimeoutError(f"status {reply.status}", step=step, peer=peer)
        items = decode_json(reply, step=step, peer=peer)
        if not isinstance(items, list):
            raise ProtocolError("reply is no list", step=step, peer=peer)
        return tuple(WeightVersion(str(item)) for item in items)


class MemoryWeightStore(WeightStore):
    """Weight store inside the process.

    :param versions: versions of each model, oldest first
    """

    def __init__(self, versions: Mapping[ModelName, Iterable[WeightVersion]] | None = None) -> None:
        self._versions = {model: tuple(names) for model, names in (versions or {}).items()}

    def versions(self, model: ModelName) -> tuple[WeightVersion, ...]:
        """Return the versions that can be loaded, oldest first."""
        if model not in self._versions:
            raise NotFoundError(f"no model {model}", step="weightstore.versions")
        return self._versions[model]

    def add(self, model: ModelName, version: WeightVersion) -> None:
        """Add a version after those that are there.

        :param model: model, added when it is new
        :param version: version to add
        """
        self._versions[model] = (*self._versions.get(model, ()), version)
