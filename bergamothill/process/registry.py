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

__all__ = ["Peer", "Registry", "decode_peer"]

KEY_PREFIX = "entries/"
LEASE_TTL_MS = 10_000
RENEWAL_INTERVAL_MS = 2_500

_log = EventLog("registry")


@dataclass(frozen=True, slots=True)
class Peer:
    """Another entry instance.

    :param entry: name of the entry instance
    :param host: IP address of its machine
    :param port: port on which it receives datagrams
    :param zone: its availability zone; None if its registration does not name one
    """

    entry: EntryInstanceId
    host: str
    port: int
    zone: ZoneName | None = None


class Registry:
    """Keeps this entry instance registered; :meth:`run` is to be called in a separate thread.

    :param kvs: key-value service
    :param clock: source of time
    :param own: this entry instance
    :param on_peers: called with the other entry instances after each read
    """

    def __init__(
        self,
        kvs: KeyValueService,
        clock: Clock,
        own: Peer,
        on_peers: Callable[[tuple[Peer, ...]], None],
    ) -> None:
        self._kvs = kvs
        self._clock = clock
        self._own = own
        self._on_peers = on_peers
        self._lease_id: LeaseId | None = None
        self._last_failure = ""
        self._known_peers: dict[EntryInstanceId, Peer] = {}
        self._restored_ms: int | None = None
        self._wake = threading.Event()
        self._is_stopped = False

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
            self._wake.wait(ms_to_seconds(RENEWAL_INTERVAL_MS))
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
        self._wake.set()

    def _register_and_read_peers(self) -> None:
        try:
            self._ensure_registered()
        except LeaseLostError:
            self._lease_id = None
            self._ensure_registered()
        peers = []
        is_listed = False
        for entry in self._kvs.scan(KEY_PREFIX):
            peer = decode_peer(entry.key, entry.value)
            if peer is None:
                continue
            if peer.entry == self._own.entry:
                is_listed = True
            else:
                peers.append(peer)
        if not is_listed:
            # The registration of an earlier start has expired, and the key with it; register again.
            self._lease_id = None
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
        self._lease_id = lease_id

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
    # The zone is in the key, since earlier builds read the value as exactly three items.
    return KEY_PREFIX + (peer.entry if peer.zone is None else f"{peer.zone}/{peer.entry}")


def decode_peer(key: str, value: bytes) -> Peer | None:
    """Decode the registration of an entry instance; None if it is not a valid one."""
    zone, separator, _ = key.removeprefix(KEY_PREFIX).rpartition("/")
    try:
        entry, host, port = cbor2.loads(value)
        peer_zone = ZoneName(zone) if separator and zone else None
        return Peer(EntryInstanceId(str(entry)), str(host), int(port), peer_zone)
    except (TypeError, ValueError, OverflowError, cbor2.CBORDecodeError):
        return None
