"""One exchange with a backend server over a connection of its own, on the event loop.

A connection is opened for each exchange and closed after it. A request that must run at most once
is never sent again by a transport, and what a server sends after its answer reaches no request.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import httptools

from bergamothill.connection.opening import CONNECT_TIMEOUT_MS, open_connection
from bergamothill.request.callerrequest import AnswerHead, Header

__all__ = ["ExchangeEnd", "ExchangeResult", "ExchangeSink", "exchange"]

MAX_ANSWER_HEAD_BYTES = 65_536


class ExchangeEnd(Enum):
    """How an exchange ended."""

    NOT_CONNECTED = "not_connected"
    """No byte of the request left."""

    BROKEN = "broken"
    """The connection ended, or bytes came that are no answer."""

    COMPLETE = "complete"
    """The answer is whole."""

    STOPPED = "stopped"
    """The sink asked to stop after the head."""


@dataclass(slots=True)
class ExchangeResult:
    """Outcome of an exchange.

    :param end: how it ended
    :param detail: what went wrong, for the log
    """

    end: ExchangeEnd
    detail: str = ""


class ExchangeSink(Protocol):
    """Receives an answer as it arrives."""

    def on_head(self, status: int, headers: list[Header]) -> AnswerHead | None:
        """Take the head; None stops the exchange."""

    def on_body(self, piece: bytes) -> None:
        """Take the next bytes of the body."""


async def exchange(
    address: str,
    request: bytes,
    sink: ExchangeSink,
    *,
    connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
    is_head: bool = False,
) -> ExchangeResult:
    """Send one request on a new connection and hand on its answer.

    Cancelling it closes the connection at once, which cancels the request at the server.

    :param address: ``host:port``
    :param request: encoded request
    :param sink: receives the answer
    :param connect_timeout_ms: longest time to open the connection
    :param is_head: the request's method is HEAD, so that its answer has no body
    """
    done: asyncio.Future[ExchangeResult] = asyncio.get_running_loop().create_future()
    protocol = _BackendConnection(sink, done, is_head=is_head)
    try:
        transport = await open_connection(address, protocol, timeout_ms=connect_timeout_ms)
    except TimeoutError:
        return ExchangeResult(ExchangeEnd.NOT_CONNECTED, "connect timeout")
    except OSError as error:
        return ExchangeResult(ExchangeEnd.NOT_CONNECTED, str(error))
    # Written only now: a connection that is given up while it opens has carried no request.
    transport.write(request)
    try:
        return await done
    finally:
        transport.abort()


class _BackendConnection(asyncio.Protocol):
    """Connection of one exchange."""

    def __init__(
        self, sink: ExchangeSink, done: asyncio.Future[ExchangeResult], *, is_head: bool
    ) -> None:
        self._sink = sink
        self._is_head = is_head
        self._done = done
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._has_head = False
        self._is_informational = False
        self._ends_with_connection = False
        self._saw_end = False

    def data_received(self, data: bytes) -> None:
        """Read a part of the answer."""
        if self._done.done():
            return
        if not self._has_head:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_ANSWER_HEAD_BYTES:
                self._finish(ExchangeEnd.BROKEN, "answer head too large")
                return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._finish(ExchangeEnd.BROKEN, f"not an answer: {error}")

    def eof_received(self) -> bool:
        """Note the orderly end of the connection."""
        self._saw_end = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange with the connection."""
        if self._ends_with_connection and self._saw_end and exc is None:
            self._finish(ExchangeEnd.COMPLETE, "")
        else:
            self._finish(ExchangeEnd.BROKEN, str(exc) if exc else "connection closed")

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._headers = []
        self._has_head = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; trailers are ignored."""
        if not self._has_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Hand on the head."""
        if self._done.done():
            return
        status = self._parser.get_status_code()
        self._is_informational = 100 <= status < 200
        if self._is_informational:
            return
        self._has_head = True
        names = {name.lower() for name, _ in self._headers}
        self._ends_with_connection = not names & {b"content-length", b"transfer-encoding"}
        if self._sink.on_head(status, self._headers) is None:
            self._finish(ExchangeEnd.STOPPED, "")
        elif self._is_head:
            self._finish(ExchangeEnd.COMPLETE, "")

    def on_body(self, piece: bytes) -> None:
        """Hand on a piece of the body."""
        if not self._done.done():
            self._sink.on_body(piece)

    def on_message_complete(self) -> None:
        """End the exchange with its answer."""
        if not self._is_informational:
            self._finish(ExchangeEnd.COMPLETE, "")

    def _finish(self, end: ExchangeEnd, detail: str) -> None:
        if not self._done.done():
            self._done.set_result(ExchangeResult(end, detail))
