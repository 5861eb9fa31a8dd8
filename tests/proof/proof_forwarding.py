"""Proofs of forwarded requests: what runs, how often, and what the caller is told and sent."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from bergamothill.connection.eventsplit import EventSplitter
from bergamothill.platform.requests import decode_answer
from bergamothill.process.backends import BackendServer
from bergamothill.request.answerrelay import AnswerRelay, AttemptVerdict
from bergamothill.request.callerrequest import ForwardTerms
from bergamothill.request.forwarding import (
    MAX_FORWARD_ATTEMPTS,
    AbortStream,
    Deliver,
    Finish,
    Forwarding,
    NoFreeMemory,
    Send,
    WaitForMemory,
)
from bergamothill.request.windowedbudget import WindowedRetryBudget
from bergamothill.version.routetable import RepeatRule
from tests.builders import backend, caller_request, routing_config
from tests.proof.harness import Proof, ProofMachine
from tests.proof.require import require

CONFIG = routing_config()
SERVERS = tuple(backend(f"s{number}") for number in range(5))
PATIENCE_MS = 3_000
REQUEST_ID = "r1"


class RandomChooser:
    """Offers what the rules set: a server, no free memory, or nothing."""

    def __init__(self) -> None:
        self.offer: BackendServer | NoFreeMemory | None = SERVERS[0]

    def choose(self, service, request, brand, avoided, urgency, now_ms):
        if isinstance(self.offer, BackendServer):
            return self.offer, ForwardTerms(self.offer.server, 0)
        return self.offer


class RepeatsLostAnswers(Forwarding):
    """Double that takes a lost answer for a refusal."""

    def on_answer_lost(self, send, now_ms, *, last_event_id):
        return self.on_refused(send, now_ms)


class ForwardingProof(ProofMachine):
    """One request at a time; the rules are what servers and connections do.

    Oracle: the runs that truly began, at which servers, and what was said at the end.
    """

    double = RepeatsLostAnswers

    @initialize()
    def begin(self):
        self.now_ms = 0
        self.chooser = RandomChooser()
        self.start(0)

    def start(self, route):
        """Begin the next request."""
        route = CONFIG.routes[route]
        self.route = route
        self.runs = []
        self.sends = 0
        self.is_streaming = False
        self.arrived_ms = self.now_ms
        self.repeats = 0
        request = caller_request(
            arrived_ms=self.now_ms, caller_timeout_ms=PATIENCE_MS, request_id=REQUEST_ID
        )
        forwarding = Forwarding if self.mechanism_enabled else self.double
        self.run = forwarding(
            request,
            route,
            CONFIG.services[route.shares[0].service],
            CONFIG.brands["key-1"],
            self.chooser,
            WindowedRetryBudget(1.0, 100, 10_000),
            0.5,
        )
        self.take(self.run.begin(self.now_ms))

    def take(self, step):
        """Check the next step against what has happened."""
        self.step = step
        if isinstance(step, Send):
            self.check_send(step)
        elif isinstance(step, Finish):
            self.check_finish(step)
        elif isinstance(step, AbortStream):
            require(self.is_streaming, "broke off an answer that had not begun")
        if isinstance(step, Finish | AbortStream | Deliver):
            self.step = None

    def check_send(self, send):
        self.sends += 1
        require(self.sends <= MAX_FORWARD_ATTEMPTS, "attempts without end")
        left_ms = self.arrived_ms + PATIENCE_MS - self.now_ms
        require(send.terms.time_left_ms == left_ms, "hands on another time than is left")
        require(left_ms > 0, "sends after the caller has left")
        if not self.route.may_repeat:
            require(not self.runs, "sends a request on that may have run")
        require(len(set(self.runs)) < self.route.most_servers, "runs at too many servers")

    def check_finish(self, finish):
        require(not self.is_streaming, "ends a stream with an answer of its own")
        if finish.status == 503:
            require(not self.runs, f"says not run, ran at {self.runs}")
            require(finish.retry_after_ms is not None, "does not say when to come back")
        else:
            require(finish.retry_after_ms is None, "promises that coming back helps")

    def ran(self):
        self.runs.append(self.step.server.server)

    @precondition(lambda self: self.step is None)
    @rule(route=st.integers(0, len(CONFIG.routes) - 1))
    def request_arrives(self, route):
        self.operation()
        self.start(route)

    @rule(offer=st.sampled_from([*SERVERS, *SERVERS, NoFreeMemory(), None]))
    def servers_change(self, offer):
        self.operation()
        self.chooser.offer = offer

    @rule(passed_ms=st.sampled_from([1, 50, 400, 1_500]))
    def time_passes(self, passed_ms):
        self.operation()
        self.now_ms += passed_ms

    @precondition(lambda self: isinstance(self.step, Send))
    @rule()
    def is_not_connected(self):
        self.fault()
        self.take(self.run.on_not_connected(self.step, self.now_ms))

    @precondition(lambda self: isinstance(self.step, Send))
    @rule()
    def is_refused(self):
        self.fault()
        self.take(self.run.on_refused(self.step, self.now_ms))

    @precondition(lambda self: isinstance(self.step, Send))
    @rule(has_run=st.booleans(), event_id=st.sampled_from(["", "1"]))
    def answer_is_lost(self, has_run, event_id):
        self.fault()
        if has_run or event_id:
            self.ran()
        if event_id and self.route.rule is RepeatRule.STREAM:
            self.is_streaming = self.run.stream_started = True
        last = event_id if self.is_streaming else ""
        self.take(self.run.on_answer_lost(self.step, self.now_ms, last_event_id=last))

    @precondition(lambda self: isinstance(self.step, Send))
    @rule()
    def server_fails(self):
        self.fault()
        self.ran()
        self.take(self.run.on_failure(self.step, self.now_ms))

    @precondition(lambda self: isinstance(self.step, Send))
    @rule()
    def is_answered(self):
        self.operation()
        self.ran()
        self.take(Deliver())

    @precondition(lambda self: isinstance(self.step, WaitForMemory))
    @rule()
    def line_moves(self):
        self.operation()
        self.take(self.run.retry(self.now_ms))

    @precondition(lambda self: isinstance(self.step, WaitForMemory))
    @rule()
    def line_is_of_no_use(self):
        self.operation()
        self.take(self.run.on_full(self.now_ms))

    @precondition(lambda self: self.step is not None)
    @rule(is_running=st.booleans())
    def time_is_over(self, is_running):
        self.fault()
        if is_running and isinstance(self.step, Send):
            self.ran()
        self.now_ms = max(self.now_ms, self.run.due_ms)
        self.take(self.run.on_expired(self.now_ms))


class PiecewiseSplitter(EventSplitter):
    """Double that passes bytes on as they come."""

    def feed(self, chunk):
        super().feed(chunk)
        return chunk


class Caller:
    """Caller's side of a relay; keeps what arrives."""

    def __init__(self) -> None:
        self.received = b""
        self.is_ended = False
        self.status = 0

    def answer(self, status, headers, body):
        self.status, self.received, self.is_ended = status, body, True

    def start_stream(self, status, headers, first):
        self.status, self.received = status, first

    def send(self, piece):
        self.received += piece

    def end_stream(self):
        self.is_ended = True


