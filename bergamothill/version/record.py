"""Records of the accepted configuration in the key-value service: head, buckets, history pages."""

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
from bergamothill.version.config import (
    EMPTY,
    BrandConfig,
    Configuration,
    Defaults,
    ExceptionRecord,
    ModelConfig,
    ServiceConfig,
)
from bergamothill.version.effect import default_value
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
BRAND_BUCKETS = 128
LINEAGE_LENGTH = 32
STEP = "configuration.decode"


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """One accepted change set as kept in the head.

    :param change_id: id drawn before the first attempt
    :param revision: revision at which it was accepted
    :param lineage: hash over all accepted changes and contents up to this revision
    :param fingerprint: hash of the change set, so that its id cannot stand for another
    :param items: items touched
    :param summary: short text for people
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
    """The record that says which configuration is accepted.

    :param revision: number of the accepted configuration; 0 before the first
    :param lineage: hash over all accepted changes and contents up to this revision
    :param buckets: digest of the content of each bucket
    :param recent: latest accepted changes, oldest first
    :param page: digest of the history page before ``recent``; empty for none
    :param retired: digests of replaced contents that late readers may still fetch, oldest first
    """

    revision: Revision = Revision(0)
    lineage: str = ""
    buckets: Mapping[str, str] = field(default_factory=lambda: EMPTY)
    recent: tuple[AcceptedChange, ...] = ()
    page: str = ""
    retired: tuple[str, ...] = ()

    def find(self, change_id: ChangeId) -> AcceptedChange | None:
        """Return a recent change by its id."""
        return next((done for done in self.recent if done.change_id == change_id), None)

    def lineage_at(self, revision: Revision) -> str | None:
        """Return the lineage of an earlier revision; None when the head no longer has it."""
        if revision == 0:
            return ""
        if not self.recent or revision < self.recent[0].revision or revision > self.revision:
            return None
        return self.recent[revision - self.recent[0].revision].lineage


EMPTY_HEAD = Head()


@dataclass(frozen=True, slots=True)
class Bucket:
    """A share of the configuration, named by the digest of its bytes.

    :param salt: change that wrote it; makes each write's digest unique, so that a deleted content
        never has to come back
    :param entries: plain values of the records in the bucket
    """

    salt: str
    entries: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class HistoryPage:
    """Changes that left the head.

    :param changes: accepted changes, oldest first
    :param page: digest of the page before; empty for none
    """

    changes: tuple[AcceptedChange, ...]
    page: str = ""


@dataclass(frozen=True, slots=True)
class _Parts:
    """Typed content of a configuration while it is put together."""

    defaults: list[Defaults] = field(default_factory=list)
    brands: dict[str, BrandConfig] = field(default_factory=dict)
    models: dict[str, ModelConfig] = field(default_factory=dict)
    services: dict[str, ServiceConfig] = field(default_factory=dict)


def encode(record: object) -> bytes:
    """Encode a head, bucket or history page.

    :raises InvalidRequestError: the record exceeds what the key-value service holds
    """
    value = cbor2.dumps(to_plain(record), canonical=True)
    if len(value) > MAX_VALUE_BYTES:
        raise InvalidRequestError(
            f"{type(record).__name__} has {len(value)} bytes, at most {MAX_VALUE_BYTES} fit",
            step="configuration.encode",
        )
    return value


def decode(cls: type, value: bytes) -> Any:
    """Decode a head, bucket or history page.

    :raises ProtocolError: the bytes are no such record
    """
    try:
        return from_plain(cls, cbor2.loads(value))
    except (ValueError, InvalidRequestError) as error:
        raise ProtocolError(f"no {cls.__name__}: {error}", step=STEP) from error


def digest_of(value: bytes) -> str:
    """Return the hexadecimal SHA-256 of a content."""
    return hashlib.sha256(value).hexdigest()


def content_key(digest: str) -> str:
    """Return the key of a bucket or history page."""
    return CONTENT_PREFIX + digest


def next_lineage(head: Head, change: AcceptedChange, buckets: Mapping[str, str]) -> str:
    """Return the lineage after a change.

    :param head: head that the change follows
    :param change: change without its lineage
    :param buckets: digests after the change
    """
    parts = (head.lineage, change.change_id, change.fingerprint, *sorted(buckets.values()))
    return digest_of("\n".join(parts).encode())[:LINEAGE_LENGTH]


def conflicts(items: Iterable[str], others: Iterable[str]) -> bool:
    """Tell whether an item of one side equals, or lies below, an item of the other."""
    right = [f"{item}/" for item in others]
    left = [f"{item}/" for item in items]
    return any(a.startswith(b) or b.startswith(a) for a in left for b in right)


def bucket_of(brand: str) -> str:
    """Return the bucket that holds a brand."""
    number = hashlib.sha256(brand.encode()).digest()[0] % BRAND_BUCKETS
    return f"brands/{number:02x}"


def split_buckets(configuration: Configuration) -> dict[str, tuple[Any, ...]]:
    """Return the records of each bucket that is not empty."""
    buckets: dict[str, list[Any]] = {"defaults": [configuration.defaults]}
    if configuration.models:
        buckets["models"] = [configuration.models[name] for name in sorted(configuration.models)]
    if configuration.services:
        names = sorted(configuration.services)
        buckets["services"] = [configuration.services[name] for name in names]
    for name in sorted(configuration.brands):
        buckets.setdefault(bucket_of(name), []).append(configuration.brands[name])
    return {name: tuple(records) for name, records in buckets.items()}


def join_buckets(revision: Revision, contents: Mapping[str, tuple[Any, ...]]) -> Configuration:
    """Put a configuration together.

    :param revision: number of the configuration
    :param contents: records of each bucket, as :func:`bucket_records` returns them
    """
    parts = _Parts()
    for name, records in contents.items():
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

    :param name: bucket
    :param value: its bytes
    :raises ProtocolError: the bytes are no such bucket
    """
    bucket = decode(Bucket, value)
    cls = _RECORD_TYPES.get(name.partition("/")[0])
    if cls is None:
        raise ProtocolError(f"unknown bucket {name}", step=STEP)
    try:
        records = tuple(from_plain(cls, entry) for entry in bucket.entries)
    except InvalidRequestError as error:
        raise ProtocolError(f"bucket {name}: {error}", step=STEP) from error
    return tuple(_typed_exceptions(r) if cls is BrandConfig else r for r in records)


def _typed_exceptions(brand: BrandConfig) -> BrandConfig:
    if not brand.exceptions:
        return brand
    defaults = Defaults()
    exceptions = {
        name: ExceptionRecord(record.reason, default_value(defaults, name, record.value))
        for name, record in brand.exceptions.items()
    }
    return replace(brand, exceptions=MappingProxyType(exceptions))
