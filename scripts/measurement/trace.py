"""Simulated deployments, and seeded traces of multi-turn conversations."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from bergamothill.ids import BrandName, ServerId, StoreId, ZoneName
from bergamothill.version.config import Limits, PolicyWeights

__all__ = [
    "BLOCK_TOKENS",
    "DEPLOYMENTS",
    "Arrival",
    "Conversation",
    "SimulatedDeployment",
    "generate_trace",
]

BLOCK_TOKENS = 2_000
ZONES = (ZoneName("a"), ZoneName("b"), ZoneName("c"))
BRAND_SHARES = (0.28, 0.20, 0.14, 0.10, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02)
FLOODING_BRAND = 2
FLOOD_FACTOR = 10
BRAND_PREFIX = "brand-"
LIMIT_FACTOR = 3
BURST_S = 10
MIN_BURST = 30
RETURNING_SHARE = 0.75
QUICK_RETURN_SHARE = 0.15
QUICK_RETURN_DELAY_MS = 60_000
ANSWER_TOKENS = 300
FIRST_TURN_FACTOR = 3


@dataclass(frozen=True, slots=True)
class SimulatedDeployment:
    """Sizes of a deployment and its traffic; speeds are those of the simulated engines.

    :param engine_zones: zone of each engine
    :param entry_zones: zone of each entry instance
    :param store_zones: zone of each store instance
    :param zone_delay_ms: one-way delay between zones, in milliseconds
    :param shared_blocks: blocks of the manual that all conversations of a brand start with
    :param context_blocks: minimum and maximum blocks of a conversation after the shared ones
    :param turn_tokens: minimum and maximum tokens that a turn adds
    :param requests_per_s: arrival rate
    """

    name: str
    engine_zones: tuple[ZoneName, ...]
    entry_zones: tuple[ZoneName, ...]
    store_zones: tuple[ZoneName, ...]
    zone_delay_ms: float
    shared_blocks: int
    context_blocks: tuple[int, int]
    turn_tokens: tuple[int, int]
    requests_per_s: float
    prefill_tokens_per_s: int
    link_bytes_per_s: int
    bytes_per_token: int
    cache_tokens: int
    weights: PolicyWeights

    def limits_for(self, brand: BrandName) -> Limits:
        """Return rate limits of ``LIMIT_FACTOR`` times the brand's share of the traffic."""
        share = BRAND_SHARES[int(brand.removeprefix(BRAND_PREFIX))]
        rate = LIMIT_FACTOR * share * self.requests_per_s
        return Limits(requests_per_s=rate, burst=max(MIN_BURST, round(rate * BURST_S)))

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
    "kowhai-mend": SimulatedDeployment(
        name="kowhai-mend",
        engine_zones=(A, A, B, B, C),
        entry_zones=(A, A, B, B, C, C),
        store_zones=(A, B),
        zone_delay_ms=1.5,
        shared_blocks=4,
        context_blocks=(2, 8),
        turn_tokens=(300, 1_500),
        requests_per_s=3.0,
        prefill_tokens_per_s=16_000,
        link_bytes_per_s=1_000_000_000,
        bytes_per_token=40_000,
        cache_tokens=120_000,
        weights=PolicyWeights(ttft=1.0, recompute=100.0, link=0.3),
    ),
    "association": SimulatedDeployment(
        name="association",
        engine_zones=(A, A, A, B, B, B, C, C, C),
        entry_zones=(A, A, A, B, B, C, C),
        store_zones=(A, B),
        zone_delay_ms=0.5,
        shared_blocks=2,
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

    :param context_tokens: tokens of the context so far
    :param needs_preload: it began before the trace and its blocks are not in a store yet
    """

    brand: BrandName
    name: str
    shared_blocks: int
    context_tokens: int
    needs_preload: bool = True

    def block_keys(self, tokens: int) -> tuple[str, ...]:
        """Return the keys of the full blocks in a prefix of the context.

        :param tokens: length of the prefix
        """
        return tuple(
            f"{self.brand}/{'manual' if i < self.shared_blocks else self.name}/{i}"
            for i in range(tokens // BLOCK_TOKENS)
        )


@dataclass(frozen=True, slots=True)
class Arrival:
    """One prompt of the trace.

    :param at_ms: arrival time, in milliseconds from the start
    :param returning_tokens: tokens of context from earlier turns; 0 for a first turn
    :param prompt_tokens: tokens of the whole prompt
    :param entry: index of the entry instance that receives it
    """

    at_ms: int
    conversation: Conversation = field(compare=False)
    returning_tokens: int
    prompt_tokens: int
    entry: int


def generate_trace(
    deployment: SimulatedDeployment, seed: int, length_ms: int, flood_from_ms: int | None
) -> Iterator[Arrival]:
    """Yield the prompts of one trace in order of arrival.

    :param deployment: sizes and traffic
    :param seed: equal seeds give equal traces
    :param length_ms: length of the trace, in milliseconds
    :param flood_from_ms: time from which one brand sends ``FLOOD_FACTOR`` times its share; None
        for never
    """
    rng = random.Random(f"{deployment.name}/{seed}")
    recent: list[tuple[int, Conversation]] = []
    at_ms = 0.0
    conversation_number = 0
    while True:
        shares = list(BRAND_SHARES)
        if flood_from_ms is not None and at_ms >= flood_from_ms:
            shares[FLOODING_BRAND] *= FLOOD_FACTOR
        at_ms += rng.expovariate(deployment.requests_per_s * sum(shares)) * 1_000
        if at_ms >= length_ms:
            return
        conversation_number += 1
        eligible = [
            i for i, (last_ms, _) in enumerate(recent) if last_ms + QUICK_RETURN_DELAY_MS < at_ms
        ]
        if eligible and rng.random() < QUICK_RETURN_SHARE:
            conversation = recent.pop(rng.choice(eligible))[1]
        else:
            brand = rng.choices(range(len(shares)), shares)[0]
            conversation = _make_conversation(deployment, brand, conversation_number, rng)
        arrival = _make_arrival(deployment, conversation, int(at_ms), rng)
        conversation.context_tokens = arrival.prompt_tokens + ANSWER_TOKENS
        recent = [*recent, (int(at_ms), conversation)][-200:]
        yield arrival


def _make_conversation(
    deployment: SimulatedDeployment, brand: int, conversation_number: int, rng: random.Random
) -> Conversation:
    shared_tokens = deployment.shared_blocks * BLOCK_TOKENS
    needs_preload = rng.random() < RETURNING_SHARE
    min_blocks, max_blocks = deployment.context_blocks
    own_tokens = (
        rng.randint(min_blocks * BLOCK_TOKENS, max_blocks * BLOCK_TOKENS) if needs_preload else 0
    )
    return Conversation(
        brand=BrandName(f"{BRAND_PREFIX}{brand}"),
        name=f"c{conversation_number}",
        shared_blocks=deployment.shared_blocks,
        context_tokens=shared_tokens + own_tokens,
        needs_preload=needs_preload,
    )


def _make_arrival(
    deployment: SimulatedDeployment, conversation: Conversation, at_ms: int, rng: random.Random
) -> Arrival:
    is_first_turn = not conversation.needs_preload and conversation.context_tokens == (
        conversation.shared_blocks * BLOCK_TOKENS
    )
    turn_tokens = rng.randint(*deployment.turn_tokens) * (FIRST_TURN_FACTOR if is_first_turn else 1)
    return Arrival(
        at_ms=at_ms,
        conversation=conversation,
        returning_tokens=0 if is_first_turn else conversation.context_tokens,
        prompt_tokens=conversation.context_tokens + turn_tokens,
        entry=rng.randrange(len(deployment.entry_zones)),
    )
