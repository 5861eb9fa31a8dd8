import unittest

from bergamothill.connection.store import StoredObject
from bergamothill.ids import Generation
from bergamothill.version.blockname import BlockName, brand_prefix, parse_listing
from bergamothill.version.blockstore import (
    BlockBounds,
    BlockRead,
    DeleteObject,
    DoubtReason,
    PutMarker,
    ReadRejected,
)
from bergamothill.version.blocksweep import BlockSweep
from tests.proof import proof_blocks
from tests.proof.harness import Proof, check_proof

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
    def test_listing_reads_what_was_named(self):
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

    def test_commit_record_that_landed_late_is_not_readable(self):
        late = committed(make_name(), age_ms=0, data_age_ms=BOUNDS.write_ms)
        self.assertFalse(listing(late).is_readable(BOUNDS.write_ms))
        on_time = committed(make_name(), age_ms=1, data_age_ms=BOUNDS.write_ms)
        self.assertTrue(listing(on_time).is_readable(BOUNDS.write_ms))

    def test_partly_visible_data_is_not_readable(self):
        commit, data = committed(make_name())
        partial = StoredObject(data.name, 9, data.age_ms)
        self.assertFalse(listing([commit, partial]).is_readable(BOUNDS.write_ms))

    def test_foreign_names_are_left_out(self):
        foreign = [StoredObject("kv/x", 0, 0), StoredObject("other/b/m/v/k/g/data", 0, 0)]
        self.assertEqual(parse_listing(foreign), ())


class BlockSweepTests(unittest.TestCase):
    def setUp(self):
        self.sweep = BlockSweep(BOUNDS)

    def plan(self, objects, *, warm_time_ms=HOUR_MS, now_ms=0):
        return self.sweep.plan(parse_listing(objects), lambda brand: warm_time_ms, now_ms)

    def test_deletion_takes_the_commit_record_first_and_the_marker_last(self):
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

    def test_young_copy_is_left_alone(self):
        self.assertEqual(self.plan(committed(make_name(), age_ms=1), warm_time_ms=0), ())

    def test_eviction_takes_the_end_of_the_least_used_prompt_first(self):
        objects = []
        for index, key in enumerate(("k0", "k1")):
            objects += committed(make_name(key=key), index=index)
        objects += committed(make_name(key="k2"), age_ms=60_000)
        steps = self.sweep.evict(parse_listing(objects), lambda brand: HOUR_MS, 20)
        self.assertEqual([step.name.key for step in steps], ["k1", "k0"])

    def test_refused_marker_hides_the_copy_by_its_commit_record(self):
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
    def test_no_freed_or_partly_written_block_is_used(self):
        check_proof(self, proof_blocks.PROOFS[0])

    def test_reader_without_a_second_look_is_found_out(self):
        check_proof(self, Proof("blocks", proof_blocks.UnlistedMachine), operations=100)

    def test_reader_without_a_digest_is_found_out(self):
        check_proof(self, Proof("blocks", proof_blocks.UndigestedMachine), operations=100)


class UnboundedRead(BlockRead):
    """Reader that does not mind how long it took."""

    def _is_late(self, now_ms):
        return False


class FrozenReaderReplay(unittest.TestCase):
    """Reader frozen in mid-read while its block is freed and an old state of the store returns."""

    def replay(self, read_class):
        machine = proof_blocks.BlockMachine()
        machine.set_up()
        machine.write_whole("k0")
        machine.advance(BOUNDS.write_ms)
        (found,) = machine._readable()
        reader = proof_blocks.Reader(read_class(found, machine.now_ms, BOUNDS), machine.now_ms)
        machine.readers.append(reader)
        machine._step_read(reader)
        machine.free_all(0, BOUNDS.retire_wait_ms, note=True, hold=False)
        machine._step_read(reader)
        machine.fail(proof_blocks.Fault.DIE_OLD, 0)
        machine._step_read(reader)
        return reader.effect

    def test_reader_past_its_bound_starts_over(self):
        self.assertEqual(self.replay(BlockRead), ReadRejected(DoubtReason.LATE))

    def test_reader_without_a_bound_uses_a_freed_block(self):
        with self.assertRaisesRegex(AssertionError, "after the block was freed"):
            self.replay(UnboundedRead)
