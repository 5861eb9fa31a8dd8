"""Tests of admission: routes, keys and the maximum age of the configuration."""

import unittest

from bergamothill.connection.storeera import REWRITE_MS, qualify_revision
from bergamothill.process.configstate import REVOCATION_MARGIN_MS, ConfigState, Verdict
from tests.builders import operator_config, routing_config

REVOCATION_MS = 5_000
LAST_MS = REVOCATION_MS - REVOCATION_MARGIN_MS


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.config_state = ConfigState(REVOCATION_MS, is_strict=True)
        self.config_state.apply(routing_config(), 10, 0)

    def verdict(self, path="/quote/x", key="key-1", now_ms=0, host="desk.example"):
        return self.config_state.admit(host, path, key, now_ms).verdict

    def test_without_a_configuration_no_request_is_denied_permanently(self):
        config_state = ConfigState(REVOCATION_MS, is_strict=True)
        admission = config_state.admit("desk.example", "/quote/x", "key-1", 0)
        self.assertIs(Verdict.NO_CONFIGURATION, admission.verdict)

    def test_routes_and_keys(self):
        self.assertIs(Verdict.ADMITTED, self.verdict())
        self.assertIs(Verdict.UNKNOWN_KEY, self.verdict(key="other"))
        self.assertIs(Verdict.UNKNOWN_KEY, self.verdict(key=None))
        self.assertIs(Verdict.UNKNOWN_ROUTE, self.verdict(path="/none/"))
        self.assertIs(Verdict.ADMITTED, self.verdict(path="/book/open/x", key=None))

    def test_keys_are_rejected_once_the_configuration_exceeds_the_revocation_bound(self):
        self.assertIs(Verdict.ADMITTED, self.verdict(now_ms=LAST_MS - 1))
        self.assertIs(Verdict.STALE_KEYS, self.verdict(now_ms=LAST_MS))
        self.assertIs(Verdict.ADMITTED, self.verdict(path="/book/open/x", now_ms=99_000))

    def test_age_is_measured_from_the_time_the_read_was_sent(self):
        self.config_state.confirm(10, 3_000)
        self.assertIs(Verdict.ADMITTED, self.verdict(now_ms=3_000 + LAST_MS - 1))
        self.assertIs(Verdict.STALE_KEYS, self.verdict(now_ms=3_000 + LAST_MS))

    def test_a_read_of_an_older_revision_confirms_nothing(self):
        self.config_state.confirm(9, 4_000)
        self.assertIs(Verdict.STALE_KEYS, self.verdict(now_ms=LAST_MS))

    def test_an_earlier_read_does_not_increase_the_age(self):
        self.config_state.confirm(10, 4_000)
        self.config_state.confirm(10, 1_000)
        self.assertEqual(0, self.config_state.age_ms(4_000))

    def test_an_older_copy_of_the_service_neither_replaces_nor_confirms_a_configuration(self):
        self.config_state.apply(routing_config(version=9), 20, 1_000)
        self.config_state.record_restore(1_500)
        after_ms = 1_500 + REWRITE_MS
        self.assertFalse(self.config_state.apply(routing_config(version=8), 1_000, after_ms))
        self.assertEqual(9, self.config_state.version)
        self.assertEqual(after_ms - 1_000, self.config_state.age_ms(after_ms))

    def test_a_newer_configuration_at_a_lower_revision_comes_into_force(self):
        self.config_state.apply(routing_config(version=9), qualify_revision(1, 500), 1_000)
        self.config_state.record_restore(1_500)
        newer = routing_config(version=11, tenants=[{"name": "kowhai", "apiKeys": ["key-9"]}])
        self.assertTrue(self.config_state.apply(newer, qualify_revision(2, 300), 1_600))
        self.assertIs(Verdict.UNKNOWN_KEY, self.verdict(now_ms=1_600))

    def test_after_a_restoration_reads_confirm_only_once_the_operator_has_written_again(self):
        self.config_state.apply(routing_config(), qualify_revision(1, 10), 1_000)
        self.config_state.record_restore(1_500)
        restored = qualify_revision(2, 8)
        self.config_state.apply(routing_config(), restored, 1_500 + REWRITE_MS - 1)
        self.assertEqual(4_000, self.config_state.age_ms(5_000))
        self.config_state.confirm(restored, 1_500 + REWRITE_MS)
        self.assertEqual(3_500 - REWRITE_MS, self.config_state.age_ms(5_000))

    def test_the_wait_for_the_operator_starts_anew_after_a_further_outage(self):
        self.config_state.record_restore(1_500)
        self.config_state.record_reconnection(6_000)
        self.config_state.confirm(10, 6_000 + REWRITE_MS - 1)
        self.assertEqual(8_000, self.config_state.age_ms(8_000))
        self.config_state.confirm(10, 6_000 + REWRITE_MS)
        self.config_state.record_reconnection(9_000)
        self.config_state.confirm(10, 9_000)
        self.assertEqual(0, self.config_state.age_ms(9_000))

    def test_a_key_that_was_revoked_just_before_a_restoration_is_not_admitted_for_longer(self):
        """The revocation was accepted at 1,400, never read here, and is lost for a while."""
        self.config_state.apply(routing_config(), qualify_revision(1, 10), 1_000)
        self.config_state.record_restore(1_500)
        for read_ms in range(1_500, 1_500 + REWRITE_MS, 300):
            self.config_state.apply(routing_config(), qualify_revision(2, 10), read_ms)
        self.assertIs(Verdict.STALE_KEYS, self.verdict(now_ms=1_000 + LAST_MS))

    def test_a_stale_configuration_does_not_deny_an_unknown_route(self):
        self.assertIs(Verdict.STALE_KEYS, self.verdict(path="/none/", now_ms=LAST_MS))

    def test_only_a_higher_version_is_applied(self):
        tenants = [{"name": "kowhai", "apiKeys": ["key-9"]}]
        newer = routing_config(version=9, tenants=tenants)
        self.assertTrue(self.config_state.apply(newer, 11, 100))
        self.assertFalse(self.config_state.apply(routing_config(), 12, 200))
        self.assertEqual(9, self.config_state.version)
        self.assertIs(Verdict.UNKNOWN_KEY, self.verdict(now_ms=300))

    def test_without_strict_revocation_keys_are_accepted_at_any_age(self):
        config_state = ConfigState(REVOCATION_MS, is_strict=False)
        config_state.apply(routing_config(), 10, 0)
        verdict = config_state.admit("desk.example", "/quote/x", "key-1", 99_000).verdict
        self.assertIs(Verdict.ADMITTED, verdict)

    def test_limits_come_from_the_configuration(self):
        limits = operator_config()["limits"]
        self.assertEqual(limits["maxBodyBytes"], self.config_state.limits.body_bytes)
