"""Liveness of one connection: when to send a heartbeat and when silence makes it suspect."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LinkLiveness", "LivenessBounds"]


@dataclass(frozen=True, slots=True)
class LivenessBounds:
    """Bounds of a connection's liveness.

    :param heartbeat_ms: longest time without sending a byte, in milliseconds
    :param silence_ms: longest time without receiving one, in milliseconds
    :param pause_ms: a gap between two checks above this many milliseconds is a pause of ours
    """

    heartbeat_ms: int = 2_700
    silence_ms: int = 3_500
    pause_ms: int = 1_000


class LinkLiveness:
    """Liveness of one connection; it says nothing about the peer behind it.

    :param bounds: bounds in milliseconds
    :param now_ms: instant at which the connection was opened
    """

    def __init__(self, bounds: LivenessBounds, now_ms: int) -> None:
        self._bounds = bounds
        self._heard_ms = now_ms
        self._sent_ms = now_ms

    def heard(self, now_ms: int) -> None:
        """Note that bytes were received."""
        self._heard_ms = max(self._heard_ms, now_ms)

    def sent(self, now_ms: int) -> None:
        """Note that bytes were handed to the connection."""
        self._sent_ms = max(self._sent_ms, now_ms)

    def resumed(self, now_ms: int) -> None:
        """Grant the peer a whole bound after a pause of this process, which read nothing."""
        self._heard_ms = max(self._heard_ms, now_ms)

    def heartbeat_due(self, now_ms: int) -> bool:
        """Tell whether a heartbeat has to be sent now."""
        return now_ms - self._sent_ms >= self._bounds.heartbeat_ms

    def silent(self, now_ms: int) -> bool:
        """Tell whether the connection has been silent beyond its bound."""
        return now_ms - self._heard_ms >= self._bounds.silence_ms
