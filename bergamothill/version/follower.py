"""Sans-I/O state machine that decides which configuration an entry instance applies."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from bergamothill.clock import Clock
from bergamothill.errors import ProtocolError
from bergamothill.ids import Revision
from bergamothill.version.config import Configuration
from bergamothill.version.record import (
    EMPTY_HEAD,
    Head,
    HistoryPage,
    bucket_records,
    decode,
    digest_of,
    join_buckets,
)

__all__ = [
    "ConfigurationFollower",
    "FollowerStatus",
    "HeadVerdict",
    "PreparedConfiguration",
    "RefusalReason",
    "Source",
    "VerdictKind",
]

STEP = "configuration.follow"


class Source(Enum):
    """Where a head was received from."""

    KVS = "kvs"
    PEER = "peer"


class VerdictKind(Enum):
    """Decision on an offered head."""

    CURRENT = "current"
    """It is the active head."""

    OLDER = "older"
    """It is older than the active head and comes from a peer that lags behind."""

    FETCH = "fetch"
    """Content objects are needed before it can be evaluated or applied."""

    READY = "ready"
    """Everything has been fetched; :meth:`ConfigurationFollower.apply` activates it."""

    REFUSED = "refused"
    """It would revert an accepted change."""


class RefusalReason(Enum):
    """Why a head was refused."""

    NONE = ""
    ROLLED_BACK = "rolled_back"
    """The key-value service was rolled back to an earlier state."""

    DIVERGED = "diverged"
    """The head does not descend from the active configuration."""


@dataclass(frozen=True, slots=True)
class HeadVerdict:
    """Result of evaluating an offered head.

    :param kind: decision
    :param revision: revision of the head
    :param fetch: digests of the content objects to fetch
    :param reason: why the head was refused
    :param is_ancestor: the refused head is an ancestor of the active one, and so contains no change
        that the active one lacks
    """

    kind: VerdictKind
    revision: Revision
    fetch: tuple[str, ...] = ()
    reason: RefusalReason = RefusalReason.NONE
    is_ancestor: bool = False


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """Configuration state of an entry instance.

    :param revision: active revision; 0 for none
    :param lineage: lineage of the active revision
    :param age_ms: time since it was last confirmed as the latest, in milliseconds; None for never
    :param refused_revision: revision of the latest head that is still refused; 0 for none
    :param reason: why that head was refused
    """

    revision: Revision
    lineage: str
    age_ms: int | None
    refused_revision: Revision
    reason: RefusalReason


class ConfigurationFollower:
    """Evaluates offered heads and holds the active configuration.

    A head is applied only if its revision is higher and its history includes the active head, so
    that a key-value service restored from a backup cannot revert accepted changes.

    :param clock: source of time
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._head = EMPTY_HEAD
        self._encoded_head = b""
        self._contents: Mapping[str, bytes] = {}
        self._records: Mapping[str, tuple[Any, ...]] = {}
        self._configuration: Configuration | None = None
        self._confirmed_ms: int | None = None
        self._refused_revision = Revision(0)
        self._refusal_reason = RefusalReason.NONE
        self._candidate: _Candidate | None = None

    @property
    def configuration(self) -> Configuration | None:
        """Active configuration; None before the first."""
        return self._configuration

    @property
    def head(self) -> Head:
        """Active head."""
        return self._head

    @property
    def head_value(self) -> bytes:
        """Encoded active head; empty before the first."""
        return self._encoded_head

    def content(self, digest: str) -> bytes | None:
        """Return a bucket of the active configuration for a peer; None when it is unknown."""
        return self._contents.get(digest)

    def status(self) -> FollowerStatus:
        """Return the current status."""
        now_ms = self._clock.now_ms()
        age_ms = None if self._confirmed_ms is None else now_ms - self._confirmed_ms
        head = self._head
        return FollowerStatus(
            head.revision, head.lineage, age_ms, self._refused_revision, self._refusal_reason
        )

    def confirm(self, revision: Revision, lineage: str, age_ms: int) -> None:
        """Record that a revision was confirmed as the latest; ignored unless it is the active one.

        :param revision: confirmed revision
        :param lineage: its lineage
        :param age_ms: time since the confirmation, in milliseconds
        """
        if (revision, lineage) != (self._head.revision, self._head.lineage):
            return
        confirmed_ms = self._clock.now_ms() - age_ms
        if self._confirmed_ms is None or confirmed_ms > self._confirmed_ms:
            self._confirmed_ms = confirmed_ms

    def is_newer(self, revision: Revision) -> bool:
        """Return whether a revision is higher than the active one."""
        return revision > self._head.revision

    def offer_head(self, value: bytes, source: Source) -> HeadVerdict:
        """Evaluate a head.

        :param value: encoded head
        :param source: where it was received from
        :raises ProtocolError: the bytes are not a valid head
        """
        head = decode(Head, value)
        is_first = self._configuration is None and source is Source.KVS
        if head.revision <= self._head.revision and not is_first:
            return self._evaluate_not_newer(head, source)
        if self._candidate is None or self._candidate.head.lineage != head.lineage:
            self._candidate = _Candidate(head, value, source, self._clock.now_ms())
        self._candidate.offered_ms = self._clock.now_ms()
        return self._evaluate_candidate(self._candidate)

    def offer_content(self, digest: str, value: bytes) -> None:
        """Add a content object requested by a verdict; ignored when no head is being evaluated.

        :param digest: digest of the content object
        :param value: its bytes
        :raises ProtocolError: the bytes do not match the digest
        """
        if digest_of(value) != digest:
            raise ProtocolError(f"content {digest} does not match its digest", step=STEP)
        if self._candidate is not None:
            self._candidate.contents[digest] = value

    def reevaluate(self) -> HeadVerdict | None:
        """Evaluate the candidate head again after content was added; None without a candidate."""
        return None if self._candidate is None else self._evaluate_candidate(self._candidate)

    def apply(self) -> Configuration:
        """Activate the candidate head.

        :returns: the active configuration
        :raises ProtocolError: no candidate head is complete, or a content object is corrupt
        """
        return self.commit(self.prepare())

    def prepare(self) -> PreparedConfiguration:
        """Decode the candidate head, which may take long, without changing any state.

        :raises ProtocolError: no candidate head is complete, or a content object is corrupt
        """
        candidate = self._candidate
        if candidate is None or self._missing_digests(candidate.head, candidate.contents):
            raise ProtocolError("no complete candidate head", step=STEP)
        head = candidate.head
        contents = {d: self._content_bytes(d, candidate.contents) for d in head.buckets.values()}
        records = self._decode_buckets(head, contents)
        by_name = {name: records[digest] for name, digest in head.buckets.items()}
        configuration = join_buckets(head.revision, by_name)
        return PreparedConfiguration(candidate, contents, records, configuration)

    def commit(self, prepared: PreparedConfiguration) -> Configuration:
        """Activate a decoded head.

        :param prepared: result of :meth:`prepare`; no head may have been offered since
        :returns: the active configuration
        """
        candidate = prepared.candidate
        self._head, self._encoded_head = candidate.head, candidate.value
        self._contents, self._records = prepared.contents, prepared.records
        self._configuration = prepared.configuration
        self._confirmed_ms = candidate.offered_ms if candidate.source is Source.KVS else None
        self._candidate = None
        self._clear_refusal()
        return prepared.configuration

    def _evaluate_not_newer(self, head: Head, source: Source) -> HeadVerdict:
        if head.revision == self._head.revision and head.lineage == self._head.lineage:
            if source is Source.KVS:
                self._clear_refusal()
                self.confirm(head.revision, head.lineage, 0)
            return HeadVerdict(VerdictKind.CURRENT, head.revision)
        known_lineage = self._head.lineage_at(head.revision)
        is_consistent = known_lineage is None or known_lineage == head.lineage
        if is_consistent and source is Source.PEER:
            return HeadVerdict(VerdictKind.OLDER, head.revision)
        reason = RefusalReason.ROLLED_BACK if is_consistent else RefusalReason.DIVERGED
        return self._refuse(head, reason, is_ancestor=known_lineage == head.lineage)

    def _evaluate_candidate(self, candidate: _Candidate) -> HeadVerdict:
        head = candidate.head
        lineage, page = self._lineage_at_active_revision(candidate)
        if lineage is None and page:
            return HeadVerdict(VerdictKind.FETCH, head.revision, (page,))
        if lineage != self._head.lineage:
            self._candidate = None
            return self._refuse(head, RefusalReason.DIVERGED)
        missing = self._missing_digests(head, candidate.contents)
        kind = VerdictKind.FETCH if missing else VerdictKind.READY
        return HeadVerdict(kind, head.revision, missing)

    def _lineage_at_active_revision(self, candidate: _Candidate) -> tuple[str | None, str]:
        """Return the candidate's lineage at the active revision, or the page to fetch for it."""
        active_revision = self._head.revision
        lineage = candidate.head.lineage_at(active_revision)
        page_digest = candidate.head.page
        while lineage is None and page_digest in candidate.contents:
            page = decode(HistoryPage, candidate.contents[page_digest])
            found = (
                change.lineage for change in page.changes if change.revision == active_revision
            )
            lineage = next(found, None)
            page_digest = page.page
        return lineage, page_digest

    def _missing_digests(self, head: Head, contents: Mapping[str, bytes]) -> tuple[str, ...]:
        required = head.buckets.values()
        return tuple(d for d in required if d not in contents and d not in self._contents)

    def _content_bytes(self, digest: str, contents: Mapping[str, bytes]) -> bytes:
        return contents[digest] if digest in contents else self._contents[digest]

    def _decode_buckets(
        self, head: Head, contents: Mapping[str, bytes]
    ) -> dict[str, tuple[Any, ...]]:
        records = {}
        for name, digest in head.buckets.items():
            known_records = self._records.get(digest)
            records[digest] = (
                bucket_records(name, contents[digest]) if known_records is None else known_records
            )
        return records

    def _refuse(
        self, head: Head, reason: RefusalReason, *, is_ancestor: bool = False
    ) -> HeadVerdict:
        self._refused_revision = head.revision
        self._refusal_reason = reason
        return HeadVerdict(
            VerdictKind.REFUSED, head.revision, reason=reason, is_ancestor=is_ancestor
        )

    def _clear_refusal(self) -> None:
        self._refused_revision = Revision(0)
        self._refusal_reason = RefusalReason.NONE


class _Candidate:
    """Head being evaluated, with the content objects fetched so far."""

    def __init__(self, head: Head, value: bytes, source: Source, offered_ms: int) -> None:
        self.head = head
        self.value = value
        self.source = source
        self.offered_ms = offered_ms
        self.contents: dict[str, bytes] = {}


@dataclass(frozen=True, slots=True)
class PreparedConfiguration:
    """Decoded head that is ready to be activated.

    :param candidate: the head
    :param contents: encoded buckets by digest
    :param records: decoded records of the buckets by digest
    :param configuration: configuration assembled from the records
    """

    candidate: _Candidate
    contents: Mapping[str, bytes]
    records: Mapping[str, tuple[Any, ...]]
    configuration: Configuration
