"""Proofs that streams go on only at the version that began them, and that they do go on."""

from __future__ import annotations

import random
from typing import ClassVar

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from tests.proof.harness import Proof, ProofMachine
from tests.proof.require import require
from tests.proof.versionrecords import FORGET_MS, SETTLE_MS
from tests.proof.versionservers import (
    ENGINE_SERVICE,
    SERVERS_PER_SERVICE,
    SERVICES,
    VERSIONS,
    ZONES,
)
from tests.proof.versionworld import World

COUNTS = 8 * (2, 3, 4, 6, 6, 7) + (20, 60, 300)
MAX_INSTANCES_FOR_SHARE = 60
MAX_STREAMS = 60
HEALING_MS = 8_000
NEW_STREAMS = 40
LONG_STREAM = 80
MAX_STREAM = 20
MAX_STREAMS_AT_CRASH = 8
STREAMS_AT_END = 2
BEGIN_MS = 1_000
GO_ON_MS = 4_000
MIN_TAKEN_UP = 12
MIN_SHARE = 0.5
MIN_RECORD_SHARE = 0.9
BREAK_INTERVAL_MS = 100
MIN_INSTANCES_FOR_BREAKS = 6
SERVER_BREAKS = 4

numbers = st.integers(0, 1_000)
services = st.sampled_from(SERVICES)
versions = st.sampled_from(VERSIONS)
downtimes_ms = st.sampled_from((100, 500, 2_000))


