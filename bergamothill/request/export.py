"""Schedule of exports: idle link time first, most valuable blocks first, bounded queue."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.ids import BrandName, ServerId

__all__ = ["ExportCandidate", "ExportSchedule", "ReturnRates"]

MOST_QUEUED = 512
PATIENCE_MS = 30_000
PRIOR_RETURNS = 1.0
PRIOR_KEPT = 2.0
KEPT_MEMORY = 1_000.0


@dataclass(frozen=True, slots=True)
class ExportCandidate:
    """A block that an engine keeps and no store has yet.

    :param server: engine that keeps it
    :param key: block key
    :param position: place in its prefix chain, from 0
    :param size_bytes: expected size, in bytes
    :param expected_return: expected number of uses before the warm time ends
    :param queued_ms: instant at which it became a candidate
    :param warm_until_ms: instant after which it is not worth keeping
    """

    server: ServerId
    key: str
    position: int
    size_bytes: int
    expected_return: float
    queued_ms: int
    warm_until_ms: int


class ExportSchedule:
    """Queue of exports of one entry instance.

    Dropped first: blocks past their warm time; then least expected return; among equals the later
    in their chain, since a block is of no use without those before it; then the older.

    :param most_queued: bound of the queue of one engine
    :param patience_ms: how long a candidate waits for an idle link before it goes anyway
    """

    def __init__(self, most_queued: int = MOST_QUEUED, patience_ms: int = PATIENCE_MS) -> None:
        self._most_queued = most_queued
        self._patience_ms = patience_ms
        self._queued: dict[ServerId, dict[str, ExportCandidate]] = {}

    def add(self, candidate: ExportCandidate, now_ms: int) -> tuple[ExportCandidate, ...]:
        """Queue a block; one that is queued already is replaced.

        :param candidate: block to export
        :param now_ms: current time, in milliseconds
        :returns: candidates dropped to stay within the bound
        """
        queue = self._queued.setdefault(candidate.server, {})
        queue[candidate.key] = candidate
        dropped = []
        while len(queue) > self._most_queued:
            worst = min(queue.values(), key=lambda each: _worth(each, now_ms))
            dropped.append(queue.pop(worst.key))
        return tuple(dropped)

    def next(self, server: ServerId, link_idle: bool, now_ms: int) -> ExportCandidate | None:
        """Take the export to start now on one engine.

        :param server: engine
        :param link_idle: nothing waits for the engine's link
        :param now_ms: current time, in milliseconds
        :returns: the candidate, or None to wait
        """
        queue = self._queued.get(server, {})
        for key in [key for key, each in queue.items() if each.warm_until_ms <= now_ms]:
            del queue[key]
        due = [
            each
            for each in queue.values()
            if link_idle or now_ms - each.queued_ms >= self._patience_ms
        ]
        if not due:
            return None
        best = max(due, key=lambda each: _worth(each, now_ms))
        return queue.pop(best.key)

    def forget(self, server: ServerId) -> None:
        """Drop the queue of an engine that left.

        :param server: engine
        """
        self._queued.pop(server, None)

    def queued(self, server: ServerId) -> int:
        """Return how many exports wait for an engine.

        :param server: engine
        """
        return len(self._queued.get(server, {}))


def _worth(candidate: ExportCandidate, now_ms: int) -> tuple[bool, float, int, int]:
    return (
        candidate.warm_until_ms > now_ms,
        candidate.expected_return,
        -candidate.position,
        candidate.queued_ms,
    )


class ReturnRates:
    """Observed share of each brand's kept blocks that were used again."""

    def __init__(self) -> None:
        self._returned: dict[BrandName, float] = {}
        self._kept: dict[BrandName, float] = {}

    def kept(self, brand: BrandName, blocks: int) -> None:
        """Count blocks that were exported; old counts fade.

        :param brand: brand
        :param blocks: number of blocks
        """
        total = self._kept.get(brand, 0.0) + blocks
        fade = min(1.0, KEPT_MEMORY / total) if total else 1.0
        self._kept[brand] = total * fade
        self._returned[brand] = self._returned.get(brand, 0.0) * fade

    def returned(self, brand: BrandName, blocks: int) -> None:
        """Count blocks that a returning prompt used.

        :param brand: brand
        :param blocks: number of blocks
        """
        self._returned[brand] = self._returned.get(brand, 0.0) + blocks

    def expected(self, brand: BrandName) -> float:
        """Return the expected uses of a newly kept block.

        :param brand: brand
        """
        returned = self._returned.get(brand, 0.0) + PRIOR_RETURNS
        return returned / (self._kept.get(brand, 0.0) + PRIOR_KEPT)
