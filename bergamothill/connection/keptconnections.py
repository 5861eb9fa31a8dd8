"""Connections of this entry instance to backend servers, in use and idle, on the event loop.

:class:`~bergamothill.connection.backendpool.BackendPool` decides which are kept.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from bergamothill.clock import Clock
from bergamothill.connection.backendhttp import BackendConnection, ExchangeEnd
from bergamothill.connection.backendpool import BackendPool, PooledServer, PoolShare

__all__ = ["KeptConnections", "max_idle_connections"]

DESCRIPTORS_PER_IDLE = 4
"""A quarter of the descriptors is for idle connections, as callers need more than servers do."""

IDLE_PER_MB = 1
"""Bounds the memory of idle connections; each has a few KB here and its buffers in the kernel."""

_LOST_ENDS = (ExchangeEnd.NOT_CONNECTED, ExchangeEnd.STALE, ExchangeEnd.BROKEN)
"""Ends after which other idle connections to the server are probably lost as well."""


def max_idle_connections(descriptors: int, memory_mb: int) -> int:
    """Return how many idle connections an instance keeps to all servers together.

    :param descriptors: limit on open file descriptors
    :param memory_mb: memory limit of the process
    """
    return min(descriptors // DESCRIPTORS_PER_IDLE, memory_mb * IDLE_PER_MB)


class KeptConnections:
    """Connections to backend servers; none is kept until shares and limits are set.

    :param clock: source of time
    :param max_idle: maximum number of idle connections
    :param count: called with each event to count: ``new``, ``reused``, ``kept``, ``stale``
    """

    def __init__(self, clock: Clock, max_idle: int, count: Callable[[str], None]) -> None:
        self._clock = clock
        self._count = count
        self.share = PoolShare()
        self._pool: BackendPool[BackendConnection] = BackendPool(self.share, max_idle)

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return self._pool.idle_count

    def keeps(self, server: PooledServer) -> bool:
        """Return whether connections to a server are kept at all."""
        return self._pool.keeps(server)

    def take(self, server: PooledServer, request_id: bytes) -> BackendConnection | None:
        """Return an idle connection that counts as in use from now on."""
        connection = self._pool.take(
            server, self._clock.now_ms(), lambda candidate: candidate.may_carry(request_id)
        )
        if connection is not None:
            self._count("reused")
        return connection

    def record_opening(self, server: PooledServer) -> None:
        """Record a new connection before it is opened."""
        self._count("new")
        _close(self._pool.record_opening(server))

    def record_closed(self, server: PooledServer, end: ExchangeEnd | None) -> None:
        """Record the end of a connection in use, and of its last exchange if it is known."""
        self._pool.record_closed(server)
        if end is ExchangeEnd.STALE:
            self._count("stale")
        if end in _LOST_ENDS:
            _close(self._pool.remove_server(server))

    def keep(self, server: PooledServer, connection: BackendConnection) -> None:
        """Keep a connection whose exchange has ended, or close it."""
        idle_ms = connection.idle_limit_ms
        connection.become_idle(self._on_idle_end)
        excess = self._pool.keep(server, connection, idle_ms, self._clock.now_ms())
        if connection not in excess:
            self._count("kept")
        _close(excess)

    def _on_idle_end(self, connection: BackendConnection) -> None:
        self._pool.discard(connection)
        connection.abort()

    def close_outdated(self, is_present: Callable[[PooledServer], bool]) -> None:
        """Close idle connections that have expired, or whose server takes no more requests.

        :param is_present: whether a server is there and not leaving
        """
        _close(self._pool.remove_outdated(self._clock.now_ms(), is_present))

    def stop(self) -> None:
        """Close all idle connections, and keep none from now on."""
        _close(self._pool.remove_all())


def _close(connections: Iterable[BackendConnection]) -> None:
    for connection in connections:
        connection.on_idle_end = None
        connection.abort()
