"""Probes servers when several have failed, and asks the other instances when none answers.

:class:`~bergamothill.process.reachability.Reachability` decides what the probes mean. This runs on
the event loop.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.serverprobe import probe_server
from bergamothill.ids import ServiceName
from bergamothill.logs import EventLog
from bergamothill.platform.serverreport import encode_health_check, encode_start_query
from bergamothill.process.backends import BackendServer
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.reachability import ReachState
from bergamothill.process.serverpool import ServerPool
from bergamothill.version.routetable import Service

__all__ = ["ReachWatch"]

PROBES_PER_ROUND = 3

RECENT_ANSWER_MS = 300
"""Age of an answer that shows that servers are reached still."""

ASK_INTERVAL_MS = 300

_log = EventLog("servers")


class ReachWatch:
    """Settles the suspicion that this instance reaches no server.

    :param clock: source of time
    :param server_pool: the servers, and the evidence about them
    :param metrics: counts the rounds of probes
    """

    def __init__(self, clock: Clock, server_pool: ServerPool, metrics: GatewayMetrics) -> None:
        self.on_unreached: Callable[[], None] = lambda: None
        """Called at intervals while no server is reached."""

        self.on_reached: Callable[[], None] = lambda: None
        """Called when servers are reached again."""

        self.services: Mapping[ServiceName, Service] = {}
        """Services of the configuration in force, by name."""

        self._clock = clock
        self._server_pool = server_pool
        self._metrics = metrics
        self._reachability = server_pool.reachability
        self._suspected = asyncio.Event()
        self._unreached = asyncio.Event()
        self._check: asyncio.Future[bool] | None = None
        self._reachability.on_suspected = self._suspected.set
        metrics.add_gauge("servers_unreachable", lambda: int(self._is_unreached))

    @property
    def _is_unreached(self) -> bool:
        return self._reachability.state is ReachState.UNREACHED

    async def run(self) -> None:
        """Probe servers whenever that is due, until cancelled."""
        while True:
            wait_ms = self._reachability.next_round_ms(self._clock.now_ms())
            if wait_ms is None:
                self._suspected.clear()
                await self._suspected.wait()
                continue
            await asyncio.sleep(ms_to_seconds(wait_ms))
            await self._probe_round()

    async def ask_peers(self) -> None:
        """Have other instances asked while no server is reached, until cancelled."""
        while True:
            await self._unreached.wait()
            self.on_unreached()
            await asyncio.sleep(ms_to_seconds(ASK_INTERVAL_MS))

    def reaches(self) -> asyncio.Future[bool]:
        """Return whether servers answer this instance now; probes them if none has lately."""
        if self._check is None or self._check.done():
            self._check = asyncio.ensure_future(self._reaches())
        return self._check

    async def _reaches(self) -> bool:
        reachability = self._reachability
        if self._is_unreached:
            return False
        if reachability.has_answer_since(self._clock.now_ms() - RECENT_ANSWER_MS):
            return True
        servers = choose_probed(self._server_pool.present(self._clock.now_ms()))
        is_answered = await answers_any(servers, self.services)
        now_ms = self._clock.now_ms()
        if is_answered:
            reachability.record_answer(now_ms)
        else:
            reachability.record_failures([server.address for server in servers], now_ms)
        return is_answered

    async def _probe_round(self) -> None:
        reachability, before = self._reachability, self._reachability.state
        failed = reachability.failed_servers
        servers = choose_probed(self._server_pool.present(self._clock.now_ms()))
        is_answered = await answers_any(servers, self.services)
        self._metrics.count("probe_rounds", answered=is_answered)
        now_ms = self._clock.now_ms()
        since_ms = reachability.changed_ms
        reachability.record_round(is_answered, now_ms)
        if reachability.state is before:
            return
        names = " ".join(server.server for server in servers) or "-"
        if self._is_unreached:
            answered_ms = reachability.answered_ms
            silence_ms = "-" if answered_ms is None else now_ms - answered_ms
            _log.warning(
                "servers_unreachable", failed=failed, probed=names, last_answer_ms=silence_ms
            )
            self._unreached.set()
        elif before is ReachState.UNREACHED:
            _log.warning("servers_reachable", probed=names, after_ms=now_ms - since_ms)
            self._unreached.clear()
            self.on_reached()
        else:
            _log.info("servers_probed", failed=failed, probed=names, answered=is_answered)


def choose_probed(servers: Iterable[BackendServer]) -> list[BackendServer]:
    """Return servers to probe, drawn at random, of as many services as possible."""
    drawn = list(servers)
    random.shuffle(drawn)
    first = {server.service: server for server in drawn}
    others = [server for server in drawn if first[server.service] is not server]
    return [*first.values(), *others][:PROBES_PER_ROUND]


async def answers_any(
    servers: Iterable[BackendServer], services: Mapping[ServiceName, Service]
) -> bool:
    """Return whether any of some servers answers; ends with the first answer.

    :param servers: servers to probe
    :param services: services by name, which tell what is asked
    """
    probes = {
        asyncio.ensure_future(probe_server(s.address, _question(s, services))) for s in servers
    }
    try:
        for probe in asyncio.as_completed(probes):
            if await probe:
                return True
    finally:
        for probe in probes:
            probe.cancel()
    return False


def _question(server: BackendServer, services: Mapping[ServiceName, Service]) -> bytes | None:
    """Return what a server is asked; engines answer without a slot, others check their health."""
    if server.weights:
        return encode_start_query(server.address, server.server)
    service = services.get(server.service)
    path = "" if service is None else service.health_path
    return encode_health_check(server.address, path) if path else None
