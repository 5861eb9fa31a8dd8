import random
import unittest
from unittest import mock

from bergamothill.clock import ManualClock, SystemClock
from bergamothill.connection.kvs_memory import MemoryKeyValueService
from bergamothill.connection.memorybus import MemoryNetwork
from bergamothill.errors import PeerUnreachableError, UnavailableError
from bergamothill.version.change import AddBrand, SetDefault
from bergamothill.version.follower import RefusalReason
from bergamothill.version.repair import RecoveryOrder, order_recovery
from bergamothill.version.revision import ConfigurationWriter
from bergamothill.version.watcher import ConfigurationWatcher

ACTIVATION_BOUND_MS = 6_000


class SwitchableKeyValueService(MemoryKeyValueService):
    """Key-value service that can be switched off, and that counts reads."""

    def __init__(self, clock):
        super().__init__(clock)
        self.down = False
        self.reads = 0

    def get(self, key):
        self._check_up()
        self.reads += 1
        return super().get(key)

    def wait_for_change(self, prefix, *, after, timeout_ms):
        self._check_up()
        return super().wait_for_change(prefix, after=after, timeout_ms=0)

    def _check_up(self):
        if self.down:
            raise PeerUnreachableError("down", step="kvs")


class WatcherTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.kvs = SwitchableKeyValueService(self.clock)
        self.network = MemoryNetwork()
        self.applied = {}
        self.buses = {}
        self.watchers = {}

    def add(self, entry, zone="a"):
        self.applied[entry] = []
        bus = self.buses[entry] = self.network.join(entry, zone)
        self.watchers[entry] = ConfigurationWatcher(
            self.kvs,
            bus,
            self.clock,
            entry,
            lambda configuration: self.applied[entry].append(configuration.revision),
            rng=random.Random(1),
        )
        return self.watchers[entry]

    def step(self, rounds=1):
        for _ in range(rounds):
            for watcher in self.watchers.values():
                watcher.poll_service()
                watcher.sync_with_peers()
            self.clock.advance_ms(1_000)

    def accept(self, value):
        return ConfigurationWriter(self.kvs, self.clock).submit(
            (SetDefault("warm_time_ms", value),)
        )

    def revisions(self):
        return {watcher.current().revision for watcher in self.watchers.values()}


