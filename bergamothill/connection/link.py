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

from bergamothill.clock import Clock, seconds
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
from bergamothill.connection.outgoing import OutgoingQueue
from bergamothill.connection.peerclock import PeerClock
from bergamothill.errors import PeerTimeoutError, PeerUnreachableError, ProtocolError

__all__ = ["MAX_FRAME_BYTES", "PeerLink", "TRANSPORT_LOGGER", "accept_link", "dial_link"]

MAX_FRAME_BYTES = 1_500_000
NONCE_BYTES = 16
CLOSE_TIMEOUT_MS = 500
STEP = "peer.link"

TRANSPORT_LOGGER = logging.getLogger("bergamothill.websockets")
"""Logger of the websocket library; the links log their own events."""

TRANSPORT_LOGGER.setLevel(logging.CRITICAL + 1)

_TRANSPORT_ERRORS = (OSError, EOFError, WebSocketException)


class PeerLink:
    """Open connection: queue of outgoing frames, clock relation, pending requests.

    :param connection: websocket after the handshake
    :param identity: who is at the other end
    :param clock: clock of this process
    :param dialed: this process opened the connection
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
        self._greeted = False

    @property
    def socket(self) -> socket.socket:
        """Socket of the connection, for its counters."""
        return self._connection.socket

    def send(self, kind: FrameKind, *, body: bytes = b"", droppable: bool = True, **fields) -> bool:
        """Queue a frame without waiting.

        :param kind: kind of the frame
        :param body: encoded message
        :param droppable: the frame may be dropped when the peer is slow
        :param fields: further fields of :class:`~bergamothill.connection.frames.Frame`
        :returns: False when the frame was not queued
        """
        echo_ms, echo_received_ms = self._echo
        frame = Frame(kind, self._clock.now_ms(), echo_ms, echo_received_ms, body=body, **fields)
        return self._outgoing.put(encode_record(frame), droppable=droppable)

    def greet_once(self) -> bool:
        """Tell whether the peer still lacks an echo of its first frame; True only once."""
        greeted, self._greeted = self._greeted, True
        return not greeted

    def request(self, body: bytes, *, timeout_ms: int) -> Frame:
        """Send a request and wait for its reply.

        :param body: encoded message
        :param timeout_ms: longest wait, in milliseconds
        :raises PeerUnreachableError: the link is closed or its queue is full
        :raises PeerTimeoutError: no reply in time, or the link closed meanwhile
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
                raise PeerUnreachableError("link is closed", step=STEP, peer=self.identity.entry)
            return future.result(seconds(timeout_ms))
        except TimeoutError as error:
            raise PeerTimeoutError("no reply", step=STEP, peer=self.identity.entry) from error
        finally:
            with self._pending_lock:
                self._pending.pop(correlation, None)

    def write_frames(self) -> None:
        """Send queued frames until the link closes; runs in a thread of its own."""
        while (data := self._outgoing.get()) is not None:
            try:
                self._connection.send(data)
            except _TRANSPORT_ERRORS:
                break
            self.bytes_sent += len(data)
        self._close_connection()

    def read_frames(self, on_frame: Callable[[PeerLink, Frame], None]) -> None:
        """Hand on received frames until the link closes.

        :param on_frame: receives this link and each frame
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
            raise ProtocolError("text frame", step=STEP, peer=self.identity.entry)
        self.bytes_received += len(data)
        frame = decode_record(Frame, data)
        self.peer_clock.observe(frame.echo_ms, frame.echo_received_ms, now_ms)
        self._echo = (frame.sent_ms, now_ms)
        if frame.kind in (FrameKind.REPLY, FrameKind.FAILURE):
            self._settle(frame)
        on_frame(self, frame)

    def _settle(self, frame: Frame) -> None:
        with self._pending_lock:
            future = self._pending.pop(frame.correlation, None)
        if future is not None:
            future.set_result(frame)

    def close(self) -> None:
        """Send what is queued, then close."""
        self._outgoing.close(discard=False)

    def abort(self) -> None:
        """Close at once, without a closing handshake that a silent peer would never end."""
        self._outgoing.close(discard=True)
        with suppress(OSError):
            self._connection.socket.shutdown(socket.SHUT_RDWR)
        with self._pending_lock:
            pending = list(self._pending.values())
            self._pending.clear()
        for future in pending:
            error = PeerTimeoutError("link closed", step=STEP, peer=self.identity.entry)
            future.set_exception(error)

    def _close_connection(self) -> None:
        with suppress(*_TRANSPORT_ERRORS):
            self._connection.close()


class _Handshake:
    """Receives handshake frames before one common deadline."""

    def __init__(self, connection: Connection, clock: Clock, timeout_ms: int) -> None:
        self._connection = connection
        self._clock = clock
        self._deadline_ms = clock.now_ms() + timeout_ms

    def receive(self, cls: type) -> object:
        left_ms = max(0, self._deadline_ms - self._clock.now_ms())
        data = self._connection.recv(timeout=seconds(left_ms))
        if isinstance(data, str):
            raise ProtocolError("text frame", step="peer.handshake")
        return decode_record(cls, data)

    def send(self, record: object) -> None:
        self._connection.send(encode_record(record))


def _check_protocol(found: int, peer: str) -> None:
    if found != PROTOCOL_VERSION:
        raise ProtocolError(f"protocol {found} is not supported", step="peer.handshake", peer=peer)


def _open_socket(address: str, timeout_ms: int) -> socket.socket:
    host, _, port = address.rpartition(":")
    raw = socket.create_connection((host, int(port)), timeout=seconds(timeout_ms))
    raw.settimeout(None)
    return raw


def _open_websocket(address: str, clock: Clock, timeout_ms: int) -> ClientConnection:
    """Connect within the bound; the socket is ours, so that no proxy setting applies."""
    started_ms = clock.now_ms()
    raw = _open_socket(address, timeout_ms)
    left_ms = max(1, timeout_ms - (clock.now_ms() - started_ms))
    try:
        return connect(
            f"ws://{address}/",
            sock=raw,
            compression=None,
            open_timeout=seconds(left_ms),
            ping_interval=None,
            close_timeout=seconds(CLOSE_TIMEOUT_MS),
            max_size=MAX_FRAME_BYTES,
            logger=TRANSPORT_LOGGER,
        )
    except BaseException:
        raw.close()
        raise


def dial_link(
    peer: str, address: str, identity: PeerIdentity, secret: bytes, clock: Clock, timeout_ms: int
) -> PeerLink:
    """Open a connection to a peer and authenticate both sides.

    :param peer: entry instance expected at the address
    :param address: ``host:port``
    :param identity: this process
    :param secret: peer secret
    :param clock: clock of this process
    :param timeout_ms: longest duration of connection and handshake, in milliseconds
    :raises PeerUnreachableError: no connection, or no answer in time
    :raises ProtocolError: another protocol, or another entry instance at the address
    :raises AuthenticationError: the peer does not know the secret
    """
    started_ms = clock.now_ms()
    try:
        connection = _open_websocket(address, clock, timeout_ms)
    except (*_TRANSPORT_ERRORS, ValueError) as error:
        raise PeerUnreachableError(str(error), step="peer.dial", peer=peer) from error
    try:
        left_ms = timeout_ms - (clock.now_ms() - started_ms)
        found = _dialer_handshake(peer, connection, identity, secret, clock, left_ms)
    except _TRANSPORT_ERRORS as error:
        _shut(connection)
        raise PeerUnreachableError(str(error), step="peer.dial", peer=peer) from error
    except BaseException:
        _shut(connection)
        raise
    return PeerLink(connection, found, clock, dialed=True)


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
    found = challenge.identity
    _check_protocol(challenge.protocol, peer)
    if found.entry != peer:
        raise ProtocolError(f"found {found.entry}", step="peer.handshake", peer=peer)
    expected = make_proof(secret, Role.ACCEPTOR, hello, challenge.nonce, found)
    check_proof(expected, challenge.proof, peer=peer)
    proof = make_proof(secret, Role.DIALER, hello, challenge.nonce, found)
    handshake.send(HandshakeProof(proof))
    handshake.receive(Frame)
    return found


def accept_link(
    connection: Connection, identity: PeerIdentity, secret: bytes, clock: Clock, timeout_ms: int
) -> PeerLink:
    """Authenticate a dialer.

    :param connection: websocket accepted from the dialer
    :param identity: this process
    :param secret: peer secret
    :param clock: clock of this process
    :param timeout_ms: longest duration of the handshake, in milliseconds
    :raises ProtocolError: malformed frame or another protocol
    :raises AuthenticationError: the dialer does not know the secret
    """
    handshake = _Handshake(connection, clock, timeout_ms)
    hello = handshake.receive(Hello)
    _check_protocol(hello.protocol, hello.identity.entry)
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = make_proof(secret, Role.ACCEPTOR, hello, nonce, identity)
    handshake.send(Challenge(PROTOCOL_VERSION, identity, nonce, proof))
    found = handshake.receive(HandshakeProof)
    expected = make_proof(secret, Role.DIALER, hello, nonce, identity)
    check_proof(expected, found.proof, peer=hello.identity.entry)
    handshake.send(Frame(FrameKind.HEARTBEAT, clock.now_ms()))
    return PeerLink(connection, hello.identity, clock, dialed=False)


def _shut(connection: Connection) -> None:
    with suppress(OSError):
        connection.socket.shutdown(socket.SHUT_RDWR)
