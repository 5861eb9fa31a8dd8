"""Datagrams in which entry instances tell and ask each other where streams began; no I/O.

What is told does not depend on earlier datagrams, so that lost, repeated and reordered ones do no
harm.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import Any

import cbor2

from bergamothill.errors import ProtocolError
from bergamothill.ids import (
    BrandName,
    EntryInstanceId,
    RequestId,
    ServerId,
    ServiceName,
    SoftwareVersion,
)
from bergamothill.request.streamorigin import StreamKey, StreamOrigin

__all__ = [
    "OriginMessage",
    "OriginNotice",
    "OriginQuery",
    "OriginReply",
    "decode_origin_message",
    "encode_origin_message",
    "is_origin_message",
]

KIND = "origins"
FORMAT = 1
MAX_ORIGINS = 10
"""Origins in one notice, which fits one packet of the network with texts of the usual length."""

_NOTICE, _QUERY, _REPLY = "notice", "query", "reply"

# Datagrams of load reports, reports of limits and of the quarantine have three, four, seven items.
_DATAGRAM_PREFIX = b"\x85" + cbor2.dumps(KIND)


@dataclass(frozen=True, slots=True)
class OriginNotice:
    """Tells where streams began.

    :param entry: sender
    :param origins: at most ``MAX_ORIGINS`` of them
    """

    entry: EntryInstanceId
    origins: tuple[StreamOrigin, ...]


@dataclass(frozen=True, slots=True)
class OriginQuery:
    """Asks where a stream began.

    :param entry: sender
    :param query_id: number of the question at its sender
    :param key: identifies the stream
    """

    entry: EntryInstanceId
    query_id: int
    key: StreamKey


@dataclass(frozen=True, slots=True)
class OriginReply:
    """Answers a question from what its sender knows.

    :param entry: sender
    :param query_id: number of the question at the instance that asked
    :param origin: where the stream began; None if not known or ambiguous
    :param is_ambiguous: whether streams of several versions began with this key
    """

    entry: EntryInstanceId
    query_id: int
    origin: StreamOrigin | None
    is_ambiguous: bool


OriginMessage = OriginNotice | OriginQuery | OriginReply


def is_origin_message(datagram: bytes) -> bool:
    """Return whether a datagram is about the origins of streams."""
    return datagram.startswith(_DATAGRAM_PREFIX)


def encode_origin_message(message: OriginMessage) -> bytes:
    """Encode a message as a datagram.

    :param message: message to encode
    """
    kind, rows = _rows(message)
    return cbor2.dumps([KIND, FORMAT, message.entry, kind, rows])


def decode_origin_message(datagram: bytes) -> OriginMessage:
    """Decode a message; what a newer build appends to a row is ignored.

    :param datagram: content of a datagram
    :raises ProtocolError: it is not a valid message
    """
    try:
        _, _, entry, kind, rows = cbor2.loads(datagram)
        return _decode_rows(EntryInstanceId(str(entry)), kind, rows)
    except (TypeError, ValueError, OverflowError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(f"not about origins: {error}", step="origins.decode") from error


def _decode_rows(entry: EntryInstanceId, kind: Any, rows: Any) -> OriginMessage:
    if kind == _NOTICE:
        return OriginNotice(entry, tuple(_decode_origin(row) for row in rows))
    if kind == _QUERY:
        query_id, brand, request, *_ = rows
        return OriginQuery(entry, int(query_id), _decode_key(brand, request))
    if kind == _REPLY:
        query_id, origin, is_ambiguous, *_ = rows
        origin = None if origin is None else _decode_origin(origin)
        return OriginReply(entry, int(query_id), origin, bool(is_ambiguous))
    raise ValueError(f"unknown kind {kind!r}")


@singledispatch
def _rows(message: OriginMessage) -> tuple[str, list[Any]]:
    """Return the kind of a message and its content."""
    raise TypeError(type(message).__name__)


@_rows.register
def _(message: OriginNotice) -> tuple[str, list[Any]]:
    return _NOTICE, [_row(origin) for origin in message.origins[:MAX_ORIGINS]]


@_rows.register
def _(message: OriginQuery) -> tuple[str, list[Any]]:
    return _QUERY, [message.query_id, message.key.brand, message.key.request]


@_rows.register
def _(message: OriginReply) -> tuple[str, list[Any]]:
    origin = None if message.origin is None else _row(message.origin)
    return _REPLY, [message.query_id, origin, message.is_ambiguous]


def _row(origin: StreamOrigin) -> list[Any]:
    return [
        origin.key.brand,
        origin.key.request,
        origin.service,
        origin.version,
        origin.server,
        origin.started_wall_ms,
        origin.begun_wall_ms,
        origin.is_presumed,
    ]


def _decode_origin(row: Any) -> StreamOrigin:
    brand, request, service, version, server, started_wall_ms, begun_wall_ms, *more = row
    return StreamOrigin(
        _decode_key(brand, request),
        ServiceName(_text(service)),
        SoftwareVersion(_text(version)),
        ServerId(_text(server)),
        int(started_wall_ms),
        int(begun_wall_ms),
        is_presumed=bool(more and more[0]),
    )


def _decode_key(brand: Any, request: Any) -> StreamKey:
    return StreamKey(None if brand is None else BrandName(_text(brand)), RequestId(_text(request)))


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("not a text")
    return value
