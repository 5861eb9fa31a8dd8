"""Tests of weight swaps, and of the gaps that separate the orders of successive lease holders."""

import unittest

from bergamothill.clock import ManualClock
from bergamothill.connection.kvs import ABSENT
from bergamothill.connection.kvs_memory import KeyValueSnapshot
from bergamothill.errors import PeerTimeoutError
from bergamothill.process.lease import DutyLease
from bergamothill.process.leasemachine import LeaseTimes
from bergamothill.process.ordergap import ORDER_GAP_MARGIN_MS, OrderGapGuard
from bergamothill.version.weightswap import (
    SWAP_TIMEOUT_MS,
    OrderSwap,
    QueryState,
    SwapEngine,
    SwapEngineState,
    SwapOutcome,
    WeightSwap,
)
from bergamothill.version.weighttarget import WeightTarget
from tests.builders import FaultyKeyValueService, RestorableStore, StoreClient, WriteFault

TARGET = {"m1": WeightTarget("m1", 2)}
ORDER_GAP_MS = 3_000


def engine(name, version=1):
    return SwapEngine(name, 1, f"{name}:80", "m1", version)


def state(version=1, is_busy=False, orders=0):
    return SwapEngineState({"m1": version}, is_busy, orders, 0, 0)


class WeightSwapTest(unittest.TestCase):
    def setUp(self):
        self.swap = WeightSwap()
        self.engines = [engine(f"s{n}") for n in range(5)]

    def plan(self, now_ms, engines=None, targets=TARGET):
        return self.swap.plan(targets, self.engines if engines is None else engines, now_ms)

    def first_order(self, now_ms=100):
        """Advance the swap of the first engine to its order and return the order."""
        self.plan(now_ms)
        self.swap.handle_state(self.engines[0], state())
        orders = [e for e in self.plan(now_ms + 1) if isinstance(e, OrderSwap)]
        return orders[0]

    def test_two_of_five_engines_are_queried_first(self):
        effects = self.plan(100)
        self.assertEqual(["s0", "s1"], [effect.engine.server for effect in effects])
        self.assertTrue(all(isinstance(effect, QueryState) for effect in effects))

    def test_a_single_engine_is_swapped(self):
        self.assertEqual(1, len(self.plan(100, self.engines[:1])))

    def test_an_order_carries_the_reported_count_of_accepted_orders(self):
        self.plan(100)
        self.swap.handle_state(self.engines[0], state(orders=3))
        orders = [e for e in self.plan(101) if isinstance(e, OrderSwap)]
        self.assertEqual([3], [order.orders_accepted for order in orders])

    def test_a_busy_engine_is_not_ordered(self):
        self.plan(100)
        self.swap.handle_state(self.engines[0], state(is_busy=True))
        self.assertEqual([], [e for e in self.plan(101) if isinstance(e, OrderSwap)])

    def test_an_accepted_order_is_not_repeated(self):
        self.swap.handle_outcome(self.first_order(), SwapOutcome.ACCEPTED, 110)
        self.swap.handle_state(self.engines[0], state(is_busy=True, orders=1))
        for now_ms in range(120, 3_000, 100):
            effects = self.plan(now_ms)
            self.assertFalse(
                [e for e in effects if isinstance(e, OrderSwap) and e.engine.server == "s0"]
            )

    def test_an_order_of_unknown_outcome_is_repeated_with_the_same_count(self):
        first = self.first_order()
        self.swap.handle_outcome(first, SwapOutcome.UNKNOWN, 800)
        self.swap.handle_state(self.engines[0], state())
        second = next(e for e in self.plan(900) if isinstance(e, OrderSwap))
        self.assertEqual(first.orders_accepted, second.orders_accepted)

    def test_the_next_engine_starts_when_one_has_finished(self):
        self.first_order()
        self.assertTrue(self.swap.handle_state(self.engines[0], state(version=2)))
        servers = {effect.engine.server for effect in self.plan(300)}
        self.assertIn("s2", servers)

    def test_a_swap_finishes_when_the_instance_list_shows_the_version(self):
        self.first_order()
        engines = [engine("s0", version=2), *self.engines[1:]]
        self.assertIn("s2", {effect.engine.server for effect in self.plan(300, engines)})

    def test_a_swap_that_is_not_observed_times_out(self):
        self.swap.handle_outcome(self.first_order(), SwapOutcome.ACCEPTED, 110)
        for now_ms, is_ordered_again in ((99 + SWAP_TIMEOUT_MS, False), (400_000, True)):
            self.plan(now_ms)
            self.swap.handle_state(self.engines[0], state(orders=1))
            orders = [e for e in self.plan(now_ms + 1) if isinstance(e, OrderSwap)]
            self.assertEqual(is_ordered_again, self.engines[0] in [e.engine for e in orders])

    def test_engines_that_do_not_answer_do_not_keep_the_others_from_swapping(self):
        versions = {}
        for now_ms in range(100, 3_000, 40):
            engines = [engine(f"s{n}", versions.get(f"s{n}", 1)) for n in range(5)]
            for effect in self.plan(now_ms, engines):
                server = effect.engine.server
                if server in ("s0", "s1"):
                    self.swap.handle_state(effect.engine, None)
                elif isinstance(effect, QueryState):
                    self.swap.handle_state(effect.engine, state(versions.get(server, 1)))
                else:
                    versions[server] = 2
                    self.swap.handle_outcome(effect, SwapOutcome.ACCEPTED, now_ms)
        self.assertEqual({"s2": 2, "s3": 2, "s4": 2}, versions)

    def test_an_engine_that_answers_again_is_swapped(self):
        for now_ms in range(100, 1_000, 40):
            for effect in self.plan(now_ms, self.engines[:1]):
                self.swap.handle_state(effect.engine, None)
        orders = []
        for now_ms in range(1_000, 4_000, 40):
            for effect in self.plan(now_ms, self.engines[:1]):
                if isinstance(effect, OrderSwap):
                    orders.append(effect)
                else:
                    self.swap.handle_state(effect.engine, state())
        self.assertTrue(orders)

    def test_the_backoff_of_an_engine_that_left_is_forgotten(self):
        self.swap.handle_outcome(self.first_order(), SwapOutcome.REFUSED, 110)
        self.assertEqual(["s0"], list(self.swap._backoff_until_ms))
        self.plan(120, self.engines[1:])
        self.assertEqual([], list(self.swap._backoff_until_ms))

    def test_an_engine_that_left_is_forgotten(self):
        self.plan(100, self.engines[:1])
        self.assertEqual((), self.plan(200, []))
        self.assertTrue(self.swap.is_idle)

    def test_a_newer_target_replaces_a_swap_that_was_not_ordered(self):
        self.plan(100)
        self.swap.handle_state(self.engines[0], state())
        newer = {"m1": WeightTarget("m1", 3)}
        self.plan(101, targets=newer)
        self.swap.handle_state(self.engines[0], state())
        orders = [e for e in self.plan(300, targets=newer) if isinstance(e, OrderSwap)]
        self.assertEqual({3}, {order.version for order in orders})

    def test_no_effects_when_all_engines_are_up_to_date(self):
        self.assertEqual((), self.plan(100, [engine("s0", version=2)]))
        self.assertTrue(self.swap.is_idle)


