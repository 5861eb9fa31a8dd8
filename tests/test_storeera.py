"""Tests of the eras of the key-value service: revisions and leases across restorations."""

import unittest

from bergamothill.connection.kvs import ABSENT
from bergamothill.connection.storeera import StoreEra, era_of, qualify_revision
from bergamothill.errors import ConflictError, LeaseLostError, StoreRestoredError


class StoreEraTest(unittest.TestCase):
    def setUp(self):
        self.era = StoreEra("store")
        self.seen = []
        self.era.add_listener(self.seen.append)

    def test_revisions_of_a_later_era_are_higher(self):
        self.assertLess(qualify_revision(1, 9_000_000_000), qualify_revision(2, 1))
        self.assertEqual(2, era_of(qualify_revision(2, 7)))
        self.assertLess(qualify_revision(9_999, (1 << 40) - 1), 1 << 54)

    def test_without_eras_revisions_are_the_own_ones_of_the_service(self):
        self.assertEqual(0, self.era.observe(None, "test"))
        self.assertEqual(7, qualify_revision(self.era.current, 7))
        self.assertEqual(7, self.era.unqualify_revision(7, "test"))

    def test_the_first_era_is_no_restoration(self):
        self.assertEqual(3, self.era.observe(3, "test"))
        self.assertEqual([], self.seen)

    def test_listeners_hear_of_each_restoration_once(self):
        for era in (1, 1, 2, 2, 4):
            self.era.observe(era, "test")
        self.assertEqual([2, 4], self.seen)

    def test_a_reply_of_an_earlier_era_is_dropped(self):
        self.era.observe(2, "test")
        with self.assertRaises(StoreRestoredError):
            self.era.observe(1, "test")
        self.assertEqual(2, self.era.current)

    def test_conditions_on_revisions_of_an_earlier_era_are_not_sent(self):
        self.era.observe(1, "test")
        revision = qualify_revision(1, 7)
        self.assertEqual(7, self.era.unqualify_revision(revision, "test"))
        self.era.observe(2, "test")
        with self.assertRaises(ConflictError):
            self.era.unqualify_revision(revision, "test")
        self.assertEqual(ABSENT, self.era.unqualify_revision(ABSENT, "test"))

    def test_leases_end_with_their_era(self):
        lease = self.era.qualify_lease(self.era.observe(1, "test"), 5)
        self.assertEqual(5, self.era.unqualify_lease(lease, "test"))
        self.era.observe(2, "test")
        with self.assertRaises(LeaseLostError):
            self.era.unqualify_lease(lease, "test")
