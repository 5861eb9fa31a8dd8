"""Whether this entry instance reaches any backend server; no I/O and no clock.

A server that fails shows nothing of the links of this instance. Several that fail, while none
answers on a new connection, raise a suspicion, which probes of other servers settle. Answers on
connections that were open before do not count: a link may refuse new ones and carry the open ones.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from enum import Enum

__all__ = ["ReachState", "Reachability"]

SUSPICIOUS_SERVERS = 2
"""Failed servers that raise a suspicion at once, unless there are fewer servers."""

PERSISTENT_MS = 1_000
"""Time after which the failures of one server are suspicious, if no other one answers meanwhile."""

FAILURE_LIFE_MS = 3_000
"""Time for which a failure counts; longer than the back-off of a server that keeps failing."""

ROUND_INTERVAL_MS = 300
"""Time between two rounds of probes while servers are suspected or known to be out of reach."""

CLEARED_INTERVAL_MS = 1_000
"""Time after an answered round before another suspicion, as probes cost the servers connections."""

RETURN_ROUNDS = 2
"""Answered rounds in a row that show that the links are back."""


class ReachState(Enum):
    """What is known of the way from this instance to the servers."""

    REACHED = "reached"
    SUSPECTED = "suspected"
    UNREACHED = "unreached"
    """Probes have failed as well."""


class Reachability:
    """Evidence on the way from this instance to all servers together.

    :param on_suspected: called when probes are due though no round is under way
    """

    def __init__(self, on_suspected: Callable[[], None] = lambda: None) -> None:
        self.on_suspected = on_suspected
        self.state = ReachState.REACHED
        self.changed_ms: int | None = None
        """When the state last became ``UNREACHED`` or ``REACHED`` again; None if it never did."""

        self.answered_ms: int | None = None
        """When a server last answered on a new connection; None if none has."""

        self._failed_ms: dict[str, int] = {}
        self._failing_since_ms: int | None = None
        self._answered_rounds = 0
        self._next_round_ms = 0
        self._server_count = 0

    def set_server_count(self, count: int) -> None:
        """Set the number of servers that are listed."""
        self._server_count = count

    @property
    def failed_servers(self) -> int:
        """Number of servers whose failures count."""
        return len(self._failed_ms)

    def has_answer_since(self, since_ms: int) -> bool:
        """Return whether a server has answered since a time, and nothing is suspected."""
        is_reached = self.state is ReachState.REACHED and self.answered_ms is not None
        return is_reached and self.answered_ms >= since_ms

    def record_answer(self, now_ms: int) -> None:
        """Record that a server answered a request on a connection that was opened for it."""
        self.answered_ms = now_ms
        self._clear()
        if self.state is ReachState.SUSPECTED:
            self.state = ReachState.REACHED

    def record_failure(self, address: str, now_ms: int) -> None:
        """Record the failure of one server; see :meth:`record_failures`."""
        self.record_failures((address,), now_ms)

    def record_failures(self, addresses: Collection[str], now_ms: int) -> None:
        """Record servers that can't be reached, broke a connection or have been silent.

        :param addresses: their addresses
        """
        if not addresses:
            return
        self._expire(now_ms)
        self._failed_ms.update(dict.fromkeys(addresses, now_ms))
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        if self.state is not ReachState.REACHED or now_ms < self._next_round_ms:
            return
        if self._server_count and self._is_suspicious(now_ms):
            self.state = ReachState.SUSPECTED
            self.on_suspected()

    def _is_suspicious(self, now_ms: int) -> bool:
        if len(self._failed_ms) >= min(SUSPICIOUS_SERVERS, self._server_count):
            return True
        return now_ms - self._failing_since_ms >= PERSISTENT_MS

    def _expire(self, now_ms: int) -> None:
        old = [a for a, at_ms in self._failed_ms.items() if now_ms - at_ms > FAILURE_LIFE_MS]
        for address in old:
            del self._failed_ms[address]
        if not self._failed_ms:
            self._failing_since_ms = None

    def _clear(self) -> None:
        self._failed_ms.clear()
        self._failing_since_ms = None

    def next_round_ms(self, now_ms: int) -> int | None:
        """Return the time until the next round of probes; None if none is needed."""
        if self.state is ReachState.REACHED:
            return None
        return max(0, self._next_round_ms - now_ms)

    def record_round(self, is_answered: bool, now_ms: int) -> None:
        """Record the end of a round of probes on new connections to several servers.

        :param is_answered: whether any of them was answered
        """
        if not is_answered:
            self._answered_rounds = 0
            self._next_round_ms = now_ms + ROUND_INTERVAL_MS
            if self.state is ReachState.SUSPECTED:
                self._change(ReachState.UNREACHED, now_ms)
            return
        self.answered_ms = now_ms
        self._answered_rounds += 1
        needed = RETURN_ROUNDS if self.state is ReachState.UNREACHED else 1
        if self._answered_rounds < needed:
            self._next_round_ms = now_ms + ROUND_INTERVAL_MS
            return
        self._next_round_ms = now_ms + CLEARED_INTERVAL_MS
        self._answered_rounds = 0
        self._clear()
        if self.state is ReachState.UNREACHED:
            self._change(ReachState.REACHED, now_ms)
        self.state = ReachState.REACHED

    def _change(self, state: ReachState, now_ms: int) -> None:
        self.state, self.changed_ms = state, now_ms

    def record_pause(self) -> None:
        """Discard failures of a time in which this process did not run."""
        self._clear()
        if self.state is ReachState.SUSPECTED:
            self.state = ReachState.REACHED
