"""Proof that shared reads are never believed longer than own reads, and miss no change."""

from __future__ import annotations

import random
from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from bergamothill.process.sharedreads import SharedReads
from bergamothill.process.zonereaders import READERS_PER_ZONE, ReadRole, ZoneReaders
from tests.proof.harness import Proof, ProofMachine
from tests.proof.readsworld import BOUND_MS, REGISTRATION_TTL_MS, ReadsWorld
from tests.proof.require import require

COUNTS = 4 * (3, 4, 5, 7) + (2, 9, 14, 30)
QUIET_MS = 4_000
SETTLED_MS = REGISTRATION_TTL_MS + BOUND_MS

numbers = st.integers(0, 1_000)


class ArrivalReads(SharedReads):
    """Test double that counts the age of a read from when the answer arrives."""

    def _on_confirmation(self, row, query, now_ms):
        return super()._on_confirmation(row, replace(query, sent_ms=now_ms), now_ms)


class PatientReaders(ZoneReaders):
    """Test double that never reads in place of a silent reader."""

    def role(self, prefix, now_ms):
        role = super().role(prefix, now_ms)
        return ReadRole.FOLLOWER if role is ReadRole.TAKEOVER else role


class PatientReads(SharedReads):
    """Test double whose followers never take over."""

    def __init__(self, own, zone, first_number):
        super().__init__(own, zone, first_number)
        self.readers = PatientReaders(own, zone)


class SharedReadsProof(ProofMachine):
    """The instances of a zone and a prefix whose content changes.

    Oracle 1: what an instance applies as read at a time or later was the content at some moment
    from that time on, and it never goes back to an older state. So no key is accepted longer than
    five seconds after it was revoked, which is checked as well.
    Oracle 2: an instance that is in touch with the service knows each change within three seconds,
    whatever happens to the readers and the datagrams.
    Oracle 3: without a disturbance only two instances read.
    Oracle 4: the first content after an outage of the service is known to follow one, or an own
    read failed in it.
    """

    double = ArrivalReads

    @initialize(seed=st.integers(0, 1_000_000), count=st.sampled_from(COUNTS))
    def begin(self, seed, count):
        subject = SharedReads if self.mechanism_enabled else self.double
        self.has_checked_quiet = False
        self.world = ReadsWorld(
            lambda name, number: subject(name, "z", number), count, random.Random(seed)
        )

    def instance(self, number, *, is_reader):
        """Return an instance, preferably one of the readers."""
        names = sorted(self.world.instances)
        if is_reader:
            running = [i for i in self.world.instances.values() if i.reads is not None]
            names = running[0].reads.readers.ranking[:READERS_PER_ZONE] if running else names
        return self.world.instances[names[number % len(names)]]

    # operations

    @rule(duration_ms=st.sampled_from((20, 200, 1_000, 4_000)))
    def time_passes(self, duration_ms):
        self.operation()
        self.world.run_for(duration_ms)

    @rule(number=st.integers(0, 3))
    def key_is_written(self, number):
        self.operation()
        world, key = self.world, f"op/{number}"
        others = [entry for entry in world.content if entry.key != key]
        world.set_content([*others, world.entry(key, world.rng.randbytes(20_000))])
        world.run_for(world.rng.randrange(40))

    @rule()
    def key_is_deleted(self):
        self.operation()
        world = self.world
        world.set_content(world.content[1:] or [world.entry("op/0", b"0")])
        world.run_for(world.rng.randrange(40))

    @rule()
    def nothing_disturbs(self):
        self.operation()
        world = self.world
        if self.has_checked_quiet:
            return
        self.has_checked_quiet = True
        world.loss, world.max_delay_ms, world.repeats = 0.0, 5, 0.0
        self.end_disturbances()
        world.run_for(SETTLED_MS)
        if not all(i.is_connected and not i.is_without_peers for i in world.instances.values()):
            return
        before = {name: instance.calls for name, instance in world.instances.items()}
        world.run_for(QUIET_MS)
        reading = [name for name, i in world.instances.items() if i.calls > before[name]]
        require(len(reading) <= READERS_PER_ZONE, f"{reading} read")

    def end_disturbances(self):
        world = self.world
        for instance in world.instances.values():
            instance.is_without_peers = False
            if instance.reads is None:
                world.start(instance)
            elif instance.is_frozen:
                world.thaw(instance)
            if instance.is_cut_off or instance.is_rejected:
                instance.is_cut_off = instance.is_rejected = False
                instance.connected_ms = world.now_ms
        world.come_back()

    # faults

    @rule(number=numbers, is_reader=st.booleans(), down_ms=st.sampled_from((50, 2_000, 15_000)))
    def instance_restarts(self, number, is_reader, down_ms):
        self.fault()
        self.restart(self.instance(number, is_reader=is_reader), down_ms)
        self.world.run_for(10)

    @rule()
    def readers_stop_together(self):
        self.fault()
        for number in range(READERS_PER_ZONE):
            self.restart(self.instance(number, is_reader=True), 20_000)
        self.world.run_for(10)

    def restart(self, instance, down_ms):
        def start():
            if instance.reads is None:
                self.world.start(instance)

        if instance.reads is not None:
            self.world.stop(instance)
            self.world.after(down_ms, start)

    @rule(number=numbers, is_reader=st.booleans(), duration_ms=st.sampled_from((300, 3_000, 9_000)))
    def instance_freezes(self, number, is_reader, duration_ms):
        self.fault()
        instance, world = self.instance(number, is_reader=is_reader), self.world
        if instance.reads is not None and not instance.is_frozen:
            instance.is_frozen, epoch = True, instance.epoch

            def thaw():
                if instance.epoch == epoch and instance.is_frozen:
                    world.thaw(instance)

            world.after(duration_ms, thaw)
        world.run_for(10)

    @rule(
        number=numbers,
        is_reader=st.booleans(),
        fault=st.sampled_from(("is_cut_off", "is_rejected", "is_without_peers")),
        duration_ms=st.sampled_from((500, 4_000, 15_000)),
    )
    def instance_is_cut_off(self, number, is_reader, fault, duration_ms):
        self.fault()
        instance, world = self.instance(number, is_reader=is_reader), self.world

        def heal():
            setattr(instance, fault, False)
            if fault != "is_without_peers":
                instance.connected_ms = world.now_ms

        if not getattr(instance, fault):
            setattr(instance, fault, True)
            world.after(duration_ms, heal)
        world.run_for(10)

    @rule(duration_ms=st.sampled_from((500, 4_000, 12_000)))
    def service_is_away(self, duration_ms):
        self.fault()
        if not self.world.is_away:
            self.world.go_away()
            self.world.after(duration_ms, self.world.come_back)
        self.world.run_for(10)

    @rule()
    def service_is_restored(self):
        self.fault()
        self.world.restore()
        self.world.run_for(10)

    @rule(
        loss=st.sampled_from((0.0, 0.0, 0.3, 0.9)),
        max_delay_ms=st.sampled_from((5, 5, 400, 3_000)),
        repeats=st.sampled_from((0.0, 0.3)),
    )
    def datagrams_suffer(self, loss, max_delay_ms, repeats):
        self.fault()
        world = self.world
        world.loss, world.max_delay_ms, world.repeats = loss, max_delay_ms, repeats


class TakeoverProof(SharedReadsProof):
    """The same, disabled by followers that wait for their readers forever."""

    double = PatientReads


PROOFS = (
    Proof(slug="shared-reads", machine=SharedReadsProof),
    Proof(slug="shared-reads-takeover", machine=TakeoverProof),
)
