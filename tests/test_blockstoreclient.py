import unittest

from bergamothill.clock import ManualClock, SystemClock
from bergamothill.connection.engine import InferenceRun
from bergamothill.connection.memoryengine import MemoryModelEngine
from bergamothill.connection.memorystore import MemoryStoreInstance
from bergamothill.errors import PeerTimeoutError
from bergamothill.request.blockstoreclient import BlockStoreClient, ExportStatus
from bergamothill.request.storecalls import StoreEndpoint
from bergamothill.request.storedblockcache import STORED_BLOCK_TTL_MS
from bergamothill.version.block import chain_blocks

WARM_TIME_MS = 3_600_000
BLOCK_TOKENS = 64
MESSAGES = ({"role": "user", "content": "x" * 1_500},)


class FailingStore(MemoryStoreInstance):
    """Store whose methods named in ``failing`` raise an error."""

    failing = frozenset()

    def put(self, name, value):
        self.fail("put")
        super().put(name, value)

    def list(self, prefix):
        self.fail("list")
        return super().list(prefix)

    def fail(self, method):
        if method in self.failing:
            raise PeerTimeoutError("no answer", step=f"store.{method}", peer="s")


class KeptContextTests(unittest.TestCase):
    def setUp(self):
        # The block protocol uses a manual clock; waiting for threads uses real time.
        self.clock = ManualClock()
        self.stores = {name: FailingStore(self.clock, capacity_bytes=1 << 20) for name in "st"}
        endpoints = {
            name: StoreEndpoint(name, f"zone-{name}", f"{name}:1", store)
            for name, store in self.stores.items()
        }
        self.engines = [self.make_engine(), self.make_engine()]
        self.block_stores = BlockStoreClient(
            endpoints, "zone-s", self.clock, lambda brand: WARM_TIME_MS
        )
        self.addCleanup(self.block_stores.close)
        self.chain = chain_blocks("b", "m", "", "v1", MESSAGES, BLOCK_TOKENS)

    def make_engine(self):
        addresses = {f"{name}:1": store for name, store in self.stores.items()}
        return MemoryModelEngine("e", "m", ["v1"], stores=addresses)

    def run_on(self, engine, imported=()):
        run = InferenceRun(
            request_id="r",
            stream_id="s",
            brand="b",
            model="m",
            adapter="",
            weight_version="v1",
            messages=MESSAGES,
            block_keys=self.chain.keys,
            prompt_tokens=self.chain.prompt_tokens,
            max_tokens=4,
            deadline_ms=1_000,
            imported=imported,
        )
        engine.run(run, lambda event: None, idle_timeout_ms=1_000)
        return engine.records[-1]

    def export_all(self, zone="zone-s"):
        self.run_on(self.engines[0])
        indexes = range(len(self.chain.keys))
        return [
            self.block_stores.export(self.engines[0], self.chain, index, zone).status
            for index in indexes
        ]

    def run_calls_inline(self):
        """Run calls to stores synchronously."""
        self.block_stores.calls.submit = lambda endpoint, call: call(endpoint)

    def count_objects(self, end):
        return sum(item.name.endswith(end) for item in self.stores["s"].list(""))

    def restore(self, found):
        return self.block_stores.restore("e", self.engines[1], found, timeout_ms=5_000)

    def test_exported_prefix_is_restored_on_another_engine(self):
        statuses = self.export_all()
        self.assertEqual(set(statuses), {ExportStatus.COMMITTED})
        found = self.block_stores.lookup(self.chain)
        self.assertEqual([copy.block.key for copy in found], list(self.chain.keys))
        self.assertEqual({copy.zone for copy in found}, {"zone-s"})
        record = self.run_on(self.engines[1], self.restore(found))
        self.assertEqual(record.cached_blocks, len(self.chain.keys))
        self.assertTrue(record.intact)

    def test_second_export_writes_nothing(self):
        self.export_all()
        before = self.stores["s"].used_bytes
        self.assertEqual(set(self.export_all()), {ExportStatus.PRESENT})
        self.assertEqual(self.stores["s"].used_bytes, before)

    def test_block_lost_by_its_store_is_exported_again_after_a_while(self):
        self.export_all()
        for item in self.stores["s"].list(""):
            self.stores["s"].delete(item.name)
        self.assertEqual(set(self.export_all()), {ExportStatus.PRESENT})
        self.clock.advance_ms(STORED_BLOCK_TTL_MS)
        self.assertEqual(set(self.export_all()), {ExportStatus.COMMITTED})

    def test_another_brand_or_version_finds_nothing(self):
        self.export_all()
        for brand, version in (("c", "v1"), ("b", "v2")):
            chain = chain_blocks(brand, "m", "", version, MESSAGES, BLOCK_TOKENS)
            self.assertEqual(self.block_stores.lookup(chain), ())

    def test_store_in_another_zone_is_asked_too(self):
        self.export_all(zone="zone-t")
        found = self.block_stores.lookup(self.chain)
        self.assertEqual({copy.store for copy in found}, {"t"})

    def test_failing_store_is_a_miss_and_left_out_for_a_while(self):
        self.export_all()
        self.stores["s"].failing = {"list"}
        self.assertEqual(self.block_stores.lookup(self.chain), ())
        self.stores["s"].failing = frozenset()
        self.assertEqual(self.block_stores.lookup(self.chain), ())
        self.clock.advance_ms(2_001)
        self.assertEqual(len(self.block_stores.lookup(self.chain)), len(self.chain.keys))

    def test_deleted_block_shortens_the_prefix(self):
        self.export_all()
        found = self.block_stores.lookup(self.chain)
        self.stores["s"].delete(found[2].listing.commits[0].name)
        self.assertEqual(len(self.restore(found)), 2)

    def test_changed_bytes_are_rejected(self):
        self.export_all()
        found = self.block_stores.lookup(self.chain)
        name = found[0].listing.name.data
        self.stores["s"].put(name, b"x" * found[0].block.size_bytes)
        self.assertEqual(self.restore(found), ())

    def test_look_up_older_than_the_read_bound_is_rejected(self):
        self.export_all()
        found = self.block_stores.lookup(self.chain)
        self.clock.advance_ms(self.block_stores.bounds.read_ms)
        self.assertEqual(self.restore(found), ())

    def test_sweep_retires_waits_and_deletes_after_the_warm_time(self):
        self.export_all()
        count = len(self.chain.keys)
        self.clock.advance_ms(WARM_TIME_MS - 1)
        self.assertEqual(sum(report.retired for report in self.block_stores.sweep()), 0)
        self.clock.advance_ms(1)
        self.assertEqual(sum(report.retired for report in self.block_stores.sweep()), count)
        self.assertEqual(self.block_stores.lookup(self.chain), ())
        self.assertEqual(sum(report.deleted for report in self.block_stores.sweep()), 0)
        self.clock.advance_ms(self.block_stores.bounds.retire_wait_ms)
        self.assertEqual(sum(report.deleted for report in self.block_stores.sweep()), count)
        self.assertEqual(self.stores["s"].list(""), ())

    def test_use_renews_the_warm_time(self):
        self.export_all()
        self.clock.advance_ms(WARM_TIME_MS - 1)
        found = self.block_stores.lookup(self.chain)
        self.run_calls_inline()
        self.restore(found)
        self.clock.advance_ms(1)
        self.assertEqual(self.count_objects("/used"), len(self.chain.keys))
        self.assertEqual(sum(report.retired for report in self.block_stores.sweep()), 0)

    def test_full_store_retires_the_copies_with_least_warm_time_left(self):
        self.export_all()
        self.clock.advance_ms(self.block_stores.bounds.write_ms)
        self.stores["s"].capacity_bytes = self.stores["s"].used_bytes
        self.run_calls_inline()
        other = chain_blocks("b", "m", "", "v1", ({"role": "user", "content": "y" * 900},), 64)
        self.engines[0].cache.add_block(other.keys[0], "v1")
        outcome = self.block_stores.export(self.engines[0], other, 0, "zone-s")
        self.assertIs(outcome.status, ExportStatus.FULL)
        self.assertEqual(self.count_objects("/retired"), len(self.chain.keys))

    def test_orphan_of_a_dead_writer_is_removed(self):
        self.export_all()
        name = self.block_stores.lookup(self.chain)[0].listing
        self.stores["s"].delete(name.commits[0].name)
        for _ in range(2):
            self.clock.advance_ms(self.block_stores.bounds.orphan_ms)
            self.block_stores.sweep()
        self.assertNotIn(name.name.data, [item.name for item in self.stores["s"].list("")])


class WaitingTests(unittest.TestCase):
    def test_hung_store_costs_the_look_up_its_timeout_only(self):
        clock = SystemClock()
        hung = MemoryStoreInstance(clock)
        hung.list = lambda prefix: clock.sleep_ms(400) or ()
        endpoints = {"s": StoreEndpoint("s", "z", "s:1", hung)}
        kept = BlockStoreClient(endpoints, "z", clock, lambda brand: WARM_TIME_MS)
        self.addCleanup(kept.close)
        chain = chain_blocks("b", "m", "", "v1", MESSAGES, BLOCK_TOKENS)
        self.assertEqual(kept.lookup(chain, timeout_ms=20), ())
        self.assertFalse(kept.calls.is_available("s"))
