"""Blocks that a store has shown lately, so that an export need not ask for them again."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Iterable

from bergamothill.clock import Clock

__all__ = ["PresentBlocks"]

PRESENT_MS = 60_000
PRESENT_KEYS = 20_000


class PresentBlocks:
    """Bounded memory of block keys; a hint, since a store may have lost the block meanwhile.

    :param clock: time source
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen_ms: OrderedDict[str, int] = OrderedDict()
        self._lock = threading.Lock()

    def note(self, keys: Iterable[str]) -> None:
        """Remember blocks that a store shows now."""
        now_ms = self._clock.now_ms()
        with self._lock:
            for key in keys:
                self._seen_ms[key] = now_ms
                self._seen_ms.move_to_end(key)
            while len(self._seen_ms) > PRESENT_KEYS:
                self._seen_ms.popitem(last=False)

    def contains(self, key: str) -> bool:
        """Return whether a store showed the block within the last minute."""
        with self._lock:
            seen_ms = self._seen_ms.get(key)
        return seen_ms is not None and self._clock.now_ms() - seen_ms < PRESENT_MS
