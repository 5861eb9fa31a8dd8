"""Makes a call that is asked for often at most once in an interval, on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from bergamothill.clock import Clock, ms_to_seconds

__all__ = ["PacedCall"]


class PacedCall:
    """Makes a call at once, or at the end of the interval since the last one.

    :param clock: source of time
    :param interval_ms: shortest time between two calls
    :param call: called without arguments
    :param is_needed: returns whether a call has any effect
    """

    def __init__(
        self,
        clock: Clock,
        interval_ms: int,
        call: Callable[[], None],
        is_needed: Callable[[], bool] = lambda: True,
    ) -> None:
        self._clock = clock
        self._interval_ms = interval_ms
        self._call = call
        self._is_needed = is_needed
        self._called_ms: int | None = None
        self._timer: asyncio.TimerHandle | None = None

    def ask(self) -> None:
        """Ask for a call; one that is due already counts."""
        if self._timer is not None or not self._is_needed():
            return
        now_ms = self._clock.now_ms()
        called_ms = self._called_ms
        if called_ms is None or now_ms - called_ms >= self._interval_ms:
            self._run()
            return
        delay_ms = self._interval_ms - (now_ms - called_ms)
        self._timer = asyncio.get_running_loop().call_later(ms_to_seconds(delay_ms), self._run)

    def _run(self) -> None:
        self._timer = None
        self._called_ms = self._clock.now_ms()
        self._call()
