"""Sans-I/O state machine that moves engines to their target weight versions, a few at a time.

The next steps are derived from the target versions and the engines' reports, so that any lease
holder can continue. The machine remembers only the swaps that it started itself.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from bergamothill.ids import ModelName, ServerId
from bergamothill.version.weighttarget import WeightTarget

__all__ = [
    "EngineModel",
    "QueryState",
    "SwapEngineState",
    "OrderSwap",
    "SwapEngine",
    "SwapMode",
    "SwapOutcome",
    "WeightSwap",
]

MAX_LOADING_SHARE = 0.4
"""Maximum share of a model's engines loading at once; with more, each load takes longer."""

# A load takes about 300 ms, and reports are a few hundred ms old.
QUERY_INTERVAL_MS = 120

SWAP_TIMEOUT_MS = 4_000
"""A swap not seen to complete by then is abandoned, so that another engine can start."""

REFUSED_BACKOFF_MS = 200

MAX_FAILED_QUERIES = 2
"""Failed queries in a row after which a swap that was not ordered makes room for another engine."""

UNREACHABLE_BACKOFF_MS = 1_500


class SwapMode(Enum):
    """Handling of the runs in progress during a swap."""

    FINISH = "finish"
    """Runs finish first, and no new run starts before the swap."""

    CONTINUE = "continue"
    """Runs continue with the new weights."""


class SwapOutcome(Enum):
    """Outcome of a swap order."""

    ACCEPTED = "accepted"
    ALREADY_HOLDS = "already_holds"
    BUSY = "busy"
    """Another order is in progress, or was accepted first."""

    REFUSED = "refused"
    """The engine rejects the order in its current form."""

    DEFERRED = "held_back"
    """A previous lease holder may still send orders to the engine."""

    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SwapEngineState:
    """State reported by an engine, a few hundred milliseconds old.

    :param weights: loaded weight version of each model
    :param is_busy: an order is in progress
    :param orders_accepted: number of orders accepted since the engine started
    :param running: number of running requests
    :param waiting: number of queued requests
    """

    weights: Mapping[ModelName, int]
    is_busy: bool
    orders_accepted: int
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class EngineModel:
    """One of the models of an engine, which has a weight version of its own.

    :param server: id of the engine
    :param started_wall_ms: start time of its incarnation, in milliseconds since the epoch
    :param model: model that it serves
    """

    server: ServerId
    started_wall_ms: int
    model: ModelName


@dataclass(frozen=True, slots=True)
class SwapEngine:
    """Engine in the instance list, with one of its models.

    :param server: id of the engine
    :param started_wall_ms: start time of its incarnation, in milliseconds since the epoch
    :param address: ``host:port``
    :param model: model that it serves
    :param version: weight version that it is known to have loaded
    """

    server: ServerId
    started_wall_ms: int
    address: str
    model: ModelName
    version: int

    @property
    def key(self) -> EngineModel:
        """What the version belongs to."""
        return EngineModel(self.server, self.started_wall_ms, self.model)


@dataclass(frozen=True, slots=True)
class QueryState:
    """Effect: query an engine's state; the reply goes to :meth:`WeightSwap.handle_state`."""

    engine: SwapEngine


@dataclass(frozen=True, slots=True)
class OrderSwap:
    """Effect: order an engine to load new weights.

    The outcome goes to :meth:`WeightSwap.handle_outcome`.

    :param engine: engine to update
    :param version: weight version to load
    :param mode: handling of the runs in progress
    :param orders_accepted: number of orders that the engine must have accepted so far, so that a
        repeated or delayed copy of this order has no effect
    """

    engine: SwapEngine
    version: int
    mode: SwapMode
    orders_accepted: int


SwapEffect = QueryState | OrderSwap


@dataclass(slots=True)
class _Swap:
    """A swap in progress."""

    engine: SwapEngine
    version: int
    started_ms: int
    queried_ms: int = 0
    failed_queries: int = 0
    state: SwapEngineState | None = None
    is_ordered: bool = False


