"""Splits a stream of server-sent events into whole events, kept byte for byte."""

from __future__ import annotations

import re

__all__ = ["EventSplitter"]

_EVENT_END = re.compile(rb"\r?\n\r?\n|\r\r")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Cuts a stream after its last whole event; feed it the bytes as they arrive."""

    def __init__(self) -> None:
        self.last_event_id = ""
        """Id of the last whole event that had one."""

        self._rest = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the stream stands in the middle of an event."""
        return bool(self._rest)

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that the chunk completes, unchanged.

        :param chunk: next bytes of the stream
        :returns: whole events, or nothing
        """
        buffer = self._rest + chunk if self._rest else chunk
        end = _last_event_end(buffer)
        if end == 0:
            self._rest = buffer
            return b""
        self._rest = buffer[end:]
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
