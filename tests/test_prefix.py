from __future__ import annotations

import unittest

from bergamothill.connection.engine import CacheEvent, CacheEventKind, CacheEvents
from bergamothill.ids import ServerId
from bergamothill.request.flight import SingleFlight
from bergamothill.request.prefix import PrefixIndex

SERVER = ServerId("engine-1")


class PrefixIndexTests(unittest.TestCase):
    def test_belief_follows_use_events_and_reports(self) -> None:
        index = PrefixIndex(max_keys=4)
        index.used(SERVER, ("a", "b", "c"))
        self.assertEqual(3, index.leading(SERVER, ("a", "b", "c", "d")))
        evicted = CacheEvent(7, CacheEventKind.EVICTED, "b")
        index.observe(SERVER, CacheEvents((evicted,), 8, gap=True))
        self.assertEqual(1, index.leading(SERVER, ("a", "b", "c")))
        index.used(SERVER, ("a", "b", "c"))
        index.correct(SERVER, ("a", "b", "c"), 2)
        self.assertEqual(2, index.leading(SERVER, ("a", "b", "c")))
        index.used(SERVER, ("d", "e", "f"))
        self.assertEqual(0, index.leading(SERVER, ("a",)))


class SingleFlightTests(unittest.TestCase):
    def test_the_leader_s_outcome_is_shared_by_all_callers(self) -> None:
        flights: SingleFlight[int] = SingleFlight()
        first, second = flights.join(SERVER, "a"), flights.join(SERVER, "a")
        self.assertEqual((True, False), (first.leader, second.leader))
        flights.succeed(SERVER, "a", 5)
        self.assertEqual(5, second.future.result(0))
        self.assertTrue(flights.join(SERVER, "a").leader)
        flights.fail(SERVER, "a", ValueError())
        self.assertTrue(flights.join(SERVER, "a").leader)
