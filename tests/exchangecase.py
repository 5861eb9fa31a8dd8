"""Test case of exchanges between entry instances on the loopback interface."""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from bergamothill.clock import SystemClock
from bergamothill.connection.datagrams import DatagramSocket
from bergamothill.process.loadexchange import LoadExchange
from bergamothill.process.loadreport import PeerLoads
from bergamothill.process.registry import Peer
from bergamothill.process.serverpool import ServerPool
from standins.base import HOST

LIMIT_S = 5
OPENING_S = 0.05


def bound_sockets(count: int) -> list[socket.socket]:
    """Return datagram sockets on different ports of the loopback interface."""
    sockets = [socket.socket(type=socket.SOCK_DGRAM) for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    return sockets


class ExchangeCase(unittest.IsolatedAsyncioTestCase):
    """Instances whose load reports go to ``loads``; the last ones may be silent."""

    INSTANCES = 2
    SILENT_INSTANCES = 0

    async def asyncSetUp(self) -> None:
        self.clock = SystemClock()
        sockets = bound_sockets(self.INSTANCES + self.SILENT_INSTANCES)
        ports = [sock.getsockname()[1] for sock in sockets]
        self.peers = [Peer(f"e{n}", HOST, port) for n, port in enumerate(ports)]
        for number, sock in enumerate(sockets):
            if number < self.INSTANCES:
                sock.close()
            self.addCleanup(sock.close)
        self.loads = [PeerLoads() for _ in self.peers]

    def carrier(self, number: int, pool: ServerPool) -> LoadExchange:
        """Return the load exchange of one instance, which carries other kinds of datagrams."""
        peer = self.peers[number]
        carrier = LoadExchange(
            peer.entry, self.clock, pool, self.loads[number], lambda _: None, peer.zone
        )
        carrier.set_peers(self.others(number))
        return carrier

    def others(self, number: int) -> tuple[Peer, ...]:
        """Return the peers of one instance."""
        return tuple(peer for peer in self.peers if peer is not self.peers[number])

    async def start(self, *coroutines: Coroutine[Any, Any, None]) -> None:
        """Run exchanges until the test ends."""
        self.tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
        self.addAsyncCleanup(self.stop)
        await asyncio.sleep(OPENING_S)
        for task in self.tasks:
            if task.done():
                task.result()

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def await_true(self, condition: Callable[[], bool]) -> None:
        """Poll a condition until it is true."""
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def send_raw(self, number: int, *datagrams: bytes) -> None:
        """Send datagrams to one instance."""
        sender = DatagramSocket(lambda data: None)
        await sender.open(HOST, 0)
        self.addCleanup(sender.close)
        for datagram in datagrams:
            sender.send(datagram, [(HOST, self.peers[number].port)])
