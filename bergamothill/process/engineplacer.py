"""Chooses the engine with the earliest expected first token; no I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.process.backends import BackendServer
from bergamothill.process.loadreport import PeerLoads
from bergamothill.process.serverbelief import ServerBelief
from bergamothill.request.callerrequest import CallerRequest, ForwardTerms
from bergamothill.request.contextplan import READ_TOKENS_PER_MS, ContextPlan, ContextPlanner
from bergamothill.version.keptnamespace import namespace
from bergamothill.version.routetable import Brand, EngineTraits

__all__ = ["EnginePlacer"]

MEMORY_MS = 20.0
"""Weight of a full memory against delays: context that is kept is lost to requests in progress."""

BATCH_MS_PER_RUN = 0.5
"""Delay that each request in progress adds to the batch of another."""


@dataclass(frozen=True, slots=True)
class _Choice:
    """What is expected of a request at one engine.

    :param first_ms: time to its first token
    :param belief: engine
    :param plan: where the parts of its prompt come from
    :param salt: namespace of its kept context
    """

    first_ms: float
    belief: ServerBelief
    plan: ContextPlan
    salt: str


class EnginePlacer:
    """Places prompts at engines that have room for them.

    :param planner: knows what is kept where
    :param peer_loads: requests of the other entry instances
    """

    def __init__(self, planner: ContextPlanner, peer_loads: PeerLoads) -> None:
        self._planner = planner
        self._peer_loads = peer_loads

    def place(
        self,
        candidates: list[ServerBelief],
        traits: EngineTraits,
        request: CallerRequest,
        brand: Brand | None,
        now_ms: int,
    ) -> tuple[BackendServer, ForwardTerms]:
        """Return the engine with the earliest expected first token, and what it fetches."""
        choices = sorted(
            (self._consider(belief, traits, request, brand, now_ms) for belief in candidates),
            key=lambda choice: (choice.first_ms, choice.belief.entry.server),
        )
        best = choices[0]
        runner_up = choices[1] if len(choices) > 1 else None
        entry, plan = best.belief.entry, best.plan
        terms = ForwardTerms(
            entry.server,
            0,
            brand=brand.name if brand is not None else None,
            weight_version=best.belief.weight_version(request.model),
            cache_salt=best.salt,
            fetch_from=plan.fetch_from,
            save_to=self._planner.saves(request, best.salt, now_ms),
            fetch_until_ms=plan.fetch_until_ms,
            unread_tokens=plan.read_tokens,
            held_tokens=plan.held_tokens,
            fetched_tokens=plan.fetched_tokens,
            expected_first_ms=best.first_ms,
        )
        if runner_up is not None:
            terms.runner_up = runner_up.belief.entry.server
            terms.runner_up_first_ms = runner_up.first_ms
        return (entry, terms)

    def _consider(
        self,
        belief: ServerBelief,
        traits: EngineTraits,
        request: CallerRequest,
        brand: Brand | None,
        now_ms: int,
    ) -> _Choice:
        """Return what is expected of an engine."""
        entry = belief.entry
        salt = namespace(request.model, belief.weight_version(request.model), brand)
        plan = self._planner.plan(entry.address, entry.zone, traits, request, salt, now_ms)
        first_ms = self._first_token_ms(belief, traits, request, plan)
        return _Choice(first_ms, belief, plan, salt)

    def _first_token_ms(
        self,
        belief: ServerBelief,
        traits: EngineTraits,
        request: CallerRequest,
        plan: ContextPlan,
    ) -> float:
        others = self._peer_loads.at(belief.entry.server)
        queue_ms = (belief.unread_tokens + others.unread_tokens) / READ_TOKENS_PER_MS
        read_ms = plan.read_tokens / READ_TOKENS_PER_MS
        tokens = belief.tokens + others.tokens + request.prompt_tokens
        memory_ms = MEMORY_MS * tokens / max(1, traits.memory_tokens)
        batch_ms = BATCH_MS_PER_RUN * (belief.in_progress + others.in_progress)
        return queue_ms + read_ms + plan.fetch_ms + memory_ms + batch_ms
