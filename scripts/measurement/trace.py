"""Deployments and seeded traces of returning prompts."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from bergamothill.ids import BrandName, ServerId, StoreId, ZoneName
from bergamothill.version.config import Limits, PolicyWeights

__all__ = ["BLOCK_TOKENS", "DEPLOYMENTS", "Arrival", "Conversation", "Deployment", "make_trace"]

BLOCK_TOKENS = 2_000
ZONES = (ZoneName("a"), ZoneName("b"), ZoneName("c"))
BRAND_SHARES = (0.28, 0.20, 0.14, 0.10, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02)
FLOODING_BRAND = 2
FLOOD_FACTOR = 10
BRAND_PREFIX = "brand-"
LIMIT_FACTOR = 3
BURST_S = 10
LEAST_BURST = 30
RETURNING_SHARE = 0.75
SOON_SHARE = 0.15
SOON_DELAY_MS = 60_000
ANSWER_TOKENS = 300
FIRST_TURN_FACTOR = 3


@dataclass(frozen=True, slots=True)
class Deployment:
    """One desk's sizes; speeds are those of the fakes.

    :param engine_zones: zone of each engine
    :param entry_zones: zone of each entry instance
    :param store_zones: zone of each store instance
    :param zone_delay_ms: one-way delay between zones, in milliseconds
    :param manual_blocks: blocks that all conversations of a brand share
    :param context_blocks: least and most blocks of a conversation beyond the manual
    :param turn_tokens: least and most tokens that a turn adds
    :param requests_per_s: arrivals
    """

    name: str
    engine_zones: tuple[ZoneName, ...]
    entry_zones: tuple[ZoneName, ...]
    store_zones: tuple[ZoneName, ...]
    zone_delay_ms: float
    manual_blocks: int
    context_blocks: tuple[int, int]
    turn_tokens: tuple[int, int]
    requests_per_s: float
    prefill_tokens_per_s: int
    link_bytes_per_s: int
    bytes_per_token: int
    cache_tokens: int
    weights: PolicyWeights

    def limits_for(self, brand: BrandName) -> Limits:
        """Return limits of three times the brand's share."""
        share = BRAND_SHARES[int(brand.removeprefix(BRAND_PREFIX))]
        rate = LIMIT_FACTOR * share * self.requests_per_s
        return Limits(requests_per_s=rate, burst=max(LEAST_BURST, round(rate * BURST_S)))

    @property
    def block_bytes(self) -> int:
        """Size of one block, in bytes."""
        return BLOCK_TOKENS * self.bytes_per_token

    def engines(self) -> dict[ServerId, ZoneName]:
        """Return the engines with their zones."""
        return {ServerId(f"engine-{i}"): zone for i, zone in enumerate(self.engine_zones)}

    def stores(self) -> dict[StoreId, ZoneName]:
        """Return the store instances with their zones."""
        return {StoreId(f"store-{i}"): zone for i, zone in enumerate(self.store_zones)}


A, B, C = ZONES
DEPLOYMENTS = {
    "kowhai-mend": Deployment(
        name="kowhai-mend",
        engine_zones=(A, A, B, B, C),
        entry_zones=(A, A, B, B, C, C),
        store_zones=(A, B),
        zone_delay_ms=1.5,
        manual_blocks=4,
        context_blocks=(2, 8),
        turn_tokens=(300, 1_500),
        requests_per_s=3.0,
        prefill_tokens_per_s=16_000,
        link_bytes_per_s=1_000_000_000,
        bytes_per_token=40_000,
        cache_tokens=120_000,
        weights=PolicyWeights(ttft=1.0, recompute=100.0, link=0.3),
    ),
    "association": Deployment(
        name="association",
        engine_zones=(A, A, A, B, B, B, C, C, C),
        entry_zones=(A, A, A, B, B, C, C),
        store_zones=(A, B),
        zone_delay_ms=0.5,
        manual_blocks=2,
        context_blocks=(1, 5),
        turn_tokens=(100, 600),
        requests_per_s=14.0,
        prefill_tokens_per_s=16_000,
        link_bytes_per_s=1_250_000_000,
        bytes_per_token=40_000,
        cache_tokens=80_000,
        weights=PolicyWeights(ttft=1.0, recompute=42.0, link=0.05, late=100.0),
    ),
}