class StreamVersionsProof(ProofMachine):
    """Two to 300 entry instances in three zones, and servers of three software versions.

    Oracle 1: no stream ever has events of two versions, by the processes that made them. All
    instances may end at once, and the servers of a version with them.
    Oracle 2: with no disturbance, and two servers of its version, of 12 or more streams taken up
    again the share that goes on is at least half of the share of new streams that begin.

    Without an event connection an instance cannot tell whether an engine is still the process that
    is listed, so oracle 2 needs one to each engine; lists confirm what plain servers answer. Cuts
    outlast the poll of that connection: a shorter one hides that the process has ended.

    Oracle 3: after a quiet time with a single version, at least 0.9 of the streams go on after all
    instances have ended.
    """

    double = {"ignores_version": True}
    """Test double of instances that let a stream go on at any server."""

    options: ClassVar = {}
    unread_share = 0.0
    """Share of the pairs of instances and engines between which no events are read."""

    @initialize(seed=st.integers(0, 1_000_000), count=st.sampled_from(COUNTS))
    def begin(self, seed, count):
        options = self.options | ({} if self.mechanism_enabled else self.double)
        self.has_checked_share = self.has_checked_record = False
        self.world = World(random.Random(seed), count, self.unread_share, **options)

    def instance(self, number):
        return self.world.instances[number % len(self.world.instances)]

    def slots(self, service):
        return [slot for slot, entry in self.world.slots.items() if entry.service == service]

    # operations

    @rule(duration_ms=st.sampled_from((50, 200, 500, 1_500)))
    def time_passes(self, duration_ms):
        self.operation()
        self.world.run_for(duration_ms)

    @rule(number=numbers, service=services, count=st.sampled_from((1, 3, 8)))
    def streams_begin(self, number, service, count):
        self.operation()
        if len(self.world.streams) < MAX_STREAMS:
            for offset in range(count):
                instance = self.instance(number + offset)
                if instance.is_alive:
                    self.world.begin(service, instance)
        self.world.run_for(50)

    @rule(share=st.sampled_from((0.2, 1.0)))
    def callers_break_off(self, share):
        self.operation()
        for stream in list(self.world.streams):
            if self.world.rng.random() < share:
                self.world.break_off(stream)
        self.world.run_for(10)

    @rule(
        service=services,
        version=versions,
        gap_ms=st.sampled_from((200, 1_000)),
        down_ms=downtimes_ms,
        keeps_id=st.booleans(),
        is_graceful=st.booleans(),
        goes_back=st.booleans(),
    )
    def version_is_rolled_out(
        self, service, version, gap_ms, down_ms, keeps_id, is_graceful, goes_back
    ):
        self.operation()
        world = self.world
        slots = self.slots(service)
        for turn, slot in enumerate(slots):
            before = world.slots[slot].software_version
            targets = (version, before) if goes_back else (version,)
            for step, target in enumerate(targets):

                def restart(slot=slot, target=target):
                    world.restart_server(
                        slot, target, down_ms, keeps_id=keeps_id, is_graceful=is_graceful
                    )

                world.after((turn + step * len(slots)) * gap_ms, restart)
        world.run_for(10)

    @rule(version=versions, service=services)
    def streams_go_on(self, version, service):
        self.operation()
        world = self.world
        is_too_large = len(world.instances) > MAX_INSTANCES_FOR_SHARE
        if self.has_checked_share or is_too_large or world.unread_share:
            return
        self.has_checked_share = True
        self.heal(service, version, VERSIONS[VERSIONS.index(version) - 1])
        streams = [
            world.begin(service, world.rng.choice(world.instances), LONG_STREAM)
            for _ in range(NEW_STREAMS)
        ]
        world.run_for(BEGIN_MS)
        begun = [stream for stream in streams if stream.events]
        taken_up = {}
        for number, stream in enumerate(s for s in begun if s.versions == {version} and s.attempt):
            taken_up[stream] = stream.events
            self.break_stream(stream, number)
            world.run_for(BREAK_INTERVAL_MS)
        world.run_for(GO_ON_MS)
        if len(taken_up) < MIN_TAKEN_UP:
            return
        refused = [stream for stream, events in taken_up.items() if stream.events == events]
        share, new_share = 1 - len(refused) / len(taken_up), len(begun) / len(streams)
        require(
            share >= MIN_SHARE * new_share,
            f"{share:.2f} of {len(taken_up)} streams went on, {new_share:.2f} of the new ones"
            f" began, with {len(world.instances)} instances:"
            f" {'; '.join(refused[0].trail if refused else [])}",
        )

    def heal(self, service, version, other):
        """End all disturbances; two servers of a service have one version, the rest another."""
        world = self.world
        world.cut_zones.clear()
        world.store.is_away = False
        world.loss, world.max_delay_ms, world.kills_at_first_event = 0.0, 5, 0
        world.run_for(HEALING_MS)
        for number, slot in enumerate(self.slots(service)):
            world.restart_server(slot, version if number < 2 else other, 100, keeps_id=True)
        world.run_for(HEALING_MS)

    def break_stream(self, stream, number):
        """Let a caller lose its connection or, with many instances, a server break off."""
        is_by_server = number % SERVER_BREAKS == 0
        if stream.attempt is None:
            return
        if is_by_server and len(self.world.instances) >= MIN_INSTANCES_FOR_BREAKS:
            self.world.break_run(stream.attempt, is_last=True)
        else:
            self.world.break_off(stream)

    # faults

    @rule(
        slot=numbers,
        version=versions,
        down_ms=downtimes_ms,
        keeps_id=st.booleans(),
    )
    def server_crashes(self, slot, version, down_ms, keeps_id):
        self.fault()
        slot %= SERVERS_PER_SERVICE * len(SERVICES)
        self.world.restart_server(slot, version, down_ms, keeps_id=keeps_id)
        self.world.run_for(10)

    @rule(
        slot=numbers,
        version=versions,
        down_ms=downtimes_ms,
        keeps_id=st.booleans(),
        wait_ms=st.sampled_from((20, 150, 500)),
    )
    def server_crashes_among_streams(self, slot, version, down_ms, keeps_id, wait_ms):
        self.fault()
        world = self.world
        slot %= SERVERS_PER_SERVICE * len(SERVICES)
        for instance in world.alive()[:MAX_STREAMS_AT_CRASH]:
            world.begin(world.slots[slot].service, instance, MAX_STREAM)
        world.run_for(150)
        world.restart_server(slot, version, down_ms, keeps_id=keeps_id)
        world.run_for(down_ms + wait_ms)
        for stream in list(world.streams):
            world.break_off(stream)
        world.run_for(500)

    @rule(share=st.sampled_from((0.2, 1.0)))
    def answers_break(self, share):
        self.fault()
        for stream in list(self.world.streams):
            if stream.attempt is not None and self.world.rng.random() < share:
                self.world.break_run(stream.attempt)
        self.world.run_for(10)

    @rule(number=numbers, down_ms=st.sampled_from((50, 500, 3_000)))
    def instance_is_killed(self, number, down_ms):
        self.fault()
        self.world.kill(self.instance(number), down_ms)
        self.world.run_for(10)

    @rule(
        service=services,
        version=versions,
        down_ms=st.sampled_from((50, 500, 1_000)),
        second_ms=st.sampled_from((0, 20, 300, 2_000)),
        absence_ms=st.sampled_from((0, 1_000, 3_000, 17_000, 40_000)),
        changes=st.sampled_from(("none", "some", "all")),
        keeps_id=st.booleans(),
        quiet_ms=st.sampled_from((0, 0, 0, 60_000)),
    )
    def all_instances_end(
        self, service, version, down_ms, second_ms, absence_ms, changes, keeps_id, quiet_ms
    ):
        """End all instances at once, perhaps twice, and some or all servers of a service."""
        self.fault()
        world = self.world
        world.run_for(quiet_ms)
        for instance in world.alive()[:MAX_STREAMS_AT_CRASH]:
            for _ in range(STREAMS_AT_END):
                world.begin(service, instance, MAX_STREAM)
        world.run_for(BEGIN_MS // 2)
        world.absence_ms = absence_ms
        self.end_all(down_ms)
        slots = self.slots(service)
        for slot in {"none": [], "some": slots[1:], "all": slots}[changes]:
            world.restart_server(slot, version, down_ms // 2, keeps_id=keeps_id)
        if second_ms:
            world.run_for(down_ms + second_ms)
            self.end_all(down_ms)
        world.run_for(down_ms + max(absence_ms, 1_000))
        world.absence_ms = 0

    @rule(down_ms=st.sampled_from((50, 500, 1_000)), version=versions, service=services)
    def streams_go_on_after_all_instances_end(self, down_ms, version, service):
        """Check the share that goes on by the record alone, at servers of a single version."""
        self.operation()
        world = self.world
        if world.waits_for_record:
            service = ENGINE_SERVICE
        is_too_large = len(world.instances) > MAX_INSTANCES_FOR_SHARE
        if self.has_checked_record or is_too_large or not world.keeps_record:
            return
        self.has_checked_record = True
        self.heal(service, version, version)
        world.run_for(FORGET_MS + 2 * SETTLE_MS)
        streams = [
            world.begin(service, world.rng.choice(world.instances), LONG_STREAM)
            for _ in range(NEW_STREAMS)
        ]
        world.run_for(BEGIN_MS)
        begun = {stream: stream.events for stream in streams if stream.events}
        self.end_all(down_ms)
        world.run_for(down_ms + GO_ON_MS)
        refused = [stream for stream, events in begun.items() if stream.events == events]
        require(
            len(refused) <= (1 - MIN_RECORD_SHARE) * len(begun),
            f"{len(refused)} of {len(begun)} streams did not go on after all instances ended:"
            f" {'; '.join(refused[0].trail if refused else [])}; {world.record}",
        )

    def end_all(self, down_ms):
        for instance in self.world.alive():
            self.world.kill(instance, down_ms)

    @rule()
    def instance_dies_right_after_a_first_event(self):
        self.fault()
        self.world.kills_at_first_event = 1

    @rule(zone=st.sampled_from(ZONES), duration_ms=st.sampled_from((1_500, 3_000, 6_000)))
    def zone_is_cut_off(self, zone, duration_ms):
        self.fault()
        self.world.cut_off(zone, duration_ms)
        self.world.run_for(10)

    @rule(duration_ms=st.sampled_from((500, 2_000, 6_000)), does_expire=st.booleans())
    def store_is_away(self, duration_ms, does_expire):
        self.fault()
        self.world.take_store_away(duration_ms, does_expire=does_expire)
        self.world.run_for(10)

    @rule(back_ms=st.sampled_from((1_000, 5_000)))
    def store_is_back_older(self, back_ms):
        self.fault()
        self.world.restore_store(back_ms)
        self.world.run_for(10)

    @rule(loss=st.sampled_from((0.0, 0.0, 0.3)), max_delay_ms=st.sampled_from((5, 5, 400)))
    def datagrams_suffer(self, loss, max_delay_ms):
        self.fault()
        self.world.loss, self.world.max_delay_ms = loss, max_delay_ms


class StreamsFoundProof(StreamVersionsProof):
    """The same world, with a test double whose instances tell nobody where streams began."""

    double = {"tells_others": False}


class UnreadStreamVersionsProof(StreamVersionsProof):
    """The same world, in which instances do not read the events of all engines."""

    unread_share = 0.3


class ObservedStreamVersionsProof(StreamVersionsProof):
    """The same world, in which servers do not wait until their version is in the record."""

    options: ClassVar = {"waits_for_record": False}


PROOFS = (
    Proof(slug="stream-versions", machine=StreamVersionsProof),
    Proof(slug="stream-versions-found", machine=StreamsFoundProof),
    Proof(slug="stream-versions-unread", machine=UnreadStreamVersionsProof),
    Proof(slug="stream-versions-observed", machine=ObservedStreamVersionsProof),
)
