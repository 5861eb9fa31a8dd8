"""Handler of the requests that other entry instances pass on, as they reach no server."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.connection.callerintake import CallerIntake
from bergamothill.connection.peerdoor import PeerConnection
from bergamothill.connection.responseformat import spread_retry_after
from bergamothill.logs import EventLog
from bergamothill.platform.passing import MAX_ADDED_BYTES, PASS_REFUSED
from bergamothill.process.gateway import UNAVAILABLE_RETRY_MS, Gateway
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.helperchoice import Helpers
from bergamothill.request.callerrequest import RawRequest
from bergamothill.version.routetable import CallerLimits

__all__ = ["PeerDoor"]

CONNECTIONS_SHARE = 4
"""One of so many descriptors for callers may be used for requests that are passed on."""

_log = EventLog("passing")


class PeerDoor:
    """Admits the connections of other instances, and hands their requests to the gateway.

    :param gateway: handles the requests like those of callers
    :param helpers: the other instances
    :param intake: what the connections share with those of callers
    :param metrics: counts the connections
    :param is_helping: tells whether requests of others are taken
    """

    def __init__(
        self,
        gateway: Gateway,
        helpers: Helpers,
        intake: CallerIntake,
        metrics: GatewayMetrics,
        is_helping: Callable[[], bool],
    ) -> None:
        self.intake = intake
        self._gateway = gateway
        self._helpers = helpers
        self._metrics = metrics
        self._is_helping = is_helping
        self._connections: set[CallerConnection] = set()

    def admits(self, host: str) -> bool:
        """Return whether a connection from an IP address may be used."""
        has_room = len(self._connections) < self.intake.max_descriptors // CONNECTIONS_SHARE
        is_admitted = has_room and self._helpers.entry_at(host) is not None
        self._metrics.count("peer_connections", admitted=is_admitted)
        return is_admitted

    def register(self, connection: CallerConnection, is_open: bool) -> None:
        """Count a connection that has opened or closed."""
        if is_open:
            self._connections.add(connection)
        else:
            self._connections.discard(connection)

    def limits(self) -> CallerLimits:
        """Return the limits in force, with room for what the other instance has added."""
        limits = self._gateway.limits()
        return replace(limits, header_bytes=limits.header_bytes + MAX_ADDED_BYTES)

    def is_draining(self) -> bool:
        """Return whether connections are to be closed after their current answer."""
        return self._gateway.is_draining()

    def start(self, connection: PeerConnection, request: RawRequest) -> Callable[[], None]:
        """Start handling a request, or refuse it; return the function that cancels it."""
        sender = self._helpers.entry_at(connection.host)
        if sender is not None and self._is_helping():
            return self._gateway.start(connection, request, passed_by=sender)
        _log.info("pass_refused", passed_by=sender or "-", is_draining=self.is_draining())
        headers = [(PASS_REFUSED, b"1"), spread_retry_after(UNAVAILABLE_RETRY_MS)]
        connection.send_response(503, headers, b"")
        return _cancel_nothing

    def record_dropped(self, requests: Sequence[RawRequest]) -> None:
        """Log requests that were read and will not be started."""
        self._gateway.record_dropped(requests)


def _cancel_nothing() -> None:
    """Cancel a request that was refused."""
