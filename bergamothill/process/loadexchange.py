"""Exchanges load reports with the other entry instances, on the event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.datagrams import DatagramSocket
from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId
from bergamothill.logs import EventLog
from bergamothill.process.loadreport import LoadReport, PeerLoads, decode_report, encode_report
from bergamothill.process.registry import Peer
from bergamothill.process.serverpool import ServerPool

__all__ = ["LoadExchange"]

REPORT_INTERVAL_MS = 50  # half the time that an engine needs for the fastest prompt
INTERVAL_PER_PEER_MS = 4  # limits one instance to 250 datagrams per second
KEEPALIVE_MS = 400

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
    """

    def __init__(
        self,
        entry: EntryInstanceId,
        clock: Clock,
        server_pool: ServerPool,
        loads: PeerLoads,
        on_report: Callable[[EntryInstanceId], None],
    ) -> None:
        self._on_report = on_report
        self._entry = entry
        self._clock = clock
        self._server_pool = server_pool
        self._loads = loads
        self._peers: dict[EntryInstanceId, Peer] = {}
        self._datagrams = DatagramSocket(self._on_datagram)
        self._sequence_number = time.time_ns()
        self._last_sent_ms = 0
        self._last_loads: dict = {}
        self._load_reports = _Kind(lambda _datagram: True, decode_report, self._on_load_report)
        self._kinds: list[_Kind] = []

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

    def send_to_peers(self, datagram: bytes) -> None:
        """Send a datagram to all known peers."""
        self._datagrams.send(datagram, [(peer.host, peer.port) for peer in self._peers.values()])

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

    @property
    def instance_count(self) -> int:
        """Number of known entry instances, including this one."""
        return len(self._peers) + 1

    @property
    def interval_ms(self) -> int:
        """Time between two load reports."""
        return max(REPORT_INTERVAL_MS, INTERVAL_PER_PEER_MS * len(self._peers))

    def set_peers(self, peers: tuple[Peer, ...]) -> None:
        """Set the other entry instances.

        :param peers: other entry instances listed in the registry
        """
        peers_by_entry = {peer.entry: peer for peer in peers}
        if peers_by_entry.keys() != self._peers.keys():
            _log.info("peers_changed", peers=" ".join(sorted(peers_by_entry)) or "-")
        self._peers = peers_by_entry

    async def run(self, host: str, port: int) -> None:
        """Send and receive reports until cancelled.

        :param host: local address to bind
        :param port: UDP port to bind
        """
        await self._datagrams.open(host, port)
        try:
            while True:
                await asyncio.sleep(ms_to_seconds(self.interval_ms))
                self._send_report()
        finally:
            self._datagrams.close()

    def _send_report(self) -> None:
        now_ms = self._clock.now_ms()
        self._loads.expire_reports(now_ms)
        loads = self._server_pool.own_loads()
        is_keepalive_due = now_ms - self._last_sent_ms >= KEEPALIVE_MS
        if not self._peers or (loads == self._last_loads and not is_keepalive_due):
            return
        self._sequence_number += 1
        self._last_sent_ms, self._last_loads = now_ms, loads
        report = encode_report(LoadReport(self._entry, self._sequence_number, loads))
        self.send_to_peers(report)

    def _on_datagram(self, datagram: bytes) -> None:
        kinds = (kind for kind in self._kinds if kind.is_kind(datagram))
        kind = next(kinds, self._load_reports)
        try:
            report = kind.decode(datagram)
        except ProtocolError as error:
            _log.info("report_unreadable", reason=error.message)
            return
        kind.on_report(report)

    def _on_load_report(self, report: LoadReport) -> None:
        self._loads.add_report(report, self._clock.now_ms())
        self._on_report(report.entry)
