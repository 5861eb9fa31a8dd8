"""Plans which parts of a prompt an engine reuses, fetches, prefills or saves; does no I/O."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from bergamothill.ids import ZoneName
from bergamothill.request.callerrequest import CallerRequest
from bergamothill.request.fetchdelay import FetchDelays
from bergamothill.request.serverspeed import INITIAL_TOKENS_PER_MS
from bergamothill.version.cacheindex import CacheIndex, PartKey
from bergamothill.version.cachenamespace import NO_ISOLATION, BrandIsolation
from bergamothill.version.homes import HomeRegions, RegionMap
from bergamothill.version.routetable import CacheStore, EngineTraits
from bergamothill.version.scopesweep import FETCH_HOLD_MS

__all__ = ["FETCH_TIMEOUT_MS", "ContextPlan", "ContextPlanner", "PartHolders", "SourceState"]

CROSS_ZONE_FACTOR = 2.0
"""Ratio of the transfer time between zones to that within a zone."""

FALLBACK_SOURCE_FACTOR = 1.0
"""Lowest ratio of prefill to fetch time at which a cached part also gets a fallback source."""

PREFILL_WEIGHT = 3.0
"""A fetch may take this many times as long as prefill, because prefill delays other requests."""

FETCH_ALLOWANCE_MS = 100
"""Added to the allowed fetch time so that short parts are also fetched; a third of the tightest
first-token objective."""

FETCH_TIMEOUT_MS = 1_500
"""Longest time limit of a fetch; a slower fetch takes longer than recomputing the prompt."""

SAVE_TIMEOUT_MS = 3_000
"""Time within which an ordered save is expected to appear in the store's events."""

BYTES_PER_MS_PER_MBPS = 125

MAX_PENDING_SAVES = 5_000
"""Number of recorded saves above which expired ones are removed."""


@dataclass(frozen=True, slots=True)
class ContextPlan:
    """Sources of the parts of a prompt at one engine.

    :param held_tokens: tokens cached by the engine
    :param fetched_tokens: tokens fetched from a store or another engine
    :param prefill_tokens: tokens to prefill, including the request's own part
    :param fetch_ms: expected duration of the fetches, in milliseconds
    :param fetch_from: source address for each part; empty string for none
    :param fetch_until_ms: time limit of the fetches, on the servers' clock; 0 for no limit
    """

    held_tokens: int
    fetched_tokens: int
    prefill_tokens: int
    fetch_ms: float
    fetch_from: tuple[str, ...]
    fetch_until_ms: int


@dataclass(frozen=True, slots=True)
class _CandidateEngine:
    """Engine for which a prompt is planned.

    :param engine: address
    :param zone: availability zone
    :param traits: traits of the engine's service
    :param homes: regions from which parts may be fetched; None for all
    """

    engine: str
    zone: ZoneName
    traits: EngineTraits
    homes: HomeRegions | None


class SourceState(NamedTuple):
    """State of an engine or store as a source of parts.

    :param delay_ms: expected delay of a fetch beyond its transfer, in milliseconds
    :param left_ms: time until the source may have restarted unnoticed, in milliseconds
    """

    delay_ms: float
    left_ms: int


class _Source(NamedTuple):
    """Source that a part may be fetched from.

    :param address: address of the engine or store
    :param fetch_ms: expected duration of the fetch, in milliseconds
    :param left_ms: time until the source may have restarted unnoticed, in milliseconds
    """

    address: str
    fetch_ms: float
    left_ms: int


@dataclass(frozen=True, slots=True)
class _FetchTime:
    """Time in which a part can be fetched.

    :param now_ms: current time, in milliseconds
    :param wait_ms: expected duration of the fetches before it, in milliseconds
    :param left_ms: time until the deadline of the fetches planned so far, in milliseconds
    """

    now_ms: int
    wait_ms: float
    left_ms: int

    def is_enough_for(self, source: _Source) -> bool:
        """Return whether a fetch from a source is expected to end in time."""
        return self.wait_ms + source.fetch_ms <= min(self.left_ms, source.left_ms)


