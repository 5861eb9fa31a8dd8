"""Open connections of callers, and which of them yield when room is short; no I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Generic, TypeVar

__all__ = ["ConnectionTable", "Phase"]

STALL_MS = 1_000
"""Time without progress after which a connection yields to others."""

Connection = TypeVar("Connection")


class Phase(Enum):
    """What a connection of a caller is doing."""

    IDLE = "idle"
    RECEIVING = "receiving"
    """A part of a request of up to one block has come."""

    UPLOADING = "uploading"
    """A part of a larger request has come."""

    ANSWERING = "answering"
    """A request is in progress."""

    SENDING = "sending"
    """The caller has not read all of an answer that is complete."""

    CLOSING = "closing"
    """The last answer has been sent."""


class ConnectionTable(Generic[Connection]):
    """Connections by what they are doing, each phase in the order of their latest progress."""

    def __init__(self) -> None:
        self._phases: dict[Connection, Phase] = {}
        self._progress_ms: dict[Phase, dict[Connection, int]] = {phase: {} for phase in Phase}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._phases)

    @property
    def descriptors(self) -> int:
        """Descriptors of the connections, and of those to the servers that answer requests."""
        return len(self._phases) + len(self._progress_ms[Phase.ANSWERING])

    def set_phase(self, connection: Connection, phase: Phase, now_ms: int) -> None:
        """Record a change of what a connection is doing, or progress in it."""
        before = self._phases.get(connection)
        if before is not None:
            del self._progress_ms[before][connection]
        self._phases[connection] = phase
        self._progress_ms[phase][connection] = now_ms

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        phase = self._phases.pop(connection, None)
        if phase is not None:
            del self._progress_ms[phase][connection]

    def next_to_yield(
        self, asking: Connection, now_ms: int, *, is_large: bool
    ) -> Connection | None:
        """Return the connection that yields its memory to another one; None if there is none.

        :param asking: connection that needs memory
        :param is_large: whether it needs that for a large body, for which no small one yields
        """
        phases = [Phase.UPLOADING, Phase.SENDING]
        if not is_large:
            phases.append(Phase.RECEIVING)
        stalled = self._first(phases, asking, now_ms - STALL_MS)
        if stalled is not None or is_large:
            return stalled
        return self._first([Phase.IDLE], asking, now_ms)

    def next_to_close(self, asking: Connection, now_ms: int) -> Connection | None:
        """Return the connection that yields its descriptor to another one; None if there is none.

        :param asking: connection that needs a descriptor
        """
        unused = self._first([Phase.CLOSING, Phase.IDLE], asking, now_ms)
        if unused is not None:
            return unused
        phases = [Phase.RECEIVING, Phase.UPLOADING, Phase.SENDING]
        return self._first(phases, asking, now_ms - STALL_MS)

    def _first(
        self, phases: Iterable[Phase], asking: Connection, until_ms: int
    ) -> Connection | None:
        """Return the first connection in some phases without progress since a time."""
        for phase in phases:
            for connection, progress_ms in self._progress_ms[phase].items():
                if progress_ms > until_ms:
                    break
                if connection is not asking:
                    return connection
        return None
