import unittest

from tests.proof.harness import check_proof
from tests.proof.proof_membership import PROOFS


class MembershipProofTests(unittest.TestCase):
    def test_membership(self):
        check_proof(self, PROOFS[0])
