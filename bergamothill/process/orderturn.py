"""Keeps the orders of two holders of a duty to one engine apart in time.

Engines that do not check fencing numbers must not get orders of two holders within one turn. A
holder names in the key-value service the engines that it orders, before each order, and takes the
mark away one turn after its last. A new holder that finds a predecessor's mark waits for a turn
with the engines that it names; the others it orders at once.
"""

from __future__ import annotations

import secrets
import threading
from collections.abc import Iterable
from contextlib import suppress

import cbor2

from bergamothill.connection.kvs import ABSENT, KeyValueService
from bergamothill.errors import ConflictError
from bergamothill.ids import EntryInstanceId, FencingNumber, ServerId
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
        self._name = f"{holder}/{secrets.token_hex(TOKEN_BYTES)}"
        self._lease = lease
        self._turn_ms = turn_ms + TURN_MARGIN_MS
        self._marked_fencing = FencingNumber(0)
        self._revision = ABSENT
        self._marked: set[ServerId] = set()
        self._waits_until_ms: dict[ServerId, int] = {}
        self._all_wait_until_ms = 0
        self._last_order_ms = 0
        self._lock = threading.Lock()

    def open(
        self, servers: Iterable[ServerId], now_ms: int, *, must_wait: bool
    ) -> frozenset[ServerId]:
        """Mark that engines are ordered; to be called before each batch of orders.

        :param servers: engines that are to be ordered
        :param now_ms: present instant, in milliseconds
        :param must_wait: whether a predecessor's orders must be waited out
        :returns: the engines that may be ordered now; the others wait for the predecessor's turn
        """
        wanted = frozenset(servers)
        with self._lock:
            fencing = self._lease.fencing
            if self._marked_fencing != fencing or not wanted <= self._marked:
                self._mark(wanted, now_ms, must_wait)
                self._marked_fencing = fencing
            return frozenset(server for server in wanted if self._may_order(server, now_ms))

    def _may_order(self, server: ServerId, now_ms: int) -> bool:
        waits_until_ms = self._waits_until_ms.get(server, 0)
        return now_ms >= max(waits_until_ms, self._all_wait_until_ms)

    def ordered(self, now_ms: int) -> None:
        """Note that an order was sent and its exchange has ended."""
        with self._lock:
            self._last_order_ms = max(self._last_order_ms, now_ms)

    def rest(self, now_ms: int) -> None:
        """Take the mark away once a turn has passed since the last order."""
        with self._lock:
            waits = (self._all_wait_until_ms, *self._waits_until_ms.values())
            is_due = now_ms - max(self._last_order_ms, *waits) >= self._turn_ms
            if self._revision == ABSENT or not is_due:
                return
            # Without a reply the mark may be gone, or go later: the next order marks anew.
            self._marked_fencing = FencingNumber(0)
            self._marked = set()
            # A conflict tells that a successor has taken the mark over.
            with suppress(ConflictError):
                self._kvs.delete_if(self._key, expected=self._revision)
            self._revision = ABSENT

    def _mark(self, wanted: frozenset[ServerId], now_ms: int, must_wait: bool) -> None:
        found = self._kvs.get(self._key)
        if found is not None and must_wait:
            self._wait_for(found.value, now_ms)
        self._waits_until_ms = {s: ms for s, ms in self._waits_until_ms.items() if ms > now_ms}
        # A successor of ours has to wait for the predecessor's engines, too.
        named = sorted({*self._marked, *wanted, *self._waits_until_ms})
        value = cbor2.dumps([self._name, named])
        expected = ABSENT if found is None else found.mod_revision
        self._revision = self._kvs.put_if(self._key, value, expected=expected).mod_revision
        self._marked |= wanted

    def _wait_for(self, mark: bytes, now_ms: int) -> None:
        """Wait for a predecessor; its last order was sent before its lease ended, so before now."""
        until_ms = now_ms + self._turn_ms
        try:
            name, servers = cbor2.loads(mark)
            named = [ServerId(str(server)) for server in servers]
        except (TypeError, ValueError, cbor2.CBORDecodeError):
            self._all_wait_until_ms = until_ms
            return
        if name != self._name:
            self._waits_until_ms.update(dict.fromkeys(named, until_ms))