def event(number: int) -> bytes:
    """Return an event; its text tells it from every other."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


class RelayProof(ProofMachine):
    """One resumable stream at a time, cut anywhere; engines go on after the last whole event.

    Oracle: the events in order; a caller has a run of them from the first one, whole ones only.
    """

    @initialize(length=st.integers(1, 12))
    def begin(self, length):
        self.length = length
        self.caller = Caller()
        self.relay = AnswerRelay(
            self.caller,
            REQUEST_ID,
            is_stream=True,
            decode=decode_answer,
            on_first=lambda: None,
            on_bytes=lambda: None,
        )
        self.attempt()

    def attempt(self):
        """Begin an attempt at an engine that goes on after the last event."""
        self.relay.begin_attempt()
        if not self.mechanism_enabled:
            last_event_id = self.relay._splitter.last_event_id
            self.relay._splitter = PiecewiseSplitter()
            self.relay._splitter.last_event_id = last_event_id
        first = int(self.relay.last_event_id or 0) + 1
        self.left = b"".join(event(number) for number in range(first, self.length + 1))
        self.has_head = False

    def check(self):
        whole = b"".join(event(number) for number in range(1, self.length + 1))
        received = self.caller.received
        require(whole.startswith(received), f"the caller has {received!r}")
        require(received.endswith(b"\n\n") or not received, f"half an event: {received!r}")

    def head(self, status, request_id, *, signed=True):
        headers = [(b"X-Request-Id", request_id)]
        if signed:
            headers.append((b"X-Server-Signature", b"s"))
        return self.relay.on_head(status, headers)

    @precondition(lambda self: not self.has_head)
    @rule()
    def engine_answers(self):
        self.operation()
        require(self.head(200, REQUEST_ID.encode()) is not None, "a sound answer is stopped")
        self.has_head = True

    @precondition(lambda self: not self.has_head)
    @rule(
        status=st.sampled_from([200, 200, 500]),
        request_id=st.sampled_from([b"r2", b"", REQUEST_ID.encode()]),
        signed=st.booleans(),
    )
    def other_answer_comes(self, status, request_id, signed):
        self.fault()
        is_ours = request_id == REQUEST_ID.encode() and (signed or status == 500)
        if is_ours and status == 200:
            return
        head = self.head(status, request_id, signed=signed)
        if not is_ours:
            require(head is None, "another request's answer is taken")
            require(self.relay.verdict is AttemptVerdict.UNVERIFIED, "it counts as ours")
        else:
            self.relay.on_body(b"not an event\n\n")
        self.attempt()
        self.check()

    @precondition(lambda self: self.has_head and self.left)
    @rule(size=st.integers(1, 60))
    def bytes_come(self, size):
        self.operation()
        piece, self.left = self.left[:size], self.left[size:]
        self.relay.on_body(piece)
        self.check()

    @precondition(lambda self: self.has_head)
    @rule()
    def connection_breaks(self):
        self.fault()
        self.check()
        self.attempt()

    @precondition(lambda self: self.has_head)
    @rule(length=st.integers(1, 12))
    def answer_ends(self, length):
        """The engine ends its answer in good form, early or not."""
        self.operation()
        is_complete = not self.left
        if self.relay.is_whole and is_complete:
            self.relay.deliver()
            self.check()
            require(
                self.caller.received.endswith(event(self.length)), "ended before the last event"
            )
            self.begin(length)
        else:
            self.attempt()


PROOFS = (
    Proof(slug="forwarded-requests", machine=ForwardingProof),
    Proof(slug="event-relay", machine=RelayProof),
)
