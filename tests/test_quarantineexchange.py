"""Tests of the exchange of quarantine reports beside the load reports."""

import unittest

from bergamothill.process.loadreport import LoadReport, ServerLoad, encode_report
from bergamothill.process.quarantineexchange import QuarantineExchange
from bergamothill.process.reportschedule import ReportSchedule
from bergamothill.request.crashevidence import PartId
from bergamothill.request.partquarantine import PartQuarantine, StoredQuarantine, Verdict
from tests.builders import server_pool
from tests.exchangecase import ExchangeCase

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

    def test_changes_of_one_moment_are_told_together_where_there_are_many_peers(self):
        changes_ms = range(1_000, 2_000, 20)
        self.assertLessEqual(len(self.sent_ms(changes_ms, 2_000, peer_count=90)), 10)

    def test_many_peers_are_told_less_often_but_before_reports_of_trials_expire(self):
        self.assertEqual([600, 1_200, 1_800], self.sent_ms([], 2_000, peer_count=300))


class ExchangeTest(ExchangeCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.quarantines = [PartQuarantine(peer.entry, self.clock.wall_ms()) for peer in self.peers]
        self.exchanges, runs = [], []
        for number, peer in enumerate(self.peers):
            carrier = self.carrier(number, server_pool())
            merge = self.quarantines[number].merge
            exchange = QuarantineExchange(
                self.clock,
                self.quarantines[number],
                carrier,
                lambda report, merge=merge: merge(report, self.clock.now_ms()),
                lambda: None,
            )
            self.exchanges.append(exchange)
            runs += [carrier.run(peer.host, peer.port), exchange.run()]
        await self.start(*runs)

    def verdicts(self, number):
        return self.quarantines[number].to_store(self.clock.now_ms()).verdicts

    async def test_a_verdict_reaches_the_peer(self):
        self.quarantines[0].add_stored(StoredQuarantine((VERDICT,)), self.clock.now_ms())
        self.exchanges[0].wake()
        await self.await_true(lambda: self.verdicts(1))
        self.assertEqual(VERDICT.parts, self.verdicts(1)[0].parts)

    async def test_load_reports_and_unreadable_datagrams_are_handled_beside(self):
        load = LoadReport("e9", 1, {"s1": ServerLoad(3, 2, 1)})
        await self.send_raw(1, b"\x87\x6aquarantine\xff", encode_report(load))
        self.quarantines[0].add_stored(StoredQuarantine((VERDICT,)), self.clock.now_ms())
        await self.await_true(lambda: self.verdicts(1))
        await self.await_true(lambda: self.loads[1].load_on("s1").in_progress == 3)
