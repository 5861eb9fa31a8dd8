"""Proof that all entry instances together keep to the limits that servers name, and use them."""

from __future__ import annotations

import random

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from bergamothill.process.instanceroster import DEPARTURE_MS, DISCOVERY_MS
from bergamothill.process.serverlimits import ServerLimits
from tests.builders import joined_roster
from tests.proof.harness import Proof, ProofMachine
from tests.proof.limitworld import (
    REGISTRATION_TTL_MS,
    SERVERS,
    STABILITY_WINDOW_MS,
    WINDOW_MS,
    World,
)
from tests.proof.require import require

COUNTS = 6 * (2, 3, 4, 6, 7, 7, 10) + 3 * (20, 40) + (300,)
LIMITS = (0.0, 0.2, 0.7, 1.0, 2.7, 4.2, 9.0, 30.0)
MAX_SHARE = 1.5
SLACK = 5
MIN_USED_SHARE = 0.7
USE_MS = 10_000
MAX_NEW_INSTANCES = 4
MAX_INSTANCES_FOR_USE = 20
SETTLED_MS = REGISTRATION_TTL_MS + DEPARTURE_MS + DISCOVERY_MS + STABILITY_WINDOW_MS

numbers = st.integers(0, 1_000)
servers = st.sampled_from(SERVERS)
limits_per_s = st.sampled_from(LIMITS)


class LoneLimits(ServerLimits):
    """Test double of an instance that keeps to a limit as if it were the only one."""

    def __init__(self, roster):
        super().__init__(joined_roster(roster.own))


