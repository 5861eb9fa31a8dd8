"""Proof that all entry instances together keep to the rate of cold servers in every second."""

from __future__ import annotations

import json
import random

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from bergamothill.platform.config import decode_config
from bergamothill.process.coldservers import MAX_DOUBT_MS
from bergamothill.process.instanceroster import DISCOVERY_MS
from bergamothill.process.serverlimits import ServerLimits
from tests.builders import backend, joined_roster, operator_config
from tests.proof import limitworld
from tests.proof.harness import Proof, ProofMachine
from tests.proof.require import require

COLD_MS = 3_000
EXPIRY_MS = 4_800
DOWN_MS = 1_000
NOTICE_MS = 1_500
WATCH_MS = 100
LIST_MS = 2_000
MAX_BLIND_MS = MAX_DOUBT_MS - LIST_MS
SECOND_MS = 1_000
PER_S = 9.5
BOUND = 19
COUNTS = 3 * (2, 7, 12, 33) + (90,)

numbers = st.integers(0, 1_000)
servers = st.sampled_from(limitworld.SERVERS)


def cold_services():
    row = {"name": "llm", "coldStartS": COLD_MS / 1_000, "coldPerS": PER_S}
    return decode_config(json.dumps(operator_config(services=[row])).encode()).services


class LoneLimits(ServerLimits):
    """Test double of an instance that keeps to the rate as if it were the only one."""

    def __init__(self, roster):
        super().__init__(joined_roster(roster.own))
        self.roster.is_settled = lambda now_ms: True


class ColdWorld(limitworld.World):
    """Servers that are cold after a restart and at other times, and tell so in their entries."""

    def __init__(self, new_limits, count, rng):
        self.entries = {}
        super().__init__(new_limits, count, self.check, rng)

    def start(self, instance):
        super().start(instance)
        instance.listed = {}
        instance.limits.cold.set_services(cold_services())
        for name, server in self.servers.items():
            if name not in self.entries:
                server.cold_since_ms, server.cold_until_ms, server.up_ms = 0, 0, 0
                server.recent_ms = []
                self.entries[name] = server.entry
        self.poll_list(instance)

    def poll_list(self, instance):
        self.read_list(instance)
        instance.limits.record_check(900, self.now_ms)
        self.after(900, self.at(instance, lambda: self.poll_list(instance)))

    def read_list(self, instance):
        if not (self.store_is_away or instance.lacks_store or instance.is_cut_off):
            entries = tuple(self.entries.values())
            for entry in entries:
                if instance.listed and entry not in instance.listed.values():
                    instance.limits.pace.begin(entry, "start", self.now_ms, 0, 9)
            cold = instance.limits.cold
            cold.record_list(entries, self.now_ms, self.now_ms, EXPIRY_MS)
            instance.listed = {entry.server: entry for entry in entries}
            instance.limits.retain(entries)
            cold.retain(entries)

    def send(self, instance, server):
        """Send by the entry that the instance knows; a server that is down refuses to connect."""
        entry = instance.listed.get(server.name)
        if entry is None or instance.limits.wait_ms(entry, self.now_ms) != 0:
            return
        spent_ms = instance.limits.spend(entry, self.now_ms)

        def write():
            if instance.is_cut_off or self.now_ms < server.up_ms:
                instance.limits.cold.record_doubt(entry, self.now_ms)
            elif instance.limits.may_send(entry, spent_ms, self.now_ms):
                sent_ms = self.now_ms

                def answer():
                    limits = instance.limits
                    if limits is not None and not instance.is_cut_off:
                        limits.pace.record_answer(entry, 0, 50, sent_ms, self.now_ms)
                        limits.cold.record_answer(entry, None, sent_ms, self.now_ms)

                self.after(1 + self.rng.randrange(20), lambda: self.check(server))
                self.after(50, self.at(instance, answer))

        self.after(1 + self.rng.randrange(20), self.at(instance, write))

    def try_send(self, instance, server):
        self.send(instance, server)
        interval_ms = 30 if self.now_ms < server.cold_until_ms else 150
        self.after(interval_ms + self.rng.randrange(10), self.demand(instance, server))

    def check(self, server):
        now_ms = self.now_ms
        if not server.cold_since_ms <= now_ms < server.cold_until_ms:
            return
        server.recent_ms = [at for at in server.recent_ms if at > now_ms - SECOND_MS] + [now_ms]
        require(
            len(server.recent_ms) <= BOUND,
            f"{server.name} got {len(server.recent_ms)} requests in a second while it was cold,"
            f" from {len(self.instances)} instances",
        )

    def become_cold(self, server, *, since_ms, started_wall_ms):
        server.cold_since_ms, server.cold_until_ms = since_ms, self.now_ms + COLD_MS
        server.recent_ms = []
        revision = self.entries[server.name].revision + 1
        self.entries[server.name] = backend(
            server.name,
            started_wall_ms=started_wall_ms,
            cold_remaining_ms=COLD_MS,
            revision=revision,
        )
        for instance in self.instances.values():
            if instance.limits is not None:
                read = self.at(instance, lambda instance=instance: self.read_list(instance))
                self.after(1 + self.rng.randrange(WATCH_MS), read)

    def restart_server(self, server):
        server.up_ms = self.now_ms + DOWN_MS
        self.run_for(DOWN_MS)
        # Instances that do not read the list must notice by themselves that it was away.
        self.become_cold(server, since_ms=self.now_ms, started_wall_ms=self.now_ms)


