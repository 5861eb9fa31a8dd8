"""Routing policies to compare: baselines, earlier versions and the current one."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bergamothill.request.routing import EngineView, Prompt, choose_route
from bergamothill.version.config import PolicyWeights
from scripts.measurement.fakes import stable_hash

__all__ = ["POLICIES", "Plan", "Policy"]

MILLIS_PER_SECOND = 1_000
NEAR_BEST_MS = 5.0
TTFT_OBJECTIVE_MS = 440


@dataclass(frozen=True, slots=True)
class Plan:
    """Routing decision for one prompt.

    :param view: chosen engine
    :param compute_until: end of the blocks that are computed while later ones are imported
    :param restore_until: end of the blocks that are imported before the run
    :param expected_ttft_ms: expected time to first token
    :param queue_ms: queueing time included in it
    """

    view: EngineView
    compute_until: int
    restore_until: int
    expected_ttft_ms: int
    queue_ms: int


ChooseFunction = Callable[[Prompt, Sequence[EngineView], PolicyWeights, random.Random, str], Plan]


@dataclass(frozen=True, slots=True)
class Policy:
    """A routing policy and the mechanisms that it uses.

    :param choose: routes one prompt
    :param count_sent_work: load estimates include work sent since the last load report
    :param single_flight: concurrent transfers of one block to one engine share one transfer
    :param idle_export: exports wait until the link is idle
    :param relay_interval_ms: interval at which an entry instance relays its sent work to its peers
    :param relay_across_zones: the relay also reaches other zones
    :param relay_reused_blocks: the relay lists the cached blocks that were reused
    :param refresh_cached: prefill the cached blocks at once, so that they are not evicted during
        the import, or are recomputed in parallel with it
    :param admission: apply admission control
    """

    name: str
    choose: ChooseFunction
    count_sent_work: bool = True
    single_flight: bool = True
    idle_export: bool = True
    relay_interval_ms: int = 100
    relay_across_zones: bool = False
    relay_reused_blocks: bool = False
    refresh_cached: bool = False
    admission: bool = False


def _recompute_always(prompt, engines, weights, rng, name) -> Plan:
    view = _choose_minimum(engines, rng, lambda each: each.queued_tokens)
    return _make_plan(prompt, view, view.cached_blocks)


def _restore_always(prompt, engines, weights, rng, name) -> Plan:
    plans = [_make_plan(prompt, each, _importable_end(prompt, each)) for each in engines]
    best = min(plan.expected_ttft_ms for plan in plans)
    return rng.choice([p for p in plans if p.expected_ttft_ms <= best + NEAR_BEST_MS])


def _least_loaded(prompt, engines, weights, rng, name) -> Plan:
    view = _choose_minimum(engines, rng, lambda each: each.queued_tokens)
    return _make_plan(prompt, view, _importable_end(prompt, view))


def _sticky(prompt, engines, weights, rng, name) -> Plan:
    view = max(engines, key=lambda each: stable_hash(f"{each.server}/{name}"))
    return _make_plan(prompt, view, _importable_end(prompt, view))


def _version_1(prompt, engines, weights, rng, name) -> Plan:
    """Minimize the weighted cost over engines and restore lengths."""
    candidates = []
    for view in engines:
        for length in range(view.cached_blocks, _importable_end(prompt, view) + 1):
            plan = _make_plan(prompt, view, length)
            candidates.append((_cost(prompt, plan, weights), plan))
    best = {}
    for cost, plan in candidates:
        best[plan.view.server] = min(
            best.get(plan.view.server, (cost, plan)), (cost, plan), key=lambda pair: pair[0]
        )
    lowest = min(cost for cost, _ in best.values())
    return rng.choice([plan for cost, plan in best.values() if cost <= lowest + NEAR_BEST_MS])


def _overlapping(prompt, engines, weights, rng, name, objective_ms=None) -> Plan:
    route = choose_route(prompt, engines, weights, rng, overlap=True, objective_ms=objective_ms)
    view = next(each for each in engines if each.server == route.server)
    start = max(view.cached_blocks, route.compute_blocks)
    return Plan(view, start, route.restore_blocks, route.expected_ttft_ms, route.queue_ms)


def _overlapping_with_objective(prompt, engines, weights, rng, name) -> Plan:
    return _overlapping(prompt, engines, weights, rng, name, TTFT_OBJECTIVE_MS)


def _choose_minimum(engines, rng, key) -> EngineView:
    lowest = min(key(each) for each in engines)
    return rng.choice([each for each in engines if key(each) == lowest])


def _importable_end(prompt: Prompt, view: EngineView) -> int:
    """Return the end of the contiguous stored blocks that follow the cached ones."""
    end = view.cached_blocks
    while end < len(prompt.stored) and prompt.stored[end] is not None:
        end += 1
    return end


def _make_plan(prompt: Prompt, view: EngineView, restore_until: int) -> Plan:
    imported = prompt.stored[view.cached_blocks : restore_until]
    imported_bytes = sum(each.size_bytes for each in imported)
    link_bytes = view.link_queued_bytes + imported_bytes if imported_bytes else 0
    restore_ms = link_bytes * MILLIS_PER_SECOND / view.link_bytes_per_s
    queue_ms = view.queued_tokens * MILLIS_PER_SECOND / view.prefill_tokens_per_s
    computed_tokens = prompt.prompt_tokens - sum(prompt.block_tokens[:restore_until])
    prefill_ms = computed_tokens * MILLIS_PER_SECOND / view.prefill_tokens_per_s
    ttft_ms = max(queue_ms, restore_ms) + prefill_ms
    return Plan(view, view.cached_blocks, restore_until, round(ttft_ms), round(queue_ms))


def _cost(prompt: Prompt, plan: Plan, weights: PolicyWeights) -> float:
    imported = prompt.stored[plan.view.cached_blocks : plan.restore_until]
    computed_tokens = prompt.prompt_tokens - sum(prompt.block_tokens[: plan.restore_until])
    return (
        weights.ttft * plan.expected_ttft_ms
        + weights.recompute * computed_tokens / 1_000
        + weights.link * sum(each.size_bytes for each in imported) / 1_000_000
    )


POLICIES = {
    policy.name: policy
    for policy in (
        Policy("recompute_always", _recompute_always),
        Policy("restore_always", _restore_always),
        Policy("least_loaded", _least_loaded),
        Policy("sticky_by_hash", _sticky),
        Policy("v1", _version_1, count_sent_work=False, single_flight=False, idle_export=False),
        Policy("v2", _version_1),
        Policy("v3", _overlapping),
        Policy("v4", _overlapping, relay_interval_ms=10, relay_across_zones=True),
        Policy("v5", _overlapping_with_objective, relay_interval_ms=10, relay_across_zones=True),
        Policy(
            "v6",
            _overlapping_with_objective,
            relay_interval_ms=10,
            relay_across_zones=True,
            relay_reused_blocks=True,
        ),
        Policy(
            "v7",
            _overlapping_with_objective,
            relay_interval_ms=10,
            relay_across_zones=True,
            relay_reused_blocks=True,
            refresh_cached=True,
        ),
        Policy(
            "chosen",
            _overlapping_with_objective,
            relay_interval_ms=10,
            relay_across_zones=True,
            relay_reused_blocks=True,
            refresh_cached=True,
            admission=True,
        ),
    )
}
