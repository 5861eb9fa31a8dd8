"""Submits one change set and retries until its outcome is known."""

from __future__ import annotations

import contextlib
import json
import re
import secrets
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import cbor2

from bergamothill.clock import Clock
from bergamothill.errors import (
    BergamothillError,
    ConflictError,
    Execution,
    NotFoundError,
    PeerTimeoutError,
    PeerUnreachableError,
    StaleConfigurationError,
    UnavailableError,
)
from bergamothill.ids import ChangeId, Revision
from bergamothill.version.applychanges import apply_changes
from bergamothill.version.change import Change, items_touched
from bergamothill.version.config import Configuration
from bergamothill.version.plain import to_plain
from bergamothill.version.record import (
    AcceptedChange,
    Bucket,
    Head,
    HistoryPage,
    conflicts,
    digest_of,
    encode,
    join_buckets,
    next_lineage,
    split_buckets,
)
from bergamothill.version.recordstore import RecordStore

__all__ = [
    "SubmitResult",
    "ChangeConflictError",
    "Submission",
    "base_of",
    "new_change_id",
]

RECENT_MAX = 128
PAGE_CHANGES = 64
RETIRED_MAX = 64
MAX_ITEMS = 8
SUMMARY_LENGTH = 96
RETRY_DELAY_MS = 100
TOKEN_BYTES = 8
STEP = "configuration.submit"

_BASE = re.compile(r"^r(\d+)-")


class ChangeConflictError(ConflictError):
    """The change set conflicts with one that was accepted earlier.

    :param conflicting_change: accepted change that touches the same item
    """

    def __init__(self, conflicting_change: AcceptedChange) -> None:
        super().__init__(
            f"change {conflicting_change.change_id} won at revision "
            f"{conflicting_change.revision}: {conflicting_change.summary}",
            step=STEP,
        )
        self.conflicting_change = conflicting_change


@dataclass(frozen=True, slots=True)
class SubmitResult:
    """Result of an accepted change set.

    :param change_id: id of the change set
    :param revision: revision at which it was accepted
    :param repeated: an earlier attempt had already been accepted
    :param superseded_by: changes to the same items that were accepted later, oldest first
    """

    change_id: ChangeId
    revision: Revision
    repeated: bool = False
    superseded_by: tuple[AcceptedChange, ...] = ()


def new_change_id(base: Revision) -> ChangeId:
    """Generate a random change id that contains the base revision.

    :param base: revision that the change is based on
    """
    return ChangeId(f"r{base}-{secrets.token_hex(8)}")


def base_of(change_id: ChangeId) -> Revision | None:
    """Return the base revision encoded in a change id; None for an id of another format."""
    match = _BASE.match(change_id)
    return Revision(int(match.group(1))) if match else None


def _fingerprint(changes: tuple[Change, ...]) -> str:
    plain = [[change.kind, to_plain(change)] for change in changes]
    return digest_of(cbor2.dumps(plain, canonical=True))[:32]


def _items(changes: tuple[Change, ...]) -> tuple[str, ...]:
    """Return the touched items; long lists are shortened to prefixes, which conflict more often."""
    items = sorted({item for change in changes for item in items_touched(change)})
    for depth in (2, 1):
        if len(items) > MAX_ITEMS:
            items = sorted({"/".join(item.split("/")[:depth]) for item in items})
    return tuple(items)


def _summary(changes: tuple[Change, ...]) -> str:
    descriptions = []
    for change in changes:
        values = to_plain(change).values()
        shown = " ".join(v if isinstance(v, str) else json.dumps(v) for v in values)
        descriptions.append(f"{change.kind} {shown}")
    text = "; ".join(descriptions)
    return text if len(text) <= SUMMARY_LENGTH else text[: SUMMARY_LENGTH - 1] + "…"


