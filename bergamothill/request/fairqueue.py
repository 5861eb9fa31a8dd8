"""Shares of brands and routes in the capacity of a service, by work; no I/O and no clock.

Start-time fair queueing: each flow has a virtual time, which its work advances when it is sent, and
the flow with the earliest one is next. A flow that had nothing to send begins at the time of the
latest start, so that unused shares are lent at once and never claimed back. Requests that leave
unsent cost nothing. Deficit round robin would need a quantum as large as the largest prompt, of
which many short calls would be sent in a row.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable
from dataclasses import dataclass

__all__ = ["FairShares", "Flow", "MAX_FLOWS", "NO_FLOW", "UrgencyShares"]


@dataclass(frozen=True, slots=True)
class Flow:
    """Requests that share one part of the capacity.

    :param urgency: urgency of their route and brand; 0 comes first
    :param brand: brand; empty for a public route
    :param route: route
    """

    urgency: int
    brand: str
    route: str


NO_FLOW = Flow(0, "", "")

_ALL = None
"""Group of all brands."""

MAX_FLOWS = 2_000
"""Number of flows above which those without a claim are forgotten."""

MIN_SERVED_RATIO = 0.1
"""Lowest ratio of the served share of a kind to that of a more urgent one; nothing starves."""

SHARE_WINDOW_MS = 4_000
"""Time constant of the shares that are served."""


class FairShares:
    """Virtual times of the brands of one urgency, and of the routes of each brand."""

    def __init__(self) -> None:
        self._times: dict[tuple[Hashable, Hashable], float] = {}
        self._latest: dict[Hashable, float] = {}

    def start(self, flow: Flow) -> tuple[float, float]:
        """Return the virtual times at which the next request of a flow would start."""
        return self._start(_ALL, flow.brand), self._start(flow.brand, flow)

    def _start(self, group: str, member: Hashable) -> float:
        return max(self._times.get((group, member), 0.0), self._latest.get(group, 0.0))

    def charge(self, flow: Flow, work: float) -> None:
        """Record that work of a flow was sent."""
        for group, member in ((_ALL, flow.brand), (flow.brand, flow)):
            start = self._start(group, member)
            self._latest[group] = start
            self._times[group, member] = start + work
        if len(self._times) > MAX_FLOWS:
            self._times = {
                key: time for key, time in self._times.items() if time > self._latest[key[0]]
            }
            groups = {group for group, _ in self._times} | {_ALL}
            self._latest = {group: t for group, t in self._latest.items() if group in groups}


class UrgencyShares:
    """Shares of the work of each urgency that were served lately.

    The most urgent ones come first. A less urgent one has its turn only when its share is far below
    theirs, so that it is never served better and never starves.
    """

    def __init__(self) -> None:
        self._offered: dict[int, float] = {}
        self._served: dict[int, float] = {}
        self._decayed_ms = 0

    def record_offered(self, urgency: int, work: float, now_ms: int) -> None:
        """Record work that has to wait."""
        self._decay(now_ms)
        self._offered[urgency] = self._offered.get(urgency, 0.0) + work

    def record_served(self, urgency: int, work: float, now_ms: int) -> None:
        """Record work that was sent after it had to wait."""
        self._decay(now_ms)
        self._served[urgency] = self._served.get(urgency, 0.0) + work

    def _decay(self, now_ms: int) -> None:
        passed_ms = now_ms - self._decayed_ms
        if passed_ms >= SHARE_WINDOW_MS / 20:
            factor = math.exp(-passed_ms / SHARE_WINDOW_MS)
            for counts in (self._offered, self._served):
                for urgency in counts:
                    counts[urgency] *= factor
            self._decayed_ms = now_ms

    def next_of(self, waiting: Iterable[int]) -> int:
        """Return which of the urgencies that wait has its turn."""
        levels = sorted(waiting)
        chosen, best_ratio = levels[0], self._ratio(levels[0])
        for urgency in levels[1:]:
            ratio = self._ratio(urgency)
            if ratio < MIN_SERVED_RATIO * best_ratio:
                chosen = urgency
            best_ratio = min(best_ratio, ratio)
        return chosen

    def _ratio(self, urgency: int) -> float:
        offered = self._offered.get(urgency, 0.0)
        return self._served.get(urgency, 0.0) / offered if offered > 0 else 1.0
