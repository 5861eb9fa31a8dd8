"""Policies side by side: baselines, earlier versions, and the one in force."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bergamothill.request.routing import EngineView, Prompt, choose_route
from bergamothill.version.config import PolicyWeights
from scripts.measurement.fakes import hash_of

__all__ = ["POLICIES", "Plan", "Policy"]

MILLIS_PER_SECOND = 1_000
NEAR_BEST_MS = 5.0
OBJECTIVE_MS = 440


@dataclass(frozen=True, slots=True)
class Plan:
    """What to do with a prompt.

    :param view: chosen engine
    :param compute_until: blocks from the cached ones to here are computed while others arrive
    :param restore_until: blocks from there to here are imported before the run
    :param expected_ttft_ms: expected time to first token
    :param queue_ms: part of it that is spent in queues
    """

    view: EngineView
    compute_until: int
    restore_until: int
    expected_ttft_ms: int
    queue_ms: int


Choose = Callable[[Prompt, Sequence[EngineView], PolicyWeights, random.Random, str], Plan]


@dataclass(frozen=True, slots=True)
class Policy:
    """One policy.

    :param choose: decision for one prompt
    :param own_sends: estimates add what was sent since the report
    :param single_flight: transfers of one block to one engine are joined
    :param idle_export: exports wait for idle link time
    :param relay_ms: period at which an entry instance relays what it sent
    :param relay_everywhere: other zones get it too
    :param relay_reused: the relay names the cached blocks that were used again
    :param renew_cached: a prefill of the cached blocks runs at once, so that they are still there
        after the import, or are computed meanwhile
    :param admission: requests pass admission
    """

    name: str
    choose: Choose
    own_sends: bool = True
    single_flight: bool = True
    idle_export: bool = True
    relay_ms: int = 100
    relay_everywhere: bool = False
    relay_reused: bool = False
    renew_cached: bool = False
    admission: bool = False


def _recompute_always(prompt, engines, weights, rng, name) -> Plan:
    view = _least(engines, rng, lambda each: each.queued_tokens)
    return _plan(prompt, view, view.cached_blocks)


def _restore_always(prompt, engines, weights, rng, name) -> Plan:
    plans = [_plan(prompt, each, _stored(prompt, each)) for each in engines]
    best = min(plan.expected_ttft_ms for plan in plans)
    return rng.choice([p for p in plans if p.expected_ttft_ms <= best + NEAR_BEST_MS])


def _least_loaded(prompt, engines, weights, rng, name) -> Plan:
    view = _least(engines, rng, lambda each: each.queued_tokens)
    return _plan(prompt, view, _stored(prompt, view))


def _sticky(prompt, engines, weights, rng, name) -> Plan:
    view = max(engines, key=lambda each: hash_of(f"{each.server}/{name}"))
    return _plan(prompt, view, _stored(prompt, view))


def _version_1(prompt, engines, weights, rng, name) -> Plan:
    """Least weighted cost over engine and restore length."""
    costed = []
    for view in engines:
        for length in range(view.cached_blocks, _stored(prompt, view) + 1):
            plan = _plan(prompt, view, length)
            costed.append((_cost(prompt, plan, weights), plan))
    best = {}
    for cost, plan in costed:
        best[plan.view.server] = min(
            best.get(plan.view.server, (cost, plan)), (cost, plan), key=lambda pair: pair[0]
        )
    least = min(cost for cost, _ in best.values())
    return rng.choice([plan for cost, plan in best.values() if cost <= least + NEAR_BEST_MS])


def _overlapped(prompt, engines, weights, rng, name, objective_ms=None) -> Plan:
    route = choose_route(prompt, engines, weights, rng, overlap=True, objective_ms=objective_ms)
    view = next(each for each in engines if each.server == route.server)
    start = max(view.cached_blocks, route.compute_blocks)
    return Plan(view, start, route.restore_blocks, route.expected_ttft_ms, route.queue_ms)


def _objective(prompt, engines, weights, rng, name) -> Plan:
    return _overlapped(prompt, engines, weights, rng, name, OBJECTIVE_MS)


def _least(engines, rng, key) -> EngineView:
    least = min(key(each) for each in engines)
    return rng.choice([each for each in engines if key(each) == least])


def _stored(prompt: Prompt, view: EngineView) -> int:
    """Return the end of the blocks that can be imported behind the cached ones."""
    end = view.cached_blocks
    while end < len(prompt.stored) and prompt.stored[end] is not None:
        end += 1
    return end


def _plan(prompt: Prompt, view: EngineView, restore_until: int) -> Plan:
    moved = prompt.stored[view.cached_blocks : restore_until]
    moved_bytes = sum(each.size_bytes for each in moved)
    link_bytes = view.link_queued_bytes + moved_bytes if moved_bytes else 0
    restore_ms = link_bytes * MILLIS_PER_SECOND / view.link_bytes_per_s
    queue_ms = view.queued_tokens * MILLIS_PER_SECOND / view.prefill_tokens_per_s
    rest = prompt.prompt_tokens - sum(prompt.block_tokens[:restore_until])
    prefill_ms = rest * MILLIS_PER_SECOND / view.prefill_tokens_per_s
    ttft_ms = max(queue_ms, restore_ms) + prefill_ms
    return Plan(view, view.cached_blocks, restore_until, round(ttft_ms), round(queue_ms))


def _cost(prompt: Prompt, plan: Plan, weights: PolicyWeights) -> float:
    moved = prompt.stored[plan.view.cached_blocks : plan.restore_until]
    rest = prompt.prompt_tokens - sum(prompt.block_tokens[: plan.restore_until])
    return (
        weights.ttft * plan.expected_ttft_ms
        + weights.recompute * rest / 1_000
        + weights.link * sum(each.size_bytes for each in moved) / 1_000_000
    )


POLICIES = {
    policy.name: policy
    for policy in (
        Policy("recompute_always", _recompute_always),
        Policy("restore_always", _restore_always),
        Policy("least_loaded", _least_loaded),
        Policy("sticky_by_hash", _sticky),
        Policy("v1", _version_1, own_sends=False, single_flight=False, idle_export=False),
        Policy("v2", _version_1),
        Policy("v3", _overlapped),
        Policy("v4", _overlapped, relay_ms=10, relay_everywhere=True),
        Policy("v5", _objective, relay_ms=10, relay_everywhere=True),
        Policy("v6", _objective, relay_ms=10, relay_everywhere=True, relay_reused=True),
        Policy(
            "v7",
            _objective,
            relay_ms=10,
            relay_everywhere=True,
            relay_reused=True,
            renew_cached=True,
        ),
        Policy(
            "chosen",
            _objective,
            relay_ms=10,
            relay_everywhere=True,
            relay_reused=True,
            renew_cached=True,
            admission=True,
        ),
    )
}
