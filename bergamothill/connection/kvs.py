"""Key-value service of the platform: interface and records.

The service offers compare-and-swap, leases and watches. It has long outages, and its reply can be
lost after the change took effect: such a call raises
:class:`~bergamothill.errors.PeerTimeoutError` with an unknown outcome.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from bergamothill.ids import LeaseId

__all__ = ["ABSENT", "KeyValueEntry", "KeyValueService", "MAX_VALUE_BYTES"]

ABSENT = 0
"""Expected ``mod_revision`` of a key that must not exist."""

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class KeyValueEntry:
    """One stored key.

    :param key: full key, components parted by ``/``
    :param value: stored bytes, at most :data:`MAX_VALUE_BYTES`
    :param mod_revision: revision of the service at the last change of this key; at least 1
    """

    key: str
    value: bytes
    mod_revision: int


class KeyValueService(ABC):
    """Client of the key-value service.

    Every method raises :class:`~bergamothill.errors.PeerUnreachableError` when the call was not
    sent and :class:`~bergamothill.errors.PeerTimeoutError` when its outcome is unknown.
    """

    @abstractmethod
    def get(self, key: str) -> KeyValueEntry | None:
        """Read one key, linearizably.

        :param key: full key
        :returns: the entry, or None when the key does not exist
        """

    @abstractmethod
    def scan(self, prefix: str) -> tuple[KeyValueEntry, ...]:
        """Read all keys below a prefix.

        :param prefix: leading part of the keys
        :returns: entries in key order
        """

    @abstractmethod
    def put_if(
        self, key: str, value: bytes, *, expected: int, lease_id: LeaseId | None = None
    ) -> KeyValueEntry:
        """Write when the key is still at the expected revision (compare-and-swap).

        :param key: full key
        :param value: new bytes
        :param expected: ``mod_revision`` that the key must have; :data:`ABSENT` to create
        :param lease_id: lease whose end removes the key
        :returns: the entry as written
        :raises ConflictError: the key is at another revision
        """

    @abstractmethod
    def delete_if(self, key: str, *, expected: int) -> None:
        """Delete when the key is still at the expected revision.

        :param key: full key
        :param expected: ``mod_revision`` that the key must have
        :raises ConflictError: the key is at another revision
        """

    @abstractmethod
    def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Open a lease.

        :param ttl_ms: life without renewal, in milliseconds
        :returns: the lease
        """

    @abstractmethod
    def renew_lease(self, lease_id: LeaseId) -> None:
        """Start the lease's life anew.

        :param lease_id: lease to renew
        :raises LeaseLostError: the lease has ended
        """

    @abstractmethod
    def revoke_lease(self, lease_id: LeaseId) -> None:
        """End the lease and remove its keys.

        :param lease_id: lease to end; one that has ended is no error
        """

    @abstractmethod
    def wait_change(self, prefix: str, *, after: int, timeout_ms: int) -> int:
        """Wait until a key below the prefix changes (watch as a long poll).

        :param prefix: leading part of the keys
        :param after: service revision already seen; 0 returns at once
        :param timeout_ms: longest wait, in milliseconds
        :returns: current service revision; equal to ``after`` when nothing changed
        """
