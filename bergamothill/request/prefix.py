"""Estimated prefix caches of the engines, from cache events and from reports of runs."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from bergamothill.connection.engine import CacheEventKind, CacheEvents
from bergamothill.ids import ServerId

__all__ = ["PrefixIndex"]

MAX_KEYS_PER_ENGINE = 20_000


class PrefixIndex:
    """Block keys that each engine is believed to have cached, least recently used first.

    :param max_keys: maximum number of keys per engine
    """

    def __init__(self, max_keys: int = MAX_KEYS_PER_ENGINE) -> None:
        self._max_keys = max_keys
        self._cached_keys: dict[ServerId, OrderedDict[str, None]] = {}

    def leading(self, server: ServerId, block_keys: Sequence[str]) -> int:
        """Return how many leading blocks of a prompt an engine is believed to have cached.

        :param server: engine
        :param block_keys: keys of the prompt's full blocks, in prefix order
        """
        cached = self._cached_keys.get(server, {})
        for position, key in enumerate(block_keys):
            if key not in cached:
                return position
        return len(block_keys)

    def used(self, server: ServerId, block_keys: Sequence[str]) -> None:
        """Record that an engine has just used blocks, or is about to use them.

        :param server: engine
        :param block_keys: keys of the blocks
        """
        cached = self._cached_keys.setdefault(server, OrderedDict())
        for key in block_keys:
            cached[key] = None
            cached.move_to_end(key)
        while len(cached) > self._max_keys:
            cached.popitem(last=False)

    def correct(self, server: ServerId, block_keys: Sequence[str], cached_blocks: int) -> None:
        """Remove the keys of blocks that a run found missing from the cache.

        :param server: engine
        :param block_keys: keys that were believed to be cached before the run
        :param cached_blocks: number of leading blocks that the engine reported as cached
        """
        cached = self._cached_keys.get(server)
        if cached is None:
            return
        for key in block_keys[cached_blocks:]:
            cached.pop(key, None)

    def observe(self, server: ServerId, events: CacheEvents) -> None:
        """Apply cache events; gaps are tolerated, as the keys are only hints.

        :param server: engine
        :param events: events in order
        """
        for event in events.events:
            if event.kind is CacheEventKind.KEPT:
                self.used(server, (event.key,))
            else:
                self._cached_keys.get(server, OrderedDict()).pop(event.key, None)

    def forget(self, server: ServerId) -> None:
        """Remove an engine that left or restarted.

        :param server: engine
        """
        self._cached_keys.pop(server, None)
