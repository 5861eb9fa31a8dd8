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


class ConfigurationProofTests(unittest.TestCase):
    def test_configuration_proof(self):
        check_proof(self, PROOFS[0], operations=1_000)

    def test_proof_fails_without_each_safeguard(self):
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
        self.lose_replies = 0
        self.delay_writes = 0
        self.delayed_writes = []
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
        if self.delay_writes:
            self.delay_writes -= 1
            self.delayed_writes.append((value, expected))
            raise PeerTimeoutError("late", step="kvs.put")
        entry = super().put_if(key, value, expected=expected)
        if self.lose_replies:
            self.lose_replies -= 1
            raise PeerTimeoutError("lost", step="kvs.put")
        return entry

    def apply_delayed_writes(self):
        applied = 0
        for value, expected in self.delayed_writes:
            try:
                super().put_if(HEAD_KEY, value, expected=expected)
                applied += 1
            except ConflictError:
                pass
        self.delayed_writes.clear()
        return applied


class WriterTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.kvs = FaultyKeyValueService(self.clock)
        self.writer = self.create_writer()

    def create_writer(self):
        return ConfigurationWriter(self.kvs, self.clock)

    def set_warm_time(self, value, **options):
        return self.writer.submit((SetDefault("warm_time_ms", value),), **options)

    def value(self):
        return self.writer.read().configuration.defaults.warm_time_ms

    def test_revisions_are_consecutive(self):
        self.assertEqual(self.set_warm_time(1).revision, 1)
        self.assertEqual(self.set_warm_time(2).revision, 2)
        self.assertEqual(self.value(), 2)
        self.assertEqual([change.revision for change in self.writer.history(5)], [2, 1])

    def test_racing_changes_to_different_items_both_succeed(self):
        self.kvs.before_put = lambda: self.create_writer().submit((AddBrand("acme"),))
        self.assertEqual(self.set_warm_time(5).revision, 2)
        configuration = self.create_writer().read().configuration
        self.assertIn("acme", configuration.brands)
        self.assertEqual(configuration.defaults.warm_time_ms, 5)

    def test_conflict_error_names_the_accepted_change(self):
        conflicting = (SetDefault("warm_time_ms", 9),)
        self.kvs.before_put = lambda: self.create_writer().submit(conflicting)
        with self.assertRaisesRegex(ChangeConflictError, "set_default warm_time_ms 9") as caught:
            self.set_warm_time(5)
        self.assertEqual(caught.exception.conflicting_change.revision, 1)
        self.assertEqual(self.value(), 9)

    def test_lost_reply_is_resolved(self):
        self.kvs.lose_replies = 1
        accepted = self.set_warm_time(5)
        self.assertEqual((accepted.revision, accepted.repeated), (1, True))

    def test_delayed_write_is_not_applied_twice(self):
        self.kvs.delay_writes = 2
        self.assertEqual(self.set_warm_time(5).revision, 1)
        self.assertEqual(self.kvs.apply_delayed_writes(), 0)
        self.assertEqual(self.writer.read().head.revision, 1)

    def test_unknown_outcome_is_resolved_by_resubmitting_the_id(self):
        change_id = new_change_id(0)
        self.kvs.delay_writes = 1_000
        with self.assertRaisesRegex(PeerTimeoutError, change_id) as caught:
            self.set_warm_time(5, change_id=change_id)
        self.assertIs(caught.exception.execution, Execution.UNKNOWN)
        self.assertEqual(self.kvs.apply_delayed_writes(), 1)
        self.kvs.delay_writes = 0
        self.assertEqual(self.set_warm_time(5, change_id=change_id).revision, 1)
        self.assertEqual(self.writer.read().head.revision, 1)

    def test_late_retry_does_not_revert_a_newer_change(self):
        change_id = new_change_id(0)
        self.set_warm_time(5, change_id=change_id)
        self.set_warm_time(6)
        retried = self.set_warm_time(5, change_id=change_id)
        self.assertEqual((retried.revision, retried.repeated), (1, True))
        self.assertEqual([change.revision for change in retried.superseded_by], [2])
        self.assertEqual(self.value(), 6)

    def test_change_id_cannot_be_reused(self):
        self.set_warm_time(5, change_id="mine")
        with self.assertRaisesRegex(ConflictError, "already used for another change"):
            self.set_warm_time(6, change_id="mine")

    def test_stale_base_is_a_conflict(self):
        self.set_warm_time(5)
        self.set_warm_time(6)
        with self.assertRaises(ChangeConflictError):
            self.set_warm_time(7, base=1)
        self.assertEqual(self.set_warm_time(7, base=2).revision, 3)

    def test_unreachable_service_means_not_run(self):
        self.kvs.down = True
        with self.assertRaises(PeerUnreachableError) as caught:
            self.set_warm_time(5)
        self.assertIs(caught.exception.execution, Execution.NOT_RUN)

    def test_outcome_stays_unknown_when_a_retry_does_not_reach_the_service(self):
        change_id = new_change_id(0)
        self.kvs.delay_writes = 1_000
        with self.assertRaises(PeerTimeoutError):
            self.set_warm_time(5, change_id=change_id, is_retry=False)
        self.kvs.apply_delayed_writes()
        self.kvs.down = True
        with self.assertRaises(PeerTimeoutError) as caught:
            self.set_warm_time(5, change_id=change_id)
        self.assertIs(caught.exception.execution, Execution.UNKNOWN)

    def test_refused_change_writes_no_content(self):
        self.set_warm_time(5)
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

    def test_changes_on_history_pages_are_found(self):
        with (
            mock.patch.object(submission, "RECENT_MAX", 6),
            mock.patch.object(submission, "PAGE_CHANGES", 3),
            mock.patch.object(submission, "RETIRED_MAX", 2),
        ):
            change_id = new_change_id(0)
            self.set_warm_time(1, change_id=change_id)
            for value in range(2, 20):
                self.set_warm_time(value)
            head = self.writer.read().head
            self.assertLessEqual(len(head.recent), 6)
            self.assertEqual(len(self.writer.history(100)), 19)
            retried = self.set_warm_time(1, change_id=change_id)
        self.assertEqual(retried.revision, 1)
        self.assertEqual(len(retried.superseded_by), 18)
        pages = 5
        self.assertEqual(len(self.kvs.scan(CONTENT_PREFIX)), pages + 1 + 2)

    def test_base_newer_than_the_service_is_refused(self):
        old = self.kvs.snapshot()
        self.set_warm_time(5)
        self.kvs.restore(old)
        with self.assertRaises(StaleConfigurationError):
            self.set_warm_time(6, change_id=new_change_id(1))
        self.assertEqual(self.writer.read().head.revision, 0)

    def test_change_id_contains_its_base(self):
        self.assertEqual(base_of(new_change_id(17)), 17)
        self.assertIsNone(base_of("ticket-4711"))
