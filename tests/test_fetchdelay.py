"""Tests of fetch delays learned from first tokens, and of their effect on plans."""

import unittest

from bergamothill.request.contextplan import ContextPlanner
from bergamothill.request.fetchdelay import SAMPLE_TTL_MS, SLOW_SAMPLES_NEEDED, FetchDelays
from bergamothill.version.cacheindex import CacheIndex, EventBatch, PartEvent, PartKey
from tests.builders import caller_request, routing_config

ENGINE = "10.0.0.1:80"
OTHER = "10.0.0.2:80"
SALT = "m1~1"
CONFIG = routing_config()
STORE = CONFIG.stores[0].address
TRAITS = next(s.engine for s in CONFIG.services.values() if s.engine is not None)


class FetchDelaysTest(unittest.TestCase):
    def setUp(self):
        self.delays = FetchDelays()

    def fetched(self, *took_ms, now_ms=0):
        for number, value in enumerate(took_ms):
            self.delays.record_first_token((STORE, ""), value, 50.0, now_ms + number)

    def test_a_source_is_slow_after_several_consecutive_late_fetches(self):
        self.fetched(450, 350)
        self.assertEqual(0.0, self.delays.expected(STORE, 10))
        self.fetched(550, now_ms=10)
        self.assertEqual(300.0, self.delays.expected(STORE, 20))

    def test_one_timely_fetch_clears_the_delay(self):
        self.fetched(450, 450, 450, 50)
        self.assertEqual(0.0, self.delays.expected(STORE, 10))

    def test_a_slow_source_is_retried_after_a_while(self):
        self.fetched(*[450] * SLOW_SAMPLES_NEEDED)
        self.assertEqual(0.0, self.delays.expected(STORE, SAMPLE_TTL_MS + SLOW_SAMPLES_NEEDED))

    def test_delays_of_prompts_without_a_fetch_are_not_attributed_to_a_source(self):
        for number in range(100):
            self.delays.record_first_token((), 250, 50.0, number)
        self.fetched(*[250] * SLOW_SAMPLES_NEEDED, now_ms=100)
        self.assertLess(self.delays.expected(STORE, 110), 1.0)

    def test_samples_of_removed_sources_are_discarded(self):
        self.fetched(*[450] * SLOW_SAMPLES_NEEDED)
        self.delays.retain_sources([OTHER])
        self.assertEqual(0.0, self.delays.expected(STORE, 5))


class PlanTest(unittest.TestCase):
    def setUp(self):
        self.index = CacheIndex()
        self.planner = ContextPlanner(self.index)
        self.planner.set_stores(CONFIG.stores)
        self.planner.set_engines({ENGINE: "zone-a", OTHER: "zone-a"})
        self.request = caller_request()

    def add_holdings(self, address):
        events = tuple(
            PartEvent(PartKey(SALT, part.name), part.tokens) for part in self.request.parts
        )
        self.index.source(address).apply(EventBatch(1, 5, False, events, 0), 0, 0)

    def sources(self):
        plan = self.planner.plan(ENGINE, "zone-a", TRAITS, self.request, SALT, 10)
        return {source for source in plan.fetch_from if source}

    def delay_fetches(self, address, took_ms=2_000):
        for _ in range(SLOW_SAMPLES_NEEDED):
            self.planner.delays.record_first_token((address,), took_ms, 50.0, 5)

    def test_another_source_is_used_while_one_is_slow(self):
        self.add_holdings(STORE)
        self.assertEqual({STORE}, self.sources())
        self.add_holdings(OTHER)
        self.delay_fetches(STORE)
        self.assertEqual({OTHER}, self.sources())

    def test_a_prompt_is_prefilled_while_all_sources_are_slow(self):
        self.add_holdings(STORE)
        self.delay_fetches(STORE)
        self.assertEqual(set(), self.sources())

    def test_a_short_delay_is_cheaper_than_prefill(self):
        self.add_holdings(STORE)
        self.delay_fetches(STORE, took_ms=120)
        self.assertEqual({STORE}, self.sources())
