"""Accepted configuration: read, changed and looked back on by operators."""

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
    Accepted,
    ChangeConflictError,
    Submission,
    base_of,
    new_change_id,
)

__all__ = [
    "Accepted",
    "ChangeConflictError",
    "ConfigurationWriter",
    "Snapshot",
    "base_of",
    "new_change_id",
]

SETTLE_TIMEOUT_MS = 10_000
RETRY_DELAY_MS = 100

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Accepted state as read from the key-value service.

    :param head: head record
    :param mod_revision: revision of the head's key at the service
    :param configuration: content of the head
    """

    head: Head
    mod_revision: int
    configuration: Configuration


class ConfigurationWriter:
    """Reads and changes the accepted configuration.

    :param kvs: key-value service of the platform
    :param clock: source of time
    :param settle_timeout_ms: how long a lost reply is followed up, in milliseconds
    """

    def __init__(
        self, kvs: KeyValueService, clock: Clock, *, settle_timeout_ms: int = SETTLE_TIMEOUT_MS
    ) -> None:
        self._records = RecordStore(kvs)
        self._clock = clock
        self._settle_timeout_ms = settle_timeout_ms

    def read(self) -> Snapshot:
        """Read the accepted configuration.

        :raises PeerUnreachableError: the service was not reached
        :raises PeerTimeoutError: the service did not answer
        :raises ProtocolError: the service lost a part of the configuration
        """
        return self._read(self._read_snapshot)

    def revision(self) -> Revision:
        """Return the accepted revision; cheaper than :meth:`read`."""
        return self._read(self._records.read_head)[0].revision

    def history(self, limit: int) -> tuple[AcceptedChange, ...]:
        """Return the latest accepted changes, newest first.

        :param limit: most changes to return
        """
        return self._read(lambda: self._read_history(limit))

    def submit(
        self,
        changes: tuple[Change, ...],
        *,
        change_id: ChangeId | None = None,
        base: Revision | None = None,
        is_repeat: bool = True,
    ) -> Accepted:
        """Have a change set accepted as a whole, or not at all.

        An id that was accepted before is reported and not applied again.

        :param changes: changes, applied in order
        :param change_id: id of the change set; drawn when left out
        :param base: revision that the operator has seen; changes to the same items accepted after
            it are conflicts. Left out, it is that of the id, or the one read first
        :param is_repeat: a given id may have been submitted before, so that a failure says nothing
            about the change; False where the caller has just drawn it
        :returns: where it was accepted
        :raises ChangeConflictError: a change to the same item won
        :raises StaleConfigurationError: the service has less than the revision that was seen
        :raises InvalidRequestError: a change is malformed
        :raises NotFoundError: a change names something that does not exist
        :raises PeerUnreachableError: the service was not reached; the change was not accepted
        :raises PeerTimeoutError: the outcome is unknown; submit again with the same id
        """
        may_have_run = is_repeat and change_id is not None
        submission = Submission(self._records, self._clock, changes, change_id, base, may_have_run)
        return submission.run(self._settle_timeout_ms)

    def _read(self, call: Callable[[], T]) -> T:
        """Repeat a read that was not answered; its failure is never of unknown outcome."""
        deadline_ms = self._clock.now_ms() + self._settle_timeout_ms
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
                contents = self._records.read_contents(head)
            except NotFoundError as error:
                # Contents are deleted some time after their head was replaced.
                if self._records.read_head()[1] != mod_revision:
                    continue
                raise ProtocolError(error.message, step=error.step) from error
            return Snapshot(head, mod_revision, join_buckets(head.revision, contents))

    def _read_history(self, limit: int) -> tuple[AcceptedChange, ...]:
        head, _ = self._records.read_head()
        return tuple(islice(self._records.changes_back(head), limit))
