"""Decides which configuration an entry instance applies; no I/O."""

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
    """Where a head came from."""

    KVS = "kvs"
    PEER = "peer"


class VerdictKind(Enum):
    """What the follower makes of an offered head."""

    CURRENT = "current"
    """It is the one in force."""

    OLDER = "older"
    """It comes from a peer that is behind."""

    FETCH = "fetch"
    """Contents are needed before it can be judged or applied."""

    READY = "ready"
    """All is there; :meth:`ConfigurationFollower.apply` puts it in force."""

    REFUSED = "refused"
    """It would take back an accepted change."""


class RefusalReason(Enum):
    """Why a head is refused."""

    NONE = ""
    ROLLED_BACK = "rolled_back"
    """The key-value service has an earlier state."""

    DIVERGED = "diverged"
    """The head does not follow from the configuration in force."""


@dataclass(frozen=True, slots=True)
class HeadVerdict:
    """Outcome of an offered head or content.

    :param kind: what to do
    :param revision: revision of the head
    :param fetch: digests of contents to fetch
    :param reason: why the head is refused
    :param is_ancestor: the refused head is an earlier state of the one in force, and has no change
        that the one in force lacks
    """

    kind: VerdictKind
    revision: Revision
    fetch: tuple[str, ...] = ()
    reason: RefusalReason = RefusalReason.NONE
    is_ancestor: bool = False


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """What an entry instance knows of the configuration.

    :param revision: revision in force; 0 for none
    :param lineage: lineage of that revision
    :param age_ms: time since it was last confirmed as the latest, in milliseconds; None for never
    :param refused_revision: latest refused head that is still offered; 0 for none
    :param reason: why it is refused
    """

    revision: Revision
    lineage: str
    age_ms: int | None
    refused_revision: Revision
    reason: RefusalReason


