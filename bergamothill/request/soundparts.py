"""Prompt parts with which servers answered lately; no I/O."""

from __future__ import annotations

from collections import OrderedDict

from bergamothill.request.crashevidence import PartId

__all__ = ["SoundParts"]

TTL_MS = 300_000
MAX_PARTS = 4_096


class SoundParts:
    """Bounded record of the parts of successful requests, the latest last."""

    def __init__(self) -> None:
        self._answered_ms: OrderedDict[PartId, int] = OrderedDict()

    def record(self, part: PartId, now_ms: int) -> None:
        """Record that an answer with a part succeeded."""
        self._answered_ms[part] = now_ms
        self._answered_ms.move_to_end(part)
        if len(self._answered_ms) > MAX_PARTS:
            self._answered_ms.popitem(last=False)

    def contains(self, part: PartId, now_ms: int) -> bool:
        """Return whether an answer with the part succeeded lately."""
        answered_ms = self._answered_ms.get(part)
        return answered_ms is not None and now_ms - answered_ms <= TTL_MS
