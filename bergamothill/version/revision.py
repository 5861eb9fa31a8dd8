"""Reads and changes the accepted configuration, and lists its history."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from typing import TypeVar

from bergamothill.clock import Clock
from bergamothill.connection.kvs import KeyValueService
from bergamothill.errors import Execution, NotFoundError, PeerTimeoutError, ProtocolError
from bergamothill.ids import ChangeId, Revision
from bergamothill.version.change import Change
from bergamothill.version.config import Configuration
from bergamothill.version.record import AcceptedChange, Head, join_buckets
from bergamothill.version.recordstore import RecordStore
from bergamothill.version.submission import (
    ChangeConflictError,
    Submission,
    SubmitResult,
    base_of,
    new_change_id,
)

__all__ = [
    "SubmitResult",
    "ChangeConflictError",
    "ConfigurationWriter",
    "Snapshot",
    "base_of",
    "new_change_id",
]

RETRY_TIMEOUT_MS = 10_000
RETRY_DELAY_MS = 100

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Accepted configuration as read from the key-value service.

    :param head: head record
    :param mod_revision: modification revision of the head's key
    :param configuration: configuration that the head refers to
    """

    head: Head
    mod_revision: int
    configuration: Configuration


class ConfigurationWriter:
    """Reads and changes the accepted configuration.

    :param kvs: key-value service of the platform
    :param clock: source of time
    :param retry_timeout_ms: how long to retry after a lost reply, in milliseconds
    """

    def __init__(
        self, kvs: KeyValueService, clock: Clock, *, retry_timeout_ms: int = RETRY_TIMEOUT_MS
    ) -> None:
        self._records = RecordStore(kvs)
        self._clock = clock
        self._retry_timeout_ms = retry_timeout_ms

    def read(self) -> Snapshot:
        """Read the accepted configuration.

        :raises PeerUnreachableError: the service could not be reached
        :raises PeerTimeoutError: the service did not answer
        :raises ProtocolError: the service lost part of the configuration
        """
        return self._read(self._read_snapshot)

    def revision(self) -> Revision:
        """Return the accepted revision; cheaper than :meth:`read`."""
        return self._read(self._records.read_head)[0].revision

    def history(self, limit: int) -> tuple[AcceptedChange, ...]:
        """Return the latest accepted changes, newest first.

        :param limit: maximum number of changes to return
        """
        return self._read(lambda: self._read_history(limit))

    def submit(
        self,
        changes: tuple[Change, ...],
        *,
        change_id: ChangeId | None = None,
        base: Revision | None = None,
        is_retry: bool = True,
    ) -> SubmitResult:
        """Submit a change set atomically.

        A change set whose id was accepted before is reported as accepted and not applied again.

        :param changes: changes, applied in order
        :param change_id: id of the change set; generated when omitted
        :param base: revision that the changes are based on; changes to the same items that were
            accepted after it are conflicts. Defaults to the base revision in the id, or else to
            the revision read first
        :param is_retry: the given id may have been submitted before, so that a failure does not
            tell whether the change was accepted; False if the caller has just generated the id
        :returns: the accepted revision, and changes that have superseded it
        :raises ChangeConflictError: another change to the same item was accepted first
        :raises StaleConfigurationError: the service's revision is older than the base revision
        :raises InvalidRequestError: a change is malformed
        :raises NotFoundError: a change refers to an object that does not exist
        :raises PeerUnreachableError: the service could not be reached; the change was not accepted
        :raises PeerTimeoutError: the outcome is unknown; submit again with the same id
        """
        may_have_run = is_retry and change_id is not None
        submission = Submission(self._records, self._clock, changes, change_id, base, may_have_run)
        return submission.run(self._retry_timeout_ms)

    def _read(self, call: Callable[[], T]) -> T:
        """Retry a read that timed out; a read has no effect, so its failure counts as not run."""
        deadline_ms = self._clock.now_ms() + self._retry_timeout_ms
        while True:
            try:
                return call()
            except PeerTimeoutError as error:
                if self._clock.now_ms() >= deadline_ms:
                    raise PeerTimeoutError(
                        error.message,
                        step=error.step,
                        peer=error.peer,
                        execution=Execution.NOT_RUN,
                    ) from error
            self._clock.sleep_ms(RETRY_DELAY_MS)

    def _read_snapshot(self) -> Snapshot:
        while True:
            head, mod_revision = self._records.read_head()
            try:
                records_by_bucket = self._records.read_buckets(head)
            except NotFoundError as error:
                # Buckets are deleted some time after their head was replaced.
                if self._records.read_head()[1] != mod_revision:
                    continue
                raise ProtocolError(error.message, step=error.step) from error
            return Snapshot(head, mod_revision, join_buckets(head.revision, records_by_bucket))

    def _read_history(self, limit: int) -> tuple[AcceptedChange, ...]:
        head, _ = self._records.read_head()
        return tuple(islice(self._records.iter_changes(head), limit))
