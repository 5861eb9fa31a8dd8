"""Block transfers with engine and store processes that are killed or suspended midway."""

import signal
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from bergamothill.clock import SystemClock
from bergamothill.connection.engine import InferenceRun
from bergamothill.connection.http import HttpClient
from bergamothill.connection.httpengine import HttpModelEngine
from bergamothill.connection.httpstore import HttpStoreInstance
from bergamothill.request.blockstoreclient import BlockStoreClient, ExportStatus
from bergamothill.request.storecalls import StoreEndpoint
from bergamothill.version.block import chain_blocks
from scripts.processes import StandInProcess

BLOCK_TOKENS = 512
BLOCK_BYTES = BLOCK_TOKENS * 1_000
MESSAGES = ({"role": "user", "content": "x" * 3_000},)
ENGINE_OPTIONS = ("--model", "m", "--versions", "v1", "--prefill-tokens-per-s", "1000000")
SLOW_BYTES_PER_S = 1_000_000
POLL_INTERVAL_S = 0.01
WAIT_TIMEOUT_S = 10


def wait_until(condition):
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError("condition not met before the timeout")
        time.sleep(POLL_INTERVAL_S)


class BlockProcessTests(unittest.TestCase):
    def setUp(self):
        self.store_process = self.start("store")
        options = (*ENGINE_OPTIONS, "--block-tokens", str(BLOCK_TOKENS))
        self.engine_processes = [
            self.start("engine", "--server-id", name, *options) for name in ("e1", "e2")
        ]
        self.engines = [
            HttpModelEngine(HttpClient("e", process.address)) for process in self.engine_processes
        ]
        self.store = HttpStoreInstance(self.store_process.client, timeout_ms=1_000)
        endpoint = StoreEndpoint("s", "z", self.store_process.address, self.store)
        self.context_cache = BlockStoreClient(
            {"s": endpoint}, "z", SystemClock(), lambda brand: 3_600_000
        )
        self.addCleanup(self.context_cache.close)
        self.chain = chain_blocks("b", "m", "", "v1", MESSAGES, BLOCK_TOKENS)
        self.background = ThreadPoolExecutor(1)
        self.addCleanup(self.background.shutdown)
        self.run_on(0)

    def start(self, module, *arguments):
        process = StandInProcess(module, *arguments)
        self.addCleanup(process.stop)
        return process

    def run_on(self, index, imported=()):
        run = InferenceRun(
            request_id="r",
            stream_id=f"s{index}",
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
        self.engines[index].run(run, lambda event: None, idle_timeout_ms=5_000)
        return self.engine_processes[index].json("GET", "/runs")[-1]

    def export(self):
        return self.context_cache.export(self.engines[0], self.chain, 0, "z").status

    def visible_bytes(self):
        return max((item.size_bytes for item in self.store.list("")), default=0)

    def test_partial_export_of_a_killed_engine_is_not_used(self):
        self.store_process.set_faults(write_bytes_per_s=SLOW_BYTES_PER_S)
        export = self.background.submit(self.export)
        wait_until(lambda: 0 < self.visible_bytes() < BLOCK_BYTES)
        self.engine_processes[0].process.kill()
        self.assertIs(export.result(), ExportStatus.ABANDONED)
        self.assertEqual(self.context_cache.lookup(self.chain), ())

    def test_store_killed_during_import_is_a_miss_and_the_run_recomputes(self):
        self.assertIs(self.export(), ExportStatus.COMMITTED)
        found = self.context_cache.lookup(self.chain, timeout_ms=2_000)
        self.assertEqual(len(found), 1)
        self.store_process.set_faults(read_bytes_per_s=SLOW_BYTES_PER_S)
        restore = self.background.submit(self.restore, found)
        wait_until(lambda: self.store_process.json("GET", "/stats").get("get"))
        self.store_process.process.kill()
        self.assertEqual(restore.result(), ())
        run = self.run_on(1)
        self.assertEqual(run["cached_tokens"], 0)
        self.assertTrue(run["intact"])

    def test_store_suspended_during_import_is_a_miss_until_it_resumes(self):
        self.export()
        found = self.context_cache.lookup(self.chain, timeout_ms=2_000)
        self.store_process.process.send_signal(signal.SIGSTOP)
        self.assertEqual(self.restore(found, timeout_ms=300), ())
        self.assertEqual(self.context_cache.lookup(self.chain), ())
        self.store_process.process.send_signal(signal.SIGCONT)
        wait_until(lambda: self.context_cache.lookup(self.chain))
        found = self.context_cache.lookup(self.chain, timeout_ms=2_000)
        run = self.run_on(1, self.restore(found))
        self.assertEqual(run["cached_tokens"], BLOCK_TOKENS)
        self.assertTrue(run["intact"])

    def restore(self, found, timeout_ms=5_000):
        return self.context_cache.restore("e2", self.engines[1], found, timeout_ms=timeout_ms)
