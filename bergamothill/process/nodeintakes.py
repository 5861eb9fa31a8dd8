"""Limits on what an entry instance holds for callers, and for readiness checks and metrics."""

from __future__ import annotations

from bergamothill.clock import Clock
from bergamothill.connection.callerintake import CallerIntake
from bergamothill.logs import EventLog
from bergamothill.process.clientrefusals import ClientRefusals
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.nodesettings import NodeSettings
from bergamothill.request.memoryaccount import MemoryAccount, caller_memory_bytes
from bergamothill.version.routetable import CallerLimits

__all__ = ["NodeIntakes", "max_caller_descriptors"]

DESCRIPTORS_FOR_FILES = 200
"""Descriptors that the platform does not let sockets have."""

MIN_RESERVED_DESCRIPTORS = 64
RESERVED_SHARE = 16
"""Descriptors for the store, other instances, polls of servers and connections being accepted: this
many, and at least one of sixteen."""

MIN_CALLER_DESCRIPTORS = 32
MAX_CHECK_DESCRIPTORS = 64
"""Connections to the readiness and metrics ports."""

_log = EventLog("clients")


def max_caller_descriptors(descriptors: int, idle_connections: int) -> int:
    """Return how many descriptors are for callers and for the servers that answer them.

    :param descriptors: limit on open file descriptors
    :param idle_connections: maximum number of idle connections to servers
    """
    reserved = max(MIN_RESERVED_DESCRIPTORS, descriptors // RESERVED_SHARE) + MAX_CHECK_DESCRIPTORS
    rest = descriptors - DESCRIPTORS_FOR_FILES - idle_connections - reserved
    return max(MIN_CALLER_DESCRIPTORS, rest)


class NodeIntakes:
    """Intakes of the ports of an instance; their connections share one account of memory.

    :param clock: source of time
    :param metrics: counters
    :param settings: limits of the process
    :param idle_connections: maximum number of idle connections to servers
    """

    def __init__(
        self, clock: Clock, metrics: GatewayMetrics, settings: NodeSettings, idle_connections: int
    ) -> None:
        account = MemoryAccount(caller_memory_bytes(settings.memory_mb))
        record = ClientRefusals(clock, metrics, account).record
        max_descriptors = max_caller_descriptors(settings.descriptors, idle_connections)
        self.callers = CallerIntake(clock, account, record, max_descriptors)
        self.checks = CallerIntake(clock, account, record, MAX_CHECK_DESCRIPTORS)
        metrics.add_gauge("client_connections", lambda: len(self.callers.table))
        self._warned_bytes = 0

    def check_limits(self, limits: CallerLimits) -> None:
        """Log a limit on bodies that the memory limit does not allow; larger ones get 413."""
        max_bytes = self.callers.max_body_bytes
        if limits.body_bytes > max_bytes and limits.body_bytes != self._warned_bytes:
            _log.warning("body_limit_exceeds_memory", limit=limits.body_bytes, max_bytes=max_bytes)
        self._warned_bytes = limits.body_bytes
