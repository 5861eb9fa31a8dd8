"""Forwards one admitted request to backend servers on the event loop.

:class:`~bergamothill.request.forwarding.Forwarding` decides each step; this module performs it.
"""

from __future__ import annotations

import asyncio
import random
from functools import singledispatchmethod

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.backendhttp import ExchangeEnd, ExchangeResult, exchange
from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.ids import ServerId
from bergamothill.logs import EventLog
from bergamothill.platform.headers import decode_answer, encode_forward
from bergamothill.process.admissionqueue import AdmissionQueue
from bergamothill.process.configstate import Admission
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.quarantinegate import GatedRun, QuarantineGate
from bergamothill.process.quarantinesteps import classify_run_end, encode_refusal, wait_for_trial
from bergamothill.process.serverlimits import log_limit_change
from bergamothill.process.serverpool import ServerPool
from bergamothill.request.answerrelay import AnswerRelay, AttemptVerdict
from bergamothill.request.bufferbudget import BufferBudget
from bergamothill.request.callerrequest import CallerRequest, ForwardTerms, ResponseHead
from bergamothill.request.fingerprint import crash_suspects
from bergamothill.request.forwarding import (
    AbortStream,
    Deliver,
    Finish,
    Forwarding,
    ForwardStep,
    Send,
    WaitForMemory,
    WaitForTrial,
)
from bergamothill.request.partquarantine import RunEnd
from bergamothill.request.requestqueue import NO_LIMIT, QueuedRequest
from bergamothill.request.windowedbudget import WindowedRetryBudget
from bergamothill.version.routetable import RetryPolicy, Route, Service

__all__ = ["RequestRun"]

_log = EventLog("gateway")


