"""Exchanges quarantine reports with the other entry instances, on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from bergamothill.clock import Clock
from bergamothill.process.loadexchange import LoadExchange
from bergamothill.process.quarantinecodec import (
    decode_quarantine_report,
    encode_quarantine_report,
    is_quarantine_report,
)
from bergamothill.process.reportschedule import BURST_INTERVAL_MS, ReportSchedule
from bergamothill.process.wakeup import wait_until_set
from bergamothill.request.partquarantine import PartQuarantine, QuarantineReport

__all__ = ["QuarantineExchange"]


class QuarantineExchange:
    """Sends this entry instance's quarantine reports and receives those of the others.

    :param clock: source of time
    :param quarantine: source of the reports
    :param load_exchange: its socket carries the reports
    :param on_report: called with each received report
    :param on_check: called at least every 100 ms
    """

    def __init__(
        self,
        clock: Clock,
        quarantine: PartQuarantine,
        load_exchange: LoadExchange,
        on_report: Callable[[QuarantineReport], None],
        on_check: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._quarantine = quarantine
        self._load_exchange = load_exchange
        self._on_check = on_check
        self._schedule = ReportSchedule()
        self._wake = asyncio.Event()
        load_exchange.add_kind(is_quarantine_report, decode_quarantine_report, on_report)

    @property
    def instance_count(self) -> int:
        """Number of known entry instances, including this one."""
        return self._load_exchange.instance_count

    def wake(self) -> None:
        """Send what changed at once, together with other changes of this moment."""
        self._wake.set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await wait_until_set(self._wake, BURST_INTERVAL_MS)
            self._wake.clear()
            self._send_if_due()
            self._on_check()

    def _send_if_due(self) -> None:
        now_ms = self._clock.now_ms()
        peer_count = self.instance_count - 1
        if not self._schedule.is_due(self._quarantine.report_revision, peer_count, now_ms):
            return
        report = self._quarantine.report(now_ms)
        if peer_count and not report.is_empty:
            is_urgent = self._schedule.is_change(now_ms)
            datagram = encode_quarantine_report(report)
            self._load_exchange.send_to_peers(datagram, is_urgent=is_urgent)