class ServerLimitsProof(ProofMachine):
    """Two to 300 entry instances and two servers that name limits.

    Oracle 1: from the stability window after a server first named its limit, instances that it told
    half a second before or earlier send it in no 4 s more than one and a half times what it allows,
    plus five; those that were restarted, frozen or cut off in the stability window do not count.
    Oracle 2: with enough demand at all instances and no disturbance, at least seven tenths of the
    limit are sent.
    """

    @initialize(seed=st.integers(0, 1_000_000), count=st.sampled_from(COUNTS))
    def begin(self, seed, count):
        subject = ServerLimits if self.mechanism_enabled else LoneLimits
        self.added = 0
        self.has_checked_use = False
        self.world = World(subject, count, self.arrived, random.Random(seed))

    def arrived(self, server):
        now_ms = self.world.now_ms
        if server.first_named_ms is None or now_ms < server.first_named_ms + STABILITY_WINDOW_MS:
            return
        rates = [server.allowed_per_s(now_ms - back_ms) for back_ms in range(0, WINDOW_MS, 500)]
        if None in rates:
            return
        allowed = MAX_SHARE * sum(rates) / len(rates) * WINDOW_MS / 1_000 + SLACK
        require(
            len(server.arrivals_ms) <= allowed,
            f"{server.name} got {len(server.arrivals_ms)} requests in {WINDOW_MS} ms,"
            f" allowed {allowed:g}, from {len(self.world.instances)} instances",
        )

    def instance(self, number):
        names = sorted(self.world.instances)
        return self.world.instances[names[number % len(names)]]

    # operations

    @rule(duration_ms=st.sampled_from((50, 200, 1_000, 4_000)))
    def time_passes(self, duration_ms):
        self.operation()
        self.world.run_for(duration_ms)

    @rule(name=servers, per_s=limits_per_s)
    def limit_is_named(self, name, per_s):
        self.operation()
        self.world.set_limit(self.world.servers[name], per_s)
        self.world.run_for(10)

    @rule(name=servers)
    def limit_ends(self, name):
        self.operation()
        self.world.set_limit(self.world.servers[name], None)
        self.world.run_for(10)

    @rule(number=numbers, is_only_one=st.booleans())
    def demand_changes(self, number, is_only_one):
        self.operation()
        chosen = self.instance(number)
        for instance in self.world.instances.values():
            instance.has_demand = not is_only_one or instance is chosen
        self.world.run_for(10)

    @rule(name=servers, per_s=st.sampled_from(LIMITS[2:]))
    def limit_is_used(self, name, per_s):
        self.operation()
        world, server = self.world, self.world.servers[name]
        if self.has_checked_use or len(world.instances) > MAX_INSTANCES_FOR_USE:
            return
        self.has_checked_use = True
        world.loss, world.max_delay_ms, world.store_is_away = 0.0, 5, False
        for instance in world.instances.values():
            instance.has_demand, instance.lacks_store = True, False
        world.set_limit(server, per_s)
        world.run_for(SETTLED_MS)
        sent_before = server.total
        world.run_for(USE_MS)
        sent, possible = server.total - sent_before, per_s * USE_MS / 1_000
        require(
            sent >= MIN_USED_SHARE * possible - 1,
            f"{sent} of {possible:g} requests sent by {len(world.instances)} instances",
        )

    # faults

    @rule(name=servers)
    def server_restarts(self, name):
        self.fault()
        self.world.restart_server(self.world.servers[name])
        self.world.run_for(10)

    @rule(
        number=numbers,
        down_ms=st.sampled_from((50, 1_000, 4_000)),
        is_graceful=st.booleans(),
    )
    def instance_restarts(self, number, down_ms, is_graceful):
        self.fault()
        self.restart(self.instance(number), down_ms, is_graceful=is_graceful)
        self.world.run_for(10)

    @rule(down_ms=st.sampled_from((50, 1_000)), share=st.sampled_from((0.5, 1.0)))
    def many_instances_restart(self, down_ms, share):
        self.fault()
        for instance in list(self.world.instances.values()):
            if self.world.rng.random() < share:
                self.restart(instance, down_ms, is_graceful=False)
        self.world.run_for(10)

    def restart(self, instance, down_ms, *, is_graceful):
        if instance.limits is not None:
            self.world.stop(instance, is_graceful=is_graceful)
            self.world.after(down_ms, lambda: self.world.start(instance))

    @rule()
    def instance_is_added(self):
        self.fault()
        if self.added < MAX_NEW_INSTANCES:
            self.added += 1
            self.world.add_instance(f"new{self.added}")

    @rule(number=numbers, duration_ms=st.sampled_from((300, 3_000, 15_000)))
    def instance_freezes(self, number, duration_ms):
        self.fault()
        instance = self.instance(number)
        if instance.limits is not None and not instance.is_frozen:
            self.world.freeze(instance)
            epoch = instance.epoch

            def thaw():
                if instance.epoch == epoch:
                    self.world.thaw(instance)

            self.world.after(duration_ms, thaw)
        self.world.run_for(10)

    @rule(number=numbers, duration_ms=st.sampled_from((500, 5_000, 20_000)))
    def instance_is_cut_off(self, number, duration_ms):
        self.fault()
        instance = self.instance(number)
        if not instance.is_cut_off:
            self.world.cut_off(instance, duration_ms)
        self.world.run_for(10)

    @rule(number=numbers, duration_ms=st.sampled_from((3_000, 25_000)))
    def store_rejects_an_instance(self, number, duration_ms):
        self.fault()
        instance = self.instance(number)

        def admit():
            instance.lacks_store = False

        if not instance.lacks_store:
            instance.lacks_store = True
            self.world.after(duration_ms, admit)

    @rule(duration_ms=st.sampled_from((1_000, 12_000)))
    def store_is_away(self, duration_ms):
        self.fault()

        def come_back():
            self.world.store_is_away = False

        if not self.world.store_is_away:
            self.world.store_is_away = True
            self.world.after(duration_ms, come_back)

    @rule()
    def store_loses_the_registrations(self):
        self.fault()
        self.world.registered.clear()

    @rule(loss=st.sampled_from((0.0, 0.0, 0.3)), max_delay_ms=st.sampled_from((5, 5, 400)))
    def datagrams_suffer(self, loss, max_delay_ms):
        self.fault()
        self.world.loss, self.world.max_delay_ms = loss, max_delay_ms

    @rule(max_answer_ms=st.sampled_from((20, 200, 1_500)))
    def answers_take_longer(self, max_answer_ms):
        self.fault()
        self.world.max_answer_ms = max_answer_ms


PROOFS = (Proof(slug="server-limits", machine=ServerLimitsProof),)
