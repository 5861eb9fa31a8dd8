"""Entry instance on the deployment platform: sockets, threads and signal handling."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.connection.callerlistener import CallerListener
from bergamothill.connection.http import HttpClient
from bergamothill.connection.keptconnections import KeptConnections, max_idle_connections
from bergamothill.connection.kvs import KeyValueEntry
from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId, ZoneName
from bergamothill.logs import EventLog
from bergamothill.platform.config import OPERATOR_PREFIX
from bergamothill.platform.kvs import PlatformKeyValueService
from bergamothill.platform.servers import SERVER_PREFIX, decode_server
from bergamothill.platform.settings import load_node_settings
from bergamothill.process.coldservers import ColdServers
from bergamothill.process.configstate import ConfigState
from bergamothill.process.decodedentries import DecodedEntries
from bergamothill.process.gateway import Gateway
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.instanceroster import InstanceRoster
from bergamothill.process.limitexchange import LimitExchange
from bergamothill.process.loadexchange import LoadExchange
from bergamothill.process.loadreport import PeerLoads
from bergamothill.process.nodecontext import NodeContext
from bergamothill.process.nodedrain import EXIT_MARGIN_MS, drain_callers
from bergamothill.process.nodeduties import ORDER_MARKER_KEY, SwapView, make_swap_duty
from bergamothill.process.nodeintakes import NodeIntakes
from bergamothill.process.nodepassing import NodePassing
from bergamothill.process.nodequarantine import NodeQuarantine
from bergamothill.process.nodesettings import DeploymentBounds, NodeSettings
from bergamothill.process.nodestreams import NodeStreams
from bergamothill.process.operatorview import OperatorView
from bergamothill.process.ordergap import read_settled_era
from bergamothill.process.originexchange import OriginExchange
from bergamothill.process.prefillexchange import PrefillExchange
from bergamothill.process.prefixfollower import PrefixFollower, Snapshot
from bergamothill.process.readexchange import ReadExchange
from bergamothill.process.readiness import Readiness, ReadinessHandler
from bergamothill.process.readtimes import ReadTimes
from bergamothill.process.registry import READ_TIMES, REGISTRY_PREFIX, Peer, Registry
from bergamothill.process.serverlimits import ServerLimits
from bergamothill.process.serverpool import ServerPool
from bergamothill.process.stopsignals import handle_signals, ignore_signals
from bergamothill.process.supervisor import Supervisor
from bergamothill.process.sweepduty import SweepDuty
from bergamothill.process.workmetrics import add_work_gauges
from bergamothill.request.contextplan import FETCH_TIMEOUT_MS, ContextPlanner
from bergamothill.request.streamorigin import StreamOrigins
from bergamothill.version.cacheindex import CacheIndex
from bergamothill.version.cachenamespace import BrandIsolation
from bergamothill.version.routetable import RoutingConfig
from bergamothill.version.weightswap import SwapEngine
from bergamothill.version.weighttarget import WeightTarget

__all__ = ["METRICS_PORT", "PlatformNode"]

METRICS_PORT = 9464
ENTRY_LIFE_HEARTBEATS = 4
"""Entries of servers expire after three heartbeat intervals of silence; one more for the delay."""

MIN_ENTRY_LIFE_HEARTBEATS = 2
"""A live server wrote its entry at most one heartbeat interval before a list that contains it."""

_log = EventLog("node")


class PlatformNode:
    """One entry instance on the platform.

    :param settings: validated settings
    :param settings_path: file from which they were loaded
    :param clock: source of time
    """

    def __init__(self, settings: NodeSettings, settings_path: str, clock: Clock) -> None:
        self._settings_path = settings_path
        bounds = settings.bounds
        self._settings = settings
        self._clock = clock
        self._metrics = GatewayMetrics()
        self._config = ConfigState.of_bounds(bounds)
        self._operator = OperatorView(
            self._config,
            self._apply_config,
            self._apply_weight_target,
            self._log_unreadable_entry,
            self._apply_evacuation,
        )
        self._servers = DecodedEntries(
            lambda entry: decode_server(entry.key, entry.value, entry.mod_revision),
            self._log_unreadable_entry,
        )
        self._cache_index = cache_index = CacheIndex()
        self._planner = ContextPlanner(cache_index, settings.regions)
        self._supervisor = Supervisor(clock)
        peer_loads = PeerLoads()
        self._roster = InstanceRoster(settings.entry)
        self._server_pool = ServerPool(
            settings.zone,
            bounds.weights_due_ms,
            self._planner,
            peer_loads,
            ServerLimits(self._roster),
            entry_expiry_ms=ENTRY_LIFE_HEARTBEATS * settings.heartbeat_interval_ms,
            stability_window_ms=bounds.stability_window_ms,
            min_entry_life_ms=MIN_ENTRY_LIFE_HEARTBEATS * settings.heartbeat_interval_ms,
            heartbeat_interval_ms=settings.heartbeat_interval_ms,
        )
        self._server_pool.limits.cold = ColdServers(bounds.cold, clock.wall_ms)
        self._context = NodeContext(
            settings, clock, cache_index, self._server_pool, self._supervisor
        )
        self._exchange = LoadExchange(
            settings.entry,
            clock,
            self._server_pool,
            peer_loads,
            self._on_peer_report,
            settings.zone,
            settings.link_mbps,
        )
        self._limit_exchange = LimitExchange(
            clock, self._server_pool.limits, self._exchange, self._on_peer_report
        )
        prefill_exchange = PrefillExchange(
            clock, self._server_pool.selector.announced, self._exchange
        )
        self._server_pool.on_prefill = prefill_exchange.announce
        self._quarantine = NodeQuarantine(settings.entry, clock, self._metrics, self._exchange)
        self._origin_exchange = OriginExchange(
            clock, StreamOrigins(), self._exchange, self._roster, self._on_peer_report
        )
        self._origin_exchange.confirms = self._server_pool.confirms
        self._server_pool.servers_under_trial = self._quarantine.gate.servers_under_trial
        max_idle = max_idle_connections(settings.descriptors, settings.memory_mb)
        self._kept_connections = KeptConnections(
            clock, max_idle, lambda kind: self._metrics.count("server_connections", kind=kind)
        )
        self._intakes = NodeIntakes(clock, self._metrics, settings, max_idle)
        self._gateway = Gateway(
            clock,
            bounds,
            self._config,
            self._server_pool,
            self._metrics,
            self._quarantine.gate,
            self._origin_exchange,
            self._kept_connections,
            self._intakes.callers,
        )
        self._passing = NodePassing(
            settings,
            clock,
            self._server_pool,
            self._gateway,
            self._exchange,
            self._metrics,
            lambda: self._planner.regions,
            self._on_peer_report,
        )
        add_work_gauges(
            self._metrics, self._exchange, self._context.listener, self._server_pool.selector
        )
        self._connections: set[CallerConnection] = set()
        self._readiness = Readiness(
            clock, self._config, self._server_pool, self._quarantine.gate, self._supervisor
        )
        self._unreadable_keys: set[str] = set()
        self._followers: list[PrefixFollower] = []
        client = HttpClient("key-value service", settings.store_address)
        self._kvs = PlatformKeyValueService(client)
        self._reads = ReadExchange(
            settings.entry,
            settings.zone,
            clock,
            self._kvs.era,
            self._exchange,
            self._metrics,
            settings.link_mbps,
        )
        self._streams = NodeStreams(
            settings.version_record,
            clock,
            self._kvs,
            self._server_pool,
            self._roster,
            self._gateway,
        )
        self._swap_view: SwapView = ({}, ())
        self._swaps = make_swap_duty(
            settings,
            self._kvs,
            clock,
            self._roster,
            lambda: self._swap_view,
            self._on_swapped,
            lambda: not self._passing.is_isolated,
        )

    def _make_sweep_duty(self) -> SweepDuty:
        return SweepDuty(
            self._clock,
            lambda: self._swaps.is_held,
            lambda: self._swap_view,
            self._config,
            self._cache_index,
            settle_ms=self._settings.bounds.key_revocation_ms + FETCH_TIMEOUT_MS,
        )

    def _on_swapped(self, engine: SwapEngine, version: int) -> None:
        self._loop.call_soon_threadsafe(
            self._server_pool.record_weight_swap, engine.server, engine.model, version
        )

    async def run(self) -> None:
        """Serve until stopped by a signal and drained."""
        loop = self._loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._supervisor.handle_loop_error)
        stop_requested = asyncio.Event()
        handle_signals(loop, stop_requested.set, self._reload)
        followers = self._followers = [
            self._make_follower(
                OPERATOR_PREFIX,
                self._operator.apply,
                self._on_operator_connection_change,
                self._check_first_era,
            ),
            self._make_follower(
                SERVER_PREFIX, self._apply_server_list, self._on_server_list_connection_change
            ),
        ]
        self._gateway.confirmation.read_now = followers[0].read_now
        self._gateway.resumption.lists.read_list = followers[-1].read_now
        registry = self._registry = self._make_registry()
        self._kvs.era.add_listener(self._on_kvs_restored)
        for follower in followers:
            follower.start()
        self._supervisor.start_thread("registry", registry.run)
        own_address = (self._settings.ip_address, self._settings.peer_port)
        parts = (
            ("reports", partial(self._exchange.run, *own_address)),
            ("limits", self._limit_exchange.run),
            ("reads", self._reads.run),
            ("origins", self._origin_exchange.run),
            ("quarantine", partial(self._quarantine.run, self._kvs, self._supervisor.guard)),
            *self._passing.tasks(),
            ("stalls", self._gateway.watch_for_stalls),
            ("streams", self._streams.run),
            ("sweep", self._make_sweep_duty().run),
        )
        tasks = [self._supervisor.start_task(name, run) for name, run in parts]
        swaps = self._supervisor.start_thread("swaps", self._swaps.run)
        listeners = await self._listen()
        await stop_requested.wait()
        self._swaps.stop()
        self._supervisor.stop()
        await self._drain(listeners[-1])
        self._kept_connections.stop()
        for follower in followers:
            follower.stop()
        self._context.stop()
        registry.stop()
        self._quarantine.stop()
        for task in tasks:
            task.cancel()
        swaps.join(timeout=ms_to_seconds(EXIT_MARGIN_MS // 2))
        ignore_signals(loop)

    def _make_follower(
        self,
        prefix: str,
        apply_snapshot: Callable[[Snapshot], None],
        on_connection_change: Callable[[bool], None],
        before_first_read: Callable[[], None] | None = None,
    ) -> PrefixFollower:
        call_in_loop = self._loop.call_soon_threadsafe
        times = _read_times(self._settings.bounds)
        return PrefixFollower(
            self._kvs,
            self._clock,
            prefix,
            times.interval_ms,
            on_snapshot=lambda snapshot: call_in_loop(apply_snapshot, snapshot),
            on_connection_change=lambda is_connected: call_in_loop(
                on_connection_change, is_connected
            ),
            before_first_read=before_first_read,
            share=self._reads.share(prefix, times),
            guard=self._supervisor.guard,
        )

    def _check_first_era(self) -> None:
        """Distrust the first reads if the service was restored shortly before this process began.

        Runs in a follower's thread; raises an error if the service cannot be read.
        """
        settled_era = read_settled_era(self._kvs, ORDER_MARKER_KEY)
        era = self._kvs.era.current
        _log.info("first_era", era=era, settled_era=settled_era)
        if settled_era < era:
            now_ms = self._clock.now_ms()
            self._loop.call_soon_threadsafe(self._config.record_restore, now_ms)

    def _on_kvs_restored(self, era: int) -> None:
        """React to a restoration of the service; runs in the thread that saw the new era."""
        now_ms = self._clock.now_ms()
        self._swaps.handle_restore()
        self._loop.call_soon_threadsafe(self._config.record_restore, now_ms)
        self._loop.call_soon_threadsafe(self._server_pool.kvs_restored, now_ms)
        self._loop.call_soon_threadsafe(self._streams.handle_restore)
        self._registry.handle_restore()
        self._quarantine.handle_restore()
        for follower in self._followers:
            follower.wake()

    def _make_registry(self) -> Registry:
        settings = self._settings
        own = Peer(
            settings.entry,
            settings.ip_address,
            settings.peer_port,
            settings.zone,
            settings.link_mbps,
        )
        return Registry(
            self._kvs,
            self._clock,
            own,
            lambda peers: self._loop.call_soon_threadsafe(self._apply_peers, peers),
            self._reads.share(REGISTRY_PREFIX, READ_TIMES),
        )

    def _apply_peers(self, peers: tuple[Peer, ...]) -> None:
        self._exchange.set_peers(peers)
        self._reads.set_peers(peers)
        self._roster.set_registered((peer.entry for peer in peers), self._clock.now_ms())
        self._gateway.set_instance_count(self._exchange.instance_count)
        self._context.set_peers(peers)
        self._passing.set_peers(peers)
        zones = [self._settings.zone, *(peer.zone for peer in peers)]
        self._kept_connections.share.set_instances(zones)

    async def _listen(self) -> list[CallerListener]:
        settings = self._settings
        readiness = ReadinessHandler(self.is_ready, self._metrics.text, self._intakes.checks)
        metrics_address = f"{settings.ip_address}:{METRICS_PORT}"
        listeners = []
        for address, handler, on_connection in (
            (settings.readiness_address, readiness, _ignore_connection),
            (metrics_address, readiness, _ignore_connection),
            (settings.caller_address, self._gateway, self._track_connection),
        ):
            factory = partial(CallerConnection, handler, self._clock, on_connection)
            listener = CallerListener(address, factory)
            await listener.start()
            listeners.append(listener)
        await self._passing.listen(self._track_connection)
        return listeners

    def _on_peer_report(self, sender: EntryInstanceId) -> None:
        self._roster.record_heard(sender, self._clock.now_ms())
        self._gateway.peer_capacity.ask()

    def _track_connection(self, connection: CallerConnection, is_open: bool) -> None:
        if is_open:
            self._connections.add(connection)
        else:
            self._connections.discard(connection)

    def is_ready(self) -> bool:
        """Return whether this instance can serve callers."""
        return self._readiness.is_ready()

    # Observed state.

    def _count_kvs_connection_change(self, is_connected: bool) -> None:
        self._metrics.count("store_link", state="back" if is_connected else "lost")

    def _on_operator_connection_change(self, is_connected: bool) -> None:
        self._count_kvs_connection_change(is_connected)
        self._gateway.confirmation.is_readable = is_connected
        if is_connected:
            self._config.record_reconnection(self._clock.now_ms())

    def _on_server_list_connection_change(self, is_connected: bool) -> None:
        self._count_kvs_connection_change(is_connected)
        if is_connected:
            self._server_pool.kvs_recovered()
        else:
            self._server_pool.kvs_connection_lost()

    def _apply_config(self, config: RoutingConfig, entry: KeyValueEntry, sent_ms: int) -> None:
        self._planner.set_stores(config.stores)
        self._planner.set_isolation(BrandIsolation(config.isolated), self._clock.now_ms())
        self._gateway.isolation_changed()
        self._kept_connections.share.set_services(config.services.values())
        self._server_pool.limits.set_services(config.services)
        self._streams.apply_config(config)
        self._context.set_config(config)
        self._passing.set_config(config)
        self._intakes.check_limits(config.limits)
        _log.info(
            "config_applied",
            version=config.version,
            revision=entry.mod_revision,
            routes=len(config.routes),
            keys=len(config.brands),
            isolated=len(config.isolated),
            shared_scope=self._planner.isolation.shared_scope or "-",
            age_ms=self._clock.now_ms() - sent_ms,
        )

    def _apply_weight_target(self, target: WeightTarget, set_after_ms: int | None) -> None:
        now_ms = self._clock.now_ms()
        if self._server_pool.set_weight_target(target, now_ms, set_after_ms=set_after_ms):
            _log.info(
                "weights_named",
                model=target.model,
                version=target.version,
                is_first_read=set_after_ms is None,
                max_age_ms="-" if set_after_ms is None else now_ms - set_after_ms,
            )
            self._publish_engines()
            self._swaps.wake()

    def _apply_evacuation(self, zones: frozenset[ZoneName], sent_ms: int, is_trusted: bool) -> None:
        now_ms = self._clock.now_ms()
        if self._server_pool.apply_evacuation(zones, sent_ms, now_ms, is_trusted=is_trusted):
            self._gateway.capacity_changed()

    def _apply_server_list(self, snapshot: Snapshot) -> None:
        servers = self._servers.decode_all(snapshot.entries)
        self._streams.apply_servers(servers)
        now_ms = self._clock.now_ms()
        changes = self._server_pool.apply_list(servers, snapshot.sent_ms, now_ms)
        self._publish_engines()
        if changes:
            _log.info(
                "servers_changed", changes=" ".join(changes), age_ms=now_ms - snapshot.sent_ms
            )

    def _publish_engines(self) -> None:
        """Publish an immutable snapshot of the engines to the thread of the swap duty."""
        self._swap_view = (dict(self._server_pool.targets), self._server_pool.engines())
        self._context.set_engines(self._swap_view[1])

    def _log_unreadable_entry(self, entry: KeyValueEntry, error: ProtocolError) -> None:
        if entry.key not in self._unreadable_keys:
            self._unreadable_keys.add(entry.key)
            _log.warning("entry_unreadable", key=entry.key, error=error.message)

    # Reload and graceful shutdown.

    def _reload(self) -> None:
        """Apply changed bounds from the settings file; address changes need a restart."""
        try:
            settings = load_node_settings(self._settings_path)
        except ExceptionGroup as group:
            faults = "; ".join(str(fault) for fault in group.exceptions)
            _log.warning("reload_refused", faults=faults)
            return
        changed = settings != self._settings
        self._planner.regions = settings.regions
        if settings.bounds != self._settings.bounds:
            times = _read_times(settings.bounds)
            for follower in self._followers:
                follower.interval_ms = times.interval_ms
                follower.set_shared_times(times)
            self._server_pool.set_stability_window(settings.bounds.stability_window_ms)
            self._server_pool.weights_due_ms = settings.bounds.weights_due_ms
            self._gateway.set_bounds(settings.bounds)
            self._server_pool.limits.set_bounds(settings.bounds.cold)
            self._config.set_bounds(settings.bounds)
        self._settings = settings
        _log.info("reload", changed=changed)

    async def _drain(self, caller_listener: CallerListener) -> None:
        self._readiness.is_stopping = True
        await drain_callers(
            self._clock,
            self._gateway,
            caller_listener,
            self._connections,
            self._settings.bounds.stop_grace_ms,
        )


def _read_times(bounds: DeploymentBounds) -> ReadTimes:
    return ReadTimes.of_bound(bounds.operator_read_ms)


def _ignore_connection(_connection: CallerConnection, _is_open: bool) -> None:
    """Do not track readiness checks and metrics scrapes."""
