"""One submission of a change set, followed up until it is settled."""

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
from bergamothill.version.change import Change, items_touched
from bergamothill.version.config import Configuration
from bergamothill.version.effect import apply_changes
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
    "Accepted",
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
    """A change lost against another to the same item.

    :param winner: the accepted change that won
    """

    def __init__(self, winner: AcceptedChange) -> None:
        super().__init__(
            f"change {winner.change_id} won at revision {winner.revision}: {winner.summary}",
            step=STEP,
        )
        self.winner = winner


@dataclass(frozen=True, slots=True)
class Accepted:
    """Outcome of an accepted change set.

    :param change_id: id of the change set
    :param revision: revision at which it was accepted
    :param repeated: it had been accepted by an earlier attempt
    :param superseded_by: later accepted changes to the same items, oldest first
    """

    change_id: ChangeId
    revision: Revision
    repeated: bool = False
    superseded_by: tuple[AcceptedChange, ...] = ()


def new_change_id(base: Revision) -> ChangeId:
    """Draw an id; it carries the revision that the change is based on.

    :param base: revision that the operator has seen
    """
    return ChangeId(f"r{base}-{secrets.token_hex(8)}")


def base_of(change_id: ChangeId) -> Revision | None:
    """Return the revision that a change id carries; None for an id of another form."""
    found = _BASE.match(change_id)
    return Revision(int(found.group(1))) if found else None


def _fingerprint(changes: tuple[Change, ...]) -> str:
    plain = [[change.kind, to_plain(change)] for change in changes]
    return digest_of(cbor2.dumps(plain, canonical=True))[:32]


def _items(changes: tuple[Change, ...]) -> tuple[str, ...]:
    """Return the items touched; a long list is cut to leading parts, which conflict with more."""
    items = sorted({item for change in changes for item in items_touched(change)})
    for depth in (2, 1):
        if len(items) > MAX_ITEMS:
            items = sorted({"/".join(item.split("/")[:depth]) for item in items})
    return tuple(items)


def _summary(changes: tuple[Change, ...]) -> str:
    texts = []
    for change in changes:
        values = to_plain(change).values()
        shown = " ".join(v if isinstance(v, str) else json.dumps(v) for v in values)
        texts.append(f"{change.kind} {shown}")
    text = "; ".join(texts)
    return text if len(text) <= SUMMARY_LENGTH else text[: SUMMARY_LENGTH - 1] + "…"


