"""Observed state of the backend servers, and load balancing over them; no I/O and no clock.

A server may get requests while it is listed and not leaving. Observations from requests take
precedence over the list: a server whose address answers as another instance gets no requests, and
one that rejected a request is avoided for a backoff time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from bergamothill.ids import ModelName, ServerId, ServiceName, SoftwareVersion, ZoneName
from bergamothill.process.backends import BackendServer
from bergamothill.process.engineselector import EngineSelector
from bergamothill.process.evacuation import (
    RETRY_AFTER_MS,
    EvacuatedZones,
    EvacuationChange,
    log_evacuation,
)
from bergamothill.process.fullengines import FullEngines
from bergamothill.process.loadreport import PeerLoads, ServerLoad
from bergamothill.process.observedserver import ObservedServer
from bergamothill.process.servercapacity import ServerCapacity
from bergamothill.process.serverlimits import ServerLimits
from bergamothill.process.serverweights import ServerWeights
from bergamothill.process.trialplacement import TrialPlacement
from bergamothill.request.callerrequest import CallerRequest, ForwardTerms
from bergamothill.request.contextplan import ContextPlanner
from bergamothill.request.partquarantine import Trial
from bergamothill.request.serverchoice import AllQuiet, AtLimit, NoFreeMemory, ServerChoice
from bergamothill.request.serverspeed import PromptWork, ServerSpeeds
from bergamothill.version.homes import HomeRegions
from bergamothill.version.routetable import Brand, EngineTraits, Service

__all__ = ["ServerPool"]

REJECTION_BACKOFF_MS = 120
"""Backoff for a server that is full or busy with an order: about the duration of one batch."""

FAILURE_BACKOFF_MIN_MS = 500
FAILURE_BACKOFF_MAX_MS = 4_000

MEMORY_SHARE = 0.95
"""Share of an engine's memory that prompts in progress may fill; answers need the rest."""

MEMORY_SHARE_PER_URGENCY = 0.035
"""Share of memory kept free per urgency level below the most urgent one."""

MS_PER_S = 1_000


