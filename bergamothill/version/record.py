"""Configuration records in the key-value service: head, buckets and history pages."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Any

import cbor2

from bergamothill.connection.kvs import MAX_VALUE_BYTES
from bergamothill.errors import InvalidRequestError, ProtocolError
from bergamothill.ids import ChangeId, Revision
from bergamothill.version.applychanges import parse_default
from bergamothill.version.config import (
    EMPTY,
    BrandConfig,
    Configuration,
    Defaults,
    ExceptionRecord,
    ModelConfig,
    ServiceConfig,
)
from bergamothill.version.plain import from_plain, to_plain

__all__ = [
    "CONTENT_PREFIX",
    "EMPTY_HEAD",
    "HEAD_KEY",
    "AcceptedChange",
    "Bucket",
    "Head",
    "HistoryPage",
    "bucket_of",
    "bucket_records",
    "conflicts",
    "content_key",
    "decode",
    "digest_of",
    "encode",
    "join_buckets",
    "next_lineage",
    "split_buckets",
]

HEAD_KEY = "config/head"
CONTENT_PREFIX = "config/content/"
BRAND_BUCKET_COUNT = 128
LINEAGE_HEX_DIGITS = 32
DECODE_STEP = "configuration.decode"


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """One accepted change set, as stored in the head or a history page.

    :param change_id: id generated before the first attempt
    :param revision: revision at which it was accepted
    :param lineage: hash over all accepted changes and bucket digests up to this revision
    :param fingerprint: hash of the change set, which detects reuse of its id for another one
    :param items: paths of the items it touches
    :param summary: short human-readable description
    :param accepted_wall_ms: time of acceptance at the writer, in milliseconds since the epoch
    """

    change_id: ChangeId
    revision: Revision
    lineage: str
    fingerprint: str
    items: tuple[str, ...]
    summary: str
    accepted_wall_ms: int


@dataclass(frozen=True, slots=True)
class Head:
    """Root record, which determines the accepted configuration.

    :param revision: number of the accepted configuration; 0 before the first
    :param lineage: hash over all accepted changes and bucket digests up to this revision
    :param buckets: digest of each bucket, by bucket name
    :param recent: latest accepted changes, oldest first
    :param page: digest of the history page that precedes ``recent``; empty if there is none
    :param retired: digests of replaced buckets that slow readers may still fetch, oldest first
    """

    revision: Revision = Revision(0)
    lineage: str = ""
    buckets: Mapping[str, str] = field(default_factory=lambda: EMPTY)
    recent: tuple[AcceptedChange, ...] = ()
    page: str = ""
    retired: tuple[str, ...] = ()

    def lineage_at(self, revision: Revision) -> str | None:
        """Return the lineage of an earlier revision; None when the head does not contain it."""
        if revision == 0:
            return ""
        if not self.recent or revision < self.recent[0].revision or revision > self.revision:
            return None
        return self.recent[revision - self.recent[0].revision].lineage


EMPTY_HEAD = Head()


@dataclass(frozen=True, slots=True)
class Bucket:
    """Part of the configuration, addressed by the digest of its encoded bytes.

    :param salt: revision and random token of the write; makes the digest of each write unique, so
        that a deleted digest is never needed again
    :param entries: plain values of the records in the bucket
    """

    salt: str
    entries: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class HistoryPage:
    """Accepted changes that were moved out of the head.

    :param changes: accepted changes, oldest first
    :param page: digest of the preceding page; empty if there is none
    """

    changes: tuple[AcceptedChange, ...]
    page: str = ""


@dataclass(frozen=True, slots=True)
class _ConfigurationParts:
    """Records collected while a configuration is assembled, in one field per kind of bucket."""

    defaults: list[Defaults] = field(default_factory=list)
    brands: dict[str, BrandConfig] = field(default_factory=dict)
    models: dict[str, ModelConfig] = field(default_factory=dict)
    services: dict[str, ServiceConfig] = field(default_factory=dict)


def encode(record: object) -> bytes:
    """Encode a head, bucket or history page.

    :raises InvalidRequestError: the record exceeds the value size limit of the key-value service
    """
    value = cbor2.dumps(to_plain(record), canonical=True)
    if len(value) > MAX_VALUE_BYTES:
        raise InvalidRequestError(
            f"{type(record).__name__} is {len(value)} bytes long; the limit is {MAX_VALUE_BYTES}",
            step="configuration.encode",
        )
    return value


def decode(cls: type, value: bytes) -> Any:
    """Decode a head, bucket or history page.

    :raises ProtocolError: the bytes are not a valid record of this type
    """
    try:
        return from_plain(cls, cbor2.loads(value))
    except (ValueError, InvalidRequestError) as error:
        raise ProtocolError(f"invalid {cls.__name__}: {error}", step=DECODE_STEP) from error


def digest_of(value: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of an encoded record."""
    return hashlib.sha256(value).hexdigest()


