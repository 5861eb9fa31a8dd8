"""Beliefs about the backend servers, and the choice of one; no I/O and no clock.

A server is used while the list shows it as ready. What requests show goes before the list: a
server that answers as another instance is gone, one that refused is left alone for a while.
"""

from __future__ import annotations

from collections.abc import Iterable

from bergamothill.ids import ModelName, ServerId, ServiceName, ZoneName
from bergamothill.process.backends import BackendServer
from bergamothill.process.engineplacer import EnginePlacer
from bergamothill.process.loadreport import PeerLoads, ServerLoad
from bergamothill.process.serverbelief import ServerBelief
from bergamothill.request.callerrequest import CallerRequest, ForwardTerms
from bergamothill.request.contextplan import ContextPlanner
from bergamothill.request.forwarding import NoRoom
from bergamothill.version.routetable import Brand, EngineTraits, Service
from bergamothill.version.weightgoal import WeightGoal
from bergamothill.version.weightswap import SwapEngine

__all__ = ["Fleet"]

REFUSAL_REST_MS = 120
"""A server that is full or busy with an order is not asked again for one batch or so."""

FAILURE_REST_MS = 500
MOST_FAILURE_REST_MS = 4_000

RETURN_GRACE_MS = 2_300
"""Entries that lapsed in an outage of the key-value service are back within two seconds."""

OTHER_ZONE_COST = 1.0
"""Requests in progress that a server of the own zone may have more than one of another zone."""

MEMORY_SHARE = 0.95
"""Part of an engine's memory that requests in progress may fill; answers need the rest."""

MEMORY_SHARE_PER_URGENCY = 0.035
"""Room left for each step of urgency that a request stands behind the most urgent ones."""

SUSPECT_SILENCE_MS = 600
"""An engine with requests sends events every few ten ms, and pauses 300 ms for new weights."""

STALL_SILENCE_MS = 1_000
"""Waiting reads of events return within 700 ms, and 80 ms is an event's usual delay."""

SEVERAL_STREAMS = 3
SEVERAL_STREAMS_SHARE = 0.6

OLD_WEIGHTS_FREE_MS = 1_100
"""Old weights cost nothing for 1.5 s after a version was named; it is read up to 400 ms later."""

QUEUE_MARGIN_MS = 2_000
"""Time that a request may wait at an engine before it begins."""


