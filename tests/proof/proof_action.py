"""Proof that a non-idempotent call runs at most once and that ``not_run`` is never wrong."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from bergamothill.clock import ManualClock
from bergamothill.connection.memorybus import MemoryNetwork
from bergamothill.connection.service import PlainService, ServiceCall, ServiceReply
from bergamothill.errors import Execution, PeerTimeoutError, PeerUnreachableError
from bergamothill.request import action
from bergamothill.request.action import ActionRunner
from bergamothill.request.actionattempt import ActionAttempt, ActionState
from bergamothill.request.actionsteps import (
    Answer,
    Effect,
    Event,
    OwnerSilent,
    Refuse,
    Send,
)
from bergamothill.request.recordlease import RETENTION_MS
from tests.builders import FaultyKeyValueService, WriteFault
from tests.proof.harness import Proof, ProofMachine

ENTRIES = 3
MAX_LIVE_ATTEMPTS = 6
MAX_STEPS_TO_FINISH = 60
PAST_RETENTION_MS = RETENTION_MS + 2 * 3_600_000
TIMEOUT_MS = 10_000
WRITE_FAULTS = [fault for fault in WriteFault if fault is not WriteFault.NONE]


class SendFault(Enum):
    """Fault injected into the next call to the backend server."""

    NONE = "none"
    LOST_REPLY = "lost_reply"
    LATE = "late"
    NEVER_RUN = "never_run"
    NOT_SENT = "not_sent"


SEND_FAULTS = [fault for fault in SendFault if fault is not SendFault.NONE]


@dataclass(frozen=True, slots=True)
class Run:
    call: ServiceCall
    at_ms: int


class BackEnd(PlainService):
    """Backend server and oracle: records which calls ran and which were reported as not run."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.fault = SendFault.NONE
        self.late_calls: list[ServiceCall] = []
        self.runs: list[Run] = []
        self.reported_not_run: set[str] = set()
        self.has_violation = False

    def call(self, call: ServiceCall) -> ServiceReply:
        if self.fault is SendFault.NOT_SENT:
            raise PeerUnreachableError("not sent", step="service")
        if self.fault is SendFault.LATE:
            self.late_calls.append(call)
        if self.fault in (SendFault.LATE, SendFault.NEVER_RUN):
            raise PeerTimeoutError("no reply", step="service")
        self.run(call)
        if self.fault is SendFault.LOST_REPLY:
            raise PeerTimeoutError("reply lost", step="service")
        return ServiceReply(201, "text/plain", call.request_id.encode())

    def run(self, call: ServiceCall) -> None:
        for earlier in self._within_retention(call):
            self._fail(
                f"key {call.idempotency_key} ran for {earlier.call.request_id}"
                f" and again for {call.request_id}"
            )
        self.runs.append(Run(call, self.clock.now_ms()))
        self.check_not_run(call.request_id)

    def check_not_run(self, request_id: str) -> None:
        has_run = any(run.call.request_id == request_id for run in self.runs)
        if has_run and request_id in self.reported_not_run:
            self._fail(f"{request_id} was reported as not run, but it ran")

    def check_reply(self, call: ServiceCall, reply: ServiceReply) -> None:
        ran = [run.call for run in self.runs if run.call.request_id.encode() == reply.body]
        if not ran:
            self._fail(f"{call.request_id} got a reply of a call that never ran")
        if (_scope(ran[0]), ran[0].body) != (_scope(call), call.body):
            self._fail(f"{call.request_id} got the reply of {ran[0].request_id}")

    def _fail(self, message: str) -> None:
        self.has_violation = True
        raise AssertionError(message)

    def _within_retention(self, call: ServiceCall) -> list[Run]:
        oldest_ms = self.clock.now_ms() - RETENTION_MS
        return [
            run for run in self.runs if _scope(run.call) == _scope(call) and run.at_ms > oldest_ms
        ]


def _scope(call: ServiceCall) -> tuple[str, str]:
    """Return what two calls must have in common to be the same action."""
    return call.brand, call.idempotency_key


@dataclass(slots=True, eq=False)
class Progress:
    """One attempt in progress: either its next effect or the outcome of that effect is pending."""

    attempt: ActionAttempt
    effect: Effect | None
    event: Event | None = None


class Entry:
    """One entry instance: the production action runner and the attempts in progress."""

    def __init__(self, name: str, world: AtMostOnceMachine) -> None:
        self.name = name
        bus = world.network.join(name, "zone-a")
        self.runner = ActionRunner(world.kvs, bus, world.clock, name)
        self.progress: deque[Progress] = deque()
        self.is_frozen = False
        self.is_cut_off = False


