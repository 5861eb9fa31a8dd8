"""Tests of calls with at-most-once semantics."""

import unittest
from dataclasses import replace

from bergamothill.clock import ManualClock
from bergamothill.connection.memorybus import MemoryNetwork
from bergamothill.connection.service import MemoryPlainService, ServiceCall, ServiceReply
from bergamothill.errors import (
    BergamothillError,
    ConflictError,
    Execution,
    InvalidRequestError,
    PeerTimeoutError,
    PeerUnreachableError,
    ProtocolError,
    UnavailableError,
)
from bergamothill.request.action import ActionRunner
from bergamothill.request.actionrecord import (
    MAX_STORED_REPLY_BYTES,
    decode_record,
    record_key,
)
from bergamothill.request.recordlease import LEASE_SHARING_MS, RETENTION_MS, RecordLease
from tests.builders import FaultyKeyValueService, WriteFault
from tests.proof.harness import check_proof
from tests.proof.proof_action import (
    PROOFS,
    AgelessMachine,
    AtMostOnceMachine,
    BackEnd,
    HastyMachine,
    SendFault,
)

CALL = ServiceCall("r1", "mend", "POST", "book", b"pack", "text/plain", "k1", 10_000, "booking")
UNKEYED = replace(CALL, idempotency_key="")


class ActionRunnerTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.kvs = FaultyKeyValueService(self.clock)
        self.service = BackEnd(self.clock)
        self.network = MemoryNetwork()
        self.first = self.runner("entry-1")
        self.second = self.runner("entry-2")

    def runner(self, name):
        return ActionRunner(self.kvs, self.network.join(name, "zone-a"), self.clock, name)

    def grant_lease(self, runner):
        runner.performer._lease.current()

    def run_call(self, runner, call=CALL, repeatable=False):
        return runner.run(call, "booking-1", self.service, repeatable=repeatable)

    def refusal(self, runner, call=CALL, error=BergamothillError, repeatable=False):
        with self.assertRaises(error) as caught:
            self.run_call(runner, call, repeatable)
        return caught.exception

    def ran(self):
        return [run.call.request_id for run in self.service.runs]

    def test_a_repeat_at_another_entry_gets_the_recorded_reply(self):
        reply = self.run_call(self.first)
        self.assertEqual(reply, self.run_call(self.second, replace(CALL, request_id="r2")))
        self.assertEqual(["r1"], self.ran())

    def test_brands_and_services_share_no_record(self):
        calls = [CALL, replace(CALL, brand="mend/booking"), replace(CALL, service_name="parts")]
        self.assertEqual(3, len({record_key(call) for call in calls}))

    def test_another_body_under_the_key_is_refused(self):
        self.run_call(self.first)
        refused = self.refusal(self.second, replace(CALL, body=b"other"), ConflictError)
        self.assertEqual(Execution.NOT_RUN, refused.execution)

    def test_a_key_without_a_service_name_is_refused(self):
        self.refusal(self.first, replace(CALL, service_name=""), InvalidRequestError)

    def test_a_lost_claim_reply_is_settled(self):
        self.grant_lease(self.first)
        self.kvs.fault = WriteFault.LOST_REPLY
        self.assertEqual(201, self.run_call(self.first).status)
        self.assertEqual(["r1"], self.ran())

    def test_without_the_key_value_service_a_keyed_call_is_not_run(self):
        self.kvs.is_down = True
        refused = self.refusal(self.first, error=UnavailableError)
        self.assertEqual(Execution.NOT_RUN, refused.execution)
        self.assertEqual("booking-1", refused.peer)
        self.assertIsNotNone(refused.retry_after_ms)
        self.kvs.is_down = False
        self.run_call(self.first)
        self.assertEqual(["r1"], self.ran())

    def test_an_entry_that_sent_the_call_before_never_says_not_run(self):
        self.service.fault = SendFault.LOST_REPLY
        self.refusal(self.first, error=PeerTimeoutError)
        self.kvs.is_down = True
        refused = self.refusal(self.first, error=UnavailableError)
        self.assertEqual(Execution.UNKNOWN, refused.execution)

    def test_a_late_claim_of_a_live_owner_is_taken_over(self):
        self.grant_lease(self.first)
        self.kvs.fault = WriteFault.LATE
        refused = self.refusal(self.first, error=UnavailableError)
        self.assertEqual(Execution.NOT_RUN, refused.execution)
        self.kvs.fault = WriteFault.NONE
        self.kvs.land_late_write()
        self.run_call(self.second, replace(CALL, request_id="r2"))
        self.assertEqual(["r2"], self.ran())

    def test_a_claim_of_a_dead_owner_is_an_unknown_outcome(self):
        self.grant_lease(self.first)
        self.kvs.fault = WriteFault.LATE
        self.refusal(self.first, error=UnavailableError)
        self.kvs.fault = WriteFault.NONE
        self.kvs.land_late_write()
        self.network.leave("entry-1")
        refused = self.refusal(self.second, error=PeerTimeoutError)
        self.assertEqual(Execution.UNKNOWN, refused.execution)
        self.assertIsNotNone(refused.retry_after_ms)

    def test_a_call_that_was_not_sent_frees_its_key(self):
        self.service.fault = SendFault.NOT_SENT
        refused = self.refusal(self.first, error=UnavailableError)
        self.assertEqual(Execution.NOT_RUN, refused.execution)
        self.first.maintain()
        self.assertIsNone(self.kvs.get(record_key(CALL)))

    def test_a_lost_reply_is_unknown_for_all_and_never_sent_again(self):
        self.service.fault = SendFault.LOST_REPLY
        self.refusal(self.first, error=PeerTimeoutError)
        self.service.fault = SendFault.NONE
        self.refusal(self.first, error=PeerTimeoutError)
        self.refusal(self.second, error=PeerTimeoutError)
        self.assertEqual(["r1"], self.ran())

    def test_a_completion_that_failed_is_recorded_later(self):
        def answer(call):
            self.kvs.is_down = True
            return ServiceReply(201, "text/plain", b"late")

        service = MemoryPlainService(answer)
        reply = self.first.run(CALL, "booking-1", service, repeatable=False)
        self.first.maintain()
        self.kvs.is_down = False
        self.first.maintain()
        self.assertEqual(reply, self.run_call(self.second))
        self.assertEqual(1, len(service.effects))

    def test_a_large_reply_is_not_kept_and_the_repeat_says_so(self):
        reply = ServiceReply(201, "text/plain", bytes(MAX_STORED_REPLY_BYTES + 1))
        service = MemoryPlainService(lambda call: reply)
        self.assertEqual(reply, self.first.run(CALL, "b", service, repeatable=False))
        refused = self.refusal(self.second, error=ConflictError)
        self.assertEqual(Execution.UNKNOWN, refused.execution)

    def test_a_bad_record_is_never_overwritten(self):
        self.kvs.put_if(record_key(CALL), b"\xff", expected=0)
        refused = self.refusal(self.first, error=UnavailableError)
        self.assertEqual(Execution.UNKNOWN, refused.execution)
        with self.assertRaises(ProtocolError):
            decode_record(b"\xff")

    def test_a_call_without_a_key_is_sent_once_without_a_record(self):
        self.kvs.is_down = True
        self.assertEqual(201, self.run_call(self.first, UNKEYED).status)
        self.service.fault = SendFault.NEVER_RUN
        refused = self.refusal(self.first, UNKEYED, PeerTimeoutError)
        self.assertEqual(Execution.UNKNOWN, refused.execution)
        self.service.fault = SendFault.NOT_SENT
        refused = self.refusal(self.first, UNKEYED, PeerUnreachableError)
        self.assertIsNotNone(refused.retry_after_ms)
        self.assertEqual(["r1"], self.ran())

    def test_a_repeatable_call_is_sent_again_within_a_bound(self):
        calls = []

        def answer(call):
            calls.append(call)
            raise PeerTimeoutError("reply lost", step="service")

        with self.assertRaises(PeerTimeoutError):
            self.first.run(UNKEYED, "b", MemoryPlainService(answer), repeatable=True)
        self.assertEqual(2, len(calls))
        self.assertEqual(1, self.first.outcomes["unknown"])

    def test_a_timeout_and_then_a_refusal_are_not_a_call_that_did_not_run(self):
        errors = [PeerTimeoutError("lost", step="s"), PeerUnreachableError("away", step="s")]

        def answer(call):
            raise errors.pop(0)

        with self.assertRaises(PeerUnreachableError) as caught:
            self.first.run(UNKEYED, "b", MemoryPlainService(answer), repeatable=True)
        self.assertEqual(Execution.UNKNOWN, caught.exception.execution)


