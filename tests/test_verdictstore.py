"""Tests of the verdicts on prompt parts in the key-value service."""

import unittest

from bergamothill.clock import ManualClock
from bergamothill.connection.kvs import ABSENT
from bergamothill.process.quarantinecodec import decode_verdicts, encode_verdicts
from bergamothill.process.verdictstore import REFRESH_MS, VERDICTS_KEY, VerdictStore
from bergamothill.request.crashevidence import PartId
from bergamothill.request.partquarantine import Verdict
from tests.builders import RestorableStore, StoreClient, WriteFault

STEPS = 5


def parts(*names):
    return frozenset(PartId("m1", name) for name in names)


class VerdictStoreTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1_000_000)
        self.kvs = RestorableStore(self.clock)
        self.reads = []
        self.store = self.new_store()

    def new_store(self):
        client = StoreClient(self.kvs)
        store = VerdictStore(client, self.clock, self.reads.append)
        client.era.add_listener(lambda era: store.handle_restore())
        return store

    def run_steps(self, store=None, steps=STEPS):
        for _ in range(steps):
            self.clock.advance_ms((store or self.store).step())

    def stored(self):
        entry = self.kvs.peek(VERDICTS_KEY)
        verdicts = () if entry is None else decode_verdicts(entry.value, self.clock.wall_ms())
        return {verdict.parts: verdict.idle_ms for verdict in verdicts}

    def record(self, *names, store=None, delay_ms=0, idle_ms=0):
        verdicts = [Verdict(parts(name), idle_ms) for name in names]
        (store or self.store).record(verdicts, delay_ms=delay_ms)

    def test_the_verdicts_are_read_at_the_start_and_not_again_without_need(self):
        value = encode_verdicts([Verdict(parts("a"), 0)], self.clock.wall_ms())
        self.kvs.put_if(VERDICTS_KEY, value, expected=ABSENT)
        self.run_steps()
        self.assertEqual([(Verdict(parts("a"), 0),)], self.reads)
        self.store.request_read()
        self.run_steps()
        self.assertEqual(2, len(self.reads))

    def test_no_verdicts_and_an_unreadable_value_count_as_read(self):
        self.run_steps()
        self.kvs.put_if(VERDICTS_KEY, b"\xff", expected=ABSENT)
        self.store.request_read()
        self.run_steps()
        self.assertEqual([(), ()], self.reads)

    def test_a_failed_read_is_repeated_until_it_succeeds(self):
        self.kvs.is_down = True
        self.run_steps()
        self.assertEqual([], self.reads)
        self.kvs.is_down = False
        self.run_steps()
        self.assertEqual([()], self.reads)

    def test_verdicts_of_two_instances_are_merged(self):
        other = self.new_store()
        self.record("a")
        self.record("b", store=other)
        self.run_steps()
        self.run_steps(other)
        self.assertEqual({parts("a"), parts("b")}, set(self.stored()))

    def test_a_conflicting_write_is_made_again(self):
        self.run_steps()
        get = self.kvs.get
        value = encode_verdicts([Verdict(parts("b"), 0)], self.clock.wall_ms())

        def get_before_another_write(key):
            entry, self.kvs.get = get(key), get
            self.kvs.put_if(key, value, expected=ABSENT)
            return entry

        self.kvs.get = get_before_another_write
        self.record("a")
        self.run_steps()
        self.assertEqual({parts("a"), parts("b")}, set(self.stored()))

    def test_a_write_whose_reply_is_lost_is_checked_before_it_is_repeated(self):
        self.run_steps()
        self.kvs.fault = WriteFault.LOST_REPLY
        self.record("a")
        self.run_steps(steps=1)
        revision = self.kvs.peek(VERDICTS_KEY).mod_revision
        self.kvs.fault = WriteFault.NONE
        self.run_steps()
        self.assertEqual(revision, self.kvs.peek(VERDICTS_KEY).mod_revision)

    def test_a_write_is_left_to_the_instance_that_reached_the_verdict(self):
        other = self.new_store()
        self.record("a", delay_ms=2_000)
        self.record("a", store=other)
        self.run_steps(other)
        revision = self.kvs.peek(VERDICTS_KEY).mod_revision
        self.run_steps()
        self.assertEqual(revision, self.kvs.peek(VERDICTS_KEY).mod_revision)

    def test_a_verdict_in_use_is_written_again_before_it_expires_and_not_more_often(self):
        self.record("a")
        self.run_steps()
        revision = self.kvs.peek(VERDICTS_KEY).mod_revision
        self.clock.advance_ms(REFRESH_MS // 2)
        self.record("a")
        self.run_steps(steps=1)
        self.assertEqual(revision, self.kvs.peek(VERDICTS_KEY).mod_revision)
        self.clock.advance_ms(REFRESH_MS)
        self.record("a")
        self.run_steps(steps=1)
        self.assertEqual({parts("a"): 0}, {p: ms // 60_000 for p, ms in self.stored().items()})

    def test_verdicts_are_read_and_written_again_after_a_restoration(self):
        copy = self.kvs.snapshot()
        self.record("a")
        self.run_steps()
        self.kvs.restore_copy(copy)
        self.assertEqual({}, self.stored())
        self.store.request_read()
        self.run_steps()
        self.assertEqual({parts("a")}, set(self.stored()))

    def test_expired_verdicts_are_dropped_with_the_next_write(self):
        self.record("a")
        self.run_steps()
        self.clock.advance_ms(3 * REFRESH_MS)
        self.record("b")
        self.run_steps()
        self.assertEqual({parts("b")}, set(self.stored()))
