"""Simulated entry instances, servers and datagrams of the proof ``server-limits``."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from bergamothill.process.backends import BackendServer
from bergamothill.process.instanceroster import DISCOVERY_MS, InstanceRoster
from bergamothill.process.limitexchange import KEEPALIVE_MS, KEEPALIVE_PER_PEER_MS
from bergamothill.request.callerrequest import RequestLimit
from tests.proof.eventworld import EventWorld

SERVERS = ("s1", "s2")
START_MS = 10_000
WINDOW_MS = 4_000
STABILITY_WINDOW_MS = 3_000
TOLD_MS = 500
REGISTRY_READ_MS = 2_500
REGISTRATION_TTL_MS = 10_000
HEARD_MS = 400
MAX_LINK_MS = 20
REPEATS_MS = (0, 100, 300)
IDLE_MS = 500
MIN_INTERVAL_MS = 5
DEMAND_INTERVAL_MS = 200
DEMAND_PER_INSTANCE_MS = 10


@dataclass(eq=False)
class Instance:
    name: str
    limits: object = None
    epoch: int = 0
    is_frozen: bool = False
    is_cut_off: bool = False
    lacks_store: bool = False
    has_demand: bool = True
    excused_until_ms: int = 0
    frozen_ms: int = 0
    deferred: list = field(default_factory=list)
    known_peers: frozenset = frozenset()
    told_ms: dict = field(default_factory=dict)


@dataclass(eq=False)
class Server:
    name: str
    per_s: float | None = None
    first_named_ms: int | None = None
    history: list = field(default_factory=list)
    arrivals_ms: deque = field(default_factory=deque)
    total: int = 0

    def __post_init__(self):
        self.restart(1)

    def restart(self, now_ms):
        self.entry = BackendServer(self.name, now_ms, "llm", "a:1", "z", 64, False, "v1", {})

    def allowed_per_s(self, at_ms):
        """Return the highest limit in the stability window before a time; None if there was none.

        :returns: None also if no limit was in force at some moment of it
        """
        highest = None
        for since_ms, until_ms, per_s in self.history:
            if since_ms <= at_ms and until_ms > at_ms - STABILITY_WINDOW_MS:
                if per_s is None:
                    return None
                highest = per_s if highest is None else max(highest, per_s)
        return highest


class World(EventWorld):
    """Event-driven simulation.

    :param new_limits: makes the subject of an entry instance from its roster
    :param count: number of instances
    :param on_arrival: called with each server after a request that counts has reached it
    """

    def __init__(self, new_limits, count, on_arrival, rng: random.Random):
        super().__init__(rng, now_ms=START_MS)
        self.new_limits = new_limits
        self.on_arrival = on_arrival
        self.loss = 0.0
        self.max_delay_ms = 5
        self.max_answer_ms = 200
        self.store_is_away = False
        self.registered = {f"e{number}": self.now_ms for number in range(count)}
        self.servers = {name: Server(name) for name in SERVERS}
        for server in self.servers.values():
            server.history.append((0, float("inf"), None))
        self.instances = {}
        for number in range(count):
            self.add_instance(f"e{number}")
        self.run_for(DISCOVERY_MS + REGISTRY_READ_MS)

    # entry instances

    def add_instance(self, name):
        instance = self.instances[name] = Instance(name)
        self.start(instance)
        return instance

    def start(self, instance):
        instance.epoch += 1
        instance.is_frozen = False
        instance.deferred.clear()
        instance.told_ms.clear()
        instance.known_peers = frozenset()
        roster = InstanceRoster(instance.name)
        limits = instance.limits = self.new_limits(roster)
        limits.on_news = lambda: self.tell_peers(instance)
        self.excuse(instance)
        self.at(instance, lambda: self.read_registry(instance, roster))()
        self.after(KEEPALIVE_MS, self.at(instance, lambda: self.keep_alive(instance)))
        for server in self.servers.values():
            self.after(self.rng.randrange(100), self.demand(instance, server))

    def stop(self, instance, *, is_graceful):
        instance.epoch += 1
        instance.limits = None
        if is_graceful:
            self.registered.pop(instance.name, None)

    def excuse(self, instance):
        instance.excused_until_ms = self.now_ms + STABILITY_WINDOW_MS

    def at(self, instance, action):
        """Return the action, to be dropped after a restart and deferred during a freeze."""
        epoch = instance.epoch

        def act():
            if instance.epoch != epoch:
                return
            if instance.is_frozen:
                instance.deferred.append(act)
                return
            action()

        return act

    def freeze(self, instance):
        instance.is_frozen, instance.frozen_ms = True, self.now_ms

    def thaw(self, instance):
        if not instance.is_frozen:
            return
        instance.is_frozen = False
        self.excuse(instance)
        instance.limits.record_check(self.now_ms - instance.frozen_ms, self.now_ms)
        deferred, instance.deferred = instance.deferred, []
        for action in deferred:
            action()

    def cut_off(self, instance, duration_ms):
        instance.is_cut_off = True

        def heal():
            instance.is_cut_off = False
            self.excuse(instance)

        self.after(duration_ms, heal)

    def read_registry(self, instance, roster):
        if not (self.store_is_away or instance.lacks_store or instance.is_cut_off):
            self.registered[instance.name] = self.now_ms
            listed = {
                name
                for name, renewed_ms in self.registered.items()
                if self.now_ms - renewed_ms < REGISTRATION_TTL_MS
            }
            instance.known_peers = frozenset(listed - {instance.name})
            roster.set_registered(instance.known_peers, self.now_ms)
        self.after(
            REGISTRY_READ_MS + self.rng.randrange(100),
            self.at(instance, lambda: self.read_registry(instance, roster)),
        )
        self.be_heard(instance)

    def be_heard(self, instance):
        """Let those that do not have an instance on their list hear its load reports."""
        for name in instance.known_peers:
            peer = self.instances.get(name)
            is_listed = peer is None or instance.name in peer.known_peers
            if not is_listed or instance.lacks_store:
                self.deliver(instance, peer, lambda _limits: None)

    # datagrams

    def tell_peers(self, instance):
        for repeat_ms in REPEATS_MS:
            self.after(repeat_ms, self.at(instance, lambda: self.send_report(instance)))

    def keep_alive(self, instance):
        self.send_report(instance)
        peers = len(instance.known_peers)
        interval_ms = max(KEEPALIVE_MS, KEEPALIVE_PER_PEER_MS * peers)
        self.after(interval_ms, self.at(instance, lambda: self.keep_alive(instance)))

    def send_report(self, instance):
        report = instance.limits.report(self.now_ms)
        if not report.limits:
            return
        for name in instance.known_peers:
            peer = self.instances.get(name)
            if peer is not None:
                self.deliver(instance, peer, lambda limits: limits.merge(report, self.now_ms))

    def deliver(self, sender, peer, action):
        if sender.is_cut_off or self.rng.random() < self.loss:
            return

        def arrive():
            if peer.limits is not None and not peer.is_cut_off:
                peer.limits.roster.record_heard(sender.name, self.now_ms)
                action(peer.limits)

        self.after(1 + self.rng.randrange(self.max_delay_ms), self.at(peer, arrive))

    # requests

    def demand(self, instance, server):
        return self.at(instance, lambda: self.try_send(instance, server))

    def try_send(self, instance, server):
        if not instance.has_demand:
            delay_ms = IDLE_MS
        else:
            wait_ms = instance.limits.wait_ms(server.entry, self.now_ms)
            if wait_ms == 0:
                self.send(instance, server)
                wait_ms = instance.limits.wait_ms(server.entry, self.now_ms)
            delay_ms = IDLE_MS if wait_ms is None else min(wait_ms, IDLE_MS)
            if instance.limits.limit_per_s(server.entry) is None:
                delay_ms = DEMAND_INTERVAL_MS + DEMAND_PER_INSTANCE_MS * len(self.instances)
        self.after(max(MIN_INTERVAL_MS, delay_ms), self.demand(instance, server))

    def send(self, instance, server):
        entry = server.entry
        spent_ms = instance.limits.spend(entry, self.now_ms)
        opened_ms = 1 + self.rng.randrange(MAX_LINK_MS)

        def write():
            if instance.limits.may_send(entry, spent_ms, self.now_ms):
                sent_ms = self.now_ms

                def receive(limit):
                    self.at(instance, lambda: self.receive(instance, entry, limit, sent_ms))()

                delay_ms = 1 + self.rng.randrange(MAX_LINK_MS)
                epoch = instance.epoch
                self.after(delay_ms, lambda: self.arrive(instance, epoch, server, entry, receive))

        self.after(opened_ms, self.at(instance, write))

    def arrive(self, instance, epoch, server, entry, receive):
        if instance.is_cut_off or server.entry.incarnation != entry.incarnation:
            return
        server.total += 1
        told_ms = instance.told_ms.get(entry.incarnation)
        counts = (
            instance.epoch == epoch and told_ms is not None and self.now_ms - told_ms >= TOLD_MS
        )
        if counts and self.now_ms >= instance.excused_until_ms and not instance.is_frozen:
            server.arrivals_ms.append(self.now_ms)
            while server.arrivals_ms[0] <= self.now_ms - WINDOW_MS:
                server.arrivals_ms.popleft()
            self.on_arrival(server)
        self.after(
            1 + self.rng.randrange(self.max_answer_ms),
            lambda: self.answer(instance, epoch, server, entry, receive),
        )

    def answer(self, instance, epoch, server, entry, receive):
        if server.entry.incarnation != entry.incarnation or instance.epoch != epoch:
            return
        limit = None if server.per_s is None else RequestLimit(server.per_s)
        if not instance.is_cut_off:
            delay_ms = 1 + self.rng.randrange(MAX_LINK_MS)
            epoch = instance.epoch
            self.after(delay_ms, lambda: instance.epoch == epoch and receive(limit))

    def receive(self, instance, entry, limit, sent_ms):
        """Let an instance get the head of an answer."""
        if limit is not None:
            instance.told_ms.setdefault(entry.incarnation, self.now_ms)
        instance.limits.record_answer(entry, limit, sent_ms, self.now_ms)

    # servers

    def set_limit(self, server, per_s):
        since_ms, _, before = server.history[-1]
        server.history[-1] = (since_ms, self.now_ms, before)
        server.history.append((self.now_ms, float("inf"), per_s))
        del server.history[:-20]
        server.per_s = per_s
        if per_s is None:
            server.first_named_ms = None
        elif server.first_named_ms is None:
            server.first_named_ms = self.now_ms

    def restart_server(self, server):
        server.restart(self.now_ms)
        self.set_limit(server, None)
        server.arrivals_ms.clear()
        for instance in self.instances.values():
            if instance.limits is not None:
                instance.limits.retain([other.entry for other in self.servers.values()])
