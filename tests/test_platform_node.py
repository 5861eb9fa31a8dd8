"""Tests of an entry instance: graceful shutdown, weight targets, and when a request is written."""

import asyncio
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import logbook

from bergamothill.clock import ManualClock
from bergamothill.connection import backendhttp
from bergamothill.connection.backendhttp import ExchangeEnd, exchange
from bergamothill.connection.backendpool import PooledServer
from bergamothill.connection.kvs import KeyValueEntry
from bergamothill.platform.config import TARGET_PREFIX
from bergamothill.platform.settings import load_node_settings
from bergamothill.process import nodedrain
from bergamothill.process.loadreport import LoadReport, encode_report
from bergamothill.process.nodedrain import READINESS_NOTICE_MS
from bergamothill.process.platformnode import PlatformNode
from bergamothill.process.prefixfollower import Snapshot
from bergamothill.process.registry import Peer
from bergamothill.version.weighttarget import WeightTarget
from tests.builders import NODE_SETTINGS, backend, caller_request, routing_config
from tests.gatewayworld import answer

GRACE_MS = 8_000


class Listener:
    """Listening socket that records when it was closed."""

    def __init__(self, clock):
        self.clock = clock
        self.closed_ms = None

    def close(self):
        if self.closed_ms is None:
            self.closed_ms = self.clock.now_ms()


class KeepAliveConnection:
    """Keep-alive connection of a caller that becomes idle at a given time."""

    def __init__(self, clock, connections, idle_ms):
        self.clock, self.connections, self.idle_ms = clock, connections, idle_ms
        self.close_attempts_ms = []
        connections.add(self)

    def close_if_idle(self):
        self.close_attempts_ms.append(self.clock.now_ms())
        if self.clock.now_ms() >= self.idle_ms:
            self.connections.discard(self)

    def hand_over(self):
        """Do nothing, as all was read."""

    def drop_waiting(self):
        """Do nothing, as no request waits."""


class NodeCase(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name, "node.toml")
        path.write_text(NODE_SETTINGS)
        self.clock = ManualClock(0)
        self.node = PlatformNode(load_node_settings(str(path)), str(path), self.clock)


class StopTest(NodeCase):
    def setUp(self):
        super().setUp()
        self.listener = Listener(self.clock)

    def drain(self):
        async def sleep(duration_s):
            self.clock.advance_ms(int(duration_s * 1_000))

        with mock.patch.object(nodedrain.asyncio, "sleep", sleep):
            asyncio.run(self.node._drain(self.listener))
        return self.clock.now_ms()

    def test_new_connections_are_taken_until_the_balancer_has_noticed(self):
        KeepAliveConnection(self.clock, self.node._connections, idle_ms=5_000)
        self.drain()
        self.assertGreaterEqual(self.listener.closed_ms, READINESS_NOTICE_MS)
        self.assertLess(self.listener.closed_ms, READINESS_NOTICE_MS + 100)

    def test_no_connection_is_taken_from_three_seconds_after_the_signal_on(self):
        KeepAliveConnection(self.clock, self.node._connections, idle_ms=5_000)
        self.drain()
        self.assertLess(self.listener.closed_ms, 3_000)

    def test_no_connection_is_closed_before_the_balancer_has_noticed(self):
        connection = KeepAliveConnection(self.clock, self.node._connections, idle_ms=0)
        self.drain()
        self.assertGreaterEqual(min(connection.close_attempts_ms), READINESS_NOTICE_MS)

    def test_the_stop_ends_with_the_last_connection(self):
        KeepAliveConnection(self.clock, self.node._connections, idle_ms=5_000)
        self.assertLess(self.drain(), 5_200)

    def test_the_stop_ends_before_the_kill_whatever_is_open(self):
        KeepAliveConnection(self.clock, self.node._connections, idle_ms=99_000)
        self.assertLess(self.drain(), GRACE_MS)

    def test_a_stopping_instance_is_not_ready(self):
        self.node._config.table = self.node._server_pool.listed_ms = 0
        self.drain()
        self.assertFalse(self.node.is_ready())


class WorkMetricsTest(NodeCase):
    def test_metrics_count_what_the_instance_does(self):
        self.node._exchange._on_datagram(encode_report(LoadReport("front-a-2", 1, {})))
        text = self.node._metrics.text()
        self.assertIn("bergamothill_peer_datagrams 1\n", text)
        self.assertIn("bergamothill_engine_choices 0\n", text)
        self.assertRegex(text, r"bergamothill_processor_ms \d+\n")


