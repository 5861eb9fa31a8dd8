"""In-memory key-value service for tests and embedding."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass, field

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.kvs import (
    ABSENT,
    MAX_VALUE_BYTES,
    KeyValueChange,
    KeyValueEntry,
    KeyValueService,
)
from bergamothill.errors import ConflictError, InvalidRequestError, LeaseLostError
from bergamothill.ids import LeaseId

__all__ = ["KeyValueSnapshot", "LeaseSnapshot", "MemoryKeyValueService"]

MAX_LOGGED_CHANGES = 10_000
FIRST_REVISION = 1
"""Revision of an empty service; not 0, which a watch passes when it has seen no revision yet."""


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    expires_ms: int
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class LeaseSnapshot:
    """State of one lease in a snapshot.

    :param lease_id: id of the lease
    :param ttl_ms: time to live without renewal, in milliseconds
    :param keys: keys attached to the lease
    """

    lease_id: LeaseId
    ttl_ms: int
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class KeyValueSnapshot:
    """State of the service at one point in time, for :meth:`MemoryKeyValueService.restore`.

    :param revision: revision of the service
    :param entries: all keys
    :param leases: all leases
    """

    revision: int
    entries: tuple[KeyValueEntry, ...]
    leases: tuple[LeaseSnapshot, ...]


class MemoryKeyValueService(KeyValueService):
    """In-memory key-value service.

    :param clock: source of time for lease expiry; :meth:`wait_for_change` blocks in real time
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._revision = FIRST_REVISION
        self._entries: dict[str, KeyValueEntry] = {}
        self._leases: dict[LeaseId, _Lease] = {}
        self._lease_of_key: dict[str, LeaseId] = {}
        self._last_lease_number = 0
        self._changes: deque[KeyValueChange] = deque(maxlen=MAX_LOGGED_CHANGES)
        self._condition = threading.Condition()

    @property
    def revision(self) -> int:
        """Current revision."""
        return self._revision

    def get(self, key: str) -> KeyValueEntry | None:
        """Read one key."""
        with self._condition:
            self._expire_leases()
            return self._entries.get(key)

    def scan(self, prefix: str) -> tuple[KeyValueEntry, ...]:
        """Read all keys with a prefix, in key order."""
        with self._condition:
            self._expire_leases()
            found = [key for key in self._entries if key.startswith(prefix)]
            return tuple(self._entries[key] for key in sorted(found))

    def put_if(
        self, key: str, value: bytes, *, expected: int, lease_id: LeaseId | None = None
    ) -> KeyValueEntry:
        """Write a key if it is still at the expected revision."""
        if len(value) > MAX_VALUE_BYTES:
            raise InvalidRequestError(f"value of {len(value)} bytes is too large", step="kvs.put")
        with self._condition:
            self._check_revision(key, expected, "kvs.put")
            lease = None if lease_id is None else self._live_lease(lease_id, "kvs.put")
            self._detach_lease(key)
            entry = KeyValueEntry(key, value, self._record_change(key, value))
            self._entries[key] = entry
            if lease is not None and lease_id is not None:
                lease.keys.add(key)
                self._lease_of_key[key] = lease_id
            return entry

    def delete_if(self, key: str, *, expected: int) -> None:
        """Delete a key if it is still at the expected revision."""
        with self._condition:
            self._check_revision(key, expected, "kvs.delete")
            self._delete_key(key)

    def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Grant a lease."""
        with self._condition:
            self._last_lease_number += 1
            lease_id = LeaseId(f"lease-{self._last_lease_number}")
            self._leases[lease_id] = _Lease(ttl_ms, self._clock.now_ms() + ttl_ms)
            self._condition.notify_all()
            return lease_id

    def renew_lease(self, lease_id: LeaseId) -> None:
        """Renew a lease for its full time to live."""
        with self._condition:
            lease = self._live_lease(lease_id, "kvs.renew")
            lease.expires_ms = self._clock.now_ms() + lease.ttl_ms

    def revoke_lease(self, lease_id: LeaseId) -> None:
        """Revoke a lease and delete its keys."""
        with self._condition:
            self._end_lease(lease_id)

    def wait_for_change(self, prefix: str, *, after: int, timeout_ms: int) -> int:
        """Wait until a key with the prefix changes.

        If the service was restored from an older snapshot, this returns immediately with a revision
        below ``after``.
        """
        left_ms = timeout_ms
        with self._condition:
            while True:
                self._expire_leases()
                if after == 0 or self._has_changed(prefix, after):
                    return self._revision
                if left_ms <= 0:
                    return after
                started_ms = self._clock.now_ms()
                wait_ms = self._wait_ms(left_ms)
                notified = self._condition.wait(ms_to_seconds(wait_ms))
                left_ms -= self._clock.now_ms() - started_ms if notified else wait_ms

    def changes_after(self, prefix: str, after: int) -> tuple[KeyValueChange, ...]:
        """Return the changes below a prefix after a revision, as far as they are logged."""
        with self._condition:
            return tuple(
                change
                for change in self._changes
                if change.mod_revision > after and change.key.startswith(prefix)
            )

    def created_revision(self, key: str) -> int:
        """Return the revision at which a key was created; 0 if that is not logged any more."""
        with self._condition:
            created = 0
            for change in self._changes:
                if change.key == key:
                    created = 0 if change.value is None else created or change.mod_revision
            return created

    def snapshot(self) -> KeyValueSnapshot:
        """Return a snapshot of the current state."""
        with self._condition:
            self._expire_leases()
            leases = tuple(
                LeaseSnapshot(lease_id, lease.ttl_ms, tuple(sorted(lease.keys)))
                for lease_id, lease in self._leases.items()
            )
            return KeyValueSnapshot(self._revision, tuple(self._entries.values()), leases)

    def restore(self, snapshot: KeyValueSnapshot) -> None:
        """Replace the current state with a snapshot and renew the leases in it.

        :param snapshot: state to restore
        """
        with self._condition:
            self._entries = {entry.key: entry for entry in snapshot.entries}
            self._revision = snapshot.revision
            self._leases = {}
            self._lease_of_key = {}
            for lease in snapshot.leases:
                self._restore_lease(lease)
            self._changes.clear()
            self._condition.notify_all()

    def _restore_lease(self, lease: LeaseSnapshot) -> None:
        expires_ms = self._clock.now_ms() + lease.ttl_ms
        self._leases[lease.lease_id] = _Lease(lease.ttl_ms, expires_ms, set(lease.keys))
        for key in lease.keys:
            self._lease_of_key[key] = lease.lease_id

    def _check_revision(self, key: str, expected: int, step: str) -> None:
        self._expire_leases()
        entry = self._entries.get(key)
        found = ABSENT if entry is None else entry.mod_revision
        if found != expected:
            raise ConflictError(f"key {key} is at revision {found}, expected {expected}", step=step)

    def _record_change(self, key: str, value: bytes | None = None) -> int:
        self._revision += 1
        self._changes.append(KeyValueChange(key, value, self._revision))
        self._condition.notify_all()
        return self._revision

    def _has_changed(self, prefix: str, after: int) -> bool:
        if after > self._revision:
            return True
        oldest = self._changes[0].mod_revision if self._changes else self._revision + 1
        if after + 1 < oldest:
            return True
        newest_first = reversed(self._changes)
        for change in newest_first:
            if change.mod_revision <= after:
                return False
            if change.key.startswith(prefix):
                return True
        return False

    def _wait_ms(self, left_ms: int) -> int:
        now_ms = self._clock.now_ms()
        remaining_times_ms = [max(1, lease.expires_ms - now_ms) for lease in self._leases.values()]
        return min([left_ms, *remaining_times_ms])

    def _live_lease(self, lease_id: LeaseId, step: str) -> _Lease:
        self._expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            raise LeaseLostError(f"lease {lease_id} has ended", step=step)
        return lease

    def _expire_leases(self) -> None:
        now_ms = self._clock.now_ms()
        expired = [name for name, lease in self._leases.items() if lease.expires_ms <= now_ms]
        for lease_id in expired:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id: LeaseId) -> None:
        lease = self._leases.pop(lease_id, None)
        for key in sorted(lease.keys) if lease is not None else ():
            self._delete_key(key)

    def _delete_key(self, key: str) -> None:
        self._detach_lease(key)
        if self._entries.pop(key, None) is not None:
            self._record_change(key)

    def _detach_lease(self, key: str) -> None:
        lease = self._leases.get(self._lease_of_key.pop(key, LeaseId("")))
        if lease is not None:
            lease.keys.discard(key)