class ServerPool(ServerWeights):
    """State of all backend servers, as observed by this entry instance.

    :param zone: availability zone of this entry instance
    :param weights_due_ms: time in which engines must move to a new weight target
    :param planner: plans from where engines fetch cached context
    :param peer_loads: load that the other entry instances put on the servers
    :param limits: limits that servers name
    :param entry_expiry_ms: see :class:`~bergamothill.process.serverlist.ServerList`
    :param stability_window_ms: likewise
    :param min_entry_life_ms: likewise
    :param heartbeat_interval_ms: time in which a server that runs writes its entry
    """

    def __init__(
        self,
        zone: ZoneName,
        weights_due_ms: int,
        planner: ContextPlanner,
        peer_loads: PeerLoads,
        limits: ServerLimits,
        *,
        entry_expiry_ms: int,
        stability_window_ms: int,
        min_entry_life_ms: int,
        heartbeat_interval_ms: int,
    ) -> None:
        super().__init__(
            entry_expiry_ms, stability_window_ms, min_entry_life_ms, heartbeat_interval_ms
        )
        self._zone = zone
        self.evacuation = EvacuatedZones()
        self._peer_loads = peer_loads
        self.limits = limits
        self._planner = planner
        self.speeds = ServerSpeeds()
        self.capacity = ServerCapacity(zone, peer_loads, self.speeds, limits.roster)
        self.selector = EngineSelector(planner, peer_loads, self.speeds, zone)
        self.weights_due_ms = weights_due_ms
        self._full = FullEngines()
        self.servers_under_trial: Callable[[int], frozenset[ServerId]] = lambda _now_ms: frozenset()
        """Returns the servers that try a part of a request that may crash them."""

        self.on_prefill: Callable[[BackendServer, int], None] = lambda _server, _tokens: None
        """Called with the server and the tokens to prefill when a prompt is sent."""

        self.next_limited_request: Callable[[ServiceName], CallerRequest | None] = lambda _name: (
            None
        )
        """Returns the first request in the queue of a service that waits for limits."""

        self.next_waiting_request: Callable[[ServiceName], CallerRequest | None] = lambda _name: (
            None
        )
        """Returns the same if it waits for capacity."""

        self.next_reserving_request: Callable[[ServiceName], CallerRequest | None] = lambda _name: (
            None
        )
        """Returns the same if no others may pass it any more."""

    def _rebuild_index(self) -> None:
        super()._rebuild_index()
        self._set_fetch_sources()
        self.limits.retain(state.entry for state in self._observed.values())
        self.speeds.retain(state.entry.incarnation for state in self._observed.values())
        self.capacity.retain(self._observed.keys())
        self.reachability.set_server_count(len(self._observed))

    def _set_fetch_sources(self) -> None:
        engines = (
            b.entry for b in self._observed.values() if b.entry.weights and not b.is_replaced
        )
        self._planner.set_engines(
            {e.address: e.zone for e in engines if not self.evacuation.is_evacuated(e.zone)}
        )

    def apply_evacuation(
        self, zones: Iterable[ZoneName], sent_ms: int, now_ms: int, *, is_trusted: bool
    ) -> EvacuationChange:
        """Apply the zones whose servers get nothing; see :meth:`EvacuatedZones.apply`."""
        change = self.evacuation.apply(zones, sent_ms, is_trusted=is_trusted)
        if change:
            log_evacuation(change, now_ms - sent_ms)
            for state in self._observed.values():
                if state.entry.zone in change.returned:
                    self._begin_slowly(state.entry, "evacuation", now_ms)
            self._set_fetch_sources()
        return change

    def usable(self, service: ServiceName, now_ms: int) -> list[ObservedServer]:
        """Return the servers of a service that may get new requests."""
        states = super().usable(service, now_ms)
        return [b for b in states if not self.evacuation.is_evacuated(b.entry.zone)]

    def _is_any_evacuated(
        self, service: ServiceName, homes: HomeRegions | None, now_ms: int
    ) -> bool:
        states = super().usable(service, now_ms) if self.evacuation else ()
        zones = (b.entry.zone for b in states)
        return any(
            self.evacuation.is_evacuated(zone) and self._is_home(zone, homes) for zone in zones
        )

    def _is_home(self, zone: ZoneName, homes: HomeRegions | None) -> bool:
        return self._planner.regions.is_home(zone, homes)

    def may_send_to(self, server: BackendServer, now_ms: int) -> bool:
        """Return whether a request may still be sent to a server that was chosen earlier."""
        may_send = super().may_send_to(server, now_ms)
        zone = self._observed[server.server].entry.zone if may_send else server.zone
        return may_send and not self.evacuation.is_evacuated(zone)

    def may_serve(
        self, server: BackendServer, terms: ForwardTerms, homes: HomeRegions | None
    ) -> bool:
        """Return whether a request may still be sent under terms that were chosen earlier.

        :param homes: regions in which it may be served; None for all
        """
        if not self._may_fetch_from(terms.fetch_from):
            return False
        if not self.is_namespace_in_use(terms):
            return False
        if homes is None:
            return True
        state = self._state_of(server)
        addresses = filter(None, (*terms.fetch_from, *terms.save_to))
        is_home = state is not None and self._is_home(state.entry.zone, homes)
        return is_home and all(self._planner.is_home(address, homes) for address in addresses)

    def _may_fetch_from(self, addresses: Iterable[str]) -> bool:
        if not self.evacuation:
            return True
        states = (state for address in addresses for state in self._at_address(address))
        return not any(self.evacuation.is_evacuated(state.entry.zone) for state in states)

    # Observations from requests.

    def request_started(
        self, server: ServerId, tokens: int, pending_prefill_tokens: int, now_ms: int
    ) -> None:
        """Record that a request was sent to a server.

        :param tokens: length of its prompt
        :param pending_prefill_tokens: prompt tokens that the server has to prefill
        """
        state = self._observed.get(server)
        if state is not None:
            if not state.is_heard:
                state.last_received_ms = max(state.last_received_ms, now_ms)
            state.in_progress += 1
            state.tokens += tokens
            state.pending_prefill_tokens += pending_prefill_tokens
            self.on_prefill(state.entry, pending_prefill_tokens)

    def prompt_prefilled(self, server: ServerId, pending_prefill_tokens: int) -> None:
        """Record that a server has prefilled a prompt, or will not do so."""
        state = self._observed.get(server)
        if state is not None:
            state.pending_prefill_tokens = max(
                0, state.pending_prefill_tokens - pending_prefill_tokens
            )

    def request_ended(self, server: ServerId, tokens: int) -> None:
        """Record that a request to a server has ended."""
        state = self._observed.get(server)
        if state is not None:
            self._full.clear()
            state.in_progress = max(0, state.in_progress - 1)
            state.tokens = max(0, state.tokens - tokens)

    def request_succeeded(
        self, server: ServerId, model: ModelName | None, version: int | None
    ) -> None:
        """Record a successful answer, with the model and weight version that it names, if any."""
        state = self._observed.get(server)
        if state is None:
            return
        state.failures = 0
        if model is not None and version is not None:
            state.record_version(model, version)

    def is_namespace_in_use(self, terms: ForwardTerms) -> bool:
        """Return whether a prompt may still run on the context that its terms name."""
        return not terms.cache_salt or self._planner.isolation.may_use(terms.cache_scope)

    def request_rejected(self, server: ServerId, now_ms: int) -> None:
        """Record that a server rejected a request because it is full or changing its weights."""
        state = self._observed.get(server)
        if state is not None:
            state.backoff_until_ms = max(state.backoff_until_ms, now_ms + REJECTION_BACKOFF_MS)
            self.capacity.record_rejection(state, now_ms)
            self._record_rejection(state, now_ms)

    def request_failed(self, server: ServerId, now_ms: int) -> None:
        """Record a lost answer or a failed connection."""
        state = self._observed.get(server)
        if state is None:
            return
        state.failed_ms = now_ms
        state.failures += 1
        backoff_ms = min(
            FAILURE_BACKOFF_MAX_MS, FAILURE_BACKOFF_MIN_MS << min(8, state.failures - 1)
        )
        state.backoff_until_ms = max(state.backoff_until_ms, now_ms + backoff_ms)
        self._record_failure(state, now_ms)
        self.reachability.record_failure(state.entry.address, now_ms)

    def mark_replaced(self, server: ServerId) -> None:
        """Record that another instance answers at the address of a server."""
        state = self._observed.get(server)
        if state is not None:
            state.is_replaced = True

    def record_first_token(self, terms: ForwardTerms, took_ms: int, now_ms: int) -> None:
        """Record the time to the first token of an answer.

        :param terms: terms under which the request was forwarded
        :param took_ms: time since the request was sent
        """
        state = self._observed.get(terms.server)
        if state is not None:
            size, sent_ms = terms.pending_prefill_tokens, now_ms - took_ms
            self.limits.pace.record_answer(state.entry, size, took_ms, sent_ms, now_ms)
        if terms.weight_version is not None:
            expected_ms = terms.expected_first_ms
            self._planner.delays.record_first_token(terms.fetch_from, took_ms, expected_ms, now_ms)

    def record_prefill_time(
        self, server: BackendServer, terms: ForwardTerms, took_ms: int, now_ms: int
    ) -> None:
        """Learn the speed of an engine from the time to the first token of a successful answer."""
        if terms.weight_version is not None and not any(terms.fetch_from):
            work = PromptWork(
                terms.pending_prefill_tokens, terms.beside_prefill_tokens, terms.beside_requests
            )
            key = server.incarnation
            self.speeds.record_first_token(server.service, key, work, took_ms, now_ms)

    def record_service_time(
        self, server: BackendServer, terms: ForwardTerms, took_ms: int, now_ms: int
    ) -> float:
        """Learn the time for which requests occupy a slot from a successful answer.

        :returns: this time
        """
        return self.speeds.record_service_time(
            server.service,
            server.incarnation,
            terms.beside_requests,
            server.slots,
            took_ms,
            now_ms,
        )

    def record_check(self, now_ms: int) -> None:
        """Record a periodic check, the lack of which shows a pause of this process."""
        if self._checked_ms is not None:
            self.limits.record_check(now_ms - self._checked_ms, now_ms)
        super().record_check(now_ms)

    def own_loads(self) -> dict[ServerId, ServerLoad]:
        """Return the load of this entry instance on each server, to report to its peers."""
        return {
            server: ServerLoad(state.in_progress, state.tokens, state.pending_prefill_tokens)
            for server, state in self._observed.items()
            if state.in_progress
        }

    # Selection of a server.

    def choose(
        self,
        service: Service,
        request: CallerRequest,
        brand: Brand | None,
        avoided: tuple[str, ...],
        urgency: int,
        now_ms: int,
        trial: Trial | None = None,
        *,
        is_move: bool = False,
        version: SoftwareVersion | None = None,
    ) -> ServerChoice:
        """Choose a server for a request and the terms to forward it under.

        Implements :class:`~bergamothill.request.serverchoice.ServerChooser`.

        :param version: only software version at which the request may run; None for any
        """
        is_plain_try = trial is None and version is None and not is_move and not avoided
        if is_plain_try and self._full.has_no_room(service.name, request, urgency, now_ms):
            return NoFreeMemory()
        usable = [
            b
            for b in self.usable(service.name, now_ms)
            if self._is_home(b.entry.zone, request.homes)
        ]
        if not usable:
            if self._is_any_evacuated(service.name, request.homes, now_ms):
                return AllQuiet(now_ms + RETRY_AFTER_MS, is_evacuated=True)
            quiet_until_ms = self.quiet_until_ms(service.name, now_ms)
            return None if quiet_until_ms is None else AllQuiet(quiet_until_ms)
        if version is not None:
            usable = self.select_version(usable, version, now_ms)
            if not usable:
                return None
        if is_move:
            usable = [b for b in usable if self._may_take_over(b, avoided, now_ms)]
            if not usable:
                return None
        is_prompt = service.engine is not None and request.model is not None
        if is_prompt:
            usable = self._with_due_weights(usable, request.model, now_ms)
            if not usable:
                return None
        if self.limits.has_any:
            admitting = [b for b in usable if self.limits.wait_ms(b.entry, now_ms) == 0]
            next_request = self.next_limited_request(service.name)
            if next_request is not None and next_request is not request:
                admitting = [b for b in admitting if not self.limits.is_limited(b.entry, now_ms)]
            if not admitting:
                return self._at_limit(usable, now_ms)
            usable = admitting
        candidates = [b for b in usable if b.entry.server not in avoided]
        candidates = self._of_known_pace(candidates or usable, request)
        if service.engine is not None:
            candidates = [b for b in candidates if not self._is_silent(b, now_ms)] or candidates
        awake = [b for b in candidates if b.backoff_until_ms <= now_ms]
        if awake:
            candidates = awake
        else:
            earliest_end_ms = min(b.backoff_until_ms for b in candidates)
            candidates = [b for b in candidates if b.backoff_until_ms == earliest_end_ms]
        terms_brand = brand.name if brand is not None else None
        placement = TrialPlacement(self.servers_under_trial(now_ms), self._peer_loads)
        if not is_prompt:
            candidates = placement.select_for(trial, candidates)
            if not candidates:
                return NoFreeMemory()
            state = self._choose_plain(candidates, usable, request, trial, now_ms)
            if state is None:
                answer_ms = self.capacity.expected_answer_ms(service.name)
                return NoFreeMemory(answer_ms, self.capacity.own_work_per_ms(usable))
            terms = ForwardTerms(state.entry.server, 0, brand=terms_brand)
            self._set_load_terms(terms, state, now_ms)
            terms.limit_spent_ms = self.limits.spend(state.entry, now_ms)
            return (state.entry, terms)
        first = self.next_reserving_request(service.name)
        if first is not None and first is not request and version is None and not is_move:
            return NoFreeMemory()
        preferred = self._preferred_by_weights(candidates, request.model, now_ms)
        groups = (preferred, candidates) if len(preferred) < len(candidates) else (candidates,)
        for group in groups:
            with_room = [b for b in group if self._has_room(b, service.engine, request, urgency)]
            with_room = placement.select_for(trial, with_room)
            if with_room:
                entry, terms = self.selector.place(
                    with_room, service.engine, request, brand, now_ms
                )
                state = self._observed[entry.server]
                self._set_load_terms(terms, state, now_ms)
                terms.weights_outdated_ms = self._outdated(state, request.model, now_ms).max_age_ms
                terms.limit_spent_ms = self.limits.spend(entry, now_ms)
                return (entry, terms)
        if is_plain_try:
            self._full.record(service.name, request, urgency, now_ms)
        return NoFreeMemory()

    def _set_load_terms(self, terms: ForwardTerms, state: ObservedServer, now_ms: int) -> None:
        """Note the load that a request finds at a server."""
        peer_load = self._peer_loads.load_on(state.entry.server)
        pending_tokens = state.pending_prefill_tokens + peer_load.pending_prefill_tokens
        pending_tokens += self.selector.announced.tokens_at(state.entry.incarnation, now_ms)
        terms.beside_prefill_tokens = pending_tokens
        terms.beside_requests = state.in_progress + peer_load.in_progress

    def _may_take_over(self, state: ObservedServer, avoided: tuple[str, ...], now_ms: int) -> bool:
        """Return whether an answer that is in progress elsewhere may be moved to a server."""
        if state.entry.server in avoided or state.backoff_until_ms > now_ms:
            return False
        return not self._is_silent(state, now_ms)

    def _at_limit(self, servers: list[ObservedServer], now_ms: int) -> AtLimit:
        """Return when servers whose limits are used up admit a request of this instance."""
        waits_ms = [self.limits.wait_ms(b.entry, now_ms) for b in servers]
        rate_per_s = sum(self.limits.share_per_s(b.entry, now_ms) for b in servers)
        wait_ms = min((wait_ms for wait_ms in waits_ms if wait_ms is not None), default=None)
        is_admitted = wait_ms is not None and rate_per_s > 0
        return AtLimit(wait_ms, round(MS_PER_S / rate_per_s) if is_admitted else 0)

    def _has_room(
        self, state: ObservedServer, traits: EngineTraits, request: CallerRequest, urgency: int
    ) -> bool:
        """Return whether an engine can run a request without preempting another."""
        peer_load = self._peer_loads.load_on(state.entry.server)
        in_progress = state.in_progress + peer_load.in_progress
        if in_progress == 0:
            return True  # an idle engine has the most room a very long prompt can get
        if not self.capacity.has_slot(state, traits, in_progress):
            return False
        share = MEMORY_SHARE - MEMORY_SHARE_PER_URGENCY * urgency
        tokens = state.tokens + peer_load.tokens + request.prompt_tokens
        return tokens <= share * traits.memory_tokens

    def _choose_plain(
        self,
        candidates: list[ObservedServer],
        usable: list[ObservedServer],
        request: CallerRequest,
        trial: Trial | None,
        now_ms: int,
    ) -> ObservedServer | None:
        """Return a plain server; None if the request should wait, also for those before it."""
        if trial is None:
            first = self.next_waiting_request(candidates[0].entry.service)
            if first is not None and first is not request:
                return None
        return self.capacity.choose_plain(candidates, usable, request, now_ms)
