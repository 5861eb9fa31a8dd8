"""Proofs of complete answers and correct ``not_run`` errors, with engines that fail at any step."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from bergamothill.connection.engine import EventKind, StreamEvent
from bergamothill.errors import (
    BergamothillError,
    Execution,
    NotFoundError,
    OverloadedError,
    PeerTimeoutError,
    PeerUnreachableError,
    StreamBrokenError,
    UnavailableError,
)
from bergamothill.ids import ServerId, StreamId, WeightVersion
from bergamothill.request.attemptlog import AttemptLog
from bergamothill.request.inference import (
    Closed,
    Failed,
    Finished,
    InferenceMachine,
    Place,
    Placed,
    Refused,
    Resume,
    Send,
    Unplaceable,
)
from bergamothill.request.stream import AnswerStream
from tests.proof.harness import Proof, ProofMachine

VERSION = WeightVersion("v1")
SERVERS = tuple(ServerId(f"e{number}") for number in range(4))


def answer(length: int, stream: str = "") -> list[StreamEvent]:
    """Return the whole answer of a run: START, tokens unique to the stream, END."""
    tokens = [
        StreamEvent(number, EventKind.TOKEN, text=f"{stream}t{number}")
        for number in range(1, length + 1)
    ]
    start = StreamEvent(0, EventKind.START, weight_version=VERSION)
    return [start, *tokens, StreamEvent(length + 1, EventKind.END, finish_reason="stop")]


class UnorderedStream(AnswerStream):
    """Test double that does not order events by sequence number."""

    def receive(self, event):
        delivered = AnswerStream(after=event.sequence - 1).receive(event)
        self.after = max(self.after, event.sequence)
        if event.kind is EventKind.END:
            self.phase = type(self.phase).COMPLETE
        return delivered


class LastAttemptLog(AttemptLog):
    """Test double that derives the execution state from the last attempt only."""

    def execution(self):
        last = self._attempts[-1:]
        never_ran = all(attempt.state.value in ("unsent", "refused") for attempt in last)
        return Execution.NOT_RUN if never_ran else Execution.UNKNOWN


class InferenceWorld(ProofMachine):
    """One inference at a time; the rules simulate engines and connections."""

    double = InferenceMachine

    def __init__(self):
        super().__init__()
        self.machine = None

    def build_machine(self):
        machine_class = InferenceMachine if self.mechanism_enabled else self.double
        return machine_class(VERSION)

    @initialize()
    def begin_request(self):
        self.machine = self.build_machine()
        self.ran = set()
        self.kept_answers = {}
        self.delivered = []
        self.position = 0
        self.attempt_count = 0
        self.effect = self.machine.begin()

    def handle_effect(self, effect):
        self.effect = effect
        if isinstance(effect, Finished):
            self.check_finished()
        elif isinstance(effect, Failed):
            self.check_failed(effect.error)
        if isinstance(effect, Finished | Failed):
            self.begin_request()

    def check_finished(self):
        whole = next((kept for kept in self.kept_answers.values() if kept == self.delivered), None)
        assert whole is not None, (
            f"delivered {self.delivered}, which is not the whole answer of any engine"
        )

    def check_failed(self, error):
        if error.execution is Execution.NOT_RUN:
            assert not self.ran, f"failed as not run, but {sorted(self.ran)} ran it"
        if self.delivered:
            assert self.delivered[-1].kind is not EventKind.END, "failed after a whole answer"

    def deliver(self, event):
        self.receive_event(event, self.effect.stream_id)

    def receive_event(self, event, stream_id):
        for ready in self.machine.receive(event, stream_id):
            if ready.sequence != len(self.delivered):
                raise AssertionError(f"event {ready} at position {len(self.delivered)}")
            self.delivered.append(ready)

    @precondition(lambda self: isinstance(self.effect, Place))
    @rule(server=st.sampled_from(SERVERS))
    def place(self, server):
        self.operation()
        self.attempt_count += 1
        self.handle_effect(self.machine.handle(Placed(server, StreamId(f"s{self.attempt_count}"))))

    @precondition(lambda self: isinstance(self.effect, Place))
    @rule()
    def no_server(self):
        self.fault()
        error = UnavailableError("no engine", step="route", retry_after_ms=100)
        self.handle_effect(self.machine.handle(Unplaceable(error)))

    @precondition(lambda self: isinstance(self.effect, Send))
    @rule()
    def not_sent(self):
        self.fault()
        error = PeerUnreachableError("connection refused", step="engine.run")
        self.handle_effect(self.machine.handle(Refused(error)))

    @precondition(lambda self: isinstance(self.effect, Send))
    @rule()
    def refuse(self):
        self.fault()
        self.machine.mark_sending()
        self.handle_effect(self.machine.handle(Refused(OverloadedError("full", step="engine.run"))))

    @precondition(lambda self: isinstance(self.effect, Send))
    @rule(did_run=st.booleans())
    def lose_reply(self, did_run):
        self.fault()
        self.machine.mark_sending()
        if did_run:
            self.ran.add(self.effect.server)
        self.handle_effect(
            self.machine.handle(Refused(PeerTimeoutError("reset", step="engine.run")))
        )

    @precondition(lambda self: isinstance(self.effect, Send))
    @rule(length=st.integers(0, 6), steps=st.lists(st.integers(0, 9), max_size=12))
    def run(self, length, steps):
        self.operation()
        self.machine.mark_sending()
        self.ran.add(self.effect.server)
        whole = self.keep_answer(length)
        self.play(whole, steps)

    @precondition(lambda self: isinstance(self.effect, Send))
    @rule(length=st.integers(0, 4), count=st.integers(0, 8))
    def run_in_order_then_cut(self, length, count):
        self.fault()
        self.machine.mark_sending()
        self.ran.add(self.effect.server)
        whole = self.keep_answer(length)
        self.play(whole, range(count))

    @precondition(lambda self: isinstance(self.effect, Resume))
    @rule(steps=st.lists(st.integers(0, 9), max_size=12))
    def resume(self, steps):
        self.fault()
        kept = self.kept_answers.get(self.effect.stream_id, [])
        self.play(kept[self.effect.after + 1 :], steps)

    @precondition(lambda self: isinstance(self.effect, Resume))
    @rule()
    def resume_whole(self):
        self.operation()
        kept = self.kept_answers.get(self.effect.stream_id, [])
        rest = kept[self.effect.after + 1 :]
        self.play(rest, range(len(rest)))

    @precondition(lambda self: isinstance(self.effect, Resume))
    @rule()
    def engine_forgot_stream(self):
        self.fault()
        self.kept_answers.pop(self.effect.stream_id, None)
        self.handle_effect(
            self.machine.handle(Refused(NotFoundError("unknown", step="engine.resume")))
        )

    @precondition(lambda self: isinstance(self.effect, Resume))
    @rule()
    def resume_fails(self):
        self.fault()
        error = StreamBrokenError("cut", step="engine.resume", execution=Execution.UNKNOWN)
        self.handle_effect(self.machine.handle(Refused(error)))

    @precondition(lambda self: isinstance(self.effect, Send))
    @rule()
    def run_another_version(self):
        self.fault()
        self.machine.mark_sending()
        self.ran.add(self.effect.server)
        start = StreamEvent(0, EventKind.START, weight_version="v0")
        try:
            self.deliver(start)
        except BergamothillError as error:
            self.handle_effect(self.machine.handle(Refused(error)))
            return
        raise AssertionError("a run of another weight version was accepted")

    @precondition(lambda self: isinstance(self.effect, Send | Resume))
    @rule(count=st.integers(1, 9), choice=st.integers(0, 3))
    def late_events_of_an_abandoned_attempt(self, count, choice):
        """Deliver events of an abandoned attempt while the next one is in progress."""
        abandoned = sorted(name for name in self.kept_answers if name != self.effect.stream_id)
        if not abandoned:
            return
        self.fault()
        name = abandoned[choice % len(abandoned)]
        for event in self.kept_answers[name][:count]:
            self.receive_event(event, name)

    @precondition(lambda self: isinstance(self.effect, Resume))
    @rule()
    def cancelled_by_another_connection(self):
        """Let another connection of the caller cancel the run; the engine ends it with END."""
        self.fault()
        after = self.effect.after
        self.deliver(StreamEvent(after + 1, EventKind.END, finish_reason="cancelled"))
        self.handle_effect(self.machine.handle(Closed()))

    def keep_answer(self, length):
        """Start a run whose engine keeps the answer, and return the answer."""
        self.kept_answers[self.effect.stream_id] = answer(length, self.effect.stream_id)
        return self.kept_answers[self.effect.stream_id]

    def play(self, events, order):
        """Deliver events in the given order, with repeats and gaps, then close the connection."""
        for index in order:
            if index < len(events):
                self.deliver(events[index])
        self.handle_effect(self.machine.handle(Closed()))


class UnorderedMachine(InferenceMachine):
    """Test double whose streams are not ordered."""

    def _new_stream(self, after):
        return UnorderedStream(after)

    def _check_version(self, ready):
        # Skips tokens: the version check would otherwise reject a token that overtakes START.
        super()._check_version(tuple(event for event in ready if event.kind is EventKind.START))


class LastAttemptMachine(InferenceMachine):
    """Test double whose errors depend on the last attempt only."""

    def _new_attempts(self):
        return LastAttemptLog()


class WholeAnswers(InferenceWorld):
    """Point 4: the caller gets each event once, in order, and END only after all of them."""

    double = UnorderedMachine


class TrueRefusals(InferenceWorld):
    """Point 5: an error says ``not_run`` only if no engine recorded the run."""

    double = LastAttemptMachine


PROOFS = (
    Proof(slug="whole-answers", machine=WholeAnswers),
    Proof(slug="not-run", machine=TrueRefusals),
)
