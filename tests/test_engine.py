import hashlib
import json
import subprocess
import sys
import unittest
import urllib.request

from bergamothill.connection.engine import (
    BlockRef,
    EngineOrder,
    EventKind,
    InferenceRun,
    OrderKind,
    TransferOrder,
)
from bergamothill.connection.http import HttpClient
from bergamothill.connection.httpengine import HttpModelEngine
from bergamothill.connection.httpstore import HttpStoreInstance
from bergamothill.errors import (
    ConflictError,
    FencedError,
    NotFoundError,
    StoreFullError,
    StreamBrokenError,
)

OPTIONS = (
    "--server-id",
    "e1",
    "--model",
    "m",
    "--versions",
    "v1",
    "--prefill-tokens-per-s",
    "1000000",
)


def start(module, *options):
    command = [sys.executable, "-m", module, "--port", "0", *options]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    port = process.stdout.readline().strip().removeprefix("ready port=")
    return process, f"127.0.0.1:{port}"


def stop(process):
    process.kill()
    process.wait()
    process.stdout.close()


def put_json(address, path, value):
    request = urllib.request.Request(
        f"http://{address}{path}", json.dumps(value).encode(), method="PUT"
    )
    urllib.request.urlopen(request).close()


def make_run(**changes):
    values = {
        "request_id": "r1",
        "stream_id": "s1",
        "brand": "b",
        "model": "m",
        "adapter": "",
        "weight_version": "v1",
        "messages": ({"role": "user", "content": "hello"},),
        "block_keys": ("k1", "k2"),
        "prompt_tokens": 5000,
        "max_tokens": 8,
        "deadline_ms": 1000,
    }
    return InferenceRun(**(values | changes))


def make_order(fencing_number):
    return EngineOrder(OrderKind.LOAD_WEIGHTS, fencing_number, 2_000, "m", "v7")


class StandInTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.engine_process, cls.engine_address = start("standins.engine", *OPTIONS)
        cls.addClassCleanup(stop, cls.engine_process)
        cls.store_process, cls.store_address = start(
            "standins.store", "--capacity-bytes", "5000000"
        )
        cls.addClassCleanup(stop, cls.store_process)

    def setUp(self):
        put_json(self.engine_address, "/faults", {})
        put_json(self.store_address, "/faults", {})
        self.engine = HttpModelEngine(HttpClient("e1", self.engine_address))
        self.store = HttpStoreInstance(HttpClient("s1", self.store_address))

    def run_events(self, **changes):
        events = []
        self.engine.run(make_run(**changes), events.append, idle_timeout_ms=5000)
        return events

    def test_complete_answer_and_resume(self):
        events = self.run_events()
        self.assertEqual([event.sequence for event in events], list(range(10)))
        self.assertEqual(events[0].weight_version, "v1")
        self.assertIs(events[-1].kind, EventKind.END)
        resumed = []
        self.engine.resume("s1", 3, resumed.append, idle_timeout_ms=5000)
        self.assertEqual(resumed, events[4:])

    def test_rejections_raise_typed_errors(self):
        with self.assertRaises(ConflictError):
            self.run_events(weight_version="v9")
        with self.assertRaises(NotFoundError):
            self.engine.resume("unknown", -1, print, idle_timeout_ms=1000)

    def test_stream_closed_early_raises_stream_broken(self):
        put_json(self.engine_address, "/faults", {"cut_after_events": 3})
        with self.assertRaises(StreamBrokenError):
            self.run_events()

    def test_engine_reports_and_records_weight_versions(self):
        put_json(self.engine_address, "/faults", {"run_version": "v2"})
        self.assertEqual(self.run_events()[0].weight_version, "v2")
        put_json(self.engine_address, "/faults", {"run_version": "v2", "claim_version": "v1"})
        self.assertEqual(self.run_events()[0].weight_version, "v1")
        with urllib.request.urlopen(f"http://{self.engine_address}/runs") as reply:
            self.assertEqual(json.load(reply)[-1]["weight_version"], "v2")

    def test_duplicated_reordered_and_stalled_streams(self):
        put_json(self.engine_address, "/faults", {"duplicate_events": True})
        self.assertEqual([event.sequence for event in self.run_events()][:4], [0, 0, 1, 1])
        put_json(self.engine_address, "/faults", {"reorder_events": True})
        self.assertEqual([event.sequence for event in self.run_events()][:4], [1, 0, 3, 2])
        put_json(self.engine_address, "/faults", {"silent_after_events": 2})
        with self.assertRaises(StreamBrokenError):
            self.engine.run(make_run(), lambda event: None, idle_timeout_ms=1_000)

    def test_stale_fencing_number_is_rejected(self):
        self.engine.order(make_order(2))
        with self.assertRaises(FencedError):
            self.engine.order(make_order(1))
        self.assertIn("m:v7", self.engine.load().state.versions)

    def test_loaded_adapter_is_reported_by_name(self):
        order = EngineOrder(OrderKind.LOAD_ADAPTER, 1, 2_000, "m", adapter="a1")
        self.assertEqual(self.engine.order(order).adapters, frozenset({"a1"}))

    def test_block_is_exported_to_and_imported_from_the_store(self):
        self.run_events()
        unexported = BlockRef("k1", "g1", 0, "", 2048)
        order = TransferOrder(unexported, self.store_address, "x/k1", "v1", "b", 5000, "m")
        result = self.engine.export_block(order)
        content = self.store.get("x/k1")
        self.assertEqual(hashlib.sha256(content).hexdigest(), result.block.digest)
        order = TransferOrder(result.block, self.store_address, "x/k1", "v1", "b", 5000, "m")
        self.assertEqual(self.engine.import_block(order).block, result.block)

    def test_store_operations(self):
        self.store.put("a/1", b"hello")
        self.assertEqual(self.store.get("a/1", start=1, length=3), b"ell")
        self.assertEqual([o.name for o in self.store.list("a/")], ["a/1"])
        self.store.delete("a/1")
        with self.assertRaises(NotFoundError):
            self.store.get("a/1")
        with self.assertRaises(StoreFullError):
            self.store.put("a/2", b"x" * 6_000_000)
