"""Tests of the client of the platform's key-value service against its stand-in."""

import threading
import unittest

from bergamothill.clock import SystemClock
from bergamothill.connection.http import HttpClient
from bergamothill.connection.kvs import ABSENT, MAX_VALUE_BYTES
from bergamothill.errors import (
    ConflictError,
    InvalidRequestError,
    LeaseLostError,
    OverloadedError,
    PeerTimeoutError,
    PeerUnreachableError,
    ProtocolError,
    StoreRestoredError,
    UnavailableError,
)
from bergamothill.platform.kvs import PlatformKeyValueService
from bergamothill.process.prefixfollower import PrefixFollower, poll_interval_ms
from standins.base import HOST, Handler, Server
from standins.platformstore import PlatformStoreStandIn
from tests.builders import WAIT_LIMIT_S, await_true


class StoreTestCase(unittest.TestCase):
    def setUp(self):
        self.standin = PlatformStoreStandIn()
        self.server = Server(HOST, 0, self.standin, Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.client = HttpClient("store", f"{HOST}:{self.server.server_port}")
        self.addCleanup(self.client.close)
        self.kvs = PlatformKeyValueService(self.client, timeout_ms=WAIT_LIMIT_S * 1_000)


class CallTest(StoreTestCase):
    def test_create_read_update_and_delete(self):
        written = self.kvs.put_if("a/1", b"\x00one", expected=ABSENT)
        self.assertEqual(b"\x00one", self.kvs.get("a/1").value)
        with self.assertRaises(ConflictError):
            self.kvs.put_if("a/1", b"two", expected=ABSENT)
        self.kvs.put_if("a/1", b"two", expected=written.mod_revision)
        with self.assertRaises(ConflictError):
            self.kvs.delete_if("a/1", expected=written.mod_revision)
        self.kvs.delete_if("a/1", expected=self.kvs.get("a/1").mod_revision)
        self.assertIsNone(self.kvs.get("a/1"))

    def test_scan_reads_all_pages(self):
        for number in range(8):
            self.kvs.put_if(f"a/{number}", b"x", expected=ABSENT)
        self.kvs.put_if("b/1", b"x", expected=ABSENT)
        keys = [entry.key for entry in self.kvs.scan("a/")]
        self.assertEqual([f"a/{number}" for number in range(8)], keys)

    def test_changes_since_the_creation_of_a_key_are_read(self):
        self.kvs.put_if("a/0", b"before", expected=ABSENT)
        created = self.kvs.put_if("c", b"1", expected=ABSENT)
        self.kvs.put_if("a/1", b"x", expected=ABSENT)
        last = self.kvs.put_if("a/1", b"y", expected=self.kvs.get("a/1").mod_revision)
        self.kvs.put_if("c", b"2", expected=created.mod_revision)
        self.kvs.delete_if("a/1", expected=last.mod_revision)
        history = self.kvs.changes_since_creation("a/", "c")
        self.assertEqual(created.mod_revision, history.created_revision)
        changes = [(change.key, change.value) for change in history.changes]
        self.assertEqual([("a/1", b"x"), ("a/1", b"y"), ("a/1", None)], changes)

    def test_there_is_no_history_without_the_key_or_once_it_was_dropped(self):
        self.assertIsNone(self.kvs.changes_since_creation("a/", "c"))
        self.kvs.put_if("c", b"1", expected=ABSENT)
        self.standin.faults.replace({"compacted": True})
        self.assertIsNone(self.kvs.changes_since_creation("a/", "c"))

    def test_a_value_that_is_too_large_is_not_sent(self):
        with self.assertRaises(InvalidRequestError):
            self.kvs.put_if("a/1", b"x" * (MAX_VALUE_BYTES + 1), expected=ABSENT)
        self.assertIsNone(self.kvs.get("a/1"))

    def test_a_failed_delete_names_its_step(self):
        with self.assertRaises(ConflictError) as caught:
            self.kvs.delete_if("a/1", expected=7)
        self.assertEqual("kvs.delete", caught.exception.step)

    def test_leases(self):
        lease = self.kvs.grant_lease(60_000)
        self.kvs.put_if("a/1", b"x", expected=ABSENT, lease_id=lease)
        self.kvs.renew_lease(lease)
        self.kvs.revoke_lease(lease)
        self.assertIsNone(self.kvs.get("a/1"))
        with self.assertRaises(LeaseLostError):
            self.kvs.renew_lease(lease)
        with self.assertRaises(LeaseLostError):
            self.kvs.put_if("a/1", b"x", expected=ABSENT, lease_id="99")

    def test_watch_returns_on_change_and_reports_compacted_history(self):
        first = self.kvs.put_if("a/1", b"x", expected=ABSENT)
        revisions = []
        watcher = threading.Thread(
            target=lambda: revisions.append(
                self.kvs.wait_for_change("a/", after=first.mod_revision, timeout_ms=5_000)
            )
        )
        watcher.start()
        second = self.kvs.put_if("a/2", b"x", expected=ABSENT)
        watcher.join(10)
        self.assertEqual([second.mod_revision], revisions)
        self.standin.faults.replace({"compacted": True})
        self.assertEqual(0, self.kvs.wait_for_change("a/", after=1, timeout_ms=100))

    def test_faults_raise_distinct_errors(self):
        for fault, error in (
            ({"busy": True}, UnavailableError),
            ({"limited": True}, OverloadedError),
            ({"lose_reply": 9}, PeerTimeoutError),
            ({"silent": True}, PeerTimeoutError),
        ):
            with self.subTest(fault):
                self.standin.faults.replace(fault)
                # Only the silent service lets the call time out; the other faults end it early.
                kvs = PlatformKeyValueService(self.client, timeout_ms=400)
                kvs = kvs if "silent" in fault else self.kvs
                with self.assertRaises(error):
                    kvs.put_if("a/1", b"x", expected=ABSENT)
                self.standin.faults.replace({})

    def test_unreachable_store(self):
        kvs = PlatformKeyValueService(HttpClient("store", f"{HOST}:1"))
        with self.assertRaises(PeerUnreachableError):
            kvs.get("a")


class RestoreTest(StoreTestCase):
    """The service comes back from an older copy: revisions and leases are given out again."""

    def test_revisions_after_a_restoration_are_higher(self):
        copy = self.standin.service.snapshot()
        lost = self.kvs.put_if("a/1", b"x", expected=ABSENT)
        self.standin.restore(copy)
        self.assertIsNone(self.kvs.get("a/1"))
        again = self.kvs.put_if("a/1", b"x", expected=ABSENT)
        self.assertGreater(again.mod_revision, lost.mod_revision)
        self.assertEqual(again, self.kvs.get("a/1"))
        self.assertEqual((again,), self.kvs.scan("a/"))

    def test_a_revision_that_was_given_out_again_does_not_meet_a_condition(self):
        copy = self.standin.service.snapshot()
        lost = self.kvs.put_if("a/1", b"x", expected=ABSENT)
        self.standin.restore(copy)
        other = PlatformKeyValueService(self.client)
        other.put_if("a/1", b"of another writer", expected=ABSENT)
        self.kvs.get("a/1")
        with self.assertRaises(ConflictError):
            self.kvs.put_if("a/1", b"y", expected=lost.mod_revision)
        with self.assertRaises(ConflictError):
            self.kvs.delete_if("a/1", expected=lost.mod_revision)
        self.assertEqual(b"of another writer", self.kvs.get("a/1").value)

    def test_a_write_that_meets_a_restoration_underway_is_reported_as_unknown(self):
        copy = self.standin.service.snapshot()
        lease = self.kvs.grant_lease(60_000)
        self.standin.restore(copy)
        self.standin.service.grant_lease(60_000)
        with self.assertRaises((StoreRestoredError, LeaseLostError)):
            self.kvs.put_if("a/1", b"x", expected=ABSENT, lease_id=lease)

    def test_a_lease_number_that_was_given_out_again_is_not_renewed_or_ended(self):
        copy = self.standin.service.snapshot()
        lease = self.kvs.grant_lease(60_000)
        self.standin.restore(copy)
        other = PlatformKeyValueService(self.client)
        other.put_if("a/2", b"x", expected=ABSENT, lease_id=other.grant_lease(60_000))
        with self.assertRaises(LeaseLostError):
            self.kvs.renew_lease(lease)
        self.kvs.revoke_lease(lease)
        self.assertIsNotNone(other.get("a/2"))

    def test_an_era_that_rises_between_the_check_of_a_lease_and_the_call_is_noticed(self):
        copy = self.standin.service.snapshot()
        lease = self.kvs.grant_lease(60_000)
        other = PlatformKeyValueService(self.client)
        unqualify_lease = self.kvs.era.unqualify_lease

        def restore_after_the_check(lease_id, step):
            number = unqualify_lease(lease_id, step)
            self.standin.restore(copy)
            other.grant_lease(60_000)
            self.kvs.get("a/2")  # a call of another thread sees the new era
            return number

        self.kvs.era.unqualify_lease = restore_after_the_check
        with self.assertRaises(StoreRestoredError):
            self.kvs.put_if("a/1", b"x", expected=ABSENT, lease_id=lease)

    def test_a_late_reply_of_the_earlier_era_is_dropped(self):
        self.standin.restore(self.standin.service.snapshot())
        self.kvs.get("a/1")
        self.standin.faults.replace({"era_header": "1"})
        with self.assertRaises(StoreRestoredError):
            self.kvs.get("a/1")

    def test_a_malformed_era_is_a_protocol_error(self):
        for text in ("", "x", "-1", "99999"):
            self.standin.faults.replace({"era_header": text})
            with self.subTest(text), self.assertRaises(ProtocolError):
                self.kvs.get("a/1")

    def test_a_watch_from_a_lost_revision_reports_that_the_history_is_gone(self):
        copy = self.standin.service.snapshot()
        lost = self.kvs.put_if("a/1", b"x", expected=ABSENT)
        self.standin.restore(copy)
        # The first watch gets 410 from the service, the second is not sent.
        for _ in range(2):
            self.assertEqual(
                0, self.kvs.wait_for_change("a/", after=lost.mod_revision, timeout_ms=9)
            )


POLL_INTERVAL_MS = poll_interval_ms(2_000)


class FollowerTest(StoreTestCase):
    def test_two_reads_fit_into_the_time_in_which_a_change_must_be_known(self):
        for bound_ms in (1_000, 2_000, 3_000, 4_000):
            self.assertLess(2 * poll_interval_ms(bound_ms), bound_ms)
        self.assertEqual(900, poll_interval_ms(2_000))

    def follow(self):
        snapshots, link_states = [], []
        follower = PrefixFollower(
            self.kvs,
            SystemClock(),
            "a/",
            POLL_INTERVAL_MS,
            on_snapshot=snapshots.append,
            on_connection_change=link_states.append,
        )
        follower.start()
        self.addCleanup(follower.stop)
        return snapshots, link_states

    def test_follows_changes(self):
        snapshots, _ = self.follow()
        await_true(lambda: snapshots)
        self.kvs.put_if("a/1", b"x", expected=ABSENT)
        await_true(lambda: snapshots[-1].entries)

    def test_follows_a_service_that_was_restored(self):
        copy = self.standin.service.snapshot()
        for number in range(3):
            self.kvs.put_if(f"a/{number}", b"x", expected=ABSENT)
        snapshots, _ = self.follow()
        await_true(lambda: snapshots)
        self.standin.restore(copy)
        await_true(lambda: not snapshots[-1].entries)
        self.kvs.put_if("a/1", b"again", expected=ABSENT)
        await_true(lambda: snapshots[-1].entries)

    def test_reports_loss_and_recovery_of_the_service(self):
        _, link_states = self.follow()
        await_true(lambda: link_states == [True])
        self.standin.faults.replace({"busy": True})
        await_true(lambda: link_states == [True, False])
        self.standin.faults.replace({})
        await_true(lambda: link_states == [True, False, True])
