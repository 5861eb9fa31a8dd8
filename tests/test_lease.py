"""Tests of duty leases and of the orders sent under them."""

import unittest

from bergamothill.clock import ManualClock
from bergamothill.connection.kvs import ABSENT
from bergamothill.connection.kvs_memory import MemoryKeyValueService
from bergamothill.errors import LeaseLostError, UnavailableError
from bergamothill.process.lease import DutyLease, duty_key
from bergamothill.process.leasemachine import (
    CLOCK_SKEW_MS,
    LEASE_MARGIN_MS,
    LEASE_TTL_MS,
    ORDER_TTL_MS,
)
from tests.builders import FaultyKeyValueService, WriteFault
from tests.proof.harness import check_proof
from tests.proof.proof_lease import (
    PROOFS,
    CarelessGate,
    FencingMachine,
    ImpatientMachine,
    OrderFate,
)

DUTY = "rollout/zone-a"


class DutyLeaseTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.kvs = FaultyKeyValueService(self.clock)
        self.first = DutyLease(self.kvs, self.clock, DUTY, "entry-1")
        self.second = DutyLease(self.kvs, self.clock, DUTY, "entry-2")

    def test_one_holder_at_a_time_with_increasing_fencing_numbers(self):
        self.assertTrue(self.first.tick())
        self.assertFalse(self.second.tick())
        fencing = self.first.fencing
        self.first.release()
        self.assertFalse(self.first.is_held)
        self.assertTrue(self.second.tick())
        self.assertGreater(self.second.fencing, fencing)

    def test_renewal_keeps_the_fencing_number(self):
        self.first.tick()
        fencing = self.first.fencing
        for _ in range(10):
            self.clock.advance_ms(LEASE_TTL_MS // 2)
            self.assertTrue(self.first.tick())
        self.assertEqual(fencing, self.first.fencing)

    def test_a_paused_holder_gets_no_order_permit(self):
        self.first.tick()
        self.clock.advance_ms(LEASE_TTL_MS - LEASE_MARGIN_MS)
        with self.assertRaises(LeaseLostError):
            self.first.permit(rejects_stale_fencing=True)
        self.clock.advance_ms(LEASE_MARGIN_MS)
        self.assertTrue(self.second.tick())
        self.assertFalse(self.first.tick())

    def test_an_outage_ends_the_lease_at_its_safety_margin(self):
        self.first.tick()
        self.kvs.is_down = True
        self.clock.advance_ms(LEASE_TTL_MS // 2)
        self.assertTrue(self.first.tick())
        self.clock.advance_ms(LEASE_TTL_MS // 2)
        self.assertFalse(self.first.tick())
        self.kvs.is_down = False
        self.assertTrue(self.first.tick())

    def test_acquisition_recovers_from_a_lost_reply(self):
        self.kvs.grant_lease = MemoryKeyValueService.grant_lease.__get__(self.kvs)
        self.kvs.fault = WriteFault.LOST_REPLY
        self.assertTrue(self.first.tick())
        self.assertEqual(self.kvs.get(duty_key(DUTY)).mod_revision, self.first.fencing)

    def test_a_non_holder_waits_for_the_key_to_change(self):
        self.assertFalse(self.second.wait_for_change(0))
        self.first.tick()
        self.second.tick()
        self.assertFalse(self.first.wait_for_change(0))
        waits = []
        self.kvs.wait_for_change = lambda key, *, after, timeout_ms: (
            waits.append((key, after)) or after
        )
        self.assertTrue(self.second.wait_for_change(0))
        self.assertEqual([(duty_key(DUTY), self.kvs.peek(duty_key(DUTY)).mod_revision)], waits)

    def test_wait_change_returns_false_without_watch_history(self):
        self.first.tick()
        self.second.tick()
        self.kvs.wait_for_change = lambda key, *, after, timeout_ms: 0
        self.assertFalse(self.second.wait_for_change(0))

    def test_an_undecodable_holder_record_is_not_overwritten(self):
        self.kvs.put_if(duty_key(DUTY), b"\xff", expected=ABSENT)
        self.assertFalse(self.first.tick())
        self.assertEqual(b"\xff", self.kvs.get(duty_key(DUTY)).value)

    def test_a_new_holder_waits_for_engines_that_ignore_fencing_numbers(self):
        self.first.tick()
        permit = self.first.permit(rejects_stale_fencing=True)
        self.assertEqual(self.first.fencing, permit.fencing)
        self.assertEqual(self.clock.wall_ms() + permit.valid_for_ms, permit.deadline_wall_ms)
        with self.assertRaises(UnavailableError) as caught:
            self.first.permit(rejects_stale_fencing=False)
        self.assertEqual(ORDER_TTL_MS + CLOCK_SKEW_MS, caught.exception.retry_after_ms)
        self.clock.advance_ms(caught.exception.retry_after_ms)
        self.first.permit(rejects_stale_fencing=False)


class FencingProofTest(unittest.TestCase):
    def test_proof(self):
        check_proof(self, PROOFS[0])

    def test_a_new_holder_that_does_not_wait_is_overtaken(self):
        _order_arrives_after_the_next_holders(FencingMachine())
        with self.assertRaisesRegex(AssertionError, "took effect after"):
            _order_arrives_after_the_next_holders(ImpatientMachine())

    def test_a_holder_that_does_not_check_its_lease_sends_after_expiry(self):
        _holder_is_paused_past_its_lease(FencingMachine())
        careless = type("CarelessMachine", (FencingMachine,), {"gate_class": CarelessGate})
        with self.assertRaisesRegex(AssertionError, "past its lease"):
            _holder_is_paused_past_its_lease(careless())


def _order_arrives_after_the_next_holders(machine):
    machine.build()
    machine.tick(index=0, steps=8, fault=WriteFault.NONE)
    machine.let_time_pass_with_renewals(duration_ms=9_000)
    machine.order(index=0, fate=OrderFate.SENT)
    machine.release(steps=8, fault=WriteFault.NONE)
    machine.tick(index=1, steps=8, fault=WriteFault.NONE)
    machine.order(index=0, fate=OrderFate.SENT)
    while machine.on_the_way:
        machine.arrive(index=len(machine.on_the_way) - 1)


def _holder_is_paused_past_its_lease(machine):
    machine.build()
    machine.tick(index=0, steps=8, fault=WriteFault.NONE)
    machine.freeze_holder(duration_ms=20_000)
    machine.tick(index=1, steps=8, fault=WriteFault.NONE)
    machine.wake()
    machine.order(index=0, fate=OrderFate.SENT)
