"""Opening of connections to backend servers, on an asyncio event loop."""

from __future__ import annotations

import asyncio

from bergamothill.clock import ms_to_seconds

__all__ = ["CONNECT_TIMEOUT_MS", "open_connection"]

CONNECT_TIMEOUT_MS = 300  # zones are a few ms apart; TCP retransmits a lost SYN only after 1 s


async def open_connection(
    address: str,
    protocol: asyncio.Protocol,
    *,
    timeout_ms: int = CONNECT_TIMEOUT_MS,
    local_host: str | None = None,
) -> asyncio.Transport:
    """Open a connection.

    :param address: ``host:port``
    :param protocol: protocol of the connection
    :param timeout_ms: maximum time to open it, in milliseconds
    :param local_host: IP address of this machine to use; None for any
    :raises TimeoutError: the connection was not opened in time; a subclass of ``OSError``
    :raises OSError: the connection could not be opened
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(ms_to_seconds(timeout_ms)):
            bound = {} if local_host is None else {"local_addr": (local_host, 0)}
            transport, _ = await loop.create_connection(lambda: protocol, host, int(port), **bound)
    except (ValueError, OverflowError) as error:
        # Raised for a host or a port that does not exist; UnicodeError is a ValueError.
        raise OSError(f"invalid address: {error}") from error
    return transport
