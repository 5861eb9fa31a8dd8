"""Tests of the duty that orders weight swaps."""

import unittest
from concurrent.futures import ThreadPoolExecutor

from bergamothill.clock import ManualClock
from bergamothill.process.lease import DutyLease
from bergamothill.process.leasemachine import LeaseTimes
from bergamothill.process.ordergap import ORDER_GAP_MARGIN_MS, OrderGapGuard
from bergamothill.process.swapduty import SwapDuty
from bergamothill.version.weightswap import SwapEngine, SwapEngineState, SwapOutcome
from bergamothill.version.weighttarget import WeightTarget
from tests.builders import FaultyKeyValueService

ORDER_GAP_MS = 3_000
TIMES = LeaseTimes(ttl_ms=1_500, margin_ms=300, settle_ms=0)
MARKER_KEY = "duty-orders/weights"
ENGINE = SwapEngine("s1", 1, "s1:80", "m1", 1)


class SlowMarkerService(FaultyKeyValueService):
    """Key-value service whose writes of the order marker take some time."""

    def __init__(self, clock):
        super().__init__(clock)
        self.clock, self.marker_write_ms = clock, 0

    def put_if(self, key, value, **options):
        if key == MARKER_KEY:
            self.clock.advance_ms(self.marker_write_ms)
        return super().put_if(key, value, **options)


class Engines:
    """Calls to one engine with old weights; records the orders."""

    def __init__(self, clock):
        self.clock = clock
        self.ordered_ms, self.timeouts_ms = [], []

    def fetch_swap_state(self, engine):
        return SwapEngineState({engine.model: 1}, False, len(self.ordered_ms), 0, 0)

    def order_swap(self, order, holder, fencing, timeout_ms):
        self.ordered_ms.append(self.clock.now_ms())
        self.timeouts_ms.append(timeout_ms)
        return SwapOutcome.ACCEPTED


class SwapDutyTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(10_000)
        self.kvs = SlowMarkerService(self.clock)
        self.pool = ThreadPoolExecutor(max_workers=1)
        self.addCleanup(self.pool.shutdown)

    def duty(self, name, **options):
        lease = DutyLease(self.kvs, self.clock, "weights", name, times=TIMES)
        gap = OrderGapGuard(self.kvs, MARKER_KEY, name, lease, ORDER_GAP_MS, TIMES.ttl_ms)
        engines = Engines(self.clock)
        duty = SwapDuty(
            lease,
            gap,
            self.clock,
            engines,
            lambda: ({"m1": WeightTarget("m1", 2)}, (ENGINE,)),
            name,
            enforces_fencing=False,
            on_swapped=lambda engine, version: None,
            **options,
        )
        return duty, engines

    def run_until_ordered(self, duty, engines):
        for _ in range(200):
            is_busy = duty._tick(self.pool)
            if engines.ordered_ms:
                return
            self.assertTrue(is_busy, "the duty rests although an engine has old weights")
            self.clock.advance_ms(40)
        self.fail("no order was sent")

    def test_an_order_ends_before_the_next_holder_can_take_the_duty(self):
        duty, engines = self.duty("entry-1")
        self.kvs.marker_write_ms = 1_000
        self.run_until_ordered(duty, engines)
        held_until_ms = self.clock.now_ms() - 1_000 - 40 + TIMES.ttl_ms - TIMES.margin_ms
        self.assertEqual([held_until_ms - engines.ordered_ms[0]], engines.timeouts_ms)

    def test_an_instance_that_reaches_no_engine_leaves_the_duty_to_another(self):
        reaches = [True]
        first, _ = self.duty("entry-1", reaches_engines=lambda: reaches[0])
        second, engines = self.duty("entry-2")
        first._tick(self.pool)
        self.assertTrue(first.is_held)
        reaches[0] = False
        first._tick(self.pool)
        self.run_until_ordered(second, engines)
        self.assertFalse(first._tick(self.pool))
        self.assertTrue(second.is_held)

    def test_orders_are_sent_as_soon_as_the_gap_of_a_previous_holder_has_passed(self):
        first, engines = self.duty("entry-1")
        self.run_until_ordered(first, engines)
        self.clock.advance_ms(TIMES.ttl_ms)
        acquired_ms = self.clock.now_ms()
        second, engines = self.duty("entry-2")
        self.run_until_ordered(second, engines)
        late_ms = engines.ordered_ms[0] - acquired_ms - ORDER_GAP_MS - ORDER_GAP_MARGIN_MS
        self.assertLessEqual(late_ms, 300)
