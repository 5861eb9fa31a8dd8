"""Events and effects of the membership state machine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from bergamothill.connection.instancelist import Instance
from bergamothill.ids import EntryInstanceId, Incarnation, ZoneName

__all__ = [
    "CloseLink",
    "Dial",
    "DialFailed",
    "Effect",
    "Event",
    "GoodbyeReceived",
    "InstancesListed",
    "LinkClosed",
    "LinkHeard",
    "LinkId",
    "LinkOpened",
    "LinkSent",
    "PeerChanged",
    "PeerStatus",
    "SendHeartbeat",
    "Tick",
]

LinkId = NewType("LinkId", int)
"""One connection to a peer, unique in this process."""


class PeerStatus(Enum):
    """What is believed of a peer."""

    UNKNOWN = "unknown"
    """Listed, never reached in this incarnation."""

    LIVE = "live"
    DEAD = "dead"
    """A new connection failed."""

    LEFT = "left"
    """Said goodbye; final for the incarnation."""


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """The instance list was read, or relayed.

    :param instances: all instances; those of other kinds are skipped
    """

    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class LinkOpened:
    """An authenticated connection is open.

    :param link: the connection
    :param peer: entry instance at its other end
    :param zone: the peer's availability zone
    :param address: ``host:port`` at which the peer accepts connections
    :param incarnation: the peer's incarnation
    :param dialed: this process opened the connection
    """

    link: LinkId
    peer: EntryInstanceId
    zone: ZoneName
    address: str
    incarnation: Incarnation
    dialed: bool


@dataclass(frozen=True, slots=True)
class LinkHeard:
    """Bytes were received."""

    link: LinkId


@dataclass(frozen=True, slots=True)
class LinkSent:
    """Bytes were handed to the connection."""

    link: LinkId


@dataclass(frozen=True, slots=True)
class LinkClosed:
    """A connection ended."""

    link: LinkId


@dataclass(frozen=True, slots=True)
class DialFailed:
    """A new connection to a peer could not be opened."""

    peer: EntryInstanceId


@dataclass(frozen=True, slots=True)
class GoodbyeReceived:
    """A peer leaves on purpose."""

    peer: EntryInstanceId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


Event = (
    InstancesListed
    | LinkOpened
    | LinkHeard
    | LinkSent
    | LinkClosed
    | DialFailed
    | GoodbyeReceived
    | Tick
)


@dataclass(frozen=True, slots=True)
class Dial:
    """Open a new connection; report LinkOpened or DialFailed."""

    peer: EntryInstanceId
    address: str


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a connection that another one replaced, or that serves nothing any more."""

    link: LinkId


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat."""

    link: LinkId


@dataclass(frozen=True, slots=True)
class PeerChanged:
    """A peer's status changed; for logs and metrics."""

    peer: EntryInstanceId
    status: PeerStatus


Effect = Dial | CloseLink | SendHeartbeat | PeerChanged
