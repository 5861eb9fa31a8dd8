"""Lets requests that the configuration may lack wait for a newer read of it; on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from bergamothill.clock import Clock
from bergamothill.logs import EventLog
from bergamothill.process.configstate import Admission, ConfigState, Verdict
from bergamothill.process.wakeup import wait_until_set
from bergamothill.request.callerrequest import CallerRequest

__all__ = ["ConfigConfirmation"]

MAX_WAIT_MS = 500
MAX_WAIT_SHARE = 0.25
"""Share of the caller's time that a request may wait, so that it can come back after a refusal."""

READ_INTERVAL_MS = 200
"""Time between two reads that are asked for, however many requests wait."""

_log = EventLog("gateway")


class ConfigConfirmation:
    """Admits requests by a configuration that is recent enough to deny them.

    :param clock: source of time
    :param config: configuration in force
    """

    def __init__(self, clock: Clock, config: ConfigState) -> None:
        self._clock = clock
        self._config = config
        self._confirmed = asyncio.Event()
        self._asked_ms: int | None = None
        self.read_now: Callable[[], None] = lambda: None
        """Reads the configuration at once, also where another instance reads it."""

        self.is_readable = True
        """Whether this instance or another one of its zone can read the configuration."""

        config.on_confirmed = self._wake

    def _wake(self) -> None:
        self._confirmed.set()
        self._confirmed = asyncio.Event()

    async def admit(self, request: CallerRequest, *, may_wait: bool) -> Admission:
        """Decide whether to admit a request; wait for a newer read if that is needed to deny it.

        :param may_wait: whether the request may wait
        """
        now_ms = self._clock.now_ms()
        admission = self._admit(request, now_ms)
        until_ms = now_ms + _max_wait_ms(request, now_ms)
        while self._should_wait(admission, until_ms, now_ms) and may_wait:
            self._ask_for_read(now_ms)
            await wait_until_set(self._confirmed, min(until_ms - now_ms, READ_INTERVAL_MS))
            now_ms = self._clock.now_ms()
            admission = self._admit(request, now_ms)
            if not self._should_wait(admission, until_ms, now_ms):
                self._log_wait(request, admission, now_ms)
        return admission

    def _admit(self, request: CallerRequest, now_ms: int) -> Admission:
        return self._config.admit(request.host, request.path, request.key, now_ms)

    def _should_wait(self, admission: Admission, until_ms: int, now_ms: int) -> bool:
        is_undecided = admission.verdict is Verdict.UNCONFIRMED
        return is_undecided and self.is_readable and now_ms < until_ms

    def _ask_for_read(self, now_ms: int) -> None:
        if self._asked_ms is None or now_ms - self._asked_ms >= READ_INTERVAL_MS:
            self._asked_ms = now_ms
            self.read_now()

    def _log_wait(self, request: CallerRequest, admission: Admission, now_ms: int) -> None:
        _log.info(
            "config_awaited",
            request=request.request_id,
            verdict=admission.verdict.value,
            waited_ms=now_ms - request.raw.arrived_ms,
            config=admission.version,
            config_age_ms=admission.age_ms,
            is_readable=self.is_readable,
        )


def _max_wait_ms(request: CallerRequest, now_ms: int) -> int:
    if request.caller_timeout_ms is None:
        return MAX_WAIT_MS
    left_ms = request.raw.arrived_ms + request.caller_timeout_ms - now_ms
    return min(MAX_WAIT_MS, int(left_ms * MAX_WAIT_SHARE))
