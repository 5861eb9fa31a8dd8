"""Eras of the key-value service: the time between two restorations from an older copy; no I/O.

A restored service has lost its latest writes and all leases, and it gives out revisions and lease
numbers again. Revisions and leases are therefore qualified with the era in which they were given
out. Qualified revisions increase across restorations, so that the revision of a key, used as a
fencing number, is never given out twice.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from bergamothill.connection.kvs import ABSENT
from bergamothill.errors import ConflictError, LeaseLostError, StoreRestoredError
from bergamothill.ids import LeaseId
from bergamothill.logs import EventLog

__all__ = ["REWRITE_MS", "StoreEra", "era_of", "qualify_revision"]

REWRITE_MS = 2_100
"""Time after an outage or a restoration in which others write again what the service has lost."""

REVISIONS_PER_ERA = 1 << 40
"""Qualified revisions fit into the 53 bits that JSON numbers keep exactly."""

_log = EventLog("store")


def qualify_revision(era: int, revision: int) -> int:
    """Return a revision that is comparable with those of other eras.

    :param era: era in which the service gave the revision out
    :param revision: revision within that era
    """
    return era * REVISIONS_PER_ERA + revision


def era_of(qualified_revision: int) -> int:
    """Return the era in which a qualified revision was given out."""
    return qualified_revision // REVISIONS_PER_ERA


class StoreEra:
    """The newest era seen in a reply of the service, and the checks that depend on it; thread-safe.

    :param peer: name of the service, for errors
    """

    def __init__(self, peer: str) -> None:
        self._peer = peer
        self._current: int | None = None
        self._listeners: list[Callable[[int], None]] = []
        self._lock = threading.Lock()

    @property
    def current(self) -> int:
        """The newest era seen; 0 before the first reply."""
        return self._current or 0

    def add_listener(self, on_restored: Callable[[int], None]) -> None:
        """Add a function that is called with the new era after each restoration.

        It is called in the thread that saw the new era, before the reply is processed there.
        """
        self._listeners.append(on_restored)

    def observe(self, era: int | None, step: str) -> int:
        """Record the era of a reply.

        :param era: era that the reply names; None if it names none
        :param step: step to name in the error
        :returns: the era of the reply
        :raises StoreRestoredError: the reply is from an earlier era than one seen before
        """
        with self._lock:
            known = self._current
            if era is None:
                return self.current
            if known is not None and era < known:
                raise StoreRestoredError(
                    f"reply is from era {era}, the service is in era {known}",
                    step=step,
                    peer=self._peer,
                )
            self._current = era
        if known is not None and era > known:
            _log.warning("store_restored", era=era, before=known, step=step)
            for on_restored in self._listeners:
                on_restored(era)
        return era

    def unqualify_revision(self, qualified_revision: int, step: str) -> int:
        """Return the service's own revision for the condition of a write.

        :param qualified_revision: revision that a key must have; 0 if it must not exist
        :raises ConflictError: the revision is from an earlier era
        """
        if qualified_revision == ABSENT:
            return ABSENT
        if era_of(qualified_revision) != self.current:
            raise ConflictError(
                f"revision is from era {era_of(qualified_revision)}, not {self.current}",
                step=step,
                peer=self._peer,
            )
        return qualified_revision % REVISIONS_PER_ERA

    def qualify_lease(self, era: int, number: int) -> LeaseId:
        """Return the id of a lease that was granted in an era."""
        return LeaseId(f"{era}.{number}")

    def unqualify_lease(self, lease_id: LeaseId, step: str) -> int:
        """Return the service's own number of a lease.

        :raises LeaseLostError: the lease is from an earlier era, so it has ended
        """
        era, _, number = lease_id.partition(".")
        if int(era) != self.current:
            raise LeaseLostError(
                f"lease {lease_id} ended when the service was restored", step=step, peer=self._peer
            )
        return int(number)

    def check_same(self, sent_era: int, reply_era: int, step: str) -> None:
        """Check that a call whose arguments belong to an era was carried out in that era.

        :param sent_era: era when the call was sent
        :param reply_era: era of its reply
        :raises StoreRestoredError: the service was restored in between, so that the revisions and
            leases in the call may have meant others
        """
        if sent_era != reply_era:
            raise StoreRestoredError(
                f"the service went from era {sent_era} to {reply_era} during the call",
                step=step,
                peer=self._peer,
            )
