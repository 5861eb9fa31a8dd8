"""Short forms of the proofs of the decisions on the users' platform."""

from __future__ import annotations

import unittest

from tests.proof import proof_orderturn
from tests.proof.harness import check_proof

MODULES = (proof_orderturn,)


class PlatformProofTests(unittest.TestCase):
    def test_short_forms(self) -> None:
        for proof in (proof for module in MODULES for proof in module.PROOFS):
            with self.subTest(proof.slug):
                check_proof(self, proof)
