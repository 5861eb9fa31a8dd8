"""Asks servers which incarnation answers at their address, on the event loop.

A list of servers and a failed or restored connection leave room for another process. The reply to
a question that was sent after a server was listed shows that the incarnation has run in between.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from bergamothill.clock import Clock
from bergamothill.connection.pollconnection import PollConnection
from bergamothill.errors import BergamothillError
from bergamothill.logs import EventLog
from bergamothill.platform.serverreport import decode_start, encode_start_query
from bergamothill.process.backends import BackendServer
from bergamothill.process.softwareversions import IDENTITY_MS, SoftwareVersions

__all__ = ["ServerIdentity"]

MAX_OPEN_CONNECTIONS = 16
"""Kept open between questions; the least recently used is closed first."""

_log = EventLog("streams")


class ServerIdentity:
    """Asks servers and records what they say.

    :param clock: source of time
    :param servers: versions of the servers
    """

    def __init__(self, clock: Clock, servers: SoftwareVersions) -> None:
        self._clock = clock
        self._servers = servers
        self._connections: OrderedDict[str, PollConnection] = OrderedDict()
        self._questions: dict[tuple[object, ...], asyncio.Task[None]] = {}
        self.asked = 0
        """Number of questions sent."""

    async def identify(self, server: BackendServer) -> bool:
        """Ask a server who it is if this is in doubt.

        :param server: the incarnation as listed
        :returns: whether a connection opened at once reaches this incarnation
        """
        if not self._servers.may_identify(server, self._clock.now_ms()):
            return self._servers.is_identified(server, self._clock.now_ms())
        key = (server.address, *server.incarnation)
        question = self._questions.get(key)
        if question is None:
            question = asyncio.get_running_loop().create_task(self._ask(server))
            self._questions[key] = question
            question.add_done_callback(lambda _task: self._questions.pop(key))
        # A request that is cancelled must not cancel the question of the others.
        await asyncio.shield(question)
        return self._servers.is_identified(server, self._clock.now_ms())

    async def _ask(self, server: BackendServer) -> None:
        sent_ms = self._clock.now_ms()
        connection = self._take_connection(server.address)
        self.asked += 1
        try:
            async with asyncio.timeout(IDENTITY_MS / 1_000):
                reply = await connection.read(
                    encode_start_query(server.address, server.server),
                    step="server.identify",
                    timeout_ms=IDENTITY_MS,
                )
            started_wall_ms = decode_start(reply, server.server)
        except (BergamothillError, TimeoutError) as error:
            connection.close()
            _log.info("server_not_identified", server=server.server, reason=repr(error)[:120])
            self._servers.reachability.record_failure(server.address, self._clock.now_ms())
            return
        self._servers.record_identity(server, started_wall_ms, sent_ms)
        self._keep_connection(server.address, connection)

    def _take_connection(self, address: str) -> PollConnection:
        connection = self._connections.pop(address, None)
        return connection or PollConnection("backend server", address)

    def _keep_connection(self, address: str, connection: PollConnection) -> None:
        replaced = self._connections.pop(address, None)
        if replaced is not None:
            replaced.close()
        self._connections[address] = connection
        while len(self._connections) > MAX_OPEN_CONNECTIONS:
            self._connections.popitem(last=False)[1].close()
