"""Persistent HTTP connection for polling one backend server, on an asyncio event loop.

It carries only idempotent reads and is reopened after any error.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

import httptools

from bergamothill.clock import ms_to_seconds
from bergamothill.connection.backendconnection import (
    MAX_FRAMING_BYTES,
    MAX_FRAMING_RATIO,
    READ_BYTES,
)
from bergamothill.connection.brokenhead import has_status_line
from bergamothill.connection.opening import open_connection
from bergamothill.errors import PeerTimeoutError, PeerUnreachableError

__all__ = ["PollConnection", "PollReply"]

MAX_REPLY_BYTES = 4_194_304
"""Largest reply, head and framing included."""


@dataclass(frozen=True, slots=True)
class PollReply:
    """Reply to a read request.

    :param status: HTTP status
    :param body: complete body
    :param headers: header fields by lowercase name
    """

    status: int
    body: bytes
    headers: Mapping[bytes, bytes] = field(default_factory=dict)


class PollConnection:
    """Connection that sends read requests to one server, one at a time.

    :param peer: name of the server, for errors
    :param address: ``host:port``
    """

    def __init__(self, peer: str, address: str) -> None:
        self._peer = peer
        self._address = address
        self._protocol: _PollProtocol | None = None

    async def read(
        self, request: bytes, *, step: str, timeout_ms: int, max_ms: int | None = None
    ) -> PollReply:
        """Send one request and return its reply.

        :param request: encoded request without a body
        :param step: step for errors
        :param timeout_ms: longest time without a byte of the reply, in milliseconds
        :param max_ms: maximum duration of the exchange, in milliseconds; None for ``timeout_ms``
        :raises PeerUnreachableError: the connection could not be opened
        :raises PeerTimeoutError: the exchange failed or timed out after connecting
        """
        protocol = await self._connect(step)
        try:
            reply = await protocol.exchange(request, timeout_ms, max_ms or timeout_ms)
        except (OSError, TimeoutError, httptools.HttpParserError) as error:
            self.close()
            raise PeerTimeoutError(repr(error), step=step, peer=self._peer) from error
        except BaseException:
            self.close()
            raise
        if protocol.must_close:
            self.close()
        return reply

    def close(self) -> None:
        """Close the connection; the next read opens a new one."""
        if self._protocol is not None:
            self._protocol.abort()
            self._protocol = None

    async def _connect(self, step: str) -> _PollProtocol:
        if self._protocol is not None and not self._protocol.must_close:
            return self._protocol
        protocol = _PollProtocol()
        try:
            await open_connection(self._address, protocol)
        except OSError as error:
            raise PeerUnreachableError(repr(error), step=step, peer=self._peer) from error
        self._protocol = protocol
        return protocol


class _PollProtocol(asyncio.Protocol):
    """Protocol that matches each reply with the pending request."""

    def __init__(self) -> None:
        self.must_close = False
        self._transport: asyncio.Transport | None = None
        self._pending: asyncio.Future[PollReply] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._headers: dict[bytes, bytes] = {}
        self._reason = b""
        self._received_bytes = 0
        self._framing_bytes = 0
        self._loop = asyncio.get_running_loop()
        self._received_s = self._max_silence_s = self._due_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.must_close = True
        self._transport = None
        self._fail(exc or ConnectionResetError("connection closed"))
        self._release()

    def data_received(self, data: bytes) -> None:
        self._received_bytes += len(data)
        self._received_s = self._loop.time()
        if self._pending is None:
            self._give_up("unsolicited bytes")
            return
        if self._received_bytes > MAX_REPLY_BYTES:
            self._give_up("reply is too large")
            return
        for start in range(0, len(data), READ_BYTES):
            if not self.must_close:
                self._parse(data[start : start + READ_BYTES])

    def _parse(self, data: bytes) -> None:
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.must_close = True
            self._fail(error)
            return
        if self._framing_bytes > MAX_FRAMING_BYTES and self._pending is not None:
            self._give_up("framing of the reply is too large")

    def on_message_begin(self) -> None:
        self._body.clear()
        self._headers = {}
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.setdefault(name.lower(), value)
        if has_status_line(value):
            self._give_up("head of the reply broke off")

    def on_headers_complete(self) -> None:
        if has_status_line(self._reason):
            self._give_up("head of the reply broke off")

    def on_body(self, piece: bytes) -> None:
        self._body += piece
        self._framing_bytes -= (1 + MAX_FRAMING_RATIO) * len(piece)

    def on_message_complete(self) -> None:
        if 100 <= self._parser.get_status_code() < 200:
            return
        self.must_close |= not self._parser.should_keep_alive()
        pending, self._pending = self._pending, None
        if pending is None:
            self.must_close = True  # an unsolicited reply
        elif not pending.done():
            status = self._parser.get_status_code()
            pending.set_result(PollReply(status, bytes(self._body), self._headers))

    async def exchange(self, request: bytes, max_silence_ms: int, max_ms: int) -> PollReply:
        if self._transport is None:
            raise ConnectionResetError("connection closed")
        self._received_bytes = self._framing_bytes = 0
        self._pending = self._loop.create_future()
        self._transport.write(request)
        self._received_s = self._loop.time()
        self._max_silence_s = ms_to_seconds(max_silence_ms)
        self._due_s = self._received_s + ms_to_seconds(max_ms)
        self._check_silence()
        try:
            return await self._pending
        finally:
            self._timer.cancel()

    def _check_silence(self) -> None:
        """End an exchange that lasts too long, or check again when it may do so."""
        due_s = min(self._received_s + self._max_silence_s, self._due_s)
        if self._loop.time() < due_s:
            self._timer = self._loop.call_at(due_s, self._check_silence)
        else:
            self._fail(TimeoutError("no reply in time"))

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _release(self) -> None:
        """Release what was received; the parser refers to this protocol and keeps it alive."""
        self._parser = None
        self._body, self._headers = bytearray(), {}

    def _give_up(self, reason: str) -> None:
        self.must_close = True
        self._fail(ConnectionAbortedError(reason))
        self.abort()

    def _fail(self, error: BaseException) -> None:
        pending, self._pending = self._pending, None
        if pending is not None and not pending.done():
            pending.set_exception(error)
