"""One authenticated connection between two entry instances."""

from __future__ import annotations

import logging
import secrets
import socket
import threading
from collections.abc import Callable
from concurrent.futures import Future
from contextlib import suppress

from websockets.exceptions import WebSocketException
from websockets.sync.client import ClientConnection, connect
from websockets.sync.connection import Connection

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.codec import decode_record, encode_record
from bergamothill.connection.frames import (
    PROTOCOL_VERSION,
    Challenge,
    Frame,
    FrameKind,
    HandshakeProof,
    Hello,
    PeerIdentity,
    Role,
    check_proof,
    make_proof,
)
from bergamothill.connection.outgoingqueue import OutgoingQueue
from bergamothill.connection.peerclock import PeerClock
from bergamothill.errors import PeerTimeoutError, PeerUnreachableError, ProtocolError

__all__ = ["MAX_FRAME_BYTES", "PeerLink", "TRANSPORT_LOGGER", "accept_link", "dial_link"]

MAX_FRAME_BYTES = 1_500_000
NONCE_BYTES = 16
CLOSE_TIMEOUT_MS = 500
STEP = "peer.link"

TRANSPORT_LOGGER = logging.getLogger("bergamothill.websockets")
"""Logger passed to the WebSocket library. It is silenced because the links log their own events."""

TRANSPORT_LOGGER.setLevel(logging.CRITICAL + 1)

_TRANSPORT_ERRORS = (OSError, EOFError, WebSocketException)


class PeerLink:
    """Open link to a peer, with its outgoing queue, clock offset and pending requests.

    :param connection: WebSocket connection after the handshake
    :param identity: identity of the peer
    :param clock: clock of this process
    :param dialed: whether this process opened the connection
    """

    def __init__(
        self, connection: Connection, identity: PeerIdentity, clock: Clock, *, dialed: bool
    ) -> None:
        self.identity = identity
        self.dialed = dialed
        self.peer_clock = PeerClock()
        self.bytes_sent = 0
        self.bytes_received = 0
        self._connection = connection
        self._clock = clock
        self._outgoing = OutgoingQueue()
        self._echo = (-1, 0)
        self._pending: dict[int, Future[Frame]] = {}
        self._pending_lock = threading.Lock()
        self._next_correlation = 0
        self._first_echo_claimed = False

    @property
    def socket(self) -> socket.socket:
        """Socket of the connection, for reading its statistics."""
        return self._connection.socket

    def send(self, kind: FrameKind, *, body: bytes = b"", droppable: bool = True, **fields) -> bool:
        """Queue a frame without blocking.

        :param kind: kind of the frame
        :param body: encoded message
        :param droppable: the frame may be dropped when the outgoing queue is full
        :param fields: further fields of :class:`~bergamothill.connection.frames.Frame`
        :returns: False when the frame was not queued
        """
        echo_ms, echo_received_ms = self._echo
        frame = Frame(kind, self._clock.now_ms(), echo_ms, echo_received_ms, body=body, **fields)
        return self._outgoing.put(encode_record(frame), droppable=droppable)

    def claim_first_echo(self) -> bool:
        """Return True on the first call only; the first received frame is echoed immediately."""
        claimed, self._first_echo_claimed = self._first_echo_claimed, True
        return not claimed

    def request(self, body: bytes, *, timeout_ms: int) -> Frame:
        """Send a request and wait for its reply.

        :param body: encoded message
        :param timeout_ms: maximum wait, in milliseconds
        :raises PeerUnreachableError: the link is closed or its queue is full
        :raises PeerTimeoutError: no reply within the timeout, or the link closed while waiting
        """
        future: Future[Frame] = Future()
        with self._pending_lock:
            self._next_correlation += 1
            correlation = self._next_correlation
            self._pending[correlation] = future
        try:
            if not self.send(
                FrameKind.REQUEST, body=body, droppable=False, correlation=correlation
            ):
                raise PeerUnreachableError(
                    "link is closed or its queue is full", step=STEP, peer=self.identity.entry
                )
            return future.result(ms_to_seconds(timeout_ms))
        except TimeoutError as error:
            raise PeerTimeoutError(
                "no reply within the timeout", step=STEP, peer=self.identity.entry
            ) from error
        finally:
            with self._pending_lock:
                self._pending.pop(correlation, None)

    def write_frames(self) -> None:
        """Write queued frames to the connection until the link closes; runs in its own thread."""
        while (data := self._outgoing.get()) is not None:
            try:
                self._connection.send(data)
            except _TRANSPORT_ERRORS:
                break
            self.bytes_sent += len(data)
        self._close_connection()

    def read_frames(self, on_frame: Callable[[PeerLink, Frame], None]) -> None:
        """Pass received frames to a callback until the link closes.

        :param on_frame: called with this link and each frame
        :raises ProtocolError: the peer sent a malformed frame; the link is closed
        """
        try:
            while True:
                try:
                    data = self._connection.recv()
                except _TRANSPORT_ERRORS:
                    return
                self._receive(data, on_frame)
        finally:
            self.abort()

    def _receive(self, data: str | bytes, on_frame: Callable[[PeerLink, Frame], None]) -> None:
        now_ms = self._clock.now_ms()
        if isinstance(data, str):
            raise ProtocolError("unexpected text frame", step=STEP, peer=self.identity.entry)
        self.bytes_received += len(data)
        frame = decode_record(Frame, data)
        self.peer_clock.observe(frame.echo_ms, frame.echo_received_ms, now_ms)
        self._echo = (frame.sent_ms, now_ms)
        if frame.kind in (FrameKind.REPLY, FrameKind.FAILURE):
            self._complete_request(frame)
        on_frame(self, frame)

    def _complete_request(self, frame: Frame) -> None:
        with self._pending_lock:
            future = self._pending.pop(frame.correlation, None)
        if future is not None:
            future.set_result(frame)

    def close(self) -> None:
        """Close the link after its queued frames have been sent."""
        self._outgoing.close(discard=False)

    def abort(self) -> None:
        """Close immediately; an unresponsive peer would never complete the closing handshake."""
        self._outgoing.close(discard=True)
        with suppress(OSError):
            self._connection.socket.shutdown(socket.SHUT_RDWR)
        with self._pending_lock:
            pending = list(self._pending.values())
            self._pending.clear()
        for future in pending:
            error = PeerTimeoutError(
                "link closed before the reply arrived", step=STEP, peer=self.identity.entry
            )
            future.set_exception(error)

    def _close_connection(self) -> None:
        with suppress(*_TRANSPORT_ERRORS):
            self._connection.close()


