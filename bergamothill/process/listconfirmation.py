"""Waits for lists that show which server answered, on the event loop.

A server without event connection may have been replaced by another process under its id, and the
server that began a stream may have been one that no list has shown yet. Such a process registers
within a heartbeat interval, so a list read that much later shows who answered.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.logs import EventLog
from bergamothill.process.backends import BackendServer
from bergamothill.process.softwareversions import SoftwareVersions
from bergamothill.request.streamorigin import SoleVersion, StreamOrigin

__all__ = ["ListConfirmation"]

MAX_GRACE_MS = 200
"""Longest time by which an outage may delay the list that confirms a server. Callers of streams
leave after two seconds without an event at the earliest, and heartbeat intervals are 1.2 s."""

MAX_DELAY_MS = 400
"""Longest wait for a list once it is due."""

CHECK_INTERVAL_MS = 40
READ_AGAIN_MS = 200
"""Requests that wait at the same time share a read."""

_log = EventLog("streams")


class ListConfirmation:
    """Confirms servers by lists that are read once they can show a replacement.

    :param clock: source of time
    :param servers: versions of the servers
    """

    def __init__(self, clock: Clock, servers: SoftwareVersions) -> None:
        self._clock = clock
        self._servers = servers
        self._asked_ms: int | None = None
        self.read_list: Callable[[], None] = lambda: None
        """Lets this instance read the list of servers at once."""

    def is_possible(self, give_up_ms: int | None = None) -> bool:
        """Return whether a server that a request is sent to now could be confirmed in time.

        :param give_up_ms: time after which the answer is of no use
        """
        now_ms = self._clock.now_ms()
        due_ms = self._servers.confirmation_due_ms(now_ms)
        is_soon = due_ms <= now_ms + self._servers.heartbeat_interval_ms + MAX_GRACE_MS
        return is_soon and (give_up_ms is None or due_ms < give_up_ms)

    async def confirm(
        self, server: BackendServer, presumed: StreamOrigin | SoleVersion | None
    ) -> bool:
        """Return whether a request that was just written reached a server, and went on rightly.

        :param server: the incarnation as listed
        :param presumed: where the stream is presumed to have begun that the request resumes; None
            if that is certain
        """
        written_ms = self._clock.now_ms()
        due_ms = self._servers.confirmation_due_ms(written_ms)
        is_confirmed = await self._await_list(server, written_ms, due_ms)
        is_same_origin = not self._servers.contradicts(presumed, self._clock.now_ms())
        _log.info(
            "stream_confirmed" if is_confirmed and is_same_origin else "stream_not_confirmed",
            server=server.server,
            version=server.software_version,
            origin=presumed.server if isinstance(presumed, StreamOrigin) else "-",
            same_origin=is_same_origin,
            took_ms=self._clock.now_ms() - written_ms,
        )
        return is_confirmed and is_same_origin

    async def _await_list(self, server: BackendServer, written_ms: int, due_ms: int) -> bool:
        incarnation = (server.server, server.started_wall_ms)
        while not self._servers.is_listed_since(*incarnation, written_ms):
            now_ms = self._clock.now_ms()
            if self._servers.is_superseded(*incarnation) or now_ms >= due_ms + MAX_DELAY_MS:
                return False
            # Several lists, as one alone may miss a process that has just registered.
            self.ask_for_list()
            await asyncio.sleep(ms_to_seconds(CHECK_INTERVAL_MS))
        return not self._servers.is_superseded(*incarnation)

    def ask_for_list(self) -> None:
        """Let this instance read the list of servers, unless it was asked to just now."""
        now_ms = self._clock.now_ms()
        if self._asked_ms is None or now_ms - self._asked_ms >= READ_AGAIN_MS:
            self._asked_ms = now_ms
            self.read_list()
