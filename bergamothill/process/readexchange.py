"""Shares reads of the key-value service within the zone, between its threads and the event loop."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.kvs import KeyValueEntry
from bergamothill.connection.storeera import StoreEra
from bergamothill.errors import StoreRestoredError
from bergamothill.ids import EntryInstanceId, ZoneName
from bergamothill.logs import EventLog
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.loadexchange import LoadExchange
from bergamothill.process.prefixshare import PrefixShare
from bergamothill.process.readmessages import (
    ReadMessage,
    decode_read_message,
    encode_read_message,
    is_read_message,
)
from bergamothill.process.readtimes import ReadTimes
from bergamothill.process.registry import Peer
from bergamothill.process.sharedreads import SharedReads
from bergamothill.process.zonereaders import ReadRole

__all__ = ["ReadExchange"]

TICK_MS = 50
IDLE_TICK_MS = 100

_log = EventLog("reads")


class ReadExchange:
    """Exchanges reads with the other instances of the zone.

    :param own: this entry instance
    :param zone: its availability zone
    :param clock: source of time
    :param store_era: era of the service as this instance knows it
    :param load_exchange: its socket carries the messages
    :param metrics: counts the reads by their source
    :param link_mbps: bandwidth of the link of its machine, in Mbit/s; 0 if not known
    """

    def __init__(
        self,
        own: EntryInstanceId,
        zone: ZoneName,
        clock: Clock,
        store_era: StoreEra,
        load_exchange: LoadExchange,
        metrics: GatewayMetrics,
        link_mbps: int = 0,
    ) -> None:
        self._own = own
        self._clock = clock
        self._store_era = store_era
        self._load_exchange = load_exchange
        self._metrics = metrics
        self._reads = SharedReads(own, zone, time.time_ns())
        self._reads.readers.own_link_mbps = link_mbps
        self._shares: dict[str, PrefixShare] = {}
        self._roles: dict[str, ReadRole] = {}
        # A listener of the era may read the state of the prefixes.
        self._lock = threading.RLock()
        self._loop: asyncio.AbstractEventLoop | None = None
        load_exchange.add_kind(is_read_message, decode_read_message, self._on_message)

    def share(self, prefix: str, times: ReadTimes) -> PrefixShare:
        """Share the reads of a prefix.

        :param prefix: prefix of the keys
        :param times: times of its reads
        """
        self.set_times(prefix, times)
        share = self._shares[prefix] = PrefixShare(self, prefix)
        return share

    def set_times(self, prefix: str, times: ReadTimes) -> None:
        """Change the times of a prefix."""
        with self._lock:
            self._reads.set_times(prefix, times)

    def set_peers(self, peers: tuple[Peer, ...]) -> None:
        """Set the other registered instances."""
        with self._lock:
            before = self._reads.readers.ranking[:2]
            self._reads.set_peers(peers)
            readers = self._reads.readers.ranking[:2]
            if readers != before:
                count = len(self._reads.readers.ranking)
                _log.info("readers_changed", readers=" ".join(readers), instances=count)

    async def run(self) -> None:
        """Ask readers and watch the roles until cancelled."""
        self._loop = asyncio.get_running_loop()
        while True:
            tick_ms = TICK_MS if self._reads.is_fetching() else IDLE_TICK_MS
            await asyncio.sleep(ms_to_seconds(tick_ms))
            with self._lock:
                self._reads.tick(self._clock.now_ms())
                self._update_roles()
            self._send_outgoing()

    def _update_roles(self) -> None:
        now_ms = self._clock.now_ms()
        for prefix, share in self._shares.items():
            role, before = self._reads.role(prefix, now_ms), self._roles.get(prefix)
            if role is before:
                continue
            self._roles[prefix] = role
            _log.info(
                "read_role", prefix=prefix, role=role.value, before=before.value if before else "-"
            )
            if before is ReadRole.FOLLOWER:
                share.wake()

    @property
    def is_sharing(self) -> bool:
        """Whether the zone has instances that need not read."""
        return self._reads.readers.is_sharing

    def should_read(self, prefix: str) -> bool:
        """Return whether this instance is to read a prefix itself."""
        with self._lock:
            return self._reads.should_read(prefix, self._clock.now_ms())

    def is_fresh(self, prefix: str) -> bool:
        """Return whether a read of a prefix that is at most one interval old was applied."""
        with self._lock:
            return self._reads.is_fresh(prefix, self._clock.now_ms())

    @property
    def era(self) -> int:
        """Newest era of the service that this instance knows."""
        return self._store_era.current

    def record_read(
        self, prefix: str, entries: tuple[KeyValueEntry, ...], era_before: int, sent_ms: int
    ) -> bool:
        """Apply and tell the result of an own read; see :meth:`PrefixShare.record_read`."""
        with self._lock:
            now_ms = self._clock.now_ms()
            # All replies to the read are from this era if it did not change meanwhile.
            era = era_before if era_before == self._store_era.current else None
            self._count(prefix, self._reads.role(prefix, now_ms).value)
            applied = self._reads.on_read(prefix, entries, era, sent_ms, now_ms)
            if applied is not None:
                self._shares[prefix].on_read(applied)
        self._call_in_loop(self._send_outgoing)
        return applied is not None

    def record_failure(self, prefix: str) -> None:
        """Tell that an own read failed."""
        with self._lock:
            self._reads.on_read_failed(prefix, self._clock.now_ms())
        self._count(prefix, "failed")
        self._call_in_loop(self._send_outgoing)

    def _on_message(self, message: ReadMessage) -> None:
        if message.entry == self._own:
            return
        with self._lock:
            self._reads.era = max(self._reads.era, self._store_era.current)
            applied = self._reads.on_message(message, self._clock.now_ms())
            if self._reads.era > self._store_era.current and not self._observe_era():
                applied = []
            for read in applied:
                self._metrics.count("store_reads", prefix=read.prefix, source="peer")
                self._shares[read.prefix].on_read(read)
        self._send_outgoing()

    def _observe_era(self) -> bool:
        """Let all parts know of a restoration of the service that another instance has seen."""
        try:
            self._store_era.observe(self._reads.era, "reads.era")
        except StoreRestoredError:
            return False
        return True

    def _send_outgoing(self) -> None:
        """Send what is due; called on the event loop only."""
        with self._lock:
            outgoing = self._reads.take_outgoing()
        for entries, message in outgoing:
            self._load_exchange.send_to(entries, encode_read_message(message))

    def _count(self, prefix: str, source: str) -> None:
        self._call_in_loop(lambda: self._metrics.count("store_reads", prefix=prefix, source=source))

    def _call_in_loop(self, action: Callable[[], None]) -> None:
        if self._loop is not None and not self._loop.is_closed():
            self._loop.call_soon_threadsafe(action)
