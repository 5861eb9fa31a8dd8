"""Proof that a weight rollout cuts no run, limits concurrent loads and keeps a version serving."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from bergamothill.connection.engine import EngineLoad, EngineState, OrderKind
from bergamothill.version.config import ModelConfig
from bergamothill.version.rollout import (
    CompleteRollout,
    EngineView,
    OrderOutcome,
    RollBack,
    RolloutLimits,
    RolloutMachine,
    SendOrder,
)
from tests.proof.harness import Proof, ProofMachine

MODEL = "m"
VERSIONS = ("v1", "v2", "v3")
NAMES = ("e0", "e1", "e2", "e3")
LIMITS = RolloutLimits(concurrent_loads=2, tolerated_failures=1)
ORDER_LIFE_MS = 1_000
MAX_LAG_MS = 500


class DrainingAsIdleRolloutMachine(RolloutMachine):
    """Test double that treats a draining engine as idle."""

    def _engine_state(self, view, now_ms):
        engine = super()._engine_state(view, now_ms)
        return None if engine is None else replace(engine, is_idle=not engine.is_serving)


class Engine:
    """True state of an engine, and its last load report."""

    def __init__(self, versions, has_room=True):
        self.versions = set(versions)
        self.has_room = has_room
        self.role = "serve"
        self.runs = []
        self.report = None
        self.reported_ms = 0

    def take_report(self, now_ms):
        names = frozenset(f"{MODEL}:{version}" for version in self.versions)
        state = EngineState(1, False, names, role=self.role)
        self.report = EngineLoad(0, 0, len(self.runs), 8_000, 1_000, 0, 1_000, state)
        self.reported_ms = now_ms

    def load(self, now_ms):
        return replace(self.report, age_ms=now_ms - self.reported_ms)


class RolloutWorld(ProofMachine):
    """Engines, callers, an operator who changes the target, and changing lease holders."""

    @initialize(without_room=st.sets(st.sampled_from(NAMES)))
    def begin(self, without_room):
        self.now_ms = 0
        self.model = ModelConfig(MODEL, "v1", "v1")
        self.engines = {name: Engine(["v1"], name not in without_room) for name in NAMES}
        self.unreachable = set()
        self.orders = []
        self.replace_holder()
        self.report_all()

    def replace_holder(self):
        machine_class = RolloutMachine if self.mechanism_enabled else DrainingAsIdleRolloutMachine
        self.machine = machine_class(MODEL)

    def report_all(self):
        for name, engine in self.engines.items():
            if name not in self.unreachable:
                engine.take_report(self.now_ms)

    def views(self):
        return [
            EngineView(name, None if name in self.unreachable else engine.load(self.now_ms))
            for name, engine in self.engines.items()
        ]

    @rule()
    def plan(self):
        self.operation()
        free_loads = LIMITS.concurrent_loads - self.machine.loads_in_flight
        effects = self.machine.plan(
            self.model, self.views(), LIMITS, free_loads=free_loads, now_ms=self.now_ms
        )
        for effect in effects:
            self.handle_effect(effect)
        loads = self.machine.loads_in_flight
        assert loads <= LIMITS.concurrent_loads, f"{loads} engines load concurrently"

    def handle_effect(self, effect):
        if isinstance(effect, SendOrder):
            assert effect.server not in [order.server for order in self.orders], (
                f"{effect} while another order to the engine is in progress"
            )
            self.orders.append(effect)
        elif isinstance(effect, CompleteRollout):
            holders = [e for e in self.engines.values() if effect.version in e.versions]
            assert holders, f"{effect}, but no engine has this version"
            self.model = replace(self.model, current=effect.version)
        elif isinstance(effect, RollBack):
            self.model = replace(self.model, target=effect.version)

    @precondition(lambda self: self.orders)
    @rule(index=st.integers(0, 3))
    def order_is_done(self, index):
        self.operation()
        order = self.orders.pop(index % len(self.orders))
        engine = self.engines[order.server]
        if order.kind is OrderKind.LOAD_WEIGHTS and not self.fits(engine, order):
            self.machine.handle_outcome(
                order, OrderOutcome.INSUFFICIENT_MEMORY, deadline_ms=self.now_ms
            )
            return
        self.apply(order, engine)
        self.machine.handle_outcome(order, OrderOutcome.DONE, deadline_ms=self.now_ms)

    @rule(rounds=st.integers(1, 6))
    def work_undisturbed(self, rounds):
        """Run several plans without faults, completing all orders of each before the next."""
        for _ in range(rounds):
            self.plan()
            while self.orders:
                self.order_is_done(0)
            self.pass_time(MAX_LAG_MS)

    @precondition(lambda self: self.orders)
    @rule(index=st.integers(0, 3), takes_effect=st.booleans())
    def reply_is_lost(self, index, takes_effect):
        self.fault()
        order = self.orders.pop(index % len(self.orders))
        engine = self.engines[order.server]
        if takes_effect and (order.kind is not OrderKind.LOAD_WEIGHTS or self.fits(engine, order)):
            self.apply(order, engine)
        deadline_ms = self.now_ms + ORDER_LIFE_MS
        self.machine.handle_outcome(order, OrderOutcome.UNKNOWN, deadline_ms=deadline_ms)

    @precondition(lambda self: self.orders)
    @rule(index=st.integers(0, 3))
    def engine_refuses(self, index):
        self.fault()
        order = self.orders.pop(index % len(self.orders))
        self.machine.handle_outcome(
            order, OrderOutcome.REFUSED, deadline_ms=self.now_ms + ORDER_LIFE_MS
        )

    def fits(self, engine, order):
        return engine.has_room or not engine.versions - {order.version}

    def apply(self, order, engine):
        if order.kind is OrderKind.LOAD_WEIGHTS:
            engine.versions.add(order.version)
        elif order.kind is OrderKind.UNLOAD_WEIGHTS:
            assert order.version not in engine.runs, f"{order} cuts off a run"
            engine.versions.discard(order.version)
        else:
            engine.role = order.role

    @rule(name=st.sampled_from(NAMES))
    def request_arrives(self, name):
        self.operation()
        engine = self.engines[name]
        if engine.role == "serve" and self.model.current in engine.versions:
            engine.runs.append(self.model.current)

    @rule(name=st.sampled_from(NAMES))
    def run_ends(self, name):
        self.operation()
        if self.engines[name].runs:
            self.engines[name].runs.pop()

    @rule(version=st.sampled_from(VERSIONS))
    def operator_sets_target(self, version):
        self.operation()
        self.model = replace(self.model, target=version)

    @rule(duration_ms=st.sampled_from([100, MAX_LAG_MS, 3_000]))
    def pass_time(self, duration_ms):
        self.operation()
        self.now_ms += duration_ms
        self.report_all()

    @rule()
    def holder_dies(self):
        """Replace the holder; its orders take effect or expire before the next holder may send."""
        self.fault()
        for order in self.orders:
            engine = self.engines[order.server]
            if order.kind is OrderKind.SET_ROLE:
                engine.role = order.role
        self.orders = []
        self.now_ms += ORDER_LIFE_MS
        self.report_all()
        self.replace_holder()

    @rule(name=st.sampled_from(NAMES))
    def engine_goes_or_comes(self, name):
        self.fault()
        self.unreachable ^= {name}
        self.report_all()

    @rule(name=st.sampled_from(NAMES))
    def engine_restarts(self, name):
        self.fault()
        self.orders = [order for order in self.orders if order.server != name]
        self.engines[name] = Engine([self.model.current], self.engines[name].has_room)
        self.engines[name].take_report(self.now_ms)


PROOFS = (Proof(slug="rollout", machine=RolloutWorld),)
