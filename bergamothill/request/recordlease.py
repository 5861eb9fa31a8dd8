"""Lease attached to the call records that an entry instance writes."""

from __future__ import annotations

import threading

from bergamothill.clock import Clock
from bergamothill.connection.kvs import KeyValueService
from bergamothill.ids import LeaseId

__all__ = ["RETENTION_MS", "RecordLease"]

RETENTION_MS = 86_400_000
"""How long a call record is kept; a caller that repeats a call must do so within this time."""

LEASE_SHARING_MS = 3_600_000
LEASE_TTL_MARGIN_MS = 600_000


class RecordLease:
    """Lease shared by all records that an entry instance writes within an hour.

    The lease is never renewed. When it expires, the key-value service deletes the records, so they
    need no garbage collection.

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

        :raises PeerUnreachableError: the request for a lease was not sent
        :raises PeerTimeoutError: the reply to the request for a lease was lost or late
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            if self._lease_id is None or now_ms - self._granted_ms >= LEASE_SHARING_MS:
                ttl_ms = RETENTION_MS + LEASE_SHARING_MS + LEASE_TTL_MARGIN_MS
                self._lease_id = self._kvs.grant_lease(ttl_ms)
                self._granted_ms = now_ms
            return self._lease_id

    def drop(self) -> None:
        """Forget the lease, because it ended early; the next call of :meth:`current` grants one."""
        with self._lock:
            self._lease_id = None
