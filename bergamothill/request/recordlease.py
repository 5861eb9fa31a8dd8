"""Lease under which an entry instance writes the records of its calls."""

from __future__ import annotations

import threading

from bergamothill.clock import Clock
from bergamothill.connection.kvs import KeyValueService
from bergamothill.ids import LeaseId

__all__ = ["RETENTION_MS", "RecordLease"]

RETENTION_MS = 86_400_000
"""How long a record outlives its call: the window in which a caller may repeat it."""

LEASE_SHARING_MS = 3_600_000
LEASE_SLACK_MS = 600_000


class RecordLease:
    """Lease shared by the records that an entry instance writes within an hour.

    It is never renewed: its end removes the records, which saves a sweep over all of them.

    :param kvs: key-value service
    :param clock: source of time
    """

    def __init__(self, kvs: KeyValueService, clock: Clock) -> None:
        self._kvs = kvs
        self._clock = clock
        self._lease_id: LeaseId | None = None
        self._granted_ms = 0
        self._lock = threading.Lock()

    def current(self) -> LeaseId:
        """Return a lease that lasts for at least :data:`RETENTION_MS`.

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
        """Forget a lease that has ended early."""
        with self._lock:
            self._lease_id = None
