"""Plans of one prompt for many engines; does no I/O and reads no clock."""

from __future__ import annotations

import math

from bergamothill.ids import ZoneName
from bergamothill.request.callerrequest import CallerRequest
from bergamothill.request.contextplan import ContextPlan, ContextPlanner, PartHolders
from bergamothill.version.cacheindex import PartKey
from bergamothill.version.cachenamespace import namespace
from bergamothill.version.routetable import Brand, EngineTraits

__all__ = ["PromptPlans"]

SPEEDS_PER_DOUBLING = 6
"""Engines that share a plan differ in speed by less than an eighth."""


class PromptPlans:
    """Plans of one prompt, each shared by the engines for which it is the same.

    These are engines of one zone and of about the same speed that hold the same parts. No plan
    names its own engine as a source, as what an engine holds is fetched from stores only.

    :param planner: plans the sources of cached context
    :param traits: traits of the engines' service
    :param request: request with the prompt
    :param brand: brand of the caller; None on a public route
    :param now_ms: current time, in milliseconds
    """

    def __init__(
        self,
        planner: ContextPlanner,
        traits: EngineTraits,
        request: CallerRequest,
        brand: Brand | None,
        now_ms: int,
    ) -> None:
        self._planner = planner
        self._traits = traits
        self._request = request
        self._brand = brand
        self._now_ms = now_ms
        self._holders = PartHolders(planner, now_ms)
        self._keys: dict[str, tuple[tuple[PartKey, int], ...]] = {}
        self._plans: dict[tuple[str, ZoneName, tuple[bool, ...], int], ContextPlan] = {}

    def salt(self, version: int) -> str:
        """Return the namespace of the prompt's context.

        :param version: weight version that the prompt runs on
        """
        homes = self._planner.regions.namespace_of(self._request.homes)
        isolation = self._planner.isolation
        return namespace(self._request.model, version, self._brand, homes, isolation)

    def plan(self, address: str, zone: ZoneName, salt: str, tokens_per_ms: float) -> ContextPlan:
        """Return the plan for an engine.

        :param address: address of the engine
        :param zone: its availability zone
        :param salt: namespace of the prompt's context at its weight version
        :param tokens_per_ms: its prefill speed
        """
        keys = self._keys.get(salt)
        if keys is None:
            parts = self._request.parts[:-1]
            keys = self._keys[salt] = tuple((PartKey(salt, p.name), p.tokens) for p in parts)
        held = self._planner.holds(address, keys)
        speed_step = round(math.log2(tokens_per_ms) * SPEEDS_PER_DOUBLING)
        shared_by = (salt, zone, held, speed_step)
        plan = self._plans.get(shared_by)
        if plan is None:
            plan = self._plans[shared_by] = self._planner.plan(
                address,
                zone,
                self._traits,
                self._request,
                salt,
                self._now_ms,
                tokens_per_ms,
                self._holders,
            )
        return plan
