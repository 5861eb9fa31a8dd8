"""Keeps requests waiting for room at the engines, on the event loop."""

from __future__ import annotations

import asyncio

from bergamothill.clock import Clock, seconds
from bergamothill.request.waitingline import WaitingLine, WaitingRequest

__all__ = ["LineKeeper"]

LEAST_TRY_INTERVAL_MS = 25  # half of the interval of load reports


class LineKeeper:
    """The waiting line of one service.

    :param clock: source of time
    """

    def __init__(self, clock: Clock) -> None:
        self.line = WaitingLine()
        self._clock = clock
        self._turns: dict[int, asyncio.Event] = {}

    async def wait_turn(self, request: WaitingRequest) -> None:
        """Wait until it is worth trying again; the request has joined the line.

        :param request: request that waits
        """
        turn = self._turns.setdefault(id(request), asyncio.Event())
        turn.clear()
        try:
            async with asyncio.timeout(seconds(4 * LEAST_TRY_INTERVAL_MS)):
                await turn.wait()
        except TimeoutError:
            pass  # room may also come from the others, whose reports can be lost

    def leave(self, request: WaitingRequest) -> None:
        """Take a request out of the line."""
        self.line.leave(request)
        self._turns.pop(id(request), None)
        self.room_changed()

    def room_changed(self) -> None:
        """Let the first in the line try."""
        head = self.line.head(self._clock.now_ms())
        if head is not None and id(head) in self._turns:
            self._turns[id(head)].set()
