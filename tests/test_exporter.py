import unittest
from concurrent.futures import Executor, Future

from bergamothill.clock import ManualClock
from bergamothill.connection.memoryengine import MemoryModelEngine
from bergamothill.errors import PeerTimeoutError
from bergamothill.request.blockstoreclient import ExportOutcome, ExportStatus
from bergamothill.request.exporter import Exporter, ExportSource
from bergamothill.version.block import chain_blocks

WARM_TIME_MS = 60_000
MESSAGES = ({"role": "user", "content": "x" * 1_500},)


class InlineExecutor(Executor):
    def submit(self, fn, *args):
        future = Future()
        future.set_result(fn(*args))
        return future


class RecordingBlockStoreClient:
    """Fake that records the exported indexes, and fails at index ``fails_at``."""

    def __init__(self):
        self.indexes = []
        self.fails_at = None

    def export(self, engine, chain, index, zone):
        self.indexes.append(index)
        if index == self.fails_at:
            raise PeerTimeoutError("no answer", step="store.list", peer="s")
        return ExportOutcome(chain.keys[index], ExportStatus.COMMITTED)


class ExporterTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.block_stores = RecordingBlockStoreClient()
        self.is_idle = True
        self.exporter = Exporter(
            self.clock,
            self.block_stores,
            lambda server: self.is_idle,
            lambda chain, index: 1_000,
            lambda brand: WARM_TIME_MS,
            InlineExecutor(),
        )
        self.chain = chain_blocks("b", "m", "", "v1", MESSAGES, 64)
        self.source = ExportSource("e1", "zone-a", MemoryModelEngine("e1", "m", ["v1"]))

    def test_prefix_goes_first_and_stored_blocks_are_left_out(self):
        self.exporter.enqueue(self.source, self.chain, 2)
        self.exporter.step()
        self.assertEqual(list(range(2, len(self.chain.keys))), self.block_stores.indexes)

    def test_busy_link_is_left_alone_until_patience_ends(self):
        self.is_idle = False
        self.exporter.enqueue(self.source, self.chain, 0)
        self.exporter.step()
        self.assertEqual([], self.block_stores.indexes)
        self.clock.advance_ms(31_000)
        self.exporter.step()
        self.assertEqual(len(self.chain.keys), len(self.block_stores.indexes))

    def test_failed_export_does_not_stop_the_next(self):
        self.block_stores.fails_at = 1
        self.exporter.enqueue(self.source, self.chain, 0)
        self.exporter.step()
        self.assertEqual(len(self.chain.keys), len(self.block_stores.indexes))

    def test_expired_blocks_are_forgotten(self):
        self.is_idle = False
        self.exporter.enqueue(self.source, self.chain, 0)
        self.clock.advance_ms(WARM_TIME_MS)
        self.exporter.step()
        self.is_idle = True
        self.exporter.step()
        self.assertEqual([], self.block_stores.indexes)
