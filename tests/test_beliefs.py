"""Tests of admission: routes, keys and how long they may be trusted."""

import unittest

from bergamothill.process.beliefs import REVOCATION_MARGIN_MS, ConfigBelief, Verdict
from tests.builders import operator_config, routing_config

REVOCATION_MS = 5_000
LAST_MS = REVOCATION_MS - REVOCATION_MARGIN_MS


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.belief = ConfigBelief(REVOCATION_MS, is_strict=True)
        self.belief.take(routing_config(), 10, 0)

    def verdict(self, path="/quote/x", key="key-1", now_ms=0, host="desk.example"):
        return self.belief.admit(host, path, key, now_ms).verdict

    def test_without_a_configuration_nothing_is_denied_for_good(self):
        belief = ConfigBelief(REVOCATION_MS, is_strict=True)
        admission = belief.admit("desk.example", "/quote/x", "key-1", 0)
        self.assertIs(Verdict.NO_CONFIGURATION, admission.verdict)

    def test_routes_and_keys(self):
        self.assertIs(Verdict.ADMITTED, self.verdict())
        self.assertIs(Verdict.UNKNOWN_KEY, self.verdict(key="other"))
        self.assertIs(Verdict.UNKNOWN_KEY, self.verdict(key=None))
        self.assertIs(Verdict.UNKNOWN_ROUTE, self.verdict(path="/none/"))
        self.assertIs(Verdict.ADMITTED, self.verdict(path="/book/open/x", key=None))

    def test_keys_are_trusted_no_longer_than_a_removed_key_may_count(self):
        self.assertIs(Verdict.ADMITTED, self.verdict(now_ms=LAST_MS - 1))
        self.assertIs(Verdict.STALE_KEYS, self.verdict(now_ms=LAST_MS))
        self.assertIs(Verdict.ADMITTED, self.verdict(path="/book/open/x", now_ms=99_000))

    def test_age_counts_from_the_sending_of_the_read(self):
        self.belief.confirm(10, 3_000)
        self.assertIs(Verdict.ADMITTED, self.verdict(now_ms=3_000 + LAST_MS - 1))
        self.assertIs(Verdict.STALE_KEYS, self.verdict(now_ms=3_000 + LAST_MS))

    def test_a_read_of_an_older_revision_confirms_nothing(self):
        self.belief.confirm(9, 4_000)
        self.assertIs(Verdict.STALE_KEYS, self.verdict(now_ms=LAST_MS))

    def test_a_read_that_was_sent_earlier_does_not_make_it_older(self):
        self.belief.confirm(10, 4_000)
        self.belief.confirm(10, 1_000)
        self.assertEqual(0, self.belief.age_ms(4_000))

    def test_an_entry_that_may_have_missed_a_route_does_not_deny_it(self):
        self.assertIs(Verdict.STALE_KEYS, self.verdict(path="/none/", now_ms=LAST_MS))

    def test_only_a_higher_version_is_taken(self):
        tenants = [{"name": "kowhai", "apiKeys": ["key-9"]}]
        newer = routing_config(version=9, tenants=tenants)
        self.assertTrue(self.belief.take(newer, 11, 100))
        self.assertFalse(self.belief.take(routing_config(), 12, 200))
        self.assertEqual(9, self.belief.version)
        self.assertIs(Verdict.UNKNOWN_KEY, self.verdict(now_ms=300))

    def test_without_strict_revocation_keys_are_trusted_while_cut_off(self):
        belief = ConfigBelief(REVOCATION_MS, is_strict=False)
        belief.take(routing_config(), 10, 0)
        verdict = belief.admit("desk.example", "/quote/x", "key-1", 99_000).verdict
        self.assertIs(Verdict.ADMITTED, verdict)

    def test_the_configuration_s_own_limits(self):
        limits = operator_config()["limits"]
        self.assertEqual(limits["maxBodyBytes"], self.belief.limits.body_bytes)
