"""For how long backend servers have sent nothing, and which have stalled; no I/O, no clock."""

from __future__ import annotations

from bergamothill.ids import ServerId
from bergamothill.logs import EventLog
from bergamothill.process.observedserver import ObservedServer
from bergamothill.process.reachability import Reachability
from bergamothill.process.serverlist import ServerList

__all__ = ["ServerSilence"]

_log = EventLog("gateway")

SUSPECT_SILENCE_MS = 600
"""Silence after which an engine is avoided.

A busy engine sends events every few tens of ms, and pauses for 300 ms to load new weights.
"""

STALL_SILENCE_MS = 1_000
"""Silence after which streams resume elsewhere.

Long polls for events return within 700 ms, and events are usually delayed by 80 ms.
"""

UNREAD_STALL_SILENCE_MS = 1_700
"""The same for prompts that wait for their first token at an engine whose events are not read here.

Callers disconnect after two seconds of silence at the earliest, and the first event at another
engine takes up to 300 ms.
"""

CORROBORATING_STREAMS = 3
CORROBORATED_SILENCE_FACTOR = 0.6

MIN_PAUSE_MS = 500
"""Time without a check for stalls that shows a pause of this process.

Together with the usual time between two events it is below the shortest silence of a stall.
"""


class ServerSilence(ServerList):
    """Observed silence of all backend servers.

    The parameters are those of :class:`~bergamothill.process.serverlist.ServerList`.
    """

    def __init__(
        self, entry_expiry_ms: int, stability_window_ms: int, min_entry_life_ms: int
    ) -> None:
        super().__init__(entry_expiry_ms, stability_window_ms, min_entry_life_ms)
        self._checked_ms: int | None = None
        self.reachability = Reachability()
        """Whether this instance reaches any server."""

    def record_bytes(self, server: ServerId, now_ms: int) -> None:
        """Record that bytes were received from a server."""
        state = self._observed.get(server)
        if state is not None:
            state.last_received_ms = now_ms

    def record_reply_from(self, address: str, now_ms: int, *, is_leaving: bool) -> None:
        """Record a reply of the server at an address to a read of its cache events.

        :param is_leaving: whether the server says that it is leaving
        """
        for state in self._at_address(address):
            state.last_received_ms = now_ms
            state.has_event_reader = True
            if is_leaving and not state.is_leaving:
                self.record_leaving(state.entry)
                _log.info("server_leaving", server=state.entry.server, request="-")

    def record_events_unread(self, address: str) -> None:
        """Record that the server at an address admits no further reader of its cache events."""
        for state in self._at_address(address):
            state.has_event_reader = False

    def set_reachable(self, address: str, is_reachable: bool) -> None:
        """Record that the event connection to the server at an address was lost or restored."""
        for state in self._at_address(address):
            state.is_reachable = is_reachable

    def record_unread_source(self, address: str, now_ms: int) -> None:
        """Record that the cache events of the server or store at an address can't be read."""
        if self._at_address(address):
            self.reachability.record_failure(address, now_ms)

    def stream_began(self, server: ServerId) -> None:
        """Record that the answer to a request has begun."""
        state = self._observed.get(server)
        if state is not None:
            state.streaming += 1

    def stream_ended(self, server: ServerId) -> None:
        """Record that an answer that had begun has ended."""
        state = self._observed.get(server)
        if state is not None:
            state.streaming = max(0, state.streaming - 1)

    def record_unread(self, server: ServerId, change: int, now_ms: int) -> None:
        """Add to the number of answers of a server that are not read."""
        if (state := self._observed.get(server)) is not None:
            state.record_unread(change, now_ms)

    def record_check(self, now_ms: int) -> None:
        """Record a periodic check for stalls; silence counts anew from the end of a pause."""
        if self._has_paused(now_ms):
            for state in self._observed.values():
                state.last_received_ms = max(state.last_received_ms, now_ms)
            self.reachability.record_pause()
        self._checked_ms = now_ms
        self._record_silent_servers(now_ms)

    def _record_silent_servers(self, now_ms: int) -> None:
        silent = [
            state.entry.address
            for state in self._observed.values()
            if state.is_heard and now_ms - state.last_received_ms >= SUSPECT_SILENCE_MS
        ]
        self.reachability.record_failures(silent, now_ms)

    def _has_paused(self, now_ms: int) -> bool:
        """Return whether this process has paused since the last check for stalls."""
        return self._checked_ms is not None and now_ms - self._checked_ms >= MIN_PAUSE_MS

    def has_stalled(self, server: ServerId, now_ms: int) -> bool:
        """Return whether a server has been silent so long that its streams resume elsewhere."""
        silence_ms = self.silence_ms(server, now_ms)
        if self._may_be_silent(server):
            return silence_ms >= UNREAD_STALL_SILENCE_MS
        return silence_ms >= STALL_SILENCE_MS * self._silence_factor(server)

    def _may_be_silent(self, server: ServerId) -> bool:
        """Return whether a server sends nothing here before the first token of a prompt."""
        state = self._observed.get(server)
        return state is not None and not state.has_event_reader and state.streaming == 0

    def _silence_factor(self, server: ServerId) -> float:
        """Return the fraction of a silence timeout that is sufficient evidence of a stall.

        Several streams that pause together are earlier evidence than a single one.
        """
        state = self._observed.get(server)
        is_corroborated = state is not None and state.streaming >= CORROBORATING_STREAMS
        return CORROBORATED_SILENCE_FACTOR if is_corroborated else 1.0

    def silence_ms(self, server: ServerId, now_ms: int) -> int:
        """Return how long a server has sent nothing.

        :returns: 0 if it has no answers to be read here, or if this process has just paused
        """
        state = self._observed.get(server)
        if state is None or not state.is_heard or self._has_paused(now_ms):
            return 0
        return now_ms - state.last_received_ms

    def _is_silent(self, state: ObservedServer, now_ms: int) -> bool:
        server = state.entry.server
        bound_ms = SUSPECT_SILENCE_MS * self._silence_factor(server)
        if self._may_be_silent(server):
            bound_ms = UNREAD_STALL_SILENCE_MS
        return not state.is_reachable or self.silence_ms(server, now_ms) >= bound_ms