class ConfigurationFollower:
    """State machine of the applying side.

    A head is applied only if its revision is higher and its lineage passes through the one in
    force, so that a restored key-value service cannot take back what was accepted.

    :param clock: source of time
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._head = EMPTY_HEAD
        self._head_value = b""
        self._contents: Mapping[str, bytes] = {}
        self._records: Mapping[str, tuple[Any, ...]] = {}
        self._configuration: Configuration | None = None
        self._confirmed_ms: int | None = None
        self._refused_revision = Revision(0)
        self._reason = RefusalReason.NONE
        self._candidate: _Candidate | None = None

    @property
    def configuration(self) -> Configuration | None:
        """Configuration in force; None before the first."""
        return self._configuration

    @property
    def head(self) -> Head:
        """Head in force."""
        return self._head

    @property
    def head_value(self) -> bytes:
        """Encoded head in force; empty before the first."""
        return self._head_value

    def content(self, digest: str) -> bytes | None:
        """Return a content of the configuration in force, to hand it to a peer."""
        return self._contents.get(digest)

    def status(self) -> FollowerStatus:
        """Return what is known."""
        now_ms = self._clock.now_ms()
        age_ms = None if self._confirmed_ms is None else now_ms - self._confirmed_ms
        head = self._head
        return FollowerStatus(
            head.revision, head.lineage, age_ms, self._refused_revision, self._reason
        )

    def confirm(self, revision: Revision, lineage: str, age_ms: int) -> None:
        """Note that a revision was the latest one some time ago.

        :param revision: revision that was seen
        :param lineage: its lineage
        :param age_ms: how long ago it was seen, in milliseconds
        """
        if (revision, lineage) != (self._head.revision, self._head.lineage):
            return
        seen_ms = self._clock.now_ms() - age_ms
        if self._confirmed_ms is None or seen_ms > self._confirmed_ms:
            self._confirmed_ms = seen_ms

    def is_newer(self, revision: Revision) -> bool:
        """Tell whether a revision is above the one in force."""
        return revision > self._head.revision

    def offer_head(self, value: bytes, source: Source) -> HeadVerdict:
        """Judge a head.

        :param value: encoded head
        :param source: where it came from
        :raises ProtocolError: the bytes are no head
        """
        head = decode(Head, value)
        is_first = self._configuration is None and source is Source.KVS
        if head.revision <= self._head.revision and not is_first:
            return self._judge_not_newer(head, source)
        if self._candidate is None or self._candidate.head.lineage != head.lineage:
            self._candidate = _Candidate(head, value, source, self._clock.now_ms())
        self._candidate.offered_ms = self._clock.now_ms()
        return self._judge_candidate(self._candidate)

    def offer_content(self, digest: str, value: bytes) -> None:
        """Take a content that a verdict asked for; others are ignored.

        :param digest: name of the content
        :param value: its bytes
        :raises ProtocolError: the bytes do not match the name
        """
        if digest_of(value) != digest:
            raise ProtocolError(f"content {digest} is damaged", step=STEP)
        if self._candidate is not None:
            self._candidate.contents[digest] = value

    def judge(self) -> HeadVerdict | None:
        """Judge the head under way again, after contents came in; None when there is none."""
        return None if self._candidate is None else self._judge_candidate(self._candidate)

    def apply(self) -> Configuration:
        """Put the head that is ready in force.

        :returns: the configuration now in force
        :raises ProtocolError: no head is ready, or a content is damaged
        """
        return self.commit(self.prepare())

    def prepare(self) -> PreparedConfiguration:
        """Decode the head that is ready, which may take long, and change nothing.

        :raises ProtocolError: no head is ready, or a content is damaged
        """
        candidate = self._candidate
        if candidate is None or self._missing(candidate.head, candidate.contents):
            raise ProtocolError("no head is ready", step=STEP)
        head = candidate.head
        contents = {d: self._bytes_of(d, candidate.contents) for d in head.buckets.values()}
        records = self._decoded(head, contents)
        by_name = {name: records[digest] for name, digest in head.buckets.items()}
        configuration = join_buckets(head.revision, by_name)
        return PreparedConfiguration(candidate, contents, records, configuration)

    def commit(self, prepared: PreparedConfiguration) -> Configuration:
        """Put a decoded head in force.

        :param prepared: what :meth:`prepare` returned; no head was offered since
        :returns: the configuration now in force
        """
        candidate = prepared.candidate
        self._head, self._head_value = candidate.head, candidate.value
        self._contents, self._records = prepared.contents, prepared.records
        self._configuration = prepared.configuration
        self._confirmed_ms = candidate.offered_ms if candidate.source is Source.KVS else None
        self._candidate = None
        self._clear_refusal()
        return prepared.configuration

    def _judge_not_newer(self, head: Head, source: Source) -> HeadVerdict:
        if head.revision == self._head.revision and head.lineage == self._head.lineage:
            if source is Source.KVS:
                self._clear_refusal()
                self.confirm(head.revision, head.lineage, 0)
            return HeadVerdict(VerdictKind.CURRENT, head.revision)
        known = self._head.lineage_at(head.revision)
        follows = known is None or known == head.lineage
        if follows and source is Source.PEER:
            return HeadVerdict(VerdictKind.OLDER, head.revision)
        reason = RefusalReason.ROLLED_BACK if follows else RefusalReason.DIVERGED
        return self._refuse(head, reason, is_ancestor=known == head.lineage)

    def _judge_candidate(self, candidate: _Candidate) -> HeadVerdict:
        head = candidate.head
        lineage, page = self._lineage_of_own_revision(candidate)
        if lineage is None and page:
            return HeadVerdict(VerdictKind.FETCH, head.revision, (page,))
        if lineage != self._head.lineage:
            self._candidate = None
            return self._refuse(head, RefusalReason.DIVERGED)
        missing = self._missing(head, candidate.contents)
        kind = VerdictKind.FETCH if missing else VerdictKind.READY
        return HeadVerdict(kind, head.revision, missing)

    def _lineage_of_own_revision(self, candidate: _Candidate) -> tuple[str | None, str]:
        """Return what the candidate says of the revision in force, or the page that may say it."""
        own = self._head.revision
        lineage = candidate.head.lineage_at(own)
        page_digest = candidate.head.page
        while lineage is None and page_digest in candidate.contents:
            page = decode(HistoryPage, candidate.contents[page_digest])
            found = (change.lineage for change in page.changes if change.revision == own)
            lineage = next(found, None)
            page_digest = page.page
        return lineage, page_digest

    def _missing(self, head: Head, contents: Mapping[str, bytes]) -> tuple[str, ...]:
        wanted = head.buckets.values()
        return tuple(d for d in wanted if d not in contents and d not in self._contents)

    def _bytes_of(self, digest: str, contents: Mapping[str, bytes]) -> bytes:
        return contents[digest] if digest in contents else self._contents[digest]

    def _decoded(self, head: Head, contents: Mapping[str, bytes]) -> dict[str, tuple[Any, ...]]:
        records = {}
        for name, digest in head.buckets.items():
            known = self._records.get(digest)
            records[digest] = bucket_records(name, contents[digest]) if known is None else known
        return records

    def _refuse(
        self, head: Head, reason: RefusalReason, *, is_ancestor: bool = False
    ) -> HeadVerdict:
        self._refused_revision = head.revision
        self._reason = reason
        return HeadVerdict(
            VerdictKind.REFUSED, head.revision, reason=reason, is_ancestor=is_ancestor
        )

    def _clear_refusal(self) -> None:
        self._refused_revision = Revision(0)
        self._reason = RefusalReason.NONE


class _Candidate:
    """Head that is being judged, with the contents fetched so far."""

    def __init__(self, head: Head, value: bytes, source: Source, offered_ms: int) -> None:
        self.head = head
        self.value = value
        self.source = source
        self.offered_ms = offered_ms
        self.contents: dict[str, bytes] = {}


@dataclass(frozen=True, slots=True)
class PreparedConfiguration:
    """Decoded head that is ready to be put in force.

    :param candidate: the head
    :param contents: bytes of its contents by digest
    :param records: their records by digest
    :param configuration: all of it put together
    """

    candidate: _Candidate
    contents: Mapping[str, bytes]
    records: Mapping[str, tuple[Any, ...]]
    configuration: Configuration
