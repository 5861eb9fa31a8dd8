"""Moves engines to the weight version that the operator named, few at a time; no I/O.

What is to be done follows from the goals and from what the engines report, so that any holder of
the duty can go on. The machine remembers only the swaps that it ordered itself.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from bergamothill.ids import ModelName, ServerId
from bergamothill.version.weightgoal import WeightGoal

__all__ = [
    "AskState",
    "EngineState",
    "OrderSwap",
    "SwapEngine",
    "SwapMode",
    "SwapOutcome",
    "WeightSwap",
]

LOAD_SHARE = 0.4
"""Share of a model's engines that load at once: beyond it, each load takes longer."""

ASK_INTERVAL_MS = 120  # a load takes about 300 ms, and reports are some hundred ms old

SWAP_PATIENCE_MS = 4_000
"""A swap that is not seen by then gives its place to another engine."""

REFUSED_REST_MS = 200


class SwapMode(Enum):
    """What becomes of the runs in progress."""

    FINISH = "finish"
    """Runs finish first, and no new one starts meanwhile."""

    CONTINUE = "continue"
    """Runs go on under the new weights."""


class SwapOutcome(Enum):
    """Reply to an order."""

    ACCEPTED = "accepted"
    ALREADY_HOLDS = "already_holds"
    BUSY = "busy"
    """Another order is in progress, or came before."""

    REFUSED = "refused"
    """The engine will not carry it out as it stands."""

    HELD_BACK = "held_back"
    """A previous holder of the duty may still order the engine."""

    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine reports of itself, as of some hundred ms ago.

    :param weights: version of each model
    :param is_busy: an order is in progress
    :param orders_accepted: number of orders since its start
    :param running: requests that run
    :param waiting: requests that wait
    """

    weights: Mapping[ModelName, int]
    is_busy: bool
    orders_accepted: int
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class SwapEngine:
    """An engine as it is listed.

    :param server: id
    :param started_wall_ms: start of its incarnation
    :param address: ``host:port``
    :param model: model
    :param version: weight version that it is known to have
    """

    server: ServerId
    started_wall_ms: int
    address: str
    model: ModelName
    version: int


@dataclass(frozen=True, slots=True)
class AskState:
    """Ask an engine for its state; its reply goes to :meth:`WeightSwap.reported`."""

    engine: SwapEngine


@dataclass(frozen=True, slots=True)
class OrderSwap:
    """Order an engine to take new weights; the outcome goes to :meth:`WeightSwap.ordered`.

    :param engine: engine
    :param version: version to take
    :param mode: what becomes of its runs
    :param orders_accepted: number of orders that the engine must have accepted before, so that a
        repeated or late copy of this order has no effect
    """

    engine: SwapEngine
    version: int
    mode: SwapMode
    orders_accepted: int


SwapEffect = AskState | OrderSwap


@dataclass(slots=True)
class _Swap:
    """A swap under way."""

    engine: SwapEngine
    version: int
    since_ms: int
    asked_ms: int = 0
    state: EngineState | None = None
    is_ordered: bool = False


class WeightSwap:
    """Swaps of all models.

    :param mode: what becomes of runs in progress
    """

    def __init__(self, mode: SwapMode = SwapMode.CONTINUE) -> None:
        self._mode = mode
        self._swaps: dict[ServerId, _Swap] = {}
        self._rests_until_ms: dict[ServerId, int] = {}
        self._finished: dict[tuple[ServerId, int], int] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no swap is under way."""
        return not self._swaps

    def plan(
        self, goals: Mapping[ModelName, WeightGoal], engines: Iterable[SwapEngine], now_ms: int
    ) -> tuple[SwapEffect, ...]:
        """Return what to do now.

        :param goals: versions that were named
        :param engines: listed engines that are not leaving
        :param now_ms: present instant, in milliseconds
        """
        engines = tuple(engines)
        self._forget(engines, goals, now_ms)
        for model, goal in goals.items():
            ours = [engine for engine in engines if engine.model == model]
            self._start(goal, ours, now_ms)
        return tuple(self._effects(now_ms))

    def _forget(
        self,
        engines: tuple[SwapEngine, ...],
        goals: Mapping[ModelName, WeightGoal],
        now_ms: int,
    ) -> None:
        listed = {(engine.server, engine.started_wall_ms): engine.version for engine in engines}
        for server, swap in list(self._swaps.items()):
            engine = swap.engine
            goal = goals.get(engine.model)
            is_over = now_ms - swap.since_ms >= SWAP_PATIENCE_MS
            is_outdated = goal is None or (goal.version != swap.version and not swap.is_ordered)
            if listed.get((engine.server, engine.started_wall_ms), 0) >= swap.version:
                self._finish(swap)
            elif (engine.server, engine.started_wall_ms) not in listed or is_over or is_outdated:
                del self._swaps[server]
        self._finished = {key: v for key, v in self._finished.items() if key in listed}

    def _start(self, goal: WeightGoal, engines: list[SwapEngine], now_ms: int) -> None:
        most = max(1, int(LOAD_SHARE * len(engines)))
        under_way = sum(swap.engine.model == goal.model for swap in self._swaps.values())
        for engine in engines:
            if under_way >= most:
                return
            if self._version(engine) >= goal.version or engine.server in self._swaps:
                continue
            if self._rests_until_ms.get(engine.server, 0) > now_ms:
                continue
            self._swaps[engine.server] = _Swap(engine, goal.version, now_ms)
            under_way += 1

    def _version(self, engine: SwapEngine) -> int:
        key = (engine.server, engine.started_wall_ms)
        return max(engine.version, self._finished.get(key, 0))

    def _effects(self, now_ms: int) -> Iterable[SwapEffect]:
        for swap in self._swaps.values():
            if swap.state is not None and not swap.is_ordered and not swap.state.is_busy:
                swap.is_ordered = True
                orders_accepted = swap.state.orders_accepted
                swap.state = None
                swap.asked_ms = now_ms
                yield OrderSwap(swap.engine, swap.version, self._mode, orders_accepted)
            elif swap.asked_ms == 0 or now_ms - swap.asked_ms >= ASK_INTERVAL_MS:
                swap.asked_ms = now_ms
                yield AskState(swap.engine)

    def reported(self, engine: SwapEngine, state: EngineState | None) -> bool:
        """Take the state of an engine.

        :param engine: engine that was asked
        :param state: its reply; None when it gave none
        :returns: whether its swap is finished
        """
        swap = self._swaps.get(engine.server)
        if swap is None or state is None:
            return False
        if state.weights.get(engine.model, 0) >= swap.version and not state.is_busy:
            self._finish(swap)
            return True
        swap.state = state
        return False

    def ordered(self, order: OrderSwap, outcome: SwapOutcome, now_ms: int) -> None:
        """Take the outcome of an order.

        :param order: order that was sent
        :param outcome: what the engine replied
        :param now_ms: present instant, in milliseconds
        """
        swap = self._swaps.get(order.engine.server)
        if swap is None:
            return
        if outcome is SwapOutcome.ALREADY_HOLDS:
            self._finish(swap)
        elif outcome in (SwapOutcome.REFUSED, SwapOutcome.HELD_BACK):
            del self._swaps[order.engine.server]
            self._rests_until_ms[order.engine.server] = now_ms + REFUSED_REST_MS
        elif outcome in (SwapOutcome.BUSY, SwapOutcome.NOT_SENT, SwapOutcome.UNKNOWN):
            # The next state tells whether the order was taken; a copy with the same count of
            # accepted orders can take effect only once.
            swap.is_ordered = False

    def _finish(self, swap: _Swap) -> None:
        engine = swap.engine
        self._finished[(engine.server, engine.started_wall_ms)] = swap.version
        del self._swaps[engine.server]
