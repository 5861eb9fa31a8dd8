"""Tests of the exchange of quarantine reports beside the load reports."""

import asyncio
import unittest

from bergamothill.clock import SystemClock
from bergamothill.connection.datagrams import DatagramSocket
from bergamothill.process.loadexchange import LoadExchange
from bergamothill.process.loadreport import LoadReport, PeerLoads, ServerLoad, encode_report
from bergamothill.process.quarantineexchange import QuarantineExchange
from bergamothill.process.registry import Peer
from bergamothill.process.reportschedule import ReportSchedule
from bergamothill.request.crashevidence import PartId
from bergamothill.request.partquarantine import PartQuarantine, StoredQuarantine, Verdict
from scripts.processes import free_ports
from tests.builders import server_pool

HOST = "127.0.0.1"
LIMIT_S = 5
VERDICT = Verdict(frozenset({PartId("m1", "a")}), 0)


class ReportScheduleTest(unittest.TestCase):
    def sent_ms(self, changes_ms, end_ms, peer_count=5):
        schedule = ReportSchedule()
        schedule.is_due(0, peer_count, 0)
        return [
            now_ms
            for now_ms in range(0, end_ms, 10)
            if schedule.is_due(sum(c <= now_ms for c in changes_ms), peer_count, now_ms)
        ]

    def test_a_change_is_sent_at_once_and_repeated_then_sent_now_and_then(self):
        expected = [400, 730, 830, 930, 1_030, 1_130, 1_230, 1_630, 2_030]
        self.assertEqual(expected, self.sent_ms([730], 2_100))

    def test_many_peers_are_told_less_often_but_before_reports_of_trials_expire(self):
        self.assertEqual([600, 1_200, 1_800], self.sent_ms([], 2_000, peer_count=300))


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Two instances on the loopback interface."""

    async def asyncSetUp(self):
        self.clock = SystemClock()
        self.peers = [Peer(f"e{n}", HOST, port) for n, port in enumerate(free_ports(2), start=1)]
        self.loads = [PeerLoads() for _ in self.peers]
        self.quarantines = [PartQuarantine(peer.entry, self.clock.wall_ms()) for peer in self.peers]
        self.exchanges, tasks = [], []
        for number, peer in enumerate(self.peers):
            pool = server_pool()
            carrier = LoadExchange(peer.entry, self.clock, pool, self.loads[number], lambda _: None)
            carrier.set_peers(tuple(p for p in self.peers if p is not peer))
            merge = self.quarantines[number].merge
            exchange = QuarantineExchange(
                self.clock,
                self.quarantines[number],
                carrier,
                lambda report, merge=merge: merge(report, self.clock.now_ms()),
                lambda: None,
            )
            self.exchanges.append(exchange)
            tasks += [carrier.run(HOST, peer.port), exchange.run()]
        self.tasks = [asyncio.create_task(task) for task in tasks]
        self.addAsyncCleanup(self.stop)
        await asyncio.sleep(0.05)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def await_true(self, condition):
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    def verdicts(self, number):
        return self.quarantines[number].to_store(self.clock.now_ms()).verdicts

    async def test_a_verdict_reaches_the_peer(self):
        self.quarantines[0].add_stored(StoredQuarantine((VERDICT,)), self.clock.now_ms())
        self.exchanges[0].wake()
        await self.await_true(lambda: self.verdicts(1))
        self.assertEqual(VERDICT.parts, self.verdicts(1)[0].parts)

    async def test_load_reports_and_unreadable_datagrams_are_handled_beside(self):
        sender = DatagramSocket(lambda data: None)
        await sender.open(HOST, 0)
        self.addCleanup(sender.close)
        to = [(HOST, self.peers[1].port)]
        sender.send(b"\x87\x6aquarantine\xff", to)
        sender.send(encode_report(LoadReport("e9", 1, {"s1": ServerLoad(3, 2, 1)})), to)
        self.quarantines[0].add_stored(StoredQuarantine((VERDICT,)), self.clock.now_ms())
        await self.await_true(lambda: self.verdicts(1))
        await self.await_true(lambda: self.loads[1].load_on("s1").in_progress == 3)
