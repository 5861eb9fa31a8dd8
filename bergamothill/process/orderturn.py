"""Keeps the orders of two holders of a duty apart in time.

Engines that do not check fencing numbers must not get orders of two holders within one turn. A
holder marks in the key-value service that it sends orders, before the first, and takes the mark
away one turn after its last. A new holder that finds a predecessor's mark waits for a turn;
without one it starts at once.
"""

from __future__ import annotations

import secrets
import threading
from contextlib import suppress

import cbor2

from bergamothill.connection.kvs import ABSENT, KeyValueService
from bergamothill.errors import ConflictError, UnavailableError
from bergamothill.ids import EntryInstanceId
from bergamothill.process.lease import DutyLease

__all__ = ["OrderTurn"]

TOKEN_BYTES = 16

TURN_MARGIN_MS = 150
"""Added to a turn for the way of an order that was sent just before a lease ended."""


class OrderTurn:
    """Mark of one duty's orders; safe for threads.

    :param kvs: key-value service
    :param key: key of the mark
    :param holder: this entry instance
    :param lease: lease on the duty
    :param turn_ms: least time between the orders of two holders
    """

    def __init__(
        self,
        kvs: KeyValueService,
        key: str,
        holder: EntryInstanceId,
        lease: DutyLease,
        turn_ms: int,
    ) -> None:
        self._kvs = kvs
        self._key = key
        # An earlier start of this instance may have died while it waited for a predecessor's turn.
        self._value = cbor2.dumps([holder, secrets.token_hex(TOKEN_BYTES)])
        self._lease = lease
        self._turn_ms = turn_ms + TURN_MARGIN_MS
        self._marked_fencing = 0
        self._revision = ABSENT
        self._waits_until_ms = 0
        self._last_order_ms = 0
        self._lock = threading.Lock()

    def open(self, now_ms: int, *, must_wait: bool) -> None:
        """Mark that orders are sent; to be called before each.

        :param now_ms: present instant, in milliseconds
        :param must_wait: whether a predecessor's orders must be waited out
        :raises UnavailableError: the predecessor's turn is not over; try later
        """
        with self._lock:
            fencing = self._lease.fencing
            if self._marked_fencing != fencing:
                self._mark(now_ms, must_wait)
                self._marked_fencing = fencing
            if now_ms < self._waits_until_ms:
                raise UnavailableError(
                    "orders of the previous holder may still arrive",
                    step="order.turn",
                    retry_after_ms=self._waits_until_ms - now_ms,
                )

    def ordered(self, now_ms: int) -> None:
        """Note that an order was sent and its exchange has ended."""
        with self._lock:
            self._last_order_ms = max(self._last_order_ms, now_ms)

    def rest(self, now_ms: int) -> None:
        """Take the mark away once a turn has passed since the last order."""
        with self._lock:
            is_due = now_ms - max(self._last_order_ms, self._waits_until_ms) >= self._turn_ms
            if self._revision == ABSENT or not is_due:
                return
            # Without a reply the mark may be gone, or go later: the next order marks anew.
            self._marked_fencing = 0
            # A conflict tells that a successor has taken the mark over.
            with suppress(ConflictError):
                self._kvs.delete_if(self._key, expected=self._revision)
            self._revision = ABSENT

    def _mark(self, now_ms: int, must_wait: bool) -> None:
        found = self._kvs.get(self._key)
        is_foreign = found is not None and found.value != self._value
        expected = ABSENT if found is None else found.mod_revision
        if is_foreign and must_wait:
            # A predecessor's last order was sent before its lease ended, so before now.
            self._waits_until_ms = now_ms + self._turn_ms
        self._revision = self._kvs.put_if(self._key, self._value, expected=expected).mod_revision
