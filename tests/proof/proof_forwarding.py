"""Proofs of forwarded requests: where and how often they run, and what the caller receives."""

from __future__ import annotations

import copy

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from bergamothill.connection.ssesplitter import EventSplitter
from bergamothill.platform.headers import decode_answer
from bergamothill.request.answerrelay import AnswerRelay, AttemptVerdict
from bergamothill.request.bufferbudget import BufferBudget
from bergamothill.request.forwarding import (
    MAX_FORWARD_ATTEMPTS,
    AbortStream,
    Deliver,
    Finish,
    Forwarding,
    Send,
    WaitForMemory,
)
from bergamothill.request.serverchoice import NoFreeMemory
from bergamothill.request.windowedbudget import WindowedRetryBudget
from bergamothill.version.routetable import RetryPolicy
from tests.builders import backend, caller_request, routing_config
from tests.doubles import ScriptedChooser
from tests.proof.harness import Proof, ProofMachine
from tests.proof.require import require

CONFIG = routing_config()
SERVERS = tuple(backend(f"s{number}") for number in range(5))
CALLER_TIMEOUT_MS = 3_000
REQUEST_ID = "r1"
SIGNED_HEAD = [(b"X-Request-Id", REQUEST_ID.encode()), (b"X-Server-Signature", b"s")]
MAX_RIVALS = 2


class RetriesLostAnswers(Forwarding):
    """Test double that treats a lost answer as a rejection."""

    def on_answer_lost(self, send, now_ms, *, last_event_id):
        return self.on_refused(send, now_ms)


class ForwardingProof(ProofMachine):
    """One request at a time; the rules simulate servers and connections.

    Oracle: the servers at which the request began to run, and the final answer to the caller.
    """

    double = RetriesLostAnswers

    @initialize()
    def begin(self):
        self.now_ms = 0
        self.chooser = ScriptedChooser()
        self.chooser.answer = SERVERS[0]
        self.start(0)

    def start(self, route):
        """Start a request on a route."""
        route = CONFIG.routes[route]
        self.route = route
        self.runs = []
        self.send_count = 0
        self.is_streaming = False
        self.arrived_ms = self.now_ms
        self.repeats = 0
        request = caller_request(
            arrived_ms=self.now_ms, caller_timeout_ms=CALLER_TIMEOUT_MS, request_id=REQUEST_ID
        )
        forwarding = Forwarding if self.mechanism_enabled else self.double
        self.run = forwarding(
            request,
            route,
            CONFIG.services[route.shares[0].service],
            CONFIG.brands["key-1"],
            self.chooser,
            WindowedRetryBudget(1.0, 100, 10_000, started_ms=self.now_ms - 10_001),
            0.5,
        )
        self.take(self.run.begin(self.now_ms))

    def take(self, step):
        """Record the next step and check it against the oracle."""
        self.step = step
        if isinstance(step, Send):
            self.check_send(step)
        elif isinstance(step, Finish):
            self.check_finish(step)
        elif isinstance(step, AbortStream):
            require(self.is_streaming, "aborted a stream that had not started")
        if isinstance(step, Finish | AbortStream | Deliver):
            self.step = None

    def check_send(self, send):
        self.send_count += 1
        require(self.send_count <= MAX_FORWARD_ATTEMPTS, "too many attempts")
        left_ms = self.arrived_ms + CALLER_TIMEOUT_MS - self.now_ms
        require(
            send.terms.time_left_ms == left_ms, "forwards a deadline other than the remaining time"
        )
        require(left_ms > 0, "sends after the deadline of the caller")
        if not self.route.may_retry:
            require(not self.runs, "repeats a request that may have run")
        require(len(set(self.runs)) < self.route.max_servers, "runs at too many servers")

    def check_finish(self, finish):
        require(not self.is_streaming, "sends an error response after the stream has started")
        if finish.status == 503:
            require(not self.runs, f"reported as not run, but ran at {self.runs}")
            require(finish.retry_after_ms is not None, "error response has no retry delay")
        else:
            require(
                finish.retry_after_ms is None, "retry delay on a response that must not be retried"
            )

    def record_run(self):
        self.runs.append(self.step.server.server)

    @precondition(lambda self: self.step is None)
    @rule(route=st.integers(0, len(CONFIG.routes) - 1))
    def request_arrives(self, route):
        self.operation()
        self.start(route)

    @rule(offer=st.sampled_from([*SERVERS, *SERVERS, NoFreeMemory(), None]))
    def servers_change(self, offer):
        self.operation()
        self.chooser.answer = offer

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
            self.record_run()
        if event_id and self.route.retry_policy is RetryPolicy.STREAM:
            self.is_streaming = self.run.stream_started = True
        last = event_id if self.is_streaming else ""
        self.take(self.run.on_answer_lost(self.step, self.now_ms, last_event_id=last))

    @precondition(lambda self: isinstance(self.step, Send))
    @rule()
    def server_fails(self):
        self.fault()
        self.record_run()
        self.take(self.run.on_failure(self.step, self.now_ms))

    @precondition(lambda self: isinstance(self.step, Send))
    @rule()
    def is_answered(self):
        self.operation()
        self.record_run()
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
            self.record_run()
        self.now_ms = max(self.now_ms, self.run.due_ms)
        self.take(self.run.on_expired(self.now_ms))


