"""Registers this entry instance in the key-value service, and reads who else is there.

An entry lapses with its lease. Peers that were seen once are kept while the service is away.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

import cbor2

from bergamothill.clock import Clock, seconds
from bergamothill.connection.kvs import ABSENT, KeyValueService
from bergamothill.errors import BergamothillError, ConflictError, LeaseLostError
from bergamothill.ids import EntryInstanceId, LeaseId
from bergamothill.logs import EventLog

__all__ = ["Peer", "Registry"]

PREFIX = "entries/"
LEASE_TTL_MS = 10_000
TICK_MS = 2_500

_log = EventLog("registry")


@dataclass(frozen=True, slots=True)
class Peer:
    """Another entry instance.

    :param entry: its name
    :param host: address of its machine
    :param port: port for datagrams
    """

    entry: EntryInstanceId
    host: str
    port: int


class Registry:
    """Keeps this entry instance registered, in a thread of its own.

    :param kvs: key-value service
    :param clock: source of time
    :param own: this entry instance
    :param on_peers: told of the other entry instances after each read
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
        self._lease: LeaseId | None = None
        self._failure = ""
        self._stopped = threading.Event()

    def run(self) -> None:
        """Register and read until stopped, then leave."""
        while not self._stopped.is_set():
            try:
                self._tick()
                self._failure = ""
            except BergamothillError as error:
                if error.message != self._failure:
                    _log.info("registry_failed", step=error.step, reason=error.message)
                self._failure = error.message
            self._stopped.wait(seconds(TICK_MS))
        self._leave()

    def stop(self) -> None:
        """Leave the registry."""
        self._stopped.set()

    def _tick(self) -> None:
        try:
            self._keep()
        except LeaseLostError:
            self._lease = None
            self._keep()
        peers = []
        is_listed = False
        for entry in self._kvs.scan(PREFIX):
            peer = _decode(entry.value)
            if peer is None:
                continue
            if peer.entry == self._own.entry:
                is_listed = True
            else:
                peers.append(peer)
        if not is_listed:
            self._lease = None  # an entry of an earlier start has lapsed in the meantime
        self._on_peers(tuple(peers))

    def _keep(self) -> None:
        if self._lease is not None:
            self._kvs.renew_lease(self._lease)
            return
        lease = self._kvs.grant_lease(LEASE_TTL_MS)
        key = PREFIX + self._own.entry
        known = self._kvs.get(key)
        expected = ABSENT if known is None else known.mod_revision
        try:
            self._kvs.put_if(key, self._encoded(), expected=expected, lease_id=lease)
        except ConflictError:
            _log.info("registry_conflict", key=key)
            return
        self._lease = lease

    def _encoded(self) -> bytes:
        return cbor2.dumps([self._own.entry, self._own.host, self._own.port])

    def _leave(self) -> None:
        if self._lease is None:
            return
        try:
            self._kvs.revoke_lease(self._lease)
        except BergamothillError as error:
            _log.info("registry_leave_failed", step=error.step, reason=error.message)


def _decode(value: bytes) -> Peer | None:
    try:
        entry, host, port = cbor2.loads(value)
        return Peer(EntryInstanceId(str(entry)), str(host), int(port))
    except (TypeError, ValueError, cbor2.CBORDecodeError):
        return None
