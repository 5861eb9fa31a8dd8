"""Scheduling of exports: bounded queues, idle links first, most valuable blocks first."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.ids import BrandName, ServerId

__all__ = ["ExportCandidate", "ExportSchedule", "ReuseRates"]

MAX_QUEUED = 512
MAX_LINK_WAIT_MS = 30_000
PRIOR_REUSED = 1.0
PRIOR_EXPORTED = 2.0
MAX_EXPORTED_COUNT = 1_000.0


@dataclass(frozen=True, slots=True)
class ExportCandidate:
    """Block that an engine has cached and no store has yet.

    :param server: engine that has the block cached
    :param key: block key
    :param position: index in the prefix chain, from 0
    :param size_bytes: expected size, in bytes
    :param expected_uses: expected number of uses before the warm time ends
    :param queued_ms: time at which the block was queued
    :param warm_until_ms: end of the warm time, after which the block is not worth keeping
    """

    server: ServerId
    key: str
    position: int
    size_bytes: int
    expected_uses: float
    queued_ms: int
    warm_until_ms: int


class ExportSchedule:
    """Queues of the exports of one entry instance.

    A full queue first drops blocks past their warm time, then those with the fewest expected uses.
    Among equals it drops the later block of a chain, since a block is useless without those before
    it, and then the one queued earlier.

    :param max_queued: maximum queue length per engine
    :param max_wait_ms: maximum time that a candidate waits for an idle link, in milliseconds
    """

    def __init__(self, max_queued: int = MAX_QUEUED, max_wait_ms: int = MAX_LINK_WAIT_MS) -> None:
        self._max_queued = max_queued
        self._max_wait_ms = max_wait_ms
        self._queued: dict[ServerId, dict[str, ExportCandidate]] = {}

    def add(self, candidate: ExportCandidate, now_ms: int) -> tuple[ExportCandidate, ...]:
        """Queue a block; a queued candidate with the same key is replaced.

        :param candidate: block to export
        :param now_ms: current time, in milliseconds
        :returns: candidates dropped because the queue is full
        """
        queue = self._queued.setdefault(candidate.server, {})
        queue[candidate.key] = candidate
        dropped = []
        while len(queue) > self._max_queued:
            worst = min(queue.values(), key=lambda item: _priority(item, now_ms))
            dropped.append(queue.pop(worst.key))
        return tuple(dropped)

    def next(self, server: ServerId, link_idle: bool, now_ms: int) -> ExportCandidate | None:
        """Remove and return the next export to start on an engine.

        :param server: engine
        :param link_idle: whether no transfer is queued on the engine's link
        :param now_ms: current time, in milliseconds
        :returns: the candidate, or None if no export should start now
        """
        queue = self._queued.get(server, {})
        for key in [key for key, item in queue.items() if item.warm_until_ms <= now_ms]:
            del queue[key]
        due = [
            item
            for item in queue.values()
            if link_idle or now_ms - item.queued_ms >= self._max_wait_ms
        ]
        if not due:
            return None
        best = max(due, key=lambda item: _priority(item, now_ms))
        return queue.pop(best.key)

    def forget(self, server: ServerId) -> None:
        """Drop the queue of an engine that left.

        :param server: engine
        """
        self._queued.pop(server, None)

    def queued(self, server: ServerId) -> int:
        """Return the number of queued exports of an engine.

        :param server: engine
        """
        return len(self._queued.get(server, {}))


def _priority(candidate: ExportCandidate, now_ms: int) -> tuple[bool, float, int, int]:
    return (
        candidate.warm_until_ms > now_ms,
        candidate.expected_uses,
        -candidate.position,
        candidate.queued_ms,
    )


class ReuseRates:
    """Observed reuse rate of the stored blocks of each brand."""

    def __init__(self) -> None:
        self._reused: dict[BrandName, float] = {}
        self._exported: dict[BrandName, float] = {}

    def record_exported(self, brand: BrandName, blocks: int) -> None:
        """Count exported blocks; old counts decay.

        :param brand: brand
        :param blocks: number of blocks
        """
        total = self._exported.get(brand, 0.0) + blocks
        decay = min(1.0, MAX_EXPORTED_COUNT / total) if total else 1.0
        self._exported[brand] = total * decay
        self._reused[brand] = self._reused.get(brand, 0.0) * decay

    def record_reused(self, brand: BrandName, blocks: int) -> None:
        """Count stored blocks that a prompt reused.

        :param brand: brand
        :param blocks: number of blocks
        """
        self._reused[brand] = self._reused.get(brand, 0.0) + blocks

    def expected(self, brand: BrandName) -> float:
        """Return the expected number of uses of a newly exported block.

        :param brand: brand
        """
        reused = self._reused.get(brand, 0.0) + PRIOR_REUSED
        return reused / (self._exported.get(brand, 0.0) + PRIOR_EXPORTED)
