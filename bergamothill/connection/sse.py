"""Server-sent events: incremental parser and encoder, independent of the transport."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.connection.ssesplitter import MAX_EVENT_BYTES
from bergamothill.errors import Execution, ProtocolError

__all__ = ["SseEvent", "SseParser", "encode_sse"]

_EVENT_END = b"\n\n"


@dataclass(slots=True)
class SseEvent:
    """One event of a stream.

    :param event_id: value of the ``id`` field; empty when there is none
    :param data: values of the ``data`` fields, joined with newlines
    :param name: value of the ``event`` field; empty for the default
    """

    event_id: str
    data: str
    name: str = ""


class SseParser:
    """Incremental parser of one stream."""

    def __init__(self) -> None:
        self._partial = b""

    def feed(self, chunk: bytes) -> list[SseEvent]:
        """Return the events that the chunk completes.

        :param chunk: next bytes of the stream
        :returns: complete events in order; comments are dropped
        :raises ProtocolError: the event that has begun is too large
        """
        buffer = self._partial + chunk if self._partial else chunk
        if b"\r" in buffer:
            buffer = _normalize_line_endings(buffer)
        blocks = buffer.split(_EVENT_END)
        self._partial = blocks.pop()
        if len(self._partial) > MAX_EVENT_BYTES:
            raise ProtocolError("event is too large", step="sse", execution=Execution.UNKNOWN)
        events = []
        for block in blocks:
            event = _parse_block(block.decode("utf-8", "replace"))
            if event is not None:
                events.append(event)
        return events


def _normalize_line_endings(buffer: bytes) -> bytes:
    """Replace CR LF and CR by LF, except for a final CR whose LF may be in the next chunk."""
    buffer = buffer.replace(b"\r\n", b"\n")
    return buffer[:-1].replace(b"\r", b"\n") + buffer[-1:]


def _parse_block(block: str) -> SseEvent | None:
    event_id = ""
    name = ""
    data: list[str] = []
    for line in block.split("\n"):
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "data":
            data.append(value)
        elif field == "id":
            event_id = value
        elif field == "event":
            name = value
    if not data:
        return None
    return SseEvent(event_id, data[0] if len(data) == 1 else "\n".join(data), name)


def encode_sse(data: str, *, event_id: str = "", name: str = "") -> bytes:
    """Encode one event.

    :param data: payload; may contain newlines
    :param event_id: value of the ``id`` field; empty for none
    :param name: value of the ``event`` field; empty for none
    """
    head = f"id: {event_id}\n" if event_id else ""
    if name:
        head += f"event: {name}\n"
    if "\n" in data:
        data = data.replace("\n", "\ndata: ")
    return f"{head}data: {data}\n\n".encode()