class ColdServersProof(ProofMachine):
    """Two to 90 entry instances and two servers that are cold at times.

    Oracle: from its start on, or from some time after it became cold again, a cold server gets no
    more than one and a half times its rate plus five in any second, whatever happens to the
    instances. Those that cannot read the list know of no cold phase that begins without a restart,
    so none begins then; nor is any without lists for longer than a doubt lasts.
    """

    @initialize(seed=st.integers(0, 1_000_000), count=st.sampled_from(COUNTS))
    def begin(self, seed, count):
        subject = ServerLimits if self.mechanism_enabled else LoneLimits
        self.added = 0
        self.blind = {}
        self.world = ColdWorld(subject, count, random.Random(seed))

    def instance(self, number):
        names = sorted(self.world.instances)
        return self.world.instances[names[number % len(names)]]

    def may_blind(self, instances, duration_ms):
        """Return whether no instance will be without lists for longer than the mechanism covers."""
        now_ms = self.world.now_ms
        for instance in instances:
            since_ms, until_ms = self.blind.get(instance.name, (now_ms, 0))
            since_ms = since_ms if now_ms <= until_ms + LIST_MS else now_ms
            if now_ms + duration_ms - since_ms > MAX_BLIND_MS:
                return False
            self.blind[instance.name] = (since_ms, max(until_ms, now_ms + duration_ms))
        return True

    @rule(duration_ms=st.sampled_from((100, 1_000, 6_000)))
    def time_passes(self, duration_ms):
        self.operation()
        self.world.run_for(duration_ms)

    @rule(name=servers)
    def server_restarts(self, name):
        self.fault()
        self.world.restart_server(self.world.servers[name])
        self.world.run_for(COLD_MS)

    @rule(name=servers)
    def server_becomes_cold_again(self, name):
        self.operation()
        world = self.world
        is_known = not world.store_is_away and not any(
            i.lacks_store or i.is_cut_off or i.is_frozen for i in world.instances.values()
        )
        if is_known:
            since_ms, entry = world.now_ms + NOTICE_MS, world.entries[name]
            world.become_cold(
                world.servers[name], since_ms=since_ms, started_wall_ms=entry.started_wall_ms
            )
            world.run_for(COLD_MS)

    @rule(number=numbers, down_ms=st.sampled_from((50, 1_000, 8_000)), graceful=st.booleans())
    def instance_restarts(self, number, down_ms, graceful):
        self.fault()
        instance = self.instance(number)
        if instance.limits is not None:
            self.world.stop(instance, is_graceful=graceful)
            self.world.after(down_ms, lambda: self.world.start(instance))

    @rule()
    def instance_is_added(self):
        self.fault()
        if self.added < 4:
            self.added += 1
            self.world.add_instance(f"new{self.added}")

    @rule(
        number=numbers,
        duration_ms=st.sampled_from((500, 5_000, 25_000)),
        fault=st.sampled_from(("is_cut_off", "lacks_store", "is_frozen")),
    )
    def instance_is_isolated(self, number, duration_ms, fault):
        self.fault()
        instance, world = self.instance(number), self.world
        if instance.limits is None or getattr(instance, fault):
            return
        if not self.may_blind([instance], duration_ms):
            return
        if fault == "is_frozen":
            world.freeze(instance)
        setattr(instance, fault, True)
        epoch = instance.epoch

        def end():
            if fault != "is_frozen":
                setattr(instance, fault, False)
            elif instance.epoch == epoch:
                world.thaw(instance)

        world.after(duration_ms, end)

    @rule(duration_ms=st.sampled_from((1_000, 20_000)), loss=st.sampled_from((0.0, 0.5, 1.0)))
    def network_suffers(self, duration_ms, loss):
        """Lose datagrams between instances, and the key-value service for some time."""
        self.fault()
        world = self.world
        if not self.may_blind(world.instances.values(), duration_ms):
            return
        world.loss, world.store_is_away = loss, True

        def end():
            world.store_is_away = False

        world.after(duration_ms, end)

    @rule()
    def store_loses_the_registrations(self):
        self.fault()
        self.world.registered.clear()


PROOFS = (Proof(slug="cold-servers", machine=ColdServersProof),)
assert DISCOVERY_MS > COLD_MS  # a new instance never meets a server that restarted before it
