"""Tests of the key-value service: a contract for both implementations, and injected faults."""

import threading
import unittest

from bergamothill.clock import ManualClock, SystemClock
from bergamothill.connection.kvs import ABSENT, MAX_VALUE_BYTES
from bergamothill.connection.kvs_http import HttpKeyValueService
from bergamothill.connection.kvs_memory import MemoryKeyValueService
from bergamothill.errors import (
    ConflictError,
    InvalidRequestError,
    LeaseLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from scripts.processes import StandInProcess


class KeyValueContract:
    """Tests for every implementation; ``self.prefix`` is a key prefix that only the test uses."""

    def test_create_read_replace_delete(self):
        key = f"{self.prefix}a b/ü"
        created = self.kvs.put_if(key, b"\x00one", expected=ABSENT)
        self.assertEqual(created, self.kvs.get(key))
        replaced = self.kvs.put_if(key, b"two", expected=created.mod_revision)
        self.assertGreater(replaced.mod_revision, created.mod_revision)
        self.kvs.delete_if(key, expected=replaced.mod_revision)
        self.assertIsNone(self.kvs.get(key))

    def test_write_at_another_revision_changes_nothing(self):
        created = self.kvs.put_if(f"{self.prefix}k", b"one", expected=ABSENT)
        with self.assertRaises(ConflictError):
            self.kvs.put_if(created.key, b"two", expected=ABSENT)
        with self.assertRaises(ConflictError):
            self.kvs.delete_if(created.key, expected=created.mod_revision + 1)
        self.assertEqual(created, self.kvs.get(created.key))

    def test_scan_returns_keys_with_the_prefix_in_order(self):
        for name in ("b", "a", "c"):
            self.kvs.put_if(f"{self.prefix}list/{name}", name.encode(), expected=ABSENT)
        self.kvs.put_if(f"{self.prefix}other", b"", expected=ABSENT)
        found = self.kvs.scan(f"{self.prefix}list/")
        self.assertEqual([b"a", b"b", b"c"], [entry.value for entry in found])

    def test_end_of_lease_deletes_its_keys(self):
        lease_id = self.kvs.grant_lease(60_000)
        key = f"{self.prefix}leased"
        self.kvs.put_if(key, b"", expected=ABSENT, lease_id=lease_id)
        self.kvs.renew_lease(lease_id)
        self.kvs.revoke_lease(lease_id)
        self.kvs.revoke_lease(lease_id)
        self.assertIsNone(self.kvs.get(key))
        with self.assertRaises(LeaseLostError):
            self.kvs.renew_lease(lease_id)
        with self.assertRaises(LeaseLostError):
            self.kvs.put_if(key, b"", expected=ABSENT, lease_id=lease_id)

    def test_key_rewritten_without_its_lease_survives_the_lease(self):
        lease_id = self.kvs.grant_lease(60_000)
        entry = self.kvs.put_if(f"{self.prefix}k", b"", expected=ABSENT, lease_id=lease_id)
        self.kvs.put_if(entry.key, b"kept", expected=entry.mod_revision)
        self.kvs.revoke_lease(lease_id)
        self.assertEqual(b"kept", self.kvs.get(entry.key).value)

    def test_watch_reports_only_changes_with_its_prefix(self):
        entry = self.kvs.put_if(f"{self.prefix}seen", b"", expected=ABSENT)
        seen = self.kvs.wait_for_change(self.prefix, after=0, timeout_ms=0)
        self.kvs.put_if(f"elsewhere/{self.prefix}", b"", expected=ABSENT)
        self.assertEqual(seen, self.kvs.wait_for_change(self.prefix, after=seen, timeout_ms=20))
        self.kvs.delete_if(entry.key, expected=entry.mod_revision)
        self.assertGreater(self.kvs.wait_for_change(self.prefix, after=seen, timeout_ms=20), seen)

    def test_watch_returns_when_a_key_changes(self):
        seen = self.kvs.wait_for_change(self.prefix, after=0, timeout_ms=0)
        write = threading.Timer(
            0.05, self.kvs.put_if, [f"{self.prefix}k", b""], {"expected": ABSENT}
        )
        write.start()
        changed = self.kvs.wait_for_change(self.prefix, after=seen, timeout_ms=5_000)
        write.join()
        self.assertGreater(changed, seen)

    def test_value_above_the_size_limit_is_rejected(self):
        with self.assertRaises(InvalidRequestError):
            self.kvs.put_if(self.prefix, bytes(MAX_VALUE_BYTES + 1), expected=ABSENT)
        self.kvs.put_if(self.prefix, bytes(MAX_VALUE_BYTES), expected=ABSENT)
        self.assertEqual(MAX_VALUE_BYTES, len(self.kvs.get(self.prefix).value))


class MemoryKeyValueServiceTest(KeyValueContract, unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.kvs = MemoryKeyValueService(self.clock)
        self.prefix = "test/"

    def test_lease_expires_without_renewal(self):
        lease_id = self.kvs.grant_lease(100)
        self.kvs.put_if("k", b"", expected=ABSENT, lease_id=lease_id)
        self.clock.advance_ms(99)
        self.kvs.renew_lease(lease_id)
        self.clock.advance_ms(99)
        self.assertIsNotNone(self.kvs.get("k"))
        self.clock.advance_ms(1)
        self.assertIsNone(self.kvs.get("k"))

    def test_watch_returns_when_a_lease_expires(self):
        kvs = MemoryKeyValueService(SystemClock())
        entry = kvs.put_if("k", b"", expected=ABSENT, lease_id=kvs.grant_lease(30))
        changed = kvs.wait_for_change("k", after=entry.mod_revision, timeout_ms=5_000)
        self.assertGreater(changed, entry.mod_revision)

    def test_restore_returns_to_the_old_revision(self):
        self.kvs.put_if("leased", b"", expected=ABSENT, lease_id=self.kvs.grant_lease(100))
        old = self.kvs.snapshot()
        entry = self.kvs.put_if("k", b"", expected=ABSENT)
        self.kvs.restore(old)
        self.assertIsNone(self.kvs.get("k"))
        self.assertIsNotNone(self.kvs.get("leased"))
        seen = self.kvs.wait_for_change("k", after=entry.mod_revision, timeout_ms=1_000)
        self.assertLess(seen, entry.mod_revision)
        self.clock.advance_ms(100)
        self.assertIsNone(self.kvs.get("leased"))


class HttpKeyValueServiceTest(KeyValueContract, unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.standin = StandInProcess("kvs")
        cls.addClassCleanup(cls.standin.stop)
        cls.kvs = HttpKeyValueService(cls.standin.client)

    def setUp(self):
        self.prefix = f"{self.id()}/"
        self.addCleanup(self.standin.set_faults)

    def test_write_with_a_lost_reply_takes_effect(self):
        self.standin.set_faults(path="/v1", lose_reply=1)
        with self.assertRaises(PeerTimeoutError):
            self.kvs.put_if(self.prefix, b"one", expected=ABSENT)
        self.assertEqual(b"one", self.kvs.get(self.prefix).value)

    def test_delayed_write_takes_effect_after_a_read(self):
        self.standin.set_faults(path="/v1", late_writes=1, late_effect_ms=100)
        with self.assertRaises(PeerTimeoutError):
            self.kvs.put_if(self.prefix, b"late", expected=ABSENT)
        seen = self.kvs.wait_for_change(self.prefix, after=0, timeout_ms=0)
        self.assertIsNone(self.kvs.get(self.prefix))
        self.assertGreater(
            self.kvs.wait_for_change(self.prefix, after=seen, timeout_ms=5_000), seen
        )
        self.assertEqual(b"late", self.kvs.get(self.prefix).value)

    def test_write_during_an_outage_has_no_effect(self):
        self.standin.set_faults(path="/v1", outage=True)
        with self.assertRaises(PeerTimeoutError):
            self.kvs.put_if(self.prefix, b"", expected=ABSENT)
        self.standin.set_faults()
        self.assertIsNone(self.kvs.get(self.prefix))

    def test_restore_returns_to_the_snapshot(self):
        self.standin.json("POST", "/snapshot")
        self.kvs.put_if(self.prefix, b"", expected=ABSENT)
        self.standin.json("POST", "/restore")
        self.assertIsNone(self.kvs.get(self.prefix))

    def test_calls_are_counted(self):
        before = self.standin.json("GET", "/stats")
        self.kvs.get(self.prefix)
        after = self.standin.json("GET", "/stats")
        self.assertEqual(before.get("get", 0) + 1, after["get"])

    def test_refused_connection_raises_peer_unreachable(self):
        stopped = StandInProcess("kvs")
        stopped.stop()
        with self.assertRaises(PeerUnreachableError):
            HttpKeyValueService(stopped.client).put_if("k", b"", expected=ABSENT)
