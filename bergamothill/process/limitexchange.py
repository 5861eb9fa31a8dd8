"""Exchanges the limits that servers name with the other entry instances, on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from bergamothill.clock import Clock
from bergamothill.ids import EntryInstanceId
from bergamothill.process.limitreport import (
    LimitReport,
    decode_limit_report,
    encode_limit_report,
    is_limit_report,
)
from bergamothill.process.loadexchange import LoadExchange
from bergamothill.process.paceexchange import PaceExchange
from bergamothill.process.reportschedule import BURST_INTERVAL_MS, ReportSchedule
from bergamothill.process.serverlimits import ServerLimits, log_limit_change
from bergamothill.process.wakeup import wait_until_set

__all__ = ["LimitExchange"]

KEEPALIVE_MS = 2_000
"""Interval at which limits are told again, for instances that started or missed them."""

IDLE_INTERVAL_MS = 1_000
"""Time between two checks while no server has a limit; news of one ends the wait."""

KEEPALIVE_PER_PEER_MS = 8
"""Limits one instance to 125 datagrams per second."""


class LimitExchange:
    """Sends this entry instance's reports of limits and receives those of the others.

    :param clock: source of time
    :param limits: limits that servers name
    :param load_exchange: its socket carries the reports
    :param on_report: called with the sender after each received report
    """

    def __init__(
        self,
        clock: Clock,
        limits: ServerLimits,
        load_exchange: LoadExchange,
        on_report: Callable[[EntryInstanceId], None],
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._load_exchange = load_exchange
        self._on_report = on_report
        self._schedule = ReportSchedule(KEEPALIVE_MS, KEEPALIVE_PER_PEER_MS)
        self._wake = asyncio.Event()
        self._paces = PaceExchange(clock, limits, load_exchange, on_report)
        limits.on_news = limits.pace.on_news = self._wake.set
        load_exchange.add_kind(is_limit_report, decode_limit_report, self._on_limit_report)

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            has_any = self._limits.has_any or self._limits.pace.has_any
            await wait_until_set(self._wake, BURST_INTERVAL_MS if has_any else IDLE_INTERVAL_MS)
            self._wake.clear()
            self._send_if_due()
            self._paces.send_if_due()

    def _send_if_due(self) -> None:
        now_ms = self._clock.now_ms()
        peer_count = self._load_exchange.instance_count - 1
        if not self._schedule.is_due(self._limits.report_revision, peer_count, now_ms):
            return
        report = self._limits.report(now_ms)
        if peer_count and report.limits:
            is_urgent = self._schedule.is_change(now_ms)
            self._load_exchange.send_to_peers(encode_limit_report(report), is_urgent=is_urgent)

    def _on_limit_report(self, report: LimitReport) -> None:
        for change in self._limits.merge(report, self._clock.now_ms()):
            log_limit_change(change)
        self._on_report(report.entry)
