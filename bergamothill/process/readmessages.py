"""Messages in which the instances of a zone tell each other what they read; no I/O.

Times travel as ages. An answer names the query that it answers, so its receiver counts the age from
when it sent the query: no delay of a datagram or pause of a process makes a read look newer.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import Any

import cbor2

from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId
from bergamothill.process.readcontent import MAX_PIECES

__all__ = [
    "Confirmation",
    "ContentPiece",
    "ReadAnswer",
    "ReadMessage",
    "ReadNotice",
    "ReadQuery",
    "WantedPrefix",
    "decode_read_message",
    "encode_read_message",
    "is_read_message",
]

KIND = "reads"
FORMAT = 1
MAX_ROWS = 16
MAX_AGE_MS = 1 << 40
MAX_ERA = 9_999

# The datagrams of other kinds have three, four or seven items, or another kind.
_DATAGRAM_PREFIX = b"\x85" + cbor2.dumps(KIND)


@dataclass(frozen=True, slots=True)
class ReadNotice:
    """A reader has read a prefix, or failed to.

    :param entry: sender
    :param prefix: prefix of the keys
    :param digest: digest of the entries; empty if the read failed
    """

    entry: EntryInstanceId
    prefix: str
    digest: bytes


@dataclass(frozen=True, slots=True)
class WantedPrefix:
    """What a query says of one prefix.

    :param prefix: prefix of the keys
    :param digest: digest of the entries that the sender has
    :param fetched: digest of the content of which it has some pieces; empty if none
    :param missing: numbers of the pieces of it that it lacks
    """

    prefix: str
    digest: bytes
    fetched: bytes = b""
    missing: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class ReadQuery:
    """Asks for the newest reads.

    :param entry: sender
    :param query_id: repeated in the answer
    :param wanted: one item for each prefix
    """

    entry: EntryInstanceId
    query_id: int
    wanted: tuple[WantedPrefix, ...]


@dataclass(frozen=True, slots=True)
class Confirmation:
    """What the last read of the sender returned.

    :param prefix: prefix of the keys
    :param era: era of the service in which it was read
    :param number: increases with each read of the sender
    :param sent_age_ms: time since the read was sent
    :param done_age_ms: time since it returned
    :param digest: digest of the entries
    :param outage_age_ms: time since the read was sent that ended the sender's last outage of the
        service; None if there was none
    :param is_failing: whether later reads failed
    """

    prefix: str
    era: int
    number: int
    sent_age_ms: int
    done_age_ms: int
    digest: bytes
    outage_age_ms: int | None
    is_failing: bool


@dataclass(frozen=True, slots=True)
class ReadAnswer:
    """Answers a query.

    :param entry: sender
    :param query_id: query that is answered
    :param confirmations: one for each prefix that the sender has read
    """

    entry: EntryInstanceId
    query_id: int
    confirmations: tuple[Confirmation, ...]


@dataclass(frozen=True, slots=True)
class ContentPiece:
    """Part of the content of a prefix.

    :param entry: sender
    :param prefix: prefix of the keys
    :param digest: digest of the content
    :param base: digest of the content to which the changes apply; empty if it is whole
    :param index: number of the piece, from 0
    :param count: number of pieces
    :param content: bytes of the piece
    """

    entry: EntryInstanceId
    prefix: str
    digest: bytes
    base: bytes
    index: int
    count: int
    content: bytes


ReadMessage = ReadNotice | ReadQuery | ReadAnswer | ContentPiece


def is_read_message(datagram: bytes) -> bool:
    """Return whether a datagram is one of these messages."""
    return datagram.startswith(_DATAGRAM_PREFIX)


@singledispatch
def _body(message: Any) -> list[Any]:
    raise TypeError(type(message).__name__)


@_body.register
def _(message: ReadNotice) -> list[Any]:
    return ["notice", message.prefix, message.digest]


@_body.register
def _(message: ReadQuery) -> list[Any]:
    rows = [[w.prefix, w.digest, w.fetched, list(w.missing)] for w in message.wanted]
    return ["query", message.query_id, rows]


@_body.register
def _(message: ReadAnswer) -> list[Any]:
    rows = [
        [
            row.prefix,
            row.era,
            row.number,
            row.sent_age_ms,
            row.done_age_ms,
            row.digest,
            row.outage_age_ms,
            row.is_failing,
        ]
        for row in message.confirmations
    ]
    return ["answer", message.query_id, rows]


@_body.register
def _(message: ContentPiece) -> list[Any]:
    place = [message.index, message.count]
    return ["piece", message.prefix, message.digest, message.base, *place, message.content]


def encode_read_message(message: ReadMessage) -> bytes:
    """Encode a message as a datagram."""
    name, *fields = _body(message)
    return cbor2.dumps([KIND, FORMAT, message.entry, name, fields])


def decode_read_message(datagram: bytes) -> ReadMessage:
    """Decode a message.

    :param datagram: content of a datagram
    :raises ProtocolError: it is not a valid message
    """
    try:
        _, _, entry, name, fields = cbor2.loads(datagram)
        return _DECODERS[name](EntryInstanceId(_text(entry)), *fields)
    except (TypeError, ValueError, KeyError, OverflowError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(f"not a message on reads: {error}", step="reads.decode") from error


def _decode_notice(entry: EntryInstanceId, prefix: Any, digest: Any, *_: Any) -> ReadNotice:
    return ReadNotice(entry, _text(prefix), _bytes(digest))


def _decode_query(entry: EntryInstanceId, query_id: Any, rows: Any, *_: Any) -> ReadQuery:
    wanted = tuple(
        WantedPrefix(
            _text(prefix),
            _bytes(digest),
            _bytes(fetched),
            tuple(_count(index) for index in missing),
        )
        for prefix, digest, fetched, missing, *_ in rows[:MAX_ROWS]
    )
    return ReadQuery(entry, _count(query_id), wanted)


def _decode_answer(entry: EntryInstanceId, query_id: Any, rows: Any, *_: Any) -> ReadAnswer:
    confirmations = tuple(_decode_confirmation(*row) for row in rows[:MAX_ROWS])
    return ReadAnswer(entry, _count(query_id), confirmations)


def _decode_confirmation(
    prefix: Any,
    era: Any,
    number: Any,
    sent_age_ms: Any,
    done_age_ms: Any,
    digest: Any,
    outage_age_ms: Any,
    is_failing: Any,
    *_: Any,
) -> Confirmation:
    done_age = _age(done_age_ms)
    if _count(era) > MAX_ERA:
        raise ValueError("implausible era")
    return Confirmation(
        _text(prefix),
        era,
        _count(number),
        max(done_age, _age(sent_age_ms)),
        done_age,
        _bytes(digest),
        None if outage_age_ms is None else _age(outage_age_ms),
        bool(is_failing),
    )


def _decode_piece(
    entry: EntryInstanceId,
    prefix: Any,
    digest: Any,
    base: Any,
    index: Any,
    count: Any,
    content: Any,
    *_: Any,
) -> ContentPiece:
    if not 0 <= _count(index) < _count(count) <= MAX_PIECES:
        raise ValueError("no such piece")
    return ContentPiece(
        entry, _text(prefix), _bytes(digest), _bytes(base), index, count, _bytes(content)
    )


_DECODERS = {
    "notice": _decode_notice,
    "query": _decode_query,
    "answer": _decode_answer,
    "piece": _decode_piece,
}


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("not text")
    return value


def _bytes(value: Any) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError("not bytes")
    return value


def _count(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise TypeError("not a count")
    return value


def _age(value: Any) -> int:
    if _count(value) > MAX_AGE_MS:
        raise ValueError("implausible age")
    return value
