"""Tests of the ranking of machines: a narrow link that is filled by work for other instances."""

import unittest

from bergamothill.process.machineranking import rank_by_link
from bergamothill.process.registry import Peer
from bergamothill.process.zonereaders import ZoneReaders
from bergamothill.process.zonerelays import ZoneRelays

LINKS_MBPS = {f"e{n}": 200 if n in (3, 7) else 10 for n in range(12)}


class RankingTest(unittest.TestCase):
    def test_faster_links_come_first_and_like_ones_by_hash(self):
        ranked = rank_by_link("key", LINKS_MBPS)
        self.assertEqual({"e3", "e7"}, set(ranked[:2]))
        self.assertNotEqual(ranked[2:], rank_by_link("other", LINKS_MBPS)[2:])
        like = rank_by_link("key", dict.fromkeys(LINKS_MBPS, 12))
        self.assertEqual(like, rank_by_link("key", dict.fromkeys(LINKS_MBPS, 0)))

    def test_all_instances_choose_the_same_relays_and_readers(self):
        for own in LINKS_MBPS:
            peers = [Peer(e, "h", 1, "z", mbps) for e, mbps in LINKS_MBPS.items() if e != own]
            relays, readers = ZoneRelays(own, "z"), ZoneReaders(own, "z")
            relays.own_link_mbps = readers.own_link_mbps = LINKS_MBPS[own]
            relays.set_peers(peers, 0)
            for peer in peers:
                relays.record_capable(peer.entry, 0)
            readers.set_peers(peers)
            self.assertEqual({"e3", "e7"}, {own, *relays.members} & {"e3", "e7"})
            self.assertEqual({"e3", "e7"}, set(relays._ranked["z"][:2]))
            self.assertEqual({"e3", "e7"}, set(readers.ranking[:2]))
