"""Datagrams between entry instances, on the event loop.

For snapshots that are out of date after some hundred ms a lost datagram is better than one that a
connection holds back and delivers late.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

__all__ = ["Datagrams"]

MAX_DATAGRAM_BYTES = 60_000


class Datagrams(asyncio.DatagramProtocol):
    """One socket for all peers.

    :param on_datagram: takes what arrives
    """

    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None
        self.errors = 0
        """Sends that the network reported as failed."""

    async def open(self, host: str, port: int) -> None:
        """Open the socket.

        :param host: address of this machine
        :param port: port that all peers listen on
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand on what arrived."""
        self._on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Count a send that failed; the peer may be down."""
        self.errors += 1

    def send(self, data: bytes, addresses: Iterable[tuple[str, int]]) -> None:
        """Send one datagram to each peer.

        :param data: datagram
        :param addresses: host and port of each peer
        """
        if self._transport is None or len(data) > MAX_DATAGRAM_BYTES:
            self.errors += 1
            return
        for address in addresses:
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
