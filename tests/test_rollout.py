import unittest
from dataclasses import replace

from bergamothill.clock import ManualClock
from bergamothill.connection.engine import OrderKind
from bergamothill.connection.kvs_memory import MemoryKeyValueService
from bergamothill.connection.memoryengine import MemoryModelEngine
from bergamothill.errors import PeerTimeoutError, StoreFullError
from bergamothill.ids import ServerId
from bergamothill.process.lease import DutyLease
from bergamothill.version.change import AddModel, SetWeightTarget
from bergamothill.version.config import ModelConfig
from bergamothill.version.revision import ConfigurationWriter
from bergamothill.version.rollout import (
    CompleteRollout,
    EngineView,
    OrderOutcome,
    RollBack,
    RolloutLimits,
    RolloutMachine,
    SendOrder,
)
from bergamothill.version.rolloutrunner import RolloutRunner
from tests.proof.harness import check_proof
from tests.proof.proof_rollout import PROOFS

LIMITS = RolloutLimits(concurrent_loads=2, tolerated_failures=1)
MODEL = ModelConfig("guide", "v1", "v2")


class Fleet:
    """Simulated engines and the lease holder's rollout machine, advanced step by step."""

    def __init__(self, count, *, capacity=2):
        self.engines = {
            ServerId(f"e{n}"): MemoryModelEngine(ServerId(f"e{n}"), "guide", ["v1"])
            for n in range(count)
        }
        self.capacity = capacity
        self.running = dict.fromkeys(self.engines, 0)
        self.model = MODEL
        self.machine = RolloutMachine("guide")
        self.now_ms = 0
        self.failing = set()
        self.max_loading = 0
        self.min_serving = count

    def views(self):
        return [
            EngineView(server, replace(engine.load(), running=self.running[server]))
            for server, engine in self.engines.items()
        ]

    def plan(self):
        return self.machine.plan(self.model, self.views(), LIMITS, free_loads=2, now_ms=self.now_ms)

    def step(self):
        effects = self.plan()
        orders = [effect for effect in effects if isinstance(effect, SendOrder)]
        loading = sum(order.kind is OrderKind.LOAD_WEIGHTS for order in orders)
        self.max_loading = max(self.max_loading, loading)
        for order in orders:
            self.machine.handle_outcome(
                order, self.execute_order(order), deadline_ms=self.now_ms + 5_000
            )
        for effect in effects:
            if isinstance(effect, CompleteRollout):
                self.model = replace(self.model, current=effect.version)
            if isinstance(effect, RollBack):
                self.model = replace(self.model, target=effect.version)
        self.min_serving = min(self.min_serving, self.serving_count())
        self.now_ms += 1_000
        return effects

    def execute_order(self, order):
        engine = self.engines[order.server]
        if order.kind is OrderKind.UNLOAD_WEIGHTS and self.running[order.server]:
            raise AssertionError(f"{order.server} would interrupt its running requests")
        if order.kind is OrderKind.LOAD_WEIGHTS:
            if order.server in self.failing:
                return OrderOutcome.REFUSED
            if len(engine.versions) >= self.capacity:
                return OrderOutcome.INSUFFICIENT_MEMORY
            engine.versions.add(order.version)
        elif order.kind is OrderKind.UNLOAD_WEIGHTS:
            engine.versions.discard(order.version)
        else:
            engine._role = order.role
        return OrderOutcome.DONE

    def serving_count(self):
        return sum(
            engine._role == "serve" and self.model.current in engine.versions
            for engine in self.engines.values()
        )

    def run(self, steps=100):
        for _ in range(steps):
            self.step()


class RolloutMachineTests(unittest.TestCase):
    def assert_rolled_out(self, fleet, version="v2"):
        self.assertEqual((fleet.model.current, fleet.model.target), (version, version))
        for engine in fleet.engines.values():
            self.assertEqual((engine.versions, engine._role), ({version}, "serve"))

    def test_loads_new_version_next_to_the_serving_one(self):
        fleet = Fleet(5)
        fleet.run()
        self.assert_rolled_out(fleet)
        self.assertEqual(fleet.max_loading, 2)
        self.assertGreaterEqual(fleet.min_serving, 3)

    def test_drains_engines_that_cannot_hold_two_versions(self):
        for count in (1, 2, 5):
            with self.subTest(count=count):
                fleet = Fleet(count, capacity=1)
                fleet.run(200)
                self.assert_rolled_out(fleet)
                self.assertGreaterEqual(fleet.min_serving, count // 2)

    def test_draining_engine_finishes_its_runs_first(self):
        fleet = Fleet(2)
        fleet.running = dict.fromkeys(fleet.engines, 3)
        fleet.run(20)
        self.assertEqual(fleet.model.current, "v2")
        self.assertIn("v1", fleet.engines["e0"].versions)
        fleet.running = dict.fromkeys(fleet.engines, 0)
        fleet.run()
        self.assert_rolled_out(fleet)

    def test_rolls_back_when_too_many_engines_fail(self):
        fleet = Fleet(5)
        fleet.failing = {"e1", "e3"}
        fleet.run()
        self.assert_rolled_out(fleet, "v1")

    def test_tolerated_failure_does_not_stop_the_rollout(self):
        fleet = Fleet(5)
        fleet.failing = {"e1"}
        fleet.run(30)
        self.assertEqual(fleet.model.current, "v2")
        fleet.failing.clear()
        fleet.run()
        self.assert_rolled_out(fleet)

    def test_new_lease_holder_continues_from_engine_reports(self):
        for steps in range(1, 12):
            with self.subTest(steps=steps):
                fleet = Fleet(4, capacity=1)
                fleet.run(steps)
                fleet.machine = RolloutMachine("guide")
                fleet.run(200)
                self.assert_rolled_out(fleet)

    def test_order_of_unknown_outcome_is_not_retried_before_its_deadline(self):
        fleet = Fleet(1)
        (order,) = fleet.plan()
        fleet.machine.handle_outcome(order, OrderOutcome.UNKNOWN, deadline_ms=5_000)
        self.assertEqual(fleet.plan(), ())
        self.assertEqual(fleet.machine.loads_in_flight, 1)
        fleet.now_ms = 5_000
        self.assertEqual(fleet.plan(), (order,))


class RolloutRunnerTests(unittest.TestCase):
    def test_rollout_under_a_lease(self):
        clock = ManualClock()
        kvs = MemoryKeyValueService(clock)
        writer = ConfigurationWriter(kvs, clock)
        writer.submit((AddModel("guide", "v1"),))
        writer.submit((SetWeightTarget("guide", "v2"),))
        engines = {f"e{n}": MemoryModelEngine(f"e{n}", "guide", ["v1"]) for n in range(3)}
        failures = iter([StoreFullError("no room", step="x"), PeerTimeoutError("x", step="x")])
        order = engines["e0"].order

        def fail_twice(request):
            error = next(failures, None)
            if error is not None:
                raise error
            return order(request)

        engines["e0"].order = fail_twice
        runner = RolloutRunner(
            DutyLease(kvs, clock, "rollout", "entry-1"),
            lambda: writer.read().configuration,
            writer,
            lambda model: engines,
            lambda server: True,
            clock,
        )
        for _ in range(300):
            runner.step()
            for future in list(runner._pending_orders):
                future.exception()
            clock.advance_ms(1_000)
        runner.stop()
        self.assertEqual(writer.read().configuration.models["guide"].current, "v2")
        for engine in engines.values():
            self.assertEqual(engine.versions, {"v2"})


class RolloutProofTests(unittest.TestCase):
    def test_rollout_never_interrupts_a_run(self):
        check_proof(self, PROOFS[0])
