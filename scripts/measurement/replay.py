"""Discrete-event replay of one trace under one policy and one fault."""

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
from scripts.measurement.fakes import EventLoop, FakeEngine, FakeStores, PrefillJob
from scripts.measurement.floor import Floor, compute_floor
from scripts.measurement.policies import Plan, Policy
from scripts.measurement.trace import BLOCK_TOKENS, Arrival, SimulatedDeployment, generate_trace

__all__ = ["Fault", "Outcome", "Replay"]

REPORT_INTERVAL_MS = 500
REPORT_LAG_MS = 250
LATE_REPORT_LAG_MS = 2_000
CACHE_EVENT_INTERVAL_MS = 1_000
CACHE_EVENT_LOSS_RATE = 0.05
EXPORT_INTERVAL_MS = 100
LOAN_INTERVAL_MS = 1_000
DEADLINE_MS = 10_000
WARM_TIME_MS = 86_400_000
SLOW_LINK_FACTOR = 0.1
CALLER_DELAY_MS = 1
PARTITIONED_ZONE = ZoneName("c")
FAULTY_ENGINE = ServerId("engine-0")
LENDER_ID = EntryInstanceId("peer")
FAULTY_STORE = StoreId("store-0")


class Fault(Enum):
    """Fault that is active after the first third of the trace."""

    NONE = "none"
    STORE_DIES = "store_dies"
    LINK_SLOW = "link_slow"
    ENGINE_LEAVES = "engine_leaves"
    REPORTS_LATE = "reports_late"
    BRAND_FLOODS = "brand_floods"
    ZONE_CUT = "zone_cut"


