"""Enforces a minimum time gap between the orders of successive duty holders to one engine.

Engines that do not check fencing numbers must not get orders from two holders within this gap.
Before it sends orders, a holder records the engines that get them in a marker key of the key-value
service, and it deletes the marker once the gap has passed since its last order. A new holder that
finds the marker of a previous holder sends orders to the engines listed there only once the gap has
passed since it acquired the duty; other engines get its orders at once.

A key-value service that was restored from an older copy has lost the leases and may have lost the
marker. A second key therefore records the newest era of the service in which a holder has waited
until no earlier holder can still send orders, and for the gap after that.
"""

from __future__ import annotations

import secrets
import threading
from collections.abc import Iterable
from contextlib import suppress

import cbor2

from bergamothill.connection.kvs import ABSENT, KeyValueService
from bergamothill.connection.storeera import era_of
from bergamothill.errors import ConflictError
from bergamothill.ids import EntryInstanceId, FencingNumber, ServerId
from bergamothill.logs import EventLog
from bergamothill.process.lease import DutyLease

__all__ = ["OrderGapGuard", "read_settled_era", "record_settled_era"]

TOKEN_BYTES = 16

ORDER_GAP_MARGIN_MS = 150
"""Added to the gap for the network delay of an order sent just before a lease expired."""


_log = EventLog("orders")


def read_settled_era(kvs: KeyValueService, marker_key: str) -> int:
    """Return the newest era of the service in which a holder has ended its wait; 0 for none.

    What was lost by the restoration that began this era has been written again.

    :param kvs: key-value service
    :param marker_key: key of the marker of the duty
    """
    entry = kvs.get(_era_key(marker_key))
    return 0 if entry is None else _decode_era(entry.value)


def record_settled_era(kvs: KeyValueService, marker_key: str, era: int) -> None:
    """Record that a holder has ended its wait in an era.

    :param kvs: key-value service
    :param marker_key: key of the marker of the duty
    """
    key = _era_key(marker_key)
    entry = kvs.get(key)
    if entry is not None and _decode_era(entry.value) >= era:
        return
    expected = ABSENT if entry is None else entry.mod_revision
    # A conflict means that another holder has waited, too.
    with suppress(ConflictError):
        kvs.put_if(key, cbor2.dumps(era), expected=expected)