class WeightSwap:
    """Plans the weight swaps of all models.

    :param mode: handling of the runs in progress
    """

    def __init__(self, mode: SwapMode = SwapMode.CONTINUE) -> None:
        self._mode = mode
        self._swaps: dict[ServerId, _Swap] = {}
        """By server, as an engine carries out one order at a time, whatever model it names."""

        self._backoff_until_ms: dict[ServerId, int] = {}
        self._deferred_until_ms = 0
        self._finished_versions: dict[EngineModel, int] = {}
        self._failed_ms: dict[EngineModel, int] = {}
        """Time of the latest failure of a swap since the last one that finished."""

    @property
    def is_idle(self) -> bool:
        """Whether no swap is in progress."""
        return not self._swaps

    def has_deferred_orders(self, now_ms: int) -> bool:
        """Return whether an order is due shortly that was deferred a moment ago.

        :param now_ms: current time, in milliseconds
        """
        return now_ms < self._deferred_until_ms

    def plan(
        self, targets: Mapping[ModelName, WeightTarget], engines: Iterable[SwapEngine], now_ms: int
    ) -> tuple[SwapEffect, ...]:
        """Return the effects to carry out now.

        :param targets: target version of each model
        :param engines: engines in the instance list that are not leaving
        :param now_ms: current time, in milliseconds
        """
        engines = tuple(engines)
        self._remove_ended_swaps(engines, targets, now_ms)
        self._start_swaps(targets, engines, now_ms)
        return tuple(self._effects(now_ms))

    def _remove_ended_swaps(
        self,
        engines: tuple[SwapEngine, ...],
        targets: Mapping[ModelName, WeightTarget],
        now_ms: int,
    ) -> None:
        listed = {engine.key: engine.version for engine in engines}
        for server, swap in list(self._swaps.items()):
            engine = swap.engine
            target = targets.get(engine.model)
            is_timed_out = now_ms - swap.started_ms >= SWAP_TIMEOUT_MS
            is_outdated = target is None or (target.version != swap.version and not swap.is_ordered)
            if listed.get(engine.key, 0) >= swap.version:
                self._finish(swap)
            elif engine.key not in listed or is_outdated:
                del self._swaps[server]
            elif is_timed_out:
                self._fail(swap, now_ms)
        servers = {key.server for key in listed}
        self._backoff_until_ms = {
            server: until_ms
            for server, until_ms in self._backoff_until_ms.items()
            if server in servers
        }
        self._finished_versions = {
            key: v for key, v in self._finished_versions.items() if key in listed
        }
        self._failed_ms = {key: ms for key, ms in self._failed_ms.items() if key in listed}

    def _start_swaps(
        self,
        targets: Mapping[ModelName, WeightTarget],
        engines: tuple[SwapEngine, ...],
        now_ms: int,
    ) -> None:
        """Start swaps, first those of the model whose latest failure is longest ago.

        A model or an engine whose swaps fail again and again thus keeps no other from its turn.
        """
        servers: dict[ModelName, set[ServerId]] = {}
        for engine in engines:
            servers.setdefault(engine.model, set()).add(engine.server)
        due = [
            engine
            for model, target in targets.items()
            for engine in engines
            if engine.model == model and self._effective_version(engine) < target.version
        ]
        model_failed_ms: dict[ModelName, int] = {}
        for key, failed_ms in self._failed_ms.items():
            model_failed_ms[key.model] = max(failed_ms, model_failed_ms.get(key.model, 0))

        def turn(engine: SwapEngine) -> tuple[int, int]:
            return (model_failed_ms.get(engine.model, 0), self._failed_ms.get(engine.key, 0))

        for engine in sorted(due, key=turn):
            is_backing_off = self._backoff_until_ms.get(engine.server, 0) > now_ms
            if is_backing_off or engine.server in self._swaps:
                continue
            if self._has_room(servers[engine.model]):
                version = targets[engine.model].version
                self._swaps[engine.server] = _Swap(engine, version, now_ms)

    def _has_room(self, servers: set[ServerId]) -> bool:
        """Return whether one more of a model's engines may load; loads of other models count."""
        loading = sum(server in servers for server in self._swaps)
        return loading < max(1, int(MAX_LOADING_SHARE * len(servers)))

    def _effective_version(self, engine: SwapEngine) -> int:
        return max(engine.version, self._finished_versions.get(engine.key, 0))

    def _effects(self, now_ms: int) -> Iterable[SwapEffect]:
        for swap in self._swaps.values():
            if swap.state is not None and not swap.is_ordered and not swap.state.is_busy:
                swap.is_ordered = True
                orders_accepted = swap.state.orders_accepted
                swap.state = None
                swap.queried_ms = now_ms
                yield OrderSwap(swap.engine, swap.version, self._mode, orders_accepted)
            elif swap.queried_ms == 0 or now_ms - swap.queried_ms >= QUERY_INTERVAL_MS:
                swap.queried_ms = now_ms
                yield QueryState(swap.engine)

    def handle_state(self, engine: SwapEngine, state: SwapEngineState | None) -> bool:
        """Process the reported state of an engine.

        :param engine: engine that was queried
        :param state: reported state; None when the query failed
        :returns: whether its swap is finished
        """
        swap = self._swap_of(engine)
        if swap is None:
            return False
        if state is None:
            self._handle_failed_query(swap)
            return False
        swap.failed_queries = 0
        if state.weights.get(engine.model, 0) >= swap.version and not state.is_busy:
            self._finish(swap)
            return True
        swap.state = state
        return False

    def _swap_of(self, engine: SwapEngine) -> _Swap | None:
        """Return the swap of an engine's model; None if it has ended."""
        swap = self._swaps.get(engine.server)
        return swap if swap is not None and swap.engine.key == engine.key else None

    def _handle_failed_query(self, swap: _Swap) -> None:
        swap.failed_queries += 1
        if swap.failed_queries >= MAX_FAILED_QUERIES and not swap.is_ordered:
            self._fail(swap, swap.queried_ms)
            self._backoff_until_ms[swap.engine.server] = swap.queried_ms + UNREACHABLE_BACKOFF_MS

    def handle_outcome(self, order: OrderSwap, outcome: SwapOutcome, now_ms: int) -> None:
        """Process the outcome of an order.

        :param order: order that was sent
        :param outcome: its outcome
        :param now_ms: current time, in milliseconds
        """
        swap = self._swap_of(order.engine)
        if swap is None:
            return
        if outcome is SwapOutcome.ALREADY_HOLDS:
            self._finish(swap)
        elif outcome is SwapOutcome.REFUSED:
            self._fail(swap, now_ms)
            self._backoff_until_ms[order.engine.server] = now_ms + REFUSED_BACKOFF_MS
        elif outcome is SwapOutcome.DEFERRED:
            del self._swaps[order.engine.server]
            self._backoff_until_ms[order.engine.server] = now_ms + REFUSED_BACKOFF_MS
            self._deferred_until_ms = now_ms + REFUSED_BACKOFF_MS
        elif outcome in (SwapOutcome.BUSY, SwapOutcome.NOT_SENT, SwapOutcome.UNKNOWN):
            # The next reported state shows whether the order was accepted. Repeating it is safe:
            # with the same count of accepted orders it can take effect only once.
            swap.is_ordered = False

    def _fail(self, swap: _Swap, now_ms: int) -> None:
        self._failed_ms[swap.engine.key] = now_ms
        del self._swaps[swap.engine.server]

    def _finish(self, swap: _Swap) -> None:
        engine = swap.engine
        self._finished_versions[engine.key] = swap.version
        self._failed_ms.pop(engine.key, None)
        del self._swaps[engine.server]
