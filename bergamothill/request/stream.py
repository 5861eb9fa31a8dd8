"""Answer stream: reorders the events of one run and detects incomplete answers.

Events may arrive late, twice or out of order, and over several connections. They are delivered in
sequence, each once. Missing events are fetched again; a stream that cannot be completed ends
in a typed error.
"""

from __future__ import annotations

from enum import Enum

from bergamothill.connection.engine import EventKind, StreamEvent

__all__ = ["AnswerStream", "StreamPhase"]

MAX_BUFFERED_EVENTS = 1_024
CANCELLED = "cancelled"


class StreamPhase(Enum):
    """State of a stream."""

    OPEN = "open"
    COMPLETE = "complete"
    FAILED = "failed"


class AnswerStream:
    """Answer stream at one entry instance.

    :param after: last sequence number that the caller already has; -1 for none
    """

    def __init__(self, after: int = -1) -> None:
        self.after = after
        self.phase = StreamPhase.OPEN
        self.failure = ""
        self._buffered: dict[int, StreamEvent] = {}

    def receive(self, event: StreamEvent) -> tuple[StreamEvent, ...]:
        """Handle an event from the engine.

        :param event: event as received
        :returns: events to deliver to the caller now, in sequence
        """
        if self.phase is not StreamPhase.OPEN or event.sequence <= self.after:
            return ()
        if event.sequence == self.after + 1 and not self._buffered:
            return self._deliver(event)
        if len(self._buffered) < MAX_BUFFERED_EVENTS:
            self._buffered[event.sequence] = event
        return self._deliver_buffered()

    def connection_lost(self) -> int:
        """Discard buffered events and return the position to resume after.

        The engine sends the discarded events again, because a resumption starts at the gap.

        :returns: last sequence number that the caller has
        """
        self._buffered.clear()
        return self.after

    def _deliver_buffered(self) -> tuple[StreamEvent, ...]:
        ready: list[StreamEvent] = []
        while self.phase is StreamPhase.OPEN and self.after + 1 in self._buffered:
            ready += self._deliver(self._buffered.pop(self.after + 1))
        return tuple(ready)

    def _deliver(self, event: StreamEvent) -> tuple[StreamEvent, ...]:
        self.after = event.sequence
        if event.kind is EventKind.END and event.finish_reason == CANCELLED:
            # An engine also sends END for a cancelled run, whose text is incomplete.
            self.phase = StreamPhase.FAILED
            self.failure = CANCELLED
            return ()
        if event.kind is EventKind.END:
            self.phase = StreamPhase.COMPLETE
        elif event.kind is EventKind.ERROR:
            self.phase = StreamPhase.FAILED
            self.failure = event.text
        return (event,)
