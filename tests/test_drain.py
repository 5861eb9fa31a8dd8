import unittest

from tests.proof.harness import check_proof
from tests.proof.proof_drain import PROOFS


class DrainProofTests(unittest.TestCase):
    def test_planned_stops(self):
        check_proof(self, PROOFS[0])