class RequestRun:
    """Processing of one admitted request, from its first attempt to its final answer.

    :param clock: source of time
    :param server_pool: observed state of the backend servers
    :param metrics: counters and histograms
    :param queue: requests that wait for capacity of the same service
    :param retry_budget: retry budget of the service
    :param gate: quarantine of parts of requests
    :param connection: connection of the caller
    :param request: caller's request
    :param admission: decision that admitted the request
    :param service: service to forward to
    :param buffer_budget: memory for the bodies of unfinished answers
    """

    def __init__(
        self,
        clock: Clock,
        server_pool: ServerPool,
        metrics: GatewayMetrics,
        queue: AdmissionQueue,
        retry_budget: WindowedRetryBudget,
        gate: QuarantineGate,
        connection: CallerConnection,
        request: CallerRequest,
        admission: Admission,
        service: Service,
        buffer_budget: BufferBudget,
    ) -> None:
        route: Route = admission.route
        self._clock = clock
        self._server_pool = server_pool
        self._metrics = metrics
        self._queue = queue
        self._gate = gate
        self._gated_run: GatedRun | None = None
        self._connection = connection
        self._request = request
        brand = None if admission.brand is None else admission.brand.name
        request.suspects = crash_suspects(request, brand)
        self._admission = admission
        self._route = route
        self._service = service
        self._is_stream = route.retry_policy is RetryPolicy.STREAM
        self._first_byte_ms: int | None = None
        self._pending_prefill: tuple[ServerId, int] | None = None
        self._attempt_log: list[str] = []
        self._open_attempt: tuple[ServerId, int] | None = None
        self._timeout: asyncio.Timeout | None = None
        self._exchange_task: asyncio.Task[ExchangeResult] | None = None
        self._current_server = ServerId("")
        self._is_stalled = False
        self._silence_ms = 0
        self._is_stopping = False
        self._is_unread = False
        self._is_streaming = False
        self._terms: ForwardTerms | None = None
        self._send: Send | None = None
        self._own_head: ResponseHead | None = None
        self._said_leaving = False
        self._sent_ms = 0
        self._forwarding = Forwarding(
            request,
            route,
            service,
            admission.brand,
            server_pool,
            retry_budget,
            random.random(),
            gate,
        )
        self._relay = AnswerRelay(
            connection,
            request.request_id,
            is_stream=self._is_stream,
            budget=buffer_budget,
            decode=decode_answer,
            on_first=self._on_first_byte,
            on_bytes=self._on_server_bytes,
            on_own_head=self._on_own_head,
        )

    def _on_first_byte(self) -> None:
        self._first_byte_ms = self._clock.now_ms()
        self._clear_pending_prefill()
        self._forwarding.stream_started = self._relay.stream_started

    def _on_server_bytes(self) -> None:
        now_ms = self._clock.now_ms()
        if not self._is_streaming:
            self._is_streaming = True
            self._server_pool.stream_began(self._current_server)
            self._server_pool.record_first_token(self._terms, now_ms - self._sent_ms, now_ms)
        is_success = self._relay.verdict is AttemptVerdict.SUCCESS
        if self._gated_run is not None and is_success and not self._relay.lacks_events:
            self._gated_run.record_event(now_ms)
        self._server_pool.record_bytes(self._current_server, now_ms)

    def _on_own_head(self, head: ResponseHead) -> None:
        """Learn from the head of an answer that its server is leaving."""
        self._own_head = head
        server = self._send.server
        is_other_instance = head.status == 421 and head.instance != server.server
        # A refusal need not come from the expected instance.
        if self._gated_run is not None and not head.is_not_executed:
            self._gated_run.record_alive(self._clock.now_ms())
        if is_other_instance:
            return
        self._record_limit(head)
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
        now_ms, server = self._clock.now_ms(), self._send.server
        change = self._server_pool.limits.record_answer(server, head.limit, self._sent_ms, now_ms)
        if change is not None:
            log_limit_change(change, request=self._request.request_id)

    def _record_pause(self, end: ExchangeEnd, now_ms: int) -> None:
        """Record a pause that the server asked for, and withdraw what a malformed answer said."""
        head, server = self._own_head, self._send.server
        if end is ExchangeEnd.MALFORMED:
            if self._said_leaving and not self._relay.stream_started:
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

    def _clear_pending_prefill(self) -> None:
        if self._pending_prefill is not None:
            self._server_pool.prompt_prefilled(*self._pending_prefill)
            self._pending_prefill = None

    async def execute(self) -> None:
        """Carry out the forwarding steps of the request until its final one."""
        try:
            await self._execute_steps()
        finally:
            self._relay.discard_body()

    async def _execute_steps(self) -> None:
        step = self._forwarding.begin(self._clock.now_ms())
        remaining_s = ms_to_seconds(self._forwarding.due_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(max(0.0, remaining_s)) as self._timeout:
                while isinstance(step, Send | WaitForMemory | WaitForTrial):
                    step = await self._perform(step)
        except TimeoutError:
            self.record_abandoned_attempt()
            step = self._on_timeout(self._clock.now_ms())
        self._apply_final_step(step)

    def _on_timeout(self, now_ms: int) -> ForwardStep:
        if self._is_stopping:
            return self._forwarding.on_stopping(now_ms)
        return self._forwarding.on_expired(now_ms)

    @property
    def due_ms(self) -> int:
        """Time by which the caller gets a final answer."""
        return self._forwarding.due_ms

    def refuse(self) -> None:
        """Refuse the request unsent, as this instance is stopping."""
        self._apply_final_step(self._forwarding.on_stopping(self._clock.now_ms()))

    def record_abandoned_attempt(self) -> None:
        """Add the attempt in progress, if any, to the attempt log as given up."""
        if self._open_attempt is not None:
            server, started_ms = self._open_attempt
            self._attempt_log.append(f"{server}:given_up:0:{self._clock.now_ms() - started_ms}ms")
            self._open_attempt = None

    @singledispatchmethod
    async def _perform(self, step: ForwardStep) -> ForwardStep:
        raise TypeError(f"not a step to perform: {step!r}")

    @_perform.register
    async def _(self, step: Send) -> ForwardStep:
        return await self._attempt(step)

    @_perform.register
    async def _(self, step: WaitForTrial) -> ForwardStep:
        started_ms = self._clock.now_ms()
        next_step = await wait_for_trial(self._gate, self._forwarding, self._clock, step)
        self._attempt_log.append(f"awaited_trial:{self._clock.now_ms() - started_ms}ms")
        return next_step

    @_perform.register
    async def _(self, wait: WaitForMemory) -> ForwardStep:
        """Wait in the admission queue for capacity at the engines."""
        queue = self._queue
        arrived_ms = self._request.raw.arrived_ms
        times_ms = (wait.on_time_until_ms, wait.give_up_ms)
        limited = None if wait.rate is NO_LIMIT else self._request
        waiting = QueuedRequest(wait.urgency, arrived_ms, wait.tokens, *times_ms, limited)
        started_ms = self._clock.now_ms()
        step: ForwardStep = wait
        if queue.requests.enqueue(waiting, started_ms, wait.rate):
            try:
                while isinstance(step, WaitForMemory) and self._clock.now_ms() < wait.give_up_ms:
                    await queue.wait_for_turn(waiting, step.rate)
                    now_ms = self._clock.now_ms()
                    if queue.requests.peek(now_ms) is waiting:
                        step = self._forwarding.retry(now_ms)
            finally:
                queue.leave(waiting)
        now_ms = self._clock.now_ms()
        self._attempt_log.append(f"held:{now_ms - started_ms}ms:line{len(queue.requests)}")
        if not isinstance(step, WaitForMemory):
            return step
        if step.rate is NO_LIMIT:
            return self._forwarding.on_full(now_ms)
        wait_ms = queue.requests.schedule_return(step.rate, now_ms)
        return self._forwarding.on_limited(now_ms, wait_ms=wait_ms)

    async def _attempt(self, send: Send) -> ForwardStep:
        relay, server = self._relay, send.server.server
        relay.begin_attempt()
        self._send, self._own_head, self._said_leaving = send, None, False
        started_ms = self._clock.now_ms()
        self._open_attempt = (server, started_ms)
        self._terms, self._sent_ms = send.terms, started_ms
        tokens = self._request.prompt_tokens
        self._pending_prefill = (server, send.terms.pending_prefill_tokens)
        self._server_pool.request_started(
            server, tokens, send.terms.pending_prefill_tokens, started_ms
        )
        self._queue.requests.record_admission(tokens, started_ms)
        self._gated_run = self._gate.begin_run(self._request, send, started_ms)
        try:
            result = await self._exchange(send)
        except BaseException:
            self._end_gated_run(RunEnd.OTHER)
            raise
        finally:
            has_begun = self._is_streaming or not (relay.head is None or self._is_stream)
            self._clear_pending_prefill()
            if self._is_streaming:
                self._is_streaming = False
                self._server_pool.stream_ended(server)
            self._set_unread(False, self._clock.now_ms())
            self._server_pool.request_ended(server, tokens)
            self._queue.wake_head()
        self._open_attempt = None
        now_ms = self._clock.now_ms()
        self._record_pause(result.end, now_ms)
        outcome = self._attempt_outcome(result)
        # Before the next step is chosen, so that no crash is repeated blindly.
        self._end_gated_run(classify_run_end(outcome, result, has_begun=has_begun))
        detail = result.detail
        if outcome == "broken" and result.end is ExchangeEnd.COMPLETE:
            detail = "ended before any event" if relay.is_whole else "ended inside an event"
        status = relay.head.status if relay.head is not None else 0
        self._attempt_log.append(
            f"{server}:{outcome}:{status}:{now_ms - started_ms}ms:{send.terms.summary()}"
            + (f":{detail}" if detail else "")
        )
        return self._next_step(outcome, send, now_ms)

    def _end_gated_run(self, end: RunEnd) -> None:
        run, self._gated_run = self._gated_run, None
        if run is not None:
            run.end(end, self._clock.now_ms())

    def _may_send(self, send: Send) -> bool:
        now_ms = self._clock.now_ms()
        if not self._is_allowed(send, now_ms):
            return False
        limits = self._server_pool.limits
        return limits.may_send(send.server, send.terms.limit_spent_ms, now_ms)

    def _is_allowed(self, send: Send, now_ms: int) -> bool:
        if not self._gate.may_send(self._request, now_ms):
            return False
        if send.terms.weight_version is None:
            return self._server_pool.may_send_to(send.server, now_ms)
        return self._server_pool.may_send_prompt_to(send.server, self._request.model, now_ms)

    async def _exchange(self, send: Send) -> ExchangeResult:
        """Send one request to a server; a stalled answer counts as a broken connection."""
        self._is_stalled = False
        self._current_server = send.server.server
        task = asyncio.ensure_future(
            exchange(
                send.server.address,
                encode_forward(self._request, send.terms),
                self._relay,
                may_send=lambda: self._may_send(send),
                is_head=self._request.raw.method == b"HEAD",
                flow=self._connection.flow,
            )
        )
        self._exchange_task = task
        try:
            return await task
        except asyncio.CancelledError:
            if not self._is_stalled or asyncio.current_task().cancelling():
                raise
            return ExchangeResult(ExchangeEnd.BROKEN, f"silent for {self._silence_ms} ms")
        finally:
            self._exchange_task = None

    def check_deadline(self, now_ms: int) -> None:
        """Let the timeout of the request expire at once if its deadline has passed.

        The clock of the event loop, unlike that of the deadline, stops while the machine is
        suspended.
        """
        if now_ms >= self._forwarding.due_ms:
            self._expire()

    def stop(self) -> None:
        """End the request with a final answer, as this instance is about to exit."""
        self._is_stopping = True
        self._expire()

    def _expire(self) -> None:
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    def check_for_stall(self, now_ms: int) -> None:
        """Cancel the attempt if its engine has stalled and the route allows a retry."""
        if self._exchange_task is None or not self._route.may_retry or self._service.engine is None:
            return
        # The server cannot be heard while its answer is not read.
        self._set_unread(self._connection.flow.is_paused, now_ms)
        if self._is_unread:
            return
        if self._server_pool.has_stalled(self._current_server, now_ms):
            self._is_stalled = True
            self._silence_ms = self._server_pool.silence_ms(self._current_server, now_ms)
            self._exchange_task.cancel()

    def _set_unread(self, is_unread: bool, now_ms: int) -> None:
        if is_unread != self._is_unread:
            self._is_unread = is_unread
            self._server_pool.record_unread(self._current_server, 1 if is_unread else -1, now_ms)

    def _attempt_outcome(self, result: ExchangeResult) -> str:
        """Classify an attempt by the head of its answer, then by how the answer ended."""
        relay, end = self._relay, result.end
        if end is ExchangeEnd.NOT_CONNECTED:
            return "not_connected"
        if end is ExchangeEnd.NOT_SENT:
            return "not_sent"
        if relay.verdict is AttemptVerdict.NOT_RUN:
            return "refused"
        if end is not ExchangeEnd.COMPLETE or not relay.is_whole:
            return "broken"
        if result.was_closed and relay.lacks_events:
            return "broken"
        return "success" if relay.verdict is AttemptVerdict.SUCCESS else "failure"

    def _next_step(self, outcome: str, send: Send, now_ms: int) -> ForwardStep:
        server_pool, forwarding, relay = self._server_pool, self._forwarding, self._relay
        server = send.server.server
        if outcome == "not_connected":
            server_pool.request_failed(server, now_ms)
            return forwarding.on_not_connected(send, now_ms)
        if outcome == "not_sent":
            return forwarding.on_not_connected(send, now_ms)
        if outcome == "refused":
            self._handle_refusal(send, now_ms)
            return forwarding.on_refused(send, now_ms)
        if outcome == "broken":
            server_pool.request_failed(server, now_ms)
            return forwarding.on_answer_lost(send, now_ms, last_event_id=relay.last_event_id)
        server_pool.request_succeeded(server, self._request.model, relay.head.weight_version)
        if outcome == "failure" and relay.head.status >= 500:
            return forwarding.on_failure(send, now_ms)
        return Deliver()

    def _handle_refusal(self, send: Send, now_ms: int) -> None:
        server, model = send.server.server, self._request.model
        if self._relay.head.status != 421:
            self._server_pool.request_rejected(server, now_ms)
            return
        answering_instance = self._relay.head.instance
        if answering_instance and answering_instance != server:
            self._server_pool.mark_replaced(server)
        elif model is not None and send.terms.weight_version is not None:
            self._server_pool.record_weight_mismatch(server, model, send.terms.weight_version)

    @singledispatchmethod
    def _apply_final_step(self, step: ForwardStep) -> None:
        raise TypeError(f"not a final step: {step!r}")

    @_apply_final_step.register
    def _(self, step: Deliver) -> None:
        self._relay.deliver()
        self.log("answered", self._relay.head.status)

    @_apply_final_step.register
    def _(self, step: Finish) -> None:
        headers, body = encode_refusal(step)
        if step.retry_after_ms is not None:
            headers.append((b"Retry-After", b"%.3f" % ms_to_seconds(step.retry_after_ms)))
        if step.parts:
            self._attempt_log.append("quarantined:" + ",".join(sorted(p.name for p in step.parts)))
        is_head = self._request.raw.method == b"HEAD"
        self._connection.send_response(step.status, headers, b"" if is_head else body)
        self.log(step.reason.value, step.status)

    @_apply_final_step.register
    def _(self, step: AbortStream) -> None:
        self._connection.abort_response()
        now_ms = self._clock.now_ms()
        _log.info(
            "answer_cut",
            request=self._request.request_id,
            reason=step.reason.value,
            server=self._current_server,
            silence_ms=self._server_pool.silence_ms(self._current_server, now_ms),
            runs=self._forwarding.run_count,
            max_runs=self._route.max_servers,
            retries_left=self._forwarding.retries_left(now_ms),
            config=self._admission.version,
        )
        self.log("broken_off_" + step.reason.value, 0)

    def log(self, outcome: str, status: int) -> None:
        """Log the outcome of the request and update the metrics."""
        now_ms = self._clock.now_ms()
        arrived_ms = self._request.raw.arrived_ms
        first_ms = None if self._first_byte_ms is None else self._first_byte_ms - arrived_ms
        _log.info(
            "request",
            request=self._request.request_id,
            outcome=outcome,
            status=status,
            route=self._route.name,
            service=self._service.name,
            brand=self._admission.brand.name if self._admission.brand else "-",
            config=self._admission.version,
            config_age_ms=self._admission.age_ms,
            first_ms=first_ms,
            total_ms=now_ms - arrived_ms,
            fingerprint=",".join(p.name for p in self._request.suspects if p.is_request),
            parts=",".join(f"{part.name}:{part.tokens}" for part in self._request.parts),
            attempts=";".join(self._attempt_log),
        )
        self._metrics.count("requests", outcome=outcome, rule=self._route.retry_policy.value)
        if first_ms is not None:
            self._metrics.observe("first_byte_ms", first_ms, rule=self._route.retry_policy.value)
