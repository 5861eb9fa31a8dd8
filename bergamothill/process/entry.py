"""Entry instance: creates the components of the process and connects them."""

from __future__ import annotations

import random
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict
from typing import Any

import statsd

from bergamothill.clock import Clock
from bergamothill.connection.bus import Scope
from bergamothill.connection.engine import ModelEngine
from bergamothill.connection.http import CONTROL_TRAFFIC, HttpClient
from bergamothill.connection.instancelist import HttpInstanceList, Instance, InstanceKind
from bergamothill.connection.kvs_http import HttpKeyValueService
from bergamothill.connection.peer import PeerMesh
from bergamothill.connection.service import PlainService
from bergamothill.errors import BergamothillError, UnavailableError
from bergamothill.ids import (
    BrandName,
    DutyName,
    EntryInstanceId,
    Incarnation,
    ModelName,
    ServerId,
    ServiceName,
)
from bergamothill.logs import EventLog
from bergamothill.process.bodyaccount import BodyAccount, half_of_memory
from bergamothill.process.callers import CallerRoutes
from bergamothill.process.clientpool import ClientPool, engine_client
from bergamothill.process.drain import DrainBounds
from bergamothill.process.duties import Duties, Duty
from bergamothill.process.frontend import Frontend
from bergamothill.process.httpserver import HttpServer
from bergamothill.process.lease import DutyLease
from bergamothill.process.metrics import Recorder, StatsdMetrics
from bergamothill.process.operators import OperatorRoutes
from bergamothill.process.routedependencies import RouteDependencies
from bergamothill.process.serverpoll import ServerPoller
from bergamothill.process.servers import EngineRecord, ServerTable
from bergamothill.process.settings import Settings
from bergamothill.process.status import entry_status
from bergamothill.process.taskscheduler import PeriodicTask, TaskScheduler
from bergamothill.process.work import WorkTracker
from bergamothill.request.action import ActionRunner
from bergamothill.request.auth import BrandIndex
from bergamothill.request.blockstoreclient import BlockStoreClient
from bergamothill.request.cachehints import CacheHints, KeptHintDelta
from bergamothill.request.exporter import Exporter
from bergamothill.request.limits import Admission, LoanGrant, LoanRequest
from bergamothill.request.load import LoadEstimator, SentWorkDelta
from bergamothill.request.placement import EnginePlacer
from bergamothill.request.retry import RetryBudget
from bergamothill.request.token import StreamTokens
from bergamothill.version.block import BlockChain
from bergamothill.version.config import Configuration
from bergamothill.version.revision import ConfigurationWriter
from bergamothill.version.rolloutrunner import RolloutRunner
from bergamothill.version.watcher import ConfigurationWatcher

__all__ = ["EntryInstance"]

EXPORT_THREADS = 4
HAND_OVER_MS = 20_000
RETRY_AFTER_MS = 1_000
LOAN_INTERVAL_MS = 2_000
MAX_LOAN_PEERS = 8
LOAN_TIMEOUT_MS = 500
ACTION_INTERVAL_MS = 1_000
LOAD_PUBLISH_INTERVAL_MS = 100
SMALL_ZONE_MAX_ENTRIES = 8
EXPORT_INTERVAL_MS = 100
DUTY_INTERVAL_MS = 1_000
SWEEP_INTERVAL_MS = 30_000

_log = EventLog("entry")


