"""HTTP/1.1 exchange with a backend server on an asyncio event loop.

An exchange uses a new connection, or a kept one if its request may be repeated. It never sends a
request a second time: a kept connection that proves to be closed ends the exchange, and the caller
decides.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from bergamothill.connection.backendconnection import (
    BackendConnection,
    ExchangeEnd,
    ExchangeResult,
    ExchangeSink,
)
from bergamothill.connection.backendpool import PooledServer
from bergamothill.connection.flowgate import FlowGate
from bergamothill.connection.opening import CONNECT_TIMEOUT_MS, open_connection

__all__ = [
    "BackendConnection",
    "ConnectionKeeper",
    "Dial",
    "ExchangeEnd",
    "ExchangeResult",
    "ExchangeSink",
    "Keeping",
    "exchange",
]

MAX_REUSING_REQUEST_BYTES = 65_536
"""Largest request on a kept connection; it fits into the send buffer, so is written at once."""


class ConnectionKeeper(Protocol):
    """Interface of the connections of this instance, in use and idle."""

    def take(self, server: PooledServer, request_id: bytes) -> BackendConnection | None:
        """Return an idle connection that counts as in use from now on."""

    def record_opening(self, server: PooledServer) -> None:
        """Record a new connection before it is opened."""

    def record_closed(self, server: PooledServer, end: ExchangeEnd | None) -> None:
        """Record the end of a connection in use, and of its last exchange if it is known."""

    def keep(self, server: PooledServer, connection: BackendConnection) -> None:
        """Keep a connection whose exchange has ended, or close it."""


@dataclass(frozen=True, slots=True)
class Keeping:
    """How an exchange uses kept connections.

    :param keeper: connections of this instance
    :param server: server to send to
    :param request_id: id that the response must have
    :param may_reuse: whether the request may be sent on a kept connection
    :param is_sound: tells, after a complete response, whether its connection may be kept
    """

    keeper: ConnectionKeeper
    server: PooledServer
    request_id: bytes
    may_reuse: bool
    is_sound: Callable[[], bool]

    def take(self, request: Sequence[bytes]) -> BackendConnection | None:
        """Return a kept connection for a request, if there is one and it may be used."""
        if not (self.may_reuse and self.request_id):
            return None
        if sum(map(len, request)) > MAX_REUSING_REQUEST_BYTES:
            return None
        return self.keeper.take(self.server, self.request_id)


@dataclass(frozen=True, slots=True)
class Dial:
    """How a new connection is opened.

    :param address: ``host:port``
    :param timeout_ms: maximum time to open it, in milliseconds
    :param local_host: IP address of this machine to use; None for any
    :param on_open: called once it is open
    """

    address: str
    timeout_ms: int = CONNECT_TIMEOUT_MS
    local_host: str | None = None
    on_open: Callable[[], None] = lambda: None

    async def open(self, protocol: asyncio.Protocol) -> asyncio.Transport:
        """Open a connection; see :func:`open_connection`."""
        transport = await open_connection(
            self.address, protocol, timeout_ms=self.timeout_ms, local_host=self.local_host
        )
        self.on_open()
        return transport


async def exchange(
    dial: Dial,
    request: Sequence[bytes],
    sink: ExchangeSink,
    *,
    may_send: Callable[[], bool],
    is_head: bool = False,
    flow: FlowGate | None = None,
    keeping: Keeping | None = None,
    confirm: Callable[[], Awaitable[bool]] | None = None,
) -> ExchangeResult:
    """Send one request on one connection and pass the response to a sink.

    Cancelling the task closes the connection immediately, which cancels the request at the server.

    :param dial: how a new connection is opened
    :param request: encoded request, in pieces
    :param sink: receives the response
    :param may_send: tells, once connected, whether the request may still be sent
    :param is_head: the request's method is HEAD, so the response has no body
    :param flow: pauses reading of the response
    :param keeping: use of kept connections; None for a new connection that is closed afterwards
    :param confirm: called once the request is written; the response is read after it has returned,
        and is dropped if it returned False
    """
    done: asyncio.Future[ExchangeResult] = asyncio.get_running_loop().create_future()
    if keeping is None:
        connection = BackendConnection(sink, done, is_head=is_head)
        return await _exchange_on_new(connection, dial, request, may_send, flow, confirm)
    connection = keeping.take(request)
    is_reused = connection is not None
    if not is_reused:
        connection = BackendConnection(sink, done, is_head=is_head, request_id=keeping.request_id)
        keeping.keeper.record_opening(keeping.server)
    end, is_kept = None, False
    flow = flow or FlowGate()
    pause_count = flow.pause_count
    try:
        if is_reused:
            connection.reuse(sink, done, is_head=is_head, request_id=keeping.request_id)
            result = await _exchange_on_kept(connection, request, may_send, flow, confirm)
        else:
            result = await _exchange_on_new(
                connection, dial, request, may_send, flow, confirm, closes=False
            )
        end = result.end
        # Reading was late if it was paused, so that the idle time at the server is not known.
        was_read = not flow.is_paused and flow.pause_count == pause_count
        is_kept = was_read and connection.may_be_kept and keeping.is_sound()
    finally:
        if is_kept:
            keeping.keeper.keep(keeping.server, connection)
        else:
            connection.abort()
            keeping.keeper.record_closed(keeping.server, end)
    return result


async def _exchange_on_new(
    connection: BackendConnection,
    dial: Dial,
    request: Sequence[bytes],
    may_send: Callable[[], bool],
    flow: FlowGate | None,
    confirm: Callable[[], Awaitable[bool]] | None,
    *,
    closes: bool = True,
) -> ExchangeResult:
    flow = flow or FlowGate()
    try:
        transport = await dial.open(connection)
    except TimeoutError:
        return ExchangeResult(ExchangeEnd.NOT_CONNECTED, "connect timed out")
    except OSError as error:
        return ExchangeResult(ExchangeEnd.NOT_CONNECTED, str(error))
    # Write only once connected, so that a connect timeout implies that no request was sent.
    if not may_send():
        transport.abort()
        return ExchangeResult(ExchangeEnd.NOT_SENT, "server accepts no more requests")
    connection.send(request)
    try:
        return await _read_response(connection, transport, flow, confirm)
    finally:
        if closes:
            connection.abort()


async def _exchange_on_kept(
    connection: BackendConnection,
    request: Sequence[bytes],
    may_send: Callable[[], bool],
    flow: FlowGate,
    confirm: Callable[[], Awaitable[bool]] | None,
) -> ExchangeResult:
    if not may_send():
        return ExchangeResult(ExchangeEnd.NOT_SENT, "server accepts no more requests")
    transport = connection.transport
    connection.send(request)
    if transport.is_closing():  # the first send failed, so no byte was written
        return ExchangeResult(ExchangeEnd.NOT_SENT, "kept connection was closed")
    return await _read_response(connection, transport, flow, confirm)


async def _read_response(
    connection: BackendConnection,
    transport: asyncio.Transport,
    flow: FlowGate,
    confirm: Callable[[], Awaitable[bool]] | None,
) -> ExchangeResult:
    """Read the response to a request that was written, once the server is confirmed."""
    if confirm is not None:
        transport.pause_reading()
        if not await confirm():
            return ExchangeResult(ExchangeEnd.BROKEN, "server was not confirmed")
        transport.resume_reading()
    flow.attach(transport)
    try:
        return await connection.done
    finally:
        flow.detach(transport)
