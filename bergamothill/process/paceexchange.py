"""Exchanges the paces of servers in slow start with the other entry instances."""

from __future__ import annotations

from collections.abc import Callable

from bergamothill.clock import Clock
from bergamothill.ids import EntryInstanceId
from bergamothill.process.loadexchange import LoadExchange
from bergamothill.process.pacereport import PaceReport, decode_pace, encode_pace, is_pace
from bergamothill.process.reportschedule import ReportSchedule
from bergamothill.process.serverlimits import ServerLimits

__all__ = ["PaceExchange"]

KEEPALIVE_MS = 200
"""Interval of reports while servers are in slow start; shorter than a good answer counts."""

KEEPALIVE_PER_PEER_MS = 4


class PaceExchange:
    """Sends this entry instance's reports of paces and receives those of the others.

    :param clock: source of time
    :param limits: limits of servers, with their paces
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
        load_exchange.add_kind(is_pace, decode_pace, self._on_pace_report)

    def send_if_due(self) -> None:
        """Send a report if one is due."""
        paces, now_ms = self._limits.pace, self._clock.now_ms()
        peer_count = self._load_exchange.instance_count - 1
        if not paces.has_any or not peer_count:
            return
        if self._schedule.is_due(paces.report_revision, peer_count, now_ms):
            report = paces.report(self._limits.roster.own, now_ms)
            if report.paces:
                self._load_exchange.send_to_peers(encode_pace(report), is_urgent=False)

    def _on_pace_report(self, report: PaceReport) -> None:
        self._limits.pace.merge(report, self._clock.now_ms())
        self._on_report(report.entry)
