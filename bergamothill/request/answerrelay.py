"""Relays the answers of one request's attempts to its caller, whole events and whole bodies only.

Nothing is sent to the caller before an answer is known to be its own and to be a success, so that
a further attempt can still replace it.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from bergamothill.connection.eventsplit import EventSplitter
from bergamothill.ids import RequestId
from bergamothill.request.callerrequest import AnswerHead, Header

__all__ = ["AnswerRelay", "AttemptVerdict", "CallerSide"]


class CallerSide(Protocol):
    """What a relay does to the caller's connection."""

    def answer(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a whole answer."""

    def start_stream(self, status: int, headers: list[Header], first: bytes) -> None:
        """Begin an answer of unknown length."""

    def send(self, piece: bytes) -> None:
        """Send the next bytes."""

    def end_stream(self) -> None:
        """End a whole answer of unknown length."""


class AttemptVerdict(Enum):
    """What an attempt's answer was."""

    NONE = "none"
    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    NOT_OURS = "not_ours"
    """It bears another request's id, or no signature."""


class AnswerRelay:
    """Answer of one request, over all of its attempts.

    :param caller: connection of the caller
    :param request_id: id that an answer must bear
    :param is_stream: the route's answers are event streams
    :param decode: decodes the head of an answer
    :param on_first: called when the first bytes go to the caller
    :param on_bytes: called when bytes came from the server
    """

    def __init__(
        self,
        caller: CallerSide,
        request_id: RequestId,
        *,
        is_stream: bool,
        decode: Callable[[int, list[Header]], AnswerHead],
        on_first: Callable[[], None],
        on_bytes: Callable[[], None],
    ) -> None:
        self._on_bytes = on_bytes
        self.stream_started = False
        self._caller = caller
        self._request_id = request_id
        self._is_stream = is_stream
        self._decode = decode
        self._on_first = on_first
        self._splitter = EventSplitter()
        self.begin_attempt()

    def begin_attempt(self) -> None:
        """Forget what the attempt before left unfinished."""
        last_event_id = self._splitter.last_event_id
        self._splitter = EventSplitter()
        self._splitter.last_event_id = last_event_id
        self._body: list[bytes] = []
        self.head: AnswerHead | None = None
        self.verdict = AttemptVerdict.NONE

    @property
    def last_event_id(self) -> str:
        """Id of the last event that the caller was sent."""
        return self._splitter.last_event_id if self.stream_started else ""

    @property
    def is_whole(self) -> bool:
        """Whether a complete body is a whole answer."""
        return not self._splitter.has_partial_event

    def on_head(self, status: int, headers: list[Header]) -> AnswerHead | None:
        """Judge the head of an answer; None stops the exchange."""
        head = self.head = self._decode(status, headers)
        self.verdict = self._judge(head)
        if self.verdict in (AttemptVerdict.NOT_RUN, AttemptVerdict.NOT_OURS):
            return None
        return head

    def _judge(self, head: AnswerHead) -> AttemptVerdict:
        if head.is_not_run:
            return AttemptVerdict.NOT_RUN
        is_success = 200 <= head.status < 300
        if head.request_id != self._request_id or (is_success and not head.is_signed):
            return AttemptVerdict.NOT_OURS
        return AttemptVerdict.SUCCESS if is_success else AttemptVerdict.FAILURE

    def on_body(self, piece: bytes) -> None:
        """Take the next bytes of the body."""
        self._on_bytes()
        if not self._is_stream or self.verdict is not AttemptVerdict.SUCCESS:
            self._body.append(piece)
            return
        events = self._splitter.feed(piece)
        if not events:
            return
        if self.stream_started:
            self._caller.send(events)
            return
        self.stream_started = True
        self._on_first()
        self._caller.start_stream(self.head.status, self.head.headers, events)

    def deliver(self) -> None:
        """Send the answer, which is whole."""
        if self.stream_started:
            self._caller.end_stream()
        else:
            self._on_first()
            self._caller.answer(self.head.status, self.head.headers, b"".join(self._body))
