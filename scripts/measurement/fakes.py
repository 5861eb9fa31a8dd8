"""Timed fakes under the manual clock: event loop, model engine, stores."""

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
from scripts.measurement.trace import BLOCK_TOKENS, Deployment

__all__ = ["EventLoop", "FakeEngine", "FakeStores", "Job"]

CHUNK_TOKENS = 1_000
MILLIS_PER_SECOND = 1_000


class EventLoop:
    """Discrete events in order of their instant."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action later; a part of a millisecond counts as a whole one."""
        at_ms = self.clock.now_ms() + max(0, -int(-delay_ms // 1))
        heapq.heappush(self._events, (at_ms, next(self._numbers), action))

    def every(self, period_ms: int, action: Callable[[], None]) -> None:
        """Run an action again and again."""

        def fire() -> None:
            action()
            self.after(period_ms, fire)

        self.after(period_ms, fire)

    def run(self, until_ms: int) -> None:
        """Run the events up to an instant."""
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self.clock.advance_ms(at_ms - self.clock.now_ms())
            action()


@dataclass(slots=True)
class Job:
    """One prefill.

    :param keys: full blocks of the prompt
    :param staged: blocks imported for this run
    :param on_done: gets the leading blocks that were not computed
    """

    keys: tuple[str, ...]
    prompt_tokens: int
    priority: int
    on_done: Callable[[int], None]
    staged: frozenset[str] = frozenset()
    left_tokens: int = 0
    cached_blocks: int = 0
    started: bool = False


@dataclass(slots=True)
class _Transfer:
    size_bytes: int
    on_done: Callable[[], None]


@dataclass(slots=True)
class FakeEngine:
    """Prefill in chunks by priority, one link served in order, LRU cache of blocks."""

    server: ServerId
    zone: ZoneName
    loop: EventLoop
    deployment: Deployment
    link_bytes_per_s: float = 0
    leaving: bool = False
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    events: list[CacheEvent] = field(default_factory=list)
    _jobs: list[tuple[int, int, Job]] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)
    _computing: bool = False
    _transfers: deque[_Transfer] = field(default_factory=deque)
    _moving: bool = False

    def __post_init__(self) -> None:
        self.link_bytes_per_s = self.deployment.link_bytes_per_s

    def submit(self, job: Job) -> bool:
        """Queue a prefill; False when the engine is leaving."""
        if self.leaving:
            return False
        self._measure(job)
        heapq.heappush(self._jobs, (job.priority, next(self._numbers), job))
        if not self._computing:
            self._compute()
        return True

    def leading(self, keys: tuple[str, ...], staged: frozenset[str] = frozenset()) -> int:
        """Return how many leading blocks need no computing."""
        for position, key in enumerate(keys):
            if key not in self.cache and key not in staged:
                return position
        return len(keys)

    def transfer(self, size_bytes: int, on_done: Callable[[], None]) -> None:
        """Queue a transfer on the link."""
        self._transfers.append(_Transfer(size_bytes, on_done))
        if not self._moving:
            self._move()

    def load(self, age_ms: int) -> EngineLoad:
        """Return the load now, marked as old as it will be on arrival."""
        return EngineLoad(
            age_ms=age_ms,
            queued_tokens=sum(job.left_tokens for _, _, job in self._jobs),
            running=len(self._jobs),
            prefill_tokens_per_s=self.deployment.prefill_tokens_per_s,
            link_bytes_per_s=round(self.link_bytes_per_s),
            link_queued_bytes=sum(each.size_bytes for each in self._transfers),
            cache_free_tokens=0,
            state=EngineState(Incarnation(1), self.leaving, frozenset()),
        )

    def take_events(self) -> CacheEvents:
        """Return the cache events since the last call."""
        events, self.events = tuple(self.events), []
        return CacheEvents(events)

    def _measure(self, job: Job) -> None:
        job.cached_blocks = self.leading(job.keys, job.staged)
        job.left_tokens = max(1, job.prompt_tokens - job.cached_blocks * BLOCK_TOKENS)

    def _compute(self) -> None:
        self._computing = bool(self._jobs)
        if not self._jobs:
            return
        job = self._jobs[0][2]
        if not job.started:
            self._measure(job)
            job.started = True
            self._touch(job.keys[: job.cached_blocks])
        chunk = min(CHUNK_TOKENS, job.left_tokens)
        duration_ms = chunk * MILLIS_PER_SECOND / self.deployment.prefill_tokens_per_s
        self.loop.after(duration_ms, lambda: self._computed(job, chunk))

    def _computed(self, job: Job, chunk: int) -> None:
        job.left_tokens -= chunk
        if job.left_tokens <= 0:
            self._jobs = [each for each in self._jobs if each[2] is not job]
            heapq.heapify(self._jobs)
            self._touch(job.keys)
            job.on_done(job.cached_blocks)
        self._compute()

    def _touch(self, keys: tuple[str, ...]) -> None:
        for key in keys:
            if key not in self.cache:
                self.events.append(CacheEvent(0, CacheEventKind.KEPT, key))
            self.cache[key] = None
            self.cache.move_to_end(key)
        while len(self.cache) * BLOCK_TOKENS > self.deployment.cache_tokens:
            evicted, _ = self.cache.popitem(last=False)
            self.events.append(CacheEvent(0, CacheEventKind.EVICTED, evicted))

    def _move(self) -> None:
        self._moving = bool(self._transfers)
        if not self._transfers:
            return
        transfer = self._transfers[0]
        duration_ms = transfer.size_bytes * MILLIS_PER_SECOND / self.link_bytes_per_s
        self.loop.after(duration_ms, self._moved)

    def _moved(self) -> None:
        transfer = self._transfers.popleft()
        transfer.on_done()
        self._move()


class FakeStores:
    """Which store holds which block; a conversation's blocks lie together."""

    def __init__(self, deployment: Deployment) -> None:
        self.zones = deployment.stores()
        self.dead: set[StoreId] = set()
        self.held: dict[str, StoreId] = {}

    def keep(self, keys: tuple[str, ...], name: str, cut: Callable[[ZoneName], bool]) -> None:
        """Keep blocks at the first reachable store of the name's order.

        :param keys: blocks
        :param name: what the placement is drawn from
        :param cut: tells whether a zone cannot be reached
        """
        order = sorted(self.zones, key=lambda store: hash_of(f"{store}/{name}"))
        for store in order:
            if store not in self.dead and not cut(self.zones[store]):
                self.held.update(dict.fromkeys(keys, store))
                return

    def die(self, store: StoreId) -> None:
        """Lose a store with all it holds."""
        self.dead.add(store)
        self.held = {key: at for key, at in self.held.items() if at != store}


def hash_of(text: str) -> int:
    """Return a hash that is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())
