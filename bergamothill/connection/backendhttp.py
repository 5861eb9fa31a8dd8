"""HTTP/1.1 exchange with a backend server on an asyncio event loop.

Each exchange uses a new connection, which is closed afterwards. The transport therefore never
resends a request that must run at most once, and bytes that a server sends after its response
cannot be taken for the response to another request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import httptools

from bergamothill.connection.flowgate import FlowGate
from bergamothill.connection.opening import CONNECT_TIMEOUT_MS, open_connection
from bergamothill.errors import ProtocolError
from bergamothill.request.callerrequest import Header, ResponseHead

__all__ = ["ExchangeEnd", "ExchangeResult", "ExchangeSink", "exchange"]

READ_BYTES = 8_192
"""Maximum bytes to parse before other connections get their turn; may hold hundreds of events."""

MAX_FRAMING_BYTES = 65_536
"""Maximum size of the heads, chunk headers and trailers of a response with an empty body."""

MAX_FRAMING_RATIO = 8
"""Framing allowed for each byte of the body; a chunk of one byte has five bytes of framing."""


class ExchangeEnd(Enum):
    """How an exchange ended."""

    NOT_CONNECTED = "not_connected"
    """The connection was not opened; no byte of the request was sent."""

    NOT_SENT = "not_sent"
    """The connection was opened, but no byte of the request was sent, as it was not wanted."""

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


async def exchange(
    address: str,
    request: bytes,
    sink: ExchangeSink,
    *,
    may_send: Callable[[], bool],
    connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
    is_head: bool = False,
    flow: FlowGate | None = None,
) -> ExchangeResult:
    """Send one request on a new connection and pass the response to a sink.

    Cancelling the task closes the connection immediately, which cancels the request at the server.

    :param address: ``host:port``
    :param request: encoded request
    :param sink: receives the response
    :param may_send: tells, once connected, whether the request may still be sent
    :param connect_timeout_ms: maximum time to open the connection, in milliseconds
    :param is_head: the request's method is HEAD, so the response has no body
    :param flow: pauses reading of the response
    """
    flow = flow or FlowGate()
    done: asyncio.Future[ExchangeResult] = asyncio.get_running_loop().create_future()
    protocol = _BackendConnection(sink, done, is_head=is_head)
    try:
        transport = await open_connection(address, protocol, timeout_ms=connect_timeout_ms)
    except TimeoutError:
        return ExchangeResult(ExchangeEnd.NOT_CONNECTED, "connect timed out")
    except OSError as error:
        return ExchangeResult(ExchangeEnd.NOT_CONNECTED, str(error))
    # Write only once connected, so that a connect timeout implies that no request was sent.
    if not may_send():
        transport.abort()
        return ExchangeResult(ExchangeEnd.NOT_SENT, "server accepts no more requests")
    flow.attach(transport)
    transport.write(request)
    try:
        return await done
    finally:
        flow.detach(transport)
        transport.abort()


class _BackendConnection(asyncio.BufferedProtocol):
    """Protocol of the connection of one exchange."""

    def __init__(
        self, sink: ExchangeSink, done: asyncio.Future[ExchangeResult], *, is_head: bool
    ) -> None:
        self._sink = sink
        self._is_head_request = is_head
        self._done = done
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._framing_bytes = 0
        self._head_received = False
        self._is_informational = False
        self._body_ends_at_close = False
        self._eof_received = False
        self._buffer = bytearray(READ_BYTES)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer to read into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes of the response."""
        if self._done.done():
            return
        try:
            self._parser.feed_data(memoryview(self._buffer)[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._finish(ExchangeEnd.MALFORMED, f"malformed response: {error}")
            return
        self._framing_bytes += nbytes
        if self._framing_bytes > MAX_FRAMING_BYTES:
            part = "framing" if self._head_received else "head"
            self._finish(ExchangeEnd.MALFORMED, f"response {part} is too large")

    def eof_received(self) -> bool:
        """Record that the server closed its side of the connection."""
        self._eof_received = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish the exchange; closing the connection may mark the end of the body."""
        if self._body_ends_at_close and self._eof_received and exc is None:
            self._finish(ExchangeEnd.COMPLETE, "", was_closed=True)
        else:
            was_closed = exc is None or isinstance(exc, ConnectionError)
            detail = str(exc) if exc else "connection closed"
            self._finish(ExchangeEnd.BROKEN, detail, was_closed=was_closed)

    def on_message_begin(self) -> None:
        """Reset the state for a response; informational responses may precede the final one."""
        self._headers = []
        self._head_received = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; trailers are ignored."""
        if not self._head_received:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the response head to the sink."""
        if self._done.done():
            return
        status = self._parser.get_status_code()
        self._is_informational = 100 <= status < 200
        if self._is_informational:
            return
        self._head_received = True
        names = {name.lower() for name, _ in self._headers}
        self._body_ends_at_close = not names & {b"content-length", b"transfer-encoding"}
        if self._sink.on_head(status, self._headers) is None:
            self._finish(ExchangeEnd.STOPPED, "")
        elif self._is_head_request:
            self._finish(ExchangeEnd.COMPLETE, "")

    def on_body(self, piece: bytes) -> None:
        """Pass bytes of the body to the sink."""
        if self._done.done():
            return
        self._framing_bytes -= (1 + MAX_FRAMING_RATIO) * len(piece)
        try:
            self._sink.on_body(piece)
        except ProtocolError as error:
            self._finish(ExchangeEnd.MALFORMED, error.message)

    def on_message_complete(self) -> None:
        """Finish the exchange at the end of its response."""
        if not self._is_informational:
            self._finish(ExchangeEnd.COMPLETE, "")

    def _finish(self, end: ExchangeEnd, detail: str, *, was_closed: bool = False) -> None:
        if not self._done.done():
            self._done.set_result(ExchangeResult(end, detail, was_closed))
