import unittest

from bergamothill.connection.engine import EngineState, EventKind, StreamEvent
from bergamothill.errors import NotFoundError, ProtocolError, WeightVersionError
from bergamothill.ids import Incarnation
from bergamothill.version.config import Configuration, ModelConfig
from bergamothill.version.weights import (
    DOUBT_MS,
    RunVersion,
    VersionDoubts,
    pin_version,
    seems_loaded,
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

    def test_other_version_is_refused_with_engine_and_step(self):
        with self.assertRaises(WeightVersionError) as caught:
            self.version.check(START_V2)
        self.assertEqual(caught.exception.peer, "e1")
        self.assertIsInstance(caught.exception, ProtocolError)

    def test_unnamed_version_is_refused(self):
        with self.assertRaises(WeightVersionError):
            self.version.check(StreamEvent(0, EventKind.START))

    def test_token_before_start_is_refused(self):
        with self.assertRaises(WeightVersionError):
            self.version.check(TOKEN)

    def test_export_is_under_the_pinned_version_once_it_is_confirmed(self):
        self.assertFalse(self.version.may_export(CHAINS["v1"]))
        self.version.check(START_V1)
        self.version.check(TOKEN)
        self.assertTrue(self.version.may_export(CHAINS["v1"]))
        self.assertFalse(self.version.may_export(CHAINS["v2"]))

    def test_second_start_of_another_version_withdraws_the_confirmation(self):
        self.version.check(START_V1)
        with self.assertRaises(WeightVersionError):
            self.version.check(START_V2)
        self.assertFalse(self.version.may_export(CHAINS["v1"]))


class HintTests(unittest.TestCase):
    def test_pin_is_the_current_version_and_not_the_target(self):
        configuration = Configuration(models={"m": ModelConfig("m", "v1", "v2")})
        self.assertEqual(pin_version(configuration, "m"), "v1")
        with self.assertRaises(NotFoundError):
            pin_version(configuration, "n")

    def test_loaded_version_is_that_of_the_model(self):
        state = EngineState(Incarnation(1), False, frozenset({"m:v1"}))
        self.assertTrue(seems_loaded(state, "m", "v1"))
        self.assertFalse(seems_loaded(state, "n", "v1"))

    def test_doubt_ends(self):
        doubts = VersionDoubts()
        doubts.note("e1", 5)
        self.assertTrue(doubts.is_doubted("e1", DOUBT_MS))
        self.assertFalse(doubts.is_doubted("e1", DOUBT_MS + 5))
        self.assertFalse(doubts.is_doubted("e2", 5))


class WeightProofTests(unittest.TestCase):
    def test_versions_stay_apart(self):
        check_proof(self, proof_weights.PROOFS[0])
