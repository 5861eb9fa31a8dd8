"""Short forms of the proofs for deployments on the users' platform."""

from __future__ import annotations

import unittest

from tests.proof import (
    proof_admission,
    proof_answers,
    proof_backends,
    proof_coldservers,
    proof_crashingparts,
    proof_crashingrequests,
    proof_evacuation,
    proof_failedreads,
    proof_forwarding,
    proof_homes,
    proof_kept,
    proof_orderturn,
    proof_restore,
    proof_retryshare,
    proof_serverlimits,
    proof_sharedreads,
    proof_streamversions,
    proof_swaps,
    proof_weightdeadline,
)
from tests.proof.harness import check_proof

MODULES = (
    proof_admission,
    proof_answers,
    proof_backends,
    proof_coldservers,
    proof_crashingparts,
    proof_crashingrequests,
    proof_evacuation,
    proof_failedreads,
    proof_forwarding,
    proof_homes,
    proof_kept,
    proof_orderturn,
    proof_restore,
    proof_retryshare,
    proof_serverlimits,
    proof_sharedreads,
    proof_streamversions,
    proof_swaps,
    proof_weightdeadline,
)


class PlatformProofTests(unittest.TestCase):
    def test_short_forms(self) -> None:
        for proof in (proof for module in MODULES for proof in module.PROOFS):
            with self.subTest(proof.slug):
                check_proof(self, proof)
