"""Simulated servers, instance list, entry instances and peer bus of the leaving-servers proof."""

from __future__ import annotations

from concurrent.futures import Executor, Future

from bergamothill.clock import Clock
from bergamothill.connection.bus import PeerBus, Scope
from bergamothill.connection.engine import EngineLoad, EngineState
from bergamothill.connection.instancelist import (
    Instance,
    InstanceKind,
    InstanceList,
    InstanceState,
)
from bergamothill.connection.peerclock import PeerClock
from bergamothill.errors import PeerTimeoutError, PeerUnreachableError
from bergamothill.process.serverpoll import ServerPoller

ENTRIES = {"a1": "a", "a2": "a", "a3": "a", "b1": "b"}
SERVERS = {
    "ea": (InstanceKind.ENGINE, "a"),
    "eb": (InstanceKind.ENGINE, "b"),
    "sa": (InstanceKind.SERVICE, "a"),
}
STEP_MS = 250
DEATH_DETECTION_MS = 4_500
OWN_INCARNATION_OFFSET = 1_000


class InlineExecutor(Executor):
    """Executor that runs each call in the calling thread."""

    def submit(self, function, /, *arguments, **keywords):
        future = Future()
        future.set_result(function(*arguments, **keywords))
        return future


class SkewedClock(Clock):
    """Clock of one entry instance, with an offset of its own."""

    def __init__(self, world, offset_ms):
        self.world = world
        self.offset_ms = offset_ms

    def now_ms(self):
        return self.world.now_ms + self.offset_ms

    def wall_ms(self):
        return self.world.now_ms

    def sleep_ms(self, duration_ms):
        raise NotImplementedError


class Server:
    """True state of a backend server.

    The instance list and the server itself number its incarnations independently.
    """

    def __init__(self, name):
        self.name = name
        self.kind, self.zone = SERVERS[name]
        self.incarnation = 1
        self.alive = True
        self.reports_leaving_since_ms = None
        self.lag_ms = 0
        self.history = [(0, self.instance(InstanceState.LIVE))]

    @property
    def own_incarnation(self):
        return OWN_INCARNATION_OFFSET + self.incarnation

    def instance(self, state):
        address = f"{self.name}:1"
        group = "booking" if self.kind is InstanceKind.SERVICE else ""
        return Instance(self.name, self.kind, self.zone, address, self.incarnation, state, group)

    def set_listed_state(self, state, now_ms):
        self.history.append((now_ms, self.instance(state)))

    def listed_at(self, at_ms):
        """Return the instance as the list showed it at a given time."""
        past = [instance for since_ms, instance in self.history if since_ms <= at_ms]
        return past[-1] if past else self.history[0][1]

    @property
    def listed_leaving(self):
        return self.history[-1][1].state is InstanceState.LEAVING


class SimEngine:
    """Engine client that implements only ``load``."""

    def __init__(self, world, entry, server):
        self.world, self.entry, self.server = world, entry, server

    def load(self):
        server = self.server
        if not server.alive:
            raise PeerUnreachableError("engine is down", step="engine.load", peer=server.name)
        true_ms = self.world.now_ms - server.lag_ms
        since_ms = server.reports_leaving_since_ms
        leaving = since_ms is not None and true_ms >= since_ms
        state = EngineState(server.own_incarnation, leaving, frozenset({"m:v"}))
        load = EngineLoad(server.lag_ms, 0, 0, 1_000, 1_000, 0, 0, state)
        self.entry.pause_if_requested()
        return load


class SimList(InstanceList):
    """Instance list as one entry instance reads it, possibly stale or unavailable."""

    def __init__(self, world, entry_name):
        self.world, self.entry_name = world, entry_name

    def instances(self):
        if self.entry_name in self.world.list_unavailable_for:
            raise PeerUnreachableError("instance list is unavailable", step="list.read")
        listed_ms = self.world.now_ms - self.world.list_lag_ms
        return tuple(server.listed_at(listed_ms) for server in self.world.servers.values())


