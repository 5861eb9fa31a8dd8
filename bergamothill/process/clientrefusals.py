"""Counts and logs callers that were refused before their requests were handled."""

from __future__ import annotations

from bergamothill.clock import Clock
from bergamothill.connection.callerintake import Refusal
from bergamothill.logs import EventLog
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.request.memoryaccount import MemoryAccount, Share

__all__ = ["ClientRefusals"]

LOG_INTERVAL_MS = 1_000
"""Shortest time between two lines on one reason, so that a crowd does not fill the log."""

_log = EventLog("clients")


class ClientRefusals:
    """Counters and bounded log lines.

    :param clock: source of time
    :param metrics: counters
    :param account: memory that is held for callers
    """

    def __init__(self, clock: Clock, metrics: GatewayMetrics, account: MemoryAccount) -> None:
        self._clock = clock
        self._metrics = metrics
        self._account = account
        self._logged_ms: dict[Refusal, int] = {}
        self._unlogged: dict[Refusal, int] = {}
        metrics.add_gauge("client_memory_bytes", lambda: account.used_bytes)

    def record(self, refusal: Refusal, peer: str) -> None:
        """Record a refusal.

        :param refusal: reason
        :param peer: address of the caller
        """
        self._metrics.count("client_refusals", reason=refusal.value)
        now_ms = self._clock.now_ms()
        logged_ms = self._logged_ms.get(refusal)
        if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
            self._unlogged[refusal] = self._unlogged.get(refusal, 0) + 1
            return
        self._logged_ms[refusal] = now_ms
        _log.info(
            "client_refused",
            reason=refusal.value,
            peer=peer,
            unlogged=self._unlogged.pop(refusal, 0),
            held_bytes=self._account.used_bytes,
            max_bytes=self._account.limit_bytes(Share.SMALL),
        )