class UnbufferedSplitter(EventSplitter):
    """Test double that forwards bytes as they arrive."""

    def feed(self, chunk):
        super().feed(chunk)
        return chunk


class Caller:
    """Caller side of a relay; records what it receives."""

    def __init__(self) -> None:
        self.received = b""
        self.is_ended = False
        self.status = 0

    def send_response(self, status, headers, body):
        self.status, self.received, self.is_ended = status, body, True

    def start_chunked_response(self, status, headers, first):
        self.status, self.received = status, first

    def send_chunk(self, piece):
        self.received += piece

    def end_chunked_response(self):
        self.is_ended = True


def event(number: int) -> bytes:
    """Encode an event whose text is unique."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


class Rival:
    """An attempt beside the one in progress, at an engine that resumes after an event.

    :param relay: its relay
    :param first: number of its first event
    :param length: number of events of the whole stream
    """

    def __init__(self, relay, first, length):
        self.relay = relay
        self.remaining = b"".join(event(number) for number in range(first, length + 1))

    def send(self, size):
        """Send the next bytes."""
        piece, self.remaining = self.remaining[:size], self.remaining[size:]
        self.relay.on_body(piece)


class RelayProof(ProofMachine):
    """One resumable stream at a time, cut anywhere, from up to three engines at the same time.

    Engines resume after the last whole event.

    Oracle: the caller has received a prefix of the event sequence, made of whole events only.
    """

    @initialize(length=st.integers(1, 12))
    def begin(self, length):
        self.length = length
        self.caller = Caller()
        self.relay = AnswerRelay(
            self.caller,
            REQUEST_ID,
            is_stream=True,
            budget=BufferBudget(0),
            decode=decode_answer,
        )
        self.attempt()

    def attempt(self):
        """Start an attempt at an engine that resumes after the last event."""
        self.rivals = []
        self.relay.begin_attempt()
        if not self.mechanism_enabled:
            last_event_id = self.relay._splitter.last_event_id
            self.relay._splitter = UnbufferedSplitter()
            self.relay._splitter.last_event_id = last_event_id
        first = int(self.relay.last_event_id or 0) + 1
        self.remaining = b"".join(event(number) for number in range(first, self.length + 1))
        self.has_head = False

    def begin_beside(self):
        """Start an attempt beside the one in progress, or give the earlier one up."""
        relay = self.relay.fork() if self.mechanism_enabled else copy.copy(self.relay)
        relay.begin_attempt()
        relay.on_head(200, SIGNED_HEAD)
        self.rivals.append(Rival(relay, int(self.relay.last_event_id or 0) + 1, self.length))

    def check(self):
        whole = b"".join(event(number) for number in range(1, self.length + 1))
        received = self.caller.received
        require(whole.startswith(received), f"the caller has {received!r}")
        require(received.endswith(b"\n\n") or not received, f"partial event: {received!r}")

    def head(self, status, request_id, *, signed=True):
        headers = [(b"X-Request-Id", request_id)]
        if signed:
            headers.append((b"X-Server-Signature", b"s"))
        return self.relay.on_head(status, headers)

    @precondition(lambda self: not self.has_head)
    @rule()
    def engine_answers(self):
        self.operation()
        require(self.head(200, REQUEST_ID.encode()) is not None, "a valid answer is rejected")
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
            require(head is None, "the answer to another request is accepted")
            require(
                self.relay.verdict is AttemptVerdict.UNVERIFIED,
                "the answer to another request is attributed to this one",
            )
        else:
            self.relay.on_body(b"not an event\n\n")
        self.attempt()
        self.check()

    @precondition(lambda self: self.has_head and self.remaining)
    @rule(size=st.integers(1, 60))
    def bytes_come(self, size):
        self.operation()
        piece, self.remaining = self.remaining[:size], self.remaining[size:]
        self.relay.on_body(piece)
        self.check()

    @precondition(lambda self: self.has_head and len(self.rivals) < MAX_RIVALS)
    @rule()
    def engine_stalls(self):
        self.fault()
        self.begin_beside()

    @precondition(lambda self: self.rivals)
    @rule(number=st.integers(0, MAX_RIVALS - 1), size=st.integers(1, 60))
    def bytes_come_beside(self, number, size):
        self.operation()
        self.rivals[number % len(self.rivals)].send(size)
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
        """End the answer of the engine properly, before or after the last event."""
        self.operation()
        is_complete = not self.remaining
        if not self.relay.may_write:
            self.attempt()
        elif self.relay.is_whole and is_complete:
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
