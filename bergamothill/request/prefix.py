"""Believed prefix caches of the engines: hints from cache events, truth from what runs report."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from bergamothill.connection.engine import CacheEventKind, CacheEvents
from bergamothill.ids import ServerId

__all__ = ["PrefixIndex"]

KEYS_PER_ENGINE = 20_000


class PrefixIndex:
    """Block keys that each engine is believed to keep, least recently used first.

    :param most_keys: bound of the keys remembered for one engine
    """

    def __init__(self, most_keys: int = KEYS_PER_ENGINE) -> None:
        self._most_keys = most_keys
        self._kept: dict[ServerId, OrderedDict[str, None]] = {}

    def leading(self, server: ServerId, block_keys: Sequence[str]) -> int:
        """Return how many leading blocks of a prompt an engine is believed to keep.

        :param server: engine
        :param block_keys: keys of the prompt's full blocks, in prefix order
        """
        kept = self._kept.get(server, {})
        for position, key in enumerate(block_keys):
            if key not in kept:
                return position
        return len(block_keys)

    def used(self, server: ServerId, block_keys: Sequence[str]) -> None:
        """Note that an engine has just used blocks, or will have by the time it matters.

        :param server: engine
        :param block_keys: keys of the blocks
        """
        kept = self._kept.setdefault(server, OrderedDict())
        for key in block_keys:
            kept[key] = None
            kept.move_to_end(key)
        while len(kept) > self._most_keys:
            kept.popitem(last=False)

    def correct(self, server: ServerId, block_keys: Sequence[str], cached_blocks: int) -> None:
        """Replace belief by what a run reported: all blocks past the cached ones were absent.

        :param server: engine
        :param block_keys: keys that were believed to be kept before the run
        :param cached_blocks: leading blocks that the engine says it had
        """
        kept = self._kept.get(server)
        if kept is None:
            return
        for key in block_keys[cached_blocks:]:
            kept.pop(key, None)

    def observe(self, server: ServerId, events: CacheEvents) -> None:
        """Take in cache events; after a gap the rest still counts, since all are hints.

        :param server: engine
        :param events: events in order
        """
        for event in events.events:
            if event.kind is CacheEventKind.KEPT:
                self.used(server, (event.key,))
            else:
                self._kept.get(server, OrderedDict()).pop(event.key, None)

    def forget(self, server: ServerId) -> None:
        """Drop an engine that left or started anew.

        :param server: engine
        """
        self._kept.pop(server, None)