class PeerReportTest(NodeCase):
    def test_reports_of_peers_do_not_each_wake_the_requests_that_wait(self):
        woken = []
        queue = self.node._gateway.admission_queue("llm")
        queue.requests, queue.wake_head = ["waiting"], lambda: woken.append(1)

        async def receive():
            for number in range(100):
                self.node._on_peer_report(f"front-a-{number}")

        asyncio.run(receive())
        self.assertEqual(1, len(woken))
        queue.requests = []
        self.clock.advance_ms(1_000)
        asyncio.run(receive())
        self.assertEqual(1, len(woken))


class WeightTargetTest(NodeCase):
    """An instance that reads a weight target late, with two engines that have older weights."""

    READ_INTERVAL_MS = 400

    def setUp(self):
        super().setUp()
        self.node._context.listener = mock.Mock()
        self.node._server_pool.apply_list([backend("s1"), backend("s2")], 0, 0)

    def read(self, version):
        target = {"model": "m1", "version": version}
        entry = KeyValueEntry(f"{TARGET_PREFIX}m1", json.dumps(target).encode(), version)
        self.node._operator.apply(Snapshot((entry,), self.clock.now_ms()))

    def run_until(self, end_ms, version):
        while self.clock.now_ms() < end_ms:
            self.clock.advance_ms(self.READ_INTERVAL_MS)
            self.read(version)

    def chosen_version(self):
        service = routing_config().services["llm"]
        chosen = self.node._server_pool.choose(
            service, caller_request(), None, (), 0, self.clock.now_ms()
        )
        return None if chosen is None else chosen[1].weight_version

    def test_weights_replaced_during_a_pause_are_not_used_past_their_deadline(self):
        self.read(1)
        self.run_until(60_000, version=1)
        self.clock.advance_ms(400)  # named here, while the instance is paused
        self.clock.advance_ms(3_300)
        self.run_until(self.clock.now_ms() + 3_000, version=2)
        self.assertIsNone(self.chosen_version())
        self.node._server_pool.record_weight_swap("s2", "m1", 2)
        self.assertEqual(2, self.chosen_version())

    def test_weights_replaced_while_the_instance_runs_are_used_until_they_are_due(self):
        self.read(1)
        self.run_until(60_000, version=1)
        self.run_until(63_000, version=2)
        self.assertEqual(1, self.chosen_version())

    def test_refusals_for_overdue_weights_are_logged_once_a_second(self):
        # The lines of a refusal did not tell that engines were there, with weights to be replaced.
        self.read(1)
        self.run_until(60_000, version=1)
        self.run_until(66_000, version=2)
        with logbook.TestHandler() as log:
            for _ in range(30):
                self.assertIsNone(self.chosen_version())
                self.clock.advance_ms(100)
        lines = [record.message for record in log.records if "weights_overdue" in record.message]
        self.assertEqual(3, len(lines))
        self.assertIn("model=m1 version=2 servers=2", lines[0])


class ServerListTest(unittest.TestCase):
    def test_an_outage_counts_only_if_entries_can_have_expired_after_two_heartbeats(self):
        for recovered_ms, is_awaited in ((2_399, False), (2_400, True)):
            with self.subTest(recovered_ms=recovered_ms), tempfile.TemporaryDirectory() as folder:
                path = Path(folder, "node.toml")
                path.write_text(NODE_SETTINGS)
                node = PlatformNode(load_node_settings(str(path)), str(path), ManualClock(0))
                pool = node._server_pool
                pool.apply_list([backend("s1")], 0, 0)
                node._on_server_list_connection_change(False)
                node._on_server_list_connection_change(True)
                pool.apply_list([], recovered_ms, recovered_ms)
                self.assertEqual(is_awaited, bool(pool.usable("llm", recovered_ms)))


class Transport:
    """Transport that records the calls made on it."""

    def __init__(self):
        self.calls = []

    def write(self, data):
        self.calls.append("write")

    def abort(self):
        self.calls.append("abort")

    def is_closing(self):
        return False


class ReloadTest(unittest.TestCase):
    def test_changed_bounds_change_how_often_the_store_is_read(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "node.toml")
            path.write_text(NODE_SETTINGS)
            node = PlatformNode(load_node_settings(str(path)), str(path), ManualClock(0))
            node._followers = [mock.Mock(interval_ms=900)]
            path.write_text(NODE_SETTINGS.replace("[bounds]", "[bounds]\nconfigApplyMs = 1000"))
            node._reload()
        self.assertEqual(400, node._followers[0].interval_ms)

    def test_a_changed_deadline_of_weights_applies_at_once(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "node.toml")
            path.write_text(NODE_SETTINGS)
            node = PlatformNode(load_node_settings(str(path)), str(path), ManualClock(0))
            pool = node._server_pool
            pool.apply_list([backend("s1")], 0, 0)
            pool.set_weight_target(WeightTarget("m1", 2), 0, set_after_ms=0)
            path.write_text(NODE_SETTINGS.replace("versionMs = 6000", "versionMs = 5000"))
            node._reload()
        service = routing_config().services["llm"]
        self.assertIsNotNone(pool.choose(service, caller_request(), None, (), 0, 2_999))
        self.assertIsNone(pool.choose(service, caller_request(), None, (), 0, 3_000))


