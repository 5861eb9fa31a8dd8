import unittest

from bergamothill.connection.store import StoredObject
from bergamothill.ids import Generation
from bergamothill.version.blockname import BlockName, brand_prefix, parse_listing
from bergamothill.version.blockstore import (
    AbortReason,
    BlockBounds,
    BlockRead,
    DataTransferred,
    DeleteObject,
    ListCopy,
    PutMarker,
    ReadConfirmed,
    ReadRejected,
)
from bergamothill.version.blocksweep import BlockSweep
from tests.proof import proof_blocks
from tests.proof.harness import check_proof

BOUNDS = BlockBounds()
HOUR_MS = 3_600_000


def make_name(generation="g1", *, brand="b", key="k"):
    return BlockName(brand, "m", "v", key, Generation(generation))


def committed(name, *, age_ms=HOUR_MS, index=0, data_age_ms=None, size_bytes=10):
    block = proof_blocks.describe(name, b"x" * size_bytes)
    return [
        StoredObject(name.commit(block, index), 0, age_ms),
        StoredObject(name.data, size_bytes, age_ms if data_age_ms is None else data_age_ms),
    ]


def listing(objects):
    return parse_listing(objects)[0]


class BlockNameTests(unittest.TestCase):
    def test_listing_parses_generated_names(self):
        name = make_name(brand="a/b c", key="../k")
        copy = listing(committed(name, index=3))
        self.assertEqual(copy.name, name)
        self.assertEqual(copy.block, proof_blocks.describe(name, b"x" * 10))
        self.assertEqual(copy.commits[0].index, 3)

    def test_brands_never_share_a_prefix(self):
        names = [make_name(brand=brand).data for brand in ("a", "a/m", "a.", "..", "a%2Fm")]
        for brand, own in zip(("a", "a/m", "a.", "..", "a%2Fm"), names, strict=True):
            found = [name for name in names if name.startswith(brand_prefix(brand))]
            self.assertEqual(found, [own])

    def test_no_part_of_a_name_is_a_relative_path(self):
        self.assertNotIn("..", make_name(brand="..").data.split("/"))

    def test_late_commit_record_is_not_readable(self):
        late = committed(make_name(), age_ms=0, data_age_ms=BOUNDS.write_ms)
        self.assertFalse(listing(late).is_readable(BOUNDS.write_ms))
        on_time = committed(make_name(), age_ms=1, data_age_ms=BOUNDS.write_ms)
        self.assertTrue(listing(on_time).is_readable(BOUNDS.write_ms))

    def test_partially_visible_data_is_not_readable(self):
        commit, data = committed(make_name())
        partial = StoredObject(data.name, 9, data.age_ms)
        self.assertFalse(listing([commit, partial]).is_readable(BOUNDS.write_ms))

    def test_unrelated_names_are_ignored(self):
        unrelated = [StoredObject("kv/x", 0, 0), StoredObject("other/b/m/v/k/g/data", 0, 0)]
        self.assertEqual(parse_listing(unrelated), ())


class BlockSweepTests(unittest.TestCase):
    def setUp(self):
        self.sweep = BlockSweep(BOUNDS)

    def plan(self, objects, *, warm_time_ms=HOUR_MS, now_ms=0):
        return self.sweep.plan(parse_listing(objects), lambda brand: warm_time_ms, now_ms)

    def test_deletion_starts_with_the_commit_record_and_ends_with_the_marker(self):
        name = make_name()
        marker = StoredObject(name.retired, 0, BOUNDS.retire_wait_ms)
        (step,) = self.plan([*committed(name), marker])
        deleted = [effect.object_name for effect in step.effects]
        commit_name = committed(name)[0].name
        self.assertEqual(deleted, [commit_name, name.data, name.retired])

    def test_second_copy_of_a_block_is_retired(self):
        objects = committed(make_name("g1"), age_ms=60_000)
        objects += committed(make_name("g2"), age_ms=60_000)
        (step,) = self.plan(objects)
        self.assertEqual(step.effects, (PutMarker(make_name("g2").retired),))

    def test_recent_copy_is_not_retired(self):
        self.assertEqual(self.plan(committed(make_name(), age_ms=1), warm_time_ms=0), ())

    def test_eviction_starts_at_the_end_of_the_least_recently_used_prompt(self):
        objects = []
        for index, key in enumerate(("k0", "k1")):
            objects += committed(make_name(key=key), index=index)
        objects += committed(make_name(key="k2"), age_ms=60_000)
        steps = self.sweep.evict(parse_listing(objects), lambda brand: HOUR_MS, 20)
        self.assertEqual([step.name.key for step in steps], ["k1", "k0"])

    def test_copy_is_retired_by_its_commit_record_when_the_marker_is_refused(self):
        name = make_name()
        objects = committed(name)
        (step,) = self.plan(objects)
        (deletion,) = self.sweep.marker_refused(step, 0)
        self.assertEqual(deletion, DeleteObject(objects[0].name))
        wait_ms = BOUNDS.retire_wait_ms
        self.assertEqual(self.plan(objects[1:], now_ms=wait_ms - 1), ())
        (step,) = self.plan(objects[1:], now_ms=wait_ms)
        self.assertEqual(step.effects, (DeleteObject(name.data),))


