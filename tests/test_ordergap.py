"""Tests of the gaps that separate the orders of successive lease holders."""

import unittest

from bergamothill.clock import ManualClock
from bergamothill.connection.kvs import ABSENT
from bergamothill.connection.kvs_memory import KeyValueSnapshot
from bergamothill.errors import PeerTimeoutError
from bergamothill.process.lease import DutyLease
from bergamothill.process.leasemachine import LeaseTimes
from bergamothill.process.ordergap import ORDER_GAP_MARGIN_MS, OrderGapGuard
from tests.builders import FaultyKeyValueService, RestorableStore, StoreClient, WriteFault

ORDER_GAP_MS = 3_000


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
