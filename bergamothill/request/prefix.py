"""Believed prefix caches of the engines: hints from cache events, truth from what runs report."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import islice

from bergamothill.connection.engine import CacheEventKind, CacheEvents
from bergamothill.ids import ServerId

__all__ = ["PrefixIndex"]

KEYS_PER_ENGINE = 20_000
CAPACITY_WEIGHT = 0.1
SAFE_PART = 0.85
KEPT_PER_CAPACITY = 4
EVICTIONS_PER_SAMPLE = 4
USES_PER_CUTOFF = 50
LEAST_SAMPLES = 8


@dataclass(slots=True)
class _Cache:
    """Keys by the number of their last use, least recently used first."""

    uses: int = 0
    kept: OrderedDict[str, int] = field(default_factory=OrderedDict)
    capacity: float | None = None
    evictions: int = 0
    samples: int = 0
    cutoff: int = 0
    cutoff_uses: int = 0

    def use(self, key: str) -> None:
        self.uses += 1
        self.kept[key] = self.uses
        self.kept.move_to_end(key)

    def evict(self, key: str) -> None:
        self.evictions += 1
        if key in self.kept and self.evictions % EVICTIONS_PER_SAMPLE == 1:
            self._learn(self._rank(key))
        self.kept.pop(key, None)

    def keeps(self, key: str) -> bool:
        return self.kept.get(key, -1) >= self._safe_cutoff()

    def trim(self, most_keys: int) -> None:
        bound = most_keys
        if self.capacity is not None and self.samples >= LEAST_SAMPLES:
            bound = min(most_keys, round(self.capacity * KEPT_PER_CAPACITY) + 1)
        while len(self.kept) > bound:
            self.kept.popitem(last=False)

    def _rank(self, key: str) -> int:
        return next(rank for rank, known in enumerate(reversed(self.kept)) if known == key)

    def _learn(self, rank: int) -> None:
        self.samples += 1
        known = float(rank) if self.capacity is None else self.capacity
        self.capacity = known + CAPACITY_WEIGHT * (rank - known)

    def _safe_cutoff(self) -> int:
        """Return the least use number that is safely inside the cache."""
        if self.capacity is None or self.samples < LEAST_SAMPLES:
            return 0
        safe = max(1, round(self.capacity * SAFE_PART))
        if self.uses - self.cutoff_uses > safe // USES_PER_CUTOFF:
            self.cutoff_uses = self.uses
            outside = next(islice(reversed(self.kept.values()), safe, None), -1)
            self.cutoff = outside + 1
        return self.cutoff


class PrefixIndex:
    """Block keys that each engine is believed to keep.

    The size of an engine's cache is learned from the rank, by last use, of what it evicts. Keys
    near that rank count as absent: their eviction may be under way, and its event comes late.

    :param most_keys: bound of the keys remembered for one engine
    """

    def __init__(self, most_keys: int = KEYS_PER_ENGINE) -> None:
        self._most_keys = most_keys
        self._caches: dict[ServerId, _Cache] = {}

    def leading(self, server: ServerId, block_keys: Sequence[str]) -> int:
        """Return how many leading blocks of a prompt an engine is believed to keep.

        :param server: engine
        :param block_keys: keys of the prompt's full blocks, in prefix order
        """
        cache = self._caches.get(server)
        if cache is None:
            return 0
        for position, key in enumerate(block_keys):
            if not cache.keeps(key):
                return position
        return len(block_keys)

    def used(self, server: ServerId, block_keys: Sequence[str]) -> None:
        """Note that an engine has just used blocks, or will have by the time it matters.

        :param server: engine
        :param block_keys: keys of the blocks
        """
        cache = self._caches.setdefault(server, _Cache())
        for key in block_keys:
            cache.use(key)
        cache.trim(self._most_keys)

    def correct(self, server: ServerId, block_keys: Sequence[str], cached_blocks: int) -> None:
        """Replace belief by what a run reported: all blocks past the cached ones were absent.

        :param server: engine
        :param block_keys: keys that were believed to be kept before the run
        :param cached_blocks: leading blocks that the engine says it had
        """
        cache = self._caches.get(server)
        if cache is None:
            return
        for key in block_keys[cached_blocks:]:
            cache.kept.pop(key, None)

    def observe(self, server: ServerId, events: CacheEvents) -> None:
        """Take in cache events; after a gap the rest still counts, since all are hints.

        :param server: engine
        :param events: events in order
        """
        cache = self._caches.setdefault(server, _Cache())
        for event in events.events:
            if event.kind is CacheEventKind.KEPT:
                cache.use(event.key)
            else:
                cache.evict(event.key)
        cache.trim(self._most_keys)

    def forget(self, server: ServerId) -> None:
        """Drop an engine that left or started anew.

        :param server: engine
        """
        self._caches.pop(server, None)