class _Handshake:
    """Exchanges handshake frames under one overall deadline."""

    def __init__(self, connection: Connection, clock: Clock, timeout_ms: int) -> None:
        self._connection = connection
        self._clock = clock
        self._deadline_ms = clock.now_ms() + timeout_ms

    def receive(self, cls: type) -> object:
        left_ms = max(0, self._deadline_ms - self._clock.now_ms())
        data = self._connection.recv(timeout=ms_to_seconds(left_ms))
        if isinstance(data, str):
            raise ProtocolError("unexpected text frame", step="peer.handshake")
        return decode_record(cls, data)

    def send(self, record: object) -> None:
        self._connection.send(encode_record(record))


def _check_protocol(version: int, peer: str) -> None:
    if version != PROTOCOL_VERSION:
        raise ProtocolError(
            f"protocol version {version} is not supported", step="peer.handshake", peer=peer
        )


def _open_socket(address: str, timeout_ms: int) -> socket.socket:
    host, _, port = address.rpartition(":")
    raw_socket = socket.create_connection((host, int(port)), timeout=ms_to_seconds(timeout_ms))
    raw_socket.settimeout(None)
    return raw_socket


def _open_websocket(address: str, clock: Clock, timeout_ms: int) -> ClientConnection:
    """Connect within the timeout, on a socket opened here so that no proxy setting applies."""
    started_ms = clock.now_ms()
    raw_socket = _open_socket(address, timeout_ms)
    left_ms = max(1, timeout_ms - (clock.now_ms() - started_ms))
    try:
        return connect(
            f"ws://{address}/",
            sock=raw_socket,
            compression=None,
            open_timeout=ms_to_seconds(left_ms),
            ping_interval=None,
            close_timeout=ms_to_seconds(CLOSE_TIMEOUT_MS),
            max_size=MAX_FRAME_BYTES,
            logger=TRANSPORT_LOGGER,
        )
    except BaseException:
        raw_socket.close()
        raise