class WatcherTests(WatcherTestCase):
    def test_two_entries_per_zone_watch_the_service(self):
        for number in range(6):
            self.add(f"a{number}", "a")
            self.add(f"b{number}", "b")
        holders = [entry for entry, w in self.watchers.items() if w.holds_watch()]
        self.assertEqual(sorted(holder[0] for holder in holders), ["a", "a", "b", "b"])

    def test_change_reaches_all_entries(self):
        for number in range(5):
            self.add(f"a{number}")
        self.accept(5)
        self.step(2)
        self.assertEqual(self.revisions(), {1})
        self.accept(6)
        self.step(2)
        self.assertEqual(self.revisions(), {2})
        self.assertEqual(self.applied["a0"], [1, 2])

    def test_entries_catch_up_after_lost_announcements(self):
        for number in range(5):
            self.add(f"a{number}")
        self.accept(5)
        self.step(2)
        self.accept(6)
        for bus in self.buses.values():
            bus.publish = lambda message, scope: None
        self.step(1)
        self.assertEqual(self.revisions(), {1, 2})
        for bus in self.buses.values():
            del bus.publish
        self.step(2)
        self.assertEqual(self.revisions(), {2})

    def test_empty_service_yields_the_empty_configuration(self):
        watcher = self.add("a0")
        self.step()
        self.assertEqual(watcher.current().revision, 0)
        self.assertEqual(self.applied["a0"], [0])

    def test_current_fails_before_the_first_configuration(self):
        self.kvs.down = True
        watcher = self.add("a0")
        self.step()
        with self.assertRaises(UnavailableError):
            watcher.current()
        self.assertIsNone(watcher.status().age_ms)

    def test_entry_started_during_an_outage_uses_a_peer_configuration(self):
        for number in range(3):
            self.add(f"a{number}")
        self.accept(5)
        self.step(2)
        self.kvs.down = True
        self.clock.advance_ms(60_000)
        late = self.add("a9")
        late.start_from_peers()
        self.assertEqual(late.current().revision, 1)
        self.assertGreaterEqual(late.status().age_ms, 60_000)
        self.assertFalse(late.status().kvs_reachable)

    def test_rolled_back_service_is_refused_and_repaired(self):
        watcher = self.add("a0")
        self.accept(5)
        old = self.kvs.snapshot()
        self.accept(6)
        self.step(2)
        self.kvs.restore(old)
        watcher.poll_service()
        self.assertEqual(watcher.current().defaults.warm_time_ms, 6)
        self.assertIs(watcher.status().reason, RefusalReason.ROLLED_BACK)
        self.step()
        self.assertIs(watcher.status().reason, RefusalReason.NONE)
        self.assertEqual(self.accept(7).revision, 3)
        self.step()
        self.assertEqual(watcher.current().defaults.warm_time_ms, 7)

    def test_emptied_service_is_repaired(self):
        watcher = self.add("a0")
        empty = self.kvs.snapshot()
        self.accept(5)
        self.step(2)
        self.kvs.restore(empty)
        self.step(2)
        self.assertEqual(watcher.status().reason, RefusalReason.NONE)
        snapshot = ConfigurationWriter(self.kvs, self.clock).read()
        self.assertEqual(snapshot.configuration.defaults.warm_time_ms, 5)

    def test_service_restored_at_the_last_seen_revision_is_repaired_in_time(self):
        self.add("a0")
        empty = self.kvs.snapshot()
        self.accept(5)
        first = self.kvs.snapshot()
        self.accept(6)
        self.step(2)
        self.kvs.restore(empty)
        self.step(2)
        self.assertEqual(first.revision, self.kvs.snapshot().revision)
        self.kvs.restore(first)
        self.step(ACTIVATION_BOUND_MS // 1_000)
        snapshot = ConfigurationWriter(self.kvs, self.clock).read()
        self.assertEqual(snapshot.configuration.defaults.warm_time_ms, 6)

    def test_diverged_service_is_refused_until_recovery_is_ordered(self):
        watcher = self.add("a0")
        self.accept(5)
        old = self.kvs.snapshot()
        self.accept(6)
        self.step(2)
        self.kvs.restore(old)
        for value in (7, 8, 9):
            self.accept(value)
        self.step()
        self.assertEqual(watcher.current().defaults.warm_time_ms, 6)
        self.assertIs(watcher.status().reason, RefusalReason.DIVERGED)
        writer = ConfigurationWriter(self.kvs, self.clock)
        order_recovery(self.kvs, RecoveryOrder(writer.read().head.lineage, "restored by mistake"))
        self.clock.advance_ms(30_000)
        self.step(2)
        self.assertEqual(writer.read().configuration.defaults.warm_time_ms, 6)
        self.assertIs(watcher.status().reason, RefusalReason.NONE)

    def test_refused_peer_head_is_not_requested_again(self):
        first, second = self.add("a0"), self.add("a1")
        self.accept(5)
        old = self.kvs.snapshot()
        self.network.cut("a0", "a1")
        self.accept(6)
        first.poll_service()
        self.kvs.restore(old)
        self.accept(7)
        self.accept(8)
        second.poll_service()
        self.network.heal()
        with mock.patch.object(
            self.buses["a0"], "request", wraps=self.buses["a0"].request
        ) as requests:
            for _ in range(5):
                second.sync_with_peers()
                first.sync_with_peers()
        self.assertEqual(first.current().defaults.warm_time_ms, 6)
        self.assertIs(first.status().reason, RefusalReason.DIVERGED)
        self.assertLessEqual(requests.call_count, 3)

    def test_entry_takes_over_the_watch_from_frozen_entries(self):
        for number in range(4):
            self.add(f"a{number}")
        self.accept(5)
        self.step(2)
        frozen = [entry for entry, w in self.watchers.items() if w.holds_watch()]
        # Membership has not detected the failure yet, so the frozen entries keep their rank.
        for bus in self.buses.values():
            bus.live_peers = lambda: ("a0", "a1", "a2", "a3")
        for entry in frozen:
            for other in self.buses:
                self.network.cut(entry, other)
            del self.watchers[entry]
        self.accept(6)
        self.step(6)
        self.assertEqual(self.revisions(), {2})

    def test_only_changed_buckets_are_fetched(self):
        self.add("a0")
        writer = ConfigurationWriter(self.kvs, self.clock)
        writer.submit(tuple(AddBrand(f"brand-{number}") for number in range(200)))
        self.step(2)
        writer.submit((AddBrand("acme"),))
        before = self.kvs.reads
        self.step()
        self.assertEqual(self.kvs.reads - before, 2)


class ThreadTests(unittest.TestCase):
    def test_threads_apply_a_change_and_stop(self):
        clock = SystemClock()
        kvs = MemoryKeyValueService(clock)
        network = MemoryNetwork()
        writer = ConfigurationWriter(kvs, clock)
        watchers = [
            ConfigurationWatcher(kvs, network.join(entry, "a"), clock, entry, lambda _: None)
            for entry in ("a0", "a1", "a2")
        ]
        for watcher in watchers:
            watcher.start()
        try:
            writer.submit((SetDefault("warm_time_ms", 5),))
            deadline_ms = clock.now_ms() + 6_000
            while clock.now_ms() < deadline_ms and not all(map(_has_first_revision, watchers)):
                clock.sleep_ms(20)
            self.assertTrue(all(map(_has_first_revision, watchers)))
        finally:
            for watcher in watchers:
                watcher.stop()


def _has_first_revision(watcher):
    return watcher.status().revision == 1
