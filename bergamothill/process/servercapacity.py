"""How many requests servers take from all instances together; no I/O and no clock.

The load of a server is this instance's own and what the others reported. Reports of many instances
are older than a short call takes. So a reported load counts the less, the older reports are
compared with the time in a slot, and is replaced by its average. While servers are full, each
instance has a share of their places, which holds without any reports.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass

from bergamothill.ids import ServerId, ServiceName, ZoneName
from bergamothill.logs import EventLog
from bergamothill.process.instanceroster import InstanceRoster
from bergamothill.process.loadreport import PeerLoads
from bergamothill.process.observedserver import ObservedServer
from bergamothill.request.callerrequest import CallerRequest
from bergamothill.request.serverspeed import ServerSpeeds, ServiceTime
from bergamothill.version.routetable import EngineTraits

__all__ = ["ServerCapacity"]

_log = EventLog("gateway")

OTHER_ZONE_PENALTY = 1.0
"""Number of requests in progress that weighs as much as being in another zone."""

MIN_REPORT_INTERVAL_MS = 50
REPORT_INTERVAL_PER_PEER_MS = 4
"""Interval of load reports for each peer, see ``process/loadexchange``."""

MIN_SERVICE_MS = 1.0
"""Shorter answers take 0 ms on the clock."""

INITIAL_SLOT_MS = 100.0
"""Time in a slot that is assumed for the weight of reports until enough answers were seen."""

WAKEUP_MS = 20
MAX_REACTION_MS = 150
"""Longest time for which servers queue requests only to stay busy; half of a tight objective."""

AVERAGE_MS = 1_000
"""Time constant of the average of reported loads; several intervals of reports."""

CONGESTED_MS = 1_000
"""Time for which an instance keeps to its share after it found the servers full."""

MAX_LENT_FACTOR = 3.0
"""Highest ratio of what an instance may use to its share, while others leave theirs unused."""


LOG_INTERVAL_MS = 1_000
"""Interval of log lines about full servers of one service."""


@dataclass(slots=True)
class _Average:
    """Average of the load that the other instances report for a server."""

    value: float
    at_ms: int

    def update(self, value: float, now_ms: int) -> float:
        weight = 1 - math.exp(-max(0, now_ms - self.at_ms) / AVERAGE_MS)
        self.value += weight * (value - self.value)
        self.at_ms = now_ms
        return self.value


@dataclass(frozen=True, slots=True)
class _Candidate:
    """Server, the load expected on it, and the requests that it can take within the objective."""

    state: ObservedServer
    load: float
    places: float
    cost: float


class ServerCapacity:
    """Capacity of all servers.

    :param zone: availability zone of this entry instance
    :param peer_loads: loads reported by the other entry instances
    :param speeds: estimates of the speed of servers
    :param roster: entry instances that share the servers
    """

    def __init__(
        self, zone: ZoneName, peer_loads: PeerLoads, speeds: ServerSpeeds, roster: InstanceRoster
    ) -> None:
        self._zone = zone
        self._peer_loads = peer_loads
        self._speeds = speeds
        self._roster = roster
        self._averages: dict[ServerId, _Average] = {}
        self._congested_until_ms: dict[ServiceName, int] = {}
        self._logged_ms: dict[ServiceName, int] = {}

    @property
    def _report_age_ms(self) -> float:
        """Mean age of the loads that the other instances report."""
        interval_ms = REPORT_INTERVAL_PER_PEER_MS * (len(self._roster.members) - 1)
        return max(MIN_REPORT_INTERVAL_MS, interval_ms) / 2

    @property
    def _reaction_ms(self) -> float:
        """Time between the end of a request and the next; servers queue as many meanwhile."""
        return min(MAX_REACTION_MS, self._report_age_ms + WAKEUP_MS)

    # Model engines.

    def has_slot(self, state: ObservedServer, traits: EngineTraits, in_progress: int) -> bool:
        """Return whether an engine has a slot for one more request, or soon will have.

        The slots that were freed since the last reports are in use again only if they count.

        :param in_progress: requests of all instances that it has in progress
        """
        if traits.slots <= 1 or in_progress < traits.slots:
            return True  # a configuration without slots has 1
        time = self._speeds.service_time(state.entry.service)
        if time is None:
            return True
        freed = traits.slots * self._report_age_ms / max(MIN_SERVICE_MS, time.median_ms)
        return in_progress < traits.slots + math.ceil(freed)

    # Plain servers.

    def record_rejection(self, state: ObservedServer, now_ms: int) -> None:
        """Record that a server rejected a request because it is full."""
        if self._speeds.service_time(state.entry.service) is not None:
            self._congested_until_ms[state.entry.service] = now_ms + CONGESTED_MS

    def choose_plain(
        self,
        servers: list[ObservedServer],
        usable: list[ObservedServer],
        request: CallerRequest,
        now_ms: int,
    ) -> ObservedServer | None:
        """Return a server for a request; None if it should wait for one.

        :param servers: servers to choose from
        :param usable: all servers that may get requests, with which the instances are served
        """
        service = servers[0].entry.service
        time = self._speeds.service_time(service)
        found = {
            state.entry.server: self._evaluate(state, time, request, now_ms) for state in usable
        }
        candidates = [found[state.entry.server] for state in servers]
        with_place = [c for c in candidates if c.load < c.places]
        if time is not None:
            is_congested = now_ms < self._congested_until_ms.get(service, 0)
            if not with_place and len(candidates) == len(found):
                self._congested_until_ms[service] = now_ms + CONGESTED_MS
            if (is_congested or not with_place) and not self._may_use_share(
                list(found.values()), now_ms
            ):
                return None
        return self._pick(with_place or candidates, time, request)

    def expected_answer_ms(self, service: ServiceName) -> float | None:
        """Return the time that an answer takes at a full server; None if not known."""
        time = self._speeds.service_time(service)
        return None if time is None else time.late_ms + self._reaction_ms

    def own_work_per_ms(self, usable: list[ObservedServer]) -> float:
        """Return the time in slots that this instance may use in one ms while servers are full.

        It is the share of its own requests among those in progress, but at least an equal one.
        """
        slots = sum(state.entry.slots for state in usable)
        own = sum(state.in_progress for state in usable)
        reported = sum(self._peer_loads.load_on(b.entry.server).in_progress for b in usable)
        equal = 1 / len(self._roster.members)
        return slots * max(equal, own / max(1, own + reported))

    def _evaluate(
        self, state: ObservedServer, time: ServiceTime | None, request: CallerRequest, now_ms: int
    ) -> _Candidate:
        entry = state.entry
        reported = self._peer_loads.load_on(entry.server).in_progress
        average = self._averages.setdefault(entry.server, _Average(reported, now_ms))
        average_load = average.update(reported, now_ms)
        penalty = OTHER_ZONE_PENALTY if entry.zone != self._zone else 0.0
        freshness = self._freshness(time)
        load = state.in_progress + freshness * reported + (1 - freshness) * average_load
        if time is None:
            return _Candidate(state, load, math.inf, load + penalty)
        median_ms = max(MIN_SERVICE_MS, time.median_ms)
        slot_ms = self._speeds.slot_ms(entry.service, entry.incarnation, now_ms) or median_ms
        places = math.inf
        if request.objective_ms is not None:
            wait_ms = max(self._reaction_ms, request.objective_ms - now_ms - time.late_ms)
            places = entry.slots * (1 + wait_ms / max(MIN_SERVICE_MS, slot_ms))
        return _Candidate(state, load, places, load * slot_ms / median_ms + penalty)

    def _freshness(self, time: ServiceTime | None) -> float:
        """Return the share of the reported requests that have not ended since."""
        slot_ms = INITIAL_SLOT_MS if time is None else max(MIN_SERVICE_MS, time.median_ms)
        return math.exp(-self._report_age_ms / slot_ms)

    def _may_use_share(self, candidates: list[_Candidate], now_ms: int) -> bool:
        """Return whether this instance uses less than its share of the places of all servers.

        Instances with more to do get what the others leave, in small steps, as each of them sees
        the same unused places.
        """
        places = sum(c.places for c in candidates)
        load = sum(c.load for c in candidates)
        own = sum(c.state.in_progress for c in candidates)
        share = places / len(self._roster.members)
        if 2 * self._peer_loads.reporting >= len(self._roster.members) - 1:
            share *= min(MAX_LENT_FACTOR, max(1.0, places / max(1.0, load)))
        if own + 1 <= share:
            return True
        # A share of less than one place, or its fraction, is used for a part of the time.
        period = f"{self._roster.own}|{now_ms // int(max(1, self._report_age_ms))}"
        is_used = zlib.crc32(period.encode()) / 2**32 < share - int(share)
        if own < share and is_used:
            return True
        service = candidates[0].state.entry.service
        if now_ms - self._logged_ms.get(service, -LOG_INTERVAL_MS) < LOG_INTERVAL_MS:
            return False
        self._logged_ms[service] = now_ms
        _log.info(
            "servers_full",
            service=service,
            load=f"{load:.1f}",
            places=f"{places:.1f}",
            own=own,
            share=f"{share:.2f}",
        )
        return False

    def _pick(
        self, candidates: list[_Candidate], time: ServiceTime | None, request: CallerRequest
    ) -> ObservedServer:
        """Return one of the servers with the least cost.

        Old reports are the same at all instances. If each chose the least loaded server by them,
        all would choose the same, so those within the error of the estimate count as equal. An
        instance without peers knows the load.
        """
        if len(self._roster.members) == 1:
            return min(candidates, key=lambda c: (c.cost, c.state.entry.server)).state
        mean_load = sum(c.load for c in candidates) / len(candidates)
        error = (1 - self._freshness(time)) * math.sqrt(mean_load)
        least = min(c.cost for c in candidates)
        near = [c for c in candidates if c.cost <= least + error]
        chosen = min(near, key=lambda c: (_spread(request, c.state), c.state.entry.server))
        return chosen.state

    def retain(self, servers: set[ServerId]) -> None:
        """Forget all servers but these."""
        self._averages = {s: average for s, average in self._averages.items() if s in servers}


def _spread(request: CallerRequest, state: ObservedServer) -> int:
    """Return a number that orders servers differently for each request."""
    key = f"{request.request_id}|{request.raw.arrived_ms}|{state.entry.server}"
    return zlib.crc32(key.encode())
