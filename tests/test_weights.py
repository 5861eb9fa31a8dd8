import unittest

from bergamothill.connection.engine import EngineState, EventKind, StreamEvent
from bergamothill.errors import NotFoundError, ProtocolError, WeightVersionError
from bergamothill.ids import Incarnation
from bergamothill.version.config import Configuration, ModelConfig
from bergamothill.version.weights import (
    MISMATCH_EXCLUSION_MS,
    RunVersion,
    VersionMismatches,
    pin_version,
    reports_loaded,
)
from tests.proof import proof_weights
from tests.proof.harness import check_proof

START_V1 = StreamEvent(0, EventKind.START, weight_version="v1")
START_V2 = StreamEvent(0, EventKind.START, weight_version="v2")
TOKEN = StreamEvent(1, EventKind.TOKEN, "a")
CHAINS = proof_weights.CHAINS


class RunVersionTests(unittest.TestCase):
    def setUp(self):
        self.version = RunVersion("v1", "e1")

    def test_wrong_version_error_names_the_engine(self):
        with self.assertRaises(WeightVersionError) as caught:
            self.version.check(START_V2)
        self.assertEqual(caught.exception.peer, "e1")
        self.assertIsInstance(caught.exception, ProtocolError)

    def test_unreported_version_is_refused(self):
        with self.assertRaises(WeightVersionError):
            self.version.check(StreamEvent(0, EventKind.START))

    def test_token_before_start_is_refused(self):
        with self.assertRaises(WeightVersionError):
            self.version.check(TOKEN)

    def test_export_requires_the_confirmed_pinned_version(self):
        self.assertFalse(self.version.may_export(CHAINS["v1"]))
        self.version.check(START_V1)
        self.version.check(TOKEN)
        self.assertTrue(self.version.may_export(CHAINS["v1"]))
        self.assertFalse(self.version.may_export(CHAINS["v2"]))

    def test_second_start_with_another_version_revokes_the_confirmation(self):
        self.version.check(START_V1)
        with self.assertRaises(WeightVersionError):
            self.version.check(START_V2)
        self.assertFalse(self.version.may_export(CHAINS["v1"]))


class RoutingHintTests(unittest.TestCase):
    def test_request_is_pinned_to_the_current_version(self):
        configuration = Configuration(models={"m": ModelConfig("m", "v1", "v2")})
        self.assertEqual(pin_version(configuration, "m"), "v1")
        with self.assertRaises(NotFoundError):
            pin_version(configuration, "n")

    def test_loaded_version_belongs_to_the_model(self):
        state = EngineState(Incarnation(1), False, frozenset({"m:v1"}))
        self.assertTrue(reports_loaded(state, "m", "v1"))
        self.assertFalse(reports_loaded(state, "n", "v1"))

    def test_exclusion_expires(self):
        mismatches = VersionMismatches()
        mismatches.record_mismatch("e1", 5)
        self.assertTrue(mismatches.is_excluded("e1", MISMATCH_EXCLUSION_MS))
        self.assertFalse(mismatches.is_excluded("e1", MISMATCH_EXCLUSION_MS + 5))
        self.assertFalse(mismatches.is_excluded("e2", 5))


class WeightProofTests(unittest.TestCase):
    def test_versions_are_never_mixed(self):
        check_proof(self, proof_weights.PROOFS[0])
