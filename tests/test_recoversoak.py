"""Tests of rule RECOVER as the soak of cut instances applies it."""

import random
import unittest
from types import SimpleNamespace

from scripts.callerload import CallerHabit, CallerRecord, Ending, ZoneBalancer
from scripts.platformfleet import KOWHAI_MEND
from scripts.recoversoak import Cut, CutScope, RecoverFigures, chosen_nodes, is_served, judge
from standins.links import LinkState

CUT = Cut(frozenset({"n1"}), LinkState.HANG, begun_ms=100_000, ended_ms=110_000)
LOOKUP = KOWHAI_MEND.kinds[-1]


def record(node="n1", sent_ms=105_000, **changes):
    values = {
        "sent_ms": sent_ms,
        "ended_ms": sent_ms + 100,
        "ending": Ending.WHOLE,
        "status": 200,
        "received": LOOKUP.size,
        **changes,
    }
    return CallerRecord("r1", LOOKUP, CallerHabit.KEEPS, node, **values)


def figures(served, tries, others_served=100, others_tries=100):
    return RecoverFigures(CUT, tries, served, others_tries, others_served)


class RecoverTest(unittest.TestCase):
    def test_it_is_broken_below_two_thirds_with_more_failures_than_the_slack(self):
        for served, tries, is_broken in ((66, 100, True), (67, 100, False), (0, 10, False)):
            with self.subTest(served=served, tries=tries):
                self.assertEqual(is_broken, figures(served, tries).is_broken)
        self.assertFalse(figures(0, 10).is_broken)
        self.assertTrue(figures(0, 11).is_broken)
        self.assertFalse(figures(40, 100, others_served=60).is_broken)

    def test_tries_from_three_seconds_after_the_cut_to_its_end_count(self):
        sent = (102_999, 103_000, 110_000, 110_001)
        found = judge([record(n, sent_ms=at_ms) for n in ("n1", "n2") for at_ms in sent], CUT)
        self.assertEqual(RecoverFigures(CUT, 2, 2, 2, 2), found)

    def test_only_a_whole_success_within_the_time_limit_is_served(self):
        self.assertTrue(is_served(record()))
        for change in (
            {"ending": Ending.CLOSED},
            {"ending": Ending.NOT_CONNECTED, "status": 0, "received": 0},
            {"status": 503},
            {"received": LOOKUP.size - 1},
            {"ended_ms": 105_001 + LOOKUP.timeout_ms},
        ):
            with self.subTest(change=change):
                self.assertFalse(is_served(record(**change)))


class ChoiceTest(unittest.TestCase):
    def setUp(self):
        self.nodes = [
            SimpleNamespace(name=f"n{n}", zone=zone) for n, zone in enumerate("abcabc", start=1)
        ]

    def test_each_scope_cuts_what_it_says(self):
        for seed in range(20):
            draw = random.Random(seed)
            one_per_zone = chosen_nodes(CutScope.ONE_PER_ZONE, self.nodes, draw)
            self.assertEqual(["a", "b", "c"], [node.zone for node in one_per_zone])
            zone = chosen_nodes(CutScope.ZONE, self.nodes, draw)
            self.assertEqual((2, 1), (len(zone), len({node.zone for node in zone})))
            self.assertEqual(5, len(chosen_nodes(CutScope.FIVE_OF_SIX, self.nodes, draw)))

    def test_callers_leave_their_zone_only_if_it_has_no_instance_in_rotation(self):
        draw = random.Random(1)
        balancer = ZoneBalancer(lambda: self.nodes, "a")
        balancer._misses = {"n1": 2}
        self.assertEqual({"n4"}, {balancer.choose(draw).name for _ in range(20)})
        balancer._misses = {"n1": 2, "n4": 2, "n2": 2}
        chosen = {balancer.choose(draw).name for _ in range(50)}
        self.assertEqual({"n3", "n5", "n6"}, chosen)
