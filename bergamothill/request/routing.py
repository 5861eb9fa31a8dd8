"""Routing of a prompt: chooses the engine and the number of blocks to restore by cost."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import accumulate

from bergamothill.ids import ServerId, StoreId, ZoneName
from bergamothill.version.config import PolicyWeights

__all__ = ["EngineView", "Prompt", "Route", "StoredBlock", "choose_route"]


@dataclass(frozen=True, slots=True)
class StoredBlock:
    """Block that a store instance has.

    :param store: store instance
    :param zone: availability zone of the store
    :param size_bytes: bytes to transfer
    :param token_count: tokens that the block covers
    """

    store: StoreId
    zone: ZoneName
    size_bytes: int
    token_count: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Properties of a prompt that routing uses.

    :param block_keys: keys of the full blocks, in prefix order
    :param block_tokens: tokens of each full block
    :param prompt_tokens: tokens of the whole prompt, the tail after the last full block included
    :param stored: for each leading block, its copy at a store, or None; may be shorter than the
        prompt
    """

    block_keys: tuple[str, ...]
    block_tokens: tuple[int, ...]
    prompt_tokens: int
    stored: tuple[StoredBlock | None, ...]


@dataclass(frozen=True, slots=True)
class EngineView:
    """Estimated state of an engine that serves the pinned version.

    :param server: engine
    :param zone: availability zone of the engine
    :param queued_tokens: queued prompt tokens: last report plus what this zone has sent since
    :param running: runs in the batch
    :param prefill_tokens_per_s: prefill speed
    :param link_bytes_per_s: speed of the engine's link to the stores
    :param link_queued_bytes: bytes queued on that link
    :param cached_blocks: leading blocks of this prompt that the engine is believed to have cached
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
    """Routing decision for a prompt.

    :param server: engine to run on
    :param restore_blocks: leading blocks the engine needs before the run, including cached ones
    :param expected_ttft_ms: expected time to first token, in milliseconds
    :param cost: expected cost in weighted milliseconds
    :param compute_blocks: leading blocks to compute before the run, including cached ones; they are
        computed while the blocks from here to ``restore_blocks`` are imported
    :param queue_ms: longer of the waits for prefill and for the link, in milliseconds
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
class _CostModel:
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
    """Choose the engine and the number of blocks to restore with the lowest expected cost.

    The choice among near-best engines is random. As load reports lag, always taking the best one
    would send many concurrent requests to the same engine.

    :param prompt: prompt to place
    :param engines: engines that serve the pinned version
    :param weights: cost weights of waiting, recomputing and transferring
    :param rng: random number generator
    :param overlap: whether a prefix can be computed while later blocks are imported
    :param objective_ms: time-to-first-token objective of the brand, in milliseconds; None for none
    :returns: the route, or None if there is no engine
    """
    if not engines:
        return None
    chain = _Chain.of(prompt)
    cost_model = _CostModel(weights, objective_ms)
    best = float("inf")
    splits: dict[int, _Split] = {}
    splits_by_key: dict[tuple[int, ...], _Split] = {}
    bounds = sorted(
        (_cost_lower_bound(chain, engine, cost_model), i) for i, engine in enumerate(engines)
    )
    for bound, index in bounds:
        if bound > best + NEAR_BEST_MS:
            break
        key = _estimate_key(engines[index])
        if key not in splits_by_key:
            splits_by_key[key] = _best_split(chain, engines[index], cost_model, overlap)
        splits[index] = splits_by_key[key]
        best = min(best, splits[index].cost)
    near_best = sorted(i for i, split in splits.items() if split.cost <= best + NEAR_BEST_MS)
    chosen = rng.choice(near_best)
    return splits[chosen].route(engines[chosen].server)