class KeptConnectionsTest(unittest.TestCase):
    def keeps(self, peers):
        """Return whether an instance with these peers keeps connections to plain servers."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "node.toml")
            path.write_text(NODE_SETTINGS)
            node = PlatformNode(load_node_settings(str(path)), str(path), ManualClock(0))
        node._context = mock.Mock()  # there is no event loop to follow sources on
        node._apply_config(routing_config(), mock.Mock(), 0)
        node._apply_peers(tuple(Peer(f"e{n}", "h", 1, zone) for n, zone in enumerate(peers)))
        return node._kept_connections.keeps(PooledServer("p0", 1, "h:1", "bookings"))

    def test_only_with_more_than_two_instances_for_each_zone_that_is_registered(self):
        self.assertFalse(self.keeps(["zone-a"]))
        self.assertTrue(self.keeps(["zone-a"] * 2))
        self.assertFalse(self.keeps(["zone-a", "zone-b", "zone-b"]))
        self.assertTrue(self.keeps(["zone-a", "zone-b", "zone-b", "zone-b"]))
        self.assertFalse(self.keeps(["zone-a", "zone-b", "zone-b", None]))


class ExchangeTest(unittest.TestCase):
    """A request that is abandoned while its connection is opening must not reach the server."""

    def run_exchange(
        self, *, opens, connect_timeout_ms=10_000, cancel=False, may_send=True, is_lost=True
    ):
        transport = Transport()

        async def main():
            loop = asyncio.get_running_loop()
            opened = asyncio.Event()

            protocols = []

            async def create_connection(make, host, port):
                protocols.append(make())
                await opened.wait()
                loop.call_soon(protocols[0].connection_lost if is_lost else task.cancel, None)
                return transport, protocols[0]

            with mock.patch.object(loop, "create_connection", create_connection):
                task = asyncio.ensure_future(
                    exchange(
                        backendhttp.Dial("h:1", connect_timeout_ms),
                        [b"x"],
                        mock.Mock(),
                        may_send=lambda: may_send,
                    )
                )
                await asyncio.sleep(0)
                if opens:
                    # The event loop calls connection_made before the waiting task resumes.
                    protocols[0].connection_made(transport)
                    opened.set()
                if cancel:
                    task.cancel()
                return await asyncio.gather(task, return_exceptions=True)

        (result,) = asyncio.run(main())
        return result, transport.calls

    def test_written_once_the_connection_is_open(self):
        result, calls = self.run_exchange(opens=True, is_lost=False)
        self.assertEqual(["write", "abort"], calls)
        self.assertIsInstance(result, asyncio.CancelledError)

    def test_a_connection_that_is_lost_is_not_aborted(self):
        result, calls = self.run_exchange(opens=True)
        self.assertEqual(["write"], calls)
        self.assertIs(ExchangeEnd.BROKEN, result.end)

    def test_a_large_body_is_not_taken_for_a_large_head(self):
        async def main():
            done = asyncio.get_running_loop().create_future()
            protocol = backendhttp.BackendConnection(mock.Mock(), done, is_head=False)
            received = memoryview(answer(b"x" * 100_000))
            while received:
                buffer = protocol.get_buffer(len(received))
                size = min(len(buffer), len(received))
                buffer[:size], received = received[:size], received[size:]
                protocol.buffer_updated(size)
            return await done

        result = asyncio.run(main())
        self.assertIs(ExchangeEnd.COMPLETE, result.end, result.detail)

    def test_nothing_is_written_to_a_server_that_left_while_the_connection_was_opening(self):
        result, calls = self.run_exchange(opens=True, may_send=False)
        self.assertIs(ExchangeEnd.NOT_SENT, result.end)
        self.assertEqual(["abort"], calls)

    def test_nothing_is_written_after_a_connect_timeout(self):
        result, calls = self.run_exchange(opens=False, connect_timeout_ms=1)
        self.assertIs(ExchangeEnd.NOT_CONNECTED, result.end)
        self.assertEqual([], calls)

    def test_a_request_that_is_cancelled_as_its_connection_opens_is_not_written(self):
        result, calls = self.run_exchange(opens=True, cancel=True)
        self.assertIsInstance(result, asyncio.CancelledError)
        self.assertNotIn("write", calls)
