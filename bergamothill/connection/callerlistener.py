"""Listening socket whose pending connections are still accepted when it closes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

__all__ = ["CallerListener"]

BACKLOG = 1_024


class CallerListener:
    """Listener for callers' connections on an asyncio event loop.

    :param address: ``host:port`` to listen on
    :param factory: creates the protocol of a connection
    """

    def __init__(self, address: str, factory: Callable[[], asyncio.Protocol]) -> None:
        self._address = address
        self._factory = factory
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._opening: set[asyncio.Task[object]] = set()

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self._address.rpartition(":")
        listening = self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, int(port)))
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._factory, sock=listening, backlog=BACKLOG)

    def close(self) -> None:
        """Stop listening; closing the socket alone would reset the connections in its queue."""
        self._accept_pending()
        self._server.close()

    def _accept_pending(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            connection.setblocking(False)
            task = loop.create_task(loop.connect_accepted_socket(self._factory, connection))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)
