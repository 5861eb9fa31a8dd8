"""Registers this entry instance in the key-value service and discovers its peers.

A registration expires with its lease. Known peers are retained while the service is unavailable.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

import cbor2

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.kvs import ABSENT, KeyValueService
from bergamothill.errors import BergamothillError, ConflictError, LeaseLostError
from bergamothill.ids import EntryInstanceId, LeaseId, ZoneName
from bergamothill.logs import EventLog
from bergamothill.process.prefixshare import PrefixShare
from bergamothill.process.readcontent import Entries
from bergamothill.process.readorder import AppliedRead
from bergamothill.process.readtimes import ReadTimes

__all__ = ["READ_TIMES", "REGISTRY_PREFIX", "Peer", "Registry", "decode_peer"]

REGISTRY_PREFIX = "entries/"
LEASE_TTL_MS = 10_000
RENEWAL_INTERVAL_MS = 2_500
SHARED_RENEWAL_INTERVAL_MS = 3_750
"""In zones that share reads, renewals are the calls that grow with the number of instances.

A failed one is repeated every 2.5 s, so that there are three attempts in the time to live as well.
"""

SLACK_MS = 200
"""A call that is due within this time is made now."""

READ_TIMES = ReadTimes(RENEWAL_INTERVAL_MS, 2 * RENEWAL_INTERVAL_MS)
"""All others must know of a new instance when it begins to share limits, after two reads."""

_log = EventLog("registry")


@dataclass(frozen=True, slots=True)
class Peer:
    """Another entry instance.

    :param entry: name of the entry instance
    :param host: IP address of its machine
    :param port: port on which it receives datagrams
    :param zone: its availability zone; None if its registration does not name one
    :param link_mbps: bandwidth of the link of its machine, in Mbit/s; 0 if it is not named
    """

    entry: EntryInstanceId
    host: str
    port: int
    zone: ZoneName | None = None
    link_mbps: int = 0


class Registry:
    """Keeps this entry instance registered; :meth:`run` is to be called in a separate thread.

    :param kvs: key-value service
    :param clock: source of time
    :param own: this entry instance
    :param on_peers: called with the other entry instances after each read
    :param share: shares the reads of the list with other instances; None to read always
    """

    def __init__(
        self,
        kvs: KeyValueService,
        clock: Clock,
        own: Peer,
        on_peers: Callable[[tuple[Peer, ...]], None],
        share: PrefixShare | None = None,
    ) -> None:
        self._kvs = kvs
        self._clock = clock
        self._own = own
        self._on_peers = on_peers
        self._lease_id: LeaseId | None = None
        self._last_failure = ""
        self._known_peers: dict[EntryInstanceId, Peer] = {}
        self._restored_ms: int | None = None
        self._registered_ms = 0
        self._renewed_ms: int | None = None
        self._read_ms: int | None = None
        self._is_unlisted = False
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._is_stopped = False
        self._share = share
        if share is not None:
            share.on_read, share.wake = self._apply_shared, self._read_now

    def run(self) -> None:
        """Register and read the peers until stopped, then deregister."""
        while not self._is_stopped:
            try:
                self._register_and_read_peers()
                self._last_failure = ""
            except BergamothillError as error:
                if error.message != self._last_failure:
                    _log.info("registry_failed", step=error.step, reason=error.message)
                self._last_failure = error.message
            self._wake.wait(ms_to_seconds(self._wait_ms()))
            self._wake.clear()
        self._deregister()

    def stop(self) -> None:
        """Stop :meth:`run`, which then deregisters this entry instance."""
        self._is_stopped = True
        self._wake.set()

    def handle_restore(self) -> None:
        """Register again at once, as the service was restored and has lost all leases.

        Peers that are missing now keep their place for the time to live of a registration.
        """
        self._restored_ms = self._clock.now_ms()
        self._renewed_ms = self._read_ms = None
        self._wake.set()

    def _read_now(self) -> None:
        self._read_ms = None
        self._wake.set()

    @property
    def _renewal_interval_ms(self) -> int:
        is_sharing = self._share is not None and self._share.is_sharing
        return SHARED_RENEWAL_INTERVAL_MS if is_sharing else RENEWAL_INTERVAL_MS

    def _wait_ms(self) -> int:
        renewed_ms, read_ms = self._renewed_ms, self._read_ms
        if self._last_failure or renewed_ms is None or read_ms is None:
            return RENEWAL_INTERVAL_MS
        due_ms = min(renewed_ms + self._renewal_interval_ms, read_ms + RENEWAL_INTERVAL_MS)
        return max(SLACK_MS, due_ms - self._clock.now_ms())

    def _register_and_read_peers(self) -> None:
        try:
            self._register()
            self._read_peers()
        except BergamothillError:
            if self._share is not None and self._share.should_read():
                self._share.record_failure()
            raise

    def _register(self) -> None:
        with self._lock:
            if self._is_unlisted:
                # The registration of an earlier start has expired, and the key with it; register
                # again.
                self._lease_id, self._is_unlisted = None, False
        if self._is_renewal_due():
            try:
                self._ensure_registered()
            except LeaseLostError:
                self._lease_id = None
                self._ensure_registered()
            self._renewed_ms = self._clock.now_ms()

    def _read_peers(self) -> None:
        share = self._share
        if share is None:
            self._apply(self._kvs.scan(REGISTRY_PREFIX), self._clock.now_ms())
            return
        read_ms, now_ms = self._read_ms, self._clock.now_ms()
        if read_ms is not None and now_ms - read_ms < RENEWAL_INTERVAL_MS - SLACK_MS:
            return
        self._read_ms = now_ms
        if share.should_read():
            era_before, sent_ms = share.era, now_ms
            share.record_read(self._kvs.scan(REGISTRY_PREFIX), era_before, sent_ms)

    def _is_renewal_due(self) -> bool:
        if self._lease_id is None or self._renewed_ms is None or self._share is None:
            return True
        elapsed_ms = self._clock.now_ms() - self._renewed_ms
        return elapsed_ms >= self._renewal_interval_ms - SLACK_MS

    def _apply_shared(self, read: AppliedRead) -> None:
        self._apply(read.entries, read.sent_ms)

    def _apply(self, entries: Entries, sent_ms: int) -> None:
        peers = []
        is_listed = False
        for entry in entries:
            peer = decode_peer(entry.key, entry.value)
            if peer is None:
                continue
            if peer.entry == self._own.entry:
                is_listed = True
            else:
                peers.append(peer)
        with self._lock:
            # A read that was sent before the registration need not contain it.
            self._is_unlisted = not is_listed and sent_ms >= self._registered_ms
            self._publish(peers)

    def _publish(self, listed: list[Peer]) -> None:
        known = {peer.entry: peer for peer in listed}
        restored_ms = self._restored_ms
        if restored_ms is not None and self._clock.now_ms() - restored_ms < LEASE_TTL_MS:
            known = {**self._known_peers, **known}
        self._known_peers = known
        self._on_peers(tuple(known.values()))

    def _ensure_registered(self) -> None:
        if self._lease_id is not None:
            self._kvs.renew_lease(self._lease_id)
            return
        lease_id = self._kvs.grant_lease(LEASE_TTL_MS)
        key = _registration_key(self._own)
        existing = self._kvs.get(key)
        expected = ABSENT if existing is None else existing.mod_revision
        try:
            self._kvs.put_if(key, self._encode_own(), expected=expected, lease_id=lease_id)
        except ConflictError:
            _log.info("registry_conflict", key=key)
            return
        self._lease_id, self._registered_ms = lease_id, self._clock.now_ms()

    def _encode_own(self) -> bytes:
        return cbor2.dumps([self._own.entry, self._own.host, self._own.port])

    def _deregister(self) -> None:
        if self._lease_id is None:
            return
        try:
            self._kvs.revoke_lease(self._lease_id)
        except BergamothillError as error:
            _log.info("registry_leave_failed", step=error.step, reason=error.message)


def _registration_key(peer: Peer) -> str:
    # Zone and link are in the key, since earlier builds read the value as exactly three items.
    if peer.zone is None:
        return REGISTRY_PREFIX + peer.entry
    link = f"/{peer.link_mbps}" if peer.link_mbps else ""
    return f"{REGISTRY_PREFIX}{peer.zone}{link}/{peer.entry}"


def decode_peer(key: str, value: bytes) -> Peer | None:
    """Decode the registration of an entry instance; None if it is not a valid one."""
    zone, *rest = key.removeprefix(REGISTRY_PREFIX).split("/")
    link = rest[0] if len(rest) == 2 else ""
    link_mbps = int(link) if link.isascii() and link.isdecimal() and len(link) < 10 else 0
    try:
        entry, host, port = cbor2.loads(value)
        peer_zone = ZoneName(zone) if rest and zone else None
        return Peer(EntryInstanceId(str(entry)), str(host), int(port), peer_zone, link_mbps)
    except (TypeError, ValueError, OverflowError, cbor2.CBORDecodeError):
        return None
