"""Chooses the engine with the shortest expected time to first token; no I/O and no clock."""

from __future__ import annotations

from heapq import nsmallest
from typing import NamedTuple

from bergamothill.ids import ZoneName
from bergamothill.process.backends import BackendServer
from bergamothill.process.loadreport import PeerLoads
from bergamothill.process.observedserver import ObservedServer
from bergamothill.process.prefillnotice import AnnouncedPrefill
from bergamothill.request.callerrequest import CallerRequest, ForwardTerms
from bergamothill.request.contextplan import ContextPlan, ContextPlanner
from bergamothill.request.promptplans import PromptPlans
from bergamothill.request.serverspeed import EngineSpeed, PromptWork, ServerSpeeds
from bergamothill.version.routetable import Brand, EngineTraits

__all__ = ["EngineSelector"]

FULL_MEMORY_PENALTY_MS = 20.0
"""Delay charged for full engine memory, as requests in progress then evict cached context."""

OTHER_ZONE_DELAY_MS = 20.0
"""Delay charged for an engine of another zone: answers and cached context then cross zones, and its
load is known later. About the error of the estimates, so that callers lose nothing by it."""

MIN_ZONE_ENGINES = 4
"""Engines of the own zone from which on they are preferred; fewer are busy too often."""


class _Candidate(NamedTuple):
    """Estimate for a request at one engine.

    :param first_ms: expected time to first token
    :param state: observed state of the engine
    :param plan: source of the cached context of each part of the prompt
    :param salt: namespace of the cached context
    """

    first_ms: float
    state: ObservedServer
    plan: ContextPlan
    salt: str


class EngineSelector:
    """Places prompts on engines that have capacity for them.

    :param planner: plans the sources of cached context
    :param peer_loads: loads reported by the other entry instances
    :param speeds: estimates of the speed of engines
    :param zone: availability zone of this entry instance
    """

    def __init__(
        self,
        planner: ContextPlanner,
        peer_loads: PeerLoads,
        speeds: ServerSpeeds,
        zone: ZoneName,
    ) -> None:
        self._zone = zone
        self._speeds = speeds
        self._planner = planner
        self._peer_loads = peer_loads
        self.choices = self.compared = 0
        """Number of choices, and of engines that were compared for them."""

        self.announced = AnnouncedPrefill()
        """Prompts that the others have announced since their latest load reports."""

    def place(
        self,
        candidates: list[ObservedServer],
        traits: EngineTraits,
        request: CallerRequest,
        brand: Brand | None,
        now_ms: int,
    ) -> tuple[BackendServer, ForwardTerms]:
        """Return the engine with the shortest expected time to first token, and the terms."""
        self.choices += 1
        self.compared += len(candidates)
        plans = PromptPlans(self._planner, traits, request, brand, now_ms)
        prefers_zone = sum(b.entry.zone == self._zone for b in candidates) >= MIN_ZONE_ENGINES
        evaluated = [self._evaluate(state, traits, request, plans, now_ms) for state in candidates]

        def cost(candidate: _Candidate) -> tuple[float, str]:
            entry = candidate.state.entry
            is_far = prefers_zone and entry.zone != self._zone
            return (candidate.first_ms + (OTHER_ZONE_DELAY_MS if is_far else 0.0), entry.server)

        ranked = nsmallest(2, evaluated, cost)
        best = ranked[0]
        runner_up = ranked[1] if len(ranked) > 1 else None
        entry, plan = best.state.entry, best.plan
        terms = ForwardTerms(
            entry.server,
            0,
            brand=brand.name if brand is not None else None,
            weight_version=best.state.weight_version(request.model),
            cache_salt=best.salt,
            cache_scope=self._planner.isolation.scope_of(brand),
            fetch_from=plan.fetch_from,
            save_to=self._planner.plan_saves(request, best.salt, now_ms),
            fetch_until_ms=plan.fetch_until_ms,
            pending_prefill_tokens=plan.prefill_tokens,
            held_tokens=plan.held_tokens,
            fetched_tokens=plan.fetched_tokens,
            expected_first_ms=best.first_ms,
        )
        if runner_up is not None:
            terms.runner_up = runner_up.state.entry.server
            terms.runner_up_first_ms = runner_up.first_ms
        return (entry, terms)

    def _evaluate(
        self,
        state: ObservedServer,
        traits: EngineTraits,
        request: CallerRequest,
        plans: PromptPlans,
        now_ms: int,
    ) -> _Candidate:
        """Estimate the time to first token on an engine."""
        entry = state.entry
        salt = plans.salt(state.weight_version(request.model))
        speed = self._speeds.engine(entry.service, entry.incarnation, now_ms)
        plan = plans.plan(entry.address, entry.zone, salt, speed.tokens_per_ms)
        first_ms = self._estimate_first_token_ms(state, traits, request, plan, speed, now_ms)
        return _Candidate(first_ms, state, plan, salt)

    def _estimate_first_token_ms(
        self,
        state: ObservedServer,
        traits: EngineTraits,
        request: CallerRequest,
        plan: ContextPlan,
        speed: EngineSpeed,
        now_ms: int,
    ) -> float:
        entry = state.entry
        peer_load = self._peer_loads.load_on(entry.server)
        announced_tokens = self.announced.tokens_at(entry.incarnation, now_ms)
        work = PromptWork(
            plan.prefill_tokens,
            state.pending_prefill_tokens + peer_load.pending_prefill_tokens + announced_tokens,
            state.in_progress + peer_load.in_progress,
        )
        prefill_ms = speed.first_token_ms(work)
        tokens = state.tokens + peer_load.tokens + request.prompt_tokens
        memory_penalty_ms = FULL_MEMORY_PENALTY_MS * tokens / max(1, traits.memory_tokens)
        return prefill_ms + plan.fetch_ms + memory_penalty_ms
