import unittest

from bergamothill.connection.engine import CacheEvent, CacheEventKind
from bergamothill.request.cachehints import CacheHints

KEYS = tuple(f"{number:064x}"[::-1] for number in range(1, 6))


class CacheHintsTests(unittest.TestCase):
    def setUp(self):
        self.hints = CacheHints(max_hints=3)

    def test_last_block_stands_for_its_prefix(self):
        self.hints.record_run("e1", KEYS[:3])
        self.assertEqual({"e1": 3}, self.hints.cached_blocks(KEYS))

    def test_longest_prefix_of_each_engine_counts(self):
        self.hints.record_run("e1", KEYS[:3])
        self.hints.record_run("e2", KEYS[:2])
        self.assertEqual({"e1": 3, "e2": 2}, self.hints.cached_blocks(KEYS))

    def test_engines_count_corrects_the_hint(self):
        self.hints.record_run("e1", KEYS[:3])
        self.hints.record_misses("e1", KEYS, 0)
        self.assertEqual({}, self.hints.cached_blocks(KEYS))

    def test_eviction_of_another_engine_changes_nothing(self):
        self.hints.record_run("e1", KEYS[:1])
        self.hints.observe("e2", [CacheEvent(1, CacheEventKind.EVICTED, KEYS[0])])
        self.assertEqual({"e1": 1}, self.hints.cached_blocks(KEYS))

    def test_memory_is_bounded(self):
        for key in KEYS:
            self.hints.record_run("e1", (key,))
        self.assertEqual({}, self.hints.cached_blocks(KEYS[:2]))

    def test_peers_learn_by_delta(self):
        peer = CacheHints()
        self.hints.record_run("e1", KEYS[:2])
        peer.apply_delta(self.hints.take_delta())
        self.assertEqual({"e1": 2}, peer.cached_blocks(KEYS))
        self.assertIsNone(self.hints.take_delta())
