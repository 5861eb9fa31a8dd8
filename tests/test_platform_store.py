"""Tests of the client of the platform's key-value service against its stand-in."""

import threading
import unittest

from bergamothill.clock import SystemClock
from bergamothill.connection.http import HttpClient
from bergamothill.connection.kvs import ABSENT
from bergamothill.errors import (
    ConflictError,
    LeaseLostError,
    OverloadedError,
    PeerTimeoutError,
    PeerUnreachableError,
    UnavailableError,
)
from bergamothill.platform.store import PlatformKeyValueService
from bergamothill.process.storefollower import StoreFollower
from standins.base import HOST, Handler, Server
from standins.platformstore import PlatformStoreStandIn
from tests.builders import WAIT_LIMIT_S, await_true


class StoreCase(unittest.TestCase):
    def setUp(self):
        self.standin = PlatformStoreStandIn()
        self.server = Server(HOST, 0, self.standin, Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.client = HttpClient("store", f"{HOST}:{self.server.server_port}")
        self.addCleanup(self.client.close)
        self.kvs = PlatformKeyValueService(self.client, timeout_ms=WAIT_LIMIT_S * 1_000)


class CallTest(StoreCase):
    def test_create_read_change_and_delete(self):
        written = self.kvs.put_if("a/1", b"\x00one", expected=ABSENT)
        self.assertEqual(b"\x00one", self.kvs.get("a/1").value)
        with self.assertRaises(ConflictError):
            self.kvs.put_if("a/1", b"two", expected=ABSENT)
        self.kvs.put_if("a/1", b"two", expected=written.mod_revision)
        with self.assertRaises(ConflictError):
            self.kvs.delete_if("a/1", expected=written.mod_revision)
        self.kvs.delete_if("a/1", expected=self.kvs.get("a/1").mod_revision)
        self.assertIsNone(self.kvs.get("a/1"))

    def test_a_scan_reads_all_pages(self):
        for number in range(8):
            self.kvs.put_if(f"a/{number}", b"x", expected=ABSENT)
        self.kvs.put_if("b/1", b"x", expected=ABSENT)
        keys = [entry.key for entry in self.kvs.scan("a/")]
        self.assertEqual([f"a/{number}" for number in range(8)], keys)

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

    def test_a_watch_returns_at_a_change_and_tells_of_lost_history(self):
        first = self.kvs.put_if("a/1", b"x", expected=ABSENT)
        found = []
        watch = threading.Thread(
            target=lambda: found.append(
                self.kvs.wait_change("a/", after=first.mod_revision, timeout_ms=5_000)
            )
        )
        watch.start()
        second = self.kvs.put_if("a/2", b"x", expected=ABSENT)
        watch.join(10)
        self.assertEqual([second.mod_revision], found)
        self.standin.faults.replace({"compacted": True})
        self.assertEqual(0, self.kvs.wait_change("a/", after=1, timeout_ms=100))

    def test_refusals_and_losses_are_told_apart(self):
        for fault, error in (
            ({"busy": True}, UnavailableError),
            ({"limited": True}, OverloadedError),
            ({"lose_reply": 9}, PeerTimeoutError),
            ({"silent": True}, PeerTimeoutError),
        ):
            with self.subTest(fault):
                self.standin.faults.replace(fault)
                # Only a service that says nothing has to be given up.
                kvs = PlatformKeyValueService(self.client, timeout_ms=400)
                kvs = kvs if "silent" in fault else self.kvs
                with self.assertRaises(error):
                    kvs.put_if("a/1", b"x", expected=ABSENT)
                self.standin.faults.replace({})

    def test_a_store_that_is_not_there(self):
        kvs = PlatformKeyValueService(HttpClient("store", f"{HOST}:1"))
        with self.assertRaises(PeerUnreachableError):
            kvs.get("a")


class FollowerTest(StoreCase):
    def follow(self):
        snapshots, links = [], []
        follower = StoreFollower(
            self.kvs, SystemClock(), "a/", on_snapshot=snapshots.append, on_link=links.append
        )
        follower.start()
        self.addCleanup(follower.stop)
        return snapshots, links

    def test_follows_changes(self):
        snapshots, _ = self.follow()
        await_true(lambda: snapshots)
        self.kvs.put_if("a/1", b"x", expected=ABSENT)
        await_true(lambda: snapshots[-1].entries)

    def test_tells_when_the_service_is_lost_and_back(self):
        _, links = self.follow()
        await_true(lambda: links == [True])
        self.standin.faults.replace({"busy": True})
        await_true(lambda: links == [True, False])
        self.standin.faults.replace({})
        await_true(lambda: links == [True, False, True])
