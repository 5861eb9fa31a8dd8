"""Weight rollout as a state machine: which order each engine gets next; no I/O.

What is to be done follows from the configuration and the engines' states alone, so that any holder
of the duty can go on. Memory is kept only of orders under way, idle times and failed loads; a new
holder starts these anew, which delays but never cuts a run short.
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
    "FinishOrder",
    "GoBack",
    "OrderOutcome",
    "RolloutEffect",
    "RolloutMachine",
    "RolloutRule",
    "SendOrder",
]

SERVE = "serve"
DRAIN = "drain"
IDLE_SETTLE_MS = 2_000


@dataclass(frozen=True, slots=True)
class EngineView:
    """What is known of one engine of a model.

    :param server: engine
    :param load: its latest report; None when it did not answer
    """

    server: ServerId
    load: EngineLoad | None


@dataclass(frozen=True, slots=True)
class RolloutRule:
    """Operators' bounds.

    :param concurrent_loads: engines that may load weights at once, over all models
    :param failures: engines that may fail to load before the rollout goes back
    """

    concurrent_loads: int
    failures: int


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to an engine, and report its outcome.

    :param server: engine
    :param kind: what it is to do
    :param model: model concerned
    :param version: version to load or unload
    :param role: role to take
    """

    server: ServerId
    kind: OrderKind
    model: ModelName
    version: WeightVersion = WeightVersion("")
    role: str = ""


@dataclass(frozen=True, slots=True)
class FinishOrder:
    """Make the target the current version."""

    model: ModelName
    version: WeightVersion


@dataclass(frozen=True, slots=True)
class GoBack:
    """Return the target to the current version.

    :param failed: engines that could not load the target
    """

    model: ModelName
    version: WeightVersion
    failed: tuple[ServerId, ...]


RolloutEffect = SendOrder | FinishOrder | GoBack


class OrderOutcome(Enum):
    """What became of an order."""

    DONE = "done"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    NO_ROOM = "no_room"
    """The engine cannot hold a further version."""

    UNKNOWN = "unknown"
    """The order may still take effect until its deadline."""


@dataclass(frozen=True, slots=True)
class _Engine:
    """One engine that answered."""

    server: ServerId
    versions: frozenset[WeightVersion]
    is_serving: bool
    is_idle: bool


