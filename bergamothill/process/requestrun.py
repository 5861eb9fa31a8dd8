"""Forwards one admitted request to backend servers on the event loop.

:class:`~bergamothill.request.forwarding.Forwarding` decides each step; this module performs it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from functools import singledispatchmethod

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.connection.keptconnections import KeptConnections
from bergamothill.errors import ProtocolError
from bergamothill.ids import ServerId, ServiceName
from bergamothill.logs import EventLog
from bergamothill.platform.headers import decode_answer
from bergamothill.process.admissionqueue import AdmissionQueue
from bergamothill.process.configstate import Admission
from bergamothill.process.crashlog import log_crash
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.quarantinegate import QuarantineGate
from bergamothill.process.quarantinesteps import send_refusal, wait_for_trial
from bergamothill.process.requestlog import RequestLog
from bergamothill.process.serverattempt import AttemptContext, AttemptOutcome, ServerAttempt
from bergamothill.process.serverpool import ServerPool
from bergamothill.process.streamresumption import ResumedStream, StreamResumption
from bergamothill.process.timedrun import TimedRun
from bergamothill.process.wakeup import cancel_task
from bergamothill.request.answerrelay import AnswerRelay
from bergamothill.request.bufferbudget import BufferBudget
from bergamothill.request.callerrequest import CallerRequest
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
from bergamothill.request.requestqueue import NO_LIMIT, QueuedRequest
from bergamothill.request.windowedbudget import WindowedRetryBudget
from bergamothill.version.homes import home_regions
from bergamothill.version.routetable import RetryPolicy, Route, Service

__all__ = ["RequestRun"]

_ANSWERED = (AttemptOutcome.SUCCESS, AttemptOutcome.FAILURE)

_log = EventLog("gateway")


class RequestRun(TimedRun):
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
    :param connections: connections to backend servers
    :param resumption: where streams began
    :param resumed: where the stream that the request resumes has to go on; None if it begins one
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
        connections: KeptConnections,
        resumption: StreamResumption,
        resumed: ResumedStream | None,
    ) -> None:
        super().__init__()
        route: Route = admission.route
        self._clock = clock
        self._server_pool = server_pool
        self._metrics = metrics
        self._queue = queue
        self._gate = gate
        self._connection = connection
        self._request = request
        self._resumption = resumption
        request.homes = home_regions(route, admission.brand)
        request.may_repeat = route.may_retry
        request.suspects = crash_suspects(request, admission.brand_name)
        self._admission = admission
        self._route = route
        self._service = service
        self._first_byte_ms: int | None = None
        self._leading: ServerAttempt | None = None
        self._is_passing_on = False
        self.passes_on: Callable[[Finish], bool] = lambda _step: False
        """Returns whether another instance is to answer a request that ends unanswered here."""

        self.passed_step: Finish | None = None
        """Final step that the caller was not told, as another instance is to answer."""

        self._forwarding = Forwarding(
            request,
            route,
            service,
            admission.brand,
            server_pool,
            retry_budget,
            random.random(),
            gate,
            None if resumed is None else resumed.version,
        )
        self._lines = RequestLog(request, route, server_pool, self._forwarding)
        is_stream = route.retry_policy is RetryPolicy.STREAM
        self._relay = AnswerRelay(
            connection,
            request.request_id,
            is_stream=is_stream,
            budget=buffer_budget,
            decode=decode_answer,
        )
        self._relays = [self._relay]
        self._context = AttemptContext(
            clock,
            server_pool,
            queue,
            gate,
            request,
            is_stream,
            connections,
            connection.flow,
            self._on_first_byte,
            self._on_events,
            resumption.checks(resumed) if is_stream else None,
            route.event_gap_ms,
        )

    def _on_first_byte(self) -> None:
        self._first_byte_ms = self._clock.now_ms()
        self._forwarding.stream_started = self._relay.stream_started

    def _on_events(self, attempt: ServerAttempt) -> None:
        """Let the attempt whose events come first go on with the answer, and end the other."""
        if not attempt.relay.has_written:
            self._check_version(attempt)
        leading = self._leading
        if attempt is not leading:
            self._lead(attempt)
            leading.end_moved()
        elif attempt.is_moving:
            attempt.move.cancel()

    def _check_version(self, attempt: ServerAttempt) -> None:
        """Check that the stream may go on at a server, or record at which version it begins.

        :raises ProtocolError: it may not
        """
        forwarding, now_ms = self._forwarding, self._clock.now_ms()
        server, is_identified = attempt.send.server, attempt.was_identified
        checks = self._context.checks
        if not self._route.may_retry and not forwarding.resumes_stream:
            return
        if not forwarding.must_keep_version:
            forwarding.version = self._resumption.record_begin(
                self._request, self._admission.brand_name, server, checks, is_identified
            )
        elif not (
            is_identified or self._server_pool.may_pass_on(server, forwarding.version, now_ms)
        ):
            raise ProtocolError("software version of the server is in doubt", step="forward.body")

    def _lead(self, attempt: ServerAttempt) -> None:
        self._leading, self._relay = attempt, attempt.relay

    async def execute(self) -> None:
        """Carry out the forwarding steps of the request until its final one."""
        try:
            await self._execute_steps()
        finally:
            self._discard_bodies()

    def _discard_bodies(self) -> None:
        for relay in self._relays:
            relay.discard_body()

    async def _execute_steps(self) -> None:
        remaining_s = ms_to_seconds(self._forwarding.due_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(max(0.0, remaining_s)) as self._timeout:
                step = self._forwarding.begin(self._clock.now_ms())
                while isinstance(step, Send | WaitForMemory | WaitForTrial):
                    step = await self._perform(step)
        except TimeoutError:
            step = self._on_timeout(self._clock.now_ms())
        except Exception as error:  # noqa: BLE001 - the caller needs a final answer
            log_crash(self._request.request_id, error)
            step = self._forwarding.on_internal_error(self._clock.now_ms())
        if isinstance(step, Finish) and self._may_pass_on(step) and self.passes_on(step):
            self.passed_step = step
        else:
            self._apply_final_step(step)

    def _may_pass_on(self, step: Finish) -> bool:
        """Return whether a request may run at a further server after its final step."""
        return step.status == 503 or self._route.may_retry

    def pass_on(self) -> None:
        """End attempts that have brought nothing, so that another instance answers."""
        was_sent = self._leading is not None and self._leading.was_sent
        if not self._forwarding.stream_started and (self._route.may_retry or not was_sent):
            self._is_passing_on = True
            self._expire()

    def _on_timeout(self, now_ms: int) -> ForwardStep:
        if self._is_stopping:
            return self._forwarding.on_stopping(now_ms)
        if self._is_passing_on and now_ms < self._forwarding.due_ms:
            return self._forwarding.on_isolated(now_ms)
        return self._forwarding.on_expired(now_ms)

    @property
    def due_ms(self) -> int:
        """Time by which the caller gets a final answer."""
        return self._forwarding.due_ms

    @property
    def attempt_log(self) -> list[str]:
        """Descriptions of the attempts that have ended."""
        return self._context.log

    @property
    def service_name(self) -> ServiceName:
        """Name of the service that it is forwarded to."""
        return self._service.name

    @property
    def is_unsent(self) -> bool:
        """Whether no server was chosen for the request yet."""
        return self._leading is None

    def refuse(self) -> None:
        """Refuse the request unsent, as this instance is stopping."""
        self._apply_final_step(self._forwarding.on_stopping(self._clock.now_ms()))

    @singledispatchmethod
    async def _perform(self, step: ForwardStep) -> ForwardStep:
        raise TypeError(f"not a step to perform: {step!r}")

    @_perform.register
    async def _(self, step: Send) -> ForwardStep:
        return await self._run_attempt(step, self._relay)

    async def _run_attempt(self, send: Send, relay: AnswerRelay) -> ForwardStep:
        """Run an attempt, and those that move its answer elsewhere; return the next step."""
        attempt = ServerAttempt(self._context, send, relay)
        if self._leading is None or self._leading.has_ended:
            self._lead(attempt)
        else:
            self._leading.challenger = attempt
        try:
            outcome = await attempt.run()
            return await self._end_attempt(outcome, attempt)
        except asyncio.CancelledError:
            if attempt.was_sent:
                self._forwarding.record_lost(send)
            else:
                self._forwarding.record_refused(send)
            raise
        finally:
            await cancel_task(attempt.move)

    async def _end_attempt(self, outcome: AttemptOutcome, attempt: ServerAttempt) -> ForwardStep:
        """Return the step after an attempt, that of a move of its answer if one is under way."""
        now_ms = self._clock.now_ms()
        if outcome is AttemptOutcome.MOVED:
            self._forwarding.record_lost(attempt.send)
            return await self._await_move(attempt)
        is_final_failure = outcome is AttemptOutcome.FAILURE and attempt.relay.status < 500
        is_answered = outcome is AttemptOutcome.SUCCESS or is_final_failure
        if is_answered or not attempt.is_moving:
            return self._next_step(outcome, attempt, now_ms)
        self._record_unanswered(outcome, attempt, now_ms)
        if attempt is self._leading and attempt.challenger is not None:
            self._lead(attempt.challenger)
        step = await self._await_move(attempt)
        is_refused = isinstance(step, Finish) and outcome is AttemptOutcome.FAILURE
        return self._deliver_from(attempt) if is_refused else step

    async def _await_move(self, attempt: ServerAttempt) -> ForwardStep:
        """Return the final step of a move; the request is given up if there is none any more."""
        try:
            if attempt.move is not None:
                return await attempt.move
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
        return self._forwarding.give_up(self._clock.now_ms())

    def _deliver_from(self, attempt: ServerAttempt) -> Deliver:
        """Let the answer of an attempt be the one that the caller gets."""
        attempt.relay.claim_stream()
        self._relay = attempt.relay
        return Deliver()

    @_perform.register
    async def _(self, step: WaitForTrial) -> ForwardStep:
        started_ms = self._clock.now_ms()
        next_step = await wait_for_trial(self._gate, self._forwarding, self._clock, step)
        self._context.log.append(f"awaited_trial:{self._clock.now_ms() - started_ms}ms")
        return next_step

    @_perform.register
    async def _(self, wait: WaitForMemory) -> ForwardStep:
        """Wait in the admission queue for capacity at the servers."""
        queue = self._queue
        request, is_limited = self._request, wait.rate is not NO_LIMIT
        needs = (request.raw.arrived_ms, wait.tokens, wait.on_time_until_ms, wait.give_up_ms)
        owner = (request, None) if is_limited else (None, request)
        waiting = QueuedRequest(wait.urgency, *needs, *owner)
        started_ms = self._clock.now_ms()
        step, rates = wait, (wait.rate, wait.work_per_ms)
        if queue.requests.enqueue(waiting, started_ms, *rates):
            try:
                while isinstance(step, WaitForMemory) and self._clock.now_ms() < wait.give_up_ms:
                    # It may have been held only for others, and come before them.
                    if queue.has_turn(waiting):
                        step = self._forwarding.retry(self._clock.now_ms())
                    if isinstance(step, WaitForMemory):
                        if self._service.engine is not None and step.rate is NO_LIMIT:
                            queue.pass_turn(waiting)
                        await queue.wait_for_turn(waiting, step.rate)
            finally:
                queue.leave(waiting, is_sent=isinstance(step, Send))
        now_ms = self._clock.now_ms()
        self._context.log.append(f"held:{now_ms - started_ms}ms:line{len(queue.requests)}")
        if not isinstance(step, WaitForMemory):
            return step
        if step.rate is NO_LIMIT:
            time = queue.requests.schedule_full_return(waiting, now_ms, step.work_per_ms)
            return self._forwarding.on_full(now_ms, time)
        wait_ms = queue.requests.schedule_return(step.rate, now_ms)
        return self._forwarding.on_limited(now_ms, wait_ms=wait_ms)

    def end_retired(self) -> None:
        """Send the request anew if its answer waits and its namespace is out of use."""
        if self._leading is not None and self._route.may_retry and not self._leading.is_moving:
            self._leading.end_retired()

    def check_for_stall(self, now_ms: int) -> None:
        """Begin a move of the answer if its engine has stalled; the attempt in progress goes on."""
        attempt = self._leading
        if attempt is None or not self._route.may_retry or self._service.engine is None:
            return
        if attempt.is_moving or not attempt.has_stalled(now_ms):
            return
        attempt.move = asyncio.get_running_loop().create_task(self._move(attempt))

    async def _move(self, stalled: ServerAttempt) -> ForwardStep:
        """Carry out the steps of a move; return the final one."""
        now_ms = self._clock.now_ms()
        last_event_id = self._relay.last_event_id
        # Chosen in the task, so that none is left over if that is cancelled before it begins.
        step = self._forwarding.begin_move(now_ms, last_event_id=last_event_id)
        refusal = step.reason.value if isinstance(step, Finish | AbortStream) else ""
        self._lines.record_move(stalled, step, refusal, now_ms)
        if isinstance(step, Finish | AbortStream):
            return step
        relay = self._relay.fork()
        self._relays.append(relay)
        while isinstance(step, Send | WaitForMemory | WaitForTrial):
            if isinstance(step, Send):
                step = await self._run_attempt(step, relay)
            else:
                step = await self._perform(step)
        if isinstance(step, Deliver):
            stalled.end_moved()
        return step

    def _next_step(
        self, outcome: AttemptOutcome, attempt: ServerAttempt, now_ms: int
    ) -> ForwardStep:
        """Return the step that follows from the end of an attempt."""
        forwarding, relay, send = self._forwarding, attempt.relay, attempt.send
        if outcome not in _ANSWERED:
            attempt.record_failure(outcome, now_ms)
        if outcome in (AttemptOutcome.NOT_CONNECTED, AttemptOutcome.NOT_SENT):
            return forwarding.on_not_connected(send, now_ms)
        if outcome is AttemptOutcome.REFUSED:
            return forwarding.on_refused(send, now_ms)
        if outcome in (AttemptOutcome.BROKEN, AttemptOutcome.STALE):
            return forwarding.on_answer_lost(send, now_ms, last_event_id=relay.last_event_id)
        model, version = self._request.model, relay.head.weight_version
        self._server_pool.request_succeeded(send.server.server, model, version)
        if outcome is AttemptOutcome.SUCCESS:
            return self._deliver_from(attempt)
        step = forwarding.on_failure(
            send,
            now_ms,
            last_event_id=relay.last_event_id,
            is_final=relay.status < 500,
        )
        return self._deliver_from(attempt) if isinstance(step, Deliver) else step

    def _record_unanswered(
        self, outcome: AttemptOutcome, attempt: ServerAttempt, now_ms: int
    ) -> None:
        """Record the end of an attempt beside which another is under way."""
        attempt.record_failure(outcome, now_ms)
        if outcome.may_have_run:
            self._forwarding.record_lost(attempt.send)
        else:
            self._forwarding.record_refused(attempt.send)

    @singledispatchmethod
    def _apply_final_step(self, step: ForwardStep) -> None:
        raise TypeError(f"not a final step: {step!r}")

    @_apply_final_step.register
    def _(self, step: Deliver) -> None:
        self._relay.deliver()
        self.log("answered", self._relay.status)

    @_apply_final_step.register
    def _(self, step: Finish) -> None:
        self._discard_bodies()
        if step.parts:
            self._context.log.append("quarantined:" + ",".join(sorted(p.name for p in step.parts)))
        send_refusal(self._connection, self._request, step)
        self.log(step.reason.value, step.status)

    @_apply_final_step.register
    def _(self, step: AbortStream) -> None:
        self._connection.abort_response()
        leading = self._leading
        server = ServerId("") if leading is None else leading.send.server.server
        self._lines.record_cut(step, server, self._admission, self._clock.now_ms())
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
            brand=self._admission.brand_name or "-",
            config=self._admission.version,
            config_age_ms=self._admission.age_ms,
            first_ms=first_ms,
            total_ms=now_ms - arrived_ms,
            software_version=self._forwarding.version or "-",
            namespace=(self._leading and self._leading.send.terms.cache_salt) or "-",
            fingerprint=",".join(p.name for p in self._request.suspects if p.is_request),
            parts=",".join(f"{part.name}:{part.tokens}" for part in self._request.parts),
            attempts=";".join(self._context.log),
            **({"passed_by": self._request.passed_by} if self._request.passed_by else {}),
        )
        self._metrics.count("requests", outcome=outcome, rule=self._route.retry_policy.value)
        if first_ms is not None:
            self._metrics.observe("first_byte_ms", first_ms, rule=self._route.retry_policy.value)