@dataclass(slots=True)
class Outcome:
    """Result of one prompt.

    :param ttft_ms: time to first token; None if refused or unanswered at the end of the replay
    :param refused: rejected by admission control, or no engine was usable
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
    reuse_rates: ReuseRates = field(default_factory=ReuseRates)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    import_flights: SingleFlight[bool] = field(default_factory=SingleFlight)
    unavailable_servers: set[ServerId] = field(default_factory=set)


@dataclass(slots=True)
class _Attempt:
    """One attempt to serve a prompt on one engine."""

    entry: _Entry
    outcome: Outcome
    plan: Plan
    block_keys: tuple[str, ...]
    ticket: Ticket | None
    staged: set[str] = field(default_factory=set)
    pending_steps: int = 0
    precomputed_blocks: int = 0


class Replay:
    """One replay: production decision code on a simulated platform.

    :param length_ms: length of the trace, in milliseconds
    """

    def __init__(
        self,
        deployment: SimulatedDeployment,
        policy: Policy,
        fault: Fault,
        seed: int,
        length_ms: int,
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
        self._entries = [self._make_entry(zone) for zone in deployment.entry_zones]
        self._exported: set[str] = set()
        self._fault_active = False

    def run(self) -> None:
        """Replay the whole trace, then give the last prompts until their deadline to finish."""
        flood_ms = self.fault_ms if self.fault is Fault.BRAND_FLOODS else None
        for arrival in generate_trace(self.deployment, self._seed, self.length_ms, flood_ms):
            self._loop.call_later(
                arrival.at_ms, lambda arrival=arrival: self._handle_arrival(arrival)
            )
        self._loop.call_later(self.fault_ms, self._inject_fault)
        self._loop.call_every(REPORT_INTERVAL_MS, self._deliver_load_reports)
        self._loop.call_every(self.policy.relay_interval_ms, self._relay_sent_work)
        self._loop.call_every(CACHE_EVENT_INTERVAL_MS, self._deliver_cache_events)
        self._loop.call_every(EXPORT_INTERVAL_MS, self._export_scheduled)
        self._loop.call_every(LOAN_INTERVAL_MS, self._exchange_loans)
        self._loop.run(self.length_ms + DEADLINE_MS)

    def _make_entry(self, zone: ZoneName) -> _Entry:
        members = len(self.deployment.entry_zones)
        return _Entry(zone, Admission(self.deployment.limits_for, members, -60_000, self._rng))

    def _now_ms(self) -> int:
        return self._loop.clock.now_ms()

    def _is_partitioned(self, first_zone: ZoneName, second_zone: ZoneName) -> bool:
        is_cut = self._fault_active and self.fault is Fault.ZONE_CUT
        return is_cut and (first_zone == PARTITIONED_ZONE) != (second_zone == PARTITIONED_ZONE)

    def _inject_fault(self) -> None:
        self._fault_active = True
        if self.fault is Fault.STORE_DIES:
            self._stores.fail_store(FAULTY_STORE)
        if self.fault is Fault.LINK_SLOW:
            self._engines[FAULTY_ENGINE].link_bytes_per_s *= SLOW_LINK_FACTOR
        if self.fault is Fault.ENGINE_LEAVES:
            self._engines[FAULTY_ENGINE].leaving = True

    # Reports, relays and cache events that reach the entry instances.

    def _deliver_to_entries(
        self, engine: FakeEngine, lag_ms: int, deliver: Callable[[_Entry], None]
    ) -> None:
        for entry in self._entries:
            if not self._is_partitioned(entry.zone, engine.zone):
                self._loop.call_later(lag_ms, lambda entry=entry: deliver(entry))

    def _deliver_load_reports(self) -> None:
        is_late = self._fault_active and self.fault is Fault.REPORTS_LATE
        lag_ms = LATE_REPORT_LAG_MS if is_late else REPORT_LAG_MS
        for engine in self._engines.values():
            load = engine.load(lag_ms)

            def deliver(entry: _Entry, engine: FakeEngine = engine, load=load) -> None:
                entry.load.report(engine.server, engine.zone, load, self._now_ms())
                if load.state.leaving:
                    entry.unavailable_servers.add(engine.server)

            self._deliver_to_entries(engine, lag_ms, deliver)

    def _relay_sent_work(self) -> None:
        for sender in self._entries:
            delta = sender.load.take_delta(self._now_ms())
            if delta is None:
                continue
            for entry in self._entries:
                if entry is not sender and self._receives_relay(entry, sender):
                    entry.load.apply_delta(delta, self._now_ms())
                    for work in delta.work:
                        entry.prefix.used(work.server, work.reused)

    def _exchange_loans(self) -> None:
        now_ms = self._now_ms()
        for borrower in self._entries:
            peers = [e for e in self._entries if e.zone == borrower.zone and e is not borrower]
            request = borrower.admission.loan_request(len(peers), now_ms)
            for lender in peers if request else ():
                grant = lender.admission.grant_loans(request, now_ms)
                borrower.admission.add_loans(LENDER_ID, grant, now_ms)

    def _receives_relay(self, entry: _Entry, sender: _Entry) -> bool:
        if entry.zone == sender.zone:
            return True
        return self.policy.relay_across_zones and not self._is_partitioned(entry.zone, sender.zone)

    def _deliver_cache_events(self) -> None:
        for engine in self._engines.values():
            events = engine.drain_cache_events().events
            kept = tuple(each for each in events if self._rng.random() >= CACHE_EVENT_LOSS_RATE)

            def deliver(entry: _Entry, server=engine.server, kept=kept) -> None:
                entry.prefix.observe(server, CacheEvents(kept, gap=True))

            self._deliver_to_entries(engine, CACHE_EVENT_INTERVAL_MS, deliver)

    # Handling of one prompt.

    def _handle_arrival(self, arrival: Arrival) -> None:
        conversation = arrival.conversation
        entry = self._entries[arrival.entry]
        keys = conversation.block_keys(arrival.returning_tokens)
        self._preload_blocks(arrival, keys)
        reachable = [
            e for e in self._engines.values() if not self._is_partitioned(entry.zone, e.zone)
        ]
        stored = self._find_stored_blocks(entry, conversation.block_keys(arrival.prompt_tokens))
        floor = compute_floor(arrival, keys, stored, reachable, self.deployment)
        outcome = Outcome(arrival, floor)
        self.outcomes.append(outcome)
        self._route_prompt(entry, outcome, retry=False)

    def _preload_blocks(self, arrival: Arrival, keys: tuple[str, ...]) -> None:
        """Add the blocks stored before the trace began, except those of a failed store."""
        conversation = arrival.conversation
        shared = keys[: conversation.shared_blocks]
        self._preload_keys(shared, conversation.brand)
        if conversation.needs_preload:
            self._preload_keys(keys[conversation.shared_blocks :], conversation.name)
            conversation.needs_preload = False

    def _preload_keys(self, keys: tuple[str, ...], name: str) -> None:
        new = tuple(key for key in keys if key not in self._exported)
        self._exported.update(new)
        dead = self._stores.failed
        self._stores.failed = set()
        before = dict.fromkeys(new)
        self._stores.add_blocks(new, name, lambda zone: False)
        self._stores.failed = dead
        for key in before:
            if self._stores.store_by_block.get(key) in dead:
                del self._stores.store_by_block[key]

    def _find_stored_blocks(
        self, entry: _Entry, keys: tuple[str, ...]
    ) -> tuple[StoredBlock | None, ...]:
        return tuple(self._find_stored_block(entry, key) for key in keys)

    def _find_stored_block(self, entry: _Entry, key: str) -> StoredBlock | None:
        store = self._stores.store_by_block.get(key)
        if store is None or self._is_partitioned(entry.zone, self._stores.store_zones[store]):
            return None
        zone = self._stores.store_zones[store]
        return StoredBlock(store, zone, self.deployment.block_bytes, BLOCK_TOKENS)

    def _route_prompt(self, entry: _Entry, outcome: Outcome, *, retry: bool) -> None:
        arrival = outcome.arrival
        keys = arrival.conversation.block_keys(arrival.prompt_tokens)
        stored = self._find_stored_blocks(entry, keys)
        views = self._engine_views(entry, keys)
        if not views or (retry and not entry.retry_budget.try_spend()):
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
        self._start_attempt(_Attempt(entry, outcome, plan, keys, ticket))

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

    def _engine_views(self, entry: _Entry, keys: tuple[str, ...]) -> tuple[EngineView, ...]:
        cached = {
            server: entry.prefix.leading(server, keys)
            for server, engine in self._engines.items()
            if self._is_usable(entry, engine)
        }
        return entry.load.views(cached, self._now_ms())

    def _is_usable(self, entry: _Entry, engine: FakeEngine) -> bool:
        return engine.server not in entry.unavailable_servers and not self._is_partitioned(
            entry.zone, engine.zone
        )

    def _start_attempt(self, attempt: _Attempt) -> None:
        plan = attempt.plan
        cached = plan.view.cached_blocks
        missing = attempt.block_keys[plan.compute_until : plan.restore_until]
        tokens = attempt.outcome.arrival.prompt_tokens - (cached + len(missing)) * BLOCK_TOKENS
        imported_bytes = len(missing) * self.deployment.block_bytes
        self._record_sent_work(
            attempt.entry, plan.view.server, tokens, imported_bytes, attempt.block_keys[:cached]
        )
        attempt.entry.prefix.used(plan.view.server, attempt.block_keys)
        attempt.pending_steps = 1
        for key in missing:
            attempt.pending_steps += 1
            self._import_block(attempt, key)
        refresh = self.policy.refresh_cached and missing and cached
        if plan.compute_until > cached or refresh:
            self._precompute(attempt)
        self._complete_step(attempt)

    def _record_sent_work(
        self,
        entry: _Entry,
        server: ServerId,
        tokens: int,
        link_bytes: int,
        cached: tuple[str, ...] = (),
    ) -> None:
        if self.policy.count_sent_work:
            reused = cached if self.policy.relay_reused_blocks else ()
            entry.load.record_send(server, tokens, link_bytes, self._now_ms(), reused)

    def _precompute(self, attempt: _Attempt) -> None:
        """Compute the first missing blocks while the later ones are imported."""
        plan = attempt.plan
        attempt.pending_steps += 1
        attempt.precomputed_blocks = plan.compute_until - plan.view.cached_blocks

        def done(cached: int) -> None:
            attempt.precomputed_blocks = max(0, plan.compute_until - cached)
            self._complete_step(attempt)

        job = PrefillJob(
            attempt.block_keys[: plan.compute_until],
            plan.compute_until * BLOCK_TOKENS,
            self._priority(attempt),
            done,
        )
        if not self._engines[plan.view.server].submit(job):
            self._complete_step(attempt)

    def _priority(self, attempt: _Attempt) -> int:
        return attempt.ticket.priority if attempt.ticket else 0

    def _import_block(self, attempt: _Attempt, key: str) -> None:
        server = attempt.plan.view.server

        def settled(future: Future[bool]) -> None:
            if future.result():
                attempt.staged.add(key)
            self._complete_step(attempt)

        if not self.policy.single_flight:
            future: Future[bool] = Future()
            future.add_done_callback(settled)
            self._transfer_block(attempt, key, future.set_result)
            return
        flight = attempt.entry.import_flights.join(server, key)
        flight.future.add_done_callback(settled)
        if flight.leader:
            import_flights = attempt.entry.import_flights
            self._transfer_block(
                attempt, key, lambda held: import_flights.succeed(server, key, held)
            )

    def _transfer_block(self, attempt: _Attempt, key: str, on_done: Callable[[bool], None]) -> None:
        size_bytes = self.deployment.block_bytes
        server = attempt.plan.view.server
        if attempt.outcome.arrival.at_ms >= self.fault_ms:
            self.import_bytes += size_bytes

        def done() -> None:
            engine = self._engines[server]
            duration_ms = round(size_bytes * 1_000 / engine.link_bytes_per_s)
            attempt.entry.load.record_transfer(server, size_bytes, duration_ms, self._now_ms())
            on_done(self._find_stored_block(attempt.entry, key) is not None)

        self._engines[server].transfer(size_bytes, done)

    def _complete_step(self, attempt: _Attempt) -> None:
        attempt.pending_steps -= 1
        if attempt.pending_steps:
            return
        arrival = attempt.outcome.arrival
        job = PrefillJob(
            attempt.block_keys,
            arrival.prompt_tokens,
            self._priority(attempt),
            lambda cached: self._record_first_token(attempt, cached),
            frozenset(attempt.staged),
        )
        server = attempt.plan.view.server
        if not self._engines[server].submit(job):
            attempt.entry.unavailable_servers.add(server)
            self._release_ticket(attempt)
            self._route_prompt(attempt.entry, attempt.outcome, retry=True)

    def _record_first_token(self, attempt: _Attempt, cached: int) -> None:
        outcome = attempt.outcome
        arrival = outcome.arrival
        entry = attempt.entry
        engine = self._engines[attempt.plan.view.server]
        crossed = entry.zone != engine.zone
        delay_ms = CALLER_DELAY_MS + 2 * crossed * self.deployment.zone_delay_ms
        outcome.ttft_ms = self._now_ms() - arrival.at_ms + delay_ms
        reused = min(arrival.returning_tokens, (cached - attempt.precomputed_blocks) * BLOCK_TOKENS)
        outcome.recomputed_tokens = arrival.returning_tokens - reused
        entry.prefix.used(engine.server, attempt.block_keys)
        entry.reuse_rates.record_reused(arrival.conversation.brand, reused // BLOCK_TOKENS)
        entry.retry_budget.succeeded()
        self._release_ticket(attempt)
        self._schedule_exports(attempt, engine)

    def _release_ticket(self, attempt: _Attempt) -> None:
        if attempt.ticket:
            attempt.entry.admission.release(attempt.ticket)

    # Exports.

    def _schedule_exports(self, attempt: _Attempt, engine: FakeEngine) -> None:
        entry, brand = attempt.entry, attempt.outcome.arrival.conversation.brand
        for position, key in enumerate(attempt.block_keys):
            if key in self._stores.store_by_block:
                continue
            candidate = ExportCandidate(
                engine.server,
                key,
                position,
                self.deployment.block_bytes,
                entry.reuse_rates.expected(brand),
                self._now_ms(),
                self._now_ms() + WARM_TIME_MS,
            )
            if self.policy.idle_export:
                entry.exports.add(candidate, self._now_ms())
            else:
                self._export_block(entry, engine, candidate)

    def _export_scheduled(self) -> None:
        for entry in self._entries:
            exporting_servers = {
                server: 0
                for server, engine in self._engines.items()
                if entry.exports.queued(server) and self._is_usable(entry, engine)
            }
            for view in entry.load.views(exporting_servers, self._now_ms()):
                idle = view.link_queued_bytes == 0
                candidate = entry.exports.next(view.server, idle, self._now_ms())
                if candidate and candidate.key not in self._stores.store_by_block:
                    self._export_block(entry, self._engines[view.server], candidate)

    def _export_block(self, entry: _Entry, engine: FakeEngine, candidate: ExportCandidate) -> None:
        if candidate.key not in engine.cache:
            return
        name = candidate.key.split("/")[1]
        self._record_sent_work(entry, engine.server, 0, candidate.size_bytes)
        engine.transfer(
            candidate.size_bytes,
            lambda: self._stores.add_blocks(
                (candidate.key,), name, lambda zone: self._is_partitioned(engine.zone, zone)
            ),
        )
