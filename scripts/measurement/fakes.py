"""Simulated event loop, model engine and stores, driven by a manual clock."""

from __future__ import annotations

import hashlib
import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bergamothill.clock import ManualClock
from bergamothill.connection.engine import (
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    EngineLoad,
    EngineState,
)
from bergamothill.ids import Incarnation, ServerId, StoreId, ZoneName
from scripts.measurement.trace import BLOCK_TOKENS, SimulatedDeployment

__all__ = ["EventLoop", "FakeEngine", "FakeStores", "PrefillJob"]

PREFILL_CHUNK_TOKENS = 1_000
MILLIS_PER_SECOND = 1_000


class EventLoop:
    """Runs scheduled callbacks in order of their time, advancing a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay, rounded up to whole milliseconds."""
        at_ms = self.clock.now_ms() + max(0, -int(-delay_ms // 1))
        heapq.heappush(self._events, (at_ms, next(self._sequence), callback))

    def call_every(self, period_ms: int, callback: Callable[[], None]) -> None:
        """Run a callback periodically, first after one period."""

        def run_and_reschedule() -> None:
            callback()
            self.call_later(period_ms, run_and_reschedule)

        self.call_later(period_ms, run_and_reschedule)

    def run(self, until_ms: int) -> None:
        """Run all callbacks due up to and including a time."""
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, callback = heapq.heappop(self._events)
            self.clock.advance_ms(at_ms - self.clock.now_ms())
            callback()


@dataclass(slots=True)
class PrefillJob:
    """A prefill job of a simulated engine.

    :param block_keys: full blocks of the prompt
    :param staged: blocks imported for this job
    :param on_done: called with the number of leading blocks that were not recomputed
    """

    block_keys: tuple[str, ...]
    prompt_tokens: int
    priority: int
    on_done: Callable[[int], None]
    staged: frozenset[str] = frozenset()
    remaining_tokens: int = 0
    cached_blocks: int = 0
    started: bool = False


@dataclass(slots=True)
class _Transfer:
    size_bytes: int
    on_done: Callable[[], None]


@dataclass(slots=True)
class FakeEngine:
    """Engine with chunked prefill by priority, a FIFO link and an LRU cache of blocks."""

    server: ServerId
    zone: ZoneName
    loop: EventLoop
    deployment: SimulatedDeployment
    link_bytes_per_s: float = 0
    leaving: bool = False
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cache_events: list[CacheEvent] = field(default_factory=list)
    _jobs: list[tuple[int, int, PrefillJob]] = field(default_factory=list)
    _sequence: itertools.count = field(default_factory=itertools.count)
    _prefilling: bool = False
    _transfers: deque[_Transfer] = field(default_factory=deque)
    _transferring: bool = False

    def __post_init__(self) -> None:
        self.link_bytes_per_s = self.deployment.link_bytes_per_s

    def submit(self, job: PrefillJob) -> bool:
        """Queue a prefill job; return False if the engine is leaving."""
        if self.leaving:
            return False
        self._count_remaining_tokens(job)
        heapq.heappush(self._jobs, (job.priority, next(self._sequence), job))
        if not self._prefilling:
            self._start_chunk()
        return True

    def count_leading_blocks(
        self, block_keys: tuple[str, ...], staged: frozenset[str] = frozenset()
    ) -> int:
        """Return how many leading blocks are cached or staged."""
        for position, key in enumerate(block_keys):
            if key not in self.cache and key not in staged:
                return position
        return len(block_keys)

    def transfer(self, size_bytes: int, on_done: Callable[[], None]) -> None:
        """Queue a transfer on the link."""
        self._transfers.append(_Transfer(size_bytes, on_done))
        if not self._transferring:
            self._start_transfer()

    def load(self, age_ms: int) -> EngineLoad:
        """Return the current load, with the age that it will have on delivery."""
        return EngineLoad(
            age_ms=age_ms,
            queued_tokens=sum(job.remaining_tokens for _, _, job in self._jobs),
            running=len(self._jobs),
            prefill_tokens_per_s=self.deployment.prefill_tokens_per_s,
            link_bytes_per_s=round(self.link_bytes_per_s),
            link_queued_bytes=sum(each.size_bytes for each in self._transfers),
            cache_free_tokens=0,
            state=EngineState(Incarnation(1), self.leaving, frozenset()),
        )

    def drain_cache_events(self) -> CacheEvents:
        """Return the cache events since the last call."""
        cache_events, self.cache_events = tuple(self.cache_events), []
        return CacheEvents(cache_events)

    def _count_remaining_tokens(self, job: PrefillJob) -> None:
        job.cached_blocks = self.count_leading_blocks(job.block_keys, job.staged)
        job.remaining_tokens = max(1, job.prompt_tokens - job.cached_blocks * BLOCK_TOKENS)

    def _start_chunk(self) -> None:
        self._prefilling = bool(self._jobs)
        if not self._jobs:
            return
        job = self._jobs[0][2]
        if not job.started:
            self._count_remaining_tokens(job)
            job.started = True
            self._cache_blocks(job.block_keys[: job.cached_blocks])
        chunk = min(PREFILL_CHUNK_TOKENS, job.remaining_tokens)
        duration_ms = chunk * MILLIS_PER_SECOND / self.deployment.prefill_tokens_per_s
        self.loop.call_later(duration_ms, lambda: self._finish_chunk(job, chunk))

    def _finish_chunk(self, job: PrefillJob, chunk: int) -> None:
        job.remaining_tokens -= chunk
        if job.remaining_tokens <= 0:
            self._jobs = [each for each in self._jobs if each[2] is not job]
            heapq.heapify(self._jobs)
            self._cache_blocks(job.block_keys)
            job.on_done(job.cached_blocks)
        self._start_chunk()

    def _cache_blocks(self, block_keys: tuple[str, ...]) -> None:
        for key in block_keys:
            if key not in self.cache:
                self.cache_events.append(CacheEvent(0, CacheEventKind.KEPT, key))
            self.cache[key] = None
            self.cache.move_to_end(key)
        while len(self.cache) * BLOCK_TOKENS > self.deployment.cache_tokens:
            evicted, _ = self.cache.popitem(last=False)
            self.cache_events.append(CacheEvent(0, CacheEventKind.EVICTED, evicted))

    def _start_transfer(self) -> None:
        self._transferring = bool(self._transfers)
        if not self._transfers:
            return
        transfer = self._transfers[0]
        duration_ms = transfer.size_bytes * MILLIS_PER_SECOND / self.link_bytes_per_s
        self.loop.call_later(duration_ms, self._finish_transfer)

    def _finish_transfer(self) -> None:
        transfer = self._transfers.popleft()
        transfer.on_done()
        self._start_transfer()


class FakeStores:
    """Maps blocks to stores; the blocks of one conversation are placed on the same store."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self.store_zones = deployment.stores()
        self.failed: set[StoreId] = set()
        self.store_by_block: dict[str, StoreId] = {}

    def add_blocks(
        self,
        block_keys: tuple[str, ...],
        placement_key: str,
        is_unreachable: Callable[[ZoneName], bool],
    ) -> None:
        """Place blocks on the first reachable store, in rendezvous-hashing order of the key.

        :param block_keys: blocks
        :param placement_key: hashed together with each store's id
        :param is_unreachable: tells whether a zone cannot be reached
        """
        order = sorted(self.store_zones, key=lambda store: stable_hash(f"{store}/{placement_key}"))
        for store in order:
            if store not in self.failed and not is_unreachable(self.store_zones[store]):
                self.store_by_block.update(dict.fromkeys(block_keys, store))
                return

    def fail_store(self, store: StoreId) -> None:
        """Fail a store; all its blocks are lost."""
        self.failed.add(store)
        self.store_by_block = {
            key: stored_at for key, stored_at in self.store_by_block.items() if stored_at != store
        }


def stable_hash(text: str) -> int:
    """Return a hash that is the same in every process, unlike :func:`hash`."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())
