import unittest

from tests.proof.harness import Proof, check_proof
from tests.proof.proof_brands import PROOFS, BrandMachine


class BrandTests(unittest.TestCase):
    def test_short_form(self):
        check_proof(self, PROOFS[0])

    def test_each_part_is_needed(self):
        for part in sorted(BrandMachine.doubles):
            machine = type(f"Without{part}", (BrandMachine,), {"doubles": frozenset({part})})
            with self.subTest(part=part):
                check_proof(self, Proof(part, machine), operations=100)
