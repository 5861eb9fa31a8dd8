"""Remembers for a moment that no engine had room for a prompt; no I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.ids import ModelName, RegionName, ServiceName
from bergamothill.request.callerrequest import CallerRequest

__all__ = ["FullEngines"]

FULL_MS = 20
"""Time for which the loads that peers report are taken for unchanged."""


@dataclass(frozen=True, slots=True)
class _Refused:
    """Prompt for which no engine had room.

    :param urgency: 0 to 9, 0 comes first; less urgent prompts get less room
    :param tokens: length of the prompt
    :param homes: regions in which it may be served; None for all
    :param at_ms: time at which the engines were looked at
    """

    urgency: int
    tokens: int
    homes: frozenset[RegionName] | None
    at_ms: int


class FullEngines:
    """Spares requests that wait behind one without room a look at all engines."""

    def __init__(self) -> None:
        self._refused: dict[tuple[ServiceName, ModelName], _Refused] = {}

    def record(
        self, service: ServiceName, request: CallerRequest, urgency: int, now_ms: int
    ) -> None:
        """Record that no engine of a service has room for a prompt."""
        refused = _Refused(urgency, request.prompt_tokens, request.homes, now_ms)
        self._refused[service, request.model] = refused

    def clear(self) -> None:
        """Forget all, as a request of this instance has left room."""
        self._refused.clear()

    def has_no_room(
        self, service: ServiceName, request: CallerRequest, urgency: int, now_ms: int
    ) -> bool:
        """Return whether a prompt needs at least as much room as one that found none just now."""
        refused = self._refused.get((service, request.model))
        if refused is None or now_ms - refused.at_ms >= FULL_MS or request.homes != refused.homes:
            return False
        return urgency >= refused.urgency and request.prompt_tokens >= refused.tokens