class Submission:
    """Retries one change set until its outcome is known or the timeout expires."""

    def __init__(
        self,
        records: RecordStore,
        clock: Clock,
        changes: tuple[Change, ...],
        change_id: ChangeId | None,
        base: Revision | None,
        may_have_run: bool,
    ) -> None:
        self._may_have_run = may_have_run
        self._records = records
        self._clock = clock
        self._changes = changes
        self._change_id = change_id
        self._base = base
        if base is None and change_id is not None:
            self._base = base_of(change_id)
        self._items = _items(changes)
        self._fingerprint = _fingerprint(changes)
        self._write_token = secrets.token_hex(TOKEN_BYTES)
        self._unknown_write_mod_revision: int | None = None
        self._deadline_ms = 0

    def run(self, timeout_ms: int) -> SubmitResult:
        """Submit the change set, retrying until its outcome is known.

        :param timeout_ms: time after which to give up, in milliseconds
        """
        self._deadline_ms = self._clock.now_ms() + timeout_ms
        while True:
            try:
                result = self._attempt()
            except (PeerUnreachableError, PeerTimeoutError) as error:
                self._check_can_retry(error)
            else:
                if result is not None:
                    return result
                self._check_deadline()
            self._clock.sleep_ms(RETRY_DELAY_MS)

    def _attempt(self) -> SubmitResult | None:
        head, mod_revision = self._records.read_head()
        self._assign_change_id(head)
        self._check_base(head)
        earlier = self._find_accepted(head)
        if earlier is not None:
            return earlier
        if mod_revision != self._unknown_write_mod_revision:
            # The head was replaced without this change, so a pending write of it can only fail.
            self._unknown_write_mod_revision = None
        self._check_conflicts(head)
        return self._write(head, mod_revision)

    def _assign_change_id(self, head: Head) -> None:
        if self._change_id is not None:
            return
        if self._base is None:
            self._base = head.revision
        self._change_id = new_change_id(self._base)

    def _check_base(self, head: Head) -> None:
        """Reject the change if the service was restored to a state older than its base revision.

        The change could otherwise be accepted at or below its base revision, and a retry searches
        only the revisions above it.
        """
        if self._base is None or self._base <= head.revision:
            return
        may_have_run = self._may_have_run or self._unknown_write_mod_revision is not None
        raise StaleConfigurationError(
            f"change {self._change_id} is based on revision {self._base}, the key-value service"
            f" has {head.revision}: it was restored from an old state",
            step=STEP,
            execution=Execution.UNKNOWN if may_have_run else Execution.NOT_RUN,
        )

    def _find_accepted(self, head: Head) -> SubmitResult | None:
        """Search the changes accepted after the base, newest first, for this change id."""
        superseding: list[AcceptedChange] = []
        for accepted in self._records.iter_changes(head):
            if self._base is not None and accepted.revision <= self._base:
                return None
            if accepted.change_id == self._change_id:
                return self._accepted_result(accepted, superseding)
            if conflicts(self._items, accepted.items):
                superseding.append(accepted)
        return None

    def _accepted_result(
        self, accepted: AcceptedChange, superseding: list[AcceptedChange]
    ) -> SubmitResult:
        if accepted.fingerprint != self._fingerprint:
            raise ConflictError(
                f"change id {accepted.change_id} was already used for another change,"
                f" accepted at revision {accepted.revision}: {accepted.summary}",
                step=STEP,
            )
        return SubmitResult(
            accepted.change_id, accepted.revision, True, tuple(reversed(superseding))
        )

    def _check_conflicts(self, head: Head) -> None:
        if self._base is None:
            self._base = head.revision
        for accepted in self._records.iter_changes(head):
            if accepted.revision <= self._base:
                return
            if conflicts(self._items, accepted.items):
                raise ChangeConflictError(accepted)

    def _write(self, head: Head, mod_revision: int) -> SubmitResult | None:
        try:
            records_by_bucket = self._records.read_buckets(head)
        except NotFoundError:
            return None
        new_configuration = apply_changes(
            join_buckets(head.revision, records_by_bucket), self._changes
        )
        revision = Revision(head.revision + 1)
        written_digests, buckets = self._write_buckets(
            head, records_by_bucket, new_configuration, revision
        )
        new_head = self._next_head(head, buckets, revision)
        try:
            self._write_head(new_head, mod_revision)
        except ConflictError:
            self._delete_unused(written_digests)
            return None
        for digest in self._expired_digests(head, new_head):
            self._records.delete_content(digest)
        return SubmitResult(self._change_id, revision)

    def _write_head(self, head: Head, mod_revision: int) -> None:
        """Write the head; after a lost reply, repeat the same conditional write.

        Reading the head instead would not tell the outcome: the write may still take effect after
        the read.
        """
        while True:
            try:
                self._records.write_head(head, mod_revision)
                return
            except (PeerUnreachableError, PeerTimeoutError) as error:
                if error.execution is Execution.UNKNOWN:
                    self._unknown_write_mod_revision = mod_revision
                if (
                    self._unknown_write_mod_revision is None
                    or self._clock.now_ms() >= self._deadline_ms
                ):
                    raise
            self._clock.sleep_ms(RETRY_DELAY_MS)

    def _write_buckets(
        self,
        head: Head,
        records_by_bucket: Mapping[str, tuple[Any, ...]],
        new_configuration: Configuration,
        revision: Revision,
    ) -> tuple[list[str], dict[str, str]]:
        written_digests: list[str] = []
        buckets: dict[str, str] = {}
        for name, records in split_buckets(new_configuration).items():
            if records_by_bucket.get(name) == records:
                buckets[name] = head.buckets[name]
                continue
            bucket = Bucket(f"{revision} {self._write_token}", to_plain(records))
            buckets[name] = self._records.write_content(encode(bucket))
            written_digests.append(buckets[name])
        return written_digests, buckets

    def _next_head(self, head: Head, buckets: dict[str, str], revision: Revision) -> Head:
        change = AcceptedChange(
            change_id=self._change_id,
            revision=revision,
            lineage="",
            fingerprint=self._fingerprint,
            items=self._items,
            summary=_summary(self._changes),
            accepted_wall_ms=self._clock.wall_ms(),
        )
        change = replace(change, lineage=next_lineage(head, change, buckets))
        recent, page = (*head.recent, change), head.page
        if len(recent) > RECENT_MAX:
            history_page = HistoryPage(recent[:PAGE_CHANGES], page)
            recent, page = recent[PAGE_CHANGES:], self._records.write_content(encode(history_page))
        current_digests = set(buckets.values())
        replaced = tuple(
            digest for digest in head.buckets.values() if digest not in current_digests
        )
        retired = (*head.retired, *replaced)[-RETIRED_MAX:]
        return Head(revision, change.lineage, buckets, recent, page, retired)

    def _expired_digests(self, head: Head, new_head: Head) -> set[str]:
        old_digests = {*head.retired, *head.buckets.values()}
        return old_digests - {*new_head.retired, *new_head.buckets.values()}

    def _delete_unused(self, written_digests: list[str]) -> None:
        """Delete content objects that were written for a head that was not accepted."""
        with contextlib.suppress(BergamothillError):
            head, _ = self._records.read_head()
            used = {*head.buckets.values(), *head.retired}
            for digest in written_digests:
                if digest not in used:
                    self._records.delete_content(digest)

    def _check_can_retry(self, error: BergamothillError) -> None:
        """Raise when another attempt is pointless."""
        is_expired = self._clock.now_ms() >= self._deadline_ms
        is_unreachable = isinstance(error, PeerUnreachableError)
        if self._unknown_write_mod_revision is not None or self._may_have_run:
            if is_expired or (is_unreachable and self._unknown_write_mod_revision is None):
                raise self._outcome_unknown_error(error) from error
            return
        if is_expired or is_unreachable:
            raise self._not_accepted_error(error) from error

    def _check_deadline(self) -> None:
        if self._clock.now_ms() < self._deadline_ms:
            return
        if self._unknown_write_mod_revision is not None or self._may_have_run:
            raise PeerTimeoutError(self._outcome_unknown_message(), step=STEP)
        raise UnavailableError(
            f"change {self._change_id} was not accepted: every attempt lost to a concurrent one",
            step=STEP,
        )

    def _outcome_unknown_message(self) -> str:
        return f"outcome of change {self._change_id} is unknown; repeat it with the same id"

    def _outcome_unknown_error(self, error: BergamothillError) -> PeerTimeoutError:
        return PeerTimeoutError(self._outcome_unknown_message(), step=STEP, peer=error.peer)

    def _not_accepted_error(self, error: BergamothillError) -> BergamothillError:
        message = f"change {self._change_id or ''} was not accepted: {error.message}"
        return type(error)(message, step=STEP, peer=error.peer, execution=Execution.NOT_RUN)
