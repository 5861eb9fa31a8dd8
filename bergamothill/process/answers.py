"""Answer sinks: write an answer as server-sent events, or collect it into one body."""

from __future__ import annotations

from collections.abc import Callable

from bergamothill.clock import Clock
from bergamothill.connection.engine import EventKind, StreamEvent
from bergamothill.errors import BergamothillError
from bergamothill.ids import RequestId, ServerId, StreamId
from bergamothill.process.chunkwriter import ChunkWriter
from bergamothill.request.chat import ChunkEncoder, Usage

__all__ = ["AnswerRecord", "CollectingSink", "EventStreamSink"]

SSE_HEADERS = [
    ("Content-Type", "text/event-stream; charset=utf-8"),
    ("Cache-Control", "no-store"),
    ("X-Accel-Buffering", "no"),
]

EncoderFactory = Callable[[ServerId, StreamId], ChunkEncoder]
Headers = list[tuple[str, str]]
OpenResponse = Callable[[Headers], ChunkWriter]


class AnswerRecord:
    """Token counts and progress of an answer.

    :param prompt_tokens: number of prompt tokens; 0 if unknown
    :param clock: source of time
    """

    def __init__(self, prompt_tokens: int, clock: Clock) -> None:
        self._clock = clock
        self.prompt_tokens = prompt_tokens
        self.cached_tokens = 0
        self.completion_tokens = 0
        self.finish_reason = ""
        self.first_token_ms: int | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the end of the answer was delivered."""
        return bool(self.finish_reason)

    def usage(self) -> Usage:
        """Return the token counts so far."""
        return Usage(self.prompt_tokens, self.cached_tokens, self.completion_tokens)

    def record_event(self, event: StreamEvent) -> None:
        """Record an event that is delivered to the caller."""
        if event.kind is EventKind.TOKEN:
            self.completion_tokens += 1
            if self.first_token_ms is None:
                self.first_token_ms = self._clock.now_ms()
        elif event.kind is EventKind.START:
            self.cached_tokens = event.cached_tokens
        elif event.kind is EventKind.END:
            self.finish_reason = event.finish_reason or "stop"


class CollectingSink:
    """Collects the text of an answer.

    :param record: record of the answer, updated with each event
    """

    def __init__(self, record: AnswerRecord) -> None:
        self.record = record
        self._pieces: list[str] = []

    @property
    def text(self) -> str:
        """Text received so far."""
        return "".join(self._pieces)

    def deliver(
        self, events: tuple[StreamEvent, ...], server: ServerId, stream_id: StreamId
    ) -> None:
        """Append the text of events."""
        for event in events:
            self.record.record_event(event)
            self._pieces.append(event.text)


class EventStreamSink:
    """Writes an answer to the caller as server-sent events.

    Nothing is written before the first event, so that a request that fails earlier still gets an
    error body with an HTTP status.

    :param open_response: sends the response head and returns the writer of the body
    :param make_encoder: creates the encoder once server and stream id are known
    :param record: record of the answer, updated with each event
    :param request_id: id of the caller's request
    """

    def __init__(
        self,
        open_response: OpenResponse,
        make_encoder: EncoderFactory,
        record: AnswerRecord,
        request_id: RequestId,
    ) -> None:
        self._open_response = open_response
        self._make_encoder = make_encoder
        self._request_id = request_id
        self._writer: ChunkWriter | None = None
        self._encoder: ChunkEncoder | None = None
        self.record = record

    @property
    def has_started(self) -> bool:
        """Whether a part of the response was written."""
        return self._writer is not None

    def deliver(
        self, events: tuple[StreamEvent, ...], server: ServerId, stream_id: StreamId
    ) -> None:
        """Write events."""
        if self._writer is None:
            self._writer = self._open_response([*SSE_HEADERS, ("X-Request-Id", self._request_id)])
            self._encoder = self._make_encoder(server, stream_id)
        for event in events:
            self.record.record_event(event)
            usage = self.record.usage() if event.kind is EventKind.END else None
            self._writer.write(self._encoder.encode(event, usage))

    def fail(self, error: BergamothillError) -> None:
        """Write an error event as the last event of a started response."""
        self._writer.write(ChunkEncoder.encode_error(error, self._request_id))

    def finish(self) -> None:
        """Wait until all written events were sent to the caller's socket."""
        if self._writer is not None:
            self._writer.finish()
