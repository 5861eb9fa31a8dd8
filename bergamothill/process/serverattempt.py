"""One attempt of a request at a backend server, on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from bergamothill.clock import Clock
from bergamothill.connection.backendhttp import (
    Dial,
    ExchangeEnd,
    ExchangeResult,
    Keeping,
    exchange,
)
from bergamothill.connection.backendpool import PooledServer
from bergamothill.connection.flowgate import FlowGate
from bergamothill.connection.keptconnections import KeptConnections
from bergamothill.logs import EventLog
from bergamothill.platform.headers import encode_forward
from bergamothill.process.admissionqueue import AdmissionQueue
from bergamothill.process.quarantinegate import GatedRun, QuarantineGate
from bergamothill.process.quarantinesteps import classify_run_end
from bergamothill.process.serverlimits import log_limit_change
from bergamothill.process.serverpool import ServerPool
from bergamothill.process.streamresumption import StreamChecks
from bergamothill.request.answerrelay import AnswerListener, AnswerRelay, AttemptVerdict
from bergamothill.request.callerrequest import CallerRequest, ResponseHead
from bergamothill.request.forwarding import ForwardStep, Send
from bergamothill.request.partquarantine import RunEnd
from bergamothill.request.streamprogress import StreamProgress

__all__ = ["AttemptContext", "AttemptOutcome", "ServerAttempt"]

_log = EventLog("gateway")


class AttemptOutcome(Enum):
    """How an attempt ended."""

    NOT_CONNECTED = "not_connected"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    STALE = "stale"
    """Sent on a kept connection that closed before the answer began; says nothing of the server."""

    BROKEN = "broken"
    FAILURE = "failure"
    SUCCESS = "success"
    MOVED = "moved"
    """Another attempt went on with the answer."""

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the request, and its answer was lost or is a failure."""
        return self in (AttemptOutcome.STALE, AttemptOutcome.BROKEN, AttemptOutcome.FAILURE)


@dataclass(frozen=True, slots=True)
class AttemptContext:
    """What the attempts of one request have in common.

    :param clock: source of time
    :param server_pool: observed state of the backend servers
    :param queue: requests that wait for capacity of the same service
    :param gate: quarantine of parts of requests
    :param request: caller's request
    :param is_stream: whether the answers of the route are event streams
    :param connections: connections to backend servers
    :param flow: pauses reading while the caller does not keep up
    :param on_first: called before the first bytes are sent to the caller
    :param on_events: called with the attempt before events are sent to the caller
    :param checks: checks of the servers that streams are sent to; None for other requests
    :param event_gap_ms: time between events that meets the objective of the route
    :param log: descriptions of the attempts that have ended
    """

    clock: Clock
    server_pool: ServerPool
    queue: AdmissionQueue
    gate: QuarantineGate
    request: CallerRequest
    is_stream: bool
    connections: KeptConnections
    flow: FlowGate
    on_first: Callable[[], None]
    on_events: Callable[[ServerAttempt], None]
    checks: StreamChecks | None = None
    event_gap_ms: int = 0
    log: list[str] = field(default_factory=list)