@dataclass(frozen=True, slots=True)
class _Chain:
    """Prefix sums over the blocks of a prompt, so that a split is estimated in constant time.

    :param tokens: tokens of the first n blocks
    :param stored_bytes: bytes of the stored blocks among the first n
    :param stored_ends: for each block, the end of the run of stored blocks that begins there
    """

    prompt_tokens: int
    tokens: tuple[int, ...]
    stored_bytes: tuple[int, ...]
    stored_ends: tuple[int, ...]

    @classmethod
    def of(cls, prompt: Prompt) -> _Chain:
        sizes = [block.size_bytes if block else 0 for block in prompt.stored]
        ends = [len(prompt.stored)]
        for position in reversed(range(len(prompt.stored))):
            ends.append(ends[-1] if prompt.stored[position] else position)
        return cls(
            prompt.prompt_tokens,
            tuple(accumulate(prompt.block_tokens, initial=0)),
            tuple(accumulate(sizes, initial=0)),
            tuple(reversed(ends)),
        )

    def stored_end(self, start: int) -> int:
        return self.stored_ends[start] if start < len(self.stored_ends) else start

    def splits(self, cached: int, overlap: bool) -> Iterator[tuple[int, int]]:
        """Yield pairs ``(start, end)``: compute up to ``start``, import from there to ``end``."""
        for end in range(cached, self.stored_end(cached) + 1):
            yield cached, end
        if not overlap:
            return
        for start in range(cached + 1, len(self.stored_ends) - 1):
            if self.stored_ends[start] > start:
                yield start, self.stored_ends[start]


@dataclass(frozen=True, slots=True)
class _Split:
    start: int
    end: int
    ttft_ms: float
    waiting_ms: float
    cost: float

    def route(self, server: ServerId) -> Route:
        return Route(
            server,
            self.end,
            round(self.ttft_ms),
            self.cost,
            self.start,
            round(self.waiting_ms),
        )


def _estimate_key(engine: EngineView) -> tuple[int, ...]:
    """Return all values that an estimate depends on; idle engines often share them."""
    return (
        engine.queued_tokens,
        engine.link_queued_bytes,
        engine.cached_blocks,
        engine.prefill_tokens_per_s,
        engine.link_bytes_per_s,
    )


def _cost_lower_bound(chain: _Chain, engine: EngineView, cost_model: _CostModel) -> float:
    """Return a lower bound of the cost of all splits on an engine."""
    tail_tokens = max(1, chain.prompt_tokens - chain.tokens[-1])
    ahead_tokens = engine.queued_tokens + tail_tokens
    ttft_ms = ahead_tokens * MILLIS_PER_SECOND / engine.prefill_tokens_per_s
    return cost_model.cost(ttft_ms, tail_tokens, 0)


def _best_split(chain: _Chain, engine: EngineView, cost_model: _CostModel, overlap: bool) -> _Split:
    splits = (
        _estimate(chain, engine, start, end, cost_model)
        for start, end in chain.splits(engine.cached_blocks, overlap)
    )
    return min(splits, key=lambda split: split.cost)


def _estimate(
    chain: _Chain, engine: EngineView, start: int, end: int, cost_model: _CostModel
) -> _Split:
    """Estimate computing the blocks before ``start`` while importing those up to ``end``."""
    moved_bytes = 0
    if end > start:
        moved_bytes = chain.stored_bytes[end] - chain.stored_bytes[start]
    early_tokens = chain.tokens[start] - chain.tokens[engine.cached_blocks]
    rest_tokens = max(1, chain.prompt_tokens - chain.tokens[end])
    token_ms = MILLIS_PER_SECOND / engine.prefill_tokens_per_s
    byte_ms = MILLIS_PER_SECOND / engine.link_bytes_per_s
    queue_ms = engine.queued_tokens * token_ms
    link_queue_ms = engine.link_queued_bytes * byte_ms if moved_bytes else 0.0
    restore_ms = link_queue_ms + moved_bytes * byte_ms
    ttft_ms = max(queue_ms + early_tokens * token_ms, restore_ms) + rest_tokens * token_ms
    cost = cost_model.cost(ttft_ms, early_tokens + rest_tokens, moved_bytes)
    return _Split(start, end, ttft_ms, max(queue_ms, link_queue_ms), cost)
