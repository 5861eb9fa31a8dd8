"""A kept connection for repeated reads from one backend server, on the event loop.

Only reads that may be repeated go over it; it is opened anew after any fault.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import httptools

from bergamothill.clock import seconds
from bergamothill.connection.opening import open_connection
from bergamothill.errors import PeerTimeoutError, PeerUnreachableError

__all__ = ["PollConnection", "PollReply"]


@dataclass(frozen=True, slots=True)
class PollReply:
    """Reply to a read.

    :param status: HTTP status
    :param body: whole body
    """

    status: int
    body: bytes


class PollConnection:
    """Reads from one server, one after the other.

    :param peer: name of the server, for errors
    :param address: ``host:port``
    """

    def __init__(self, peer: str, address: str) -> None:
        self._peer = peer
        self._address = address
        self._protocol: _Replies | None = None

    async def read(self, head: bytes, *, step: str, timeout_ms: int) -> PollReply:
        """Send one request and return its reply.

        :param head: encoded request without a body
        :param step: step for errors
        :param timeout_ms: longest duration of the exchange
        :raises PeerUnreachableError: no connection could be opened
        :raises PeerTimeoutError: the exchange failed later
        """
        protocol = await self._connected(step)
        try:
            async with asyncio.timeout(seconds(timeout_ms)):
                reply = await protocol.exchange(head)
        except (OSError, TimeoutError, httptools.HttpParserError) as error:
            self.close()
            raise PeerTimeoutError(repr(error), step=step, peer=self._peer) from error
        except BaseException:
            self.close()
            raise
        if protocol.is_ending:
            self.close()
        return reply

    def close(self) -> None:
        """Close the connection; the next read opens another."""
        if self._protocol is not None:
            self._protocol.abort()
            self._protocol = None

    async def _connected(self, step: str) -> _Replies:
        if self._protocol is not None and not self._protocol.is_ending:
            return self._protocol
        protocol = _Replies()
        try:
            await open_connection(self._address, protocol)
        except OSError as error:
            raise PeerUnreachableError(repr(error), step=step, peer=self._peer) from error
        self._protocol = protocol
        return protocol


class _Replies(asyncio.Protocol):
    """Reads whole replies."""

    def __init__(self) -> None:
        self.is_ending = False
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[PollReply] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_ending = True
        self._fail(exc or ConnectionResetError("connection closed"))

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.is_ending = True
            self._fail(error)

    def on_message_begin(self) -> None:
        self._body = []

    def on_body(self, piece: bytes) -> None:
        self._body.append(piece)

    def on_message_complete(self) -> None:
        self.is_ending |= not self._parser.should_keep_alive()
        waiter, self._waiter = self._waiter, None
        if waiter is None:
            self.is_ending = True  # a reply that nobody asked for
        elif not waiter.done():
            waiter.set_result(PollReply(self._parser.get_status_code(), b"".join(self._body)))

    async def exchange(self, head: bytes) -> PollReply:
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(head)
        return await self._waiter

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, error: BaseException) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
