"""Limits on what an entry instance holds for callers, and for readiness checks and metrics."""

from __future__ import annotations

from bergamothill.clock import Clock
from bergamothill.connection.callerintake import CallerIntake
from bergamothill.logs import EventLog
from bergamothill.process.clientrefusals import ClientRefusals
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.request.memoryaccount import MemoryAccount, caller_memory_bytes
from bergamothill.version.routetable import CallerLimits

__all__ = ["NodeIntakes"]

_log = EventLog("clients")


class NodeIntakes:
    """Intakes of the ports of an instance; their connections share one account of memory.

    :param clock: source of time
    :param metrics: counters
    :param memory_mb: memory limit of the process
    """

    def __init__(self, clock: Clock, metrics: GatewayMetrics, memory_mb: int) -> None:
        account = MemoryAccount(caller_memory_bytes(memory_mb))
        refusals = ClientRefusals(clock, metrics, account)
        self.callers = CallerIntake(clock, account, refusals.record)
        self.checks = CallerIntake(clock, account, refusals.record)
        self._warned_bytes = 0

    def check_limits(self, limits: CallerLimits) -> None:
        """Log a limit on bodies that the memory limit does not allow; larger ones get 413."""
        max_bytes = self.callers.max_body_bytes
        if limits.body_bytes > max_bytes and limits.body_bytes != self._warned_bytes:
            _log.warning("body_limit_exceeds_memory", limit=limits.body_bytes, max_bytes=max_bytes)
        self._warned_bytes = limits.body_bytes
