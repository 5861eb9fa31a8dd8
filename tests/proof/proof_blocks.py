"""Proof that no run uses a freed or partly written block, on a store with minimal guarantees."""

import hashlib
from enum import Enum

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from bergamothill.connection.engine import BlockRef
from bergamothill.ids import BrandName, Generation, ModelName, WeightVersion
from bergamothill.version.blockname import ROOT, BlockName, parse_listing
from bergamothill.version.blockstore import (
    BlockBounds,
    BlockRead,
    BlockWrite,
    DataTransferred,
    DeleteObject,
    ExportData,
    ImportData,
    ListCopy,
    Listed,
    MarkerPut,
    PutMarker,
    ReadConfirmed,
    ReadRejected,
    StepFailed,
)
from bergamothill.version.blocksweep import BlockSweep
from tests.proof.harness import Proof, ProofMachine
from tests.proof.leaststore import MinimalStore

BOUNDS = BlockBounds()
WARM_TIME_MS = 150_000
HALF_BYTES = 4
KEYS = ("k0", "k1")
MORE_THAN_STORED_BYTES = 1 << 20
MAX_ACTORS = 3
PICK = st.integers(0, MAX_ACTORS - 1)
ADVANCES_MS = (1, 1_000, 5_000, 19_999, 31_000, 61_000)


class Fault(Enum):
    KILL_WRITER = "kill writer"
    KILL_SWEEPER = "kill sweeper"
    FULL = "store takes no more"
    ROOM = "store has room again"
    SNAPSHOT = "store notes its state"
    REPEAT_PUT = "second, delayed delivery of a put shows its full length and half of its bytes"
    DIE_EMPTY = "store dies and returns empty"
    DIE_OLD = "store dies and returns with the noted state"


FAULTS = (*Fault, Fault.DIE_OLD, Fault.REPEAT_PUT, Fault.REPEAT_PUT)


def content_of(key):
    return hashlib.sha256(key.encode()).digest()[: 2 * HALF_BYTES]


def describe(name, content):
    digest = hashlib.sha256(content).hexdigest()
    return BlockRef(name.key, name.generation, len(content), digest, 2_048)


class TrustingRead(BlockRead):
    """Test double that trusts its look-up: no check after the last byte."""

    def handle(self, event, now_ms):
        if isinstance(event, DataTransferred):
            return ReadConfirmed(event.block.generation)
        return super().handle(event, now_ms)


class Writer:
    def __init__(self, name, now_ms):
        self.name = name
        self.machine = BlockWrite(name, 0, BOUNDS)
        self.effect = self.machine.start(now_ms)
        self.slot = None


class Reader:
    def __init__(self, machine, now_ms):
        self.machine = machine
        self.effect = machine.start(now_ms)
        self.slot = None
        self.bytes_read = b""
        self.has_read_freed_slot = False
        self.deletions = 0


class Sweeper:
    def __init__(self):
        self.machine = BlockSweep(BOUNDS)
        self.queue = []


