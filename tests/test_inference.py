import unittest

from bergamothill.connection.engine import EventKind, StreamEvent
from bergamothill.errors import Execution, OverloadedError, PeerTimeoutError, StreamBrokenError
from bergamothill.ids import ServerId, StreamId, WeightVersion
from bergamothill.request.inference import (
    Closed,
    Failed,
    Finished,
    InferenceMachine,
    Place,
    Placed,
    Refused,
    Resume,
)
from tests.proof.harness import check_proof
from tests.proof.proof_stream import PROOFS, answer

E1 = ServerId("e1")
S1 = StreamId("s1")


def started_machine():
    machine = InferenceMachine(WeightVersion("v1"))
    machine.handle(Placed(E1, S1))
    machine.mark_sending()
    return machine


class InferenceMachineTests(unittest.TestCase):
    def test_start_is_held_until_the_first_token(self):
        machine = started_machine()
        events = answer(1)
        self.assertEqual((), machine.receive(events[0]))
        self.assertEqual(tuple(events[:2]), machine.receive(events[1]))

    def test_run_lost_before_its_first_token_moves_on(self):
        machine = started_machine()
        machine.receive(answer(1)[0])
        self.assertEqual(Place((E1,)), machine.handle(Closed()))

    def test_run_lost_after_its_first_token_is_resumed(self):
        machine = started_machine()
        for event in answer(3)[:2]:
            machine.receive(event)
        self.assertEqual(Resume(E1, S1, 1), machine.handle(Closed()))

    def test_whole_answer_finishes(self):
        machine = started_machine()
        for event in answer(2):
            machine.receive(event)
        self.assertEqual(Finished(), machine.handle(Closed()))

    def test_resumptions_without_progress_end_in_a_typed_error(self):
        machine = started_machine()
        for event in answer(3)[:2]:
            machine.receive(event)
        effect = machine.handle(Closed())
        while isinstance(effect, Resume):
            effect = machine.handle(Closed())
        self.assertIsInstance(effect, Failed)
        self.assertIsInstance(effect.error, StreamBrokenError)

    def test_refusal_after_a_timeout_is_not_called_not_run(self):
        machine = started_machine()
        machine.handle(Refused(PeerTimeoutError("reset", step="engine.run")))
        effect = None
        for number in (2, 3):
            machine.handle(Placed(ServerId(f"e{number}"), StreamId(f"s{number}")))
            machine.mark_sending()
            effect = machine.handle(Refused(OverloadedError("full", step="engine.run")))
        self.assertIs(Execution.UNKNOWN, effect.error.execution)

    def test_late_events_of_an_abandoned_attempt_are_dropped(self):
        machine = started_machine()
        machine.receive(answer(2)[0], S1)
        machine.handle(Closed())
        machine.handle(Placed(ServerId("e2"), StreamId("s2")))
        machine.mark_sending()
        for event in answer(2, "s1"):
            self.assertEqual((), machine.receive(event, S1))
        events = answer(2, "s2")
        machine.receive(events[0], StreamId("s2"))
        self.assertEqual(tuple(events[:2]), machine.receive(events[1], StreamId("s2")))

    def test_cancelled_run_is_not_a_whole_answer(self):
        machine = started_machine()
        for event in answer(3)[:2]:
            machine.receive(event)
        end = StreamEvent(2, EventKind.END, finish_reason="cancelled")
        self.assertEqual((), machine.receive(end))
        self.assertIsInstance(machine.handle(Closed()), Failed)

    def test_resumptions_without_progress_wait_longer_each_time(self):
        machine = started_machine()
        for event in answer(3)[:2]:
            machine.receive(event)
        pauses = [machine.handle(Closed()).pause_ms for _ in range(3)]
        self.assertEqual([0, 250, 1_000], pauses)

    def test_error_event_ends_the_stream(self):
        machine = started_machine()
        for event in answer(3)[:2]:
            machine.receive(event)
        machine.receive(StreamEvent(2, EventKind.ERROR, text="out of memory"))
        self.assertIsInstance(machine.handle(Closed()), Failed)


class InferenceProofTests(unittest.TestCase):
    def test_whole_answers(self):
        check_proof(self, PROOFS[0])

    def test_not_run(self):
        check_proof(self, PROOFS[1])
