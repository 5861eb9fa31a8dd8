"""Swaps the weights of engines while the duty lease is held, in separate threads."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatchmethod
from typing import Protocol

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.errors import BergamothillError, LeaseLostError, UnavailableError
from bergamothill.ids import EntryInstanceId, FencingNumber, ModelName, ServerId
from bergamothill.logs import EventLog
from bergamothill.process.lease import DutyLease
from bergamothill.process.ordergap import OrderGapGuard
from bergamothill.version.weightswap import (
    OrderSwap,
    QueryState,
    SwapEffect,
    SwapEngine,
    SwapEngineState,
    SwapOutcome,
    WeightSwap,
)
from bergamothill.version.weighttarget import WeightTarget

__all__ = ["EngineCalls", "SwapDuty"]

IDLE_TICK_MS = 500  # three ticks per lease TTL, so that a holder that died is replaced soon
BUSY_TICK_MS = 40

ORDER_TIMEOUT_MS = 700

LEASE_WATCH_TIMEOUT_MS = 3_000
"""Twice the lease TTL, so that a watch that stopped reporting is noticed soon after."""

_log = EventLog("weights")


class EngineCalls(Protocol):
    """Requests to engines."""

    def fetch_swap_state(self, engine: SwapEngine) -> SwapEngineState:
        """Query the state of an engine."""

    def order_swap(
        self, order: OrderSwap, holder: EntryInstanceId, fencing: FencingNumber, timeout_ms: int
    ) -> SwapOutcome:
        """Order an engine to load new weights."""


class SwapDuty:
    """Duty that moves the engines to the weight versions set as targets.

    :param lease: lease on the duty
    :param order_gap: enforces the time gap between the orders of successive holders
    :param clock: source of time
    :param calls: sends requests to engines
    :param view: returns weight targets and listed engines
    :param holder: this entry instance
    :param enforces_fencing: whether engines reject outdated fencing numbers
    :param on_swapped: called for each engine that reports its new weights
    :param may_contend: whether to ask for the lease while another instance may hold it
    :param reaches_engines: whether this instance can carry the duty out; it gives it up otherwise
    """

    def __init__(
        self,
        lease: DutyLease,
        order_gap: OrderGapGuard,
        clock: Clock,
        calls: EngineCalls,
        view: Callable[[], tuple[Mapping[ModelName, WeightTarget], tuple[SwapEngine, ...]]],
        holder: EntryInstanceId,
        *,
        enforces_fencing: bool,
        on_swapped: Callable[[SwapEngine, int], None],
        may_contend: Callable[[], bool] = lambda: True,
        reaches_engines: Callable[[], bool] = lambda: True,
    ) -> None:
        self._lease = lease
        self._order_gap = order_gap
        self._clock = clock
        self._calls = calls
        self._view = view
        self._holder = holder
        self._enforces_fencing = enforces_fencing
        self._on_swapped = on_swapped
        self._may_contend = may_contend
        self._reaches_engines = reaches_engines
        self._was_holder = False
        self._machine = WeightSwap()
        self._stopped = False
        self._wake = threading.Event()

    def run(self) -> None:
        """Try to hold the duty, and swap weights while it is held, until stopped."""
        with ThreadPoolExecutor(thread_name_prefix="weights") as pool:
            while not self._stopped:
                is_busy = has_waited = False
                try:
                    if self._was_holder or self._may_contend():
                        is_busy = self._tick(pool)
                        has_waited = self._lease.wait_for_change(LEASE_WATCH_TIMEOUT_MS)
                except BergamothillError as error:
                    _log.warning(
                        "swap_failed", step=error.step, peer=error.peer, reason=error.message
                    )
                if not has_waited:
                    self._wake.wait(ms_to_seconds(BUSY_TICK_MS if is_busy else IDLE_TICK_MS))
                    self._wake.clear()
        self._lease.release()

    def stop(self) -> None:
        """Stop :meth:`run`, which then releases the lease."""
        self._stopped = True
        self._wake.set()

    def handle_restore(self) -> None:
        """Give up the duty because the key-value service was restored from an older copy."""
        was_held = self._lease.is_held
        self._lease.handle_restore()
        if was_held:
            self._wake.set()

    @property
    def is_held(self) -> bool:
        """Whether this entry instance holds the duty."""
        return self._lease.is_held

    def wake(self) -> None:
        """Make :meth:`run` act on a new weight target at once, if this instance holds the duty."""
        if self._lease.is_held:
            self._wake.set()

    def _tick(self, pool: ThreadPoolExecutor) -> bool:
        if not self._reaches_engines():
            self._give_up()
            return False
        self._was_holder = self._lease.tick()
        if not self._was_holder:
            self._machine = WeightSwap()
            return False
        self._order_gap.settle_era(self._clock.now_ms())
        targets, engines = self._view()
        effects = self._machine.plan(targets, engines, self._clock.now_ms())
        if self._machine.is_idle:
            self._order_gap.delete_idle_marker(self._clock.now_ms())
            return self._machine.has_deferred_orders(self._clock.now_ms())
        list(pool.map(self._perform_and_log_failure, self._defer_blocked_orders(effects)))
        return True

    def _give_up(self) -> None:
        if self._was_holder:
            _log.info("duty_given_up", reason="reaches no engine")
            self._was_holder = False
            self._machine = WeightSwap()
            self._lease.release()

    def _defer_blocked_orders(self, effects: tuple[SwapEffect, ...]) -> list[SwapEffect]:
        """Return the effects, without orders to engines for which the order gap has not passed."""
        orders = [effect for effect in effects if isinstance(effect, OrderSwap)]
        now_ms = self._clock.now_ms()
        permitted: frozenset[ServerId] = frozenset()
        if orders:
            servers = (order.engine.server for order in orders)
            try:
                permitted = self._order_gap.begin_orders(
                    servers, now_ms, must_wait=not self._enforces_fencing
                )
            except BergamothillError as error:
                _log.info("order_marker_write_failed", step=error.step, reason=error.message)
        blocked = [order for order in orders if order.engine.server not in permitted]
        for order in blocked:
            _log.info(
                "order_held_back",
                server=order.engine.server,
                model=order.engine.model,
                version=order.version,
                wait_ms=self._order_gap.wait_ms(order.engine.server, now_ms),
            )
            self._machine.handle_outcome(order, SwapOutcome.DEFERRED, now_ms)
        return [effect for effect in effects if effect not in blocked]

    def _perform_and_log_failure(self, effect: SwapEffect) -> None:
        try:
            self._perform(effect)
        except BergamothillError as error:
            _log.info("swap_step_failed", step=error.step, peer=error.peer, reason=error.message)

    @singledispatchmethod
    def _perform(self, effect: SwapEffect) -> None:
        raise TypeError(f"unknown swap effect: {effect!r}")

    @_perform.register
    def _(self, effect: QueryState) -> None:
        try:
            state = self._calls.fetch_swap_state(effect.engine)
        except BergamothillError:
            self._machine.handle_state(effect.engine, None)
            raise
        if self._machine.handle_state(effect.engine, state):
            engine = effect.engine
            version = state.weights[engine.model]
            _log.info("weights_swapped", server=engine.server, model=engine.model, version=version)
            self._on_swapped(engine, version)

    @_perform.register
    def _(self, effect: OrderSwap) -> None:
        try:
            permit = self._lease.permit(rejects_stale_fencing=True)
        except (LeaseLostError, UnavailableError):
            self._machine.handle_outcome(effect, SwapOutcome.NOT_SENT, self._clock.now_ms())
            raise
        # An order must not reach its engine so late that it conflicts with the next holder's.
        timeout_ms = min(ORDER_TIMEOUT_MS, permit.lease_left_ms)
        outcome = self._calls.order_swap(effect, self._holder, permit.fencing, timeout_ms)
        now_ms = self._clock.now_ms()
        self._order_gap.record_order(now_ms)
        _log.info(
            "weights_ordered",
            server=effect.engine.server,
            model=effect.engine.model,
            version=effect.version,
            mode=effect.mode.value,
            orders_accepted=effect.orders_accepted,
            fencing=permit.fencing,
            outcome=outcome.value,
        )
        self._machine.handle_outcome(effect, outcome, now_ms)
