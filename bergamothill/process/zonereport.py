"""Datagrams in which loads are exchanged by zone; no I/O.

A report is a full snapshot, so that lost, repeated and reordered datagrams do no harm. So is a sum;
most name their members and servers only by a hash of both, as the sums before named them in full.
Servers and members are named by hashes of four bytes, which need no agreement on a numbering.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, replace
from functools import lru_cache, singledispatch
from hashlib import blake2b
from typing import Any

import cbor2

from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId, ZoneName
from bergamothill.process.loadreport import (
    KEY_BYTES,
    KeyedLoads,
    MemberKey,
    ServerKey,
    ServerLoad,
)

__all__ = [
    "ZoneForward",
    "ZoneHello",
    "ZoneMessage",
    "ZonePass",
    "ZoneReport",
    "ZoneSum",
    "append_zone",
    "decode_zone_message",
    "encode_zone_message",
    "is_zone_message",
    "layout_of",
    "pack_loads",
    "read_zone",
]

KIND = "zones"
FORMAT = 1
MAX_MEMBERS = 4_096
MAX_AGE_MS = 60_000
ROW_NUMBERS = 3

_STEP = "zones.decode"
_REPORT, _SUM, _FORWARD, _HELLO, _PASS = range(5)

# Datagrams about origins of streams have five items, too, but another name.
_DATAGRAM_PREFIX = b"\x85" + cbor2.dumps(KIND)

_SUFFIX = b"\xffzn1"
"""Ends a load report after the zone and its length; builds before this ignore what follows."""


@dataclass(frozen=True, slots=True)
class ZoneReport:
    """Loads of one instance, for its zone.

    :param entry: sender
    :param zone: zone of the sender
    :param sequence_number: increases with each load report of the sender, of either form
    :param loads: its loads
    """

    entry: EntryInstanceId
    zone: ZoneName
    sequence_number: int
    loads: KeyedLoads


@dataclass(frozen=True, slots=True)
class ZoneSum:
    """Sum of the loads of a zone, made by one of its relays.

    :param entry: relay that made it
    :param zone: zone of the relay
    :param sequence_number: increases with each sum of the relay
    :param oldest_age_ms: age of its oldest part when it was made
    :param layout: hash of the members and servers
    :param members: instances whose loads it contains; empty if they and the servers are those of
        the latest sum of this relay with the same layout
    :param member_sequences: low 32 bits of the sequence numbers of their reports, in the order of
        the members; empty for other zones
    :param servers: servers, four bytes each
    :param numbers: requests in progress, tokens and tokens to prefill for each server
    """

    entry: EntryInstanceId
    zone: ZoneName
    sequence_number: int
    oldest_age_ms: int
    layout: int
    members: tuple[MemberKey, ...]
    member_sequences: tuple[int, ...]
    servers: bytes
    numbers: tuple[int, ...]

    @property
    def loads(self) -> KeyedLoads:
        """Loads by server; made anew by each call."""
        return _loads(self.servers, self.numbers)

    @property
    def without_layout(self) -> ZoneSum:
        """The same sum without what its layout stands for."""
        return replace(self, members=(), member_sequences=(), servers=b"")

    def with_layout_of(self, known: ZoneSum | None) -> ZoneSum | None:
        """Return the sum with its members and servers; None if they are not known.

        :param known: latest sum of the same relay
        """
        if self.members:
            return self
        if known is None or known.layout != self.layout:
            return None
        if len(known.numbers) != len(self.numbers):
            return None
        return replace(self, members=known.members, servers=known.servers)


@dataclass(frozen=True, slots=True)
class ZoneForward:
    """Sums that a relay passes on to its zone; without any, it shows that the relay is alive.

    :param entry: sender
    :param sums: encoded sums, each with the time since the sender received it
    """

    entry: EntryInstanceId
    sums: tuple[tuple[int, bytes], ...]


@dataclass(frozen=True, slots=True)
class ZoneHello:
    """Tells that the sender understands these datagrams.

    :param entry: sender
    :param zone: zone of the sender
    """

    entry: EntryInstanceId
    zone: ZoneName


@dataclass(frozen=True, slots=True)
class ZonePass:
    """Datagram of another kind, to be passed on unchanged inside the zone of the receiver.

    :param entry: not set, as the datagram names its sender
    :param members: instances that are to receive it beside the receiver; all if there are none
    :param datagram: content
    """

    entry: EntryInstanceId
    members: tuple[MemberKey, ...]
    datagram: bytes


ZoneMessage = ZoneReport | ZoneSum | ZoneForward | ZoneHello | ZonePass


def is_zone_message(datagram: bytes) -> bool:
    """Return whether a datagram belongs to the exchange by zone."""
    return datagram.startswith(_DATAGRAM_PREFIX)


def append_zone(report: bytes, zone: ZoneName) -> bytes:
    """Append the zone of the sender, who asks for a hello, to a load report of the former form."""
    name = zone.encode()[:255]
    return report + name + bytes([len(name)]) + _SUFFIX


def read_zone(report: bytes) -> ZoneName | None:
    """Return the zone that was appended to a load report; None if none was."""
    if not report.endswith(_SUFFIX):
        return None
    end = len(report) - len(_SUFFIX) - 1
    start = end - report[end] if end >= 0 else -1
    if start < 0:
        return None
    return ZoneName(report[start:end].decode(errors="replace"))


def encode_zone_message(message: ZoneMessage) -> bytes:
    """Encode a message as a datagram."""
    kind, body = _body(message)
    return cbor2.dumps([KIND, FORMAT, message.entry, kind, body])


@singledispatch
def _body(message: ZoneMessage) -> tuple[int, list[Any]]:
    """Return the kind of a message and its content."""
    raise TypeError(type(message).__name__)


@_body.register
def _(message: ZoneReport) -> tuple[int, list[Any]]:
    servers, numbers = pack_loads(message.loads)
    return _REPORT, [message.zone, message.sequence_number, servers, numbers]


@_body.register
def _(message: ZoneSum) -> tuple[int, list[Any]]:
    body = [
        message.zone,
        message.sequence_number,
        message.oldest_age_ms,
        message.layout,
        _pack(message.members),
        _pack(message.member_sequences),
        message.servers,
        message.numbers,
    ]
    return _SUM, body


@_body.register
def _(message: ZoneForward) -> tuple[int, list[Any]]:
    return _FORWARD, [[held_ms, encoded] for held_ms, encoded in message.sums]


@_body.register
def _(message: ZoneHello) -> tuple[int, list[Any]]:
    return _HELLO, [message.zone]


@_body.register
def _(message: ZonePass) -> tuple[int, list[Any]]:
    return _PASS, [_pack(message.members), message.datagram]


def decode_zone_message(datagram: bytes) -> ZoneMessage:
    """Decode a message; what a newer build appends to its content is ignored.

    :param datagram: content of a datagram
    :raises ProtocolError: it is not a valid message
    """
    try:
        _, _, entry, kind, body = cbor2.loads(datagram)
        return _decode_body(EntryInstanceId(str(entry)), kind, body)
    except (TypeError, ValueError, LookupError, OverflowError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(f"not of the exchange by zone: {error}", step=_STEP) from error


def _decode_body(entry: EntryInstanceId, kind: Any, body: Any) -> ZoneMessage:
    if kind == _REPORT:
        zone, sequence_number, servers, numbers, *_ = body
        loads = _loads(*_checked_columns(servers, numbers))
        return ZoneReport(entry, ZoneName(str(zone)), int(sequence_number), loads)
    if kind == _SUM:
        zone, sequence_number, age_ms, layout, members, sequences, servers, numbers, *_ = body
        members, sequences = _unpack(members), _unpack(sequences)
        if sequences and len(sequences) != len(members):
            raise ValueError("members and their reports differ in number")
        columns = _checked_columns(servers, numbers, has_servers=bool(members))
        head = (ZoneName(str(zone)), int(sequence_number), _age_ms(age_ms), int(layout))
        return ZoneSum(entry, *head, members, sequences, *columns)
    if kind == _FORWARD:
        return ZoneForward(entry, tuple((_age_ms(held), _bytes(encoded)) for held, encoded in body))
    if kind == _HELLO:
        return ZoneHello(entry, ZoneName(str(body[0])))
    if kind == _PASS:
        members, inner, *_ = body
        return ZonePass(entry, _unpack(members), _bytes(inner))
    raise ValueError(f"unknown kind {kind!r}")


def layout_of(members: tuple[MemberKey, ...], servers: bytes) -> int:
    """Return the hash that stands for the members and servers of a sum."""
    digest = blake2b(_pack(members) + servers, digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "little")


def pack_loads(loads: KeyedLoads) -> tuple[bytes, tuple[int, ...]]:
    """Return loads as the columns of a datagram."""
    numbers = [
        number
        for load in loads.values()
        for number in (load.in_progress, load.tokens, load.pending_prefill_tokens)
    ]
    return _pack(tuple(loads)), tuple(numbers)


def _loads(servers: bytes, numbers: tuple[int, ...]) -> KeyedLoads:
    rows = zip(*[iter(numbers)] * ROW_NUMBERS, strict=True)
    return {
        ServerKey(server): ServerLoad(*row)
        for (server,), row in zip(struct.iter_unpack("<I", servers), rows, strict=True)
    }


def _checked_columns(
    servers: Any, numbers: Any, *, has_servers: bool = True
) -> tuple[bytes, tuple[int, ...]]:
    servers, numbers = _bytes(servers), tuple(numbers)
    rows, rest = divmod(len(numbers), ROW_NUMBERS)
    if rest or len(servers) != (rows * KEY_BYTES if has_servers else 0):
        raise ValueError("servers and numbers differ in number")
    if numbers and not (set(map(type, numbers)) <= {int} and min(numbers) >= 0):
        raise ValueError("not a count")
    return servers, numbers


def _pack(keys: tuple[int, ...]) -> bytes:
    return struct.pack(f"<{len(keys)}I", *keys)


@lru_cache(maxsize=MAX_MEMBERS)
def _unpack(packed: bytes) -> tuple[int, ...]:
    if not isinstance(packed, bytes) or len(packed) > MAX_MEMBERS * KEY_BYTES:
        raise ValueError("not a list of keys")
    if len(packed) % KEY_BYTES:
        raise ValueError("not whole keys")
    return struct.unpack(f"<{len(packed) // KEY_BYTES}I", packed)


def _age_ms(value: Any) -> int:
    return min(MAX_AGE_MS, max(0, int(value)))


def _bytes(value: Any) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError("not bytes")
    return value
