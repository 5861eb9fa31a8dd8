"""Answer stream: puts the events of one run in order and never lets a part pass as the whole.

Events may arrive late, twice or out of order, and over several connections. They leave in
sequence, each once. A hole is fetched again; a stream that cannot be finished ends in a typed
error.
"""

from __future__ import annotations

from enum import Enum

from bergamothill.connection.engine import EventKind, StreamEvent

__all__ = ["AnswerStream", "StreamPhase"]

MAX_HELD_EVENTS = 1_024
CANCELLED = "cancelled"


class StreamPhase(Enum):
    """Where a stream stands."""

    OPEN = "open"
    COMPLETE = "complete"
    FAILED = "failed"


class AnswerStream:
    """State of one answer stream at one entry instance.

    :param after: last sequence that the caller already has; -1 for none
    """

    def __init__(self, after: int = -1) -> None:
        self.after = after
        self.phase = StreamPhase.OPEN
        self.failure = ""
        self._held: dict[int, StreamEvent] = {}

    @property
    def has_hole(self) -> bool:
        """Events are held because an earlier one is missing."""
        return bool(self._held)

    def receive(self, event: StreamEvent) -> tuple[StreamEvent, ...]:
        """Take an event from the engine.

        :param event: event as it arrived
        :returns: events that the caller gets now, in sequence
        """
        if self.phase is not StreamPhase.OPEN or event.sequence <= self.after:
            return ()
        if event.sequence == self.after + 1 and not self._held:
            return self._deliver(event)
        if len(self._held) < MAX_HELD_EVENTS:
            self._held[event.sequence] = event
        return self._release()

    def connection_lost(self) -> int:
        """Forget what is held, and return the position to resume after.

        Held events are sent again by the engine, because a resumption starts at the hole.

        :returns: last sequence that the caller has
        """
        self._held.clear()
        return self.after

    def _release(self) -> tuple[StreamEvent, ...]:
        ready: list[StreamEvent] = []
        while self.phase is StreamPhase.OPEN and self.after + 1 in self._held:
            ready += self._deliver(self._held.pop(self.after + 1))
        return tuple(ready)

    def _deliver(self, event: StreamEvent) -> tuple[StreamEvent, ...]:
        self.after = event.sequence
        if event.kind is EventKind.END and event.finish_reason == CANCELLED:
            # The engine ends a cancelled run as any other; its text is not the whole answer.
            self.phase = StreamPhase.FAILED
            self.failure = CANCELLED
            return ()
        if event.kind is EventKind.END:
            self.phase = StreamPhase.COMPLETE
        elif event.kind is EventKind.ERROR:
            self.phase = StreamPhase.FAILED
            self.failure = event.text
        return (event,)
