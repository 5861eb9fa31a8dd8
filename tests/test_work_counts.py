"""Tests that the work of one event does not grow with the deployment (:mod:`tests.workcount`)."""

import asyncio
import json
import unittest
from unittest import mock

from bergamothill.clock import ManualClock, SystemClock
from bergamothill.connection.kvs import KeyValueEntry
from bergamothill.platform.servers import decode_server
from bergamothill.process import platformnode
from bergamothill.process.gateway import QUEUE_WAKE_MS
from bergamothill.process.loadexchange import LoadExchange
from bergamothill.process.loadreport import LoadReport, PeerLoads, encode_report
from bergamothill.process.pacedcall import PacedCall
from bergamothill.process.prefillexchange import PrefillExchange
from bergamothill.process.prefixfollower import Snapshot
from bergamothill.process.registry import Peer
from bergamothill.process.zonereport import append_zone
from bergamothill.request.contextplan import ContextPlanner
from bergamothill.request.serverchoice import NoFreeMemory
from bergamothill.version.cacheindex import CacheIndex, EventBatch, PartEvent, PartKey
from tests.builders import backend, caller_request, routing_config, server_entry, server_pool
from tests.test_platform_node import NodeCase
from tests.workcount import count_lines

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
SMALL, LARGE = 20, 160
PARTS = (("a", 500), ("b", 2_000))


def engines(count):
    """Return engines, spread over the zones."""
    return [backend(f"s{n}", zone=ZONES[n % len(ZONES)]) for n in range(count)]


class EngineCountTest(unittest.TestCase):
    def setUp(self):
        self.service = routing_config().services["llm"]

    def pool(self, count, held=0):
        """Return a pool of engines, a share of which holds the parts of a prompt."""
        index, servers = CacheIndex(), engines(count)
        events = tuple(PartEvent(PartKey("m1~1", name), tokens) for name, tokens in PARTS)
        for server in servers[: count * held // 100]:
            index.source(server.address).apply(EventBatch(1, 1, False, events, 0), 0, 0)
        return server_pool(*servers, index=index)

    def choose(self, pool, now_ms=100, tokens=3_000):
        request = caller_request(prompt_tokens=tokens)
        return pool.choose(self.service, request, None, (), 2, now_ms)

    def plans(self, count, held):
        """Return how many plans are made to choose an engine for a prompt."""
        pool = self.pool(count, held)
        with mock.patch.object(
            ContextPlanner, "plan", autospec=True, side_effect=ContextPlanner.plan
        ) as plan:
            self.choose(pool)
        return plan.call_count

    def test_a_prompt_is_planned_once_for_engines_of_a_zone_that_hold_the_same_parts(self):
        for held in (0, 25, 100):
            patterns = 1 if held in (0, 100) else 2
            with self.subTest(held=held):
                self.assertLessEqual(self.plans(LARGE, held), patterns * len(ZONES))

    def test_prompts_that_wait_behind_one_without_room_do_not_look_at_all_engines(self):
        pool = self.pool(LARGE)
        for server in engines(LARGE):
            pool.request_started(server.server, 99_000, 0, 0)
        has_slot = mock.Mock(side_effect=pool.capacity.has_slot)
        pool.capacity.has_slot = has_slot
        for now_ms in range(100, 110):
            self.assertIsInstance(self.choose(pool, now_ms), NoFreeMemory)
        self.assertEqual(LARGE, has_slot.call_count)
        self.assertIsInstance(self.choose(pool, 100, tokens=2_999), NoFreeMemory)
        self.assertEqual(2 * LARGE, has_slot.call_count)
        pool.request_ended("s1", 99_000)
        self.assertEqual("s1", self.choose(pool, 110)[0].server)

    def test_a_reply_of_a_source_costs_the_same_however_many_servers_there_are(self):
        small, large = self.pool(SMALL), self.pool(LARGE)

        def reply(pool):
            pool.record_reply_from("10.0.0.1:80", 100, is_leaving=False)

        self.assertEqual(count_lines(lambda: reply(small)), count_lines(lambda: reply(large)))


class ServerListTest(NodeCase):
    def test_the_entries_of_servers_are_decoded_once(self):
        decoded = []

        def decode(key, value, revision):
            decoded.append(key)
            return decode_server(key, value, revision)

        value = json.dumps(server_entry()).encode()
        entries = [KeyValueEntry(f"servers/s{n}", value, 1) for n in range(LARGE)]
        self.node._context.set_engines = lambda _engines: None
        with mock.patch.object(platformnode, "decode_server", decode):
            for read_ms in range(0, 3_000, 300):
                self.node._apply_server_list(Snapshot(tuple(entries), read_ms))
            self.assertEqual(LARGE, len(decoded))
            entries[0] = KeyValueEntry("servers/s0", value, 2)
            self.node._apply_server_list(Snapshot(tuple(entries), 3_000))
        self.assertEqual(LARGE + 1, len(decoded))


class PrefillNoticeTest(unittest.TestCase):
    def test_a_notice_of_a_prompt_goes_to_the_zone_of_its_engine(self):
        clock, receivers = ManualClock(0), []
        exchange = LoadExchange("e0", clock, server_pool(), PeerLoads(), mock.Mock(), ZONES[0])
        names = [f"e{n}" for n in range(1, LARGE)]
        peers = [Peer(e, e, 1, ZONES[n % len(ZONES)]) for n, e in enumerate(names, 1)]
        exchange.set_peers(tuple(peers))
        for peer in peers:
            report = encode_report(LoadReport(peer.entry, 1, {}))
            exchange._on_datagram(append_zone(report, peer.zone))
        exchange._datagrams.send = lambda _datagram, addresses: receivers.extend(addresses)
        notices = PrefillExchange(clock, mock.Mock(), exchange)
        notices.announce(backend(zone=ZONES[0]), 10_000)
        self.assertEqual({p.host for p in peers if p.zone == ZONES[0]}, {h for h, _ in receivers})
        self.assertEqual(LARGE // len(ZONES) - 1, len(receivers))


class ReportCountTest(unittest.IsolatedAsyncioTestCase):
    async def test_waiting_requests_are_not_tried_again_for_each_report(self):
        clock, tries = SystemClock(), []
        paced = PacedCall(clock, QUEUE_WAKE_MS, lambda: tries.append(1))
        started_ms = clock.now_ms()
        for _ in range(400):
            paced.ask()
            await asyncio.sleep(0.001)
        elapsed_ms = clock.now_ms() - started_ms
        self.assertLessEqual(len(tries), elapsed_ms // QUEUE_WAKE_MS + 1)

    async def test_the_last_report_is_followed_by_a_try(self):
        tries = []
        paced = PacedCall(SystemClock(), QUEUE_WAKE_MS, lambda: tries.append(1))
        paced.ask()
        paced.ask()
        self.assertEqual(1, len(tries))
        await asyncio.sleep(2 * QUEUE_WAKE_MS / 1_000)
        self.assertEqual(2, len(tries))
