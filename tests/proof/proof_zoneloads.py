"""Proof that each entry instance counts the loads of all others, and none of them twice."""

from __future__ import annotations

import random

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from bergamothill.process.loadreport import ServerLoad
from bergamothill.process.zoneloads import ZoneLoads
from tests.proof.harness import Proof, ProofMachine
from tests.proof.require import require
from tests.proof.zoneworld import SERVERS, ZoneWorld

ZONES = ((2, 2), (3, 3, 3), (4, 5), (5, 4, 1), (9, 2), (11, 3), (12,), (1, 1, 9), (10, 9))
SETTLED_MS = 1_000
VIEW_MS = 1_000
STEP_MS = 50

numbers = st.integers(0, 1_000)


class CountsAllSums(ZoneLoads):
    """Test double that counts the sum of each relay."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        sums = self._sums

        def choose(now_ms):
            known = sums._known
            for relay in [name for name, each in known.items() if each.expires_ms < now_ms]:
                del known[relay]
            sums._loads.set_sums(known.values(), frozenset())

        sums.choose = choose


class ZoneLoadsProof(ProofMachine):
    """Up to 19 entry instances in one to three zones, some perhaps of a former build.

    Oracle 1: at no time an instance counts more requests at a server than the others had there in
    the last second, each at most, plus the time of the datagrams.
    Oracle 2: after a second without disturbance each counts exactly what all others have; stopped
    ones may still be registered.
    """

    @initialize(
        seed=st.integers(0, 1_000_000),
        sizes=st.sampled_from(ZONES),
        former=st.sampled_from((0, 0, 0, 1, 3)),
    )
    def begin(self, seed, sizes, former):
        subject = ZoneLoads if self.mechanism_enabled else CountsAllSums
        self.world = ZoneWorld(sizes, random.Random(seed), former, subject)
        self.world.run_for(200)

    def instance(self, number):
        names = sorted(self.world.instances)
        return self.world.instances[names[number % len(names)]]

    def pass_time(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.world.run_for(STEP_MS)
            self.check_most()

    def check_most(self):
        world = self.world
        window_ms = VIEW_MS + 4 * world.slowest_ms + STEP_MS
        for viewer in world.live():
            if world.now_ms < viewer.checked_from_ms:
                continue
            for server in SERVERS:
                counted = viewer.loads.load_on(server).in_progress
                most = world.most_requests(viewer, server, window_ms)
                require(
                    counted <= most,
                    f"{viewer.peer.entry} counts {counted} requests at {server}, of {most}",
                )

    # Operations.

    @rule(duration_ms=st.sampled_from((50, 200, 1_000)))
    def time_passes(self, duration_ms):
        self.operation()
        self.pass_time(duration_ms)

    @rule(number=numbers, requests=st.dictionaries(st.sampled_from(SERVERS), st.integers(1, 9)))
    def load_changes(self, number, requests):
        self.operation()
        instance = self.instance(number)
        own = {server: ServerLoad(count, 100 * count, 7) for server, count in requests.items()}
        self.world.set_load(instance, own)
        self.world.run_for(10)

    @rule()
    def view_is_whole(self):
        self.operation()
        self.world.heal()
        self.pass_time(SETTLED_MS)
        for viewer in self.world.live():
            for server in SERVERS:
                counted = viewer.loads.load_on(server)
                true = self.world.true_load(viewer, server)
                require(
                    counted == true,
                    f"{viewer.peer.entry} counts {counted} at {server}, true are {true}",
                )

    # Faults.

    @rule(loss=st.sampled_from((0.0, 0.1, 0.3)), delay_ms=st.sampled_from((5, 30, 150)))
    def network_changes(self, loss, delay_ms):
        self.fault()
        self.world.loss, self.world.max_delay_ms = loss, delay_ms
        self.world.slowest_ms = max(self.world.slowest_ms, delay_ms)
        self.world.run_for(STEP_MS)

    @rule(number=numbers, is_relay=st.booleans(), is_graceful=st.booleans(), starts=st.booleans())
    def instance_stops(self, number, is_relay, is_graceful, starts):
        self.fault()
        instance = self.relay(number) if is_relay else self.instance(number)
        self.world.stop(instance, is_graceful=is_graceful)
        if starts:
            self.world.start(instance)
        self.world.run_for(STEP_MS)

    @rule(number=numbers)
    def instance_starts(self, number):
        self.fault()
        instance = self.instance(number)
        if not instance.is_alive:
            self.world.start(instance)

    def relay(self, number):
        """Return an instance that relays, if there is one."""
        live = self.world.live()
        relays = sorted({name for each in live for name in each.subject.relays})
        return (
            self.world.instances[relays[number % len(relays)]] if relays else self.instance(number)
        )

    @rule(number=numbers, duration_ms=st.sampled_from((100, 350, 1_000, 5_000)))
    def relay_freezes(self, number, duration_ms):
        self.fault()
        instance = self.relay(number)
        self.world.freeze(instance)
        self.pass_time(duration_ms)
        self.world.wake(instance)

    @rule(number=numbers, others=st.sets(numbers, min_size=1, max_size=6), is_one_way=st.booleans())
    def links_fail(self, number, others, is_one_way):
        self.fault()
        name = self.relay(number).peer.entry
        for other in others:
            pair = (name, self.instance(other).peer.entry)
            self.world.blocked.add(pair)
            if not is_one_way:
                self.world.blocked.add(pair[::-1])

    @rule(one=st.integers(0, 2), other=st.integers(0, 2))
    def zones_are_parted(self, one, other):
        self.fault()
        if one != other:
            self.world.blocked |= {(f"z{one}", f"z{other}"), (f"z{other}", f"z{one}")}

    @rule(number=numbers, is_listed=st.booleans())
    def registrations_differ(self, number, is_listed):
        """Let one instance, and later others, read a list without another one, or with it again."""
        self.fault()
        instance, reader = self.instance(number), self.instance(number // 7)
        name = instance.peer.entry
        if is_listed and instance.is_alive:
            self.world.registered[name] = instance.peer
        elif not is_listed:
            self.world.registered.pop(name, None)
        if reader.is_alive and not reader.is_frozen:
            self.world.update_peers(reader)


PROOFS = (Proof(slug="zone-loads", machine=ZoneLoadsProof),)