class EntryInstance:
    """One entry instance.

    :param settings: checked settings
    :param clock: clock of the process
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = random.Random()
        self._index = BrandIndex(Configuration())
        self._incarnation = Incarnation(clock.wall_ms())
        self._make_metrics()
        self._make_connections()
        self._make_request_handling()
        self._make_background_work()
        self._make_routes()

    def start(self) -> None:
        """Start all components; the port for callers opens last."""
        self._mesh.start()
        self._poller.start()
        self._watcher.start()
        self._scheduler.start()
        self._server.start()

    def start_drain(self) -> None:
        """Begin a graceful shutdown."""
        self._work.start_drain()

    def run_until_drained(self) -> None:
        """Serve until the graceful shutdown is complete, then stop all components."""
        self._work.wait_closed()
        self._server.stop()
        self._scheduler.stop()
        self._poller.close()
        self._watcher.stop()
        self._mesh.close()
        self._exports.shutdown(wait=True, cancel_futures=True)
        self._block_stores.close()

    def _make_metrics(self) -> None:
        settings = self._settings
        host, _, port = settings.statsd_address.rpartition(":")
        statsd_client = statsd.StatsClient(host, int(port)) if port else _NullStatsd()
        self._metrics = StatsdMetrics(statsd_client, settings.zone)
        self._recorder = Recorder(settings.entry_id, self._clock)

    def _make_connections(self) -> None:
        settings, clock = self._settings, self._clock
        self._kvs = HttpKeyValueService(HttpClient("kvs", settings.kvs_address))
        instance_list = HttpInstanceList(
            HttpClient("instance-list", settings.instance_list_address)
        )
        self._mesh = PeerMesh(
            settings.entry_id,
            settings.zone,
            self._incarnation,
            settings.peer_address,
            clock,
            settings.shared_secret,
        )
        self._table = ServerTable()
        self._clients = ClientPool(self._table.instance)
        self._poller = ServerPoller(
            instance_list,
            engine_client,
            self._mesh,
            self._table,
            clock,
            settings.entry_id,
            settings.zone,
            self._on_instances,
            extra_messages=self._load_for_reports,
        )
        self._watcher = ConfigurationWatcher(
            self._kvs, self._mesh, clock, settings.entry_id, self._on_configuration
        )
        self._actions = ActionRunner(
            self._kvs, self._mesh, clock, settings.entry_id, metrics=self._metrics
        )

    def _make_request_handling(self) -> None:
        self._admission = Admission(
            lambda brand: self._index.configuration.value_for(brand, "limits"),
            None,
            self._clock.now_ms(),
            self._rng,
        )
        self._admission_lock = threading.Lock()
        self._estimator = LoadEstimator()
        self._hints = CacheHints()
        self._block_stores = BlockStoreClient(
            {}, self._settings.zone, self._clock, self._warm_time_ms, metrics=self._metrics
        )
        self._exports = ThreadPoolExecutor(EXPORT_THREADS, thread_name_prefix="export")
        self._placer = EnginePlacer(
            self._clock,
            self._table,
            self._poller.confirm,
            self._clients.engine,
            self._block_stores,
            self._estimator,
            self._hints,
            lambda: self._index.configuration.defaults.weights,
            lambda brand: self._index.configuration.value_for(brand, "objectives").ttft_ms,
            self._rng,
        )
        self._exporter = Exporter(
            self._clock,
            self._block_stores,
            self._placer.is_link_idle,
            self._block_bytes,
            self._warm_time_ms,
            self._exports,
        )
        self._placer.set_exporter(self._exporter)

        self._mesh.subscribe(LoanRequest, self._on_loan_request)
        self._mesh.subscribe(SentWorkDelta, lambda _, delta: self._placer.apply_work_delta(delta))
        self._mesh.subscribe(KeptHintDelta, lambda _, delta: self._placer.apply_hint_delta(delta))

    def _make_background_work(self) -> None:
        settings = self._settings
        bounds = DrainBounds(settings.drain_notice_ms, settings.drain_finish_ms, HAND_OVER_MS)
        self._duties = Duties(self._mesh, settings.entry_id, self._clock, self._make_duties())
        self._work = WorkTracker(self._clock, bounds, self._leave)
        self._scheduler = TaskScheduler(self._clock, self._periodic_tasks())

    def _make_routes(self) -> None:
        settings = self._settings
        bodies = BodyAccount(settings.max_held_bytes or half_of_memory())
        frontend = Frontend(settings.max_body_bytes, bodies)
        dependencies = RouteDependencies(
            clock=self._clock,
            zone=settings.zone,
            brand_index=self._brand_index,
            placer=self._placer,
            admission=self._admission,
            admission_lock=self._admission_lock,
            retries=RetryBudget(),
            tokens=StreamTokens(settings.shared_secret, self._clock),
            actions=self._actions,
            engine_for=self._clients.engine,
            service_for=self._service_for,
            recorder=self._recorder,
            metrics=self._metrics,
            idle_timeout_ms=settings.idle_timeout_ms,
        )
        CallerRoutes(dependencies).add_to(frontend, self._work.guard)
        OperatorRoutes(
            settings.operator_key_digest,
            self._work,
            self._status,
            lambda: self._watcher.status().revision > 0,
            self._recorder,
        ).add_to(frontend)
        self._server = HttpServer(settings.listen_address, frontend, settings.worker_threads)

    def _periodic_tasks(self) -> tuple[PeriodicTask, ...]:
        return (
            PeriodicTask("relay_load", lambda: LOAD_PUBLISH_INTERVAL_MS, self._publish_load),
            PeriodicTask("exports", lambda: EXPORT_INTERVAL_MS, self._exporter.step),
            PeriodicTask("loans", lambda: LOAN_INTERVAL_MS, self._request_loans),
            PeriodicTask("actions", lambda: ACTION_INTERVAL_MS, self._actions.maintain),
            PeriodicTask("duties", lambda: DUTY_INTERVAL_MS, self._duties.tick),
        )

    def _make_duties(self) -> tuple[Duty, ...]:
        settings, clock = self._settings, self._clock
        sweep = DutyLease(self._kvs, clock, DutyName(f"sweep/{settings.zone}"), settings.entry_id)
        rollout = DutyLease(self._kvs, clock, DutyName("rollout"), settings.entry_id)
        self._rollouts = RolloutRunner(
            rollout,
            self._watcher.current,
            ConfigurationWriter(self._kvs, clock),
            self._engines_of,
            self._rejects_stale_fencing,
            clock,
        )
        return (
            Duty(sweep, SWEEP_INTERVAL_MS, self._block_stores.sweep),
            Duty(rollout, DUTY_INTERVAL_MS, self._rollouts.step),
        )

    def _engines_of(self, model: ModelName) -> dict[ServerId, ModelEngine]:
        """Return the engines that serve a model, or are assigned to it in the instance list."""
        servers = [
            ServerId(record.instance.instance_id)
            for record in self._table.engines()
            if not record.leaving and _belongs_to_model(record, model)
        ]
        return {server: self._clients.engine(server) for server in servers}

    def _rejects_stale_fencing(self, server: ServerId) -> bool:
        """Return whether an engine is known to check fencing numbers; its state shows one."""
        return self._clients.engine(server).load().state.fencing_number > 0

    def _leave(self) -> None:
        """Stop the orders in progress, release the duties and leave the membership."""
        try:
            self._rollouts.stop()
            self._duties.leave()
        except BergamothillError as error:
            _log.warning("release_failed", step=error.step, peer=error.peer, reason=error.message)
        self._mesh.leave()

    def _is_small_zone(self) -> bool:
        return len(self._mesh.live_peers()) <= SMALL_ZONE_MAX_ENTRIES

    def _publish_load(self) -> None:
        """Publish load changes to the peers at once in a small zone; large zones use reports."""
        if self._is_small_zone():
            for delta in self._placer.deltas():
                self._mesh.publish(delta, Scope.ZONE)

    def _load_for_reports(self) -> tuple[object, ...]:
        return () if self._is_small_zone() else self._placer.deltas()

    def _request_loans(self) -> None:
        peers = [peer for peer in self._mesh.live_peers() if peer != self._settings.entry_id]
        lenders = self._rng.sample(peers, min(MAX_LOAN_PEERS, len(peers)))
        with self._admission_lock:
            request = self._admission.loan_request(len(lenders), self._clock.now_ms())
        if request is None:
            return
        for peer in lenders:
            grant = self._mesh.request(peer, request, timeout_ms=LOAN_TIMEOUT_MS)
            with self._admission_lock:
                self._admission.add_loans(peer, grant, self._clock.now_ms())

    def _on_loan_request(self, sender: EntryInstanceId, request: LoanRequest) -> LoanGrant:
        with self._admission_lock:
            return self._admission.grant_loans(request, self._clock.now_ms())

    def _on_instances(self, instances: tuple[Instance, ...]) -> None:
        self._mesh.update_instances(instances)
        self._block_stores.calls.replace(self._clients.store_endpoints(instances))
        entry_count = sum(1 for item in instances if item.kind is InstanceKind.ENTRY)
        with self._admission_lock:
            self._admission.resize(entry_count, self._clock.now_ms())

    def _on_configuration(self, configuration: Configuration) -> None:
        self._index = BrandIndex(configuration)
        _log.info("configuration_applied", revision=configuration.revision)

    def _brand_index(self) -> BrandIndex:
        self._watcher.current()
        return self._index

    def _warm_time_ms(self, brand: BrandName) -> int:
        return self._index.configuration.value_for(brand, "warm_time_ms")

    def _block_bytes(self, chain: BlockChain, index: int) -> int:
        model = self._index.configuration.models.get(chain.model)
        return chain.token_counts[index] * (model.bytes_per_token if model else 0)

    def _service_for(self, name: ServiceName) -> tuple[ServerId, PlainService]:
        servers = self._table.services(name)
        if not servers:
            raise UnavailableError(
                f"no server of service {name} accepts requests",
                step="service.route",
                retry_after_ms=RETRY_AFTER_MS,
            )
        instance = self._rng.choice(servers)
        return ServerId(instance.instance_id), self._clients.service(instance)

    def _status(self) -> dict[str, Any]:
        status = entry_status(
            self._settings,
            self._incarnation,
            self._watcher.status(),
            self._mesh.peers(),
            self._table.status(self._clock.now_ms()),
        )
        return {
            **status,
            "draining": self._work.is_draining,
            "in_progress": self._work.in_progress,
            "leases": [asdict(duty) for duty in self._duties.status()],
            "control_bytes": sum(self._mesh.bytes_total()) + CONTROL_TRAFFIC.total_bytes,
        }


def _belongs_to_model(record: EngineRecord, model: ModelName) -> bool:
    if record.instance.group == model:
        return True
    versions = record.load.state.versions if record.load is not None else ()
    return any(version.startswith(f"{model}:") for version in versions)


class _NullStatsd:
    """Discards metrics when no metrics daemon is configured."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a counter increment."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a duration."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard a gauge value."""
