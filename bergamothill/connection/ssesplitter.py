"""Splits a stream of server-sent events at event boundaries without changing its bytes."""

from __future__ import annotations

import re

__all__ = ["EventSplitter"]

_EVENT_END = re.compile(rb"\r?\n\r?\n|\r\r")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Incremental splitter that returns complete events and buffers a partial one."""

    def __init__(self) -> None:
        self.last_event_id = ""
        """Id of the last complete event that had one."""

        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end in the middle of an event."""
        return bool(self._partial)

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that the chunk completes, unchanged.

        :param chunk: next bytes of the stream
        :returns: bytes of the complete events; empty if there is none
        """
        buffer = self._partial + chunk if self._partial else chunk
        end = _last_event_end(buffer)
        if end == 0:
            self._partial = buffer
            return b""
        self._partial = buffer[end:]
        events = buffer[:end]
        for match in _ID_LINE.finditer(events):
            self.last_event_id = match.group(1).decode("latin-1").strip()
        return events


def _last_event_end(buffer: bytes) -> int:
    if buffer.endswith(b"\n\n"):
        return len(buffer)
    end = 0
    for match in _EVENT_END.finditer(buffer):
        end = match.end()
    return end
