"""Cache of blocks recently found in stores; saves looking them up again before an export."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Iterable

from bergamothill.clock import Clock

__all__ = ["StoredBlockCache"]

STORED_BLOCK_TTL_MS = 60_000
MAX_STORED_BLOCK_KEYS = 20_000


class StoredBlockCache:
    """Bounded cache of block keys; may be stale, as a store may have lost a block since.

    :param clock: time source
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_seen_ms: OrderedDict[str, int] = OrderedDict()
        self._lock = threading.Lock()

    def add(self, keys: Iterable[str]) -> None:
        """Add blocks that were just found in a store.

        :param keys: keys of the blocks
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            for key in keys:
                self._last_seen_ms[key] = now_ms
                self._last_seen_ms.move_to_end(key)
            while len(self._last_seen_ms) > MAX_STORED_BLOCK_KEYS:
                self._last_seen_ms.popitem(last=False)

    def contains(self, key: str) -> bool:
        """Return whether the block was found in a store within ``STORED_BLOCK_TTL_MS``."""
        with self._lock:
            last_seen_ms = self._last_seen_ms.get(key)
        return (
            last_seen_ms is not None and self._clock.now_ms() - last_seen_ms < STORED_BLOCK_TTL_MS
        )
