"""Probes servers when several have failed, on the event loop.

:class:`~bergamothill.process.reachability.Reachability` decides what the outcome means.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.serverprobe import probe_server
from bergamothill.logs import EventLog
from bergamothill.platform.serverreport import encode_start_query
from bergamothill.process.backends import BackendServer
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.reachability import ReachState
from bergamothill.process.serverpool import ServerPool

__all__ = ["ReachWatch"]

PROBES_PER_ROUND = 3

_log = EventLog("servers")


class ReachWatch:
    """Settles the suspicion that this instance reaches no server.

    :param clock: source of time
    :param server_pool: the servers, and the evidence about them
    :param metrics: counts the rounds of probes
    """

    def __init__(self, clock: Clock, server_pool: ServerPool, metrics: GatewayMetrics) -> None:
        self._clock = clock
        self._server_pool = server_pool
        self._metrics = metrics
        self._reachability = server_pool.reachability
        self._suspected = asyncio.Event()
        self._reachability.on_suspected = self._suspected.set
        metrics.add_gauge(
            "servers_unreachable",
            lambda: int(self._reachability.state is ReachState.UNREACHED),
        )

    async def run(self) -> None:
        """Probe servers whenever that is due, until cancelled."""
        reachability = self._reachability
        while True:
            wait_ms = reachability.next_round_ms(self._clock.now_ms())
            if wait_ms is None:
                self._suspected.clear()
                await self._suspected.wait()
                continue
            await asyncio.sleep(ms_to_seconds(wait_ms))
            await self._probe_round()

    async def _probe_round(self) -> None:
        reachability, before = self._reachability, self._reachability.state
        failed = reachability.failed_servers
        servers = choose_probed(self._server_pool.present(self._clock.now_ms()))
        is_answered = await answers_any(servers)
        self._metrics.count("probe_rounds", answered=is_answered)
        now_ms = self._clock.now_ms()
        since_ms = reachability.changed_ms
        reachability.record_round(is_answered, now_ms)
        if reachability.state is before:
            return
        names = " ".join(server.server for server in servers) or "-"
        if reachability.state is ReachState.UNREACHED:
            answered_ms = reachability.answered_ms
            silence_ms = "-" if answered_ms is None else now_ms - answered_ms
            _log.warning(
                "servers_unreachable", failed=failed, probed=names, last_answer_ms=silence_ms
            )
        elif before is ReachState.UNREACHED:
            _log.warning("servers_reachable", probed=names, after_ms=now_ms - since_ms)
        else:
            _log.info("servers_probed", failed=failed, probed=names, answered=is_answered)


def choose_probed(servers: Iterable[BackendServer]) -> list[BackendServer]:
    """Return servers to probe, drawn at random, of as many services as possible."""
    drawn = list(servers)
    random.shuffle(drawn)
    first = {server.service: server for server in drawn}
    others = [server for server in drawn if first[server.service] is not server]
    return [*first.values(), *others][:PROBES_PER_ROUND]


async def answers_any(servers: Iterable[BackendServer]) -> bool:
    """Return whether any of some servers answers; ends with the first answer."""
    probes = {asyncio.ensure_future(probe_server(s.address, _question(s))) for s in servers}
    try:
        for probe in asyncio.as_completed(probes):
            if await probe:
                return True
    finally:
        for probe in probes:
            probe.cancel()
    return False


def _question(server: BackendServer) -> bytes | None:
    """Return what a server is asked; only engines answer questions without a slot."""
    return encode_start_query(server.address, server.server) if server.weights else None
