"""Decides when kept context of replaced weights is freed at managed stores; no I/O.

A store that is managed frees nothing by itself. Context of older weights is freed once no engine
has had them for so long that no request and no fetch can still refer to it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bergamothill.ids import ModelName, ServerId
from bergamothill.version.keptindex import PartKey
from bergamothill.version.keptnamespace import version_of
from bergamothill.version.weightgoal import WeightGoal
from bergamothill.version.weightswap import SwapEngine

__all__ = ["KeptSweep", "StoreListing", "SweepTask"]

LISTING_PAUSE_MS = 5_000
"""Pause before a store whose sweep failed is listed again."""


@dataclass(frozen=True, slots=True)
class StoreListing:
    """All that a store holds.

    :param epoch: changes at each start of the store
    :param keys: parts, those that broke off included
    """

    epoch: int
    keys: tuple[PartKey, ...]


@dataclass(frozen=True, slots=True)
class SweepTask:
    """List a store and free what is outdated there.

    :param address: ``host:port`` of the store
    :param goals: named versions; older ones are outdated
    """

    address: str
    goals: tuple[WeightGoal, ...]

    def outdated(self, listing: StoreListing) -> list[PartKey]:
        """Return the parts of a listing that are to be freed."""
        return [key for key in listing.keys if self._is_outdated(key)]

    def _is_outdated(self, key: PartKey) -> bool:
        for goal in self.goals:
            version = version_of(key.salt, goal.model)
            if version is not None:
                return version < goal.version
        return False


class KeptSweep:
    """Plans sweeps.

    :param settle_ms: time after which no request refers to weights that no engine has any more:
        the longest validity of a stale entry instance's beliefs and the life of a fetch
    """

    def __init__(self, settle_ms: int) -> None:
        self._settle_ms = settle_ms
        self._settled_since_ms: int | None = None
        self._goals: dict[ModelName, int] = {}
        self._done: set[str] = set()
        self._incarnations: set[tuple[ServerId, int]] = set()
        self._tried_ms: dict[str, int] = {}

    def plan(
        self,
        goals: Mapping[ModelName, WeightGoal],
        engines: Iterable[SwapEngine],
        stores: Iterable[str],
        now_ms: int,
    ) -> tuple[SweepTask, ...]:
        """Return the stores to sweep now.

        :param goals: versions that were named
        :param engines: listed engines
        :param stores: addresses of managed stores
        :param now_ms: present instant, in milliseconds
        """
        versions = {model: goal.version for model, goal in goals.items()}
        if versions != self._goals:
            self._goals = versions
            self._settled_since_ms = None
            self._done.clear()
        engines = tuple(engines)
        incarnations = {(engine.server, engine.started_wall_ms) for engine in engines}
        if not incarnations <= self._incarnations:
            # A server may start with old weights, and save under them until it has new ones.
            self._settled_since_ms = None
            self._done.clear()
        self._incarnations = incarnations
        if any(engine.version < versions.get(engine.model, 0) for engine in engines):
            self._settled_since_ms = None
            return ()
        if self._settled_since_ms is None:
            self._settled_since_ms = now_ms
        if not versions or now_ms - self._settled_since_ms < self._settle_ms:
            return ()
        tasks = []
        for address in stores:
            tried_ms = self._tried_ms.get(address)
            is_resting = tried_ms is not None and now_ms - tried_ms < LISTING_PAUSE_MS
            if address not in self._done and not is_resting:
                self._tried_ms[address] = now_ms
                tasks.append(SweepTask(address, tuple(goals.values())))
        return tuple(tasks)

    def done(self, task: SweepTask) -> None:
        """Note that a store holds nothing outdated any more."""
        if {goal.model: goal.version for goal in task.goals} == self._goals:
            self._done.add(task.address)
