from __future__ import annotations

import unittest

from tests.proof.harness import check_proof
from tests.proof.proof_limits import PROOFS


class LimitsProofTests(unittest.TestCase):
    def test_short_form(self) -> None:
        for proof in PROOFS:
            with self.subTest(proof.slug):
                check_proof(self, proof)
