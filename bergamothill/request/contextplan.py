"""Plans which kept context of a prompt an engine holds, fetches, reads and saves; no I/O."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bergamothill.ids import ZoneName
from bergamothill.request.callerrequest import CallerRequest
from bergamothill.request.fetchdelay import FetchDelays
from bergamothill.version.keptindex import KeptIndex, PartKey
from bergamothill.version.routetable import EngineTraits, KeptStore

__all__ = ["FETCH_LIFE_MS", "READ_TOKENS_PER_MS", "ContextPlan", "ContextPlanner"]

OTHER_ZONE_FACTOR = 2.0
"""Transfers between zones take twice as long."""

READ_TOKENS_PER_MS = 100.0
"""Reading speed of an engine, for estimates that are only compared with each other."""

INSURANCE_FACTOR = 1.0
"""Reading has to take this many times as long as fetching."""

READING_WEIGHT = 3.0
"""Reading takes an engine's time, for which others wait; a fetch may take so many times as long."""

LONGER_FETCH_MS = 100
"""And this much more: a third of the tightest objective, so that short parts are fetched, too."""

FETCH_LIFE_MS = 1_500
"""A fetch that takes longer than this is slower than reading the prompt again."""

SAVE_PAUSE_MS = 3_000
"""Time in which a save that was ordered is expected to show in the store's events."""

BYTES_PER_MS_PER_MBPS = 125

MAX_SAVES_NOTED = 5_000
"""Saves under way that are noted before those that are over are dropped."""


@dataclass(frozen=True, slots=True)
class ContextPlan:
    """Where the parts of a prompt come from at one engine.

    :param held_tokens: held by the engine
    :param fetched_tokens: fetched from elsewhere
    :param read_tokens: read by the engine, the request's own part included
    :param fetch_ms: expected duration of the fetch
    :param fetch_from: address for each part; empty text for none
    :param fetch_until_ms: on the servers' clock; 0 for no limit
    """

    held_tokens: int
    fetched_tokens: int
    read_tokens: int
    fetch_ms: float
    fetch_from: tuple[str, ...]
    fetch_until_ms: int


@dataclass(frozen=True, slots=True)
class _Place:
    """An engine that a prompt may run on.

    :param engine: its address
    :param zone: its zone
    :param traits: traits of its service
    """

    engine: str
    zone: ZoneName
    traits: EngineTraits


@dataclass(frozen=True, slots=True)
class _Source:
    """Where a part may be fetched from.

    :param address: engine or store
    :param fetch_ms: expected duration of the fetch
    """

    address: str
    fetch_ms: float


