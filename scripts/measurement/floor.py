"""Lower bounds for one prompt: best engine, idle queues and link, current caches and stores."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bergamothill.request.routing import StoredBlock
from scripts.measurement.fakes import FakeEngine
from scripts.measurement.trace import BLOCK_TOKENS, Arrival, SimulatedDeployment

__all__ = ["Floor", "compute_floor"]

MILLIS_PER_SECOND = 1_000
CALLER_DELAY_MS = 1


@dataclass(frozen=True, slots=True)
class Floor:
    """Lower bounds that no policy can beat for one prompt.

    :param ttft_ms: minimum time to first token
    :param recomputed_tokens: returning tokens that are in no reachable engine or store
    :param needed_bytes: bytes of returning blocks that are only in stores
    """

    ttft_ms: float
    recomputed_tokens: int
    needed_bytes: int


def compute_floor(
    arrival: Arrival,
    keys: tuple[str, ...],
    stored: Sequence[StoredBlock | None],
    engines: Sequence[FakeEngine],
    deployment: SimulatedDeployment,
) -> Floor:
    """Compute the lower bounds for one prompt.

    :param keys: full blocks of the returning context
    :param stored: for each full block of the prompt, its copy in a reachable store, if any
    :param engines: engines that can be reached
    """
    available_engines = [engine for engine in engines if not engine.leaving]
    cached = [any(key in engine.cache for engine in available_engines) for key in keys]
    available = sum(
        is_cached or stored_block is not None
        for is_cached, stored_block in zip(cached, stored, strict=False)
    )
    needed = sum(
        not is_cached and stored_block is not None
        for is_cached, stored_block in zip(cached, stored, strict=False)
    )
    ttft_ms = min(
        (_min_ttft_ms(arrival, keys, stored, engine, deployment) for engine in available_engines),
        default=float("inf"),
    )
    return Floor(
        ttft_ms=ttft_ms + CALLER_DELAY_MS,
        recomputed_tokens=arrival.returning_tokens - available * BLOCK_TOKENS,
        needed_bytes=needed * deployment.block_bytes,
    )


def _min_ttft_ms(
    arrival: Arrival,
    keys: tuple[str, ...],
    stored: Sequence[StoredBlock | None],
    engine: FakeEngine,
    deployment: SimulatedDeployment,
) -> float:
    """Minimize over the split point: compute the blocks before it while those after it arrive."""
    token_ms = MILLIS_PER_SECOND / deployment.prefill_tokens_per_s
    block_ms = deployment.block_bytes * MILLIS_PER_SECOND / engine.link_bytes_per_s
    cached = engine.count_leading_blocks(keys)
    best_ms = float("inf")
    for restore_start in range(cached, len(keys) + 1):
        restore_end = restore_start
        while restore_end < len(keys) and stored[restore_end] is not None:
            restore_end += 1
        computed_ms = (restore_start - cached) * BLOCK_TOKENS * token_ms
        remaining_tokens = arrival.prompt_tokens - restore_end * BLOCK_TOKENS
        ttft_ms = (
            max(computed_ms, (restore_end - restore_start) * block_ms) + remaining_tokens * token_ms
        )
        best_ms = min(best_ms, ttft_ms)
    return best_ms
