"""Tests of weight swaps."""

import unittest

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

TARGET = {"m1": WeightTarget("m1", 2)}


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