class BlockMachine(ProofMachine):
    """Writers, readers and sweepers of one store, interleaved step by step."""

    @initialize()
    def set_up(self):
        self.store = MinimalStore()
        self.now_ms = 1_000_000
        self.generation_count = 0
        self.writers = []
        self.readers = []
        self.sweepers = [Sweeper(), Sweeper()]
        self.delayed_puts = []
        self.write_all()

    # Writers.

    @rule(key=st.sampled_from(KEYS))
    def start_write(self, key):
        self.operation()
        self.generation_count += 1
        generation = Generation(f"g{self.generation_count}")
        name = BlockName(BrandName("b"), ModelName("m"), WeightVersion("v"), key, generation)
        self.writers = [*self.writers[-MAX_ACTORS + 1 :], Writer(name, self.now_ms)]

    @rule()
    def write_all(self):
        for key in KEYS:
            self.write_whole(key, BOUNDS.write_ms)

    @rule(key=st.sampled_from(KEYS), wait_ms=st.sampled_from((1, BOUNDS.write_ms)))
    def write_whole(self, key, wait_ms):
        self.start_write(key)
        writer = self.writers[-1]
        while writer in self.writers:
            self._step_write(writer)
        self.now_ms += wait_ms

    @precondition(lambda self: self.writers)
    @rule(pick=PICK)
    def step_write(self, pick):
        self.operation()
        self._step_write(self.writers[pick % len(self.writers)])

    @precondition(lambda self: self.writers)
    @rule(pick=PICK, lands=st.booleans())
    def lose_reply_of_write(self, pick, lands):
        """Lose the reply of a write; its put takes effect now or later, data possibly in part."""
        self.fault()
        writer = self.writers[pick % len(self.writers)]
        effect = writer.effect
        if isinstance(effect, PutMarker):
            self._lose_put_reply(effect.object_name, lands)
        elif isinstance(effect, ExportData):
            self._write_data(writer, content_of(writer.name.key)[:HALF_BYTES])
            if lands:
                self.delayed_puts.append((writer.name.data, content_of(writer.name.key)))
        self._feed_writer(writer, StepFailed())

    def _step_write(self, writer):
        effect = writer.effect
        if isinstance(effect, ExportData):
            self._export(writer)
        elif isinstance(effect, ListCopy):
            self._feed_writer(writer, Listed(self._listing(writer.name)))
        else:
            put = self.store.put(effect.object_name, b"", self.now_ms)
            self._feed_writer(writer, MarkerPut() if put else StepFailed())

    def _export(self, writer):
        content = content_of(writer.name.key)
        if writer.slot is None:
            self._write_data(writer, content[:HALF_BYTES])
            if writer.slot is None:
                self._feed_writer(writer, StepFailed())
            return
        self._write_data(writer, content)
        self._feed_writer(writer, DataTransferred(describe(writer.name, content)))

    def _write_data(self, writer, content):
        if writer.slot is None and not self.store.full:
            writer.slot = self.store.create(writer.name.data, self.now_ms)
        if writer.slot is not None:
            self.store.write(writer.slot, writer.name.data, content, self.now_ms)

    def _feed_writer(self, writer, event):
        writer.effect = writer.machine.handle(event, self.now_ms)
        if not isinstance(writer.effect, ExportData | ListCopy | PutMarker):
            self.writers.remove(writer)

    # Readers.

    @precondition(lambda self: self._readable())
    @rule(pick=PICK, half=st.booleans())
    def start_read(self, pick, half):
        """Start a read; with ``half``, also run its first step and leave it there."""
        self.operation()
        found = self._readable()
        read_class = BlockRead if self.mechanism_enabled else TrustingRead
        machine = read_class(found[pick % len(found)], self.now_ms, BOUNDS)
        reader = Reader(machine, self.now_ms)
        self.readers = [*self.readers[-MAX_ACTORS + 1 :], reader]
        if half:
            self._step_read(reader)

    @precondition(lambda self: self._readable())
    @rule(pick=PICK)
    def read_whole(self, pick):
        self.start_read(pick, half=False)
        reader = self.readers[-1]
        while reader in self.readers:
            self._step_read(reader)

    def _readable(self):
        listed = parse_listing(self.store.list(ROOT, self.now_ms))
        return [copy for copy in listed if copy.is_readable(BOUNDS.write_ms)]

    @precondition(lambda self: self.readers)
    @rule(pick=PICK)
    def step_read(self, pick):
        self.operation()
        self._step_read(self.readers[pick % len(self.readers)])

    def _step_read(self, reader):
        effect = reader.effect
        if isinstance(effect, ImportData):
            self._import(reader, effect)
        elif isinstance(effect, ListCopy):
            self._feed_reader(reader, Listed(self._listing(effect.name)))

    def _import(self, reader, effect):
        """Read half of the data from the slot that the name referred to at the start.

        After a restart of the store the slot is looked up by name again.
        """
        if reader.slot is None or reader.slot.lost:
            reader.slot = self.store.objects.get(effect.name.data)
            if reader.slot is None:
                self._feed_reader(reader, StepFailed())
                return
            reader.deletions = reader.slot.deletions
        start = len(reader.bytes_read)
        chunk = reader.slot.content[start : start + HALF_BYTES]
        reader.bytes_read += chunk
        reader.has_read_freed_slot |= reader.slot.deletions != reader.deletions
        if len(chunk) < HALF_BYTES or len(reader.bytes_read) == 2 * HALF_BYTES:
            block = describe(effect.name, reader.bytes_read)
            self._feed_reader(reader, DataTransferred(block))

    def _feed_reader(self, reader, event):
        reader.effect = reader.machine.handle(event, self.now_ms)
        if isinstance(reader.effect, ReadConfirmed):
            self._check_use(reader)
        if isinstance(reader.effect, ReadConfirmed | ReadRejected):
            self.readers.remove(reader)

    def _check_use(self, reader):
        """Check that the data a run is about to use was complete and its own at the last byte."""
        key = reader.machine._found.name.key
        assert reader.bytes_read == content_of(key), "a run uses bytes that are not the block's"
        assert not reader.has_read_freed_slot, (
            "a run uses bytes that were read after the block was freed"
        )

    # Sweepers.

    @rule(pick=st.integers(0, 1), evict=st.booleans())
    def plan_sweep(self, pick, evict):
        self.operation()
        self._plan_sweep(self.sweepers[pick], evict)

    @precondition(lambda self: any(sweeper.queue for sweeper in self.sweepers))
    @rule(pick=st.integers(0, 1), count=st.integers(1, 4))
    def step_sweep(self, pick, count):
        self.operation()
        for _ in range(count):
            self._step_sweep(self.sweepers[pick])

    @rule(
        pick=st.integers(0, 1),
        wait_ms=st.sampled_from((1, 19_999, BOUNDS.retire_wait_ms)),
        note=st.booleans(),
        hold=st.booleans(),
    )
    def free_all(self, pick, wait_ms, note, hold):
        """Evict and delete all blocks that may be, while reads are open.

        :param note: take a snapshot of the store first
        :param hold: freeze the sweeper before its deletions
        """
        self.operation()
        self.now_ms += BOUNDS.write_ms if note else 0
        if note:
            self.store.take_snapshot()
        sweeper = self.sweepers[pick]
        self._plan_sweep(sweeper, evict=True, needed_bytes=MORE_THAN_STORED_BYTES)
        while sweeper.queue:
            self._step_sweep(sweeper)
        self.now_ms += wait_ms
        self._plan_sweep(sweeper, evict=False)
        while sweeper.queue and not hold:
            self._step_sweep(sweeper)

    def _plan_sweep(self, sweeper, evict, needed_bytes=2 * HALF_BYTES):
        copies = parse_listing(self.store.list(ROOT, self.now_ms))
        if evict:
            steps = sweeper.machine.evict(copies, self._warm_time_ms, needed_bytes)
        else:
            steps = sweeper.machine.plan(copies, self._warm_time_ms, self.now_ms)
        sweeper.queue = [(step, list(step.effects)) for step in steps]

    @precondition(lambda self: any(sweeper.queue for sweeper in self.sweepers))
    @rule(pick=st.integers(0, 1), lands=st.booleans())
    def lose_reply_of_sweep(self, pick, lands):
        self.fault()
        queue = self.sweepers[pick].queue
        if queue:
            _, effects = queue.pop(0)
            if isinstance(effects[0], PutMarker):
                self._lose_put_reply(effects[0].object_name, lands)
            elif lands:
                self.store.delete(effects[0].object_name)

    def _step_sweep(self, sweeper):
        if not sweeper.queue:
            return
        step, effects = sweeper.queue[0]
        effect = effects.pop(0)
        if isinstance(effect, DeleteObject):
            self.store.delete(effect.object_name)
        elif not self.store.put(effect.object_name, b"", self.now_ms):
            effects[:0] = sweeper.machine.marker_refused(step, self.now_ms)
        if not effects:
            sweeper.queue.pop(0)

    @staticmethod
    def _warm_time_ms(brand):
        return WARM_TIME_MS

    # Store and time.

    @rule(wait_ms=st.sampled_from(ADVANCES_MS))
    def advance(self, wait_ms):
        self.operation()
        self.now_ms += wait_ms

    @rule(kind=st.sampled_from(FAULTS), pick=PICK)
    def fail(self, kind, pick):
        self.fault()
        if kind is Fault.KILL_WRITER and self.writers:
            self.writers.pop(pick % len(self.writers))
        elif kind is Fault.KILL_SWEEPER:
            self.sweepers[pick % 2] = Sweeper()
        elif kind in (Fault.FULL, Fault.ROOM):
            self.store.full = kind is Fault.FULL
        elif kind is Fault.SNAPSHOT:
            self.store.take_snapshot()
        elif kind is Fault.REPEAT_PUT:
            self._repeat_put(pick)
        elif kind in (Fault.DIE_EMPTY, Fault.DIE_OLD):
            self.store.restart(keep_snapshot=kind is Fault.DIE_OLD)

    def _repeat_put(self, pick):
        names = [name for name in self.store.objects if name.endswith("/data")]
        if names:
            name = names[pick % len(names)]
            content = self.store.objects[name].content[:HALF_BYTES]
            self.store.put(name, content.ljust(2 * HALF_BYTES, b"?"), self.now_ms)

    @precondition(lambda self: self.delayed_puts)
    @rule(pick=PICK)
    def land_late_put(self, pick):
        self.fault()
        name, content = self.delayed_puts.pop(pick % len(self.delayed_puts))
        self.store.put(name, content, self.now_ms)

    def _lose_put_reply(self, name, lands):
        if lands:
            self.store.put(name, b"", self.now_ms)
        else:
            self.delayed_puts.append((name, b""))

    def _listing(self, name):
        listed = parse_listing(self.store.list(name.prefix, self.now_ms))
        return listed[0] if listed else None


PROOFS = (Proof(slug="blocks", machine=BlockMachine),)