class ContextPlanner:
    """Knows what is kept where.

    :param index: holdings of engines and stores
    """

    def __init__(self, index: KeptIndex) -> None:
        self._index = index
        self.delays = FetchDelays()
        self._stores: tuple[KeptStore, ...] = ()
        self._zones: dict[str, ZoneName] = {}
        self._saving: dict[PartKey, int] = {}

    def set_stores(self, stores: tuple[KeptStore, ...]) -> None:
        """Set the stores of the configuration in force."""
        self._stores = stores
        self._keep_delays()

    def set_engines(self, zones: Mapping[str, ZoneName]) -> None:
        """Set the engines that context may be fetched from.

        :param zones: zone of each, by address
        """
        self._zones = dict(zones)
        self._keep_delays()

    def _keep_delays(self) -> None:
        self.delays.keep([*self._zones, *(store.address for store in self._stores)])

    def plan(
        self,
        engine: str,
        zone: ZoneName,
        traits: EngineTraits,
        request: CallerRequest,
        salt: str,
        now_ms: int,
    ) -> ContextPlan:
        """Return where the parts of a prompt come from.

        Context is of use only without a gap from the start of the prompt: behind the first part
        that has to be read nothing is fetched.

        :param engine: address of the engine
        :param zone: its zone
        :param traits: traits of its service
        """
        place = _Place(engine, zone, traits)
        held = fetched = 0
        fetch_ms = 0.0
        sources = [""] * len(request.parts)
        until_ms = 0
        behind = sum(part.tokens for part in request.parts[:-1])
        for number, part in enumerate(request.parts[:-1]):
            key = PartKey(salt, part.name)
            is_held = self._index.tokens_at(engine, key) >= part.tokens
            source = self._quickest_source(
                place, key, part.tokens, now_ms, with_engines=not is_held
            )
            if source is not None and not _is_worthwhile(behind, source.fetch_ms):
                source = None
            if source is not None and (not is_held or _is_insured(behind, source.fetch_ms)):
                sources[number] = source.address
                offset_ms = self._index.source(source.address).clock_offset_ms
                until_ms = now_ms + offset_ms + FETCH_LIFE_MS
            if is_held:
                held += part.tokens
            elif source is not None:
                fetched += part.tokens
                fetch_ms += source.fetch_ms
            else:
                break
            behind -= part.tokens
        return ContextPlan(
            held_tokens=held,
            fetched_tokens=fetched,
            read_tokens=max(0, request.prompt_tokens - held - fetched),
            fetch_ms=fetch_ms,
            fetch_from=tuple(sources) if any(sources) else (),
            fetch_until_ms=until_ms,
        )

    def _quickest_source(
        self, place: _Place, key: PartKey, tokens: int, now_ms: int, *, with_engines: bool
    ) -> _Source | None:
        """Return where a part comes from soonest among those that surely have it, if any."""
        sources = list(self._store_sources(place, key, tokens, now_ms))
        if with_engines:
            sources += self._engine_sources(place, key, tokens, now_ms)
        return min(sources, key=lambda source: source.fetch_ms, default=None)

    def _store_sources(
        self, place: _Place, key: PartKey, tokens: int, now_ms: int
    ) -> Iterable[_Source]:
        size_bytes = tokens * place.traits.token_bytes
        for store in self._stores:
            if self._surely_has(store.address, key, tokens, now_ms):
                link_mbps = min(store.link_mbps, place.traits.link_mbps)
                transfer_ms = _transfer_ms(size_bytes, link_mbps, store.zone != place.zone)
                yield self._source(store.address, store.first_byte_ms + transfer_ms, now_ms)

    def _engine_sources(
        self, place: _Place, key: PartKey, tokens: int, now_ms: int
    ) -> Iterable[_Source]:
        size_bytes = tokens * place.traits.token_bytes
        for address, zone in self._zones.items():
            if address != place.engine and self._surely_has(address, key, tokens, now_ms):
                transfer_ms = _transfer_ms(size_bytes, place.traits.link_mbps, zone != place.zone)
                yield self._source(address, transfer_ms, now_ms)

    def _source(self, address: str, fetch_ms: float, now_ms: int) -> _Source:
        return _Source(address, fetch_ms + self.delays.expected(address, now_ms))

    def _surely_has(self, address: str, key: PartKey, tokens: int, now_ms: int) -> bool:
        has_all = self._index.tokens_at(address, key) >= tokens
        return has_all and self._index.source(address).is_certain(now_ms)

    def saves(self, request: CallerRequest, salt: str, now_ms: int) -> tuple[str, ...]:
        """Return the address to which each part is saved, and note that it is being saved.

        :returns: empty text for parts that are saved already, and for the request's own
        """
        if not self._stores:
            return ()
        targets = [""] * len(request.parts)
        for number, part in enumerate(request.parts[:-1]):
            key = PartKey(salt, part.name)
            if self._saving.get(key, 0) > now_ms or self._is_stored(key):
                continue
            home = self._home(key, now_ms)
            if home is None:
                continue
            targets[number] = home.address
            self._saving[key] = now_ms + SAVE_PAUSE_MS
        if len(self._saving) > MAX_SAVES_NOTED:
            self._saving = {k: until for k, until in self._saving.items() if until > now_ms}
        return tuple(targets) if any(targets) else ()

    def _is_stored(self, key: PartKey) -> bool:
        return any(self._index.tokens_at(store.address, key) for store in self._stores)

    def _home(self, key: PartKey, now_ms: int) -> KeptStore | None:
        """Return the store that keeps a part: rendezvous hashing weighted by capacity."""
        sound = (s for s in self._stores if self._index.source(s.address).is_certain(now_ms))
        return max(sound, key=lambda store: _home_score(key, store), default=None)


def _is_worthwhile(tokens: int, fetch_ms: float) -> bool:
    """Return whether fetching a part is better than reading it and all behind it.

    :param tokens: shared tokens from this part on
    :param fetch_ms: expected duration of a fetch of the part
    """
    return fetch_ms <= READING_WEIGHT * tokens / READ_TOKENS_PER_MS + LONGER_FETCH_MS


def _is_insured(tokens: int, fetch_ms: float) -> bool:
    """Return whether a source is named for a part although the engine seems to hold it.

    The engine may have dropped the part, and would read it and all behind it again. But transfers
    wait for each other, which delays short prompts more than reading them again.

    :param tokens: shared tokens from this part on
    :param fetch_ms: expected duration of a fetch of the part
    """
    return tokens / READ_TOKENS_PER_MS >= INSURANCE_FACTOR * fetch_ms


def _transfer_ms(size_bytes: int, link_mbps: float, crosses_zones: bool) -> float:
    if link_mbps <= 0:
        return math.inf
    duration_ms = size_bytes / (link_mbps * BYTES_PER_MS_PER_MBPS)
    return duration_ms * (OTHER_ZONE_FACTOR if crosses_zones else 1.0)


def _home_score(key: PartKey, store: KeptStore) -> float:
    digest = hashlib.blake2b(f"{key.part}|{store.address}".encode(), digest_size=8).digest()
    unit = (int.from_bytes(digest, "big") + 1) / (2**64 + 1)
    return -max(1, store.capacity_tokens) / math.log(unit)
