"""Tests of streams after all entry instances ended at once, in the world of the proofs."""

import random
import unittest

from tests.proof.versionrecords import FORGET_MS, SETTLE_MS
from tests.proof.versionservers import ENGINE_SERVICE
from tests.proof.versionworld import World

STREAMS = 40
LENGTH = 80
BEGIN_MS = 600
DOWN_MS = 500
GO_ON_MS = 4_000
MIN_SHARE = 0.9
SEEDS = range(4)


def engine_slots(world):
    return [slot for slot, entry in world.slots.items() if entry.service == ENGINE_SERVICE]


def restart_engines(world, slots, version):
    for slot in slots:
        world.restart_server(slot, version, 100, keeps_id=True)


def end_all(world):
    for instance in world.alive():
        world.kill(instance, DOWN_MS)


def play(world, *, ends_twice=False, old_servers_leave=False):
    """Let streams begin, end all instances, and return the share of streams that went on."""
    streams = [
        world.begin(ENGINE_SERVICE, world.rng.choice(world.instances), LENGTH)
        for _ in range(STREAMS)
    ]
    world.run_for(BEGIN_MS)
    begun = {stream: stream.events for stream in streams if stream.events}
    end_all(world)
    if old_servers_leave:
        restart_engines(world, engine_slots(world), "v1.2")
    world.run_for(DOWN_MS + 300)
    if ends_twice:
        end_all(world)
    world.run_for(DOWN_MS + GO_ON_MS)
    return sum(stream.events > events for stream, events in begun.items()) / len(begun)


class RestartTest(unittest.TestCase):
    def world(self, seed, count=6, **options):
        world = World(random.Random(seed), count, 0.0, **options)
        world.run_for(8_000)
        return world

    def test_streams_go_on_by_the_record_if_there_was_one_version(self):
        for seed in SEEDS:
            for ends_twice in (False, True):
                with self.subTest(seed=seed, ends_twice=ends_twice):
                    share = play(self.world(seed), ends_twice=ends_twice)
                    self.assertGreaterEqual(share, MIN_SHARE)

    def test_without_trust_in_the_record_they_are_refused(self):
        self.assertEqual(0, play(self.world(1, trusts_record=False)))

    def test_with_two_versions_in_service_none_is_joined(self):
        for seed in SEEDS:
            with self.subTest(seed):
                world = self.world(seed)
                restart_engines(world, engine_slots(world)[1:], "v1.1")
                world.run_for(8_000)
                self.assertEqual(0, play(world))

    def test_without_the_servers_of_the_old_version_none_is_joined(self):
        for seed in SEEDS:
            with self.subTest(seed):
                self.assertEqual(0, play(self.world(seed), old_servers_leave=True))

    def test_without_new_versions_in_the_record_streams_are_joined(self):
        world = self.world(1, keeps_record=False)
        restart_engines(world, engine_slots(world)[1:], "v1.1")
        world.run_for(8_000)
        with self.assertRaisesRegex(AssertionError, "events of several versions"):
            play(world)

    def test_a_restored_older_record_joins_none(self):
        for seed in SEEDS:
            with self.subTest(seed):
                world = self.world(seed)
                restart_engines(world, engine_slots(world)[1:], "v1.1")
                world.run_for(8_000)
                world.restore_store(7_900)
                play(world)

    def test_a_version_that_was_replaced_is_forgotten_in_time(self):
        world = self.world(1)
        restart_engines(world, engine_slots(world), "v1.1")
        world.run_for(FORGET_MS + SETTLE_MS)
        self.assertGreaterEqual(play(world), MIN_SHARE)

    def test_each_change_is_written_by_one_instance(self):
        world = self.world(1, count=33)
        restart_engines(world, engine_slots(world), "v1.1")
        world.run_for(8_000)
        self.assertEqual(1, world.record_writes)