class BlockProofTests(unittest.TestCase):
    def test_freed_or_partially_written_block_is_never_used(self):
        check_proof(self, proof_blocks.PROOFS[0])


class ReadWithoutListing(BlockRead):
    """Reader that checks the digest but does not list the copy again."""

    def handle(self, event, now_ms):
        if isinstance(event, DataTransferred) and event.block == self._found.block:
            return ReadConfirmed(event.block.generation)
        return super().handle(event, now_ms)


class ReadWithoutDigestCheck(BlockRead):
    """Reader that lists the copy again but does not check the digest of the data."""

    def handle(self, event, now_ms):
        if isinstance(event, DataTransferred):
            return ListCopy(self._found.name)
        return super().handle(event, now_ms)


class ReadWithoutTimeBound(BlockRead):
    """Reader without a time bound."""

    def _is_late(self, now_ms):
        return False


class ReaderReplayTests(unittest.TestCase):
    """Replays failure sequences with the real reader and with readers that lack one check."""

    def setUp(self):
        self.machine = proof_blocks.BlockMachine()
        self.machine.set_up()

    def start_read(self, read_class):
        found = self.machine._readable()[0]
        now_ms = self.machine.now_ms
        reader = proof_blocks.Reader(read_class(found, now_ms, BOUNDS), now_ms)
        self.machine.readers.append(reader)
        return reader

    def finish_read(self, reader):
        while reader in self.machine.readers:
            self.machine._step_read(reader)
        return reader.effect

    def pause_read_while_block_is_freed(self, read_class, *, store_is_restored):
        reader = self.start_read(read_class)
        self.machine._step_read(reader)
        self.machine.free_all(0, BOUNDS.retire_wait_ms, note=True, hold=False)
        self.machine._step_read(reader)
        if store_is_restored:
            self.machine.fail(proof_blocks.Fault.DIE_OLD, 0)
        return self.finish_read(reader)

    def read_after_repeated_put(self, read_class):
        self.machine.fail(proof_blocks.Fault.REPEAT_PUT, 0)
        return self.finish_read(self.start_read(read_class))

    def test_reader_past_its_time_bound_rejects_the_copy(self):
        for store_is_restored in (False, True):
            effect = self.pause_read_while_block_is_freed(
                BlockRead, store_is_restored=store_is_restored
            )
            self.assertEqual(effect, ReadRejected(AbortReason.LATE))
            self.setUp()

    def test_reader_without_time_bound_uses_a_freed_block(self):
        with self.assertRaisesRegex(AssertionError, "after the block was freed"):
            self.pause_read_while_block_is_freed(ReadWithoutTimeBound, store_is_restored=True)

    def test_reader_without_second_listing_uses_a_freed_block(self):
        with self.assertRaisesRegex(AssertionError, "after the block was freed"):
            self.pause_read_while_block_is_freed(ReadWithoutListing, store_is_restored=False)

    def test_reader_compares_the_digest(self):
        effect = self.read_after_repeated_put(BlockRead)
        self.assertEqual(effect, ReadRejected(AbortReason.CHANGED))

    def test_reader_without_digest_check_uses_wrong_bytes(self):
        with self.assertRaisesRegex(AssertionError, "not the block's"):
            self.read_after_repeated_put(ReadWithoutDigestCheck)
