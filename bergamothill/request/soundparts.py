"""Parts of requests with which servers answered lately; no I/O."""

from __future__ import annotations

from collections import OrderedDict

from bergamothill.request.crashevidence import PartId

__all__ = ["SoundParts"]

TTL_MS = 300_000
MAX_PARTS = 4_096


class SoundParts:
    """Bounded record of the parts of successful requests, the latest last.

    Whole requests have a record of their own, so that many different ones displace no part of a
    prompt.
    """

    def __init__(self) -> None:
        self._answered_ms: OrderedDict[PartId, int] = OrderedDict()
        self._requests_answered_ms: OrderedDict[PartId, int] = OrderedDict()

    def record(self, part: PartId, now_ms: int) -> None:
        """Record that an answer with a part succeeded."""
        answered_ms = self._record_for(part)
        answered_ms[part] = now_ms
        answered_ms.move_to_end(part)
        if len(answered_ms) > MAX_PARTS:
            answered_ms.popitem(last=False)

    def contains(self, part: PartId, now_ms: int) -> bool:
        """Return whether an answer with the part succeeded lately."""
        answered_ms = self._record_for(part).get(part)
        return answered_ms is not None and now_ms - answered_ms <= TTL_MS

    def _record_for(self, part: PartId) -> OrderedDict[PartId, int]:
        return self._requests_answered_ms if part.is_request else self._answered_ms