class PartHolders:
    """Sources that certainly have the parts of one prompt, looked up once for all its engines.

    :param planner: knows the sources
    :param now_ms: current time, in milliseconds
    """

    def __init__(self, planner: ContextPlanner, now_ms: int) -> None:
        self._planner = planner
        self._now_ms = now_ms
        self._engines: dict[PartKey, list[str]] = {}
        self._stores: dict[PartKey, list[CacheStore]] = {}
        self._states: dict[str, SourceState] = {}

    def engines_with(self, key: PartKey, tokens: int) -> list[str]:
        """Return the addresses of the engines that have a part."""
        addresses = self._engines.get(key)
        if addresses is None:
            addresses = self._engines[key] = self._planner.engines_with(key, tokens, self._now_ms)
        return addresses

    def stores_with(self, key: PartKey, tokens: int) -> list[CacheStore]:
        """Return the stores that have a part."""
        stores = self._stores.get(key)
        if stores is None:
            stores = self._stores[key] = self._planner.stores_with(key, tokens, self._now_ms)
        return stores

    def state(self, address: str) -> SourceState:
        """Return the state of a source."""
        state = self._states.get(address)
        if state is None:
            state = self._states[address] = self._planner.source_state(address, self._now_ms)
        return state


class ContextPlanner:
    """Plans fetches and saves of prompt parts.

    :param index: index of the parts that engines and stores have
    :param regions: regions of the availability zones
    """

    def __init__(self, index: CacheIndex, regions: RegionMap | None = None) -> None:
        self._index = index
        self.delays = FetchDelays()
        self.regions = regions or RegionMap()
        self._stores: tuple[CacheStore, ...] = ()
        self._zones: dict[str, ZoneName] = {}
        self._pending_saves: dict[PartKey, int] = {}
        self.isolation = NO_ISOLATION
        """Which brands share cached context, by the configuration in force."""

        self._stores_held_until_ms: int | None = None

    def set_isolation(self, isolation: BrandIsolation, now_ms: int) -> None:
        """Set the isolated brands; after a change, nothing is fetched from stores for a moment.

        What the stores keep under the new shared scope may be about to be freed.
        """
        if self._stores_held_until_ms is None or isolation != self.isolation:
            self._stores_held_until_ms = now_ms + FETCH_HOLD_MS
        self.isolation = isolation

    def set_stores(self, stores: tuple[CacheStore, ...]) -> None:
        """Set the stores, from the configuration in force."""
        self._stores = stores
        self._prune_delays()

    def set_engines(self, zones: Mapping[str, ZoneName]) -> None:
        """Set the engines that parts may be fetched from.

        :param zones: availability zone of each engine, by address
        """
        self._zones = dict(zones)
        self._prune_delays()

    def _prune_delays(self) -> None:
        self.delays.retain_sources([*self._zones, *(store.address for store in self._stores)])

    def plan(
        self,
        engine: str,
        zone: ZoneName,
        traits: EngineTraits,
        request: CallerRequest,
        salt: str,
        now_ms: int,
        tokens_per_ms: float = INITIAL_TOKENS_PER_MS,
        holders: PartHolders | None = None,
    ) -> ContextPlan:
        """Return the source of each part of a prompt.

        Cached tokens can only be used as a prefix of the prompt, so nothing is fetched after the
        first part that has to be prefilled.

        :param engine: address of the engine
        :param zone: availability zone of the engine
        :param traits: traits of the engine's service
        :param request: request with the prompt
        :param salt: KV cache namespace of the request
        :param now_ms: current time, in milliseconds
        :param tokens_per_ms: prefill speed of the engine
        :param holders: shared by the plans of one prompt for several engines
        """
        candidate = _CandidateEngine(engine, zone, traits, request.homes)
        holders = holders or PartHolders(self, now_ms)
        held = fetched = 0
        fetch_ms = 0.0
        sources = [""] * len(request.parts)
        ends_ms = []
        left_ms = FETCH_TIMEOUT_MS
        remaining_tokens = sum(part.tokens for part in request.parts[:-1])
        for number, part in enumerate(request.parts[:-1]):
            key = PartKey(salt, part.name)
            is_held = self._index.tokens_at(engine, key) >= part.tokens
            # Transfers run one after another, so this one starts once those before it have ended.
            timing = _FetchTime(now_ms, fetch_ms, left_ms)
            source = self._quickest_source(
                candidate, key, part.tokens, timing, holders, with_engines=not is_held
            )
            prefill_ms = remaining_tokens / tokens_per_ms
            if source is not None and not _is_fetch_worthwhile(prefill_ms, source.fetch_ms):
                source = None
            if source is not None and (
                not is_held or _needs_fallback_source(prefill_ms, source.fetch_ms)
            ):
                sources[number] = source.address
                left_ms = min(left_ms, source.left_ms)
                offset_ms = self._index.source(source.address).clock_offset_ms
                ends_ms.append(now_ms + left_ms + offset_ms)
            if is_held:
                held += part.tokens
            elif source is not None:
                fetched += part.tokens
                fetch_ms += source.fetch_ms
            else:
                break
            remaining_tokens -= part.tokens
        return ContextPlan(
            held_tokens=held,
            fetched_tokens=fetched,
            prefill_tokens=max(0, request.prompt_tokens - held - fetched),
            fetch_ms=fetch_ms,
            fetch_from=tuple(sources) if any(sources) else (),
            fetch_until_ms=min(ends_ms, default=0),
        )

    def _quickest_source(
        self,
        candidate: _CandidateEngine,
        key: PartKey,
        tokens: int,
        timing: _FetchTime,
        holders: PartHolders,
        *,
        with_engines: bool,
    ) -> _Source | None:
        """Return the fastest source among those that certainly have a part, or None.

        A source is left out if it may have restarted before the fetch has ended.
        """
        stores = holders.stores_with(key, tokens)
        sources = list(self._store_sources(candidate, stores, tokens, holders))
        if with_engines:
            addresses = holders.engines_with(key, tokens)
            sources += self._engine_sources(candidate, addresses, tokens, holders)
        sources = [source for source in sources if timing.is_enough_for(source)]
        if candidate.homes is not None:
            sources = [s for s in sources if self.is_home(s.address, candidate.homes)]
        return min(sources, key=lambda source: source.fetch_ms, default=None)

    def is_home(self, address: str, homes: HomeRegions | None) -> bool:
        """Return whether an engine or store is in one of the home regions of a request."""
        zones = [self._zones.get(address)]
        zones += [store.zone for store in self._stores if store.address == address]
        return homes is None or any(self.regions.is_home(z, homes) for z in zones if z is not None)

    def holds(self, engine: str, parts: Iterable[tuple[PartKey, int]]) -> tuple[bool, ...]:
        """Return which parts an engine holds.

        :param engine: address of the engine
        :param parts: parts with their tokens
        """
        source = self._index.sources.get(engine)
        held = {} if source is None else source.parts
        return tuple([held.get(key, 0) >= tokens for key, tokens in parts])

    def stores_with(self, key: PartKey, tokens: int, now_ms: int) -> list[CacheStore]:
        """Return the stores that certainly have a part."""
        if self._stores_held_until_ms is not None and now_ms < self._stores_held_until_ms:
            return []
        return [s for s in self._stores if self._certainly_has(s.address, key, tokens, now_ms)]

    def _store_sources(
        self,
        candidate: _CandidateEngine,
        stores: list[CacheStore],
        tokens: int,
        holders: PartHolders,
    ) -> Iterable[_Source]:
        size_bytes = tokens * candidate.traits.token_bytes
        for store in stores:
            link_mbps = min(store.link_mbps, candidate.traits.link_mbps)
            transfer_ms = _transfer_ms(size_bytes, link_mbps, store.zone != candidate.zone)
            delay_ms, left_ms = holders.state(store.address)
            fetch_ms = store.first_byte_ms + transfer_ms + delay_ms
            yield _Source(store.address, fetch_ms, left_ms)

    def engines_with(self, key: PartKey, tokens: int, now_ms: int) -> list[str]:
        """Return the addresses of the engines that certainly have a part."""
        return [a for a in self._zones if self._certainly_has(a, key, tokens, now_ms)]

    def _engine_sources(
        self,
        candidate: _CandidateEngine,
        addresses: list[str],
        tokens: int,
        holders: PartHolders,
    ) -> Iterable[_Source]:
        size_bytes, link_mbps = tokens * candidate.traits.token_bytes, candidate.traits.link_mbps
        near_ms = _transfer_ms(size_bytes, link_mbps, False)
        far_ms = _transfer_ms(size_bytes, link_mbps, True)
        for address in addresses:
            if address != candidate.engine:
                delay_ms, left_ms = holders.state(address)
                transfer_ms = near_ms if self._zones[address] == candidate.zone else far_ms
                yield _Source(address, transfer_ms + delay_ms, left_ms)

    def source_state(self, address: str, now_ms: int) -> SourceState:
        """Return the state of an engine or store as a source of parts."""
        index = self._index.source(address)
        left_ms = index.certain_until_clock_ms - (now_ms + index.clock_offset_ms)
        return SourceState(self.delays.expected(address, now_ms), left_ms)

    def _certainly_has(self, address: str, key: PartKey, tokens: int, now_ms: int) -> bool:
        source = self._index.sources.get(address)
        has_all = source is not None and source.parts.get(key, 0) >= tokens
        return has_all and source.is_certain(now_ms)

    def plan_saves(self, request: CallerRequest, salt: str, now_ms: int) -> tuple[str, ...]:
        """Return the address to which to save each part, and record the saves as pending.

        :returns: one address per part, empty for the request's own part and for parts that are
            stored, pending or without a usable store; an empty tuple if there is nothing to save
        """
        if not self._stores:
            return ()
        targets = [""] * len(request.parts)
        for number, part in enumerate(request.parts[:-1]):
            key = PartKey(salt, part.name)
            if self._pending_saves.get(key, 0) > now_ms or self._is_stored(key):
                continue
            store = self._store_for(key, request.homes, now_ms)
            if store is None:
                continue
            targets[number] = store.address
            self._pending_saves[key] = now_ms + SAVE_TIMEOUT_MS
        if len(self._pending_saves) > MAX_PENDING_SAVES:
            self._pending_saves = {
                k: until for k, until in self._pending_saves.items() if until > now_ms
            }
        return tuple(targets) if any(targets) else ()

    def _is_stored(self, key: PartKey) -> bool:
        return any(self._index.tokens_at(store.address, key) for store in self._stores)

    def _store_for(self, key: PartKey, homes: HomeRegions | None, now_ms: int) -> CacheStore | None:
        """Return the store for a part, by rendezvous hashing weighted by capacity."""
        usable = (
            store
            for store in self._stores
            if self._index.source(store.address).is_certain(now_ms)
            and self.regions.is_home(store.zone, homes)
        )
        return max(usable, key=lambda store: _rendezvous_score(key, store), default=None)


