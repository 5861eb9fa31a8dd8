"""Tests of the choice of an instance that takes requests of one that reaches no server."""

import unittest

from bergamothill.process.helperchoice import (
    ASKED_PER_ROUND,
    LOST_MS,
    OTHER_ZONE_PENALTY,
    REPLY_LIFE_MS,
    Helpers,
)
from bergamothill.process.reachmessages import ReachReply
from bergamothill.process.registry import Peer
from bergamothill.version.homes import RegionMap

REGIONS = RegionMap("r1", {"a": "r1", "b": "r1", "far": "r2"})


def helpers(*entries, zone="a"):
    """Return the helpers of an instance; an entry is named after its zone and a number."""
    known = Helpers(zone)
    known.set_peers(
        Peer(entry, f"10.0.0.{number}", 7700, entry.rstrip("0123456789"))
        for number, entry in enumerate(entries)
    )
    return known


def reply(entry, in_progress=0, *, is_reaching=True, is_admitting=True):
    return ReachReply(entry, is_reaching, is_admitting, in_progress)


class HelpersTest(unittest.TestCase):
    def chosen(self, known, *, homes=None, tried=(), now_ms=0):
        peer = known.choose(REGIONS, homes, tried, now_ms)
        return None if peer is None else peer.entry

    def test_only_registered_instances_that_reach_servers_and_admit_requests_help(self):
        known = helpers("a1", "a2", "a3")
        known.record_reply(reply("a1", is_reaching=False), 0)
        known.record_reply(reply("a2", is_admitting=False), 0)
        known.record_reply(reply("a9"), 0)
        self.assertIsNone(self.chosen(known))
        known.record_reply(reply("a3"), 0)
        self.assertEqual("a3", self.chosen(known))
        self.assertIsNone(self.chosen(known, tried=["a3"]))
        self.assertIsNone(self.chosen(known, now_ms=REPLY_LIFE_MS + 1))
        known.clear()
        self.assertIsNone(self.chosen(known))

    def test_the_own_zone_comes_first_until_it_has_much_more_to_do(self):
        known = helpers("a1", "b1")
        known.record_reply(reply("b1"), 0)
        for in_progress, entry in ((OTHER_ZONE_PENALTY - 1, "a1"), (OTHER_ZONE_PENALTY + 1, "b1")):
            known.record_reply(reply("a1", in_progress), 0)
            self.assertEqual(entry, self.chosen(known))

    def test_what_was_passed_counts_before_the_next_reply(self):
        known = helpers("a1", "a2")
        for entry in ("a1", "a2"):
            known.record_reply(reply(entry), 0)
        known.begin_request("a1")
        self.assertEqual("a2", self.chosen(known))
        known.begin_request("a2")
        known.begin_request("a2")
        self.assertEqual("a1", self.chosen(known))
        for entry in ("a2", "a2", "a1"):
            known.end_request(entry)
        self.assertEqual(["a1", "a2"], sorted(known.helping(0)))

    def test_a_body_goes_only_to_the_own_region_or_a_home_region(self):
        known = helpers("far1")
        known.record_reply(reply("far1"), 0)
        self.assertEqual("far1", self.chosen(known))
        self.assertIsNone(self.chosen(known, homes=frozenset({"r1"})))
        self.assertEqual("far1", self.chosen(known, homes=frozenset({"r2"})))
        known = helpers("b1")
        known.record_reply(reply("b1"), 0)
        self.assertEqual("b1", self.chosen(known, homes=frozenset({"r2"})))

    def test_few_instances_are_asked_and_those_in_use_always(self):
        known = helpers(*[f"b{n}" for n in range(20)], "a1", "a2")
        asked = known.to_ask(0)
        self.assertEqual(ASKED_PER_ROUND, len(asked))
        self.assertEqual({"a1", "a2"}, set(asked[:2]))
        known.record_reply(reply("b7"), 0)
        known.begin_request("b9")
        asked = known.to_ask(0)
        self.assertEqual(["b9", "b7"], asked[:2])

    def test_other_zones_are_asked_though_the_own_zone_is_large_and_all_of_it_is_cut(self):
        known = helpers(*[f"a{n}" for n in range(20)], "b1", "b2")
        for n in range(20):
            known.record_reply(ReachReply(f"a{n}", False, True, 0), 0)
        self.assertEqual({"b1", "b2"}, {e for e in known.to_ask(0) if e.startswith("b")})

    def test_an_instance_that_stops_replying_is_lost(self):
        known = helpers("a1")
        self.assertTrue(known.is_lost("a1", 0))
        known.record_reply(reply("a1", is_reaching=False), 0)
        self.assertFalse(known.is_lost("a1", LOST_MS))
        self.assertTrue(known.is_lost("a1", LOST_MS + 1))

    def test_addresses_of_instances(self):
        self.assertEqual("a2", helpers("a1", "a2").entry_at("10.0.0.1"))
        self.assertIsNone(helpers("a1", "a2").entry_at("10.0.0.2"))


if __name__ == "__main__":
    unittest.main()