class RecordLeaseTest(unittest.TestCase):
    def test_one_lease_serves_an_hour_and_outlives_the_retention(self):
        clock = ManualClock()
        kvs = FaultyKeyValueService(clock)
        lease = RecordLease(kvs, clock)
        first = lease.current()
        clock.advance_ms(LEASE_SHARING_MS - 1)
        self.assertEqual(first, lease.current())
        kvs.put_if("k", b"", expected=0, lease_id=first)
        clock.advance_ms(RETENTION_MS)
        self.assertIsNotNone(kvs.get("k"))
        self.assertNotEqual(first, lease.current())
        clock.advance_ms(LEASE_SHARING_MS)
        self.assertIsNone(kvs.get("k"))


class AtMostOnceProofTest(unittest.TestCase):
    def test_proof(self):
        check_proof(self, PROOFS[0])

    def test_a_silent_owner_keeps_its_record(self):
        self.assert_needed(AtMostOnceMachine, HastyMachine, _owner_dies_after_its_send)

    def test_a_claim_that_outlived_its_record_is_not_sent(self):
        self.assert_needed(AtMostOnceMachine, AgelessMachine, _owner_sleeps_for_a_day)

    def assert_needed(self, whole, lacking, scenario):
        scenario(whole())
        with self.assertRaisesRegex(AssertionError, "ran for r[12] and again for r[12]"):
            scenario(lacking())


def _owner_dies_after_its_send(machine):
    machine.build()
    machine.request(entry=0, brand="mend", key=0, is_other=False, steps=2, fault=SendFault.NONE)
    machine.freeze_owner(index=0)
    machine.request(entry=1, brand="mend", key=0, is_other=False, steps=20, fault=SendFault.NONE)
    machine.teardown()


def _owner_sleeps_for_a_day(machine):
    machine.build()
    machine.request(entry=0, brand="mend", key=0, is_other=False, steps=1, fault=SendFault.NONE)
    machine.freeze_owner(index=0)
    machine.let_records_expire()
    machine.request(entry=1, brand="mend", key=0, is_other=False, steps=20, fault=SendFault.NONE)
    machine.wake(steps=20)
