"""Decides when managed stores free the cached context of replaced weights; no I/O.

A managed store frees nothing by itself. Context of older weights is freed once no engine has had
them loaded for so long that no request or fetch can still refer to the context.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bergamothill.ids import ModelName, ServerId
from bergamothill.version.cacheindex import PartKey
from bergamothill.version.cachenamespace import version_of
from bergamothill.version.weightswap import SwapEngine
from bergamothill.version.weighttarget import WeightTarget

__all__ = ["CacheSweep", "StoreListing", "SweepTask", "is_listing_due"]

LISTING_RETRY_DELAY_MS = 5_000
"""Delay before a store whose sweep has not succeeded is listed again."""


@dataclass(frozen=True, slots=True)
class StoreListing:
    """Contents of a store.

    :param epoch: identifies one run of the store; changes at each start
    :param keys: keys of all parts, including incompletely written ones
    """

    epoch: int
    keys: tuple[PartKey, ...]


@dataclass(frozen=True, slots=True)
class SweepTask:
    """Task: list a store and free its outdated parts.

    :param address: ``host:port`` of the store
    :param targets: target versions; parts of older versions are outdated
    """

    address: str
    targets: tuple[WeightTarget, ...]

    def outdated(self, listing: StoreListing) -> list[PartKey]:
        """Return the keys of the listed parts to free."""
        return [key for key in listing.keys if self._is_outdated(key)]

    def _is_outdated(self, key: PartKey) -> bool:
        for target in self.targets:
            version = version_of(key.salt, target.model)
            if version is not None:
                return version < target.version
        return False


def is_listing_due(attempted_ms: Mapping[str, int], address: str, now_ms: int) -> bool:
    """Return whether a store may be listed, by the times at which stores were listed last."""
    last_ms = attempted_ms.get(address)
    return last_ms is None or now_ms - last_ms >= LISTING_RETRY_DELAY_MS


class CacheSweep:
    """Plans the sweeps of managed stores.

    :param settle_ms: time without any engine that has older weights after which stores are swept:
        the longest time an entry instance acts on stale state, plus the lifetime of a fetch
    """

    def __init__(self, settle_ms: int) -> None:
        self._settle_ms = settle_ms
        self._settled_since_ms: int | None = None
        self._target_versions: dict[ModelName, int] = {}
        self._swept_stores: set[str] = set()
        self._known_incarnations: set[tuple[ServerId, int]] = set()
        self._attempted_ms: dict[str, int] = {}

    def plan(
        self,
        targets: Mapping[ModelName, WeightTarget],
        engines: Iterable[SwapEngine],
        stores: Iterable[str],
        now_ms: int,
    ) -> tuple[SweepTask, ...]:
        """Return the stores to sweep now.

        :param targets: target version of each model
        :param engines: engines in the instance list
        :param stores: addresses of managed stores
        :param now_ms: current time, in milliseconds
        """
        versions = {model: target.version for model, target in targets.items()}
        if versions != self._target_versions:
            self._target_versions = versions
            self._settled_since_ms = None
            self._swept_stores.clear()
        engines = tuple(engines)
        incarnations = {(engine.server, engine.started_wall_ms) for engine in engines}
        if not incarnations <= self._known_incarnations:
            # A newly started server may have old weights, and store context computed with them
            # until it is updated.
            self._settled_since_ms = None
            self._swept_stores.clear()
        self._known_incarnations = incarnations
        if any(engine.version < versions.get(engine.model, 0) for engine in engines):
            self._settled_since_ms = None
            return ()
        if self._settled_since_ms is None:
            self._settled_since_ms = now_ms
        if not versions or now_ms - self._settled_since_ms < self._settle_ms:
            return ()
        stores = tuple(stores)
        self._attempted_ms = {a: ms for a, ms in self._attempted_ms.items() if a in stores}
        tasks = []
        for address in stores:
            is_due = is_listing_due(self._attempted_ms, address, now_ms)
            if address not in self._swept_stores and is_due:
                self._attempted_ms[address] = now_ms
                tasks.append(SweepTask(address, tuple(targets.values())))
        return tuple(tasks)

    def done(self, task: SweepTask) -> None:
        """Record that a store holds no outdated parts."""
        if {target.model: target.version for target in task.targets} == self._target_versions:
            self._swept_stores.add(task.address)