class SimBus(PeerBus):
    """Peer bus of one entry instance; frames are queued for frozen receivers and on slow links."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.handlers = {}
        self.clocks = {}
        self.echoes = {}

    def subscribe(self, message_type, handler):
        self.handlers[message_type] = handler

    def publish(self, message, scope):
        for other in self.world.entries.values():
            in_scope = scope is Scope.EVERYWHERE or ENTRIES[other.name] == ENTRIES[self.name]
            if other.name != self.name and in_scope:
                self.world.send(self.frame(message), self.name, other.name)

    def frame(self, message):
        clock = self.world.entries[self.name].clock
        return clock.now_ms(), self.echoes.copy(), message

    def receive(self, sender, frame):
        sent_ms, echoes, message = frame
        now_ms = self.world.entries[self.name].clock.now_ms()
        echo_ms, echo_received_ms = echoes.get(self.name, (-1, 0))
        self.clocks.setdefault(sender, PeerClock()).observe(echo_ms, echo_received_ms, now_ms)
        self.echoes[sender] = (sent_ms, now_ms)
        handler = self.handlers.get(type(message))
        return None if handler is None else handler(sender, message)

    def request(self, peer, message, *, timeout_ms):
        other = self.world.entries[peer]
        if not self.world.is_connected(self.name, peer) or other.frozen:
            raise PeerTimeoutError("no reply", step="peer.request", peer=peer)
        answer = other.bus.receive(self.name, self.frame(message))
        reply = other.bus.frame(None)
        self.receive(peer, reply)
        return answer

    def live_peers(self):
        names = [n for n in ENTRIES if ENTRIES[n] == ENTRIES[self.name]]
        return tuple(
            n for n in names if n == self.name or not self.world.appears_dead(self.name, n)
        )

    def to_local_ms(self, peer, peer_ms):
        clock = self.clocks.get(peer)
        now_ms = self.world.entries[self.name].clock.now_ms()
        return None if clock is None else clock.to_local_ms(peer_ms, now_ms)


class Entry:
    """One entry instance: the production server table and poller on simulated connections."""

    def __init__(self, world, name, offset_ms, table, tick_ms):
        self.world, self.name = world, name
        self.clock = SkewedClock(world, offset_ms)
        self.bus = SimBus(world, name)
        self.table = table
        self.frozen = False
        self.pause_steps = 0
        self.inbox = []
        self.poller = ServerPoller(
            SimList(world, name),
            lambda instance: SimEngine(world, self, world.servers[instance.instance_id]),
            self.bus,
            table,
            self.clock,
            name,
            ENTRIES[name],
            pool=InlineExecutor(),
            tick_min_ms=tick_ms,
        )

    def pause_if_requested(self):
        """Freeze this instance in the middle of a call, for the number of steps that was set."""
        steps, self.pause_steps = self.pause_steps, 0
        if steps:
            was_frozen, self.frozen = self.frozen, True
            for _ in range(steps):
                self.world.step()
            self.frozen = was_frozen

    def process_inbox(self):
        inbox, self.inbox = self.inbox, []
        for sender, frame in inbox:
            self.bus.receive(sender, frame)


class World:
    """Servers, entry instances and links under one simulated clock."""

    def __init__(self, make_table, tick_ms):
        self.now_ms = 0
        self.list_unavailable_for = set()
        self.list_lag_ms = 0
        self.cut_links = {}
        self.slow_links = {}
        self.servers = {name: Server(name) for name in SERVERS}
        self.entries = {}
        for index, name in enumerate(ENTRIES):
            self.entries[name] = Entry(self, name, 1_000_000 * (index + 1), make_table(), tick_ms)
        self.frozen_since_ms = {}

    def is_connected(self, one, other):
        pair = frozenset((one, other))
        return pair not in self.cut_links and pair not in self.slow_links

    def send(self, frame, source, target):
        pair = frozenset((source, target))
        if pair in self.cut_links:
            return
        if pair in self.slow_links:
            self.slow_links[pair].append((source, target, frame))
        elif self.entries[target].frozen:
            self.entries[target].inbox.append((source, frame))
        else:
            self.entries[target].bus.receive(source, frame)

    def appears_dead(self, observer, name):
        since_ms = self.cut_links.get(frozenset((observer, name)))
        if self.entries[name].frozen:
            frozen_ms = self.frozen_since_ms.get(name, self.now_ms)
            since_ms = frozen_ms if since_ms is None else min(since_ms, frozen_ms)
        return since_ms is not None and self.now_ms - since_ms >= DEATH_DETECTION_MS

    def step(self):
        self.now_ms += STEP_MS
        for entry in self.entries.values():
            if entry.frozen:
                self.frozen_since_ms.setdefault(entry.name, self.now_ms)
            else:
                self.frozen_since_ms.pop(entry.name, None)
                entry.poller.run_cycle()
        for observe in self.observers:
            observe()

    observers = ()
