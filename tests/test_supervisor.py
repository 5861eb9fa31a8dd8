"""Tests that background parts are restarted after errors, and of what repeated errors lead to."""

import asyncio
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

from bergamothill.clock import ManualClock, SystemClock
from bergamothill.platform.settings import load_node_settings
from bergamothill.process.platformnode import PlatformNode
from bergamothill.process.prefixfollower import PrefixFollower
from bergamothill.process.supervisor import ENDS_WINDOW_MS, MAX_ENDS, Supervisor
from tests.builders import NODE_SETTINGS


class TaskTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(0)
        self.supervisor = Supervisor(self.clock, restart_delay_ms=1)
        self.runs = 0

    async def run_part(self, failures):
        self.runs += 1
        if self.runs <= failures:
            raise KeyError("unexpected")

    async def test_a_part_that_failed_runs_again(self):
        await self.supervisor.start_task("reports", lambda: self.run_part(failures=1))
        self.assertEqual(2, self.runs)
        self.assertTrue(self.supervisor.is_healthy())

    async def test_a_part_that_keeps_failing_makes_the_instance_not_ready_for_a_while(self):
        await self.supervisor.start_task("reports", lambda: self.run_part(failures=MAX_ENDS))
        self.assertFalse(self.supervisor.is_healthy())
        self.clock.advance_ms(ENDS_WINDOW_MS)
        self.assertTrue(self.supervisor.is_healthy())

    async def test_a_part_that_is_cancelled_does_not_run_again(self):
        async def run():
            self.runs += 1
            await asyncio.sleep(60)

        task = self.supervisor.start_task("reports", run)
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(1, self.runs)


class ThreadTest(unittest.TestCase):
    def test_a_follower_whose_snapshot_cannot_be_applied_reads_again(self):
        class Store:
            def scan(self, _prefix):
                return ()

        applied = threading.Event()
        snapshots = []

        def apply_snapshot(snapshot):
            snapshots.append(snapshot)
            if len(snapshots) == 1:
                raise KeyError("unexpected")
            applied.set()

        supervisor = Supervisor(SystemClock(), restart_delay_ms=1)
        follower = PrefixFollower(
            Store(),
            SystemClock(),
            "op/",
            20,
            apply_snapshot,
            lambda _is_connected: None,
            guard=supervisor.guard,
        )
        follower.start()
        self.addCleanup(follower.stop)
        self.assertTrue(applied.wait(5))


class NodeTest(unittest.TestCase):
    """Each background part of an entry instance is under the supervisor."""

    PARTS = frozenset(
        ("reports", "limits", "origins", "quarantine", "stalls", "streams", "sweep")
        + ("registry", "swaps", "verdicts")
    )

    def test_all_parts_are_supervised(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder, "node.toml")
        path.write_text(NODE_SETTINGS, encoding="utf-8")
        node = PlatformNode(load_node_settings(str(path)), str(path), SystemClock())
        names = set()
        supervisor = node._supervisor
        start_task, guard = supervisor.start_task, supervisor.guard
        supervisor.start_task = lambda name, run: names.add(name) or start_task(name, run)
        supervisor.guard = lambda name, run: names.add(name) or guard(name, run)

        async def listen():
            await asyncio.sleep(0.1)
            raise asyncio.CancelledError

        node._listen = listen

        async def run():
            task = asyncio.ensure_future(node.run())
            await asyncio.gather(task, return_exceptions=True)
            supervisor.stop()
            node._registry.stop()
            node._swaps.stop()
            node._quarantine.stop()
            for follower in node._followers:
                follower.stop()

        asyncio.run(run())
        self.assertLessEqual(self.PARTS, names)
        self.assertEqual(4, sum(name.startswith("follow ") for name in names))

    def test_an_instance_with_a_failing_part_is_not_ready(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder, "node.toml")
        path.write_text(NODE_SETTINGS, encoding="utf-8")
        clock = ManualClock(0)
        node = PlatformNode(load_node_settings(str(path)), str(path), clock)
        node._supervisor.is_healthy = lambda: self.is_healthy
        node._config.is_config_fresh = lambda _now_ms: True
        node._config.table = object()
        node._server_pool.listed_ms = 0
        gate = type(node._quarantine.gate)
        self.enterContext(mock.patch.object(gate, "has_read", True))
        for self.is_healthy in (True, False):
            self.assertEqual(self.is_healthy, node.is_ready())