@dataclass(slots=True)
class Conversation:
    """One conversation; its context grows with each turn.

    :param context_tokens: tokens built so far
    :param earlier: it took place before the trace, so its full blocks are in a store
    """

    brand: BrandName
    name: str
    manual_blocks: int
    context_tokens: int
    earlier: bool = True

    def keys(self, tokens: int) -> tuple[str, ...]:
        """Return the keys of the full blocks of the first tokens.

        :param tokens: tokens counted from the start of the context
        """
        return tuple(
            f"{self.brand}/{'manual' if i < self.manual_blocks else self.name}/{i}"
            for i in range(tokens // BLOCK_TOKENS)
        )


@dataclass(frozen=True, slots=True)
class Arrival:
    """One prompt of the trace.

    :param at_ms: instant, in milliseconds from the start
    :param returning_tokens: tokens of context that had been built before; 0 for a first turn
    :param prompt_tokens: tokens of the whole prompt
    :param entry: index of the entry instance that gets it
    """

    at_ms: int
    conversation: Conversation = field(compare=False)
    returning_tokens: int
    prompt_tokens: int
    entry: int


def make_trace(
    deployment: Deployment, seed: int, length_ms: int, flood_from_ms: int | None
) -> Iterator[Arrival]:
    """Yield the prompts of one trace in order of arrival.

    :param deployment: sizes
    :param seed: seed; the same one gives the same trace
    :param length_ms: length of the trace, in milliseconds
    :param flood_from_ms: instant from which one brand sends 10 times its share; None for never
    """
    rng = random.Random(f"{deployment.name}/{seed}")
    recent: list[tuple[int, Conversation]] = []
    at_ms = 0.0
    number = 0
    while True:
        shares = list(BRAND_SHARES)
        if flood_from_ms is not None and at_ms >= flood_from_ms:
            shares[FLOODING_BRAND] *= FLOOD_FACTOR
        at_ms += rng.expovariate(deployment.requests_per_s * sum(shares)) * 1_000
        if at_ms >= length_ms:
            return
        number += 1
        ready = [i for i, (since, _) in enumerate(recent) if since + SOON_DELAY_MS < at_ms]
        if ready and rng.random() < SOON_SHARE:
            conversation = recent.pop(rng.choice(ready))[1]
        else:
            brand = rng.choices(range(len(shares)), shares)[0]
            conversation = _conversation(deployment, brand, number, rng)
        arrival = _arrival(deployment, conversation, int(at_ms), rng)
        conversation.context_tokens = arrival.prompt_tokens + ANSWER_TOKENS
        recent = [*recent, (int(at_ms), conversation)][-200:]
        yield arrival


def _conversation(
    deployment: Deployment, brand: int, number: int, rng: random.Random
) -> Conversation:
    manual_tokens = deployment.manual_blocks * BLOCK_TOKENS
    earlier = rng.random() < RETURNING_SHARE
    least, most = deployment.context_blocks
    own_tokens = rng.randint(least * BLOCK_TOKENS, most * BLOCK_TOKENS) if earlier else 0
    return Conversation(
        brand=BrandName(f"{BRAND_PREFIX}{brand}"),
        name=f"c{number}",
        manual_blocks=deployment.manual_blocks,
        context_tokens=manual_tokens + own_tokens,
        earlier=earlier,
    )


def _arrival(
    deployment: Deployment, conversation: Conversation, at_ms: int, rng: random.Random
) -> Arrival:
    first = not conversation.earlier and conversation.context_tokens == (
        conversation.manual_blocks * BLOCK_TOKENS
    )
    turn_tokens = rng.randint(*deployment.turn_tokens) * (FIRST_TURN_FACTOR if first else 1)
    return Arrival(
        at_ms=at_ms,
        conversation=conversation,
        returning_tokens=0 if first else conversation.context_tokens,
        prompt_tokens=conversation.context_tokens + turn_tokens,
        entry=rng.randrange(len(deployment.entry_zones)),
    )
