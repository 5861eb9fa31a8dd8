"""Connections on which other entry instances pass requests on, on an asyncio event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from bergamothill.clock import Clock
from bergamothill.connection.callerhandler import CallerHandler
from bergamothill.connection.callerhttp import CallerConnection

__all__ = ["DoorHandler", "PeerConnection"]


class DoorHandler(CallerHandler, Protocol):
    """Handler of the requests that other instances pass on."""

    def admits(self, host: str) -> bool:
        """Return whether a connection from an IP address may be used.

        It is asked once for each connection.
        """


class PeerConnection(CallerConnection):
    """One connection of another instance; those of others are closed unread.

    :param handler: handler of the requests
    :param clock: source of time
    :param register: called with True when the connection opens and with False when it closes
    """

    def __init__(
        self,
        handler: DoorHandler,
        clock: Clock,
        register: Callable[[CallerConnection, bool], None],
    ) -> None:
        super().__init__(handler, clock, register)
        self._admits = handler.admits
        self.host = ""
        """IP address of the other instance; empty if it is not admitted."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for a request if the other side is an instance of this deployment."""
        address = transport.get_extra_info("peername")
        if address is None or not self._admits(address[0]):
            transport.abort()
            return
        self.host = address[0]
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, as its caller or the other instance has gone."""
        if self.host:
            super().connection_lost(exc)
