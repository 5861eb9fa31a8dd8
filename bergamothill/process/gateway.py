"""Forwards callers' requests to backend servers on the event loop, as the decisions say."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable
from functools import singledispatchmethod

from bergamothill.clock import Clock, seconds
from bergamothill.connection.backendhttp import ExchangeEnd, ExchangeResult, exchange
from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.errors import InvalidRequestError
from bergamothill.ids import ServerId, ServiceName
from bergamothill.logs import EventLog
from bergamothill.platform.requests import decode_answer, decode_request, encode_forward
from bergamothill.process.beliefs import Admission, ConfigBelief, Verdict
from bergamothill.process.fleet import Fleet
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.linekeeper import LineKeeper
from bergamothill.process.nodesettings import DeploymentBounds
from bergamothill.request.answerrelay import AnswerRelay, AttemptVerdict
from bergamothill.request.callerrequest import CallerRequest, ForwardTerms, RawRequest
from bergamothill.request.forwarding import (
    BreakOff,
    Deliver,
    Finish,
    Forwarding,
    ForwardStep,
    Hold,
    Send,
)
from bergamothill.request.retryshare import RetryShare
from bergamothill.request.waitingline import WaitingRequest
from bergamothill.version.routetable import CallerLimits, RepeatRule, Route, Service

__all__ = ["Gateway"]

STALE_RETRY_MS = 300
SILENCE_CHECK_MS = 100

UNKNOWN_INSTANCES = 16
"""Entry instances that the retry slack is divided by until their number is known."""

SPARE_INSTANCES = 1
"""Entry instances that may have started and are not yet known."""

_log = EventLog("gateway")


class Gateway:
    """Answers the requests of all callers' connections.

    :param clock: source of time
    :param bounds: promises of the deployment
    :param config: configuration in force
    :param fleet: beliefs about the backend servers
    :param metrics: counters and histograms
    """

    def __init__(
        self,
        clock: Clock,
        bounds: DeploymentBounds,
        config: ConfigBelief,
        fleet: Fleet,
        metrics: GatewayMetrics,
    ) -> None:
        self._clock = clock
        self._bounds = bounds
        self._config = config
        self._fleet = fleet
        self._metrics = metrics
        self._shares: dict[ServiceName, RetryShare] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._runs: set[_Run] = set()
        self._lines: dict[ServiceName, LineKeeper] = {}
        self._draining = False
        self._instances = UNKNOWN_INSTANCES

    def set_bounds(self, bounds: DeploymentBounds) -> None:
        """Take over bounds that a reload changed."""
        self._bounds = bounds
        for share in self._shares.values():
            share.ratio = bounds.retry_ratio
            share.slack = bounds.retry_slack / self._instances

    def set_instances(self, instances: int) -> None:
        """Set the number of entry instances that share the retry slack.

        It only grows, so that instances that are cut off from the registry keep their share.

        :param instances: entry instances that are registered, this one included
        """
        expected = instances + SPARE_INSTANCES
        known = 0 if self._instances == UNKNOWN_INSTANCES else self._instances
        self._instances = max(known, expected)
        for share in self._shares.values():
            share.slack = self._bounds.retry_slack / self._instances

    @property
    def in_progress(self) -> int:
        """Number of requests that are being answered."""
        return len(self._tasks)

    def start_drain(self) -> None:
        """Give connections up after their present answer."""
        self._draining = True

    def limits(self) -> CallerLimits:
        """Return the bounds on callers in force."""
        return self._config.limits

    def is_draining(self) -> bool:
        """Tell whether connections are to be given up."""
        return self._draining

    def start(self, connection: CallerConnection, request: RawRequest) -> Callable[[], None]:
        """Begin to answer a request; its answer comes after this returns."""
        task = asyncio.get_running_loop().create_task(self._serve(connection, request))
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task.cancel

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("request_crashed", error=repr(task.exception()))

    def line(self, service: ServiceName) -> LineKeeper:
        """Return the line of requests that wait for a service."""
        keeper = self._lines.get(service)
        if keeper is None:
            keeper = self._lines[service] = LineKeeper(self._clock)
        return keeper

    def room_changed(self) -> None:
        """Let those try that come next in their lines."""
        for keeper in self._lines.values():
            keeper.room_changed()

    async def watch_silence(self) -> None:
        """Look for attempts at servers that fell silent, until cancelled."""
        while True:
            await asyncio.sleep(seconds(SILENCE_CHECK_MS))
            now_ms = self._clock.now_ms()
            for run in list(self._runs):
                run.check_silence(now_ms)

    def share(self, service: ServiceName) -> RetryShare:
        """Return the retry budget of a service."""
        share = self._shares.get(service)
        if share is None:
            bounds = self._bounds
            slack = bounds.retry_slack / self._instances
            share = RetryShare(bounds.retry_ratio, slack, bounds.retry_window_ms)
            self._shares[service] = share
        return share

    async def _serve(self, connection: CallerConnection, raw: RawRequest) -> None:
        try:
            request = decode_request(raw)
        except InvalidRequestError as error:
            _log.info("request_invalid", error=error.message)
            connection.reject(400)
            return
        now_ms = self._clock.now_ms()
        admission = self._config.admit(request.host, request.path, request.key, now_ms)
        service = self._service(admission, request)
        if admission.verdict is not Verdict.ADMITTED or service is None:
            self._deny(connection, request, admission)
            return
        run = _Run(self, connection, request, admission, service)
        self._runs.add(run)
        try:
            await run.drive()
        except asyncio.CancelledError:
            run.note_open_attempt()
            run.log("caller_left", 0)
            raise
        finally:
            self._runs.discard(run)

    def _service(self, admission: Admission, request: CallerRequest) -> Service | None:
        """Return the service that gets the request, by the weights of its route."""
        route = admission.route
        if route is None:
            return None
        shares = route.shares
        name = shares[0].service
        if len(shares) > 1:
            # By the request's id, so that a caller's retry may go elsewhere.
            point = zlib.crc32(request.request_id.encode()) / 2**32
            point *= sum(share.weight for share in shares)
            for share in shares:
                name = share.service
                point -= share.weight
                if point < 0:
                    break
        return self._config.table.config.services.get(name)

    def _deny(
        self, connection: CallerConnection, request: CallerRequest, admission: Admission
    ) -> None:
        status = _STATUS_BY_VERDICT.get(admission.verdict, 503)
        headers = []
        if status == 503:
            wait_s = seconds(STALE_RETRY_MS + random.randrange(STALE_RETRY_MS))
            headers.append((b"Retry-After", b"%.3f" % wait_s))
        _log.info(
            "request_denied",
            request=request.request_id,
            reason=admission.verdict.value,
            status=status,
            host=request.host,
            path=request.path,
            config=admission.version,
            config_age_ms=admission.age_ms,
        )
        self._metrics.count("requests", outcome=admission.verdict.value)
        connection.answer(status, headers, b"")


def _reasons(terms: ForwardTerms) -> str:
    """Return why a server was chosen, for the log."""
    context = f"{terms.held_tokens}+{terms.fetched_tokens}+{terms.unread_tokens}"
    reasons = f"w{terms.weight_version}:{context}:first{terms.expected_first_ms:.0f}ms"
    if terms.runner_up:
        reasons += f"<{terms.runner_up}:{terms.runner_up_first_ms:.0f}ms"
    return reasons


_STATUS_BY_VERDICT = {Verdict.UNKNOWN_ROUTE: 404, Verdict.UNKNOWN_KEY: 401}


class _Run:
    """One admitted request, from its first attempt to its final answer."""

    def __init__(
        self,
        gateway: Gateway,
        connection: CallerConnection,
        request: CallerRequest,
        admission: Admission,
        service: Service,
    ) -> None:
        route: Route = admission.route
        self._gateway = gateway
        self._clock = gateway._clock
        self._fleet = gateway._fleet
        self._connection = connection
        self._request = request
        self._admission = admission
        self._route = route
        self._service = service
        self._first_ms: int | None = None
        self._unread: tuple[ServerId, int] | None = None
        self._trail: list[str] = []
        self._open: tuple[ServerId, int] | None = None
        self._task: asyncio.Task[ExchangeResult] | None = None
        self._server = ServerId("")
        self._is_stalled = False
        self._is_streaming = False
        self._terms: ForwardTerms | None = None
        self._sent_ms = 0
        self._forwarding = Forwarding(
            request,
            route,
            service,
            admission.brand,
            gateway._fleet,
            gateway.share(service.name),
            random.random(),
        )
        self._relay = AnswerRelay(
            connection,
            request.request_id,
            is_stream=route.rule is RepeatRule.STREAM,
            decode=decode_answer,
            on_first=self._note_first,
            on_bytes=self._note_bytes,
        )

    def _note_first(self) -> None:
        self._first_ms = self._clock.now_ms()
        self._note_read()
        self._forwarding.stream_started = self._relay.stream_started

    def _note_bytes(self) -> None:
        now_ms = self._clock.now_ms()
        if not self._is_streaming:
            self._is_streaming = True
            self._fleet.stream_began(self._server)
            self._fleet.first_token(self._terms, now_ms - self._sent_ms, now_ms)
        self._fleet.heard(self._server, now_ms)

    def _note_read(self) -> None:
        if self._unread is not None:
            self._fleet.read(*self._unread)
            self._unread = None

    async def drive(self) -> None:
        """Carry out the steps of the request."""
        step = self._forwarding.begin(self._clock.now_ms())
        due_s = seconds(self._forwarding.due_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(max(0.0, due_s)):
                while isinstance(step, Send | Hold):
                    step = await (
                        self._attempt(step) if isinstance(step, Send) else self._wait(step)
                    )
        except TimeoutError:
            self.note_open_attempt()
            step = self._forwarding.expired(self._clock.now_ms())
        self._end(step)

    def note_open_attempt(self) -> None:
        """Add an attempt that was given up to what the log shows."""
        if self._open is not None:
            server, started_ms = self._open
            self._trail.append(f"{server}:given_up:0:{self._clock.now_ms() - started_ms}ms")
            self._open = None

    async def _wait(self, hold: Hold) -> ForwardStep:
        """Wait in the line for room at the engines."""
        keeper = self._gateway.line(self._service.name)
        arrived_ms = self._request.raw.arrived_ms
        waiting = WaitingRequest(
            hold.urgency, arrived_ms, hold.tokens, hold.timely_until_ms, hold.leaves_ms
        )
        started_ms = self._clock.now_ms()
        step: ForwardStep = hold
        if keeper.line.join(waiting, started_ms):
            try:
                while isinstance(step, Hold) and self._clock.now_ms() < hold.leaves_ms:
                    await keeper.wait_turn(waiting)
                    now_ms = self._clock.now_ms()
                    if keeper.line.head(now_ms) is waiting:
                        step = self._forwarding.retry(now_ms)
            finally:
                keeper.leave(waiting)
        now_ms = self._clock.now_ms()
        self._trail.append(f"held:{now_ms - started_ms}ms:line{len(keeper.line)}")
        return self._forwarding.full(now_ms) if isinstance(step, Hold) else step

    async def _attempt(self, send: Send) -> ForwardStep:
        relay, server = self._relay, send.server.server
        relay.begin_attempt()
        started_ms = self._clock.now_ms()
        self._open = (server, started_ms)
        self._terms, self._sent_ms = send.terms, started_ms
        tokens = self._request.prompt_tokens
        self._unread = (server, send.terms.unread_tokens)
        self._fleet.started(server, tokens, send.terms.unread_tokens, started_ms)
        keeper = self._gateway.line(self._service.name)
        keeper.line.admitted(tokens, started_ms)
        try:
            result = await self._exchange(send)
        finally:
            self._note_read()
            if self._is_streaming:
                self._is_streaming = False
                self._fleet.stream_ended(server)
            self._fleet.ended(server, tokens)
            keeper.room_changed()
        self._open = None
        now_ms = self._clock.now_ms()
        outcome = self._outcome(result.end)
        status = relay.head.status if relay.head is not None else 0
        self._trail.append(
            f"{server}:{outcome}:{status}:{now_ms - started_ms}ms:{_reasons(send.terms)}"
            + (f":{result.detail}" if result.detail else "")
        )
        return self._conclude(outcome, send, now_ms)

    async def _exchange(self, send: Send) -> ExchangeResult:
        """Carry out an attempt; one at a server that fell silent is given up."""
        self._is_stalled = False
        self._server = send.server.server
        task = asyncio.ensure_future(
            exchange(
                send.server.address,
                encode_forward(self._request, send.terms),
                self._relay,
                is_head=self._request.raw.method == b"HEAD",
            )
        )
        self._task = task
        try:
            return await task
        except asyncio.CancelledError:
            if not self._is_stalled or asyncio.current_task().cancelling():
                raise
            return ExchangeResult(ExchangeEnd.BROKEN, "server is silent")
        finally:
            self._task = None

    def check_silence(self, now_ms: int) -> None:
        """Give the attempt up if its server has fallen silent and another can go on."""
        if self._task is None or not self._route.may_repeat or self._service.engine is None:
            return
        if self._fleet.has_stalled(self._server, now_ms):
            self._is_stalled = True
            self._task.cancel()

    def _outcome(self, end: ExchangeEnd) -> str:
        """Name the outcome of an attempt: by the answer's head first, by its end second."""
        relay = self._relay
        if end is ExchangeEnd.NOT_CONNECTED:
            return "not_connected"
        if relay.verdict is AttemptVerdict.NOT_RUN:
            return "refused"
        if end is not ExchangeEnd.COMPLETE or not relay.is_whole:
            return "broken"
        return "success" if relay.verdict is AttemptVerdict.SUCCESS else "failure"

    def _conclude(self, outcome: str, send: Send, now_ms: int) -> ForwardStep:
        fleet, forwarding, relay = self._fleet, self._forwarding, self._relay
        server = send.server.server
        if outcome == "not_connected":
            fleet.failed(server, now_ms)
            return forwarding.not_connected(send, now_ms)
        if outcome == "refused":
            self._learn_from_refusal(send, now_ms)
            return forwarding.refused(send, now_ms)
        if outcome == "broken":
            fleet.failed(server, now_ms)
            return forwarding.broken(send, now_ms, last_event_id=relay.last_event_id)
        fleet.answered(server, self._request.model, relay.head.weight_version)
        if outcome == "failure" and relay.head.status >= 500:
            return forwarding.failed(send, now_ms)
        return Deliver()

    def _learn_from_refusal(self, send: Send, now_ms: int) -> None:
        server, model = send.server.server, self._request.model
        if self._relay.head.status != 421:
            self._fleet.refused(server, now_ms)
            return
        found = self._relay.head.instance
        if found and found != server:
            self._fleet.is_other_instance(server)
        elif model is not None and send.terms.weight_version is not None:
            self._fleet.has_other_weights(server, model, send.terms.weight_version)

    @singledispatchmethod
    def _end(self, step: ForwardStep) -> None:
        raise TypeError(f"no such step: {step!r}")

    @_end.register
    def _(self, step: Deliver) -> None:
        self._relay.deliver()
        self.log("answered", self._relay.head.status)

    @_end.register
    def _(self, step: Finish) -> None:
        headers = []
        if step.retry_after_ms is not None:
            headers.append((b"Retry-After", b"%.3f" % seconds(step.retry_after_ms)))
        self._connection.answer(step.status, headers, b"")
        self.log(step.reason.value, step.status)

    @_end.register
    def _(self, step: BreakOff) -> None:
        self._connection.break_off()
        self.log("broken_off_" + step.reason.value, 0)

    def log(self, outcome: str, status: int) -> None:
        """Log the end of the request and count it."""
        now_ms = self._clock.now_ms()
        arrived_ms = self._request.raw.arrived_ms
        first_ms = None if self._first_ms is None else self._first_ms - arrived_ms
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
            parts=",".join(f"{part.name}:{part.tokens}" for part in self._request.parts),
            attempts=";".join(self._trail),
        )
        metrics = self._gateway._metrics
        metrics.count("requests", outcome=outcome, rule=self._route.rule.value)
        if first_ms is not None:
            metrics.observe("first_byte_ms", first_ms, rule=self._route.rule.value)
