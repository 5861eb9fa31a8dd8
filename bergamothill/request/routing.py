"""Routing of one prompt: choose engine and restore length by expected cost."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from bergamothill.ids import ServerId, StoreId, ZoneName
from bergamothill.version.config import PolicyWeights

__all__ = ["EngineView", "Prompt", "Route", "StoredBlock", "choose_route"]


@dataclass(frozen=True, slots=True)
class StoredBlock:
    """A kept block that a store instance holds.

    :param store: store instance that holds it
    :param zone: availability zone of the store
    :param size_bytes: bytes to move
    :param token_count: tokens that the block covers
    """

    store: StoreId
    zone: ZoneName
    size_bytes: int
    token_count: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What routing knows of a prompt.

    :param block_keys: keys of the full blocks, in prefix order
    :param block_tokens: tokens of each full block
    :param prompt_tokens: tokens of the whole prompt, the tail after the last full block included
    :param stored: for each leading block, where a store holds it, or None; may end early
    """

    block_keys: tuple[str, ...]
    block_tokens: tuple[int, ...]
    prompt_tokens: int
    stored: tuple[StoredBlock | None, ...]


@dataclass(frozen=True, slots=True)
class EngineView:
    """What routing believes of one engine that serves the pinned version.

    :param server: engine
    :param zone: availability zone of the engine
    :param queued_tokens: prompt tokens ahead: lagged report plus what this zone sent since
    :param running: runs in the batch
    :param prefill_tokens_per_s: prefill speed
    :param link_bytes_per_s: speed of the engine's link to the stores
    :param link_queued_bytes: bytes ahead on that link
    :param cached_blocks: leading blocks of this prompt that the engine is believed to keep
    """

    server: ServerId
    zone: ZoneName
    queued_tokens: int
    running: int
    prefill_tokens_per_s: int
    link_bytes_per_s: int
    link_queued_bytes: int
    cached_blocks: int


@dataclass(frozen=True, slots=True)
class Route:
    """Decision for one prompt.

    :param server: engine to run on
    :param restore_blocks: leading blocks to have on the engine before the run, cached ones included
    :param expected_ttft_ms: expected time to first token, in milliseconds
    :param cost: expected cost in weighted milliseconds
    :param compute_blocks: leading blocks to have computed by then, cached ones included: a prefill
        of the prefix up to here runs while the blocks from here to ``restore_blocks`` are imported
    :param queue_ms: longest wait in a queue of the engine, for prefill or for the link
    """

    server: ServerId
    restore_blocks: int
    expected_ttft_ms: int
    cost: float
    compute_blocks: int = 0
    queue_ms: int = 0


MILLIS_PER_SECOND = 1_000
BYTES_PER_MB = 1_000_000
TOKENS_PER_UNIT = 1_000
NEAR_BEST_MS = 5.0
OBJECTIVE_MARGIN = 0.9


@dataclass(frozen=True, slots=True)
class _Prices:
    weights: PolicyWeights
    objective_ms: int | None

    def cost(self, ttft_ms: float, computed_tokens: int, moved_bytes: int) -> float:
        weights = self.weights
        cost = (
            weights.ttft * ttft_ms
            + weights.recompute * computed_tokens / TOKENS_PER_UNIT
            + weights.link * moved_bytes / BYTES_PER_MB
        )
        if self.objective_ms is not None and ttft_ms > self.objective_ms * OBJECTIVE_MARGIN:
            cost += weights.late
        return cost


def choose_route(
    prompt: Prompt,
    engines: Sequence[EngineView],
    weights: PolicyWeights,
    rng: random.Random,
    *,
    overlap: bool = False,
    objective_ms: int | None = None,
) -> Route | None:
    """Choose the engine and restore length of least expected cost.

    Ties break at random among the near-best, because lagged load would send a herd to one engine.

    :param prompt: prompt to place
    :param engines: engines that serve the pinned version
    :param weights: what waiting, recomputing and moving cost
    :param rng: source of the random choice
    :param overlap: the caller can have a prefix computed while later blocks are imported
    :param objective_ms: time to first token that the brand is promised; None for none
    :returns: the route, or None when there is no engine
    """
    prices = _Prices(weights, objective_ms)
    routes = [_best_for(prompt, engine, prices, overlap) for engine in engines]
    if not routes:
        return None
    best = min(route.cost for route in routes)
    return rng.choice([route for route in routes if route.cost <= best + NEAR_BEST_MS])


def _best_for(prompt: Prompt, engine: EngineView, prices: _Prices, overlap: bool) -> Route:
    cached = engine.cached_blocks
    routes = [
        _estimate(prompt, engine, cached, length, prices)
        for length in range(cached, _stored_end(prompt, cached) + 1)
    ]
    if overlap:
        routes += [
            _estimate(prompt, engine, start, _stored_end(prompt, start), prices)
            for start in range(cached + 1, len(prompt.stored))
            if prompt.stored[start] is not None
        ]
    return min(routes, key=lambda route: route.cost)


def _stored_end(prompt: Prompt, start: int) -> int:
    """Return the end of the run of stored blocks that begins at a block."""
    end = start
    while end < len(prompt.stored) and prompt.stored[end] is not None:
        end += 1
    return end


def _estimate(prompt: Prompt, engine: EngineView, start: int, end: int, prices: _Prices) -> Route:
    """Estimate one split: blocks before ``start`` are computed while those up to ``end`` arrive."""
    moved_bytes = sum(block.size_bytes for block in prompt.stored[start:end])
    early_tokens = sum(prompt.block_tokens[engine.cached_blocks : start])
    rest_tokens = max(1, prompt.prompt_tokens - sum(prompt.block_tokens[:end]))
    token_ms = MILLIS_PER_SECOND / engine.prefill_tokens_per_s
    queue_ms = engine.queued_tokens * token_ms
    byte_ms = MILLIS_PER_SECOND / engine.link_bytes_per_s
    link_queue_ms = engine.link_queued_bytes * byte_ms if moved_bytes else 0.0
    restore_ms = link_queue_ms + moved_bytes * byte_ms
    ttft_ms = max(queue_ms + early_tokens * token_ms, restore_ms) + rest_tokens * token_ms
    cost = prices.cost(ttft_ms, early_tokens + rest_tokens, moved_bytes)
    waiting_ms = round(max(queue_ms, link_queue_ms))
    return Route(engine.server, end, round(ttft_ms), cost, start, waiting_ms)
