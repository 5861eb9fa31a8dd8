"""Replay of one trace under one policy and one fault."""

from __future__ import annotations

import random
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field
from enum import Enum

from bergamothill.connection.engine import CacheEvents
from bergamothill.errors import OverloadedError
from bergamothill.ids import EntryInstanceId, ServerId, StoreId, ZoneName
from bergamothill.request.export import ExportCandidate, ExportSchedule, ReuseRates
from bergamothill.request.flight import SingleFlight
from bergamothill.request.limits import Admission, RequestClass, Ticket
from bergamothill.request.load import LoadEstimator
from bergamothill.request.prefix import PrefixIndex
from bergamothill.request.retry import RetryBudget
from bergamothill.request.routing import EngineView, Prompt, StoredBlock
from scripts.measurement.fakes import EventLoop, FakeEngine, FakeStores, Job
from scripts.measurement.floor import Floor, floor_of
from scripts.measurement.policies import Plan, Policy
from scripts.measurement.trace import BLOCK_TOKENS, Arrival, Deployment, make_trace

__all__ = ["Fault", "Outcome", "Replay"]

REPORT_MS = 500
REPORT_LAG_MS = 250
LATE_REPORT_LAG_MS = 2_000
EVENTS_MS = 1_000
EVENTS_LOST = 0.05
EXPORT_MS = 100
LOAN_PERIOD_MS = 1_000
DEADLINE_MS = 10_000
WARM_TIME_MS = 86_400_000
SLOW_LINK = 0.1
CALLER_DELAY_MS = 1
CUT_ZONE = ZoneName("c")
FAULTY_ENGINE = ServerId("engine-0")
PEER = EntryInstanceId("peer")
FAULTY_STORE = StoreId("store-0")


class Fault(Enum):
    """What goes wrong from a third of the trace on."""

    NONE = "none"
    STORE_DIES = "store_dies"
    LINK_SLOW = "link_slow"
    ENGINE_LEAVES = "engine_leaves"
    REPORTS_LATE = "reports_late"
    BRAND_FLOODS = "brand_floods"
    ZONE_CUT = "zone_cut"


@dataclass(slots=True)
class Outcome:
    """What became of one prompt.

    :param ttft_ms: time to first token; None when refused or not answered by the end
    :param refused: refused at admission or for want of an engine
    """

    arrival: Arrival
    floor: Floor
    ttft_ms: float | None = None
    refused: bool = False
    recomputed_tokens: int = 0


@dataclass(slots=True)
class _Entry:
    zone: ZoneName
    admission: Admission
    load: LoadEstimator = field(default_factory=LoadEstimator)
    prefix: PrefixIndex = field(default_factory=PrefixIndex)
    exports: ExportSchedule = field(default_factory=ExportSchedule)
    returns: ReuseRates = field(default_factory=ReuseRates)
    retries: RetryBudget = field(default_factory=RetryBudget)
    flights: SingleFlight[bool] = field(default_factory=SingleFlight)
    gone: set[ServerId] = field(default_factory=set)


@dataclass(slots=True)
class _Attempt:
    """One prompt on its way through one engine."""

    entry: _Entry
    outcome: Outcome
    plan: Plan
    keys: tuple[str, ...]
    ticket: Ticket | None
    staged: set[str] = field(default_factory=set)
    waiting: int = 0
    warm_blocks: int = 0


