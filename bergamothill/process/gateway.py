"""Admits callers' requests and starts their forwarding on the event loop."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable, Sequence
from functools import partial

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.backendpool import PooledServer
from bergamothill.connection.callerhttp import CallerConnection
from bergamothill.connection.callerintake import CallerIntake
from bergamothill.connection.keptconnections import KeptConnections
from bergamothill.connection.responseformat import spread_retry_after
from bergamothill.errors import InvalidRequestError
from bergamothill.ids import EntryInstanceId, ServiceName
from bergamothill.logs import EventLog
from bergamothill.platform.headers import decode_request, decode_request_id
from bergamothill.process.admissionqueue import AdmissionQueue
from bergamothill.process.configconfirmation import ConfigConfirmation
from bergamothill.process.configstate import Admission, ConfigState, Verdict
from bergamothill.process.crashlog import MAX_ERROR_CHARACTERS, log_crash
from bergamothill.process.drainperiod import DrainPeriod
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.loadexchange import REPORT_INTERVAL_MS
from bergamothill.process.nodesettings import DeploymentBounds
from bergamothill.process.pacedcall import PacedCall
from bergamothill.process.passedrun import PassContext, PassedRun
from bergamothill.process.passing import Passing
from bergamothill.process.quarantinegate import QuarantineGate
from bergamothill.process.requestrun import RequestRun
from bergamothill.process.serverpool import ServerPool
from bergamothill.process.streamresumption import (
    OriginDirectory,
    ResumedStream,
    StreamResumption,
)
from bergamothill.process.timedrun import TimedRun
from bergamothill.request.bufferbudget import BufferBudget
from bergamothill.request.callerrequest import CallerRequest, RawRequest
from bergamothill.request.forwarding import Finish
from bergamothill.request.requestqueue import QueuedRequest
from bergamothill.request.windowedbudget import WindowedRetryBudget
from bergamothill.version.routetable import CallerLimits, Service

__all__ = ["Gateway"]

UNAVAILABLE_RETRY_MS = 300
STALL_CHECK_INTERVAL_MS = 100
QUEUE_WAKE_MS = REPORT_INTERVAL_MS // 2
PAUSE_NOTICE_MS = 1_000

ASSUMED_INSTANCES = 16
"""Assumed number of entry instances that share the retry slack, until the number is known."""

UNSEEN_INSTANCES = 1
"""Allowance for entry instances that have started but are not yet known here."""

MAX_DROPPED_LINES = 8
"""Maximum lines on the requests that one connection drops together."""

MAX_BUFFERED_BYTES = 33_554_432
"""Maximum memory for the bodies of all unfinished answers that are delivered only as a whole."""

_log = EventLog("gateway")


class Gateway:
    """Handles the requests of all callers' connections.

    Its creation counts as the start of the process.

    :param clock: source of time
    :param bounds: guaranteed bounds of the deployment
    :param config: configuration in force
    :param server_pool: observed state of the backend servers
    :param metrics: counters and histograms
    :param gate: quarantine of parts of requests
    :param directory: where streams began
    :param connections: connections to backend servers; None to keep none
    :param intake: what the connections of callers share; None for the default limits
    """

    def __init__(
        self,
        clock: Clock,
        bounds: DeploymentBounds,
        config: ConfigState,
        server_pool: ServerPool,
        metrics: GatewayMetrics,
        gate: QuarantineGate,
        directory: OriginDirectory,
        connections: KeptConnections | None = None,
        intake: CallerIntake | None = None,
    ) -> None:
        self.intake = intake or CallerIntake(clock)
        self.resumption = StreamResumption(clock, server_pool, directory)
        self.confirmation = ConfigConfirmation(clock, config)
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._bounds = bounds
        self._config = config
        self._server_pool = server_pool
        self._metrics = metrics
        self._gate = gate
        self._connections = connections or KeptConnections(clock, 0, lambda _event: None)
        self._retry_budgets: dict[ServiceName, WindowedRetryBudget] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._runs: set[TimedRun] = set()
        self._searches: set[asyncio.Task[ResumedStream | None]] = set()
        """Searches for where streams began; their requests are no runs yet."""

        self._queues: dict[ServiceName, AdmissionQueue] = {}
        self.peer_capacity = PacedCall(
            clock, QUEUE_WAKE_MS, self.capacity_changed, self._has_waiting
        )
        self._buffer_budget = BufferBudget(MAX_BUFFERED_BYTES, self.intake.account)
        self.passing: Passing | None = None
        """Passes requests on while this instance reaches no server; None if it cannot."""

        self._drain: DrainPeriod | None = None
        self._known_instances = 0
        server_pool.next_limited_request = self._next_limited_request
        server_pool.next_waiting_request = self._next_waiting_request
        server_pool.next_reserving_request = self._next_reserving_request

    def set_bounds(self, bounds: DeploymentBounds) -> None:
        """Apply the bounds of reloaded settings."""
        self._bounds = bounds
        for budget in self._retry_budgets.values():
            budget.ratio = bounds.retry_ratio
            budget.slack = bounds.retry_slack / self._instance_count()

    def set_instance_count(self, instance_count: int) -> None:
        """Set the number of entry instances that share the retry slack.

        The number never decreases, so that instances cut off from the registry keep their share.

        :param instance_count: registered entry instances, including this one
        """
        self._known_instances = max(self._known_instances, instance_count + UNSEEN_INSTANCES)
        for budget in self._retry_budgets.values():
            budget.slack = self._bounds.retry_slack / self._instance_count()

    def _instance_count(self) -> int:
        return self._known_instances or ASSUMED_INSTANCES

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return len(self._tasks)

    @property
    def buffered_bytes(self) -> int:
        """Memory reserved for the bodies of unfinished answers."""
        return self._buffer_budget.reserved_bytes

    def start_drain(self, period: DrainPeriod) -> None:
        """Start closing connections after their current answer.

        :param period: time that is left
        """
        self._drain = period

    def end_notice(self) -> None:
        """Refuse the requests that wait unsent and may not be answered before the drain ends."""
        now_ms = self._clock.now_ms()
        for run in list(self._runs):
            if run.is_unsent and self._drain.is_too_late(run.due_ms, now_ms):
                run.stop()

    def end_drain(self) -> None:
        """Give a final answer to all requests in progress; streams that have begun are cut."""
        for run in list(self._runs):
            run.stop()
        for search in self._searches:
            search.cancel()

    def pass_on_waiting(self) -> None:
        """Pass on the requests in progress that servers have not begun to answer."""
        for run in list(self._runs):
            run.pass_on()

    def isolation_changed(self) -> None:
        """Send prompts anew that wait at servers under a namespace that is out of use."""
        for run in list(self._runs):
            run.end_retired()

    def limits(self) -> CallerLimits:
        """Return the caller limits in force."""
        return self._config.limits

    def is_draining(self) -> bool:
        """Return whether connections are to be closed after their current answer."""
        return self._drain is not None

    def start(
        self,
        connection: CallerConnection,
        request: RawRequest,
        *,
        passed_by: EntryInstanceId | None = None,
    ) -> Callable[[], None]:
        """Start handling a request in the background; return the function that cancels it.

        :param passed_by: instance that passed it on; None if its caller sent it here
        """
        task = asyncio.get_running_loop().create_task(
            self._handle_request(connection, request, passed_by)
        )
        self._tasks.add(task)
        task.add_done_callback(partial(self._on_task_done, connection, request))
        return task.cancel

    def _on_task_done(
        self, connection: CallerConnection, request: RawRequest, task: asyncio.Task[None]
    ) -> None:
        self._tasks.discard(task)
        # The traceback of a cancelled task refers to the request until the next garbage collection.
        request.body.release()
        if not task.cancelled() and task.exception() is not None:
            log_crash("-", task.exception())
        connection.abort_unanswered(task.cancel)

    def record_dropped(self, requests: Sequence[RawRequest]) -> None:
        """Log requests that were read, and whose connection ended or found no room before them."""
        unlogged = len(requests[MAX_DROPPED_LINES:])
        for raw in requests[:MAX_DROPPED_LINES]:
            _log.info("request_dropped", request=decode_request_id(raw) or "-", unlogged=unlogged)

    def admission_queue(self, service: ServiceName) -> AdmissionQueue:
        """Return the queue of requests that wait for a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = AdmissionQueue(self._clock)
        return queue

    def _next_limited_request(self, service: ServiceName) -> CallerRequest | None:
        head = self._queue_head(service)
        return None if head is None else head.limited

    def _next_waiting_request(self, service: ServiceName) -> CallerRequest | None:
        head = self._queue_head(service)
        return None if head is None else head.request

    def _next_reserving_request(self, service: ServiceName) -> CallerRequest | None:
        queue, now_ms = self._queues.get(service), self._clock.now_ms()
        head = None if queue is None else queue.requests.peek(now_ms)
        return head.request if head and queue.requests.is_reserving(head, now_ms) else None

    def _queue_head(self, service: ServiceName) -> QueuedRequest | None:
        queue = self._queues.get(service)
        return None if queue is None else queue.next_request()

    def _has_waiting(self) -> bool:
        """Return whether requests wait for capacity, which a peer may have freed."""
        return any(len(queue.requests) for queue in self._queues.values())

    def capacity_changed(self) -> None:
        """Wake the head of each admission queue after engine capacity changed."""
        for queue in self._queues.values():
            queue.wake_head()

    async def watch_for_stalls(self) -> None:
        """Cancel attempts at servers that stopped sending; runs until cancelled.

        Also ends requests whose deadline passed in a suspend of the machine, and logs pauses of
        this process, after which its observations are outdated.
        """
        checked_ms = self._clock.now_ms()
        self._server_pool.record_check(checked_ms)
        while True:
            await asyncio.sleep(ms_to_seconds(STALL_CHECK_INTERVAL_MS))
            now_ms = self._clock.now_ms()
            if now_ms - checked_ms >= PAUSE_NOTICE_MS:
                _log.warning("process_paused", duration_ms=now_ms - checked_ms)
            checked_ms = now_ms
            self._server_pool.record_check(now_ms)
            self._connections.close_outdated(partial(self._is_present, now_ms))
            for run in list(self._runs):
                self._check_run(run, now_ms)

    def _is_present(self, now_ms: int, server: PooledServer) -> bool:
        """Return whether an incarnation of a server is there and not leaving."""
        state = self._server_pool.server_state(server.server)
        is_same = state is not None and state.entry.started_wall_ms == server.started_wall_ms
        is_same = is_same and state.entry.address == server.address
        return is_same and state.is_present(now_ms)

    def _check_run(self, run: TimedRun, now_ms: int) -> None:
        try:
            run.check_deadline(now_ms)
            run.check_for_stall(now_ms)
        except Exception as error:  # noqa: BLE001 - one failed check must not end the watch
            _log.error("stall_check_failed", error=repr(error)[:MAX_ERROR_CHARACTERS])

    def retry_budget(self, service: ServiceName) -> WindowedRetryBudget:
        """Return this instance's share of a service's retry budget."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self._bounds
            slack = bounds.retry_slack / self._instance_count()
            budget = WindowedRetryBudget(
                bounds.retry_ratio, slack, bounds.retry_window_ms, started_ms=self._started_ms
            )
            self._retry_budgets[service] = budget
        return budget

    async def _handle_request(
        self, connection: CallerConnection, raw: RawRequest, passed_by: EntryInstanceId | None
    ) -> None:
        request = None
        try:
            request = decode_request(raw)
            request.passed_by = passed_by
            admission = await self.confirmation.admit(request, may_wait=self._drain is None)
            run = await self._create_run(connection, request, admission)
        except InvalidRequestError as error:
            _log.info("request_invalid", request=decode_request_id(raw), error=error.message)
            connection.send_error(400)
        except asyncio.CancelledError:
            self.record_dropped([raw])
            raise
        except Exception as error:  # noqa: BLE001 - the caller needs a final answer
            log_crash("-" if request is None else request.request_id, error)
            connection.send_response(503, [spread_retry_after(UNAVAILABLE_RETRY_MS)], b"")
        else:
            if run is None:
                self._reject(connection, request, admission)
                return
            await self._execute(run)
            if isinstance(run, RequestRun) and run.passed_step is not None:
                await self._execute(self._continue_passed(connection, request, admission, run))

    async def _create_run(
        self, connection: CallerConnection, request: CallerRequest, admission: Admission
    ) -> TimedRun | None:
        """Return the run of a request; None if the request is not admitted."""
        service = self._choose_service(admission, request)
        if admission.verdict is not Verdict.ADMITTED or service is None:
            return None
        if self._passes_on(request):
            context = self._pass_context(service.name)
            return PassedRun(context, connection, request, admission)
        resumed = await self._find_origin(request, admission, service)
        if resumed is not None:
            service = self._config.table.config.services.get(resumed.service, service)
        run = RequestRun(
            self._clock,
            self._server_pool,
            self._metrics,
            self.admission_queue(service.name),
            self.retry_budget(service.name),
            self._gate,
            connection,
            request,
            admission,
            service,
            self._buffer_budget,
            self._connections,
            self.resumption,
            resumed,
        )
        run.passes_on = partial(self._takes_over, request, service.name)
        return run

    def _passes_on(self, request: CallerRequest) -> bool:
        passing = self.passing
        return passing is not None and passing.is_isolated and not request.passed_by

    def _takes_over(self, request: CallerRequest, service: ServiceName, step: Finish) -> bool:
        """Return whether another instance is to answer a request that would end unanswered."""
        if not self._passes_on(request) or not self.passing.takes_over(step):
            return False
        now_ms = self._clock.now_ms()
        return step.status == 503 or self.retry_budget(service).try_spend(now_ms)

    def _pass_context(self, service: ServiceName) -> PassContext:
        return PassContext(
            self._clock,
            self.passing,
            self._metrics,
            self._buffer_budget,
            self.retry_budget(service),
        )

    def _continue_passed(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        admission: Admission,
        run: RequestRun,
    ) -> PassedRun:
        """Return the run of a request that ended unanswered here and is to be passed on."""
        return PassedRun(
            self._pass_context(run.service_name),
            connection,
            request,
            admission,
            may_have_run=run.passed_step.status != 503,
            attempts=run.attempt_log,
        )

    async def _find_origin(
        self, request: CallerRequest, admission: Admission, service: Service
    ) -> ResumedStream | None:
        """Return where a stream has to go on; see :meth:`StreamResumption.resolve`.

        A search that is cut short by the end of a drain finds nothing, nor does one that would
        begin too late in it.
        """
        if not request.last_event_id:
            return None
        give_up_ms = request.due_ms(admission.route.timeout_ms)
        if self._is_too_late(give_up_ms):
            return ResumedStream(service.name, None)
        search = asyncio.ensure_future(
            self.resumption.resolve(
                request,
                admission.brand_name,
                admission.route,
                service,
                give_up_ms=give_up_ms,
            )
        )
        self._searches.add(search)
        try:
            return await search
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            return ResumedStream(service.name, None)
        finally:
            self._searches.discard(search)
            search.cancel()

    def _is_too_late(self, due_ms: int) -> bool:
        """Return whether a drain leaves too little time to start a request.

        :param due_ms: deadline of its answer
        """
        drain = self._drain
        return drain is not None and drain.is_too_late(due_ms, self._clock.now_ms())

    async def _execute(self, run: TimedRun) -> None:
        if self._is_too_late(run.due_ms):
            run.refuse()
            return
        self._runs.add(run)
        try:
            await run.execute()
        except asyncio.CancelledError:
            run.log("caller_left", 0)
            raise
        finally:
            self._runs.discard(run)

    def _choose_service(self, admission: Admission, request: CallerRequest) -> Service | None:
        """Choose the service of a request by the weights of its route."""
        route = admission.route
        if route is None:
            return None
        shares = route.shares
        name = shares[0].service
        if len(shares) > 1:
            # Hashes the request id: a retry of the caller under a new id may go to another service.
            position = zlib.crc32(request.request_id.encode()) / 2**32
            position *= sum(share.weight for share in shares)
            for share in shares:
                name = share.service
                position -= share.weight
                if position < 0:
                    break
        return self._config.table.config.services.get(name)

    def _reject(
        self, connection: CallerConnection, request: CallerRequest, admission: Admission
    ) -> None:
        status = _STATUS_BY_VERDICT.get(admission.verdict, 503)
        headers = []
        if status == 503:
            headers.append(spread_retry_after(UNAVAILABLE_RETRY_MS))
        _log.info(
            "request_denied",
            request=request.request_id,
            reason=admission.verdict.value,
            status=status,
            host=request.host,
            path=request.path,
            config=admission.version,
            config_age_ms=admission.age_ms,
            config_revision=self._config.revision,
            config_read_by=self._config.confirmed_by or "own",
        )
        self._metrics.count("requests", outcome=admission.verdict.value)
        connection.send_response(status, headers, b"")


_STATUS_BY_VERDICT = {Verdict.UNKNOWN_ROUTE: 404, Verdict.UNKNOWN_KEY: 401}
