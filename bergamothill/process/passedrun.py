"""Passes one admitted request on through another entry instance, on the event loop.

:class:`~bergamothill.request.passedrequest.PassedRequest` decides each step.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial, singledispatchmethod

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.backendhttp import Dial, ExchangeEnd, ExchangeResult, exchange
from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.ids import EntryInstanceId
from bergamothill.logs import EventLog
from bergamothill.platform.passing import decode_passed_answer, encode_passed
from bergamothill.process.configstate import Admission
from bergamothill.process.crashlog import log_crash
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.passing import Passing
from bergamothill.process.quarantinesteps import send_refusal
from bergamothill.process.timedrun import TimedRun
from bergamothill.request.answerrelay import AnswerListener, AnswerRelay, AttemptVerdict
from bergamothill.request.bufferbudget import BufferBudget
from bergamothill.request.callerrequest import CallerRequest
from bergamothill.request.forwarding import AbortStream, Deliver, Finish, Reason
from bergamothill.request.passedrequest import PassedRequest, PassOn, PassStep
from bergamothill.request.windowedbudget import WindowedRetryBudget
from bergamothill.version.homes import home_regions
from bergamothill.version.routetable import RetryPolicy

__all__ = ["PassContext", "PassedRun"]

_log = EventLog("gateway")


@dataclass(frozen=True, slots=True)
class PassContext:
    """What the requests to one service that are passed on have in common.

    :param clock: source of time
    :param passing: the other instances
    :param metrics: counters and histograms
    :param buffer_budget: memory for the bodies of unfinished answers
    :param retry_budget: retry budget of the service
    """

    clock: Clock
    passing: Passing
    metrics: GatewayMetrics
    buffer_budget: BufferBudget
    retry_budget: WindowedRetryBudget


class PassedRun(TimedRun, AnswerListener):
    """Processing of one request that is passed on, until its final answer.

    :param context: what these requests have in common
    :param connection: connection of the caller
    :param request: caller's request
    :param admission: decision that admitted the request
    :param may_have_run: whether a server may have run the request already
    :param attempts: descriptions of the attempts at servers that were made here before
    """

    def __init__(
        self,
        context: PassContext,
        connection: CallerConnection,
        request: CallerRequest,
        admission: Admission,
        *,
        may_have_run: bool = False,
        attempts: Iterable[str] = (),
    ) -> None:
        super().__init__()
        route, self._context = admission.route, context
        self._clock = context.clock
        self._connection = connection
        self._request = request
        self._admission = admission
        self._state = PassedRequest(
            route,
            context.passing.choose_for(home_regions(route, admission.brand)),
            context.retry_budget,
            random.random(),
            request.due_ms(route.timeout_ms),
            may_have_run=may_have_run,
        )
        self._relay = AnswerRelay(
            connection,
            request.request_id,
            is_stream=route.retry_policy is RetryPolicy.STREAM,
            budget=context.buffer_budget,
            decode=partial(decode_passed_answer, request.request_id),
        )
        self._exchange_task: asyncio.Task[ExchangeResult] | None = None
        self._helper = EntryInstanceId("")
        self._was_sent = False
        self._is_helper_lost = False
        self._first_byte_ms: int | None = None
        self._passes = list(attempts)

    async def execute(self) -> None:
        """Carry out the steps of the request until its final one."""
        try:
            await self._execute_steps()
        finally:
            self._relay.discard_body()

    async def _execute_steps(self) -> None:
        state = self._state
        remaining_s = ms_to_seconds(state.due_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(max(0.0, remaining_s)) as self._timeout:
                step = state.begin(self._clock.now_ms())
                while isinstance(step, PassOn):
                    step = await self._pass_to(step)
        except TimeoutError:
            reason = Reason.STOPPING if self._is_stopping else Reason.EXPIRED
            step = self._give_up(reason)
        except Exception as error:  # noqa: BLE001 - the caller needs a final answer
            log_crash(self._request.request_id, error)
            step = self._give_up(Reason.INTERNAL_ERROR)
        self._apply_final_step(step)

    def _give_up(self, reason: Reason) -> PassStep:
        """Return the final step; what was written in the last pass may have been run."""
        self._state.may_have_run |= self._was_sent
        return self._state.give_up(self._clock.now_ms(), reason)

    async def _pass_to(self, step: PassOn) -> PassStep:
        """Exchange request and answer with an instance; return the next step."""
        helpers, self._helper = self._context.passing.helpers, step.helper.entry
        self._was_sent = self._is_helper_lost = False
        self._relay.begin_attempt(self)
        started_ms = self._clock.now_ms()
        helpers.begin_request(self._helper)
        try:
            result = await self._exchange(step)
        finally:
            helpers.end_request(self._helper)
        outcome, next_step = self._classify(result)
        duration_ms = self._clock.now_ms() - started_ms
        detail = f":{result.detail}" if result.detail else ""
        self._passes.append(
            f"{self._helper}:{outcome}:{self._relay.status}:{duration_ms}ms{detail}"
        )
        return next_step

    async def _exchange(self, step: PassOn) -> ExchangeResult:
        helper = step.helper
        self._exchange_task = asyncio.ensure_future(
            exchange(
                Dial(f"{helper.host}:{helper.port}", local_host=self._context.passing.local_host),
                encode_passed(self._request, step.time_left_ms),
                self._relay,
                may_send=self._mark_sent,
                is_head=self._request.raw.method == b"HEAD",
                flow=self._connection.flow,
            )
        )
        try:
            return await self._exchange_task
        except asyncio.CancelledError:
            if not self._is_helper_lost or asyncio.current_task().cancelling():
                raise
            end = ExchangeEnd.BROKEN if self._was_sent else ExchangeEnd.NOT_SENT
            return ExchangeResult(end, "instance has stopped replying")
        finally:
            self._exchange_task = None

    def _mark_sent(self) -> bool:
        self._was_sent = True
        return True

    def _classify(self, result: ExchangeResult) -> tuple[str, PassStep]:
        """Return how an exchange ended, for the log, and the step that follows."""
        relay, now_ms = self._relay, self._clock.now_ms()
        if result.end in (ExchangeEnd.NOT_CONNECTED, ExchangeEnd.NOT_SENT):
            return result.end.value, self._state.on_not_sent(now_ms)
        if relay.verdict is AttemptVerdict.NOT_RUN:
            self._was_sent = False
            return "refused", self._state.on_not_sent(now_ms)
        is_whole = result.end is ExchangeEnd.COMPLETE and relay.is_whole
        is_whole = is_whole and not (result.was_closed and relay.lacks_events)
        if is_whole and relay.verdict in (AttemptVerdict.SUCCESS, AttemptVerdict.FAILURE):
            if relay.verdict is AttemptVerdict.FAILURE and relay.stream_started:
                return "failure", self._give_up(Reason.BROKEN)
            return relay.verdict.value, Deliver()
        return "lost", self._state.on_lost(now_ms)

    # The answer.

    def on_first(self) -> None:
        """Record when the first bytes were sent."""
        self._first_byte_ms = self._clock.now_ms()

    def on_events(self) -> None:
        """Record that the caller has events of the stream."""
        self._state.stream_started = True

    # What ends the request.

    @property
    def due_ms(self) -> int:
        """Time by which the caller gets a final answer."""
        return self._state.due_ms

    @property
    def is_unsent(self) -> bool:
        """Whether no instance was chosen for the request yet."""
        return not self._helper

    def refuse(self) -> None:
        """Refuse the request unsent, as this instance is stopping."""
        self._apply_final_step(self._give_up(Reason.STOPPING))

    def check_for_stall(self, _now_ms: int) -> None:
        """Try another instance for a request that may run again, if this one stopped replying."""
        task, may_retry = self._exchange_task, self._admission.route.may_retry
        is_running = task is not None and not task.done()
        if not is_running or not may_retry or self._state.stream_started:
            return
        if self._context.passing.is_lost(self._helper):
            self._is_helper_lost = True
            task.cancel()

    def end_retired(self) -> None:
        """Do nothing, as contexts are chosen by the other instance."""

    def pass_on(self) -> None:
        """Do nothing, as the request is passed on already."""

    @singledispatchmethod
    def _apply_final_step(self, step: PassStep) -> None:
        raise TypeError(f"not a final step: {step!r}")

    @_apply_final_step.register
    def _(self, _step: Deliver) -> None:
        self._relay.deliver()
        self.log("answered_elsewhere", self._relay.status)

    @_apply_final_step.register
    def _(self, step: Finish) -> None:
        self._relay.discard_body()
        send_refusal(self._connection, self._request, step)
        self.log(step.reason.value, step.status)

    @_apply_final_step.register
    def _(self, step: AbortStream) -> None:
        self._connection.abort_response()
        self.log("broken_off_" + step.reason.value, 0)

    def log(self, outcome: str, status: int) -> None:
        """Log the outcome of the request and update the metrics."""
        arrived_ms = self._request.raw.arrived_ms
        first_ms = None if self._first_byte_ms is None else self._first_byte_ms - arrived_ms
        _log.info(
            "request",
            request=self._request.request_id,
            outcome=outcome,
            status=status,
            route=self._admission.route.name,
            brand=self._admission.brand_name or "-",
            config=self._admission.version,
            config_age_ms=self._admission.age_ms,
            first_ms=first_ms,
            total_ms=self._clock.now_ms() - arrived_ms,
            passed_to=self._helper or "-",
            attempts=";".join(self._passes),
        )
        rule = self._admission.route.retry_policy.value
        self._context.metrics.count("requests", outcome=outcome, rule=rule)
