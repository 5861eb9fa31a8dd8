"""Requests that wait for room at the engines, and whether waiting can still help; no I/O.

It answers the load at which requests in progress fill the engines' memory: one more would make an
engine preempt a run and read its prompt again, which slows all others.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ["WaitingLine", "WaitingRequest"]

RATE_WINDOW_MS = 2_000
"""Time over which the rate of admissions is measured."""

LEAST_ADMISSIONS = 4
"""Admissions in the window below which the rate says nothing."""


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits.

    :param urgency: 0 comes first
    :param arrived_ms: when it arrived
    :param tokens: memory that it needs at an engine
    :param timely_until_ms: until when an engine can still answer it within its objective
    :param leaves_ms: when its caller gives up if nothing was sent to it
    """

    urgency: int
    arrived_ms: int
    tokens: int
    timely_until_ms: int
    leaves_ms: int

    def place(self, now_ms: int) -> tuple[int, bool, int]:
        """Return the request's place in the line; lower comes first."""
        return (self.urgency, now_ms > self.timely_until_ms, self.arrived_ms)


class WaitingLine:
    """Line of one service at one entry instance.

    Urgency comes first. Among equals those that can still be answered within their objective come
    before those that are late anyway; each group is served in order of arrival. First come, first
    served alone would make all of them late once the line is as long as the objective.
    """

    def __init__(self) -> None:
        self._waiting: list[WaitingRequest] = []
        self._admitted: deque[tuple[int, int]] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def join(self, request: WaitingRequest, now_ms: int) -> bool:
        """Let a request wait.

        :returns: False when those before it will take longer than its caller waits
        """
        if now_ms + self._expected_wait_ms(request, now_ms) >= request.leaves_ms:
            return False
        self._waiting.append(request)
        return True

    def head(self, now_ms: int) -> WaitingRequest | None:
        """Return the request that comes next; it stays in the line."""
        return min(self._waiting, key=lambda request: request.place(now_ms), default=None)

    def leave(self, request: WaitingRequest) -> None:
        """Take a request out of the line."""
        if request in self._waiting:
            self._waiting.remove(request)

    def admitted(self, tokens: int, now_ms: int) -> None:
        """Count a request that was sent to an engine."""
        self._admitted.append((now_ms, tokens))
        self._drop_old(now_ms)

    def _drop_old(self, now_ms: int) -> None:
        while self._admitted and self._admitted[0][0] < now_ms - RATE_WINDOW_MS:
            self._admitted.popleft()

    def _expected_wait_ms(self, request: WaitingRequest, now_ms: int) -> float:
        self._drop_old(now_ms)
        if len(self._admitted) < LEAST_ADMISSIONS:
            return 0.0
        place = request.place(now_ms)
        before = sum(r.tokens for r in self._waiting if r.place(now_ms) < place)
        rate = sum(tokens for _, tokens in self._admitted) / RATE_WINDOW_MS
        return before / rate if rate > 0 else 0.0