class RolloutMachine:
    """Plans the orders of one model.

    :param model: model
    """

    def __init__(self, model: ModelName) -> None:
        self._model = model
        self._under_way: dict[ServerId, SendOrder] = {}
        self._blocked_until_ms: dict[ServerId, int] = {}
        self._idle_since_ms: dict[ServerId, int] = {}
        self._without_room: set[ServerId] = set()
        self._failed: set[ServerId] = set()
        self._failed_version = WeightVersion("")
        self._resting_until_ms: dict[ServerId, int] = {}
        self._is_busy = False

    @property
    def loads_under_way(self) -> int:
        """Number of loads that may be running."""
        return sum(o.kind is OrderKind.LOAD_WEIGHTS for o in self._under_way.values())

    @property
    def is_busy(self) -> bool:
        """Whether the last plan saw an engine that is not as configured."""
        return self._is_busy

    def plan(
        self,
        config: ModelConfig,
        views: Iterable[EngineView],
        rule: RolloutRule,
        *,
        free_loads: int,
        now_ms: int,
    ) -> tuple[RolloutEffect, ...]:
        """Return what to do now.

        :param config: model as configured
        :param views: all engines of the model
        :param rule: operators' bounds
        :param free_loads: further loads that may start now
        :param now_ms: present instant, in milliseconds
        """
        engines = [e for e in (self._engine(view, now_ms) for view in views) if e is not None]
        self._settle(config, engines, now_ms)
        self._is_busy = any(self._next_order(config, engine) is not None for engine in engines)
        if len(self._failed) > rule.failures and config.current != config.target:
            return (GoBack(self._model, config.current, tuple(sorted(self._failed))),)
        if self._is_ready(config, engines):
            return (FinishOrder(self._model, config.target),)
        return tuple(self._orders(config, engines, rule, free_loads))

    def report(self, order: SendOrder, outcome: OrderOutcome, *, deadline_ms: int) -> None:
        """Take the outcome of an order.

        :param order: order that was sent
        :param outcome: what became of it
        :param deadline_ms: instant at which an order of unknown outcome loses its effect
        """
        if outcome is OrderOutcome.UNKNOWN:
            self._blocked_until_ms[order.server] = deadline_ms
            return
        self._under_way.pop(order.server, None)
        if outcome in (OrderOutcome.DONE, OrderOutcome.NOT_SENT):
            return
        if outcome is OrderOutcome.NO_ROOM and order.server not in self._without_room:
            self._without_room.add(order.server)
            return
        self._resting_until_ms[order.server] = deadline_ms
        self._note_failure(order)

    def _note_failure(self, order: SendOrder) -> None:
        if order.kind is OrderKind.LOAD_WEIGHTS:
            self._failed.add(order.server)
            self._failed_version = order.version

    def _settle(self, config: ModelConfig, engines: list[_Engine], now_ms: int) -> None:
        """Judge orders of unknown outcome by the engine's state once their deadline is over."""
        versions = {engine.server: engine.versions for engine in engines}
        for server, until_ms in list(self._blocked_until_ms.items()):
            if now_ms < until_ms or server not in versions:
                continue
            del self._blocked_until_ms[server]
            order = self._under_way.pop(server, None)
            if order is not None and order.version not in versions[server]:
                self._note_failure(order)
        for server, until_ms in list(self._resting_until_ms.items()):
            if now_ms >= until_ms:
                del self._resting_until_ms[server]
        if config.target != self._failed_version:
            self._failed.clear()

    def _engine(self, view: EngineView, now_ms: int) -> _Engine | None:
        load = view.load
        if load is None or load.state.leaving:
            self._idle_since_ms.pop(view.server, None)
            return None
        is_drained = load.state.role == DRAIN and load.running == 0 and load.queued_tokens == 0
        if not is_drained:
            self._idle_since_ms.pop(view.server, None)
        since_ms = self._idle_since_ms.setdefault(view.server, now_ms) if is_drained else now_ms
        prefix = f"{self._model}:"
        loaded = (name.removeprefix(prefix) for name in load.state.versions)
        ours = frozenset(
            WeightVersion(version)
            for version, name in zip(loaded, load.state.versions, strict=True)
            if name.startswith(prefix)
        )
        # Reports lag: an engine counts as idle once it said so for longer than a report's age.
        settled_ms = IDLE_SETTLE_MS + load.age_ms
        return _Engine(view.server, ours, load.state.role == SERVE, now_ms - since_ms >= settled_ms)

    def _is_ready(self, config: ModelConfig, engines: list[_Engine]) -> bool:
        """Tell whether new requests can move to the target."""
        if config.current == config.target or not engines:
            return False
        lacking = [engine for engine in engines if config.target not in engine.versions]
        excused = self._without_room | self._failed
        if any(e.server not in excused or not e.is_serving for e in lacking):
            return False
        if any(engine.server in self._under_way for engine in engines):
            return False
        serving = sum(e.is_serving and config.target in e.versions for e in engines)
        return serving >= max(1, len(engines) - self._least_serving(engines))

    def _least_serving(self, engines: list[_Engine]) -> int:
        """Return how many engines have to go on serving."""
        return (len(engines) + 1) // 2

    def _orders(
        self, config: ModelConfig, engines: list[_Engine], rule: RolloutRule, free_loads: int
    ) -> Iterable[SendOrder]:
        spare = self._spare(config, engines)
        out = sum(not engine.is_serving for engine in engines)
        for engine in engines:
            if engine.server in self._under_way or engine.server in self._resting_until_ms:
                continue
            order = self._next_order(config, engine)
            if order is None:
                continue
            if order.kind is OrderKind.LOAD_WEIGHTS:
                if free_loads <= 0:
                    continue
                free_loads -= 1
            if order.role == DRAIN:
                # A single engine without room for a second version can only be swapped alone.
                is_alone = len(engines) == 1 and config.target not in engine.versions
                counts = config.current in engine.versions and not is_alone
                if out >= rule.concurrent_loads or (counts and spare <= 0):
                    continue
                out += 1
                spare -= counts
            self._under_way[engine.server] = order
            yield order

    def _spare(self, config: ModelConfig, engines: list[_Engine]) -> int:
        """Return how many engines that take new requests may stop doing so."""
        taking = [
            engine
            for engine in engines
            if engine.is_serving
            and config.current in engine.versions
            and self._under_way.get(engine.server, _NO_ORDER).role != DRAIN
        ]
        return len(taking) - self._least_serving(engines)

    def _next_order(self, config: ModelConfig, engine: _Engine) -> SendOrder | None:
        lacks = config.target not in engine.versions
        swaps = lacks and engine.server in self._without_room
        kept = {config.target} if swaps else {config.current, config.target}
        surplus = sorted(engine.versions - kept)
        if lacks and not swaps:
            return self._load(config, engine)
        if not surplus and not lacks:
            return None if engine.is_serving else self._role(engine, SERVE)
        if engine.is_serving:
            return self._role(engine, DRAIN)
        if not engine.is_idle:
            return None
        if surplus:
            kind = OrderKind.UNLOAD_WEIGHTS
            return SendOrder(engine.server, kind, self._model, version=surplus[0])
        return self._load(config, engine)

    def _load(self, config: ModelConfig, engine: _Engine) -> SendOrder:
        kind = OrderKind.LOAD_WEIGHTS
        return SendOrder(engine.server, kind, self._model, version=config.target)

    def _role(self, engine: _Engine, role: str) -> SendOrder:
        return SendOrder(engine.server, OrderKind.SET_ROLE, self._model, role=role)


_NO_ORDER = SendOrder(ServerId(""), OrderKind.SET_ROLE, ModelName(""))
