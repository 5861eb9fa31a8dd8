"""Runs weight rollouts while holding the rollout lease."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from concurrent.futures import Future, ThreadPoolExecutor

from bergamothill.clock import Clock
from bergamothill.connection.engine import EngineLoad, EngineOrder, ModelEngine
from bergamothill.errors import (
    BergamothillError,
    Execution,
    LeaseLostError,
    OverloadedError,
    StoreFullError,
    UnavailableError,
)
from bergamothill.ids import ModelName, ServerId
from bergamothill.logs import EventLog
from bergamothill.process.lease import DutyLease
from bergamothill.version.change import Change, FinishRollout, SetWeightTarget
from bergamothill.version.config import Configuration, ModelConfig
from bergamothill.version.revision import ConfigurationWriter
from bergamothill.version.rollout import (
    CompleteRollout,
    EngineView,
    OrderOutcome,
    RollBack,
    RolloutEffect,
    RolloutLimits,
    RolloutMachine,
    SendOrder,
)

__all__ = ["RolloutRunner"]

WORKER_THREADS = 16
IDLE_CHECK_INTERVAL_MS = 30_000

_log = EventLog("rollout")

EngineLookup = Callable[[ModelName], Mapping[ServerId, ModelEngine]]


class RolloutRunner:
    """Moves engines to the configured weight versions while this instance holds the lease.

    :param lease: lease that makes this instance the only one to run rollouts
    :param configuration: returns the active configuration
    :param writer: submits the configuration change that ends a rollout
    :param engines: returns the engines of a model that are not leaving
    :param rejects_stale_fencing: returns whether an engine rejects stale fencing numbers
    :param clock: source of time
    """

    def __init__(
        self,
        lease: DutyLease,
        configuration: Callable[[], Configuration],
        writer: ConfigurationWriter,
        engines: EngineLookup,
        rejects_stale_fencing: Callable[[ServerId], bool],
        clock: Clock,
    ) -> None:
        self._lease = lease
        self._configuration = configuration
        self._writer = writer
        self._engines = engines
        self._rejects_stale_fencing = rejects_stale_fencing
        self._clock = clock
        self._machines: dict[ModelName, RolloutMachine] = {}
        self._last_checked_ms: dict[ModelName, int] = {}
        self._fencing_number = lease.fencing
        self._pool = ThreadPoolExecutor(WORKER_THREADS, thread_name_prefix="rollout")
        self._pending_orders: dict[Future[tuple[OrderOutcome, int]], SendOrder] = {}

    def step(self) -> None:
        """Renew the lease, collect finished orders and start new ones; called once a second."""
        holds_lease = self._lease.tick()
        self._collect_finished_orders()
        if not holds_lease:
            return
        if self._lease.fencing != self._fencing_number:
            self._fencing_number = self._lease.fencing
            self._machines.clear()
            self._last_checked_ms.clear()
            self._pending_orders.clear()
        configuration = self._configuration()
        for model in configuration.models.values():
            self._step_model(model, configuration)

    def stop(self) -> None:
        """Wait for orders in flight, then release the lease."""
        self._pool.shutdown(wait=True)
        self._lease.release()

    def _step_model(self, model: ModelConfig, configuration: Configuration) -> None:
        now_ms = self._clock.now_ms()
        machine = self._machines.setdefault(model.name, RolloutMachine(model.name))
        is_rolling_out = model.current != model.target or machine.has_pending_work
        if (
            not is_rolling_out
            and now_ms < self._last_checked_ms.get(model.name, 0) + IDLE_CHECK_INTERVAL_MS
        ):
            return
        self._last_checked_ms[model.name] = now_ms
        engines = self._engines(model.name)
        servers = sorted(engines)
        loads = list(self._pool.map(lambda server: _query_load(engines[server]), servers))
        views = tuple(EngineView(s, load) for s, load in zip(servers, loads, strict=True))
        defaults = configuration.defaults
        limits = RolloutLimits(defaults.concurrent_weight_loads, defaults.rollout_failures)
        loads_in_flight = sum(machine.loads_in_flight for machine in self._machines.values())
        free_loads = limits.concurrent_loads - loads_in_flight
        effects = machine.plan(model, views, limits, free_loads=free_loads, now_ms=now_ms)
        for effect in effects:
            self._perform(effect, engines)

    def _perform(self, effect: RolloutEffect, engines: Mapping[ServerId, ModelEngine]) -> None:
        if isinstance(effect, SendOrder):
            future = self._pool.submit(self._send, effect, engines[effect.server])
            self._pending_orders[future] = effect
        elif isinstance(effect, CompleteRollout):
            self._submit(FinishRollout(effect.model, effect.version), "rollout_finished")
        elif isinstance(effect, RollBack):
            _log.error("rollout_failed", model=effect.model, engines=",".join(effect.failed))
            self._submit(SetWeightTarget(effect.model, effect.version), "rollout_went_back")

    def _submit(self, change: Change, event: str) -> None:
        base = self._configuration().revision
        try:
            accepted = self._writer.submit((change,), base=base)
        except BergamothillError as error:
            _log.warning("rollout_change_failed", model=change.model, error=str(error))
            return
        _log.info(event, model=change.model, version=change.version, revision=accepted.revision)

    def _send(self, order: SendOrder, engine: ModelEngine) -> tuple[OrderOutcome, int]:
        """Send one order, acquiring its short-lived permit immediately before the send."""
        now_ms = self._clock.now_ms()
        try:
            rejects_stale = self._rejects_stale_fencing(order.server)
            permit = self._lease.permit(rejects_stale_fencing=rejects_stale)
        except (LeaseLostError, UnavailableError) as error:
            _log.info("order_not_permitted", server=order.server, error=str(error))
            return OrderOutcome.NOT_SENT, now_ms
        deadline_ms = self._clock.now_ms() + permit.valid_for_ms
        try:
            engine.order(
                EngineOrder(
                    kind=order.kind,
                    fencing_number=permit.fencing,
                    deadline_ms=permit.valid_for_ms,
                    model=order.model,
                    weight_version=order.version,
                    role=order.role,
                )
            )
        except BergamothillError as error:
            outcome = _outcome_of(error)
            _log.warning(
                "order_failed",
                server=order.server,
                order=order.kind.value,
                outcome=outcome.value,
                error=str(error),
            )
            return outcome, deadline_ms
        _log.info("order_done", server=order.server, order=order.kind.value, version=order.version)
        return OrderOutcome.DONE, deadline_ms

    def _collect_finished_orders(self) -> None:
        for future in [future for future in self._pending_orders if future.done()]:
            order = self._pending_orders.pop(future)
            outcome, deadline_ms = future.result()
            machine = self._machines.get(order.model)
            if machine is not None:
                machine.handle_outcome(order, outcome, deadline_ms=deadline_ms)


def _query_load(engine: ModelEngine) -> EngineLoad | None:
    try:
        return engine.load()
    except BergamothillError:
        return None


def _outcome_of(error: BergamothillError) -> OrderOutcome:
    if error.execution is Execution.UNKNOWN:
        return OrderOutcome.UNKNOWN
    if isinstance(error, (StoreFullError, OverloadedError)):
        return OrderOutcome.INSUFFICIENT_MEMORY
    return OrderOutcome.REFUSED
