from __future__ import annotations

import random
import unittest
from dataclasses import replace

from bergamothill.ids import ServerId, StoreId, ZoneName
from bergamothill.request.routing import EngineView, Prompt, Route, StoredBlock, choose_route
from bergamothill.version.config import PolicyWeights

BLOCK = StoredBlock(StoreId("store-0"), ZoneName("a"), 80_000_000, 2_000)
ENGINE = EngineView(ServerId("engine-0"), ZoneName("a"), 0, 0, 16_000, 1_000_000_000, 0, 0)
ONLY_TTFT = PolicyWeights(ttft=1, recompute=0, link=0)


def prompt(blocks: int, stored: tuple[StoredBlock | None, ...]) -> Prompt:
    keys = tuple(str(index) for index in range(blocks))
    return Prompt(keys, (2_000,) * blocks, blocks * 2_000 + 160, stored)


def choose(
    subject: Prompt, *engines: EngineView, weights: PolicyWeights = ONLY_TTFT, **options: object
) -> Route | None:
    return choose_route(subject, engines, weights, random.Random(1), **options)


class ChooseRouteTests(unittest.TestCase):
    def test_no_engine_no_route(self) -> None:
        self.assertIsNone(choose(prompt(1, ())))

    def test_restores_all_that_is_faster_to_move_than_to_compute(self) -> None:
        route = choose(prompt(5, (BLOCK,) * 5), ENGINE)
        self.assertEqual((5, 410), (route.restore_blocks, route.expected_ttft_ms))

    def test_computes_the_prefix_while_the_rest_arrives(self) -> None:
        route = choose(prompt(5, (BLOCK,) * 5), ENGINE, overlap=True)
        self.assertEqual(
            (2, 5, 260), (route.compute_blocks, route.restore_blocks, route.expected_ttft_ms)
        )

    def test_overlap_uses_blocks_behind_a_miss(self) -> None:
        stored = (None, BLOCK, BLOCK)
        self.assertEqual(0, choose(prompt(3, stored), ENGINE).restore_blocks)
        route = choose(prompt(3, stored), ENGINE, overlap=True)
        self.assertEqual((1, 3), (route.compute_blocks, route.restore_blocks))

    def test_slow_link_makes_computing_cheaper(self) -> None:
        slow = replace(ENGINE, link_bytes_per_s=100_000_000)
        self.assertEqual(0, choose(prompt(3, (BLOCK,) * 3), slow).restore_blocks)

    def test_weights_move_the_choice(self) -> None:
        busy = replace(ENGINE, server=ServerId("engine-1"), queued_tokens=4_800, cached_blocks=3)
        subject = prompt(3, (BLOCK,) * 3)
        self.assertEqual("engine-0", choose(subject, ENGINE, busy).server)
        thrifty = PolicyWeights(ttft=1, recompute=0, link=1)
        self.assertEqual("engine-1", choose(subject, ENGINE, busy, weights=thrifty).server)

    def test_computes_no_more_than_the_objective_needs(self) -> None:
        weights = PolicyWeights(ttft=1, recompute=60, link=0, late=500)
        subject = prompt(5, (BLOCK,) * 5)
        options = {"weights": weights, "overlap": True}
        self.assertEqual(0, choose(subject, ENGINE, objective_ms=1_000, **options).compute_blocks)
        self.assertEqual(1, choose(subject, ENGINE, objective_ms=400, **options).compute_blocks)
        self.assertEqual(0, choose(subject, ENGINE, objective_ms=200, **options).compute_blocks)

    def test_ties_spread_over_the_near_best(self) -> None:
        engines = [replace(ENGINE, server=ServerId(f"engine-{i}")) for i in range(4)]
        rng = random.Random(1)
        subject = prompt(1, ())
        chosen = {choose_route(subject, engines, ONLY_TTFT, rng).server for _ in range(50)}
        self.assertEqual(4, len(chosen))
