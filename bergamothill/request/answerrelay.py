"""Relays the answer of a request to its caller, in complete events and complete bodies only.

Nothing is sent to the caller until the answer is known to belong to the request and to be a
success. Until then another attempt can still replace it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from bergamothill.connection.ssesplitter import EventSplitter, has_event, is_later_event
from bergamothill.errors import ProtocolError
from bergamothill.ids import RequestId
from bergamothill.request.blockbody import BLOCK_BYTES
from bergamothill.request.bodybuffer import BodyBuffer
from bergamothill.request.bufferbudget import BufferBudget, Reservation
from bergamothill.request.callerrequest import Header, ResponseHead

__all__ = ["AnswerListener", "AnswerRelay", "AttemptVerdict", "CallerSide"]


class CallerSide(Protocol):
    """Interface of the caller's connection."""

    def send_response(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a complete answer."""

    def send_blocks(self, status: int, headers: list[Header], blocks: Sequence[bytes]) -> None:
        """Send a complete answer whose body is in several blocks."""

    def start_chunked_response(self, status: int, headers: list[Header], first: bytes) -> None:
        """Start an answer of unknown length."""

    def send_chunk(self, piece: bytes) -> None:
        """Send the next bytes of the body."""

    def end_chunked_response(self) -> None:
        """End an answer of unknown length that is complete."""


class AttemptVerdict(Enum):
    """Classification of the answer of an attempt."""

    NONE = "none"
    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    UNVERIFIED = "not_ours"
    """The answer has another request's id, or is a success without a signature."""


class AnswerListener:
    """Learns of the answer of one attempt; by default it ignores all of it."""

    def on_first(self) -> None:
        """Handle the first bytes of the request's answer, right before they are sent."""

    def on_bytes(self) -> None:
        """Handle the arrival of bytes of the body from the server."""

    def on_progress(self) -> None:
        """Handle events of the answer that are more than comments."""

    def on_own_head(self, head: ResponseHead) -> None:
        """Handle the head of an answer that belongs to the request."""

    def on_events(self) -> None:
        """Handle events of the answer that go on where the caller's stream stands.

        :raises ProtocolError: they must not be passed on
        """


@dataclass(slots=True)
class _CallerStream:
    """How far the stream to the caller has got.

    :param is_started: whether the head and an event were sent
    :param last_event_id: id of the last event that was sent
    :param writes: number of writes so far
    """

    is_started: bool = False
    last_event_id: str = ""
    writes: int = 0


class AnswerRelay:
    """Relay of the answer of one request, across successive attempts.

    Attempts that run at the same time have a relay each, see :meth:`fork`. A relay writes only
    while the caller's stream stands where its attempt began or where it has brought it itself, so
    that the events of two attempts are never interleaved.

    :param caller: connection of the caller
    :param request_id: request id that an answer must have
    :param is_stream: whether the answers of the route are event streams
    :param budget: memory for the bodies of unfinished answers
    :param decode: decodes the head of an answer
    """

    def __init__(
        self,
        caller: CallerSide,
        request_id: RequestId,
        *,
        is_stream: bool,
        budget: BufferBudget,
        decode: Callable[[int, list[Header]], ResponseHead],
    ) -> None:
        self._stream = _CallerStream()
        self._caller = caller
        self._request_id = request_id
        self._is_stream = is_stream
        self._decode = decode
        self._splitter = EventSplitter()
        self._budget = budget
        self._body = BodyBuffer(budget)
        self._partial = Reservation(budget)
        self.begin_attempt()

    def fork(self) -> AnswerRelay:
        """Return a relay for an attempt beside the one in progress."""
        relay = AnswerRelay(
            self._caller,
            self._request_id,
            is_stream=self._is_stream,
            budget=self._budget,
            decode=self._decode,
        )
        relay._stream = self._stream
        return relay

    def claim_stream(self) -> None:
        """Let no attempt beside this one write any more."""
        self._stream.writes += 1
        self._position = self._stream.writes

    def begin_attempt(self, listener: AnswerListener | None = None) -> None:
        """Discard the unfinished answer of the previous attempt.

        :param listener: learns of the answer of the new attempt
        """
        self._listener = listener or AnswerListener()
        self._splitter = EventSplitter()
        self._splitter.last_event_id = self._stream.last_event_id
        self._position = self._stream.writes
        self.discard_body()
        self._has_event = False
        self.has_written = False
        """Whether events of this attempt were sent to the caller."""

        self.head: ResponseHead | None = None
        self.verdict = AttemptVerdict.NONE

    def discard_body(self) -> None:
        """Release the memory of the buffered body, and of the event that has begun."""
        self._body.clear()
        self._partial.try_resize(0)

    @property
    def last_event_id(self) -> str:
        """Id of the last event sent to the caller; empty if none was sent."""
        return self._stream.last_event_id

    @property
    def status(self) -> int:
        """Status of the answer of this attempt; 0 before its head has come."""
        return 0 if self.head is None else self.head.status

    @property
    def stream_started(self) -> bool:
        """Whether events were sent to the caller."""
        return self._stream.is_started

    @property
    def may_write(self) -> bool:
        """Whether no other attempt has brought the caller's stream further."""
        return self._position == self._stream.writes

    @property
    def is_whole(self) -> bool:
        """Whether the body received so far ends at an event boundary."""
        return not self._splitter.has_partial_event

    @property
    def lacks_events(self) -> bool:
        """Whether the answer is a stream of which no event was received in this attempt."""
        return self._is_stream and self.verdict is AttemptVerdict.SUCCESS and not self._has_event

    def on_head(self, status: int, headers: list[Header]) -> ResponseHead | None:
        """Handle the head of an answer; return None to stop the exchange."""
        head = self.head = self._decode(status, headers)
        self.verdict = self._classify(head)
        # A refusal may come without an id, as the server has not read the request.
        is_refused = self.verdict is AttemptVerdict.NOT_RUN
        is_own_refusal = is_refused and head.request_id in ("", self._request_id)
        if is_own_refusal or self.verdict in (AttemptVerdict.SUCCESS, AttemptVerdict.FAILURE):
            self._listener.on_own_head(head)
        if self.verdict in (AttemptVerdict.NOT_RUN, AttemptVerdict.UNVERIFIED):
            return None
        return head

    def _classify(self, head: ResponseHead) -> AttemptVerdict:
        if head.is_not_executed:
            return AttemptVerdict.NOT_RUN
        is_success = 200 <= head.status < 300
        if head.request_id != self._request_id or (is_success and not head.has_server_signature):
            return AttemptVerdict.UNVERIFIED
        return AttemptVerdict.SUCCESS if is_success else AttemptVerdict.FAILURE

    def on_body(self, piece: bytes) -> None:
        """Handle the next bytes of the body.

        :raises ProtocolError: the body, or an event of it, is too large, or a resumed stream begins
            again
        """
        self._listener.on_bytes()
        if not self._is_stream or self.verdict is not AttemptVerdict.SUCCESS:
            self._body.append(piece)
            return
        events = self._splitter.feed(piece)
        if self._begins_again():
            raise ProtocolError("resumed stream begins again", step="forward.body")
        if not self._partial.try_resize(self._splitter.partial_bytes):
            raise ProtocolError("unfinished answers take too much memory", step="forward.body")
        if not events:
            return
        if not has_event(events):
            # Comments show no progress: they neither begin a stream nor let a stalled one go on.
            if self.may_write and self._stream.is_started:
                self._caller.send_chunk(events)
            return
        self._has_event = True
        self._listener.on_progress()
        if not self.may_write:
            return
        self._listener.on_events()
        self.has_written = True
        stream, is_first = self._stream, not self._stream.is_started
        stream.is_started = True
        stream.last_event_id = self._splitter.last_event_id
        stream.writes += 1
        self._position = stream.writes
        if is_first:
            self._listener.on_first()
            self._caller.start_chunked_response(self.head.status, self.head.headers, events)
        else:
            self._caller.send_chunk(events)

    def _begins_again(self) -> bool:
        """Return whether the first event of this attempt is one that the caller has already."""
        sent, first = self._stream.last_event_id, self._splitter.first_event_id
        is_resumed = bool(sent and first) and not self.has_written
        return is_resumed and self.may_write and not is_later_event(first, sent)

    def deliver(self) -> None:
        """Finish the answer to the caller; its body has to be complete."""
        if self.stream_started:
            self._caller.end_chunked_response()
        else:
            self._listener.on_first()
            status, headers = self.head.status, self.head.headers
            if len(self._body) > BLOCK_BYTES:
                self._caller.send_blocks(status, headers, self._body.blocks())
            else:
                self._caller.send_response(status, headers, self._body.content())
