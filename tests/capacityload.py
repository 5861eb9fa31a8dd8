"""Load on engines and plain servers in virtual time, through the decision code of instances.

Entry instances have real pools, queues and forwarding state machines. Servers, callers and load
reports are small fakes.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field, replace

from bergamothill.process.admissionqueue import MAX_PASSED
from bergamothill.process.instanceroster import InstanceRoster
from bergamothill.process.loadreport import LoadReport, PeerLoads
from bergamothill.process.serverlimits import ServerLimits
from bergamothill.request.callerrequest import PromptPart
from bergamothill.request.forwarding import Finish, Forwarding, Send, WaitForMemory
from bergamothill.request.requestqueue import QueuedRequest, RequestQueue
from bergamothill.request.windowedbudget import WindowedRetryBudget
from bergamothill.version.routetable import RetryPolicy
from tests.builders import backend, caller_request, routing_config, server_pool

CONFIG = routing_config()
STREAM_ROUTE = next(route for route in CONFIG.routes if route.retry_policy is RetryPolicy.STREAM)
PLAIN_ROUTE = next(route for route in CONFIG.routes if route.retry_policy is RetryPolicy.ONCE)


@dataclass
class Call:
    """One request of a caller, until its answer begins or its time is over."""

    kind: str
    route: object
    arrived_ms: int
    prompt: tuple[int, int] = (0, 0)
    brand: object = None
    first_ms: int | None = None
    refusals: list[int] = field(default_factory=list)
    held_ms: int = 0

    @property
    def is_good(self) -> bool:
        """Whether the answer began within the objective."""
        return self.first_ms is not None and self.first_ms <= self.route.target_ms


class World:
    """Virtual time."""

    def __init__(self, seed=1):
        self.now_ms = 0
        self.random = random.Random(seed)
        self.calls: list[Call] = []
        self.instances: list[Instance] = []
        self._events: list = []
        self.numbers = itertools.count()

    def at(self, time_ms, action):
        heapq.heappush(self._events, (max(time_ms, self.now_ms), next(self.numbers), action))

    def after(self, delay_ms, action):
        self.at(self.now_ms + delay_ms, action)

    def run(self, until_ms):
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()

    def add_calls(self, kind, route, per_s, until_ms, *, from_ms=0, prompt=(0, 0), brand=None):
        time_ms = float(from_ms)
        while (time_ms := time_ms + self.random.expovariate(per_s / 1_000)) < until_ms:
            call = Call(kind, route, int(time_ms), prompt, brand)
            self.calls.append(call)
            self.at(call.arrived_ms, lambda call=call: self.submit(call))

    def submit(self, call):
        self.random.choice([i for i in self.instances if not i.is_dead]).submit(call)

    def good_share(self, kind, from_ms=0, until_ms=10**9):
        calls = [c for c in self.calls if c.kind == kind and from_ms <= c.arrived_ms < until_ms]
        return sum(c.is_good for c in calls) / len(calls)


class PlainServer:
    """Processes requests in its slots, queues a few, and rejects the rest."""

    def __init__(self, world, entry, work_ms, queue_places):
        self.world, self.entry, self.work_ms = world, entry, work_ms
        self.queue_places = queue_places
        self.running = 0
        self.waiting: list = []
        self.rejected = self.work_done_ms = 0
        self.factor = 1.0

    def receive(self, call, on_first, on_end):
        if self.running < self.entry.slots:
            self._run(on_first, on_end)
        elif len(self.waiting) < self.queue_places:
            self.waiting.append((on_first, on_end))
        else:
            self.rejected += 1
            on_end(is_rejected=True)

    def _run(self, on_first, on_end):
        self.running += 1
        spread = self.world.random.uniform(0.8, 1.2)
        work_ms = round(self.work_ms * self.factor * spread)
        self.work_done_ms += work_ms if 10_000 <= self.world.now_ms < 14_500 else 0
        self.world.after(work_ms, lambda: end())

        def end():
            self.running -= 1
            on_first()
            on_end()
            if self.waiting and self.running < self.entry.slots:
                self._run(*self.waiting.pop(0))


class EngineServer:
    """Prefills a chunk of each prompt in each step and decodes for the others."""

    CHUNK_TOKENS = 1_024
    STEP_MS = 8.0

    def __init__(self, world, entry, tokens_per_ms, output_tokens=40):
        self.world, self.entry, self.tokens_per_ms = world, entry, tokens_per_ms
        self.output_tokens = output_tokens
        self.is_frozen = False
        self.runs: list[list] = []
        self._is_stepping = False

    def receive(self, call, on_first, on_end):
        self.runs.append([sum(call.prompt), self.output_tokens, on_first, on_end])
        if not self._is_stepping:
            self._step()

    def _step(self):
        self._is_stepping = bool(self.runs)
        if not self.runs:
            return
        if self.is_frozen:
            self.world.after(10, self._step)
            return
        running = self.runs[: self.entry.slots]
        chunks = [min(run[0], self.CHUNK_TOKENS) for run in running]
        step_ms = self.STEP_MS + sum(chunks) / self.tokens_per_ms
        self.world.after(step_ms, lambda: self._end_step(list(zip(running, chunks, strict=True))))

    def _end_step(self, done):
        for run, chunk in done:
            run[0] -= chunk
            if run[0] <= 0:
                run[1] -= 1
                if run[1] == self.output_tokens - 1:
                    run[2]()
        ended = [run for run, _ in done if run[1] <= 0]
        self.runs = [run for run in self.runs if run[1] > 0]
        for run in ended:
            run[3]()
        self._step()


class Instance:
    """Entry instance: performs the steps of forwardings as ``RequestRun`` does."""

    def __init__(self, world, service, servers, *, report_ms=50, lag_ms=5, configure=None):
        self.world, self.service = world, service
        self.servers = {server.entry.server: server for server in servers}
        self.loads = PeerLoads()
        entries = [server.entry for server in servers]
        self.name = f"front-{len(world.instances)}"
        self.roster = InstanceRoster(self.name)
        self.pool = server_pool(*entries, peer_loads=self.loads, limits=ServerLimits(self.roster))
        self.pool.next_waiting_request = self._next_waiting_request
        self.pool.next_reserving_request = self._next_reserving_request
        self.queue = RequestQueue()
        self.budget = WindowedRetryBudget(0.2, 2, 10_000, started_ms=-20_000)
        self.is_dead = self.loses_reports = False
        self._lag_ms, self._report_ms, self._sequence = lag_ms, report_ms, 0
        self._waiting: dict[int, object] = {}
        self._woken_ms = 0
        self._has_timer = False
        if configure is not None:
            configure(self)
        world.instances.append(self)
        for instance in world.instances:
            others = [i.name for i in world.instances if i is not instance]
            instance.roster.set_registered(others, 0)
        world.after(world.random.randrange(report_ms), self._report)

    def _report(self):
        world = self.world
        self.pool.record_check(world.now_ms)
        for server in self.servers:  # keeps the servers from being taken for silent
            self.pool.record_bytes(server, world.now_ms)
        self._sequence += 1
        loads = {s: replace(load) for s, load in self.pool.own_loads().items()}
        report = LoadReport(self.name, self._sequence, loads)
        if not self.is_dead:
            for peer in world.instances:
                if peer is not self and not (self.loses_reports or peer.loses_reports):
                    world.after(self._lag_ms, lambda peer=peer: peer.receive_report(report))
        world.after(self._report_ms, self._report)

    def receive_report(self, report):
        self.loads.add_report(report, self.world.now_ms)
        if self.world.now_ms - self._woken_ms >= 20:
            self.wake()

    def submit(self, call):
        now_ms = self.world.now_ms
        left_ms = call.arrived_ms + call.route.timeout_ms - now_ms
        is_prompt = self.service.engine is not None
        shared = f"{call.kind}-{self.world.random.randrange(10**9)}"
        parts = (PromptPart(shared, call.prompt[0]), PromptPart("own", call.prompt[1]))
        request = caller_request(
            arrived_ms=now_ms,
            request_id=f"r{next(self.world.numbers)}",
            caller_timeout_ms=left_ms,
            model="m1" if is_prompt else None,
            parts=parts if is_prompt else (),
            prompt_tokens=sum(call.prompt),
        )
        forwarding = Forwarding(
            request,
            call.route,
            self.service,
            call.brand,
            self.pool,
            self.budget,
            self.world.random.random(),
        )
        self._perform(forwarding.begin(now_ms), forwarding, call, request)

    def _perform(self, step, forwarding, call, request):
        if isinstance(step, Send):
            self._send(step, forwarding, call, request)
        elif isinstance(step, WaitForMemory):
            self._wait(step, forwarding, call, request)
        elif isinstance(step, Finish):
            self._refuse(step, call)

    def _send(self, send, forwarding, call, request):
        world, pool, server = self.world, self.pool, send.server.server
        terms, sent_ms = send.terms, world.now_ms
        tokens = request.prompt_tokens
        pool.request_started(server, tokens, terms.pending_prefill_tokens, sent_ms)
        self.queue.record_admission(request.work_tokens, round(sent_ms), request.flow)

        def on_first():
            pool.prompt_prefilled(server, terms.pending_prefill_tokens)
            took_ms = round(world.now_ms - sent_ms)
            pool.record_prefill_time(send.server, terms, took_ms, round(world.now_ms))
            if not self.is_dead and call.first_ms is None:
                call.first_ms = world.now_ms - call.arrived_ms

        def on_end(is_rejected=False):
            now_ms = round(world.now_ms)
            pool.request_ended(server, tokens)
            if is_rejected:
                pool.request_rejected(server, now_ms)
                step = forwarding.on_refused(send, now_ms)
                self._perform(step, forwarding, call, request)
            else:
                slot_ms = pool.record_service_time(send.server, terms, now_ms - sent_ms, now_ms)
                self.queue.record_slot_time(request.flow, slot_ms)
            self.wake()

        self.servers[server].receive(call, on_first, on_end)

    def _wait(self, wait, forwarding, call, request):
        now_ms = round(self.world.now_ms)
        waiting = QueuedRequest(
            wait.urgency, now_ms, wait.tokens, wait.on_time_until_ms, wait.give_up_ms
        )
        waiting.request = request
        if not self.queue.enqueue(waiting, now_ms, wait.rate, wait.work_per_ms):
            self._refuse_full(waiting, wait, forwarding, call)
            return

        def give_up(forwarding, call, request):
            self._refuse_full(waiting, wait, forwarding, call)

        self._waiting[id(waiting)] = (waiting, forwarding, call, request, now_ms)
        self.world.at(wait.give_up_ms, lambda: self._leave(waiting, give_up))
        self.wake()

    def _next_waiting_request(self, _service):
        head = self.queue.peek(round(self.world.now_ms))
        return None if head is None else head.request

    def _next_reserving_request(self, _service):
        now_ms = round(self.world.now_ms)
        head = self.queue.peek(now_ms)
        return head.request if head and self.queue.is_reserving(head, now_ms) else None

    def _refuse_full(self, waiting, wait, forwarding, call):
        now_ms = round(self.world.now_ms)
        time = self.queue.schedule_full_return(waiting, now_ms, wait.work_per_ms)
        self._refuse(forwarding.on_full(now_ms, time), call)

    def _leave(self, waiting, then):
        entry = self._waiting.pop(id(waiting), None)
        if entry is not None:
            self.queue.discard(waiting)
            _, forwarding, call, request, since_ms = entry
            call.held_ms += self.world.now_ms - since_ms
            then(forwarding, call, request)

    def _on_timer(self):
        self._has_timer = False
        self.wake()

    def wake(self):
        now_ms = self._woken_ms = round(self.world.now_ms)
        passed = []
        while (head := self.queue.peek(now_ms, passed)) is not None:
            step = self._waiting[id(head)][1].retry(now_ms)
            if isinstance(step, WaitForMemory):
                may_pass = self.service.engine is not None and len(passed) < MAX_PASSED
                if may_pass and not self.queue.is_reserving(head, now_ms):
                    passed.append(head)
                    continue
                if not self._has_timer:
                    self._has_timer = True
                    self.world.after(100, self._on_timer)
                return
            if isinstance(step, Send):
                self.queue.record_sent(head, now_ms)
            self._leave(head, lambda f, c, r, step=step: self._perform(step, f, c, r))

    def _refuse(self, step, call):
        now_ms = self.world.now_ms
        call.refusals.append(step.retry_after_ms or 0)
        left_ms = call.arrived_ms + call.route.timeout_ms - now_ms
        if step.retry_after_ms is not None and left_ms > 20:
            self.world.after(min(step.retry_after_ms, left_ms / 3), lambda: self.world.submit(call))


def plain_world(count=4, instances=3, work_ms=90, slots=6, queue=24, seed=1, **options):
    """Return a world of plain servers and its servers."""
    world = World(seed)
    servers = [
        PlainServer(
            world, backend(f"s{n}", service="bookings", weights={}, slots=slots), work_ms, queue
        )
        for n in range(1, count + 1)
    ]
    for _ in range(instances):
        Instance(world, CONFIG.services["bookings"], servers, **options)
    return world, servers


def engine_world(
    count=6, instances=3, tokens_per_ms=85.2, slots=48, memory_tokens=112_085, **options
):
    """Return a world of engines and its servers."""
    world = World()
    traits = replace(CONFIG.services["llm"].engine, slots=slots, memory_tokens=memory_tokens)
    service = replace(CONFIG.services["llm"], engine=traits)
    servers = [
        EngineServer(world, backend(f"s{n}", slots=slots), tokens_per_ms)
        for n in range(1, count + 1)
    ]
    for _ in range(instances):
        Instance(world, service, servers, **options)
    return world, servers
