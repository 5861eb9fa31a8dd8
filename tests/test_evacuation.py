"""Tests that servers of evacuated zones get nothing, and are used again afterwards."""

import unittest

from bergamothill.connection.kvs import KeyValueEntry
from bergamothill.platform.config import EVACUATION_PREFIX
from bergamothill.process.configstate import ConfigState
from bergamothill.process.evacuation import EvacuatedZones
from bergamothill.process.operatorview import OperatorView
from bergamothill.process.prefixfollower import Snapshot
from bergamothill.request.forwarding import Finish, Forwarding, Reason
from bergamothill.request.serverchoice import AllQuiet
from bergamothill.request.windowedbudget import WindowedRetryBudget
from bergamothill.version.cacheindex import CacheIndex
from tests.builders import backend, caller_request, routing_config, server_pool

CONFIG = routing_config()
LLM = CONFIG.services["llm"]


def key_entry(zone):
    return KeyValueEntry(EVACUATION_PREFIX + zone, b"{}", 5)


class EvacuatedZonesTest(unittest.TestCase):
    def setUp(self):
        self.zones = EvacuatedZones()

    def test_a_read_that_was_overtaken_ends_no_evacuation(self):
        self.zones.apply({"zone-a"}, 200)
        self.assertFalse(self.zones.apply((), 100))
        self.assertTrue(self.zones.is_evacuated("zone-a"))

    def test_a_restored_copy_ends_no_evacuation_until_its_keys_are_written_again(self):
        self.zones.apply({"zone-a"}, 100)
        self.zones.apply((), 200, is_trusted=False)
        self.assertTrue(self.zones.is_evacuated("zone-a"))
        self.assertEqual(("zone-a",), self.zones.apply((), 300).returned)


class OperatorKeysTest(unittest.TestCase):
    """What the operator's keys say is applied, with a zone that is named by no valid key."""

    def test_zones_are_applied_from_the_first_read_until_a_key_is_removed(self):
        pool, invalid = server_pool(backend("s1")), []
        view = OperatorView(
            ConfigState(5_000, is_strict=True),
            lambda config, entry, sent_ms: None,
            lambda target, set_after_ms: None,
            lambda entry, error: invalid.append(entry.key),
            lambda zones, sent_ms, ok: pool.apply_evacuation(
                zones, sent_ms, sent_ms, is_trusted=ok
            ),
        )
        view.apply(Snapshot((key_entry("zone-a"), key_entry("")), 0))
        self.assertFalse(pool.may_send_to(backend("s1"), 0))
        self.assertEqual([EVACUATION_PREFIX], invalid)
        view.apply(Snapshot((), 1_000))
        self.assertTrue(pool.may_send_to(backend("s1"), 1_000))


class EvacuatedServersTest(unittest.TestCase):
    def setUp(self):
        self.pool = server_pool(backend("s1"), backend("s2", zone="zone-b"), index=CacheIndex())

    def evacuate(self, *zones):
        self.pool.apply_evacuation(zones, 100, 100, is_trusted=True)

    def choose(self, **kwargs):
        return self.pool.choose(LLM, caller_request(), None, (), 0, 100, **kwargs)

    def test_first_attempts_retries_and_moves_go_elsewhere(self):
        self.evacuate("zone-a")
        for avoided, is_move in (((), False), (("s2",), False), ((), True)):
            choice = self.pool.choose(LLM, caller_request(), None, avoided, 0, 100, is_move=is_move)
            self.assertEqual("s2", choice[0].server)
        self.assertIsNone(
            self.pool.choose(LLM, caller_request(), None, ("s2",), 0, 100, is_move=True)
        )

    def test_a_request_chosen_before_is_not_written(self):
        entry, _ = self.choose()
        self.assertEqual("s1", entry.server)
        self.evacuate("zone-a")
        self.assertFalse(self.pool.may_send_to(entry, 100))
        self.assertFalse(self.pool.may_send_prompt_to(entry, "m1", 100))

    def test_nothing_is_fetched_from_engines_of_the_zone(self):
        engines = {}
        self.pool._planner.set_engines = engines.update
        self.evacuate("zone-a")
        self.assertEqual({backend("s2").address: "zone-b"}, engines)
        self.assertFalse(self.pool._may_fetch_from(("", backend("s1").address)))
        self.assertTrue(self.pool._may_fetch_from(("", backend("s2").address)))

    def test_callers_are_refused_at_once_while_all_zones_are_evacuated(self):
        self.evacuate("zone-a", "zone-b")
        self.assertIsInstance(self.choose(), AllQuiet)
        budget = WindowedRetryBudget(0.1, 5, 10_000, started_ms=0)
        forwarding = Forwarding(
            caller_request(), CONFIG.routes[0], LLM, None, self.pool, budget, 0.0
        )
        self.assertEqual(Finish(503, 1_000, Reason.EVACUATED), forwarding.begin(100))