class Replay:
    """One run; the decisions are the product's, the rest is fakes.

    :param length_ms: length of the trace, in milliseconds
    """

    def __init__(
        self, deployment: Deployment, policy: Policy, fault: Fault, seed: int, length_ms: int
    ) -> None:
        self.deployment = deployment
        self.policy = policy
        self.fault = fault
        self.length_ms = length_ms
        self.fault_ms = length_ms // 3
        self.outcomes: list[Outcome] = []
        self.import_bytes = 0
        self.needed_bytes = 0
        self._rng = random.Random(f"{policy.name}/{fault.value}/{seed}")
        self._seed = seed
        self._loop = EventLoop()
        self._engines = {
            server: FakeEngine(server, zone, self._loop, deployment)
            for server, zone in deployment.engines().items()
        }
        self._stores = FakeStores(deployment)
        self._entries = [self._entry(zone) for zone in deployment.entry_zones]
        self._exported: set[str] = set()
        self._faulty = False

    def run(self) -> None:
        """Run the whole trace and let the last prompts finish."""
        flood_ms = self.fault_ms if self.fault is Fault.BRAND_FLOODS else None
        for arrival in make_trace(self.deployment, self._seed, self.length_ms, flood_ms):
            self._loop.after(arrival.at_ms, lambda arrival=arrival: self._arrive(arrival))
        self._loop.after(self.fault_ms, self._break)
        self._loop.every(REPORT_MS, self._report)
        self._loop.every(self.policy.relay_ms, self._relay)
        self._loop.every(EVENTS_MS, self._observe)
        self._loop.every(EXPORT_MS, self._export)
        self._loop.every(LOAN_PERIOD_MS, self._lend)
        self._loop.run(self.length_ms + DEADLINE_MS)

    def _entry(self, zone: ZoneName) -> _Entry:
        members = len(self.deployment.entry_zones)
        return _Entry(zone, Admission(self.deployment.limits_for, members, -60_000, self._rng))

    def _now_ms(self) -> int:
        return self._loop.clock.now_ms()

    def _cut(self, one: ZoneName, other: ZoneName) -> bool:
        cut = self._faulty and self.fault is Fault.ZONE_CUT
        return cut and (one == CUT_ZONE) != (other == CUT_ZONE)

    def _break(self) -> None:
        self._faulty = True
        if self.fault is Fault.STORE_DIES:
            self._stores.die(FAULTY_STORE)
        if self.fault is Fault.LINK_SLOW:
            self._engines[FAULTY_ENGINE].link_bytes_per_s *= SLOW_LINK
        if self.fault is Fault.ENGINE_LEAVES:
            self._engines[FAULTY_ENGINE].leaving = True

    # What entry instances hear.

    def _heard(self, engine: FakeEngine, lag_ms: int, tell: Callable[[_Entry], None]) -> None:
        for entry in self._entries:
            if not self._cut(entry.zone, engine.zone):
                self._loop.after(lag_ms, lambda entry=entry: tell(entry))

    def _report(self) -> None:
        late = self._faulty and self.fault is Fault.REPORTS_LATE
        lag_ms = LATE_REPORT_LAG_MS if late else REPORT_LAG_MS
        for engine in self._engines.values():
            load = engine.load(lag_ms)

            def tell(entry: _Entry, engine: FakeEngine = engine, load=load) -> None:
                entry.load.report(engine.server, engine.zone, load, self._now_ms())
                if load.state.leaving:
                    entry.gone.add(engine.server)

            self._heard(engine, lag_ms, tell)

    def _relay(self) -> None:
        for sender in self._entries:
            delta = sender.load.take_delta(self._now_ms())
            if delta is None:
                continue
            for entry in self._entries:
                if entry is not sender and self._hears(entry, sender):
                    entry.load.apply_delta(delta, self._now_ms())
                    for work in delta.work:
                        entry.prefix.used(work.server, work.reused)

    def _lend(self) -> None:
        now_ms = self._now_ms()
        for borrower in self._entries:
            peers = [e for e in self._entries if e.zone == borrower.zone and e is not borrower]
            request = borrower.admission.loan_request(len(peers), now_ms)
            for lender in peers if request else ():
                grant = lender.admission.grant_loans(request, now_ms)
                borrower.admission.add_loans(PEER, grant, now_ms)

    def _hears(self, entry: _Entry, sender: _Entry) -> bool:
        if entry.zone == sender.zone:
            return True
        return self.policy.relay_everywhere and not self._cut(entry.zone, sender.zone)

    def _observe(self) -> None:
        for engine in self._engines.values():
            events = engine.take_events().events
            kept = tuple(each for each in events if self._rng.random() >= EVENTS_LOST)

            def tell(entry: _Entry, server=engine.server, kept=kept) -> None:
                entry.prefix.observe(server, CacheEvents(kept, gap=True))

            self._heard(engine, EVENTS_MS, tell)

    # One prompt.

    def _arrive(self, arrival: Arrival) -> None:
        conversation = arrival.conversation
        entry = self._entries[arrival.entry]
        keys = conversation.keys(arrival.returning_tokens)
        self._seed_store(arrival, keys)
        reachable = [e for e in self._engines.values() if not self._cut(entry.zone, e.zone)]
        stored = self._stored(entry, conversation.keys(arrival.prompt_tokens))
        floor = floor_of(arrival, keys, stored, reachable, self.deployment)
        outcome = Outcome(arrival, floor)
        self.outcomes.append(outcome)
        self._place(entry, outcome, retry=False)

    def _seed_store(self, arrival: Arrival, keys: tuple[str, ...]) -> None:
        """Let a store hold what was kept before the trace, unless it died with that store."""
        conversation = arrival.conversation
        manual = keys[: conversation.manual_blocks]
        self._seed_keys(manual, conversation.brand)
        if conversation.earlier:
            self._seed_keys(keys[conversation.manual_blocks :], conversation.name)
            conversation.earlier = False

    def _seed_keys(self, keys: tuple[str, ...], name: str) -> None:
        new = tuple(key for key in keys if key not in self._exported)
        self._exported.update(new)
        dead = self._stores.dead
        self._stores.dead = set()
        before = dict.fromkeys(new)
        self._stores.keep(new, name, lambda zone: False)
        self._stores.dead = dead
        for key in before:
            if self._stores.held.get(key) in dead:
                del self._stores.held[key]

    def _stored(self, entry: _Entry, keys: tuple[str, ...]) -> tuple[StoredBlock | None, ...]:
        return tuple(self._stored_block(entry, key) for key in keys)

    def _stored_block(self, entry: _Entry, key: str) -> StoredBlock | None:
        store = self._stores.held.get(key)
        if store is None or self._cut(entry.zone, self._stores.zones[store]):
            return None
        zone = self._stores.zones[store]
        return StoredBlock(store, zone, self.deployment.block_bytes, BLOCK_TOKENS)

    def _place(self, entry: _Entry, outcome: Outcome, *, retry: bool) -> None:
        arrival = outcome.arrival
        keys = arrival.conversation.keys(arrival.prompt_tokens)
        stored = self._stored(entry, keys)
        views = self._views(entry, keys)
        if not views or (retry and not entry.retries.try_spend()):
            outcome.refused = True
            return
        prompt = Prompt(keys, (BLOCK_TOKENS,) * len(keys), arrival.prompt_tokens, stored)
        name = arrival.conversation.name
        plan = self.policy.choose(prompt, views, self.deployment.weights, self._rng, name)
        ticket = None
        if self.policy.admission:
            try:
                ticket = self._admit(entry, outcome, plan)
            except OverloadedError:
                outcome.refused = True
                return
        if not retry and arrival.at_ms >= self.fault_ms:
            self.needed_bytes += outcome.floor.needed_bytes
        self._start(_Attempt(entry, outcome, plan, keys, ticket))

    def _admit(self, entry: _Entry, outcome: Outcome, plan: Plan) -> Ticket:
        compute = outcome.arrival.prompt_tokens - plan.restore_until * BLOCK_TOKENS
        return entry.admission.admit(
            outcome.arrival.conversation.brand,
            RequestClass.INTERACTIVE,
            plan.expected_ttft_ms,
            DEADLINE_MS,
            self._now_ms(),
            queue_ms=plan.queue_ms,
            cost_tokens=compute,
        )

    def _views(self, entry: _Entry, keys: tuple[str, ...]) -> tuple[EngineView, ...]:
        cached = {
            server: entry.prefix.leading(server, keys)
            for server, engine in self._engines.items()
            if self._usable(entry, engine)
        }
        return entry.load.views(cached, self._now_ms())

    def _usable(self, entry: _Entry, engine: FakeEngine) -> bool:
        return engine.server not in entry.gone and not self._cut(entry.zone, engine.zone)

    def _start(self, attempt: _Attempt) -> None:
        plan = attempt.plan
        cached = plan.view.cached_blocks
        missing = attempt.keys[plan.compute_until : plan.restore_until]
        tokens = attempt.outcome.arrival.prompt_tokens - (cached + len(missing)) * BLOCK_TOKENS
        imported = len(missing) * self.deployment.block_bytes
        self._sent(attempt.entry, plan.view.server, tokens, imported, attempt.keys[:cached])
        attempt.entry.prefix.used(plan.view.server, attempt.keys)
        attempt.waiting = 1
        for key in missing:
            attempt.waiting += 1
            self._import(attempt, key)
        renew = self.policy.renew_cached and missing and cached
        if plan.compute_until > cached or renew:
            self._warm(attempt)
        self._arrived(attempt)

    def _sent(
        self,
        entry: _Entry,
        server: ServerId,
        tokens: int,
        link_bytes: int,
        cached: tuple[str, ...] = (),
    ) -> None:
        if self.policy.own_sends:
            reused = cached if self.policy.relay_reused else ()
            entry.load.record_send(server, tokens, link_bytes, self._now_ms(), reused)

    def _warm(self, attempt: _Attempt) -> None:
        """Compute the first missing blocks while the later ones arrive."""
        plan = attempt.plan
        attempt.waiting += 1
        attempt.warm_blocks = plan.compute_until - plan.view.cached_blocks

        def done(cached: int) -> None:
            attempt.warm_blocks = max(0, plan.compute_until - cached)
            self._arrived(attempt)

        job = Job(
            attempt.keys[: plan.compute_until],
            plan.compute_until * BLOCK_TOKENS,
            self._priority(attempt),
            done,
        )
        if not self._engines[plan.view.server].submit(job):
            self._arrived(attempt)

    def _priority(self, attempt: _Attempt) -> int:
        return attempt.ticket.priority if attempt.ticket else 0

    def _import(self, attempt: _Attempt, key: str) -> None:
        server = attempt.plan.view.server

        def settled(future: Future[bool]) -> None:
            if future.result():
                attempt.staged.add(key)
            self._arrived(attempt)

        if not self.policy.single_flight:
            future: Future[bool] = Future()
            future.add_done_callback(settled)
            self._transfer(attempt, key, future.set_result)
            return
        flight = attempt.entry.flights.join(server, key)
        flight.future.add_done_callback(settled)
        if flight.leader:
            flights = attempt.entry.flights
            self._transfer(attempt, key, lambda held: flights.succeed(server, key, held))

    def _transfer(self, attempt: _Attempt, key: str, on_done: Callable[[bool], None]) -> None:
        size_bytes = self.deployment.block_bytes
        server = attempt.plan.view.server
        if attempt.outcome.arrival.at_ms >= self.fault_ms:
            self.import_bytes += size_bytes

        def done() -> None:
            engine = self._engines[server]
            duration_ms = round(size_bytes * 1_000 / engine.link_bytes_per_s)
            attempt.entry.load.record_transfer(server, size_bytes, duration_ms, self._now_ms())
            on_done(self._stored_block(attempt.entry, key) is not None)

        self._engines[server].transfer(size_bytes, done)

    def _arrived(self, attempt: _Attempt) -> None:
        attempt.waiting -= 1
        if attempt.waiting:
            return
        arrival = attempt.outcome.arrival
        job = Job(
            attempt.keys,
            arrival.prompt_tokens,
            self._priority(attempt),
            lambda cached: self._answered(attempt, cached),
            frozenset(attempt.staged),
        )
        server = attempt.plan.view.server
        if not self._engines[server].submit(job):
            attempt.entry.gone.add(server)
            self._release(attempt)
            self._place(attempt.entry, attempt.outcome, retry=True)

    def _answered(self, attempt: _Attempt, cached: int) -> None:
        outcome = attempt.outcome
        arrival = outcome.arrival
        entry = attempt.entry
        engine = self._engines[attempt.plan.view.server]
        crossed = entry.zone != engine.zone
        delay_ms = CALLER_DELAY_MS + 2 * crossed * self.deployment.zone_delay_ms
        outcome.ttft_ms = self._now_ms() - arrival.at_ms + delay_ms
        reused = min(arrival.returning_tokens, (cached - attempt.warm_blocks) * BLOCK_TOKENS)
        outcome.recomputed_tokens = arrival.returning_tokens - reused
        entry.prefix.used(engine.server, attempt.keys)
        entry.returns.record_reused(arrival.conversation.brand, reused // BLOCK_TOKENS)
        entry.retries.succeeded()
        self._release(attempt)
        self._offer(attempt, engine)

    def _release(self, attempt: _Attempt) -> None:
        if attempt.ticket:
            attempt.entry.admission.release(attempt.ticket)

    # Exports.

    def _offer(self, attempt: _Attempt, engine: FakeEngine) -> None:
        entry, brand = attempt.entry, attempt.outcome.arrival.conversation.brand
        for position, key in enumerate(attempt.keys):
            if key in self._stores.held:
                continue
            candidate = ExportCandidate(
                engine.server,
                key,
                position,
                self.deployment.block_bytes,
                entry.returns.expected(brand),
                self._now_ms(),
                self._now_ms() + WARM_TIME_MS,
            )
            if self.policy.idle_export:
                entry.exports.add(candidate, self._now_ms())
            else:
                self._export_one(entry, engine, candidate)

    def _export(self) -> None:
        for entry in self._entries:
            waiting = {
                server: 0
                for server, engine in self._engines.items()
                if entry.exports.queued(server) and self._usable(entry, engine)
            }
            for view in entry.load.views(waiting, self._now_ms()):
                idle = view.link_queued_bytes == 0
                candidate = entry.exports.next(view.server, idle, self._now_ms())
                if candidate and candidate.key not in self._stores.held:
                    self._export_one(entry, self._engines[view.server], candidate)

    def _export_one(self, entry: _Entry, engine: FakeEngine, candidate: ExportCandidate) -> None:
        if candidate.key not in engine.cache:
            return
        name = candidate.key.split("/")[1]
        self._sent(entry, engine.server, 0, candidate.size_bytes)
        engine.transfer(
            candidate.size_bytes,
            lambda: self._stores.keep(
                (candidate.key,), name, lambda zone: self._cut(engine.zone, zone)
            ),
        )
