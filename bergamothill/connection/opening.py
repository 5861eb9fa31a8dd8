"""Opens connections to backend servers, on the event loop."""

from __future__ import annotations

import asyncio

from bergamothill.clock import seconds

__all__ = ["CONNECT_TIMEOUT_MS", "open_connection"]

CONNECT_TIMEOUT_MS = 300  # zones are a few ms apart; a lost opening packet is sent again after 1 s


async def open_connection(
    address: str, protocol: asyncio.Protocol, *, timeout_ms: int = CONNECT_TIMEOUT_MS
) -> asyncio.Transport:
    """Open a connection.

    :param address: ``host:port``
    :param protocol: protocol of the connection
    :param timeout_ms: longest time to open it
    :raises TimeoutError: it did not open in time; an ``OSError``, too
    :raises OSError: it cannot be opened
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(seconds(timeout_ms)):
        transport, _ = await loop.create_connection(lambda: protocol, host, int(port))
    return transport
