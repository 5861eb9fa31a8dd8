"""Carries out weight swaps under a duty lease, in threads of its own."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatchmethod
from typing import Protocol

from bergamothill.clock import Clock, seconds
from bergamothill.errors import BergamothillError, LeaseLostError, UnavailableError
from bergamothill.ids import EntryInstanceId, FencingNumber, ModelName, ServerId
from bergamothill.logs import EventLog
from bergamothill.process.lease import DutyLease
from bergamothill.process.orderturn import OrderTurn
from bergamothill.version.weightgoal import WeightGoal
from bergamothill.version.weightswap import (
    AskState,
    EngineState,
    OrderSwap,
    SwapEffect,
    SwapEngine,
    SwapOutcome,
    WeightSwap,
)

__all__ = ["EngineCalls", "SwapDuty"]

IDLE_TICK_MS = 500  # three in the life of a lease, so that a holder that died is replaced soon
BUSY_TICK_MS = 40

VACANCY_WAIT_MS = 3_000
"""Two lives of the lease: a watch that has gone silent is noticed soon after."""

_log = EventLog("weights")


class EngineCalls(Protocol):
    """Calls to engines."""

    def ask_state(self, engine: SwapEngine) -> EngineState:
        """Ask an engine for its state."""

    def order_swap(
        self, order: OrderSwap, holder: EntryInstanceId, fencing: FencingNumber
    ) -> SwapOutcome:
        """Order an engine to take new weights."""


class SwapDuty:
    """The duty of moving engines to named weight versions.

    :param lease: lease on the duty
    :param turn: keeps the orders of two holders apart
    :param clock: source of time
    :param calls: calls to engines
    :param view: returns goals and listed engines
    :param holder: this entry instance
    :param checks_fencing: whether engines refuse old fencing numbers
    :param on_swapped: told of each engine that is seen with its new weights
    """

    def __init__(
        self,
        lease: DutyLease,
        turn: OrderTurn,
        clock: Clock,
        calls: EngineCalls,
        view: Callable[[], tuple[Mapping[ModelName, WeightGoal], tuple[SwapEngine, ...]]],
        holder: EntryInstanceId,
        *,
        checks_fencing: bool,
        on_swapped: Callable[[SwapEngine, int], None],
    ) -> None:
        self._lease = lease
        self._turn = turn
        self._clock = clock
        self._calls = calls
        self._view = view
        self._holder = holder
        self._checks_fencing = checks_fencing
        self._on_swapped = on_swapped
        self._machine = WeightSwap()
        self._stopped = False
        self._wake = threading.Event()

    def run(self) -> None:
        """Hold the duty while it falls to this entry instance, until stopped."""
        with ThreadPoolExecutor(thread_name_prefix="weights") as pool:
            while not self._stopped:
                is_busy = has_waited = False
                try:
                    is_busy = self._tick(pool)
                    has_waited = self._lease.wait_change(VACANCY_WAIT_MS)
                except BergamothillError as error:
                    _log.warning(
                        "swap_failed", step=error.step, peer=error.peer, reason=error.message
                    )
                if not has_waited:
                    self._wake.wait(seconds(BUSY_TICK_MS if is_busy else IDLE_TICK_MS))
                    self._wake.clear()
        self._lease.release()

    def stop(self) -> None:
        """Give the duty up."""
        self._stopped = True
        self._wake.set()

    @property
    def is_held(self) -> bool:
        """Whether the duty falls to this entry instance now."""
        return self._lease.is_held

    def wake(self) -> None:
        """Act at once on a version that was named, if the duty is held here."""
        if self._lease.is_held:
            self._wake.set()

    def _tick(self, pool: ThreadPoolExecutor) -> bool:
        if not self._lease.tick():
            self._machine = WeightSwap()
            return False
        goals, engines = self._view()
        effects = self._machine.plan(goals, engines, self._clock.now_ms())
        if self._machine.is_idle:
            self._turn.rest(self._clock.now_ms())
            return False
        list(pool.map(self._carry_out, self._permitted(effects)))
        return True

    def _permitted(self, effects: tuple[SwapEffect, ...]) -> list[SwapEffect]:
        """Return the effects without orders to engines that a predecessor may still order."""
        orders = [effect for effect in effects if isinstance(effect, OrderSwap)]
        now_ms = self._clock.now_ms()
        permitted: frozenset[ServerId] = frozenset()
        if orders:
            servers = (order.engine.server for order in orders)
            try:
                permitted = self._turn.open(servers, now_ms, must_wait=not self._checks_fencing)
            except BergamothillError as error:
                _log.info("order_not_marked", step=error.step, reason=error.message)
        held_back = [order for order in orders if order.engine.server not in permitted]
        for order in held_back:
            _log.info("order_held_back", server=order.engine.server, version=order.version)
            self._machine.ordered(order, SwapOutcome.HELD_BACK, now_ms)
        return [effect for effect in effects if effect not in held_back]

    def _carry_out(self, effect: SwapEffect) -> None:
        try:
            self._perform(effect)
        except BergamothillError as error:
            _log.info("swap_step_failed", step=error.step, peer=error.peer, reason=error.message)

    @singledispatchmethod
    def _perform(self, effect: SwapEffect) -> None:
        raise TypeError(f"no such effect: {effect!r}")

    @_perform.register
    def _(self, effect: AskState) -> None:
        state = self._calls.ask_state(effect.engine)
        if self._machine.reported(effect.engine, state):
            version = state.weights[effect.engine.model]
            _log.info("weights_swapped", server=effect.engine.server, version=version)
            self._on_swapped(effect.engine, version)

    @_perform.register
    def _(self, effect: OrderSwap) -> None:
        try:
            permit = self._lease.permit(refuses_old_numbers=True)
        except (LeaseLostError, UnavailableError):
            self._machine.ordered(effect, SwapOutcome.NOT_SENT, self._clock.now_ms())
            raise
        outcome = self._calls.order_swap(effect, self._holder, permit.fencing)
        now_ms = self._clock.now_ms()
        self._turn.ordered(now_ms)
        _log.info(
            "weights_ordered",
            server=effect.engine.server,
            version=effect.version,
            mode=effect.mode.value,
            orders_accepted=effect.orders_accepted,
            fencing=permit.fencing,
            outcome=outcome.value,
        )
        self._machine.ordered(effect, outcome, now_ms)
