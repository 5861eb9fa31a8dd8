import unittest
from unittest import mock

from bergamothill.clock import ManualClock
from bergamothill.connection.kvs_memory import MemoryKeyValueService
from bergamothill.errors import (
    ConflictError,
    Execution,
    NotFoundError,
    PeerTimeoutError,
    PeerUnreachableError,
    StaleConfigurationError,
)
from bergamothill.version import submission
from bergamothill.version.change import AddBrand, AddModel, AllowModel, SetDefault
from bergamothill.version.record import CONTENT_PREFIX, HEAD_KEY
from bergamothill.version.revision import (
    ChangeConflictError,
    ConfigurationWriter,
    base_of,
    new_change_id,
)
from bergamothill.version.watcher import ConfigurationWatcher
from tests.proof.harness import Proof, check_proof
from tests.proof.proof_configuration import (
    PROOFS,
    ConfigurationMachine,
    HastyWriter,
    LonelyWatcher,
)


class ProofTests(unittest.TestCase):
    def test_short_form(self):
        check_proof(self, PROOFS[0], operations=1_000)

    def test_each_part_is_needed(self):
        parts = ((LonelyWatcher, ConfigurationWriter), (ConfigurationWatcher, HastyWriter))
        for watcher, writer in parts:
            name = f"{watcher.__name__}And{writer.__name__}"
            doubles = {"watcher_double": watcher, "writer_double": writer}
            machine = type(name, (ConfigurationMachine,), doubles)
            with self.subTest(name=name):
                check_proof(self, Proof(name, machine), operations=50)


class FaultyKeyValueService(MemoryKeyValueService):
    """Loses the replies of head writes, either before or after they take effect."""

    def __init__(self, clock):
        super().__init__(clock)
        self.lose_after_effect = 0
        self.hold_back = 0
        self.held = []
        self.down = False
        self.before_put = None

    def get(self, key):
        if self.down:
            raise PeerUnreachableError("down", step="kvs.get")
        return super().get(key)

    def put_if(self, key, value, *, expected, lease_id=None):
        if key != HEAD_KEY:
            return super().put_if(key, value, expected=expected)
        if self.before_put is not None:
            action, self.before_put = self.before_put, None
            action()
        if self.hold_back:
            self.hold_back -= 1
            self.held.append((value, expected))
            raise PeerTimeoutError("late", step="kvs.put")
        entry = super().put_if(key, value, expected=expected)
        if self.lose_after_effect:
            self.lose_after_effect -= 1
            raise PeerTimeoutError("lost", step="kvs.put")
        return entry

    def land_held(self):
        landed = 0
        for value, expected in self.held:
            try:
                super().put_if(HEAD_KEY, value, expected=expected)
                landed += 1
            except ConflictError:
                pass
        self.held.clear()
        return landed


class WriterTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.kvs = FaultyKeyValueService(self.clock)
        self.writer = self.new_writer()

    def new_writer(self):
        return ConfigurationWriter(self.kvs, self.clock)

    def warm(self, value, **options):
        return self.writer.submit((SetDefault("warm_time_ms", value),), **options)

    def value(self):
        return self.writer.read().configuration.defaults.warm_time_ms

    def test_accepts_one_revision_after_the_other(self):
        self.assertEqual(self.warm(1).revision, 1)
        self.assertEqual(self.warm(2).revision, 2)
        self.assertEqual(self.value(), 2)
        self.assertEqual([change.revision for change in self.writer.history(5)], [2, 1])

    def test_racing_changes_to_different_items_both_succeed(self):
        self.kvs.before_put = lambda: self.new_writer().submit((AddBrand("acme"),))
        self.assertEqual(self.warm(5).revision, 2)
        configuration = self.new_writer().read().configuration
        self.assertIn("acme", configuration.brands)
        self.assertEqual(configuration.defaults.warm_time_ms, 5)

    def test_loser_of_a_race_is_shown_the_winner(self):
        rival = (SetDefault("warm_time_ms", 9),)
        self.kvs.before_put = lambda: self.new_writer().submit(rival)
        with self.assertRaisesRegex(ChangeConflictError, "set_default warm_time_ms 9") as caught:
            self.warm(5)
        self.assertEqual(caught.exception.winner.revision, 1)
        self.assertEqual(self.value(), 9)

    def test_lost_reply_is_settled(self):
        self.kvs.lose_after_effect = 1
        accepted = self.warm(5)
        self.assertEqual((accepted.revision, accepted.repeated), (1, True))

    def test_write_that_lands_late_is_not_doubled(self):
        self.kvs.hold_back = 2
        self.assertEqual(self.warm(5).revision, 1)
        self.assertEqual(self.kvs.land_held(), 0)
        self.assertEqual(self.writer.read().head.revision, 1)

    def test_unknown_outcome_is_said_and_the_id_settles_it(self):
        change_id = new_change_id(0)
        self.kvs.hold_back = 1_000
        with self.assertRaisesRegex(PeerTimeoutError, change_id) as caught:
            self.warm(5, change_id=change_id)
        self.assertIs(caught.exception.execution, Execution.UNKNOWN)
        self.assertEqual(self.kvs.land_held(), 1)
        self.kvs.hold_back = 0
        self.assertEqual(self.warm(5, change_id=change_id).revision, 1)
        self.assertEqual(self.writer.read().head.revision, 1)

    def test_late_retry_does_not_undo_a_newer_change(self):
        change_id = new_change_id(0)
        self.warm(5, change_id=change_id)
        self.warm(6)
        retried = self.warm(5, change_id=change_id)
        self.assertEqual((retried.revision, retried.repeated), (1, True))
        self.assertEqual([change.revision for change in retried.superseded_by], [2])
        self.assertEqual(self.value(), 6)

    def test_id_cannot_stand_for_another_change(self):
        self.warm(5, change_id="mine")
        with self.assertRaisesRegex(ConflictError, "already used for another change"):
            self.warm(6, change_id="mine")

    def test_change_on_an_old_base_is_a_conflict(self):
        self.warm(5)
        self.warm(6)
        with self.assertRaises(ChangeConflictError):
            self.warm(7, base=1)
        self.assertEqual(self.warm(7, base=2).revision, 3)

    def test_service_that_is_down_is_not_run(self):
        self.kvs.down = True
        with self.assertRaises(PeerUnreachableError) as caught:
            self.warm(5)
        self.assertIs(caught.exception.execution, Execution.NOT_RUN)

    def test_repeat_that_does_not_reach_the_service_says_nothing_of_the_first(self):
        change_id = new_change_id(0)
        self.kvs.hold_back = 1_000
        with self.assertRaises(PeerTimeoutError):
            self.warm(5, change_id=change_id, is_repeat=False)
        self.kvs.land_held()
        self.kvs.down = True
        with self.assertRaises(PeerTimeoutError) as caught:
            self.warm(5, change_id=change_id)
        self.assertIs(caught.exception.execution, Execution.UNKNOWN)

    def test_refused_change_leaves_no_content(self):
        self.warm(5)
        before = len(self.kvs.scan(CONTENT_PREFIX))
        with self.assertRaises(NotFoundError):
            self.writer.submit((AllowModel("nobody", "none"),))
        self.assertEqual(len(self.kvs.scan(CONTENT_PREFIX)), before)

    def test_change_rewrites_one_bucket(self):
        self.writer.submit(tuple(AddBrand(f"brand-{i}") for i in range(300)))
        before = self.writer.read().head.buckets
        self.writer.submit((AddModel("guide", "v1"),))
        self.writer.submit((AllowModel("brand-7", "guide"),))
        after = self.writer.read().head.buckets
        self.assertEqual(sum(after[name] != before.get(name) for name in after), 2)

    def test_old_changes_move_to_pages_and_are_still_found(self):
        with (
            mock.patch.object(submission, "RECENT_MAX", 6),
            mock.patch.object(submission, "PAGE_CHANGES", 3),
            mock.patch.object(submission, "RETIRED_MAX", 2),
        ):
            change_id = new_change_id(0)
            self.warm(1, change_id=change_id)
            for value in range(2, 20):
                self.warm(value)
            head = self.writer.read().head
            self.assertLessEqual(len(head.recent), 6)
            self.assertEqual(len(self.writer.history(100)), 19)
            retried = self.warm(1, change_id=change_id)
        self.assertEqual(retried.revision, 1)
        self.assertEqual(len(retried.superseded_by), 18)
        pages = 5
        self.assertEqual(len(self.kvs.scan(CONTENT_PREFIX)), pages + 1 + 2)

    def test_change_seen_after_what_the_service_has_is_refused(self):
        old = self.kvs.snapshot()
        self.warm(5)
        self.kvs.restore(old)
        with self.assertRaises(StaleConfigurationError):
            self.warm(6, change_id=new_change_id(1))
        self.assertEqual(self.writer.read().head.revision, 0)

    def test_id_carries_its_base(self):
        self.assertEqual(base_of(new_change_id(17)), 17)
        self.assertIsNone(base_of("ticket-4711"))
