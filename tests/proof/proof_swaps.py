"""Proof that engines reach the target weights, few at a time, and apply each order at most once."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from bergamothill.version.weightswap import (
    MAX_LOADING_SHARE,
    OrderSwap,
    QueryState,
    SwapEngine,
    SwapEngineState,
    SwapOutcome,
    WeightSwap,
)
from bergamothill.version.weighttarget import WeightTarget
from tests.proof.harness import Proof, ProofMachine
from tests.proof.require import require

TICK_MS = 40
LOAD_MS = 300
REPORT_LAG_MS = 200
CALM_MS = 20_000
ENGINES = ("e1", "e2", "e3", "e4", "e5")
UNCONDITIONAL = -1
engines = st.sampled_from(ENGINES)


class UnlimitedWeightSwap(WeightSwap):
    """Test double without a limit on concurrent loads."""

    def _has_room(self, servers):
        return True


class RepeatableWeightSwap(WeightSwap):
    """Test double whose orders take effect whatever orders came before them."""

    def _effects(self, now_ms):
        for effect in super()._effects(now_ms):
            is_order = isinstance(effect, OrderSwap)
            yield replace(effect, orders_accepted=UNCONDITIONAL) if is_order else effect


class Engine:
    """True state of an engine."""

    def __init__(self, name, started_ms, version):
        self.name, self.started_ms, self.version = name, started_ms, version
        self.orders = 0
        self.loading_until_ms = 0
        self.loading = version
        self.is_reachable = True
        self.loses_replies = False
        self.history = []

    def is_busy(self, now_ms):
        return now_ms < self.loading_until_ms

    def step(self, now_ms):
        if not self.is_busy(now_ms):
            self.version = self.loading
        state = SwapEngineState({"m1": self.version}, self.is_busy(now_ms), self.orders, 0, 0)
        self.history.append((now_ms, state))
        del self.history[:-20]

    def report(self, now_ms):
        """Return the state from ``REPORT_LAG_MS`` ago."""
        past = [state for at_ms, state in self.history if at_ms <= now_ms - REPORT_LAG_MS]
        return past[-1] if past else self.history[0][1]

    def order(self, version, expected, now_ms):
        if self.is_busy(now_ms) or expected not in (self.orders, UNCONDITIONAL):
            return SwapOutcome.BUSY
        if self.version == version:
            return SwapOutcome.ALREADY_HOLDS
        self.orders += 1
        self.loading, self.loading_until_ms = version, now_ms + LOAD_MS
        return SwapOutcome.ACCEPTED


class SwapsProof(ProofMachine):
    """Five engines with lost orders and replies, changing lease holders and new versions."""

    double = UnlimitedWeightSwap

    @initialize()
    def begin(self):
        self.now_ms = 10_000
        self.target = 1
        self.engines = {name: Engine(name, 1, 1) for name in ENGINES}
        self.late_orders = []
        self.replace_holder()
        self.step_engines()

    def replace_holder(self):
        self.swap = WeightSwap() if self.mechanism_enabled else self.double()
        self.undisturbed_since_ms = self.now_ms

    def step_engines(self):
        for engine in self.engines.values():
            engine.step(self.now_ms)

    def pass_ms(self, duration_ms):
        for _ in range(max(1, duration_ms // TICK_MS)):
            self.now_ms += TICK_MS
            self.step_engines()
            self.tick()
            self.check_loads()

    def tick(self):
        targets = {"m1": WeightTarget("m1", self.target)}
        listed = [
            SwapEngine(e.name, e.started_ms, f"{e.name}:80", "m1", e.version)
            for e in self.engines.values()
        ]
        for effect in self.swap.plan(targets, listed, self.now_ms):
            engine = self.engines[effect.engine.server]
            if isinstance(effect, QueryState):
                state = engine.report(self.now_ms) if engine.is_reachable else None
                self.swap.handle_state(effect.engine, state)
            elif isinstance(effect, OrderSwap):
                self.swap.handle_outcome(effect, self.send(engine, effect), self.now_ms)

    def send(self, engine, order):
        if engine.loses_replies:
            self.late_orders.append((engine, order))
            return SwapOutcome.UNKNOWN
        if not engine.is_reachable:
            return SwapOutcome.NOT_SENT
        return self.deliver(engine, order)

    def deliver(self, engine, order):
        before = engine.version
        outcome = engine.order(order.version, order.orders_accepted, self.now_ms)
        if outcome is SwapOutcome.ACCEPTED:
            require(order.version > before, f"loads version {order.version} over version {before}")
        return outcome

    def check_loads(self):
        """Check the limit on concurrent loads while one holder has received all replies."""
        is_undisturbed = not self.late_orders and self.now_ms - self.undisturbed_since_ms > LOAD_MS
        loading = sum(engine.is_busy(self.now_ms) for engine in self.engines.values())
        if is_undisturbed and not any(e.loses_replies for e in self.engines.values()):
            require(
                loading <= max(1, int(MAX_LOADING_SHARE * len(ENGINES))),
                f"{loading} engines load concurrently",
            )

    @rule(duration_ms=st.sampled_from([TICK_MS, 400, 2_000]))
    def time_passes(self, duration_ms):
        self.operation()
        self.pass_ms(duration_ms)

    @rule()
    def version_is_named(self):
        self.operation()
        self.target += 1

    @rule(name=engines)
    def engine_is_cut_off_or_back(self, name):
        self.fault()
        self.engines[name].is_reachable = not self.engines[name].is_reachable

    @rule(name=engines)
    def replies_are_lost_or_not(self, name):
        self.fault()
        self.engines[name].loses_replies = not self.engines[name].loses_replies

    @precondition(lambda self: self.late_orders)
    @rule()
    def late_order_arrives(self):
        self.fault()
        engine, order = self.late_orders.pop(0)
        self.deliver(engine, order)
        self.undisturbed_since_ms = self.now_ms

    @rule(name=engines)
    def engine_restarts(self, name):
        self.fault()
        old = self.engines[name]
        self.late_orders = [late for late in self.late_orders if late[0] is not old]
        self.engines[name] = Engine(name, self.now_ms, old.version)
        self.engines[name].step(self.now_ms)
        self.undisturbed_since_ms = self.now_ms

    @rule()
    def holder_changes(self):
        self.fault()
        self.replace_holder()

    @rule()
    def calm(self):
        """Check that without faults all engines reach the target version."""
        self.operation()
        self.late_orders.clear()
        for engine in self.engines.values():
            engine.is_reachable, engine.loses_replies = True, False
        end_ms = self.now_ms + CALM_MS
        while self.now_ms < end_ms and {e.version for e in self.engines.values()} != {self.target}:
            self.pass_ms(TICK_MS)
        versions = {engine.version for engine in self.engines.values()}
        require(versions == {self.target}, f"engines have {versions}, the target is {self.target}")


class RepeatedOrdersProof(SwapsProof):
    """The same environment; the mechanism is the count of accepted orders in each order."""

    double = RepeatableWeightSwap


PROOFS = (
    Proof(slug="weight-swaps", machine=SwapsProof),
    Proof(slug="repeated-swap-orders", machine=RepeatedOrdersProof),
)
