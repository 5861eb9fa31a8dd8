"""What an entry instance does while it reaches no server, and for others that reach none."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

from bergamothill.clock import Clock
from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.connection.callerlistener import CallerListener
from bergamothill.connection.peerdoor import PeerConnection
from bergamothill.ids import EntryInstanceId
from bergamothill.logs import EventLog
from bergamothill.process.gateway import Gateway
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.helperchoice import Helpers
from bergamothill.process.loadexchange import LoadExchange
from bergamothill.process.nodesettings import NodeSettings
from bergamothill.process.passing import Passing
from bergamothill.process.peerdoor import PeerDoor
from bergamothill.process.reachability import ReachState
from bergamothill.process.reachexchange import ReachExchange
from bergamothill.process.reachmessages import ReachReply
from bergamothill.process.reachwatch import ReachWatch
from bergamothill.process.registry import Peer
from bergamothill.process.serverpool import ServerPool
from bergamothill.version.homes import RegionMap
from bergamothill.version.routetable import RoutingConfig

__all__ = ["NodePassing"]

_log = EventLog("passing")

_NamedTask = tuple[str, Callable[[], Awaitable[None]]]


class NodePassing:
    """Connects what watches the way to the servers with the gateway and the other instances.

    :param settings: settings of the instance
    :param clock: source of time
    :param server_pool: observed state of the backend servers
    :param gateway: handles requests
    :param load_exchange: its socket carries the questions to other instances
    :param metrics: counters
    :param regions: returns the regions of the availability zones
    :param on_report: called with the sender after each reply
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        server_pool: ServerPool,
        gateway: Gateway,
        load_exchange: LoadExchange,
        metrics: GatewayMetrics,
        regions: Callable[[], RegionMap],
        on_report: Callable[[EntryInstanceId], None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._gateway = gateway
        self._reachability = server_pool.reachability
        self._on_report = on_report
        self._helpers = Helpers(settings.zone)
        self._passing = Passing(
            clock, self._reachability, self._helpers, regions, settings.ip_address
        )
        self._passing.on_isolated = gateway.pass_on_waiting
        gateway.passing = self._passing
        self._watch = ReachWatch(clock, server_pool, metrics)
        self._exchange = ReachExchange(
            settings.entry,
            load_exchange,
            self._watch.reaches,
            self._describe,
            self._on_reply,
        )
        self._watch.on_unreached = self._ask
        self._watch.on_reached = self._passing.end
        self._door = PeerDoor(
            gateway, self._helpers, gateway.intake, metrics, lambda: self._is_helping
        )
        metrics.add_gauge("passing_on", lambda: int(self._passing.is_isolated))

    def tasks(self) -> Iterable[_NamedTask]:
        """Return the tasks to run, with their names."""
        return (("reach", self._watch.run), ("helpers", self._watch.ask_peers))

    def set_peers(self, peers: tuple[Peer, ...]) -> None:
        """Set the other registered instances."""
        self._helpers.set_peers(peers)

    def set_config(self, config: RoutingConfig) -> None:
        """Set the configuration in force, which names the health checks of services."""
        self._watch.services = config.services

    async def listen(self, register: Callable[[CallerConnection, bool], None]) -> None:
        """Accept the connections of other instances.

        :param register: called with each connection that opens or closes
        """

        def register_both(connection: CallerConnection, is_open: bool) -> None:
            self._door.register(connection, is_open)
            register(connection, is_open)

        address = f"{self._settings.ip_address}:{self._settings.peer_port}"
        listener = CallerListener(
            address, lambda: PeerConnection(self._door, self._clock, register_both)
        )
        try:
            await listener.start()
        except OSError as error:
            _log.warning("peer_door_failed", address=address, error=str(error))

    @property
    def _is_helping(self) -> bool:
        is_reaching = self._reachability.state is not ReachState.UNREACHED
        return is_reaching and not self._gateway.is_draining()

    def _ask(self) -> None:
        self._exchange.ask(self._helpers.to_ask(self._clock.now_ms()))

    def _describe(self, is_reaching: bool) -> ReachReply:
        is_admitting = not self._gateway.is_draining()
        return ReachReply(
            self._settings.entry,
            is_reaching,
            is_admitting,
            self._gateway.in_progress,
            self._passing.is_isolated,
        )

    def _on_reply(self, reply: ReachReply) -> None:
        self._passing.record_reply(reply)
        self._on_report(reply.entry)
