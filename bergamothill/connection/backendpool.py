"""Bookkeeping of kept connections to backend servers; no I/O, no clock.

A connection that is not in use is idle. Idle connections are bounded in all, and by server together
with those in use. Methods return the connections that the caller has to close.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

from bergamothill.ids import ServerId, ServiceName, ZoneName
from bergamothill.version.routetable import Service

__all__ = ["BackendPool", "PooledServer", "PoolShare", "idle_limit_ms"]

DEFAULT_IDLE_MS = 200
"""Idle time at a server that names none.

Some servers close idle connections after 300 ms without notice. The rest is for a late reading of
the end of the answer and for the way of the next request.
"""

KEPT_SHARE = 0.8
"""Share of the idle time that a server names; the rest is for the same delays."""

MAX_IDLE_MS = 60_000
"""Longest idle time; a pair of instance and server that is used less often gains little."""

MAX_TIMEOUT_DIGITS = 6

RESERVED_CONNECTIONS = 1
"""Connections of this instance to a server that are no requests: the poll of its cache events."""

UNSEEN_INSTANCES = 1
"""Allowance for entry instances that have started but are not yet known here."""

SMALL_ZONE_INSTANCES = 2
"""Up to this number of instances for each zone, each request has a connection of its own."""

MIN_CONNECTIONS = 2
"""Least share of a server's connections at which one is kept: one idle, and one for a request that
needs a new one."""

_TIMEOUT_PATTERN = re.compile(
    rb"(?:^|[,;\s])timeout\s*=\s*\"?([0-9]+)\"?\s*(?:$|[,;])", re.IGNORECASE
)

Connection = TypeVar("Connection")


class PooledServer(NamedTuple):
    """Incarnation of a server, and where it is connected to.

    :param server: server id
    :param started_wall_ms: start of its incarnation
    :param address: ``host:port``
    :param service: service that it belongs to
    """

    server: ServerId
    started_wall_ms: int
    address: str
    service: ServiceName


def idle_limit_ms(fields: Iterable[bytes]) -> int:
    """Return for how long a connection may be idle; 0 if it must not be kept.

    :param fields: values of the field ``Keep-Alive``; contradictory or malformed ones are ignored
    """
    timeouts_s = {match for value in fields for match in _TIMEOUT_PATTERN.findall(value)}
    if len(timeouts_s) != 1:
        return DEFAULT_IDLE_MS
    (digits,) = timeouts_s
    if len(digits) > MAX_TIMEOUT_DIGITS:
        return DEFAULT_IDLE_MS
    return min(MAX_IDLE_MS, int(KEPT_SHARE * 1_000 * int(digits)))


class PoolShare:
    """Share of this entry instance in the connections that servers accept.

    The share never grows, so that instances cut off from the registry keep theirs.
    """

    def __init__(self) -> None:
        self._max_instances = 0
        self._has_many_instances = False
        self._zones: set[ZoneName] = set()
        self._limits: dict[ServiceName, int] = {}

    def set_instances(self, zones: Sequence[ZoneName | None]) -> None:
        """Set the registered instances, with this one.

        :param zones: zone of each; None if it is not known, so that each may be another one
        """
        self._max_instances = max(self._max_instances, len(zones))
        self._zones.update(zone for zone in zones if zone is not None)
        zone_count = len(self._zones) + sum(zone is None for zone in zones)
        self._has_many_instances = len(zones) > SMALL_ZONE_INSTANCES * zone_count

    def set_services(self, services: Iterable[Service]) -> None:
        """Set the services, whose servers accept some connections from all callers together."""
        self._limits = {service.name: service.max_connections for service in services}

    def connections(self, service: ServiceName) -> int:
        """Return how many connections this instance may have to a server; 0 if none is kept."""
        if not self._has_many_instances:
            return 0
        instances = self._max_instances + UNSEEN_INSTANCES
        share = self._limits.get(service, 0) // instances - RESERVED_CONNECTIONS
        return share if share >= MIN_CONNECTIONS else 0


@dataclass(slots=True, eq=False)
class _Idle(Generic[Connection]):
    server: PooledServer
    connection: Connection
    expires_ms: int


class BackendPool(Generic[Connection]):
    """Connections to backend servers that are in use or idle.

    :param share: share of this instance in the connections of a server
    :param max_idle: maximum number of idle connections to all servers together
    """

    def __init__(self, share: PoolShare, max_idle: int) -> None:
        self.share = share
        self._max_idle = max_idle
        self._used: Counter[PooledServer] = Counter()
        # In the order in which they became idle; of one server the last one is used first.
        self._idle: dict[Connection, _Idle[Connection]] = {}

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    def keeps(self, server: PooledServer) -> bool:
        """Return whether connections to a server are kept at all."""
        return self._max_idle > 0 and self.share.connections(server.service) > 0

    def take(
        self, server: PooledServer, now_ms: int, is_fit: Callable[[Connection], bool]
    ) -> Connection | None:
        """Return an idle connection to a server, which counts as in use from now on.

        :param is_fit: whether a connection can be used for the request
        """
        for idle in reversed(self._idle.values()):
            if idle.server == server and now_ms < idle.expires_ms and is_fit(idle.connection):
                del self._idle[idle.connection]
                self._used[server] += 1
                return idle.connection
        return None

    def record_opening(self, server: PooledServer) -> list[Connection]:
        """Record a new connection, in use; return idle ones that exceed the share."""
        self._used[server] += 1
        return self._remove_excess(server)

    def record_closed(self, server: PooledServer) -> None:
        """Record that a connection in use was closed, or could not be opened."""
        self._used[server] -= 1
        if self._used[server] <= 0:
            del self._used[server]

    def keep(
        self, server: PooledServer, connection: Connection, idle_ms: int, now_ms: int
    ) -> list[Connection]:
        """Keep a connection whose use has ended; return those to close, maybe itself.

        :param idle_ms: how long it may be idle
        """
        self.record_closed(server)
        if not self.keeps(server) or idle_ms <= 0:
            return [connection]
        self._idle[connection] = _Idle(server, connection, now_ms + idle_ms)
        excess = self._remove_excess(server)
        while len(self._idle) > self._max_idle:
            excess.append(self._remove(next(iter(self._idle))))
        return excess

    def _remove_excess(self, server: PooledServer) -> list[Connection]:
        """Remove idle connections to a server that exceed the share, the first ones first."""
        if not self._idle:
            return []
        idle = [c for c, state in self._idle.items() if state.server == server]
        excess = len(idle) + self._used[server] - self.share.connections(server.service)
        return [self._remove(connection) for connection in idle[: max(0, excess)]]

    def _remove(self, connection: Connection) -> Connection:
        del self._idle[connection]
        return connection

    def discard(self, connection: Connection) -> bool:
        """Forget a connection that was closed or got bytes while idle; return if it was idle."""
        return self._idle.pop(connection, None) is not None

    def remove_outdated(
        self, now_ms: int, is_present: Callable[[PooledServer], bool]
    ) -> list[Connection]:
        """Remove idle connections that have expired, or whose server takes no more requests.

        :param is_present: whether a server is there and not leaving
        """
        outdated = [
            connection
            for connection, idle in self._idle.items()
            if now_ms >= idle.expires_ms
            or not self.keeps(idle.server)
            or not is_present(idle.server)
        ]
        return [self._remove(connection) for connection in outdated]

    def remove_server(self, server: PooledServer) -> list[Connection]:
        """Remove the idle connections to a server."""
        idle = [c for c, state in self._idle.items() if state.server == server]
        return [self._remove(connection) for connection in idle]

    def remove_all(self) -> list[Connection]:
        """Remove all idle connections, and keep none from now on."""
        self._max_idle = 0
        idle, self._idle = list(self._idle), {}
        return idle
