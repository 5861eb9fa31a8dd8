"""Sans-I/O state machine for weight rollouts: decides which order each engine receives next.

Orders are derived from the configuration and the reported engine states alone, so that any lease
holder can continue a rollout. The machine itself remembers only orders in flight, idle times and
failed loads. A new lease holder starts without them, which may delay the rollout but never
interrupts a running request.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from bergamothill.connection.engine import EngineLoad, OrderKind
from bergamothill.ids import ModelName, ServerId, WeightVersion
from bergamothill.version.config import ModelConfig

__all__ = [
    "EngineView",
    "CompleteRollout",
    "RollBack",
    "OrderOutcome",
    "RolloutEffect",
    "RolloutMachine",
    "RolloutLimits",
    "SendOrder",
]

SERVE = "serve"
DRAIN = "drain"
IDLE_CONFIRM_MS = 2_000


@dataclass(frozen=True, slots=True)
class EngineView:
    """Latest known state of one engine of a model.

    :param server: id of the engine
    :param load: its latest load report; None when it did not answer
    """

    server: ServerId
    load: EngineLoad | None


@dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Limits set by the operators.

    :param concurrent_loads: maximum number of engines loading weights at once, across all models; a
        model with this many engines that are not serving has no further engine drained
    :param tolerated_failures: failed engines that are tolerated; one more rolls the rollout back
    """

    concurrent_loads: int
    tolerated_failures: int


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Effect: send an order to an engine and report its outcome to the machine.

    :param server: id of the engine
    :param kind: kind of the order
    :param model: model that the order applies to
    :param version: version to load or unload
    :param role: role to assign
    """

    server: ServerId
    kind: OrderKind
    model: ModelName
    version: WeightVersion = WeightVersion("")
    role: str = ""


@dataclass(frozen=True, slots=True)
class CompleteRollout:
    """Effect: make the target the current version."""

    model: ModelName
    version: WeightVersion


@dataclass(frozen=True, slots=True)
class RollBack:
    """Effect: roll back by resetting the target to the current version.

    :param failed: engines that failed to load the target
    """

    model: ModelName
    version: WeightVersion
    failed: tuple[ServerId, ...]


RolloutEffect = SendOrder | CompleteRollout | RollBack


class OrderOutcome(Enum):
    """Outcome of an order."""

    DONE = "done"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    INSUFFICIENT_MEMORY = "no_room"
    """The engine does not have the memory for another version."""

    UNKNOWN = "unknown"
    """The order may still take effect until its deadline."""


@dataclass(frozen=True, slots=True)
class _ActiveEngine:
    """State of an engine that answered and is not leaving."""

    server: ServerId
    versions: frozenset[WeightVersion]
    is_serving: bool
    is_idle: bool


class RolloutMachine:
    """Plans the rollout of one model.

    :param model: model to roll out
    """

    def __init__(self, model: ModelName) -> None:
        self._model = model
        self._in_flight: dict[ServerId, SendOrder] = {}
        self._unknown_outcome_until_ms: dict[ServerId, int] = {}
        self._idle_since_ms: dict[ServerId, int] = {}
        self._without_spare_memory: set[ServerId] = set()
        self._failed_engines: set[ServerId] = set()
        self._failed_version = WeightVersion("")
        self._backoff_until_ms: dict[ServerId, int] = {}
        self._has_pending_work = False

    @property
    def loads_in_flight(self) -> int:
        """Number of weight loads that may be in progress."""
        return sum(o.kind is OrderKind.LOAD_WEIGHTS for o in self._in_flight.values())

    @property
    def has_pending_work(self) -> bool:
        """Whether the last plan found an engine that differs from the configuration."""
        return self._has_pending_work

    def plan(
        self,
        config: ModelConfig,
        views: Iterable[EngineView],
        limits: RolloutLimits,
        *,
        free_loads: int,
        now_ms: int,
    ) -> tuple[RolloutEffect, ...]:
        """Return the effects to carry out now.

        :param config: configuration of the model
        :param views: all engines of the model
        :param limits: limits set by the operators
        :param free_loads: number of additional loads that may start now
        :param now_ms: current time, in milliseconds
        """
        engines = [e for e in (self._engine_state(view, now_ms) for view in views) if e is not None]
        self._process_deadlines(config, engines, now_ms)
        self._has_pending_work = any(
            self._next_order(config, engine) is not None for engine in engines
        )
        if (
            len(self._failed_engines) > limits.tolerated_failures
            and config.current != config.target
        ):
            return (RollBack(self._model, config.current, tuple(sorted(self._failed_engines))),)
        if self._can_complete(config, engines):
            return (CompleteRollout(self._model, config.target),)
        return tuple(self._plan_orders(config, engines, limits, free_loads))

    def handle_outcome(self, order: SendOrder, outcome: OrderOutcome, *, deadline_ms: int) -> None:
        """Process the outcome of an order.

        :param order: order that was sent
        :param outcome: its outcome
        :param deadline_ms: time after which an order of unknown outcome can no longer take effect;
            a failed order is not retried earlier
        """
        if outcome is OrderOutcome.UNKNOWN:
            self._unknown_outcome_until_ms[order.server] = deadline_ms
            return
        self._in_flight.pop(order.server, None)
        if outcome in (OrderOutcome.DONE, OrderOutcome.NOT_SENT):
            return
        if (
            outcome is OrderOutcome.INSUFFICIENT_MEMORY
            and order.server not in self._without_spare_memory
        ):
            # Not a failure yet: the load is retried after the engine has been drained and its old
            # versions have been unloaded.
            self._without_spare_memory.add(order.server)
            return
        self._backoff_until_ms[order.server] = deadline_ms
        self._record_failure(order)

    def _record_failure(self, order: SendOrder) -> None:
        if order.kind is OrderKind.LOAD_WEIGHTS:
            self._failed_engines.add(order.server)
            self._failed_version = order.version

    def _process_deadlines(
        self, config: ModelConfig, engines: list[_ActiveEngine], now_ms: int
    ) -> None:
        """Process expired deadlines, and forget failures once the target has changed.

        After the deadline of an order of unknown outcome, the state of the engine tells whether it
        took effect.
        """
        versions = {engine.server: engine.versions for engine in engines}
        for server, until_ms in list(self._unknown_outcome_until_ms.items()):
            if now_ms < until_ms or server not in versions:
                continue
            del self._unknown_outcome_until_ms[server]
            order = self._in_flight.pop(server, None)
            if order is not None and order.version not in versions[server]:
                self._record_failure(order)
        for server, until_ms in list(self._backoff_until_ms.items()):
            if now_ms >= until_ms:
                del self._backoff_until_ms[server]
        if config.target != self._failed_version:
            self._failed_engines.clear()

    def _engine_state(self, view: EngineView, now_ms: int) -> _ActiveEngine | None:
        load = view.load
        if load is None or load.state.leaving:
            self._idle_since_ms.pop(view.server, None)
            return None
        is_drained = load.state.role == DRAIN and load.running == 0 and load.queued_tokens == 0
        if not is_drained:
            self._idle_since_ms.pop(view.server, None)
        idle_since_ms = (
            self._idle_since_ms.setdefault(view.server, now_ms) if is_drained else now_ms
        )
        prefix = f"{self._model}:"
        loaded = (name.removeprefix(prefix) for name in load.state.versions)
        model_versions = frozenset(
            WeightVersion(version)
            for version, name in zip(loaded, load.state.versions, strict=True)
            if name.startswith(prefix)
        )
        # Reports lag behind, so an engine counts as idle only after it has reported so for longer
        # than the age of the report.
        idle_confirm_ms = IDLE_CONFIRM_MS + load.age_ms
        return _ActiveEngine(
            view.server,
            model_versions,
            load.state.role == SERVE,
            now_ms - idle_since_ms >= idle_confirm_ms,
        )

    def _can_complete(self, config: ModelConfig, engines: list[_ActiveEngine]) -> bool:
        """Return whether new requests can switch to the target version."""
        if config.current == config.target or not engines:
            return False
        without_target = [engine for engine in engines if config.target not in engine.versions]
        exempt = self._without_spare_memory | self._failed_engines
        if any(e.server not in exempt or not e.is_serving for e in without_target):
            return False
        if any(engine.server in self._in_flight for engine in engines):
            return False
        serving = sum(e.is_serving and config.target in e.versions for e in engines)
        return serving >= max(1, len(engines) - self._min_serving(engines))

    def _min_serving(self, engines: list[_ActiveEngine]) -> int:
        """Return the number of engines that must keep serving: half of them, rounded up."""
        return (len(engines) + 1) // 2

    def _plan_orders(
        self,
        config: ModelConfig,
        engines: list[_ActiveEngine],
        limits: RolloutLimits,
        free_loads: int,
    ) -> Iterable[SendOrder]:
        drainable = self._drainable_count(config, engines)
        not_serving = sum(not engine.is_serving for engine in engines)
        for engine in engines:
            if engine.server in self._in_flight or engine.server in self._backoff_until_ms:
                continue
            order = self._next_order(config, engine)
            if order is None:
                continue
            if order.kind is OrderKind.LOAD_WEIGHTS:
                if free_loads <= 0:
                    continue
                free_loads -= 1
            if order.role == DRAIN:
                # A model's only engine without memory for a second version can only be updated
                # by draining it, so it is exempt from the serving minimum.
                is_only_engine = len(engines) == 1 and config.target not in engine.versions
                reduces_capacity = config.current in engine.versions and not is_only_engine
                if not_serving >= limits.concurrent_loads or (reduces_capacity and drainable <= 0):
                    continue
                not_serving += 1
                drainable -= reduces_capacity
            self._in_flight[engine.server] = order
            yield order

    def _drainable_count(self, config: ModelConfig, engines: list[_ActiveEngine]) -> int:
        """Return how many engines that accept new requests may be drained."""
        accepting = [
            engine
            for engine in engines
            if engine.is_serving
            and config.current in engine.versions
            and self._in_flight.get(engine.server, _NO_ORDER).role != DRAIN
        ]
        return len(accepting) - self._min_serving(engines)

    def _next_order(self, config: ModelConfig, engine: _ActiveEngine) -> SendOrder | None:
        lacks_target = config.target not in engine.versions
        needs_drain = lacks_target and engine.server in self._without_spare_memory
        wanted_versions = {config.target} if needs_drain else {config.current, config.target}
        surplus_versions = sorted(engine.versions - wanted_versions)
        if lacks_target and not needs_drain:
            return self._load_order(config, engine)
        if not surplus_versions and not lacks_target:
            return None if engine.is_serving else self._role_order(engine, SERVE)
        if engine.is_serving:
            return self._role_order(engine, DRAIN)
        if not engine.is_idle:
            return None
        if surplus_versions:
            kind = OrderKind.UNLOAD_WEIGHTS
            return SendOrder(engine.server, kind, self._model, version=surplus_versions[0])
        return self._load_order(config, engine)

    def _load_order(self, config: ModelConfig, engine: _ActiveEngine) -> SendOrder:
        kind = OrderKind.LOAD_WEIGHTS
        return SendOrder(engine.server, kind, self._model, version=config.target)

    def _role_order(self, engine: _ActiveEngine, role: str) -> SendOrder:
        return SendOrder(engine.server, OrderKind.SET_ROLE, self._model, role=role)


_NO_ORDER = SendOrder(ServerId(""), OrderKind.SET_ROLE, ModelName(""))
