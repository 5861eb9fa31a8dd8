"""Lease attached to the call records that an entry instance writes."""

from __future__ import annotations

import threading

from bergamothill.clock import Clock
from bergamothill.connection.kvs import KeyValueService
from bergamothill.ids import LeaseId

__all__ = ["RETENTION_MS", "RecordLease"]

RETENTION_MS = 86_400_000
"""How long a record is kept after its call; a caller may repeat the call within this time."""

LEASE_SHARING_MS = 3_600_000
LEASE_SLACK_MS = 600_000


class RecordLease:
    """Lease shared by all records that an entry instance writes within an hour.

    The lease is never renewed. Its expiry removes the records, so that no sweep is needed.

    :param kvs: key-value service
    :param clock: time source
    """

    def __init__(self, kvs: KeyValueService, clock: Clock) -> None:
        self._kvs = kvs
        self._clock = clock
        self._lease_id: LeaseId | None = None
        self._granted_ms = 0
        self._lock = threading.Lock()

    def current(self) -> LeaseId:
        """Return a lease that is valid for at least :data:`RETENTION_MS`, granting one if needed.

        :raises PeerUnreachableError: the key-value service did not answer
        :raises PeerTimeoutError: the key-value service did not answer in time
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            if self._lease_id is None or now_ms - self._granted_ms >= LEASE_SHARING_MS:
                ttl_ms = RETENTION_MS + LEASE_SHARING_MS + LEASE_SLACK_MS
                self._lease_id = self._kvs.grant_lease(ttl_ms)
                self._granted_ms = now_ms
            return self._lease_id

    def drop(self) -> None:
        """Discard a lease that ended before its time."""
        with self._lock:
            self._lease_id = None
