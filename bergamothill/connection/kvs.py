"""Client interface of the platform's key-value service, and its data types.

The service offers compare-and-swap, leases and watches. It may be unavailable for a long time. If
the reply to a call is lost, the call raises :class:`~bergamothill.errors.PeerTimeoutError`; a
change that it requested may have taken effect.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from bergamothill.ids import LeaseId

__all__ = [
    "ABSENT",
    "MAX_VALUE_BYTES",
    "KeyValueChange",
    "KeyValueEntry",
    "KeyValueHistory",
    "KeyValueService",
]

ABSENT = 0
"""Pass this as ``expected`` to write a key only if it does not exist."""

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class KeyValueEntry:
    """One key with its value.

    :param key: full key, with components separated by ``/``
    :param value: stored bytes, at most :data:`MAX_VALUE_BYTES`
    :param mod_revision: service revision at the last change of this key; at least 1
    """

    key: str
    value: bytes
    mod_revision: int


@dataclass(frozen=True, slots=True)
class KeyValueChange:
    """One change of a key.

    :param key: full key
    :param value: value that was written; None if the key was deleted
    :param mod_revision: service revision of the change
    """

    key: str
    value: bytes | None
    mod_revision: int


@dataclass(frozen=True, slots=True)
class KeyValueHistory:
    """All changes below a prefix since a revision.

    :param created_revision: revision of the first change that may be among them
    :param changes: the changes, in order
    """

    created_revision: int
    changes: tuple[KeyValueChange, ...]


class KeyValueService(ABC):
    """Client of the key-value service.

    Every method raises :class:`~bergamothill.errors.PeerUnreachableError` when the call was not
    sent and :class:`~bergamothill.errors.PeerTimeoutError` when its outcome is unknown.
    """

    @abstractmethod
    def get(self, key: str) -> KeyValueEntry | None:
        """Read one key with a linearizable read.

        :param key: full key
        :returns: the entry, or None when the key does not exist
        """

    @abstractmethod
    def scan(self, prefix: str) -> tuple[KeyValueEntry, ...]:
        """Read all keys with a prefix; the entries need not form a snapshot.

        :param prefix: prefix of the keys
        :returns: entries in key order
        """

    @abstractmethod
    def put_if(
        self, key: str, value: bytes, *, expected: int, lease_id: LeaseId | None = None
    ) -> KeyValueEntry:
        """Write a key if it is still at the expected revision (compare-and-swap).

        :param key: full key
        :param value: new value
        :param expected: ``mod_revision`` that the key must have; :data:`ABSENT` to create
        :param lease_id: lease to attach the key to; the key is deleted when the lease ends
        :returns: the entry as written
        :raises ConflictError: the key is at another revision
        """

    @abstractmethod
    def delete_if(self, key: str, *, expected: int) -> None:
        """Delete a key if it is still at the expected revision.

        :param key: full key
        :param expected: ``mod_revision`` that the key must have
        :raises ConflictError: the key is at another revision
        """

    @abstractmethod
    def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Grant a lease.

        :param ttl_ms: time to live without renewal, in milliseconds
        :returns: id of the lease
        """

    @abstractmethod
    def renew_lease(self, lease_id: LeaseId) -> None:
        """Renew a lease for its full time to live.

        :param lease_id: lease to renew
        :raises LeaseLostError: the lease has ended
        """

    @abstractmethod
    def revoke_lease(self, lease_id: LeaseId) -> None:
        """Revoke a lease and delete its keys.

        :param lease_id: lease to revoke; a lease that has already ended is ignored
        """

    @abstractmethod
    def wait_for_change(self, prefix: str, *, after: int, timeout_ms: int) -> int:
        """Wait until a key with the prefix changes (watch by long polling).

        :param prefix: prefix of the keys
        :param after: last service revision seen; 0 returns immediately
        :param timeout_ms: maximum wait, in milliseconds
        :returns: current service revision; ``after`` if nothing changed; lower than ``after`` if
            the service no longer has the history since then, or was restored from an old snapshot
        """
