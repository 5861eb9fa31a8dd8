"""Messages that entry instances exchange to distribute the configuration."""

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
    """Announces the sender's active revision.

    :param revision: active revision
    :param lineage: lineage of that revision
    :param age_ms: time since it was confirmed as the latest, in milliseconds; -1 for never
    """

    revision: int
    lineage: str
    age_ms: int


@message("configuration.head_request")
@dataclass(frozen=True, slots=True)
class HeadRequest:
    """Requests the peer's head if it is newer.

    :param revision: active revision of the sender
    """

    revision: int


@message("configuration.head_reply")
@dataclass(frozen=True, slots=True)
class HeadReply:
    """Reply to :class:`HeadRequest`.

    :param announce: active revision of the peer
    :param value: encoded head; empty when it is not newer
    """

    announce: Announce
    value: bytes


@message("configuration.content_request")
@dataclass(frozen=True, slots=True)
class ContentRequest:
    """Requests one bucket of the peer's active configuration by its digest."""

    digest: str


@message("configuration.content_reply")
@dataclass(frozen=True, slots=True)
class ContentReply:
    """Reply to :class:`ContentRequest`.

    :param value: encoded bucket; empty when the peer does not have it
    """

    value: bytes
