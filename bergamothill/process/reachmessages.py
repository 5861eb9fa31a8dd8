"""Datagrams in which entry instances ask each other whether servers answer them; no I/O."""

from __future__ import annotations

from dataclasses import dataclass

import cbor2

from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId

__all__ = [
    "ReachMessage",
    "ReachQuery",
    "ReachReply",
    "decode_reach_message",
    "encode_reach_query",
    "encode_reach_reply",
    "is_reach_message",
]

KIND = "reach"
FORMAT = 1

_QUERY, _REPLY = "query", "reply"
_DATAGRAM_PREFIX = b"\x85" + cbor2.dumps(KIND)


@dataclass(frozen=True, slots=True)
class ReachQuery:
    """Asks whether servers answer an instance, and whether it takes requests of others.

    :param entry: sender
    """

    entry: EntryInstanceId


@dataclass(frozen=True, slots=True)
class ReachReply:
    """Answers a question.

    :param entry: sender
    :param is_reaching: whether a server has just answered it
    :param is_admitting: whether it takes requests that others pass on
    :param in_progress: number of requests that it has in progress
    :param is_isolated: whether it reaches no server and knows that others do
    """

    entry: EntryInstanceId
    is_reaching: bool
    is_admitting: bool
    in_progress: int
    is_isolated: bool = False

    @property
    def is_helping(self) -> bool:
        """Whether requests may be passed on to it."""
        return self.is_reaching and self.is_admitting


ReachMessage = ReachQuery | ReachReply


def is_reach_message(datagram: bytes) -> bool:
    """Return whether a datagram is about reaching servers."""
    return datagram.startswith(_DATAGRAM_PREFIX)


def encode_reach_query(query: ReachQuery) -> bytes:
    """Encode a question as a datagram."""
    return cbor2.dumps([KIND, FORMAT, query.entry, _QUERY, []])


def encode_reach_reply(reply: ReachReply) -> bytes:
    """Encode a reply as a datagram."""
    row = [reply.is_reaching, reply.is_admitting, reply.in_progress, reply.is_isolated]
    return cbor2.dumps([KIND, FORMAT, reply.entry, _REPLY, row])


def decode_reach_message(datagram: bytes) -> ReachMessage:
    """Decode a message; what a newer build appends to a row is ignored.

    :param datagram: content of a datagram
    :raises ProtocolError: it is not a valid message
    """
    try:
        _, _, entry, kind, row = cbor2.loads(datagram)
        entry = EntryInstanceId(str(entry))
        if kind == _QUERY:
            return ReachQuery(entry)
        if kind != _REPLY:
            raise ValueError(f"unknown kind {kind!r}")
        is_reaching, is_admitting, in_progress, is_isolated, *_ = row
        flags = (bool(is_reaching), bool(is_admitting))
        return ReachReply(entry, *flags, max(0, int(in_progress)), bool(is_isolated))
    except (TypeError, ValueError, OverflowError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(f"not about reaching servers: {error}", step="reach.decode") from error
