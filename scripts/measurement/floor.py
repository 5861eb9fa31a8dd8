"""Floor of one prompt: best engine, empty queues, whole link, caches and stores as they are."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bergamothill.request.routing import StoredBlock
from scripts.measurement.fakes import FakeEngine
from scripts.measurement.trace import BLOCK_TOKENS, Arrival, Deployment

__all__ = ["Floor", "floor_of"]

MILLIS_PER_SECOND = 1_000
CALLER_DELAY_MS = 1


@dataclass(frozen=True, slots=True)
class Floor:
    """Least that any policy could reach for one prompt.

    :param ttft_ms: least time to first token
    :param recomputed_tokens: returning tokens that no engine and no store can give
    :param needed_bytes: bytes of returning blocks that only stores have
    """

    ttft_ms: float
    recomputed_tokens: int
    needed_bytes: int


def floor_of(
    arrival: Arrival,
    keys: tuple[str, ...],
    stored: Sequence[StoredBlock | None],
    engines: Sequence[FakeEngine],
    deployment: Deployment,
) -> Floor:
    """Return the floor of one prompt.

    :param keys: full blocks of the returning context
    :param stored: for each full block of the prompt, the store that can be reached
    :param engines: engines that can be reached
    """
    open_engines = [engine for engine in engines if not engine.leaving]
    cached = [any(key in engine.cache for engine in open_engines) for key in keys]
    available = sum(c or s is not None for c, s in zip(cached, stored, strict=False))
    needed = sum(not c and s is not None for c, s in zip(cached, stored, strict=False))
    ttft_ms = min(
        (_engine_floor(arrival, keys, stored, engine, deployment) for engine in open_engines),
        default=float("inf"),
    )
    return Floor(
        ttft_ms=ttft_ms + CALLER_DELAY_MS,
        recomputed_tokens=arrival.returning_tokens - available * BLOCK_TOKENS,
        needed_bytes=needed * deployment.block_bytes,
    )


def _engine_floor(
    arrival: Arrival,
    keys: tuple[str, ...],
    stored: Sequence[StoredBlock | None],
    engine: FakeEngine,
    deployment: Deployment,
) -> float:
    """Try each split: compute up to one block while the blocks behind it arrive."""
    token_ms = MILLIS_PER_SECOND / deployment.prefill_tokens_per_s
    block_ms = deployment.block_bytes * MILLIS_PER_SECOND / engine.link_bytes_per_s
    cached = engine.leading(keys)
    best = float("inf")
    for first in range(cached, len(keys) + 1):
        end = first
        while end < len(keys) and stored[end] is not None:
            end += 1
        computed_ms = (first - cached) * BLOCK_TOKENS * token_ms
        rest_tokens = arrival.prompt_tokens - end * BLOCK_TOKENS
        ttft_ms = max(computed_ms, (end - first) * block_ms) + rest_tokens * token_ms
        best = min(best, ttft_ms)
    return best
