"""Protocol of a connection to a backend server, which carries one exchange at a time.

On a kept connection only a response with the id of the request is passed on, as the late copy of an
earlier one may precede it.
"""

from __future__ import annotations

import asyncio
import os
import select
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import httptools

from bergamothill.clock import ms_to_seconds
from bergamothill.connection.backendpool import idle_limit_ms
from bergamothill.connection.brokenhead import has_status_line
from bergamothill.connection.opening import CONNECT_TIMEOUT_MS
from bergamothill.connection.sendqueue import SendQueue
from bergamothill.connection.socketstate import set_user_timeout, unacknowledged_bytes
from bergamothill.errors import ProtocolError
from bergamothill.request.callerrequest import Header, ResponseHead

__all__ = ["BackendConnection", "ExchangeEnd", "ExchangeResult", "ExchangeSink"]

READ_BYTES = 8_192
"""Maximum bytes to parse before other connections get their turn; may hold hundreds of events."""

MAX_FRAMING_BYTES = 65_536
"""Maximum size of the heads, chunk headers and trailers of a response with an empty body."""

MAX_FRAMING_RATIO = 8
"""Framing allowed for each byte of the body; a chunk of one byte has five bytes of framing."""

MAX_FIELDS = 256
"""Largest number of header fields; a short one takes far more memory than on the wire."""

MAX_CARRIED_REQUESTS = 100
"""Requests after which a connection is closed; it remembers their ids."""

TAIL_BYTES = 6

CERTAINLY_READ_BYTES = 65_536
"""Size up to which a request counts as read by a server that has ended its answer.

What a server has not read of a larger one may lie in its buffers.
"""

END_CONFIRM_MS = 250
"""Time in which a reset may follow, once such a request was taken and its answer has ended."""

END_CHECK_MS = 25

ACKNOWLEDGEMENT_CHECK_MS = 100

MIN_STATUS, MAX_STATUS = 100, 599

_IDLE_BUFFER = bytearray(64)
"""Buffer of all idle connections; bytes that arrive there only close the connection."""


class ExchangeEnd(Enum):
    """How an exchange ended."""

    NOT_CONNECTED = "not_connected"
    """The connection was not opened; no byte of the request was sent."""

    NOT_SENT = "not_sent"
    """The connection was opened, but no byte of the request was sent, as it was not wanted."""

    STALE = "stale"
    """A kept connection closed, or brought other bytes, before the response to this request began.

    The server may have run the request.
    """

    BROKEN = "broken"
    """The connection closed early."""

    MALFORMED = "malformed"
    """The server sent bytes that are no valid response."""

    COMPLETE = "complete"
    """The complete response was received."""

    STOPPED = "stopped"
    """The sink stopped the exchange after the response head."""


@dataclass(slots=True)
class ExchangeResult:
    """Outcome of an exchange.

    :param end: how it ended
    :param detail: description of a failure, for the log
    :param was_closed: whether the server closed or reset the connection
    """

    end: ExchangeEnd
    detail: str = ""
    was_closed: bool = False


class ExchangeSink(Protocol):
    """Receives a response as it arrives."""

    def on_head(self, status: int, headers: list[Header]) -> ResponseHead | None:
        """Handle the response head; return None to stop the exchange."""

    def on_body(self, piece: bytes) -> None:
        """Handle the next bytes of the body.

        :raises ProtocolError: the response is malformed; ends the exchange
        """


