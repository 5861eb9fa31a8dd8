"""Chooses the engine with the shortest expected time to first token; no I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.process.backends import BackendServer
from bergamothill.process.loadreport import PeerLoads
from bergamothill.process.observedserver import ObservedServer
from bergamothill.request.callerrequest import CallerRequest, ForwardTerms
from bergamothill.request.contextplan import ContextPlan, ContextPlanner
from bergamothill.request.serverspeed import EngineSpeed, PromptWork, ServerSpeeds
from bergamothill.version.cachenamespace import namespace
from bergamothill.version.routetable import Brand, EngineTraits

__all__ = ["EngineSelector"]

FULL_MEMORY_PENALTY_MS = 20.0
"""Delay charged for full engine memory, as requests in progress then evict cached context."""


@dataclass(frozen=True, slots=True)
class _Candidate:
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
    """

    def __init__(
        self, planner: ContextPlanner, peer_loads: PeerLoads, speeds: ServerSpeeds
    ) -> None:
        self._speeds = speeds
        self._planner = planner
        self._peer_loads = peer_loads

    def place(
        self,
        candidates: list[ObservedServer],
        traits: EngineTraits,
        request: CallerRequest,
        brand: Brand | None,
        now_ms: int,
    ) -> tuple[BackendServer, ForwardTerms]:
        """Return the engine with the shortest expected time to first token, and the terms."""
        ranked = sorted(
            (self._evaluate(state, traits, request, brand, now_ms) for state in candidates),
            key=lambda candidate: (candidate.first_ms, candidate.state.entry.server),
        )
        best = ranked[0]
        runner_up = ranked[1] if len(ranked) > 1 else None
        entry, plan = best.state.entry, best.plan
        terms = ForwardTerms(
            entry.server,
            0,
            brand=brand.name if brand is not None else None,
            weight_version=best.state.weight_version(request.model),
            cache_salt=best.salt,
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
        brand: Brand | None,
        now_ms: int,
    ) -> _Candidate:
        """Estimate the time to first token on an engine."""
        entry = state.entry
        salt = namespace(request.model, state.weight_version(request.model), brand)
        speed = self._speeds.engine(entry.service, entry.incarnation, now_ms)
        plan = self._planner.plan(
            entry.address, entry.zone, traits, request, salt, now_ms, speed.tokens_per_ms
        )
        first_ms = self._estimate_first_token_ms(state, traits, request, plan, speed)
        return _Candidate(first_ms, state, plan, salt)

    def _estimate_first_token_ms(
        self,
        state: ObservedServer,
        traits: EngineTraits,
        request: CallerRequest,
        plan: ContextPlan,
        speed: EngineSpeed,
    ) -> float:
        peer_load = self._peer_loads.load_on(state.entry.server)
        work = PromptWork(
            plan.prefill_tokens,
            state.pending_prefill_tokens + peer_load.pending_prefill_tokens,
            state.in_progress + peer_load.in_progress,
        )
        prefill_ms = speed.first_token_ms(work)
        tokens = state.tokens + peer_load.tokens + request.prompt_tokens
        memory_penalty_ms = FULL_MEMORY_PENALTY_MS * tokens / max(1, traits.memory_tokens)
        return prefill_ms + plan.fetch_ms + memory_penalty_ms