class ServerAttempt(AnswerListener):
    """Sends a request to one server, passes its answer on, and tells what that shows of the server.

    :param context: what the attempts of the request have in common
    :param send: server and terms
    :param relay: relay of the answer
    """

    def __init__(self, context: AttemptContext, send: Send, relay: AnswerRelay) -> None:
        self.move: asyncio.Task[ForwardStep] | None = None
        """Attempts at other servers, begun because this one has stalled."""

        self.challenger: ServerAttempt | None = None
        """Latest of these attempts."""

        self.has_ended = False
        self.was_sent = False
        """Whether bytes of the request may have reached the server."""

        self.was_identified = False
        """Whether the server had said who it is when the request was written."""

        self.send = send
        self.relay = relay
        self._context = context
        self._progress = StreamProgress(context.event_gap_ms)
        self._clock = context.clock
        self._server_pool = context.server_pool
        self._request = context.request
        self._server = send.server.server
        self._gated_run: GatedRun | None = None
        self._exchange_task: asyncio.Task[ExchangeResult] | None = None
        self._has_pending_prefill = True
        self._is_moved = False
        self._is_retired = False
        self._is_unread = False
        self._is_streaming = False
        self._is_on_new_connection = False
        self._own_head: ResponseHead | None = None
        self._said_leaving = False
        self._sent_ms = 0

    async def run(self) -> AttemptOutcome:
        """Send the request and wait for the end of the answer."""
        context, send, server_pool = self._context, self.send, self._server_pool
        self.relay.begin_attempt(self)
        started_ms = self._sent_ms = self._clock.now_ms()
        tokens, prefill_tokens = self._request.prompt_tokens, send.terms.pending_prefill_tokens
        server_pool.request_started(self._server, tokens, prefill_tokens, started_ms)
        request = self._request
        context.queue.requests.record_admission(request.work_tokens, started_ms, request.flow)
        self._gated_run = context.gate.begin_run(self._request, send, started_ms)
        try:
            result = await self._exchange()
        except BaseException as error:
            if isinstance(error, Exception):
                server_pool.request_failed(self._server, self._clock.now_ms())
            self._end_gated_run(RunEnd.OTHER)
            duration_ms = self._clock.now_ms() - started_ms
            context.log.append(f"{self._server}:given_up:0:{duration_ms}ms")
            raise
        finally:
            self.has_ended = True
            head = self.relay.head
            has_begun = self._is_streaming or not (head is None or context.is_stream)
            self._clear_pending_prefill()
            if self._is_streaming:
                self._is_streaming = False
                server_pool.stream_ended(self._server)
            self._set_unread(False, self._clock.now_ms())
            server_pool.request_ended(self._server, tokens)
            context.queue.wake_head()
        self._record_pause(result.end, self._clock.now_ms())
        outcome = self._classify(result)
        send.attempt.is_stale = outcome is AttemptOutcome.STALE
        if outcome is AttemptOutcome.SUCCESS:
            ended_ms = self._clock.now_ms()
            took_ms = ended_ms - started_ms
            slot_ms = server_pool.record_service_time(send.server, send.terms, took_ms, ended_ms)
            context.queue.requests.record_slot_time(request.flow, slot_ms)
        # Before the next step is chosen, so that no crash is repeated blindly.
        self._end_gated_run(classify_run_end(outcome.value, result, has_begun=has_begun))
        self._log_end(outcome, result, started_ms)
        if send.trial is not None and outcome is AttemptOutcome.SUCCESS:
            server_pool.trial_passed(send.server, self._clock.now_ms())
        return outcome

    def _log_end(self, outcome: AttemptOutcome, result: ExchangeResult, started_ms: int) -> None:
        detail = result.detail
        if outcome is AttemptOutcome.BROKEN and result.end is ExchangeEnd.COMPLETE:
            is_whole = self.relay.is_whole
            detail = "ended before any event" if is_whole else "ended inside an event"
        duration_ms = self._clock.now_ms() - started_ms
        self._context.log.append(
            f"{self._server}:{outcome.value}:{self.relay.status}:{duration_ms}ms"
            f":{self.send.terms.summary()}" + (f":{detail}" if detail else "")
        )

    def _classify(self, result: ExchangeResult) -> AttemptOutcome:
        """Classify the attempt by the head of its answer, then by how the answer ended."""
        relay, end = self.relay, result.end
        if self._is_moved or (end is ExchangeEnd.COMPLETE and not relay.may_write):
            return AttemptOutcome.MOVED
        if end is ExchangeEnd.NOT_CONNECTED:
            return AttemptOutcome.NOT_CONNECTED
        if end is ExchangeEnd.NOT_SENT:
            return AttemptOutcome.NOT_SENT
        if end is ExchangeEnd.STALE:
            return AttemptOutcome.STALE
        if relay.verdict is AttemptVerdict.NOT_RUN:
            return AttemptOutcome.REFUSED
        if end is not ExchangeEnd.COMPLETE or not relay.is_whole:
            return AttemptOutcome.BROKEN
        if result.was_closed and relay.lacks_events:
            return AttemptOutcome.BROKEN
        is_success = relay.verdict is AttemptVerdict.SUCCESS
        return AttemptOutcome.SUCCESS if is_success else AttemptOutcome.FAILURE

    async def _exchange(self) -> ExchangeResult:
        """Exchange request and answer, unless the answer is moved to another server."""
        self._exchange_task = asyncio.ensure_future(self._send_request())
        try:
            return await self._exchange_task
        except asyncio.CancelledError:
            if not (self._is_moved or self._is_retired) or asyncio.current_task().cancelling():
                raise
            if self._is_retired:
                end = ExchangeEnd.BROKEN if self.was_sent else ExchangeEnd.NOT_SENT
                return ExchangeResult(end, "namespace is out of use")
            silence_ms = self._server_pool.silence_ms(self._server, self._clock.now_ms())
            return ExchangeResult(ExchangeEnd.BROKEN, f"silent for {silence_ms} ms")
        finally:
            self._exchange_task = None

    async def _send_request(self) -> ExchangeResult:
        """Exchange request and answer, after asking the server who it is where this is in doubt."""
        checks, confirm = self._context.checks, None
        if checks is not None:
            server, version = self.send.server, self.send.terms.software_version
            await checks.identify(server)
            if not checks.may_send_to(server, version):
                return ExchangeResult(ExchangeEnd.NOT_SENT, "server can't be confirmed in time")
            confirm = checks.confirmation(server, version)
        keeping = self._keeping()
        self.send.terms.closes_connection = keeping is None
        return await exchange(
            Dial(self.send.server.address, on_open=self._on_open),
            encode_forward(self._request, self.send.terms),
            self.relay,
            may_send=self._may_send,
            is_head=self._request.raw.method == b"HEAD",
            flow=self._context.flow,
            keeping=keeping,
            confirm=confirm,
        )

    def _on_open(self) -> None:
        self._is_on_new_connection = True

    def _keeping(self) -> Keeping | None:
        """Return how kept connections are used; None if none is kept to this server."""
        entry, connections = self.send.server, self._context.connections
        server = PooledServer(entry.server, entry.started_wall_ms, entry.address, entry.service)
        if not connections.keeps(server):
            return None
        request_id = self._request.request_id.encode("latin-1")
        may_reuse = self.send.terms.may_reuse_connection
        return Keeping(connections, server, request_id, may_reuse, self._is_sound)

    def _is_sound(self) -> bool:
        """Return whether the answer was whole and its server goes on to serve."""
        is_own = self.relay.verdict in (AttemptVerdict.SUCCESS, AttemptVerdict.FAILURE)
        return is_own and self.relay.is_whole and not self.relay.head.is_leaving

    def _may_send(self) -> bool:
        send, now_ms = self.send, self._clock.now_ms()
        if not self._is_allowed(now_ms):
            return False
        limits = self._server_pool.limits
        self.was_identified = self._server_pool.is_identified(send.server, now_ms)
        self.was_sent = limits.may_send(send.server, send.terms.limit_spent_ms, now_ms)
        return self.was_sent

    def _is_allowed(self, now_ms: int) -> bool:
        server, request = self.send.server, self._request
        if not self._context.gate.may_send(request, now_ms):
            return False
        if not self._server_pool.may_serve(server, self.send.terms, request.homes):
            return False
        version = self.send.terms.software_version
        if version is not None and not self._server_pool.may_go_on_at(server, version, now_ms):
            return False
        if self._context.is_stream and not self._server_pool.may_begin_at(server, now_ms):
            return False
        if self.send.terms.weight_version is None:
            return self._server_pool.may_send_to(server, now_ms)
        return self._server_pool.may_send_prompt_to(server, request.model, now_ms)

    @property
    def is_moving(self) -> bool:
        """Whether attempts at other servers are under way."""
        return self.move is not None and not self.move.done()

    def has_stalled(self, now_ms: int) -> bool:
        """Return whether the engine has been silent so long that another one should be tried."""
        if self._exchange_task is None:
            return False
        # The server cannot be heard while its answer is not read.
        self._set_unread(self._context.flow.is_paused, now_ms)
        if self._progress.has_stalled(now_ms, is_unread=self._is_unread):
            return True
        return not self._is_unread and self._server_pool.has_stalled(self._server, now_ms)

    def end_moved(self) -> None:
        """End the exchange, as another attempt has gone on with the answer."""
        if self._exchange_task is not None and not self._exchange_task.done():
            self._is_moved = True
            self._exchange_task.cancel()

    def end_retired(self) -> None:
        """End the exchange if its answer has not begun and its namespace is out of use.

        The server may have yet to read the prompt, and would find context of brands that share
        nothing with this one any more.
        """
        task, terms = self._exchange_task, self.send.terms
        if task is None or task.done() or self.relay.head is not None or not terms.cache_salt:
            return
        if not self._server_pool.is_namespace_in_use(terms):
            self._is_retired = True
            task.cancel()

    def _set_unread(self, is_unread: bool, now_ms: int) -> None:
        if is_unread != self._is_unread:
            self._is_unread = is_unread
            self._server_pool.record_unread(self._server, 1 if is_unread else -1, now_ms)

    def _clear_pending_prefill(self) -> None:
        if self._has_pending_prefill:
            self._has_pending_prefill = False
            tokens = self.send.terms.pending_prefill_tokens
            self._server_pool.prompt_prefilled(self._server, tokens)

    def _end_gated_run(self, end: RunEnd) -> None:
        run, self._gated_run = self._gated_run, None
        if run is not None:
            run.end(end, self._clock.now_ms())

    def record_failure(self, outcome: AttemptOutcome, now_ms: int) -> None:
        """Record what an attempt without an answer shows of its server."""
        if self._is_retired:
            return
        if outcome in (AttemptOutcome.NOT_CONNECTED, AttemptOutcome.BROKEN):
            self._server_pool.request_failed(self._server, now_ms)
        elif outcome is AttemptOutcome.REFUSED:
            self._record_refusal(now_ms)

    def _record_refusal(self, now_ms: int) -> None:
        head, model = self.relay.head, self._request.model
        version = self.send.terms.weight_version
        if head.status != 421:
            self._server_pool.request_rejected(self._server, now_ms)
        elif head.instance and head.instance != self._server:
            self._server_pool.mark_replaced(self._server)
        elif model is not None and version is not None:
            self._server_pool.record_weight_mismatch(self._server, model, version)

    # The answer.

    def on_first(self) -> None:
        """Record that the prompt has been read."""
        self._clear_pending_prefill()
        self._context.on_first()

    def on_events(self) -> None:
        """Tell that the answer goes on with this attempt."""
        self._context.on_events(self)

    def on_bytes(self) -> None:
        """Record that the server was heard."""
        now_ms = self._clock.now_ms()
        is_success = self.relay.verdict is AttemptVerdict.SUCCESS
        if not self._is_streaming:
            self._is_streaming = True
            self._server_pool.stream_began(self._server)
            took_ms = now_ms - self._sent_ms
            self._server_pool.record_first_token(self.send.terms, took_ms, now_ms)
            if is_success:
                send = self.send
                self._server_pool.record_prefill_time(send.server, send.terms, took_ms, now_ms)
        if self._gated_run is not None and is_success and not self.relay.lacks_events:
            self._gated_run.record_event(now_ms)
        self._server_pool.record_bytes(self._server, now_ms)

    def on_progress(self) -> None:
        """Record that the stream has gone on."""
        self._progress.record_event(self._clock.now_ms())

    def on_own_head(self, head: ResponseHead) -> None:
        """Learn from the head of an answer what the server says of itself."""
        self._own_head = head
        if self._is_on_new_connection:
            self._server_pool.reachability.record_answer(self._clock.now_ms())
        server = self.send.server
        is_other_instance = head.status == 421 and head.instance != server.server
        # A refusal need not come from the expected instance.
        if self._gated_run is not None and not head.is_not_executed:
            self._gated_run.record_alive(self._clock.now_ms())
        if is_other_instance:
            return
        self._record_limit(head)
        cold, now_ms = self._server_pool.limits.cold, self._clock.now_ms()
        cold.record_answer(server, head.cold_ms, self._sent_ms, now_ms)
        if not head.is_leaving:
            return
        self._said_leaving = True
        if self._server_pool.record_leaving(server):
            _log.info(
                "server_leaving",
                server=server.server,
                request=self._request.request_id,
                status=head.status,
            )

    def _record_limit(self, head: ResponseHead) -> None:
        now_ms, server = self._clock.now_ms(), self.send.server
        change = self._server_pool.limits.record_answer(server, head.limit, self._sent_ms, now_ms)
        if change is not None:
            log_limit_change(change, request=self._request.request_id)

    def _record_pause(self, end: ExchangeEnd, now_ms: int) -> None:
        """Record a pause that the server asked for, and withdraw what a malformed answer said."""
        head, server = self._own_head, self.send.server
        if end is ExchangeEnd.MALFORMED:
            if self._said_leaving and not self.relay.stream_started:
                self._server_pool.withdraw_leaving(server)
                _log.info("server_leaving_withdrawn", server=server.server)
            return
        if head is None or head.quiet_ms is None:
            return
        self._server_pool.record_quiet(server, head.quiet_ms, now_ms)
        _log.info(
            "server_asks_for_quiet",
            server=server.server,
            request=self._request.request_id,
            quiet_ms=head.quiet_ms,
        )