class BackendConnection(asyncio.BufferedProtocol):
    """Protocol of a connection, which carries one exchange at a time.

    :param sink: receives the first response
    :param done: result of the first exchange
    :param is_head: whether its request's method is HEAD
    :param request_id: id that its response must have for the connection to be kept
    """

    def __init__(
        self,
        sink: ExchangeSink,
        done: asyncio.Future[ExchangeResult],
        *,
        is_head: bool,
        request_id: bytes = b"",
    ) -> None:
        self.transport: asyncio.Transport | None = None
        self.on_idle_end: Callable[[BackendConnection], None] | None = None
        """Called when the connection is lost or gets bytes while it is idle."""

        self._unsent = SendQueue()
        """Rest of the request, as the server does not keep up."""

        self._carried_ids: set[bytes] = set()
        self._is_reused = False
        self._eof_received = False
        self._is_lost = False
        self._begin(sink, done, is_head=is_head, request_id=request_id)

    def reuse(
        self,
        sink: ExchangeSink,
        done: asyncio.Future[ExchangeResult],
        *,
        is_head: bool,
        request_id: bytes,
    ) -> None:
        """Begin a further exchange; the parameters are those of the first one."""
        self._is_reused = True
        self.on_idle_end = None
        self._begin(sink, done, is_head=is_head, request_id=request_id)
        # An unreachable server is told as early as by a connect timeout.
        set_user_timeout(self._socket(), CONNECT_TIMEOUT_MS)
        self._await_acknowledgement(done)

    def _await_acknowledgement(self, done: asyncio.Future[ExchangeResult]) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(ms_to_seconds(ACKNOWLEDGEMENT_CHECK_MS), self._check_acknowledgement, done)

    def _check_acknowledgement(self, done: asyncio.Future[ExchangeResult]) -> None:
        """Lift the limit once a part of the request was acknowledged, so the server is reachable.

        The kernel would also apply it to a server that acknowledges, but does not read the rest.
        """
        if done.done() or self.transport.is_closing():
            return
        unwritten_bytes = self._unsent.size_bytes + self.transport.get_write_buffer_size()
        written_bytes = self._request_bytes - unwritten_bytes
        left_bytes = unacknowledged_bytes(self._socket())
        if left_bytes is not None and left_bytes < written_bytes:
            set_user_timeout(self._socket(), 0)
        else:
            self._await_acknowledgement(done)

    def _begin(
        self,
        sink: ExchangeSink,
        done: asyncio.Future[ExchangeResult],
        *,
        is_head: bool,
        request_id: bytes,
    ) -> None:
        self.done = done
        self._sink = sink
        self._request_bytes = 0
        self._taken_for_ms = 0
        self._is_head_request = is_head
        self._request_id = request_id
        self._carried_ids.add(request_id)
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._reason = b""
        self._framing_bytes = 0
        self._head_received = False
        self._is_informational = False
        self._body_ends_at_close = False
        self._has_received = False
        self._has_surplus = False
        self._allows_keeping = False
        self._last_piece = b""
        self._tail = b""
        self._buffer = bytearray(READ_BYTES)

    # Sending.

    def send(self, request: Sequence[bytes]) -> None:
        """Write a request; what the server does not take yet is not copied.

        :param request: encoded request, in pieces
        """
        self._request_bytes += sum(map(len, request))
        self._unsent.send(self.transport, request)

    def pause_writing(self) -> None:
        """Stop writing the request, because the server does not keep up."""
        self._unsent.pause()

    def resume_writing(self) -> None:
        """Go on writing the request."""
        self._unsent.resume(self.transport)

    @property
    def _is_request_written(self) -> bool:
        return not self._unsent and self.transport.get_write_buffer_size() == 0

    @property
    def _is_request_taken(self) -> bool:
        """Whether the request was written, and a large one acknowledged by the server's machine."""
        if not self._is_request_written or self._request_bytes <= CERTAINLY_READ_BYTES:
            return self._is_request_written
        return not unacknowledged_bytes(self._socket())

    def _socket(self) -> socket.socket:
        return self.transport.get_extra_info("socket")

    # Keeping.

    @property
    def may_be_kept(self) -> bool:
        """Whether the exchange has ended so that another one can follow on the connection."""
        return (
            self.done.done()
            and not self.done.cancelled()
            and self.done.result().end is ExchangeEnd.COMPLETE
            and self._allows_keeping
            and not (self._has_surplus or self._eof_received)
            and self.transport is not None
            and not self.transport.is_closing()
            and self._is_request_written
            and len(self._carried_ids) < MAX_CARRIED_REQUESTS
        )

    @property
    def idle_limit_ms(self) -> int:
        """How long the connection may be idle, by the last response."""
        return idle_limit_ms(self._values(b"keep-alive"))

    def become_idle(self, on_idle_end: Callable[[BackendConnection], None]) -> None:
        """Release what only an exchange needs.

        :param on_idle_end: called when the connection is lost or gets bytes while it is idle
        """
        self.on_idle_end = on_idle_end
        self._buffer = _IDLE_BUFFER
        self._parser = self._sink = None
        self._headers = []

    def may_carry(self, request_id: bytes) -> bool:
        """Return whether an idle connection is open and has not carried a request with this id.

        Bytes and an end that this process has yet to read count.
        """
        if self.transport.is_closing() or request_id in self._carried_ids:
            return False
        readable = select.poll()
        events = select.POLLIN | select.POLLPRI | select.POLLRDHUP
        readable.register(self._socket().fileno(), events)
        return not readable.poll(0)

    def abort(self) -> None:
        """Close the connection at once."""
        self._unsent.clear()
        if self.transport is not None and not self._is_lost:
            self.transport.abort()

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport."""
        self.transport = transport

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer to read into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes of the response."""
        if self.done.done():
            self._has_surplus = True
            self._end_idle()
            return
        self._has_received = True
        received = memoryview(self._buffer)[:nbytes]
        if self._request_id:
            self._tail = (self._tail + bytes(received[-TAIL_BYTES:]))[-TAIL_BYTES:]
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._reject(f"malformed response: {error}")
            return
        self._framing_bytes += nbytes
        if self._framing_bytes > MAX_FRAMING_BYTES:
            part = "framing" if self._head_received else "head"
            self._finish(ExchangeEnd.MALFORMED, f"response {part} is too large")
        if self.done.done() and not self._ends_with_message():
            self._has_surplus = True

    def _reject(self, detail: str) -> None:
        """Finish the exchange because of bytes that are no response."""
        self._has_surplus = True
        is_stale = self._is_reused and not self._head_received
        self._finish(ExchangeEnd.STALE if is_stale else ExchangeEnd.MALFORMED, detail)

    def _ends_with_message(self) -> bool:
        """Return whether the last read ended with the response; the parser skips line ends."""
        if self._last_piece:
            return self._tail.endswith(self._last_piece)
        return self._tail.endswith(b"\r\n\r\n") and self._tail != b"\r\n\r\n\r\n"

    def eof_received(self) -> bool:
        """Record that the server closed its side of the connection.

        :returns: whether the connection stays open, as a reset may show that the server has not
            taken the request and that what it has sent is no complete answer
        """
        self._eof_received = True
        if self.done.done() or not self._body_ends_at_close:
            return False
        if self._is_request_written and self._request_bytes <= CERTAINLY_READ_BYTES:
            return False
        self._await_reset()
        return True

    def _await_reset(self) -> None:
        asyncio.get_running_loop().call_later(ms_to_seconds(END_CHECK_MS), self._confirm_end)

    def _confirm_end(self) -> None:
        """Finish the exchange once the request was taken for some time and no reset has come."""
        if self.done.done() or self.transport.is_closing():
            return
        error = self._socket().getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._finish(ExchangeEnd.BROKEN, os.strerror(error), was_closed=True)
            return
        self._taken_for_ms = self._taken_for_ms + END_CHECK_MS if self._is_request_taken else 0
        if self._taken_for_ms >= END_CONFIRM_MS:
            self._finish(ExchangeEnd.COMPLETE, "", was_closed=True)
        else:
            self._await_reset()

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish the exchange; closing the connection may mark the end of the body."""
        self._is_lost = True
        self._end_idle()
        if self._body_ends_at_close and self._eof_received and exc is None:
            self._finish(ExchangeEnd.COMPLETE, "", was_closed=True)
            return
        was_closed = exc is None or isinstance(exc, ConnectionError)
        detail = str(exc) if exc else "connection closed"
        # An unreachable server closes nothing, so that it is no stale connection.
        is_stale = self._is_reused and was_closed and not self._has_received
        end = ExchangeEnd.STALE if is_stale else ExchangeEnd.BROKEN
        self._finish(end, detail, was_closed=was_closed)
        # The parser refers to this connection, and keeps what it has received alive.
        self._parser, self._headers = None, []
        self._unsent.clear()

    def _end_idle(self) -> None:
        on_idle_end, self.on_idle_end = self.on_idle_end, None
        if on_idle_end is not None:
            on_idle_end(self)

    # Events of the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a response; informational responses may precede the final one."""
        if self.done.done():
            self._has_surplus = True
            return
        self._headers = []
        self._reason = b""
        self._head_received = False

    def on_status(self, reason: bytes) -> None:
        """Collect the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; trailers are ignored."""
        if self._head_received or self.done.done():
            return
        self._headers.append((name, value))
        if len(self._headers) > MAX_FIELDS:
            self._headers.clear()
            self._reject("response has too many fields")

    def on_headers_complete(self) -> None:
        """Pass the response head to the sink."""
        if self.done.done():
            return
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            self._reject(f"{status} is no status")
            return
        if has_status_line(self._reason, *(value for _, value in self._headers)):
            self._reject("response head broke off")
            return
        self._is_informational = 100 <= status < 200
        if self._is_reused and not self._is_own_head():
            self._finish(ExchangeEnd.STALE, "response to another request")
            return
        if self._is_informational:
            return
        self._head_received = True
        names = {name.lower() for name, _ in self._headers}
        self._body_ends_at_close = not names & {b"content-length", b"transfer-encoding"}
        self._allows_keeping = self._head_allows_keeping()
        if self._sink.on_head(status, self._headers) is None:
            self._finish(ExchangeEnd.STOPPED, "")
        elif self._is_head_request:
            self._finish(ExchangeEnd.COMPLETE, "")

    def _is_own_head(self) -> bool:
        """Return whether a head on a kept connection belongs to the request.

        Only an informational response may lack the id.
        """
        ids = set(self._values(b"x-request-id"))
        return ids == {self._request_id} or (not ids and self._is_informational)

    def _head_allows_keeping(self) -> bool:
        tokens = {t.strip().lower() for v in self._values(b"connection") for t in v.split(b",")}
        has_id = self._request_id and set(self._values(b"x-request-id")) == {self._request_id}
        is_framed = bool(self._values(b"content-length")) != bool(
            self._values(b"transfer-encoding")
        )
        is_framed = is_framed or self._parser.get_status_code() in (204, 304)
        is_current = self._parser.get_http_version() == "1.1"
        return bool(has_id) and is_framed and is_current and b"close" not in tokens

    def _values(self, name: bytes) -> list[bytes]:
        return [value.strip() for key, value in self._headers if key.lower() == name]

    def on_body(self, piece: bytes) -> None:
        """Pass bytes of the body to the sink."""
        if self.done.done():
            self._has_surplus = True
            return
        self._framing_bytes -= (1 + MAX_FRAMING_RATIO) * len(piece)
        self._last_piece = piece[-TAIL_BYTES:]
        try:
            self._sink.on_body(piece)
        except ProtocolError as error:
            self._finish(ExchangeEnd.MALFORMED, error.message)

    def on_chunk_complete(self) -> None:
        """Note that the body does not end with the bytes of a chunk."""
        self._last_piece = b""

    def on_message_complete(self) -> None:
        """Finish the exchange at the end of its response."""
        if not self._is_informational:
            self._finish(ExchangeEnd.COMPLETE, "")

    def _finish(self, end: ExchangeEnd, detail: str, *, was_closed: bool = False) -> None:
        if not self.done.done():
            self.done.set_result(ExchangeResult(end, detail, was_closed))