def dial_link(
    peer: str, address: str, identity: PeerIdentity, secret: bytes, clock: Clock, timeout_ms: int
) -> PeerLink:
    """Open a link to a peer and authenticate both sides.

    :param peer: entry instance that is expected at the address
    :param address: ``host:port``
    :param identity: this process
    :param secret: peer secret
    :param clock: clock of this process
    :param timeout_ms: maximum duration of connect and handshake, in milliseconds
    :raises PeerUnreachableError: the connection failed, or the peer did not respond in time
    :raises ProtocolError: malformed frame, unsupported protocol version, or another entry
        instance at the address
    :raises AuthenticationError: the peer does not know the secret
    """
    started_ms = clock.now_ms()
    try:
        connection = _open_websocket(address, clock, timeout_ms)
    except (*_TRANSPORT_ERRORS, ValueError) as error:
        raise PeerUnreachableError(str(error), step="peer.dial", peer=peer) from error
    try:
        left_ms = timeout_ms - (clock.now_ms() - started_ms)
        peer_identity = _dialer_handshake(peer, connection, identity, secret, clock, left_ms)
    except _TRANSPORT_ERRORS as error:
        _shutdown_socket(connection)
        raise PeerUnreachableError(str(error), step="peer.dial", peer=peer) from error
    except BaseException:
        _shutdown_socket(connection)
        raise
    return PeerLink(connection, peer_identity, clock, dialed=True)


def _dialer_handshake(
    peer: str,
    connection: Connection,
    identity: PeerIdentity,
    secret: bytes,
    clock: Clock,
    timeout_ms: int,
) -> PeerIdentity:
    handshake = _Handshake(connection, clock, timeout_ms)
    hello = Hello(PROTOCOL_VERSION, identity, secrets.token_bytes(NONCE_BYTES))
    handshake.send(hello)
    challenge = handshake.receive(Challenge)
    acceptor = challenge.identity
    _check_protocol(challenge.protocol, peer)
    if acceptor.entry != peer:
        raise ProtocolError(
            f"address belongs to entry instance {acceptor.entry}", step="peer.handshake", peer=peer
        )
    expected = make_proof(secret, Role.ACCEPTOR, hello, challenge.nonce, acceptor)
    check_proof(expected, challenge.proof, peer=peer)
    proof = make_proof(secret, Role.DIALER, hello, challenge.nonce, acceptor)
    handshake.send(HandshakeProof(proof))
    handshake.receive(Frame)
    return acceptor


def accept_link(
    connection: Connection, identity: PeerIdentity, secret: bytes, clock: Clock, timeout_ms: int
) -> PeerLink:
    """Perform the handshake with a peer that connected, and authenticate both sides.

    :param connection: WebSocket connection accepted from the dialer
    :param identity: this process
    :param secret: peer secret
    :param clock: clock of this process
    :param timeout_ms: maximum duration of the handshake, in milliseconds
    :raises ProtocolError: malformed frame or unsupported protocol version
    :raises AuthenticationError: the dialer does not know the secret
    """
    handshake = _Handshake(connection, clock, timeout_ms)
    hello = handshake.receive(Hello)
    _check_protocol(hello.protocol, hello.identity.entry)
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = make_proof(secret, Role.ACCEPTOR, hello, nonce, identity)
    handshake.send(Challenge(PROTOCOL_VERSION, identity, nonce, proof))
    response = handshake.receive(HandshakeProof)
    expected = make_proof(secret, Role.DIALER, hello, nonce, identity)
    check_proof(expected, response.proof, peer=hello.identity.entry)
    handshake.send(Frame(FrameKind.HEARTBEAT, clock.now_ms()))
    return PeerLink(connection, hello.identity, clock, dialed=False)


def _shutdown_socket(connection: Connection) -> None:
    with suppress(OSError):
        connection.socket.shutdown(socket.SHUT_RDWR)
