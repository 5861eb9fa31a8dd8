"""Splits a stream of server-sent events at event boundaries without changing its bytes."""

from __future__ import annotations

import re

from bergamothill.errors import ProtocolError

__all__ = ["MAX_EVENT_BYTES", "EventSplitter", "has_event", "is_later_event"]

MAX_EVENT_BYTES = 262_144
"""Largest unfinished event that is buffered."""

MAX_ID_DIGITS = 18

_MAX_EVENT_END_BYTES = 4
_EVENT_END = re.compile(rb"\r?\n\r?\n|\r\r")
_EVENTS = re.compile(
    rb"(?:\xef\xbb\xbf)?(?:(?:[A-Za-z0-9_-]*+:[^\r\n]*+|data|event|id|retry)?(?:\r\n|\r|\n))*+"
)
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
_FIELD_LINE = re.compile(rb"(?:^|[\r\n])[^:\r\n]")


def has_event(events: bytes) -> bool:
    """Return whether complete events have a field, and are not comments alone."""
    return _FIELD_LINE.search(events) is not None


def is_later_event(event_id: str, before: str) -> bool:
    """Return whether an event may follow another one; ids that are no numbers are not compared."""
    if not (before.isascii() and before.isdecimal() and event_id.isascii()):
        return True
    if not event_id.isdecimal() or max(len(event_id), len(before)) > MAX_ID_DIGITS:
        return True
    return int(event_id) > int(before)


class EventSplitter:
    """Incremental splitter that returns complete events and buffers a partial one."""

    def __init__(self) -> None:
        self.last_event_id = ""
        """Id of the last complete event that had one."""

        self.first_event_id = ""
        """Id of the first one that was fed."""

        self._partial = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end in the middle of an event."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Size of the event that has begun."""
        return len(self._partial)

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that the chunk completes, unchanged.

        :param chunk: next bytes of the stream
        :returns: bytes of the complete events; empty if there is none
        :raises ProtocolError: the bytes are no events, or the event that has begun is too large
        """
        if not self._partial and chunk.endswith(b"\n\n"):
            events = chunk
        else:
            events = self._take_events(chunk)
        if not _EVENTS.fullmatch(events):
            raise ProtocolError("bytes are no events", step="forward.body")
        for match in _ID_LINE.finditer(events):
            self.last_event_id = match.group(1).decode("latin-1").strip()
            self.first_event_id = self.first_event_id or self.last_event_id
        return events

    def _take_events(self, chunk: bytes) -> bytes:
        partial = self._partial
        search_start = max(0, len(partial) - _MAX_EVENT_END_BYTES + 1)
        partial += chunk
        end = _last_event_end(partial, search_start)
        if len(partial) - end > MAX_EVENT_BYTES:
            raise ProtocolError("event is too large", step="forward.body")
        events = bytes(partial[:end])
        del partial[:end]
        return events


def _last_event_end(buffer: bytearray, start: int) -> int:
    if buffer.endswith(b"\n\n"):
        return len(buffer)
    end = 0
    for match in _EVENT_END.finditer(buffer, start):
        end = match.end()
    return end
