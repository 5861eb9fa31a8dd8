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
    "LinkDataReceived",
    "LinkId",
    "LinkOpened",
    "LinkDataSent",
    "PeerChanged",
    "PeerStatus",
    "SendHeartbeat",
    "Tick",
]

LinkId = NewType("LinkId", int)
"""One connection to a peer, unique in this process."""


class PeerStatus(Enum):
    """Observed status of a peer."""

    UNKNOWN = "unknown"
    """Known, but never connected in this incarnation."""

    LIVE = "live"
    DEAD = "dead"
    """An attempt to open a new connection failed."""

    LEFT = "left"
    """Left on purpose; final for the incarnation."""


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """The instance list was read, or received from a peer.

    :param instances: all instances; those that are not entry instances are ignored
    """

    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class LinkOpened:
    """An authenticated connection was opened.

    :param link: id of the connection
    :param peer: entry instance at its other end
    :param zone: the peer's availability zone
    :param address: ``host:port`` at which the peer accepts connections
    :param incarnation: the peer's incarnation
    :param dialed: whether this process opened the connection
    """

    link: LinkId
    peer: EntryInstanceId
    zone: ZoneName
    address: str
    incarnation: Incarnation
    dialed: bool


@dataclass(frozen=True, slots=True)
class LinkDataReceived:
    """Bytes were received on a connection."""

    link: LinkId


@dataclass(frozen=True, slots=True)
class LinkDataSent:
    """Bytes were handed to a connection for sending."""

    link: LinkId


@dataclass(frozen=True, slots=True)
class LinkClosed:
    """A connection was closed or lost."""

    link: LinkId


@dataclass(frozen=True, slots=True)
class DialFailed:
    """A new connection to a peer could not be opened."""

    peer: EntryInstanceId


@dataclass(frozen=True, slots=True)
class GoodbyeReceived:
    """A peer announced that it is leaving."""

    peer: EntryInstanceId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event that lets the machine check its timeouts."""


Event = (
    InstancesListed
    | LinkOpened
    | LinkDataReceived
    | LinkDataSent
    | LinkClosed
    | DialFailed
    | GoodbyeReceived
    | Tick
)


@dataclass(frozen=True, slots=True)
class Dial:
    """Open a new connection to a peer; report LinkOpened or DialFailed."""

    peer: EntryInstanceId
    address: str


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a connection that was replaced or is no longer needed."""

    link: LinkId


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat on a connection."""

    link: LinkId


@dataclass(frozen=True, slots=True)
class PeerChanged:
    """The status of a peer changed; used for logs and metrics."""

    peer: EntryInstanceId
    status: PeerStatus


Effect = Dial | CloseLink | SendHeartbeat | PeerChanged