class AtMostOnceMachine(ProofMachine):
    """Several entry instances, one key-value service and one backend server, all with faults."""

    attempt_class: type[ActionAttempt] = ActionAttempt

    @initialize()
    def build(self) -> None:
        self.clock = ManualClock()
        self.kvs = FaultyKeyValueService(self.clock)
        self.backend = BackEnd(self.clock)
        self.network = MemoryNetwork()
        self.start_count = 0
        self.entries = [Entry(f"entry-{number}", self) for number in range(ENTRIES)]

    @rule(
        entry=st.integers(0, ENTRIES - 1),
        brand=st.sampled_from(["mend", "mend", "quill"]),
        key=st.integers(0, 1),
        is_other=st.booleans(),
        steps=st.integers(0, 8),
        fault=st.sampled_from(SendFault),
    )
    def request(
        self, entry: int, brand: str, key: int, is_other: bool, steps: int, fault: SendFault
    ) -> None:
        self.operation() if fault is SendFault.NONE else self.fault()
        body = b"other" if is_other and key else b"body"
        self.backend.fault = fault
        self._start(self.entries[entry], brand, key, body, steps)
        self.backend.fault = SendFault.NONE

    @precondition(lambda self: self._advanceable())
    @rule(index=st.integers(0, 8), steps=st.integers(1, 8))
    def advance(self, index: int, steps: int) -> None:
        self.operation()
        self._advance(index, steps)

    @precondition(lambda self: self._advanceable())
    @rule(index=st.integers(0, 8), steps=st.integers(1, 4), fault=st.sampled_from(WRITE_FAULTS))
    def advance_with_write_fault(self, index: int, steps: int, fault: WriteFault) -> None:
        self.fault()
        self.kvs.fault = fault
        self._advance(index, steps)
        self.kvs.fault = WriteFault.NONE

    @precondition(lambda self: self._advanceable())
    @rule(index=st.integers(0, 8), steps=st.integers(1, 4), fault=st.sampled_from(SEND_FAULTS))
    def advance_with_send_fault(self, index: int, steps: int, fault: SendFault) -> None:
        self.fault()
        self.backend.fault = fault
        self._advance(index, steps)
        self.backend.fault = SendFault.NONE

    @precondition(lambda self: self._advanceable())
    @rule(index=st.integers(0, 8), steps=st.integers(1, 4))
    def advance_in_kvs_outage(self, index: int, steps: int) -> None:
        self.fault()
        self.kvs.is_down = True
        self._advance(index, steps)
        self.kvs.is_down = False

    @precondition(lambda self: not self.kvs.is_down and self._advanceable())
    @rule()
    def begin_kvs_outage(self) -> None:
        self.fault()
        self.kvs.is_down = True

    @precondition(lambda self: self.kvs.is_down)
    @rule()
    def end_kvs_outage(self) -> None:
        self.operation()
        self.kvs.is_down = False

    @precondition(lambda self: self._advanceable())
    @rule(index=st.integers(0, 8))
    def freeze_owner(self, index: int) -> None:
        self.fault()
        entry, _ = self._pick(index)
        entry.is_frozen = True
        self._update_links()

    @precondition(lambda self: any(entry.is_frozen for entry in self.entries))
    @rule(steps=st.integers(0, 8))
    def wake(self, steps: int) -> None:
        self.operation()
        entry = next(entry for entry in self.entries if entry.is_frozen)
        entry.is_frozen = False
        self._update_links()
        if entry.progress:
            self._advance_progress(entry, entry.progress[0], steps)

    @precondition(lambda self: any(entry.progress for entry in self.entries))
    @rule(entry=st.integers(0, ENTRIES - 1), keeps_name=st.booleans())
    def kill_and_replace(self, entry: int, keeps_name: bool) -> None:
        self.fault()
        old = self.entries[entry]
        self.network.leave(old.name)
        self.start_count += 1
        name = old.name if keeps_name else f"entry-{entry}-{self.start_count}"
        self.entries[entry] = Entry(name, self)
        self._update_links()

    @rule(entry=st.integers(0, ENTRIES - 1))
    def toggle_cut(self, entry: int) -> None:
        self.fault()
        self.entries[entry].is_cut_off ^= True
        self._update_links()

    @precondition(lambda self: self.kvs.late_writes)
    @rule(index=st.integers(0, 5))
    def land_late_write(self, index: int) -> None:
        self.fault()
        self.kvs.land_late_write(index % len(self.kvs.late_writes))

    @precondition(lambda self: self.backend.late_calls)
    @rule(index=st.integers(0, 5))
    def land_late_call(self, index: int) -> None:
        self.fault()
        late = self.backend.late_calls
        self.backend.run(late.pop(index % len(late)))

    @rule(entry=st.integers(0, ENTRIES - 1))
    def maintain(self, entry: int) -> None:
        self.operation()
        if not self.entries[entry].is_frozen:
            self.entries[entry].runner.maintain()

    @precondition(lambda self: self._advanceable())
    @rule(duration_ms=st.sampled_from([10, 100, 1_000, 6_000]))
    def let_time_pass(self, duration_ms: int) -> None:
        self.operation()
        self.clock.advance_ms(duration_ms)

    @precondition(lambda self: any(entry.progress for entry in self.entries))
    @rule()
    def let_records_expire(self) -> None:
        """Advance past the retention time; writes and calls delayed that long never arrive."""
        self.fault()
        self.kvs.late_writes.clear()
        self.backend.late_calls.clear()
        self.clock.advance_ms(PAST_RETENTION_MS)

    def teardown(self) -> None:
        """Remove all faults and check that each attempt ends."""
        if not hasattr(self, "entries") or self.backend.has_violation:
            return
        self.kvs.is_down = False
        for entry in self.entries:
            entry.is_frozen = False
            entry.is_cut_off = False
        self._update_links()
        for entry in self.entries:
            while entry.progress:
                self._finish_oldest(entry)
        for call in self.backend.late_calls:
            self.backend.run(call)

    def _update_links(self) -> None:
        """Cut the links of frozen and cut-off entry instances and restore all others."""
        self.network.heal()
        for entry in self.entries:
            if entry.is_frozen or entry.is_cut_off:
                for other in self.entries:
                    self.network.cut(entry.name, other.name)

    def _finish_oldest(self, entry: Entry) -> None:
        oldest = entry.progress[0]
        self._advance_progress(entry, oldest, MAX_STEPS_TO_FINISH)
        if oldest in entry.progress:
            raise AssertionError(
                f"{oldest.attempt.call.request_id} does not end after all faults are removed"
            )

    def _start(self, entry: Entry, brand: str, key: int, body: bytes, steps: int) -> None:
        if entry.is_frozen or len(entry.progress) >= MAX_LIVE_ATTEMPTS:
            return
        self.start_count += 1
        call = ServiceCall(
            f"r{self.start_count}",
            brand,
            "POST",
            "book",
            body,
            "",
            f"k{key}",
            TIMEOUT_MS,
            "booking",
        )
        with mock.patch.object(action, "ActionAttempt", self.attempt_class):
            attempt = entry.runner.begin(call)
        progress = Progress(attempt, None)
        entry.progress.append(progress)
        self._handle_effect(entry, progress, attempt.start())
        self._advance_progress(entry, progress, steps)

    def _advanceable(self) -> list[tuple[Entry, Progress]]:
        awake = [entry for entry in self.entries if not entry.is_frozen]
        return [(entry, progress) for entry in awake for progress in entry.progress]

    def _pick(self, index: int) -> tuple[Entry, Progress]:
        advanceable = self._advanceable()
        return advanceable[index % len(advanceable)]

    def _advance(self, index: int, steps: int) -> None:
        entry, progress = self._pick(index)
        self._advance_progress(entry, progress, steps)

    def _advance_progress(self, entry: Entry, progress: Progress, steps: int) -> None:
        for _ in range(steps):
            if progress not in entry.progress:
                return
            self._advance_once(entry, progress)

    def _advance_once(self, entry: Entry, progress: Progress) -> None:
        if progress.event is None:
            progress.event = entry.runner.performer.perform(progress.effect, self.backend)
            return
        event, progress.event = progress.event, None
        self._handle_effect(entry, progress, progress.attempt.step(event, self.clock.now_ms()))

    def _handle_effect(self, entry: Entry, progress: Progress, effect: Effect) -> None:
        progress.effect = effect
        if isinstance(effect, Send):
            # The product never blocks between the decision to send and the send.
            progress.event = entry.runner.performer.perform(effect, self.backend)
        if isinstance(effect, Answer | Refuse):
            entry.progress.remove(progress)
            entry.runner.finish(progress.attempt)
            self._check_outcome(progress.attempt.call, effect)

    def _check_outcome(self, call: ServiceCall, effect: Answer | Refuse) -> None:
        if isinstance(effect, Answer):
            self.backend.check_reply(call, effect.reply)
        elif effect.error.execution is Execution.NOT_RUN:
            self.backend.reported_not_run.add(call.request_id)
            self.backend.check_not_run(call.request_id)