class Fleet:
    """All backend servers.

    :param zone: availability zone of this entry instance
    :param weights_due_ms: time in which engines move to a named weight version
    :param planner: knows what is kept where
    :param peer_loads: requests of the other entry instances
    """

    def __init__(
        self,
        zone: ZoneName,
        weights_due_ms: int,
        planner: ContextPlanner,
        peer_loads: PeerLoads,
    ) -> None:
        self._zone = zone
        self._peer_loads = peer_loads
        self._planner = planner
        self._placer = EnginePlacer(planner, peer_loads)
        self._weights_due_ms = weights_due_ms
        self._beliefs: dict[ServerId, ServerBelief] = {}
        self._by_service: dict[ServiceName, list[ServerBelief]] = {}
        self._has_returned = False
        self._returned_ms = 0
        self.goals: dict[ModelName, WeightGoal] = {}
        self._named: dict[ModelName, list[tuple[int, int]]] = {}
        self.listed_ms: int | None = None

    def store_returned(self) -> None:
        """Keep servers that the next list lacks until the entries that lapsed are back."""
        self._has_returned = True

    def store_lost(self) -> None:
        """Keep servers whose entries had no time to come back since the last outage.

        Their wait may have run out without a read, while this process stood still.
        """
        for belief in self._beliefs.values():
            is_awaited = belief.gone_ms is not None and self._may_return(belief)
            if is_awaited and self.listed_ms < belief.gone_ms:
                belief.gone_ms = None

    def _may_return(self, belief: ServerBelief) -> bool:
        """Tell whether an entry that is missing may have lapsed in an outage."""
        return belief.listed_ms < self._returned_ms and not belief.entry.is_leaving

    def apply_list(self, entries: Iterable[BackendServer], sent_ms: int, now_ms: int) -> list[str]:
        """Take over the list of servers.

        :param entries: readable entries
        :param sent_ms: when the list was asked for
        :param now_ms: present instant
        :returns: what changed, for the log
        """
        self.listed_ms = sent_ms
        if self._has_returned:
            self._has_returned, self._returned_ms = False, sent_ms
        listed = {entry.server: entry for entry in entries}
        changes = []
        for server, entry in listed.items():
            changes += self._take_entry(server, entry, sent_ms)
        for server, belief in list(self._beliefs.items()):
            if server not in listed:
                changes += self._miss_entry(server, belief, now_ms)
        self._index()
        return changes

    def _take_entry(self, server: ServerId, entry: BackendServer, sent_ms: int) -> list[str]:
        belief = self._beliefs.get(server)
        if belief is None or belief.entry.started_wall_ms != entry.started_wall_ms:
            self._beliefs[server] = ServerBelief(entry, listed_ms=sent_ms)
            return [f"{server}:{'new' if belief is None else 'restarted'}"]
        belief.listed_ms, belief.gone_ms = sent_ms, None
        changes = []
        if entry.is_leaving and not belief.entry.is_leaving:
            changes.append(f"{server}:leaving")
        if entry.weights != belief.entry.weights:
            changes.append(f"{server}:weights")
        if belief.entry.is_leaving and not entry.is_leaving:
            return changes  # leaving is final for one incarnation; an older entry came late
        belief.entry = entry
        return changes

    def _miss_entry(self, server: ServerId, belief: ServerBelief, now_ms: int) -> list[str]:
        """Take that the list does not show a server.

        Its entry may have lapsed in an outage of the key-value service, and come back, only if it
        has not been listed since the service returned.
        """
        changes = []
        if belief.gone_ms is None:
            grace_ends_ms = self._returned_ms + RETURN_GRACE_MS
            belief.gone_ms = grace_ends_ms if self._may_return(belief) else now_ms
            changes.append(f"{server}:missing")
        if now_ms >= belief.gone_ms and belief.in_progress == 0:
            del self._beliefs[server]
        return changes

    def _index(self) -> None:
        self._by_service = {}
        engines = (b.entry for b in self._beliefs.values() if b.entry.weights and not b.is_gone)
        self._planner.set_engines({entry.address: entry.zone for entry in engines})
        for belief in self._beliefs.values():
            self._by_service.setdefault(belief.entry.service, []).append(belief)

    def belief(self, server: ServerId) -> ServerBelief | None:
        """Return what is believed of a server."""
        return self._beliefs.get(server)

    def usable(self, service: ServiceName, now_ms: int) -> list[ServerBelief]:
        """Return the servers of a service that may get new work."""
        return [b for b in self._by_service.get(service, ()) if b.is_usable(now_ms)]

    def name_weights(self, goal: WeightGoal, now_ms: int, *, is_first_read: bool) -> bool:
        """Take over a version that the operator named.

        :param is_first_read: it may have been named before this process started
        :returns: whether it is newer than the one known
        """
        known = self.goals.get(goal.model)
        if known is not None and goal.version <= known.version:
            return False
        self.goals[goal.model] = goal
        named_ms = now_ms - self._weights_due_ms if is_first_read else now_ms
        self._named.setdefault(goal.model, []).append((goal.version, named_ms))
        return True

    def _outdated_ms(self, belief: ServerBelief, model: ModelName, now_ms: int) -> int:
        """Return since when a newer version than a server's has been named; 0 for none.

        Each version counts from its own naming: a further one does not extend the time of those
        before it.
        """
        version = belief.weight_version(model)
        newer = (named_ms for goal, named_ms in self._named.get(model, ()) if goal > version)
        first_ms = min(newer, default=now_ms)
        return now_ms - first_ms

    def engines(self) -> tuple[SwapEngine, ...]:
        """Return the engines that are listed and not leaving, one entry for each model."""
        return tuple(
            SwapEngine(b.entry.server, b.entry.started_wall_ms, b.entry.address, model, version)
            for beliefs in self._by_service.values()
            for b in beliefs
            if not b.entry.is_leaving and not b.is_gone and b.gone_ms is None
            for model in b.entry.weights
            if (version := b.weight_version(model)) is not None
        )

    # What requests show.

    def heard(self, server: ServerId, now_ms: int) -> None:
        """Note that bytes came from a server."""
        belief = self._beliefs.get(server)
        if belief is not None:
            belief.heard_ms = now_ms

    def heard_at(self, address: str, now_ms: int) -> None:
        """Note that bytes came from the server at an address."""
        for belief in self._beliefs.values():
            if belief.entry.address == address:
                belief.heard_ms = now_ms

    def set_reachable(self, address: str, is_reachable: bool) -> None:
        """Note that the connection for a server's events is lost or back."""
        for belief in self._beliefs.values():
            if belief.entry.address == address:
                belief.is_reachable = is_reachable

    def stream_began(self, server: ServerId) -> None:
        """Note that the answer of a request has begun."""
        belief = self._beliefs.get(server)
        if belief is not None:
            belief.streaming += 1

    def stream_ended(self, server: ServerId) -> None:
        """Note that an answer that had begun is over."""
        belief = self._beliefs.get(server)
        if belief is not None:
            belief.streaming = max(0, belief.streaming - 1)

    def has_stalled(self, server: ServerId, now_ms: int) -> bool:
        """Tell whether a server has been silent for so long that its streams go on elsewhere."""
        silence_ms = self.silence_ms(server, now_ms)
        return silence_ms >= STALL_SILENCE_MS * self._evidence(server)

    def _evidence(self, server: ServerId) -> float:
        """Return the share of a bound on silence that tells enough.

        Several streams that pause together tell sooner than one.
        """
        belief = self._beliefs.get(server)
        several = belief is not None and belief.streaming >= SEVERAL_STREAMS
        return SEVERAL_STREAMS_SHARE if several else 1.0

    def silence_ms(self, server: ServerId, now_ms: int) -> int:
        """Return how long a server with requests of ours has sent nothing at all."""
        belief = self._beliefs.get(server)
        if belief is None or belief.in_progress == 0:
            return 0
        return now_ms - belief.heard_ms

    def started(self, server: ServerId, tokens: int, unread_tokens: int, now_ms: int) -> None:
        """Note that a request is on its way to a server.

        :param tokens: length of its prompt
        :param unread_tokens: tokens that the server has to read for it
        """
        belief = self._beliefs.get(server)
        if belief is not None:
            if belief.in_progress == 0:
                belief.heard_ms = max(belief.heard_ms, now_ms)
            belief.in_progress += 1
            belief.tokens += tokens
            belief.unread_tokens += unread_tokens

    def read(self, server: ServerId, unread_tokens: int) -> None:
        """Note that a server has read a prompt, or will not read it."""
        belief = self._beliefs.get(server)
        if belief is not None:
            belief.unread_tokens = max(0, belief.unread_tokens - unread_tokens)

    def ended(self, server: ServerId, tokens: int) -> None:
        """Note that a request at a server ended."""
        belief = self._beliefs.get(server)
        if belief is not None:
            belief.in_progress = max(0, belief.in_progress - 1)
            belief.tokens = max(0, belief.tokens - tokens)

    def answered(self, server: ServerId, model: ModelName | None, version: int | None) -> None:
        """Note a sound answer."""
        belief = self._beliefs.get(server)
        if belief is None:
            return
        belief.failures = 0
        if model is not None and version is not None:
            self._saw_version(belief, model, version)

    def refused(self, server: ServerId, now_ms: int) -> None:
        """Note that a server ran nothing because it is full or changing its weights."""
        belief = self._beliefs.get(server)
        if belief is not None:
            belief.rests_until_ms = max(belief.rests_until_ms, now_ms + REFUSAL_REST_MS)

    def failed(self, server: ServerId, now_ms: int) -> None:
        """Note a lost answer or a failed connection."""
        belief = self._beliefs.get(server)
        if belief is None:
            return
        belief.failures += 1
        rest_ms = min(MOST_FAILURE_REST_MS, FAILURE_REST_MS << min(8, belief.failures - 1))
        belief.rests_until_ms = max(belief.rests_until_ms, now_ms + rest_ms)

    def is_other_instance(self, server: ServerId) -> None:
        """Note that another instance answers at the server's address."""
        belief = self._beliefs.get(server)
        if belief is not None:
            belief.is_gone = True

    def has_other_weights(self, server: ServerId, model: ModelName, expected: int) -> None:
        """Note that a server does not have the version that it was expected to have."""
        belief = self._beliefs.get(server)
        goal = self.goals.get(model)
        if belief is not None and goal is not None and goal.version > expected:
            self._saw_version(belief, model, goal.version)

    def swapped(self, server: ServerId, model: ModelName, version: int) -> None:
        """Note that a server was seen with new weights."""
        belief = self._beliefs.get(server)
        if belief is not None:
            self._saw_version(belief, model, version)

    def _saw_version(self, belief: ServerBelief, model: ModelName, version: int) -> None:
        if belief.weights is None:
            belief.weights = {}
        belief.weights[model] = max(version, belief.weights.get(model, 0))

    def first_token(self, terms: ForwardTerms, took_ms: int, now_ms: int) -> None:
        """Note when the first token of a prompt came.

        :param terms: terms that it was sent on
        :param took_ms: time since it was sent
        """
        if terms.weight_version is not None:
            expected_ms = terms.expected_first_ms
            self._planner.delays.first_token(terms.fetch_from, took_ms, expected_ms, now_ms)

    def own_loads(self) -> dict[ServerId, ServerLoad]:
        """Return the requests of this entry instance, for its peers."""
        return {
            server: ServerLoad(belief.in_progress, belief.tokens, belief.unread_tokens)
            for server, belief in self._beliefs.items()
            if belief.in_progress
        }

    # Choice.

    def choose(
        self,
        service: Service,
        request: CallerRequest,
        brand: Brand | None,
        avoided: tuple[str, ...],
        urgency: int,
        now_ms: int,
    ) -> tuple[BackendServer, ForwardTerms] | NoRoom | None:
        """Return a server and the terms for it.

        Implements :class:`~bergamothill.request.forwarding.ServerChooser`.
        """
        usable = self.usable(service.name, now_ms)
        if not usable:
            return None
        candidates = [b for b in usable if b.entry.server not in avoided]
        candidates = candidates or usable
        if service.engine is not None:
            candidates = [b for b in candidates if not self._is_silent(b, now_ms)] or candidates
        awake = [b for b in candidates if b.rests_until_ms <= now_ms]
        if awake:
            candidates = awake
        else:
            first = min(b.rests_until_ms for b in candidates)
            candidates = [b for b in candidates if b.rests_until_ms == first]
        terms_brand = brand.name if brand is not None else None
        if service.engine is None or request.model is None:
            belief = min(candidates, key=self._plain_cost)
            terms = ForwardTerms(belief.entry.server, 0, brand=terms_brand)
            return (belief.entry, terms)
        preferred, usable = self._with_due_weights(candidates, request.model, now_ms)
        if not usable:
            return None
        for group in (preferred, usable):
            roomy = [b for b in group if self._has_room(b, service.engine, request, urgency)]
            if roomy:
                return self._placer.place(roomy, service.engine, request, brand, now_ms)
        return NoRoom()

    def _has_room(
        self, belief: ServerBelief, traits: EngineTraits, request: CallerRequest, urgency: int
    ) -> bool:
        """Tell whether an engine can run a request without preempting another."""
        others = self._peer_loads.at(belief.entry.server)
        if belief.in_progress + others.in_progress == 0:
            return True  # nothing else will ever make room for a very long prompt
        share = MEMORY_SHARE - MEMORY_SHARE_PER_URGENCY * urgency
        tokens = belief.tokens + others.tokens + request.prompt_tokens
        return tokens <= share * traits.memory_tokens

    def _is_silent(self, belief: ServerBelief, now_ms: int) -> bool:
        server = belief.entry.server
        bound_ms = SUSPECT_SILENCE_MS * self._evidence(server)
        return not belief.is_reachable or self.silence_ms(server, now_ms) >= bound_ms

    def _plain_cost(self, belief: ServerBelief) -> tuple[float, str]:
        other_zone = OTHER_ZONE_COST if belief.entry.zone != self._zone else 0.0
        in_progress = belief.in_progress + self._peer_loads.at(belief.entry.server).in_progress
        return (in_progress + other_zone, belief.entry.server)

    def _with_due_weights(
        self, candidates: list[ServerBelief], model: ModelName, now_ms: int
    ) -> tuple[list[ServerBelief], list[ServerBelief]]:
        """Return the engines that should begin a request by their weights, and those that may.

        Right after a version is named all should; later the new ones once they can carry the load,
        and old ones take what the new ones have no room for; near the bound only new ones may.
        """
        known = [b for b in candidates if b.weight_version(model) is not None]
        outdated_ms = {b.entry.server: self._outdated_ms(b, model, now_ms) for b in known}
        due_ms = self._weights_due_ms - QUEUE_MARGIN_MS
        usable = [b for b in known if outdated_ms[b.entry.server] < due_ms]
        new = [b for b in usable if outdated_ms[b.entry.server] < OLD_WEIGHTS_FREE_MS]
        oldest_ms = max(outdated_ms.values(), default=0)
        carries_load = 2 * len(new) >= len(known) or oldest_ms >= self._weights_due_ms // 2
        return (new if new and carries_load else usable), usable
