"""Announces long prompts to the other entry instances, on the event loop."""

from __future__ import annotations

from bergamothill.clock import Clock
from bergamothill.process.backends import BackendServer
from bergamothill.process.loadexchange import REPORT_INTERVAL_MS, LoadExchange
from bergamothill.process.prefillnotice import (
    AnnouncedPrefill,
    PrefillNotice,
    decode_prefill_notice,
    encode_prefill_notice,
    is_prefill_notice,
)

__all__ = ["PrefillExchange"]

LONG_PROMPT_TOKENS = 4_000
"""Shorter prompts are prefilled within the shortest interval between load reports."""

REPORT_MARGIN_MS = 100
"""Added to the report interval, as a busy instance sends late; a prompt may count twice in it."""


class PrefillExchange:
    """Sends and receives notices of long prompts.

    Notices are sent only where load reports come less often than an engine takes to prefill a
    prompt, so that small deployments send none.

    :param clock: source of time
    :param announced: records the notices of the others
    :param load_exchange: its socket carries the notices
    """

    def __init__(
        self, clock: Clock, announced: AnnouncedPrefill, load_exchange: LoadExchange
    ) -> None:
        self._clock = clock
        self._announced = announced
        self._load_exchange = load_exchange
        load_exchange.add_kind(is_prefill_notice, decode_prefill_notice, self._on_notice)

    def announce(self, server: BackendServer, tokens: int) -> None:
        """Tell the others that a prompt was sent to an engine.

        Instances prefer the engines of their zone; those of other zones learn by load reports.

        :param tokens: tokens that it has to prefill
        """
        if tokens >= LONG_PROMPT_TOKENS and self._load_exchange.interval_ms > REPORT_INTERVAL_MS:
            notice = PrefillNotice(server.server, server.started_wall_ms, tokens)
            self._load_exchange.send_to_zone(server.zone, encode_prefill_notice(notice))

    def _on_notice(self, notice: PrefillNotice) -> None:
        reported_ms = self._clock.now_ms() + self._load_exchange.interval_ms + REPORT_MARGIN_MS
        self._announced.record(notice, reported_ms)
