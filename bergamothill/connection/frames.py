"""Frames of the link between two entry instances, and the proofs of its handshake."""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from enum import Enum
from hashlib import sha256

from bergamothill.connection.codec import encode_record
from bergamothill.errors import AuthenticationError
from bergamothill.ids import EntryInstanceId, Incarnation, ZoneName

__all__ = [
    "Challenge",
    "Frame",
    "FrameKind",
    "HandshakeProof",
    "Hello",
    "PROTOCOL_VERSION",
    "PeerIdentity",
    "Role",
    "check_proof",
    "make_proof",
]

PROTOCOL_VERSION = 1


class Role(Enum):
    """Side of a handshake; part of its proof, so that a proof cannot be reflected to its sender."""

    DIALER = "dialer"
    ACCEPTOR = "acceptor"


class FrameKind(Enum):
    """Kind of a frame."""

    HEARTBEAT = 0
    PUBLISH = 1
    REQUEST = 2
    REPLY = 3
    FAILURE = 4
    GOODBYE = 5


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Identity of the entry instance at one end of a link.

    :param entry: entry instance
    :param zone: its availability zone
    :param incarnation: its incarnation
    :param address: ``host:port`` at which it accepts connections
    """

    entry: EntryInstanceId
    zone: ZoneName
    incarnation: Incarnation
    address: str


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame, from the dialer."""

    protocol: int
    identity: PeerIdentity
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Challenge:
    """Second frame, from the acceptor."""

    protocol: int
    identity: PeerIdentity
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class HandshakeProof:
    """Third frame, from the dialer; the acceptor completes the handshake with a heartbeat."""

    proof: bytes


@dataclass(frozen=True, slots=True)
class Frame:
    """Frame of an open link.

    The receiver uses the three timestamps to estimate the offset between the two clocks; see
    :class:`~bergamothill.connection.peerclock.PeerClock`.

    :param kind: kind of the frame
    :param sent_ms: time on the sender's clock when the frame was created
    :param echo_ms: ``sent_ms`` of the last frame that the sender received; -1 for none
    :param echo_received_ms: time on the sender's clock when it received that frame
    :param body: encoded message
    :param correlation: id that matches a reply to its request
    :param origin: entry instance that published the message; empty for the sender itself
    :param origin_incarnation: incarnation of the origin
    :param counter: sequence number at the origin for messages of scope ``EVERYWHERE``; 0 otherwise
    :param hops: number of times that the message has been relayed
    """

    kind: FrameKind
    sent_ms: int
    echo_ms: int = -1
    echo_received_ms: int = 0
    body: bytes = b""
    correlation: int = 0
    origin: EntryInstanceId = EntryInstanceId("")
    origin_incarnation: Incarnation = Incarnation(0)
    counter: int = 0
    hops: int = 0


def make_proof(
    secret: bytes, role: Role, hello: Hello, nonce: bytes, acceptor: PeerIdentity
) -> bytes:
    """Return the proof that one side knows the peer secret.

    :param secret: secret shared by all entry instances
    :param role: side that computes the proof
    :param hello: the dialer's first frame
    :param nonce: the acceptor's nonce
    :param acceptor: identity of the acceptor
    """
    parts = (role.value.encode(), encode_record(hello), nonce, encode_record(acceptor))
    return hmac.new(secret, b"\0".join(parts), sha256).digest()


def check_proof(expected: bytes, received: bytes, *, peer: str) -> None:
    """Compare proofs in constant time.

    :param expected: proof computed locally
    :param received: proof received
    :param peer: peer to name in the error
    :raises AuthenticationError: the proofs differ
    """
    if not hmac.compare_digest(expected, received):
        raise AuthenticationError("peer secret differs", step="peer.handshake", peer=peer)