def engine_of(model, name, version=1):
    return SwapEngine(name, 1, f"{name}:80", model, version)


class SeveralModelsTest(unittest.TestCase):
    """Engines that serve two models each, whose orders are carried out one at a time."""

    LOAD_MS = 300

    def setUp(self):
        self.swap = WeightSwap()
        self.versions = {(f"s{n}", model): 1 for n in range(5) for model in ("m0", "m1")}
        self.loading = {}
        self.failing = set()
        self.max_loading = 0

    def listed(self):
        return [engine_of(model, name, v) for (name, model), v in self.versions.items()]

    def run_until(self, start_ms, end_ms, **targets):
        """Let the engines carry out all orders; return the orders that were sent."""
        orders = []
        named = {model: WeightTarget(model, version) for model, version in targets.items()}
        for now_ms in range(start_ms, end_ms, 40):
            for name, (model, version, loaded_ms) in list(self.loading.items()):
                if loaded_ms <= now_ms:
                    self.versions[name, model] = version
                    del self.loading[name]
            for effect in self.swap.plan(named, self.listed(), now_ms):
                name, model = effect.engine.server, effect.engine.model
                if isinstance(effect, QueryState):
                    weights = {m: v for (n, m), v in self.versions.items() if n == name}
                    reported = SwapEngineState(weights, name in self.loading, 0, 0, 0)
                    self.swap.handle_state(effect.engine, reported)
                    continue
                orders.append(effect)
                self.assertNotIn(name, self.loading, "a second order at a busy engine")
                if (name, model) not in self.failing:
                    self.loading[name] = (model, effect.version, now_ms + self.LOAD_MS)
                self.swap.handle_outcome(effect, SwapOutcome.ACCEPTED, now_ms)
            self.max_loading = max(self.max_loading, len(self.loading))
        return orders

    def test_new_weights_of_a_second_model_are_ordered_after_those_of_the_first(self):
        # VERSION: the finished swap of one model counted for all models of its engine, which then
        # never got an order for another one.
        self.run_until(100, 3_000, m0=2)
        orders = self.run_until(3_000, 6_000, m0=2, m1=2)
        self.assertEqual({"m1"}, {order.engine.model for order in orders})
        self.assertEqual({2}, set(self.versions.values()))

    def test_two_targets_at_once_load_on_no_more_engines_than_one(self):
        # Two models of the same engines loaded on up to four of five engines.
        self.run_until(100, 6_000, m0=2, m1=2)
        self.assertEqual({2}, set(self.versions.values()))
        self.assertEqual(2, self.max_loading)

    def test_a_target_of_another_model_does_not_end_a_swap_without_an_order(self):
        # The list was kept by engine alone, so that the version of the model named last ended the
        # swaps of the others.
        self.versions = {(f"s{n}", m): v for n in range(5) for m, v in (("m0", 1), ("m1", 3))}
        self.run_until(100, 3_000, m0=2)
        self.assertEqual({("m0", 2), ("m1", 3)}, {(m, v) for (_, m), v in self.versions.items()})

    def test_a_model_that_fails_to_load_does_not_keep_another_from_loading(self):
        # The first model's swaps began anew as soon as they had timed out.
        self.failing = {(f"s{n}", "m0") for n in range(5)}
        self.run_until(100, 100 + 2 * SWAP_TIMEOUT_MS, m0=2, m1=2)
        self.assertEqual({2}, {v for (_, m), v in self.versions.items() if m == "m1"})

    def test_engines_that_fail_to_load_do_not_keep_the_others_from_loading(self):
        # The swaps of the first engines of the list began anew as soon as they had timed out.
        self.failing = {("s0", "m0"), ("s1", "m0")}
        self.run_until(100, 100 + 2 * SWAP_TIMEOUT_MS, m0=2)
        loaded = {name for (name, m), v in self.versions.items() if m == "m0" and v == 2}
        self.assertEqual({"s2", "s3", "s4"}, loaded)

    def test_an_engine_that_lists_a_model_no_more_gets_no_order_for_it(self):
        self.run_until(100, 200, m0=2)
        self.versions = {key: v for key, v in self.versions.items() if key[1] == "m1"}
        self.loading.clear()
        self.assertEqual([], self.run_until(200, 1_000, m0=2))
        self.assertTrue(self.swap.is_idle)

    def test_a_reply_about_another_model_changes_no_swap(self):
        first = engine_of("m0", "s0")
        self.swap.plan({"m0": WeightTarget("m0", 2)}, [first], 100)
        loaded = SwapEngineState({"m0": 1, "m1": 2}, False, 0, 0, 0)
        self.assertFalse(self.swap.handle_state(engine_of("m1", "s0"), loaded))
        self.assertFalse(self.swap.is_idle)


class OrderTurnTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1_000)
        self.kvs = FaultyKeyValueService(self.clock)
        self.times = LeaseTimes(ttl_ms=1_500, margin_ms=300, settle_ms=0)

    def client(self):
        return self.kvs

    def holder(self, name):
        client = self.client()
        lease = DutyLease(client, self.clock, "weights", name, times=self.times)
        return lease, OrderGapGuard(client, "mark", name, lease, ORDER_GAP_MS, self.times.ttl_ms)

    def allowed_servers(self, order_gap, *servers, must_wait=True):
        return sorted(order_gap.begin_orders(servers, self.clock.now_ms(), must_wait=must_wait))

    def test_the_first_holder_starts_at_once(self):
        lease, order_gap = self.holder("entry-1")
        self.assertTrue(lease.tick())
        self.assertEqual(["s1", "s2"], self.allowed_servers(order_gap, "s1", "s2"))

    def test_a_successor_waits_one_turn_for_engines_that_were_ordered(self):
        lease, order_gap = self.holder("entry-1")
        lease.tick()
        self.allowed_servers(order_gap, "s1")
        self.allowed_servers(order_gap, "s2")
        self.clock.advance_ms(1_600)
        successor, successor_turn = self.holder("entry-2")
        self.assertTrue(successor.tick())
        self.assertEqual(["s3"], self.allowed_servers(successor_turn, "s1", "s2", "s3"))
        self.clock.advance_ms(ORDER_GAP_MS + ORDER_GAP_MARGIN_MS)
        successor.tick()
        self.assertEqual(["s1", "s2"], self.allowed_servers(successor_turn, "s1", "s2"))

    def test_a_third_holder_waits_for_the_engines_of_the_first(self):
        lease, order_gap = self.holder("entry-1")
        lease.tick()
        self.allowed_servers(order_gap, "s1")
        for name in ("entry-2", "entry-3"):
            self.clock.advance_ms(1_500)
            successor, successor_turn = self.holder(name)
            self.assertTrue(successor.tick())
            self.assertEqual([], self.allowed_servers(successor_turn, "s1"))

    def test_a_returning_holder_keeps_its_earlier_engines_in_the_mark(self):
        lease, order_gap = self.holder("entry-1")
        lease.tick()
        self.allowed_servers(order_gap, "s1")
        lease.release()
        lease.tick()
        self.allowed_servers(order_gap, "s2")
        lease.release()
        successor, successor_turn = self.holder("entry-2")
        self.assertTrue(successor.tick())
        self.assertEqual([], self.allowed_servers(successor_turn, "s1", "s2"))

    def test_an_unreadable_mark_blocks_all_orders(self):
        self.kvs.put_if("mark", b"?", expected=0)
        lease, order_gap = self.holder("entry-1")
        lease.tick()
        self.assertEqual([], self.allowed_servers(order_gap, "s1"))

    def test_a_successor_starts_at_once_after_an_idle_predecessor(self):
        lease, order_gap = self.holder("entry-1")
        lease.tick()
        self.allowed_servers(order_gap, "s1")
        order_gap.record_order(self.clock.now_ms())
        self.clock.advance_ms(1_000)
        order_gap.delete_idle_marker(self.clock.now_ms())
        self.assertIsNotNone(self.kvs.peek("mark"))
        self.clock.advance_ms(ORDER_GAP_MS)
        order_gap.delete_idle_marker(self.clock.now_ms())
        self.assertIsNone(self.kvs.peek("mark"))
        successor, successor_turn = self.holder("entry-2")
        successor.tick()
        self.assertEqual(["s1"], self.allowed_servers(successor_turn, "s1"))

    def test_a_successor_that_restarts_keeps_waiting(self):
        lease, order_gap = self.holder("entry-1")
        lease.tick()
        self.allowed_servers(order_gap, "s1")
        for _ in range(2):
            self.clock.advance_ms(1_500)
            successor, successor_turn = self.holder("entry-2")
            self.assertTrue(successor.tick())
            self.assertEqual([], self.allowed_servers(successor_turn, "s1"))

    def advance_renewing(self, lease, duration_ms):
        for _ in range(duration_ms // 400 + 1):
            self.clock.advance_ms(400)
            lease.tick()

    def test_a_holder_does_not_wait_for_orders_that_ended_long_before_its_first(self):
        lease, order_gap = self.holder("entry-1")
        lease.tick()
        self.allowed_servers(order_gap, "s1")
        self.clock.advance_ms(1_500)
        successor, successor_turn = self.holder("entry-2")
        self.assertTrue(successor.tick())
        self.advance_renewing(successor, ORDER_GAP_MS + ORDER_GAP_MARGIN_MS)
        self.assertEqual(["s1"], self.allowed_servers(successor_turn, "s1"))

    def test_a_successor_does_not_wait_for_engines_that_were_only_held_back(self):
        lease, order_gap = self.holder("entry-1")
        lease.tick()
        self.allowed_servers(order_gap, "s1", "s2")
        self.clock.advance_ms(1_500)
        second, second_turn = self.holder("entry-2")
        self.assertTrue(second.tick())
        self.assertEqual([], self.allowed_servers(second_turn, "s1", "s2"))
        self.advance_renewing(second, ORDER_GAP_MS + ORDER_GAP_MARGIN_MS)
        self.assertEqual(["s1"], self.allowed_servers(second_turn, "s1"))
        self.clock.advance_ms(1_500)
        third, third_turn = self.holder("entry-3")
        self.assertTrue(third.tick())
        self.assertEqual(["s2"], self.allowed_servers(third_turn, "s1", "s2"))

    def test_engines_that_still_wait_for_the_first_holder_stay_in_the_marker(self):
        lease, order_gap = self.holder("entry-1")
        lease.tick()
        self.allowed_servers(order_gap, "s1")
        lease.release()
        second, second_turn = self.holder("entry-2")
        self.assertTrue(second.tick())
        self.assertEqual(["s2"], self.allowed_servers(second_turn, "s1", "s2"))
        second.release()
        third, third_turn = self.holder("entry-3")
        self.assertTrue(third.tick())
        self.assertEqual([], self.allowed_servers(third_turn, "s1", "s2"))

    def test_a_marker_that_was_written_without_a_reply_is_read_again(self):
        for fault in (WriteFault.LOST_REPLY, WriteFault.LATE):
            with self.subTest(fault):
                self.setUp()
                lease, order_gap = self.holder("entry-1")
                lease.tick()
                self.kvs.fault = fault
                with self.assertRaises(PeerTimeoutError):
                    self.allowed_servers(order_gap, "s1")
                self.kvs.fault = WriteFault.NONE
                while self.kvs.late_writes:
                    self.kvs.land_late_write()
                self.assertEqual(["s1"], self.allowed_servers(order_gap, "s1"))

    def test_engines_of_an_earlier_term_do_not_return_to_the_marker(self):
        lease, order_gap = self.holder("entry-1")
        lease.tick()
        self.allowed_servers(order_gap, "s1")
        order_gap.record_order(self.clock.now_ms())
        self.clock.advance_ms(600_000)
        lease.tick()
        self.assertTrue(lease.tick())
        self.assertEqual(["s2"], self.allowed_servers(order_gap, "s2"))
        lease.release()
        second, second_turn = self.holder("entry-2")
        self.assertTrue(second.tick())
        self.assertEqual(["s1"], self.allowed_servers(second_turn, "s1", "s2"))

    def test_an_order_after_a_mark_removal_without_reply_is_marked_again(self):
        for fault in (WriteFault.LOST_REPLY, WriteFault.LATE):
            with self.subTest(fault):
                self.setUp()
                lease, order_gap = self.holder("entry-1")
                lease.tick()
                self.allowed_servers(order_gap, "s1")
                for _ in range(8):
                    self.clock.advance_ms(400)
                    lease.tick()
                self.kvs.fault = fault
                with self.assertRaises(PeerTimeoutError):
                    order_gap.delete_idle_marker(self.clock.now_ms())
                self.kvs.fault = WriteFault.NONE
                self.allowed_servers(order_gap, "s1")
                while self.kvs.late_writes:
                    self.kvs.land_late_write()
                self.assertIsNotNone(self.kvs.peek("mark"))

    def test_engines_that_check_fencing_numbers_need_no_turns(self):
        lease, order_gap = self.holder("entry-1")
        lease.tick()
        self.allowed_servers(order_gap, "s1", must_wait=False)
        self.clock.advance_ms(1_600)
        successor, successor_turn = self.holder("entry-2")
        successor.tick()
        self.assertEqual(["s1"], self.allowed_servers(successor_turn, "s1", must_wait=False))


class RestoreTest(OrderTurnTest):
    """Holders after the service was restored, and all that holds without a restoration."""

    def setUp(self):
        super().setUp()
        self.kvs = RestorableStore(self.clock)
        self.settle()[0].release()

    def client(self):
        return StoreClient(self.kvs)

    def settle(self):
        """Let a first holder wait until the era is settled."""
        lease, order_gap = self.holder("entry-0")
        self.assertTrue(lease.tick())
        self.assertFalse(order_gap.settle_era(self.clock.now_ms()))
        for _ in range(10):
            self.clock.advance_ms(500)
            lease.tick()
        self.assertTrue(order_gap.settle_era(self.clock.now_ms()))
        return lease, order_gap

    def test_a_holder_of_a_new_era_waits_for_a_holder_that_has_not_noticed_it(self):
        first, first_gap = self.holder("entry-1")
        self.assertTrue(first.tick())
        copy = self.kvs.snapshot()
        self.assertEqual(["s1"], self.allowed_servers(first_gap, "s1"))
        self.clock.advance_ms(100)
        first.tick()
        self.kvs.restore_copy(copy)
        second, second_gap = self.holder("entry-2")
        self.assertTrue(second.tick())
        self.assertTrue(first.is_held)
        last_order_ms = self.clock.now_ms() + self.times.ttl_ms
        while self.clock.now_ms() < last_order_ms + ORDER_GAP_MS + ORDER_GAP_MARGIN_MS:
            self.assertEqual([], self.allowed_servers(second_gap, "s1"))
            self.clock.advance_ms(400)
            self.assertTrue(second.tick())
        self.assertEqual(["s1"], self.allowed_servers(second_gap, "s1"))
        self.assertGreater(second.fencing, first.fencing)

    def test_a_settled_era_needs_no_wait(self):
        second, second_gap = self.holder("entry-2")
        self.assertTrue(second.tick())
        self.assertEqual(["s1"], self.allowed_servers(second_gap, "s1"))

    def test_a_restoration_that_loses_the_record_of_an_era_makes_holders_wait_again(self):
        copy = KeyValueSnapshot(1, (), ())
        lease, _ = self.holder("entry-1")
        lease.tick()
        self.kvs.restore_copy(copy)
        lease.handle_restore()
        second, second_gap = self.holder("entry-2")
        self.assertTrue(second.tick())
        self.assertEqual([], self.allowed_servers(second_gap, "s1"))

    def test_a_restored_service_ends_the_lease_at_once(self):
        lease, _ = self.holder("entry-1")
        lease.tick()
        self.kvs.restore_copy(self.kvs.snapshot())
        lease.handle_restore()
        self.assertFalse(lease.is_held)
        self.assertTrue(lease.tick() or lease.tick())

    def test_a_key_left_behind_under_the_lease_of_another_instance_is_removed(self):
        copy = self.kvs.snapshot()
        lease, _ = self.holder("entry-1")
        lease.tick()
        late_write = self.kvs.get("duty/weights").value
        self.kvs.restore_copy(copy)
        lease.handle_restore()
        foreign = self.kvs.grant_lease(60_000)
        self.kvs.put_if("duty/weights", late_write, expected=ABSENT, lease_id=foreign)
        self.assertFalse(lease.tick())
        self.assertIsNone(self.kvs.get("duty/weights"))
        self.assertTrue(lease.tick())