def _is_fetch_worthwhile(prefill_ms: float, fetch_ms: float) -> bool:
    """Return whether fetching a part is better than prefilling it and all parts after it.

    :param prefill_ms: time to prefill the shared tokens of this part and of all parts after it
    :param fetch_ms: expected duration of the fetch, in milliseconds
    """
    return fetch_ms <= PREFILL_WEIGHT * prefill_ms + FETCH_ALLOWANCE_MS


def _needs_fallback_source(prefill_ms: float, fetch_ms: float) -> bool:
    """Return whether to name a fallback source for a part that the engine seems to have cached.

    The engine may have evicted the part, and would then prefill it and all parts after it. But
    transfers run one after another, and the wait delays short prompts more than recomputing them.

    :param prefill_ms: time to prefill the shared tokens of this part and of all parts after it
    :param fetch_ms: expected duration of the fetch, in milliseconds
    """
    return prefill_ms >= FALLBACK_SOURCE_FACTOR * fetch_ms


def _transfer_ms(size_bytes: int, link_mbps: float, crosses_zones: bool) -> float:
    if link_mbps <= 0:
        return math.inf
    duration_ms = size_bytes / (link_mbps * BYTES_PER_MS_PER_MBPS)
    return duration_ms * (CROSS_ZONE_FACTOR if crosses_zones else 1.0)


def _rendezvous_score(key: PartKey, store: CacheStore) -> float:
    digest = hashlib.blake2b(f"{key.part}|{store.address}".encode(), digest_size=8).digest()
    unit = (int.from_bytes(digest, "big") + 1) / (2**64 + 1)
    return -max(1, store.capacity_tokens) / math.log(unit)
