"""Messages by which entry instances hand the configuration to each other."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.connection.bus import message

__all__ = [
    "NO_AGE",
    "Announce",
    "ContentReply",
    "ContentRequest",
    "HeadReply",
    "HeadRequest",
]

NO_AGE = -1
"""Age of a revision that was never confirmed as the latest."""


@message("configuration.announce")
@dataclass(frozen=True, slots=True)
class Announce:
    """A peer has a revision in force.

    :param revision: revision in force
    :param lineage: its lineage
    :param age_ms: time since it was confirmed as the latest, in milliseconds; -1 for never
    """

    revision: int
    lineage: str
    age_ms: int


@message("configuration.head_request")
@dataclass(frozen=True, slots=True)
class HeadRequest:
    """Ask for the peer's head if it is newer.

    :param revision: revision in force at the sender
    """

    revision: int


@message("configuration.head_reply")
@dataclass(frozen=True, slots=True)
class HeadReply:
    """Head of a peer.

    :param announce: what the peer has in force
    :param value: encoded head; empty when it is not newer
    """

    announce: Announce
    value: bytes


@message("configuration.content_request")
@dataclass(frozen=True, slots=True)
class ContentRequest:
    """Ask for one content of the peer's configuration."""

    digest: str


@message("configuration.content_reply")
@dataclass(frozen=True, slots=True)
class ContentReply:
    """Content of a peer's configuration.

    :param value: its bytes; empty when the peer does not have it
    """

    value: bytes
