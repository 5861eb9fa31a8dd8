from __future__ import annotations

import unittest

from scripts.measure import measure
from scripts.measurement.fakes import EventLoop, FakeEngine, PrefillJob
from scripts.measurement.floor import compute_floor
from scripts.measurement.replay import Fault
from scripts.measurement.trace import BLOCK_TOKENS, DEPLOYMENTS, generate_trace

ASSOCIATION = DEPLOYMENTS["association"]


class TraceTests(unittest.TestCase):
    def test_trace_is_deterministic_and_a_flood_is_ten_times_the_share(self) -> None:
        def summarize_trace(seed: int, flood_ms: int | None) -> list[tuple]:
            trace = generate_trace(ASSOCIATION, seed, 60_000, flood_ms)
            return [(each.at_ms, each.prompt_tokens, each.conversation.brand) for each in trace]

        self.assertEqual(summarize_trace(1, None), summarize_trace(1, None))
        self.assertNotEqual(summarize_trace(1, None), summarize_trace(2, None))
        calm = sum(brand == "brand-2" for *_, brand in summarize_trace(1, None))
        flood = sum(brand == "brand-2" for *_, brand in summarize_trace(1, 0))
        self.assertAlmostEqual(10, flood / calm, delta=2)


class FakeEngineTests(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = EventLoop()
        server, zone = next(iter(ASSOCIATION.engines().items()))
        self.engine = FakeEngine(server, zone, self.loop, ASSOCIATION)
        self.done: list[tuple[str, int, int]] = []

    def submit(self, name: str, blocks: int, priority: int = 0) -> None:
        keys = tuple(f"{name}/{i}" for i in range(blocks))

        def done(cached: int) -> None:
            self.done.append((name, self.loop.clock.now_ms(), cached))

        self.engine.submit(PrefillJob(keys, blocks * BLOCK_TOKENS, priority, done))

    def test_lower_priority_number_preempts_at_the_next_chunk(self) -> None:
        self.submit("late", 4, priority=5)
        self.submit("soon", 1, priority=0)
        self.loop.run(10_000)
        self.assertEqual([("soon", 189, 0), ("late", 630, 0)], self.done)
        self.submit("late", 4)
        self.loop.run(20_000)
        self.assertEqual(4, self.done[-1][2])

    def test_link_transfers_in_fifo_order(self) -> None:
        for name in ("a", "b"):
            self.engine.transfer(
                125_000_000, lambda name=name: self.done.append((name, self.loop.clock.now_ms(), 0))
            )
        self.loop.run(1_000)
        self.assertEqual([("a", 100, 0), ("b", 200, 0)], self.done)

    def test_floor_without_stored_blocks_is_the_prefill_time(self) -> None:
        arrival = next(
            each
            for each in generate_trace(ASSOCIATION, 1, 60_000, None)
            if each.returning_tokens >= 4 * BLOCK_TOKENS
        )
        keys = arrival.conversation.block_keys(arrival.prompt_tokens)
        nothing = compute_floor(arrival, keys, [None] * len(keys), [self.engine], ASSOCIATION)
        self.assertEqual(arrival.prompt_tokens / 16 + 1, nothing.ttft_ms)
        self.assertEqual(0, nothing.needed_bytes)


class MeasureTests(unittest.TestCase):
    def test_each_fault_gives_a_result_line(self) -> None:
        for fault in Fault:
            line = measure("association", fault, "v1", 1, 12_000)
            self.assertIn(f"fault={fault.value} policy=v1 seed=1 ttft_p50_ms=", line)