class Submission:
    """One submission, followed up until it is settled or its time is over."""

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
        self._token = secrets.token_hex(TOKEN_BYTES)
        self._doubtful_at: int | None = None
        self._deadline_ms = 0

    def run(self, timeout_ms: int) -> Accepted:
        """Try until settled.

        :param timeout_ms: when to give up, in milliseconds
        """
        self._deadline_ms = self._clock.now_ms() + timeout_ms
        while True:
            try:
                accepted = self._attempt()
            except (PeerUnreachableError, PeerTimeoutError) as error:
                self._check_time(error)
            else:
                if accepted is not None:
                    return accepted
                self._check_contention()
            self._clock.sleep_ms(RETRY_DELAY_MS)

    def _attempt(self) -> Accepted | None:
        head, mod_revision = self._records.read_head()
        self._take_base(head)
        self._check_base(head)
        earlier = self._find_earlier(head)
        if earlier is not None:
            return earlier
        if mod_revision != self._doubtful_at:
            # The head moved on without this change: a write still under way can only fail.
            self._doubtful_at = None
        self._check_conflicts(head)
        return self._write(head, mod_revision)

    def _take_base(self, head: Head) -> None:
        if self._change_id is not None:
            return
        if self._base is None:
            self._base = head.revision
        self._change_id = new_change_id(self._base)

    def _check_base(self, head: Head) -> None:
        """Refuse to go on from a service that was restored to before what the operator saw.

        The change could be accepted at or below its base, where a repeat does not look for it.
        """
        if self._base is None or self._base <= head.revision:
            return
        in_doubt = self._may_have_run or self._doubtful_at is not None
        raise StaleConfigurationError(
            f"change {self._change_id} is based on revision {self._base}, the key-value service"
            f" has {head.revision}: it was restored from an old state",
            step=STEP,
            execution=Execution.UNKNOWN if in_doubt else Execution.NOT_RUN,
        )

    def _find_earlier(self, head: Head) -> Accepted | None:
        """Look for the id among the accepted changes after the base, newest first."""
        later: list[AcceptedChange] = []
        for done in self._records.changes_back(head):
            if self._base is not None and done.revision <= self._base:
                return None
            if done.change_id == self._change_id:
                return self._report(done, later)
            if conflicts(self._items, done.items):
                later.append(done)
        return None

    def _report(self, done: AcceptedChange, later: list[AcceptedChange]) -> Accepted:
        if done.fingerprint != self._fingerprint:
            raise ConflictError(
                f"change id {done.change_id} names another change, accepted at revision"
                f" {done.revision}: {done.summary}",
                step=STEP,
            )
        return Accepted(done.change_id, done.revision, True, tuple(reversed(later)))

    def _check_conflicts(self, head: Head) -> None:
        if self._base is None:
            self._base = head.revision
        for done in self._records.changes_back(head):
            if done.revision <= self._base:
                return
            if conflicts(self._items, done.items):
                raise ChangeConflictError(done)

    def _write(self, head: Head, mod_revision: int) -> Accepted | None:
        try:
            contents = self._records.read_contents(head)
        except NotFoundError:
            return None
        after = apply_changes(join_buckets(head.revision, contents), self._changes)
        revision = Revision(head.revision + 1)
        written, buckets = self._write_buckets(head, contents, after, revision)
        new_head = self._next_head(head, buckets, revision)
        try:
            self._write_head(new_head, mod_revision)
        except ConflictError:
            self._discard(written)
            return None
        for digest in self._dropped(head, new_head):
            self._records.delete_content(digest)
        return Accepted(self._change_id, revision)

    def _write_head(self, head: Head, mod_revision: int) -> None:
        """Write the head; after a lost reply send the same write again.

        Reading back would not settle it: the lost write may still take effect after the read.
        """
        while True:
            try:
                self._records.write_head(head, mod_revision)
                return
            except (PeerUnreachableError, PeerTimeoutError) as error:
                if error.execution is Execution.UNKNOWN:
                    self._doubtful_at = mod_revision
                if self._doubtful_at is None or self._clock.now_ms() >= self._deadline_ms:
                    raise
            self._clock.sleep_ms(RETRY_DELAY_MS)

    def _write_buckets(
        self,
        head: Head,
        contents: Mapping[str, tuple[Any, ...]],
        after: Configuration,
        revision: Revision,
    ) -> tuple[list[str], dict[str, str]]:
        written: list[str] = []
        buckets: dict[str, str] = {}
        for name, records in split_buckets(after).items():
            if contents.get(name) == records:
                buckets[name] = head.buckets[name]
                continue
            bucket = Bucket(f"{revision} {self._token}", to_plain(records))
            buckets[name] = self._records.write_content(encode(bucket))
            written.append(buckets[name])
        return written, buckets

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
            old = HistoryPage(recent[:PAGE_CHANGES], page)
            recent, page = recent[PAGE_CHANGES:], self._records.write_content(encode(old))
        kept = set(buckets.values())
        replaced = tuple(digest for digest in head.buckets.values() if digest not in kept)
        retired = (*head.retired, *replaced)[-RETIRED_MAX:]
        return Head(revision, change.lineage, buckets, recent, page, retired)

    def _dropped(self, head: Head, new_head: Head) -> set[str]:
        gone = {*head.retired, *head.buckets.values()}
        return gone - {*new_head.retired, *new_head.buckets.values()}

    def _discard(self, written: list[str]) -> None:
        """Delete the contents of a head that was not accepted."""
        with contextlib.suppress(BergamothillError):
            head, _ = self._records.read_head()
            used = {*head.buckets.values(), *head.retired}
            for digest in written:
                if digest not in used:
                    self._records.delete_content(digest)

    def _check_time(self, error: BergamothillError) -> None:
        """Raise when there is no point in trying further."""
        over = self._clock.now_ms() >= self._deadline_ms
        is_unreachable = isinstance(error, PeerUnreachableError)
        if self._doubtful_at is not None or self._may_have_run:
            if over or (is_unreachable and self._doubtful_at is None):
                raise self._unknown(error) from error
            return
        if over or is_unreachable:
            raise self._not_run(error) from error

    def _check_contention(self) -> None:
        if self._clock.now_ms() < self._deadline_ms:
            return
        if self._doubtful_at is not None or self._may_have_run:
            raise PeerTimeoutError(self._unknown_text(), step=STEP)
        raise UnavailableError(
            f"change {self._change_id} lost every race and was not accepted", step=STEP
        )

    def _unknown_text(self) -> str:
        return f"outcome of change {self._change_id} is unknown; repeat it with the same id"

    def _unknown(self, error: BergamothillError) -> PeerTimeoutError:
        return PeerTimeoutError(self._unknown_text(), step=STEP, peer=error.peer)

    def _not_run(self, error: BergamothillError) -> BergamothillError:
        message = f"change {self._change_id or ''} was not accepted: {error.message}"
        return type(error)(message, step=STEP, peer=error.peer, execution=Execution.NOT_RUN)
