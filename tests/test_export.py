from __future__ import annotations

import unittest

from bergamothill.ids import BrandName, ServerId
from bergamothill.request.export import ExportCandidate, ExportSchedule, ReuseRates

SERVER = ServerId("engine-1")


def candidate(key: str, expected_uses: float, position: int = 0, warm: int = 99_999):
    return ExportCandidate(SERVER, key, position, 1, expected_uses, 0, warm)


class ExportScheduleTests(unittest.TestCase):
    def test_waits_for_an_idle_link_but_not_for_ever(self) -> None:
        schedule = ExportSchedule(max_wait_ms=1_000)
        schedule.add(candidate("a", 0.5), 0)
        self.assertIsNone(schedule.next(SERVER, False, 999))
        self.assertEqual("a", schedule.next(SERVER, False, 1_000).key)

    def test_most_expected_return_first_then_chain_order(self) -> None:
        schedule = ExportSchedule()
        for each in (candidate("b1", 0.5, 1), candidate("b0", 0.5, 0), candidate("hot", 9)):
            schedule.add(each, 0)
        keys = [schedule.next(SERVER, True, 0).key for _ in range(3)]
        self.assertEqual(["hot", "b0", "b1"], keys)

    def test_drops_expired_then_least_expected(self) -> None:
        schedule = ExportSchedule(max_queued=2)
        schedule.add(candidate("expired", 9, warm=5), 0)
        schedule.add(candidate("low", 0.1), 0)
        self.assertEqual(["expired"], [each.key for each in schedule.add(candidate("c", 1), 10)])
        self.assertEqual(["low"], [each.key for each in schedule.add(candidate("d", 1), 10)])
        self.assertEqual(2, schedule.queued(SERVER))

    def test_return_rates_follow_what_came_back(self) -> None:
        rates = ReuseRates()
        brand = BrandName("huts")
        rates.record_exported(brand, 98)
        rates.record_reused(brand, 19)
        self.assertAlmostEqual(0.2, rates.expected(brand))
