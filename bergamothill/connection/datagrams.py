"""UDP datagrams between entry instances, on an asyncio event loop.

Datagrams carry snapshots that are outdated after a few hundred milliseconds. Losing one is better
than receiving it late, after a TCP retransmission.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

__all__ = ["DatagramSocket"]

MAX_DATAGRAM_BYTES = 60_000


class DatagramSocket(asyncio.DatagramProtocol):
    """UDP socket that is shared by all peers.

    :param on_datagram: called with the data of each received datagram
    """

    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None
        self.errors = 0
        """Number of send errors; a datagram that is not sent to any peer counts once."""

    async def open(self, host: str, port: int) -> None:
        """Open the socket.

        :param host: local address to bind to
        :param port: local port to bind to; the same for all peers
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a received datagram to the callback."""
        self._on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Count a failed send; the peer may be down."""
        self.errors += 1

    def send(self, data: bytes, addresses: Iterable[tuple[str, int]]) -> None:
        """Send one datagram to each peer.

        :param data: content of the datagram
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
