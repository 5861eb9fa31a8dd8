"""Question to a backend server on a new connection, which shows whether it can be reached."""

from __future__ import annotations

import asyncio

from bergamothill.connection.opening import CONNECT_TIMEOUT_MS, open_connection
from bergamothill.connection.pollconnection import PollConnection
from bergamothill.errors import BergamothillError

__all__ = ["probe_server"]


async def probe_server(address: str, question: bytes | None) -> bool:
    """Return whether a server answers on a new connection, whatever it says.

    :param address: its address, ``host:port``
    :param question: encoded request that it answers at once; None if there is none for servers of
        its kind, so that an open connection has to do
    """
    if question is None:
        return await _opens(address)
    connection = PollConnection("backend server", address)
    try:
        await connection.read(question, step="server.probe", timeout_ms=CONNECT_TIMEOUT_MS)
    except BergamothillError:
        return False
    finally:
        connection.close()
    return True


async def _opens(address: str) -> bool:
    try:
        transport = await open_connection(address, asyncio.Protocol())
    except OSError:
        return False
    transport.abort()
    return True
