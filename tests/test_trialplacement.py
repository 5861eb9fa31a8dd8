"""Tests of the placement of requests while suspected parts are tried."""

import unittest

from bergamothill.request.partquarantine import Trial
from bergamothill.request.serverchoice import NoFreeMemory
from tests.builders import backend, caller_request, routing_config, server_pool

LLM = routing_config().services["llm"]
BOOKINGS = routing_config().services["bookings"]


class TrialPlacementTest(unittest.TestCase):
    def setUp(self):
        self.pool = server_pool(backend("s1"), backend("s2"), backend("s3"))
        self.under_trial = set()
        self.pool.servers_under_trial = lambda now_ms: frozenset(self.under_trial)

    def run_requests(self, server, count, tokens=10):
        for _ in range(count):
            self.pool.request_started(server, tokens, 0, 0)

    def chosen(self, **trial):
        trial = Trial(frozenset(), **trial) if trial else None
        chosen = self.pool.choose(LLM, caller_request(), None, (), 0, 0, trial)
        return chosen if isinstance(chosen, NoFreeMemory) else chosen[0].server

    def test_a_trial_runs_where_the_fewest_requests_are_in_progress(self):
        self.run_requests("s1", 3)
        self.run_requests("s2", 2, tokens=20_000)
        self.run_requests("s3", 4)
        self.assertEqual("s2", self.chosen(needs_lone_server=False))

    def test_other_prompts_avoid_servers_under_trial_if_others_have_room(self):
        self.run_requests("s1", 1, tokens=10_000)
        self.run_requests("s2", 1, tokens=10_000)
        self.under_trial = {"s3"}
        self.assertNotEqual("s3", self.chosen())
        self.run_requests("s1", 1, tokens=90_000)
        self.run_requests("s2", 1, tokens=90_000)
        self.assertEqual("s3", self.chosen())

    def test_a_trial_avoids_servers_under_trial(self):
        self.run_requests("s2", 1)
        self.run_requests("s3", 1)
        self.under_trial = {"s1", "s3"}
        self.assertEqual("s2", self.chosen(needs_lone_server=True))
        self.assertEqual("s2", self.chosen(needs_lone_server=False))

    def test_a_trial_without_a_prompt_avoids_servers_under_trial(self):
        plain = [backend(f"p{n}", service="bookings", weights={}) for n in (1, 2)]
        self.pool.apply_list(plain, 0, 0)
        self.under_trial = {"p1"}
        request = caller_request(model=None, parts=())
        trial = Trial(frozenset(), needs_lone_server=True)
        chosen = self.pool.choose(BOOKINGS, request, None, (), 0, 0, trial)
        self.assertEqual("p2", chosen[0].server)

    def test_requests_without_a_prompt_are_placed_like_prompts_beside_a_trial(self):
        plain = [backend(f"p{n}", service="bookings", weights={}) for n in (1, 2)]
        self.pool.apply_list(plain, 0, 0)
        self.run_requests("p2", 3)
        request = caller_request(model=None, parts=())
        lone = Trial(frozenset(), needs_lone_server=True)
        any_server = Trial(frozenset(), needs_lone_server=False)
        cases = (
            (set(), {None: "p1", lone: "p1", any_server: "p1"}),
            ({"p1"}, {None: "p2", lone: "p2", any_server: "p2"}),
            ({"p1", "p2"}, {None: "p1", lone: None, any_server: "p1"}),
        )
        for self.under_trial, expected in cases:
            for trial, server in expected.items():
                with self.subTest(under_trial=self.under_trial, trial=trial):
                    chosen = self.pool.choose(BOOKINGS, request, None, (), 0, 0, trial)
                    has_none = isinstance(chosen, NoFreeMemory)
                    self.assertEqual(server, None if has_none else chosen[0].server)

    def test_only_a_trial_that_needs_a_server_without_another_waits_for_one(self):
        self.under_trial = {"s1", "s2", "s3"}
        self.assertIsInstance(self.chosen(needs_lone_server=True), NoFreeMemory)
        self.assertIn(self.chosen(needs_lone_server=False), self.under_trial)
