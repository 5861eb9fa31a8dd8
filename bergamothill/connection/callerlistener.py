"""Listening socket whose pending connections are still accepted when it closes."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from bergamothill.clock import ms_to_seconds
from bergamothill.logs import EventLog

__all__ = ["CallerListener"]

_log = EventLog("gateway")

BACKLOG = 1_024

ACCEPTS_PER_TURN = 16
"""Connections to accept before other events get their turn; they are not counted until then."""

EXHAUSTED_PAUSE_MS = 100
"""Pause in accepting connections after one could not be accepted for want of resources."""

_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class CallerListener:
    """Listener for callers' connections on an asyncio event loop.

    :param address: ``host:port`` to listen on
    :param factory: creates the protocol of a connection
    """

    def __init__(self, address: str, factory: Callable[[], asyncio.BaseProtocol]) -> None:
        self._address = address
        self._factory = factory
        self._socket: socket.socket | None = None
        self._is_closed = False
        self._opening: set[asyncio.Task[object]] = set()

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self._address.rpartition(":")
        listening = self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, int(port)))
        listening.listen(BACKLOG)
        listening.setblocking(False)
        self._resume()

    def close(self) -> None:
        """Stop listening; closing the socket alone would reset the connections in its queue."""
        self._is_closed = True
        asyncio.get_running_loop().remove_reader(self._socket)
        while self._accept():
            pass
        self._socket.close()

    def _resume(self) -> None:
        if not self._is_closed:
            asyncio.get_running_loop().add_reader(self._socket, self._accept_some)

    def _accept_some(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            if not self._accept():
                return

    def _accept(self) -> bool:
        """Accept a connection; return False if there is none, or it can't be accepted now."""
        loop = asyncio.get_running_loop()
        try:
            connection, _ = self._socket.accept()
        except OSError as error:
            if error.errno in _EXHAUSTED and not self._is_closed:
                _log.warning("accept_failed", error=str(error))
                loop.remove_reader(self._socket)
                loop.call_later(ms_to_seconds(EXHAUSTED_PAUSE_MS), self._resume)
            return False
        connection.setblocking(False)
        task = loop.create_task(loop.connect_accepted_socket(self._factory, connection))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return True
