"""Liveness of one connection: when a heartbeat is due and when the connection counts as silent."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LinkLiveness", "LivenessBounds"]


@dataclass(frozen=True, slots=True)
class LivenessBounds:
    """Time limits that determine the liveness of a connection.

    Heartbeats are sent only on idle connections, to limit the load with many peers. With the
    default limits and 0.8 s to open a new connection, a peer failure is detected within 5 s.

    :param heartbeat_ms: maximum time without sending a byte, in milliseconds
    :param silence_ms: maximum time without receiving a byte, in milliseconds
    :param pause_ms: maximum time between two checks, in milliseconds; after a longer time, this
        process is assumed to have been paused
    """

    heartbeat_ms: int = 2_700
    silence_ms: int = 3_500
    pause_ms: int = 1_000


class LinkLiveness:
    """Tracks when one connection last sent and received bytes.

    A silent connection alone does not mean that the peer has failed.

    :param bounds: time limits
    :param now_ms: time at which the connection was opened
    """

    def __init__(self, bounds: LivenessBounds, now_ms: int) -> None:
        self._bounds = bounds
        self._received_ms = now_ms
        self._sent_ms = now_ms

    def record_received(self, now_ms: int) -> None:
        """Record that bytes were received."""
        self._received_ms = max(self._received_ms, now_ms)

    def record_sent(self, now_ms: int) -> None:
        """Record that bytes were written to the connection."""
        self._sent_ms = max(self._sent_ms, now_ms)

    def record_pause(self, now_ms: int) -> None:
        """Restart the silence timeout, because this process was paused and could not read."""
        self._received_ms = max(self._received_ms, now_ms)

    def is_heartbeat_due(self, now_ms: int) -> bool:
        """Return whether a heartbeat is due."""
        return now_ms - self._sent_ms >= self._bounds.heartbeat_ms

    def is_silent(self, now_ms: int) -> bool:
        """Return whether no byte has been received for ``silence_ms``."""
        return now_ms - self._received_ms >= self._bounds.silence_ms
