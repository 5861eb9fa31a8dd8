"""Tests of the readers of cache events: instances that do not know what engines near them hold."""

import unittest

from bergamothill.process.registry import Peer
from bergamothill.process.sourcereaders import CacheSource, SourceReaders

INSTANCES = {f"e{n}": f"zone-{n % 4}" for n in range(32)}


def source(zone="zone-0", max_readers=12):
    return CacheSource("10.0.0.1:80", zone, max_readers)


def readers_of(cache_source, instances=INSTANCES):
    """Return the instances that read a source, each deciding by itself."""
    chosen = set()
    for entry, zone in instances.items():
        readers = SourceReaders(entry, zone)
        others = (Peer(e, "h", 1, z) for e, z in instances.items() if e != entry)
        readers.set_peers(others)
        if readers.should_read(cache_source):
            chosen.add(entry)
    return chosen


class SourceReadersTest(unittest.TestCase):
    def test_a_source_gets_as_many_readers_as_it_admits(self):
        for max_readers in (1, 7, 12, 31):
            self.assertEqual(max_readers, len(readers_of(source(max_readers=max_readers))))

    def test_instances_of_its_zone_come_first(self):
        near = {entry for entry, zone in INSTANCES.items() if zone == "zone-0"}
        self.assertLess(near, readers_of(source()))
        self.assertLess(readers_of(source(max_readers=5)), near)

    def test_in_small_deployments_all_read_all(self):
        few = dict(list(INSTANCES.items())[:6])
        self.assertEqual(set(few), readers_of(source(), few))
        self.assertEqual(set(INSTANCES), readers_of(source(max_readers=0)))

    def test_the_place_of_an_instance_that_leaves_is_taken(self):
        chosen = readers_of(source())
        left = {e: z for e, z in INSTANCES.items() if e != min(chosen)}
        self.assertEqual(12, len(readers_of(source(), left)))
        self.assertLess(chosen - {min(chosen)}, readers_of(source(), left))

    def test_a_change_of_the_instances_is_noticed_once(self):
        readers = SourceReaders("e0", "zone-0")
        self.assertTrue(readers.set_peers([Peer("e1", "h", 1, "zone-1")]))
        self.assertFalse(readers.set_peers([Peer("e1", "h", 1, "zone-1")]))
