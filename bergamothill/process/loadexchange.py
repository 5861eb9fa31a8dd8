"""Exchanges loads with the other entry instances, on the event loop.

What is sent to whom is decided by :mod:`bergamothill.process.zoneloads`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.datagrams import DatagramSocket
from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId, ZoneName
from bergamothill.logs import EventLog
from bergamothill.process.loadreport import LoadReport, PeerLoads, decode_report
from bergamothill.process.registry import Peer
from bergamothill.process.serverpool import ServerPool
from bergamothill.process.zoneloads import INTERVAL_PER_PEER_MS, REPORT_INTERVAL_MS, ZoneLoads
from bergamothill.process.zonepasses import Outgoing
from bergamothill.process.zonereport import (
    ZoneMessage,
    ZonePass,
    decode_zone_message,
    is_zone_message,
    read_zone,
)

__all__ = ["REPORT_INTERVAL_MS", "LoadExchange"]

Report = TypeVar("Report")

_log = EventLog("peers")


@dataclass(frozen=True, slots=True)
class _Kind:
    """Datagrams of one kind, and what is done with them."""

    is_kind: Callable[[bytes], bool]
    decode: Callable[[bytes], Any]
    on_report: Callable[[Any], None]


class LoadExchange:
    """Sends this entry instance's load reports and receives those of the others.

    :param entry: this entry instance
    :param clock: source of time
    :param server_pool: source of this instance's own loads
    :param loads: stores the others' reports
    :param on_report: called with the sender after each received report
    :param zone: zone of this entry instance; None if the settings name none
    :param link_mbps: bandwidth of the link of its machine, in Mbit/s; 0 if not known
    """

    def __init__(
        self,
        entry: EntryInstanceId,
        clock: Clock,
        server_pool: ServerPool,
        loads: PeerLoads,
        on_report: Callable[[EntryInstanceId], None],
        zone: ZoneName | None = None,
        link_mbps: int = 0,
    ) -> None:
        self._on_report = on_report
        self._clock = clock
        self._server_pool = server_pool
        self._zone_loads = ZoneLoads(entry, zone, loads, time.time_ns(), link_mbps)
        self._peers: dict[EntryInstanceId, Peer] = {}
        self._datagrams = DatagramSocket(self._on_datagram)
        self._relays: tuple[EntryInstanceId, ...] = ()
        self._kinds: list[_Kind] = []
        self.received = 0
        """Number of datagrams received, those that were passed on inside others included."""

    def add_kind(
        self,
        is_kind: Callable[[bytes], bool],
        decode: Callable[[bytes], Report],
        on_report: Callable[[Report], None],
    ) -> None:
        """Let datagrams of another kind share the socket.

        :param is_kind: tells them from load reports
        :param decode: decodes one of them, or raises ProtocolError
        :param on_report: called with each that was decoded
        """
        self._kinds.append(_Kind(is_kind, decode, on_report))

    def send_to_peers(self, datagram: bytes, *, is_urgent: bool = True) -> None:
        """Send a datagram to all known peers; those of other zones may receive it by a relay.

        :param is_urgent: whether it tells something new; other datagrams take fewer bytes
        """
        now_ms = self._clock.now_ms()
        passes = self._zone_loads.passes
        self._send(passes.to_all(datagram, self._peers, now_ms, is_urgent=is_urgent))

    def send_to_zone(self, zone: ZoneName, datagram: bytes) -> None:
        """Send a datagram to the peers of one zone; a relay of another zone passes it on."""
        passes = self._zone_loads.passes
        self._send(passes.to_zone(datagram, zone, self._peers, self._clock.now_ms()))

    def send_to(
        self, entries: Iterable[EntryInstanceId], datagram: bytes
    ) -> tuple[EntryInstanceId, ...]:
        """Send a datagram to some peers.

        :param entries: entry instances; those whose addresses are not known are left out
        :param datagram: content of the datagram
        :returns: the peers to which it was sent
        """
        peers = [self._peers[entry] for entry in entries if entry in self._peers]
        self._datagrams.send(datagram, [(peer.host, peer.port) for peer in peers])
        return tuple(peer.entry for peer in peers)

    def share(
        self,
        entries: Iterable[EntryInstanceId],
        datagram: bytes,
        turn: int = 0,
        *,
        is_repeat: bool = False,
    ) -> None:
        """Send a datagram to some peers; those of one other zone may receive it from each other.

        :param entries: entry instances; those whose addresses are not known are left out
        :param datagram: content of the datagram
        :param turn: chooses those that pass it on; differs for a repetition
        :param is_repeat: whether one of the other zones is enough, as all were sent it before
        """
        known = [entry for entry in entries if entry in self._peers]
        self._send(self._zone_loads.passes.to_some(datagram, known, turn, is_repeat=is_repeat))

    @property
    def instance_count(self) -> int:
        """Number of known entry instances, including this one."""
        return len(self._peers) + 1

    @property
    def interval_ms(self) -> int:
        """Time in which all others learn of a change of this instance's load."""
        return max(REPORT_INTERVAL_MS, INTERVAL_PER_PEER_MS * len(self._peers))

    def set_peers(self, peers: tuple[Peer, ...]) -> None:
        """Set the other entry instances.

        :param peers: other entry instances listed in the registry
        """
        peers_by_entry = {peer.entry: peer for peer in peers}
        if peers_by_entry.keys() != self._peers.keys():
            _log.info("peers_changed", peers=" ".join(sorted(peers_by_entry)) or "-")
        self._peers = peers_by_entry
        self._zone_loads.set_peers(peers, self._clock.now_ms())

    async def run(self, host: str, port: int) -> None:
        """Send and receive reports until cancelled.

        :param host: local address to bind
        :param port: UDP port to bind
        """
        await self._datagrams.open(host, port)
        try:
            while True:
                wait_ms = self._zone_loads.wait_ms(self._clock.now_ms())
                await asyncio.sleep(ms_to_seconds(wait_ms))
                self._tick()
        finally:
            self._datagrams.close()

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        self._send(self._zone_loads.tick(self._server_pool.own_loads(), now_ms))
        for entry in self._zone_loads.take_heard(now_ms):
            self._on_report(entry)
        relays = self._zone_loads.relays
        if relays != self._relays:
            self._relays = relays
            is_relay = self._zone_loads.is_relay
            _log.info("zone_relays_changed", relays=" ".join(relays) or "-", is_relay=is_relay)

    def _send(self, outgoing: Iterable[Outgoing]) -> None:
        for datagram in outgoing:
            self.send_to(datagram.entries, datagram.datagram)

    def _on_datagram(self, datagram: bytes) -> None:
        self.received += 1
        try:
            if is_zone_message(datagram):
                self._on_zone_message(decode_zone_message(datagram), datagram)
                return
            kind = next((kind for kind in self._kinds if kind.is_kind(datagram)), None)
            if kind is None:
                self._on_load_report(decode_report(datagram), read_zone(datagram))
                return
            report = kind.decode(datagram)
        except ProtocolError as error:
            _log.info("report_unreadable", reason=error.message)
            return
        kind.on_report(report)

    def _on_load_report(self, report: LoadReport, zone: ZoneName | None) -> None:
        self._send(self._zone_loads.on_report(report, zone, self._clock.now_ms()))
        self._on_report(report.entry)

    def _on_zone_message(self, message: ZoneMessage, datagram: bytes) -> None:
        now_ms = self._clock.now_ms()
        self._send(self._zone_loads.on_message(message, datagram, now_ms))
        if not isinstance(message, ZonePass):
            self._on_report(message.entry)
        elif not (is_zone_message(message.datagram) or self._zone_loads.is_discarding(now_ms)):
            self._on_datagram(message.datagram)
