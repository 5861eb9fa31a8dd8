"""Tests of the verdicts on prompt parts in the key-value service."""

import unittest

from bergamothill.clock import ManualClock
from bergamothill.connection.kvs import ABSENT
from bergamothill.errors import UnavailableError
from bergamothill.process.quarantinecodec import decode_stored, encode_stored
from bergamothill.process.verdictstore import REFRESH_MS, VERDICTS_KEY, VerdictStore
from bergamothill.request.crashevidence import CrashReport, PartId, ReportId, ServerIncarnation
from bergamothill.request.partquarantine import ReportedCrash, StoredQuarantine, Verdict
from tests.builders import RestorableStore, StoreClient, WriteFault

STEPS = 5
NOTHING = StoredQuarantine()


def parts(*names):
    return frozenset(PartId("m1", name) for name in names)


def stored_verdicts(*names):
    return StoredQuarantine(tuple(Verdict(parts(name), 0) for name in names))


def crash(number=1, **known):
    report_id, server = ReportId("e1", number), ServerIncarnation("s1", 1)
    return ReportedCrash(CrashReport(report_id, "r1", server, parts("a"), parts("a")), 0, **known)


class KnownQuarantine:
    """Verdicts and crashes known to one instance."""

    def __init__(self):
        self.by_parts = {}
        self.crashes = ()
        self.reads = []

    def add(self, *verdicts):
        for verdict in verdicts:
            self.by_parts[(verdict.parts, verdict.reports)] = verdict

    def rows(self):
        return StoredQuarantine(tuple(self.by_parts.values()), self.crashes)

    def merge(self, stored):
        self.reads.append(stored)
        for verdict in stored.verdicts:
            self.by_parts.setdefault((verdict.parts, verdict.reports), verdict)
        return self.rows()


class VerdictStoreTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1_000_000)
        self.kvs = RestorableStore(self.clock)
        self.store = self.new_store()
        self.reads = self.store.known.reads

    def new_store(self):
        client, known = StoreClient(self.kvs), KnownQuarantine()
        store = VerdictStore(client, self.clock, known.merge)
        store.known = known
        client.era.add_listener(lambda era: store.handle_restore())
        return store

    def run_steps(self, store=None, steps=STEPS):
        for _ in range(steps):
            self.clock.advance_ms((store or self.store).step())

    def stored(self):
        entry = self.kvs.peek(VERDICTS_KEY)
        if entry is None:
            return {}
        verdicts = decode_stored(entry.value, self.clock.wall_ms()).verdicts
        return {verdict.parts: verdict.idle_ms for verdict in verdicts}

    def record(self, *names, store=None, delay_ms=0):
        store = store or self.store
        store.known.add(*(Verdict(parts(name), 0) for name in names))
        store.record(store.known.rows(), delay_ms=delay_ms, is_own=delay_ms == 0)

    def test_the_verdicts_are_read_at_the_start_and_not_again_without_need(self):
        value = encode_stored(stored_verdicts("a"), self.clock.wall_ms())
        self.kvs.put_if(VERDICTS_KEY, value, expected=ABSENT)
        self.run_steps()
        self.assertEqual([stored_verdicts("a")], self.reads)
        self.store.request_read()
        self.run_steps()
        self.assertEqual(2, len(self.reads))

    def test_no_verdicts_and_an_unreadable_value_count_as_read(self):
        self.run_steps()
        self.kvs.put_if(VERDICTS_KEY, b"\xff", expected=ABSENT)
        self.store.request_read()
        self.run_steps()
        self.assertEqual([NOTHING, NOTHING], self.reads)

    def test_a_failed_read_is_repeated_until_it_succeeds(self):
        self.kvs.is_down = True
        self.run_steps()
        self.assertEqual([], self.reads)
        self.kvs.is_down = False
        self.run_steps()
        self.assertEqual([NOTHING], self.reads)

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
        value = encode_stored(stored_verdicts("b"), self.clock.wall_ms())

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

    def test_what_expired_while_stored_is_not_read(self):
        self.record("a")
        self.run_steps()
        self.clock.advance_ms(3 * REFRESH_MS)
        other = self.new_store()
        self.run_steps(other)
        self.assertEqual([NOTHING], other.known.reads)

    def test_what_this_instance_no_longer_suspects_is_replaced(self):
        self.record("a")
        self.run_steps()
        self.store._merge = lambda stored: NOTHING
        self.store.record(NOTHING, delay_ms=0, is_own=True)
        self.run_steps()
        self.assertEqual({}, self.stored())

    def test_instances_that_know_different_reports_of_a_verdict_do_not_write_in_turn(self):
        self.record("a")
        self.run_steps()
        revision = self.kvs.peek(VERDICTS_KEY).mod_revision
        known = StoredQuarantine((Verdict(parts("a"), 0, frozenset({crash().report})),))
        self.store._merge = lambda stored: known
        self.store.record(known, delay_ms=0, is_own=True)
        self.run_steps()
        self.assertEqual(revision, self.kvs.peek(VERDICTS_KEY).mod_revision)

    def record_crash(self, row, store=None):
        store = store or self.store
        store.known.crashes = (row,)
        store.record(store.known.rows(), delay_ms=0, is_own=True)
        self.run_steps(store)
        entry = self.kvs.peek(VERDICTS_KEY)
        return () if entry is None else decode_stored(entry.value, self.clock.wall_ms()).crashes

    def test_crashes_that_are_no_verdict_yet_are_stored_and_read(self):
        self.record_crash(crash())
        other = self.new_store()
        self.run_steps(other, steps=1)
        self.assertEqual(crash().report, other.known.reads[0].crashes[0].report)

    def test_what_settles_a_stored_crash_is_stored_once(self):
        self.assertFalse(self.record_crash(crash())[0].is_settled)
        self.assertTrue(self.record_crash(crash(cleared=parts("a")))[0].is_settled)
        revision = self.kvs.peek(VERDICTS_KEY).mod_revision
        self.record_crash(crash(cleared=parts("a"), is_void=True))
        self.assertEqual(revision, self.kvs.peek(VERDICTS_KEY).mod_revision)

    def test_a_crash_that_is_settled_before_it_is_stored_causes_no_write(self):
        self.assertEqual((), self.record_crash(crash(is_void=True)))

    def test_a_busy_event_loop_only_delays_the_read(self):
        merge = self.store._merge

        def fail(stored):
            raise UnavailableError("busy", step="quarantine.merge")

        self.store._merge = fail
        self.run_steps()
        self.store._merge = merge
        self.run_steps()
        self.assertEqual([NOTHING], self.reads)
