"""Cache of the blocks that stores have shown recently; saves queries before exports."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Iterable

from bergamothill.clock import Clock

__all__ = ["StoredBlockCache"]

STORED_BLOCK_TTL_MS = 60_000
MAX_STORED_BLOCK_KEYS = 20_000


class StoredBlockCache:
    """Bounded cache of block keys; only a hint, as a store may have lost a block since.

    :param clock: time source
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen_ms: OrderedDict[str, int] = OrderedDict()
        self._lock = threading.Lock()

    def add(self, keys: Iterable[str]) -> None:
        """Add blocks that a store has just shown."""
        now_ms = self._clock.now_ms()
        with self._lock:
            for key in keys:
                self._seen_ms[key] = now_ms
                self._seen_ms.move_to_end(key)
            while len(self._seen_ms) > MAX_STORED_BLOCK_KEYS:
                self._seen_ms.popitem(last=False)

    def contains(self, key: str) -> bool:
        """Return whether a store has shown the block within the last minute."""
        with self._lock:
            seen_ms = self._seen_ms.get(key)
        return seen_ms is not None and self._clock.now_ms() - seen_ms < STORED_BLOCK_TTL_MS
