"""Simulated time of the proofs whose worlds are driven by events."""

from __future__ import annotations

import heapq
import random


class EventWorld:
    """Runs actions at simulated times.

    :param rng: source of all random choices
    :param now_ms: time at the start, in milliseconds
    """

    def __init__(self, rng: random.Random, now_ms: int = 0) -> None:
        self.rng = rng
        self.now_ms = now_ms
        self._events = []
        self._count = 0

    def after(self, delay_ms, action):
        """Run an action later; those of the same time run in the order of these calls."""
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._count, action))

    def run_for(self, duration_ms):
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = end_ms