class UnrecordedAttempt(ActionAttempt):
    """Test double without the mechanism: sends without a record of the action."""

    def start(self) -> Effect:
        self.state = ActionState.SENT
        return Send(self.call)


class TakeoverAttempt(ActionAttempt):
    """Test double that takes over the record of an owner that does not respond."""

    def step(self, event: Event, now_ms: int) -> Effect:
        if isinstance(event, OwnerSilent):
            return self._write_claim_at_revision(self._expected, now_ms)
        return super().step(event, now_ms)


class UncheckedAgeAttempt(ActionAttempt):
    """Test double that sends regardless of the age of its claim."""

    def _is_too_late(self, now_ms: int) -> bool:
        return False


class AtMostOnceProofMachine(AtMostOnceMachine):
    """State machine with the mechanism, or with calls that leave no record."""

    @property
    def attempt_class(self) -> type[ActionAttempt]:
        return ActionAttempt if self.mechanism_enabled else UnrecordedAttempt


class HastyMachine(AtMostOnceMachine):
    """State machine whose entry instances take over from an unresponsive owner at once."""

    attempt_class = TakeoverAttempt


class AgelessMachine(AtMostOnceMachine):
    """State machine whose entry instances do not check the age of a claim."""

    attempt_class = UncheckedAgeAttempt


PROOFS = (Proof("at-most-once", AtMostOnceProofMachine),)