def content_key(digest: str) -> str:
    """Return the key under which a bucket or history page is stored.

    :param digest: digest of its encoded bytes
    """
    return CONTENT_PREFIX + digest


def next_lineage(head: Head, change: AcceptedChange, buckets: Mapping[str, str]) -> str:
    """Return the lineage after a change.

    :param head: head before the change
    :param change: change whose lineage is not set yet
    :param buckets: bucket digests after the change
    """
    parts = (head.lineage, change.change_id, change.fingerprint, *sorted(buckets.values()))
    return digest_of("\n".join(parts).encode())[:LINEAGE_HEX_DIGITS]


def conflicts(items: Iterable[str], others: Iterable[str]) -> bool:
    """Return whether an item of one side equals, or is a path prefix of, an item of the other."""
    # The final slash restricts prefixes to whole path components: "a" is not a prefix of "ab".
    right = [f"{item}/" for item in others]
    left = [f"{item}/" for item in items]
    return any(a.startswith(b) or b.startswith(a) for a in left for b in right)


def bucket_of(brand: str) -> str:
    """Return the name of the bucket that contains a brand."""
    index = hashlib.sha256(brand.encode()).digest()[0] % BRAND_BUCKET_COUNT
    return f"brands/{index:02x}"


def split_buckets(configuration: Configuration) -> dict[str, tuple[Any, ...]]:
    """Split a configuration into the records of each non-empty bucket."""
    buckets: dict[str, list[Any]] = {"defaults": [configuration.defaults]}
    if configuration.models:
        buckets["models"] = [configuration.models[name] for name in sorted(configuration.models)]
    if configuration.services:
        names = sorted(configuration.services)
        buckets["services"] = [configuration.services[name] for name in names]
    for name in sorted(configuration.brands):
        buckets.setdefault(bucket_of(name), []).append(configuration.brands[name])
    return {name: tuple(records) for name, records in buckets.items()}


def join_buckets(
    revision: Revision, records_by_bucket: Mapping[str, tuple[Any, ...]]
) -> Configuration:
    """Assemble a configuration from the records of its buckets.

    :param revision: revision of the configuration
    :param records_by_bucket: records of each bucket, as :func:`bucket_records` returns them
    """
    parts = _ConfigurationParts()
    for name, records in records_by_bucket.items():
        kind = name.partition("/")[0]
        if kind == "defaults":
            parts.defaults.extend(records)
        else:
            getattr(parts, kind).update({record.name: record for record in records})
    return Configuration(
        revision=revision,
        defaults=parts.defaults[0] if parts.defaults else Defaults(),
        brands=MappingProxyType(parts.brands),
        models=MappingProxyType(parts.models),
        services=MappingProxyType(parts.services),
    )


_RECORD_TYPES: Mapping[str, type] = MappingProxyType(
    {"defaults": Defaults, "brands": BrandConfig, "models": ModelConfig, "services": ServiceConfig}
)


def bucket_records(name: str, value: bytes) -> tuple[Any, ...]:
    """Decode the records of a bucket.

    :param name: name of the bucket
    :param value: its encoded bytes
    :raises ProtocolError: the bytes are not a valid bucket of this name
    """
    bucket = decode(Bucket, value)
    cls = _RECORD_TYPES.get(name.partition("/")[0])
    if cls is None:
        raise ProtocolError(f"unknown bucket {name}", step=DECODE_STEP)
    try:
        records = tuple(from_plain(cls, entry) for entry in bucket.entries)
    except InvalidRequestError as error:
        raise ProtocolError(f"invalid bucket {name}: {error}", step=DECODE_STEP) from error
    return tuple(_restore_exception_types(r) if cls is BrandConfig else r for r in records)


def _restore_exception_types(brand: BrandConfig) -> BrandConfig:
    # An override ("exception") is stored as a plain value; its type is that of the default.
    if not brand.exceptions:
        return brand
    defaults = Defaults()
    exceptions = {
        name: ExceptionRecord(record.reason, parse_default(defaults, name, record.value))
        for name, record in brand.exceptions.items()
    }
    return replace(brand, exceptions=MappingProxyType(exceptions))
