"""HTTP/1.1 towards callers: one protocol object for each connection, on the event loop.

Requests of one connection are answered in order, one at a time. Reading never stops while a
request is in progress, because the end of the connection is what tells that its caller has left.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

import httptools

from bergamothill.clock import Clock, seconds
from bergamothill.request.callerrequest import Header, RawRequest
from bergamothill.version.routetable import CallerLimits

__all__ = ["CallerConnection", "CallerHandler"]

MAX_PIPELINED_BYTES = 262_144
"""Bytes of further requests that are kept while one is in progress."""

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class CallerHandler(Protocol):
    """What answers the requests of a connection."""

    def limits(self) -> CallerLimits:
        """Return the bounds in force."""

    def is_draining(self) -> bool:
        """Tell whether connections are to be given up after their present answer."""

    def start(self, connection: CallerConnection, request: RawRequest) -> Callable[[], None]:
        """Begin to answer a request; returns what stops the work when the caller leaves."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    :param handler: answers the requests
    :param clock: source of time
    :param register: told of the connection's start (True) and end (False)
    """

    def __init__(
        self,
        handler: CallerHandler,
        clock: Clock,
        register: Callable[[CallerConnection, bool], None],
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._register = register
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiting: deque[tuple[RawRequest, bool]] = deque()
        self._waiting_bytes = 0
        self._stop: Callable[[], None] | None = None
        self._keeps_alive = True
        self._answer_started = False
        self._is_head = False
        self._is_closed = False
        self._timer: asyncio.TimerHandle | None = None
        self._reset_message()

    # Life of the connection.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a new connection."""
        self._transport = transport
        self._register(self, True)
        self._await_request(self._handler.limits().header_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop what is in progress: the caller has left."""
        self._is_closed = True
        self._cancel_timer()
        self._register(self, False)
        self._waiting.clear()
        if self._stop is not None:
            stop, self._stop = self._stop, None
            stop()

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or partly read."""
        return self._stop is not None or self._in_message or bool(self._waiting)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if not self.is_busy and self._transport is not None:
            self._transport.close()

    # Reading.

    def data_received(self, data: bytes) -> None:
        """Read what the caller sent."""
        if self._is_closed or not self._keeps_alive:
            return
        if self._stop is not None:
            self._waiting_bytes += len(data)
            if self._waiting_bytes > MAX_PIPELINED_BYTES:
                self._refuse(413)
                return
        if not self._in_message and self._stop is None:
            self._arrived_ms = self._clock.now_ms()
        if not self._has_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(self._fault or 400)
        else:
            if not self._has_head and self._head_bytes > self._handler.limits().header_bytes:
                self._refuse(431)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reset_message()
        self._in_message = True
        self._arrived_ms = self._clock.now_ms()
        if self._stop is None:
            self._await_request(self._handler.limits().header_timeout_ms)

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; trailers are refused."""
        if self._has_head:
            self._fault = 400
            raise ValueError("trailer fields are not accepted")
        if not name or name[-1:].isspace() or b"\n" in value or b"\r" in value or b"\0" in value:
            self._fault = 400
            raise ValueError("malformed header field")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head."""
        self._has_head = True
        limits = self._handler.limits()
        size = len(self._target) + sum(len(n) + len(v) + 4 for n, v in self._headers)
        if size > limits.header_bytes:
            self._fault = 431
            raise ValueError("request head too large")
        self._cancel_timer()
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"content-length" and int(value) > limits.body_bytes:
                self._fault = 413
                raise ValueError("request body too large")
            if lower == b"expect" and value.lower() == b"100-continue" and self._stop is None:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._handler.limits().body_bytes:
            self._fault = 413
            raise ValueError("request body too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand the request on, or keep it until the one before is answered."""
        raw = RawRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b"".join(self._body),
            arrived_ms=self._arrived_ms,
        )
        keeps_alive = self._parser.should_keep_alive()
        self._reset_message()
        self._waiting.append((raw, keeps_alive))
        if self._stop is None:
            self._begin_next()

    def _begin_next(self) -> None:
        raw, self._keeps_alive = self._waiting.popleft()
        self._is_head = raw.method == b"HEAD"
        self._waiting_bytes = 0
        self._answer_started = False
        self._cancel_timer()
        self._stop = _nothing
        stop = self._handler.start(self, raw)
        if self._stop is not None:
            self._stop = stop

    def _reset_message(self) -> None:
        self._in_message = False
        self._has_head = False
        self._target = b""
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._fault = 0
        self._arrived_ms = 0

    def _refuse(self, status: int) -> None:
        """Answer a request that cannot be read, and close."""
        self._keeps_alive = False
        if self._stop is None and not self._answer_started:
            self.answer(status, [], b"")
        elif self._transport is not None:
            self._transport.abort()

    # Answering.

    def reject(self, status: int) -> None:
        """Answer a request whose extent or meaning is in doubt, and close."""
        self._keeps_alive = False
        self.answer(status, [], b"")

    def answer(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a whole answer.

        :param status: HTTP status
        :param headers: header fields, without those of the connection
        :param body: whole body
        """
        if self._is_closed:
            return
        self._settle_keep_alive()
        lines = self._head(status, headers)
        # An answer to HEAD has no body; the length of the one that GET would get is not known.
        lines.append(b"\r\n" if self._is_head else b"Content-Length: %d\r\n\r\n" % len(body))
        self._transport.write(b"\r\n".join(lines) + body)
        self._end_answer()

    def start_stream(self, status: int, headers: list[Header], first: bytes) -> None:
        """Send the head of an answer of unknown length and its first bytes."""
        if self._is_closed:
            return
        self._settle_keep_alive()
        self._answer_started = True
        lines = self._head(status, headers)
        lines.append(b"Transfer-Encoding: chunked\r\n\r\n")
        self._transport.write(b"\r\n".join(lines) + _chunk(first))

    def send(self, piece: bytes) -> None:
        """Send the next bytes of a streamed answer."""
        if piece and not self._is_closed and not self._transport.is_closing():
            self._transport.write(_chunk(piece))

    def end_stream(self) -> None:
        """End a streamed answer that is whole."""
        if not self._is_closed:
            self._transport.write(b"0\r\n\r\n")
            self._end_answer()

    def break_off(self) -> None:
        """Close the connection so that the answer cannot look whole."""
        self._stop = None
        if self._transport is not None and not self._is_closed:
            self._transport.abort()

    def _settle_keep_alive(self) -> None:
        if self._handler.is_draining():
            self._keeps_alive = False

    def _head(self, status: int, headers: list[Header]) -> list[bytes]:
        lines = [b"HTTP/1.1 %d %s" % (status, _REASONS.get(status, b"Status"))]
        lines.extend(b"%s: %s" % header for header in headers)
        if not self._keeps_alive:
            lines.append(b"Connection: close")
        return lines

    def _end_answer(self) -> None:
        self._stop = None
        self._answer_started = False
        if not self._keeps_alive:
            self._transport.close()
        elif self._waiting:
            self._begin_next()
        elif not self._in_message:
            self._await_request(self._handler.limits().idle_timeout_ms)

    # Time limits.

    def _await_request(self, timeout_ms: int) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds(timeout_ms), self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._in_message and not self._has_head:
            self._refuse(408)
        elif not self.is_busy and self._transport is not None:
            self._transport.close()


def _nothing() -> None:
    """Stand in for a request that has nothing to stop yet."""


def _chunk(piece: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(piece), piece) if piece else b""