class OrderGapGuard:
    """Maintains the marker and decides which engines may get orders of a duty; thread-safe.

    :param kvs: key-value service
    :param key: key of the marker
    :param holder: this entry instance
    :param lease: lease on the duty
    :param gap_ms: minimum time between the orders of two holders to one engine
    :param lease_ttl_ms: time after its last renewal for which a holder may act on its lease
    """

    def __init__(
        self,
        kvs: KeyValueService,
        key: str,
        holder: EntryInstanceId,
        lease: DutyLease,
        gap_ms: int,
        lease_ttl_ms: int,
    ) -> None:
        self._kvs = kvs
        self._key = key
        # Unique per start: otherwise an instance that restarted while it waited for the gap would
        # take its earlier marker for its current one and send orders without waiting.
        self._marker_owner = f"{holder}/{secrets.token_hex(TOKEN_BYTES)}"
        self._lease = lease
        self._min_gap_ms = gap_ms + ORDER_GAP_MARGIN_MS
        self._restore_wait_ms = lease_ttl_ms + self._min_gap_ms
        self._settled_era = 0
        self._settling_fencing = FencingNumber(0)
        self._settled_from_ms = 0
        self._marker_fencing = FencingNumber(0)
        self._marker_revision = ABSENT
        self._marked_servers: frozenset[ServerId] = frozenset()
        self._ordered_servers: frozenset[ServerId] = frozenset()
        self._blocked_until_ms: dict[ServerId, int] = {}
        self._all_blocked_until_ms = 0
        self._last_order_ms = 0
        self._lock = threading.Lock()

    def begin_orders(
        self, servers: Iterable[ServerId], now_ms: int, *, must_wait: bool
    ) -> frozenset[ServerId]:
        """Record in the marker which engines get orders; call it before each batch of orders.

        :param servers: engines that are to get orders
        :param now_ms: current time, in milliseconds
        :param must_wait: whether to wait for the gap after the orders of a previous holder
        :returns: engines that may get orders now; for the others the gap has not passed yet
        """
        targets = frozenset(servers)
        with self._lock:
            fencing = self._lease.fencing
            if must_wait and not self._is_era_settled(fencing, now_ms):
                return frozenset()
            if self._marker_fencing != fencing:
                self._read_marker(now_ms, must_wait)
                self._marker_fencing = fencing
            permitted = frozenset(s for s in targets if self._wait_ms(s, now_ms) == 0)
            if permitted:
                self._write_marker(permitted, now_ms)
                self._last_order_ms = max(self._last_order_ms, now_ms)
            return permitted

    def wait_ms(self, server: ServerId, now_ms: int) -> int:
        """Return how long an order to an engine must still wait for those of a previous holder.

        :param server: engine
        :param now_ms: current time, in milliseconds
        """
        with self._lock:
            return self._wait_ms(server, now_ms)

    def _wait_ms(self, server: ServerId, now_ms: int) -> int:
        blocked_until_ms = max(self._blocked_until_ms.get(server, 0), self._all_blocked_until_ms)
        return max(0, blocked_until_ms - now_ms)

    def settle_era(self, now_ms: int) -> bool:
        """Start or end the wait after a restoration, so that it is over before orders are due.

        :param now_ms: current time, in milliseconds
        :returns: whether orders need not wait for holders of earlier eras
        """
        with self._lock:
            return self._is_era_settled(self._lease.fencing, now_ms)

    def _is_era_settled(self, fencing: FencingNumber, now_ms: int) -> bool:
        era = era_of(fencing)
        if era <= self._settled_era:
            return True
        # The wait starts anew with each holder, so that the service is available while it lasts.
        if fencing != self._settling_fencing:
            if read_settled_era(self._kvs, self._key) >= era:
                self._settled_era = era
                return True
            self._settling_fencing = fencing
            self._settled_from_ms = now_ms + self._restore_wait_ms
            _log.info("orders_wait_after_restore", era=era, wait_ms=self._restore_wait_ms)
        if now_ms < self._settled_from_ms:
            return False
        record_settled_era(self._kvs, self._key, era)
        self._settled_era = era
        _log.info("era_settled", era=era)
        return True

    def record_order(self, now_ms: int) -> None:
        """Record that an order was sent and its exchange has ended."""
        with self._lock:
            self._last_order_ms = max(self._last_order_ms, now_ms)

    def delete_idle_marker(self, now_ms: int) -> None:
        """Delete the marker once the gap has passed since the last order."""
        with self._lock:
            blocked_until = (self._all_blocked_until_ms, *self._blocked_until_ms.values())
            is_due = now_ms - max(self._last_order_ms, *blocked_until) >= self._min_gap_ms
            if self._marker_revision == ABSENT or not is_due:
                return
            # Without a reply the delete may have taken effect, or may still do so: the next order
            # writes a new marker.
            self._marker_fencing = FencingNumber(0)
            self._marked_servers = self._ordered_servers = frozenset()
            # A conflict means that the next holder has already replaced the marker.
            with suppress(ConflictError):
                self._kvs.delete_if(self._key, expected=self._marker_revision)
            self._marker_revision = ABSENT

    def _read_marker(self, now_ms: int, must_wait: bool) -> None:
        existing = self._kvs.get(self._key)
        self._marker_revision = ABSENT if existing is None else existing.mod_revision
        self._marked_servers = frozenset()
        if now_ms - self._last_order_ms >= self._min_gap_ms:
            self._ordered_servers = frozenset()
        if existing is not None and must_wait:
            self._block_marked_servers(existing.value, now_ms)

    def _write_marker(self, permitted: frozenset[ServerId], now_ms: int) -> None:
        ordered_servers = self._ordered_servers | permitted
        blocked = (s for s, until_ms in self._blocked_until_ms.items() if until_ms > now_ms)
        # The holder after this one must also wait for the engines of the previous holder.
        marked_servers = ordered_servers.union(blocked)
        if marked_servers != self._marked_servers:
            value = cbor2.dumps([self._marker_owner, sorted(marked_servers)])
            # Without a reply the write may have taken effect, or may still do so.
            self._marker_fencing, fencing = FencingNumber(0), self._marker_fencing
            written = self._kvs.put_if(self._key, value, expected=self._marker_revision)
            self._marker_fencing, self._marker_revision = fencing, written.mod_revision
            self._marked_servers = marked_servers
        self._ordered_servers = ordered_servers

    def _block_marked_servers(self, marker: bytes, now_ms: int) -> None:
        """Block the engines in a previous holder's marker for one gap from the acquisition.

        Its last order was sent before its lease expired, and therefore before the acquisition.
        """
        acquired_ms = self._lease.acquired_ms
        until_ms = acquired_ms + self._min_gap_ms
        try:
            owner, servers = cbor2.loads(marker)
            marked_servers = [ServerId(str(server)) for server in servers]
        except (TypeError, ValueError, cbor2.CBORDecodeError):
            self._all_blocked_until_ms = until_ms
            return
        if owner != self._marker_owner:
            self._blocked_until_ms.update(dict.fromkeys(marked_servers, until_ms))
            _log.info(
                "order_marker_found",
                owner=str(owner).partition("/")[0],
                servers=" ".join(marked_servers),
                held_ms=now_ms - acquired_ms,
                wait_ms=max(0, until_ms - now_ms),
            )


def _era_key(marker_key: str) -> str:
    return f"{marker_key}/era"


def _decode_era(value: bytes) -> int:
    """Decode the settled era; an unreadable one counts as none, so that the wait starts anew."""
    try:
        era = cbor2.loads(value)
    except (ValueError, cbor2.CBORDecodeError):
        return 0
    return era if isinstance(era, int) else 0
