"""Tests of the weight store."""

import unittest

from bergamothill.connection.weightstore import HttpWeightStore, MemoryWeightStore
from bergamothill.errors import NotFoundError
from scripts.processes import StandInProcess


class MemoryWeightStoreTest(unittest.TestCase):
    def test_versions_are_listed_oldest_first(self):
        store = MemoryWeightStore({"reed": ["v1"]})
        store.add("reed", "v2")
        self.assertEqual(("v1", "v2"), store.versions("reed"))
        with self.assertRaises(NotFoundError):
            store.versions("quill")


class HttpWeightStoreTest(unittest.TestCase):
    def test_versions_are_listed_and_loaded(self):
        with StandInProcess("weightstore", "--load-ms", "1") as standin:
            store = HttpWeightStore(standin.client)
            standin.json("PUT", "/models/reed/versions", ["v1", "v2"])
            self.assertEqual(("v1", "v2"), store.versions("reed"))
            with self.assertRaises(NotFoundError):
                store.versions("quill")
            loaded = standin.json("GET", "/models/reed/versions/v2")
            self.assertGreater(loaded["size_bytes"], 0)
