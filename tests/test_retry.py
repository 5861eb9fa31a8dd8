from __future__ import annotations

import unittest

from bergamothill.request.retry import RetryBudget


class RetryBudgetTests(unittest.TestCase):
    def test_retries_stay_a_fixed_part_of_the_successes(self) -> None:
        budget = RetryBudget(earned_per_success=0.1, max_retries=2)
        self.assertEqual([True, True, False], [budget.try_spend() for _ in range(3)])
        for _ in range(11):
            budget.succeeded()
        self.assertEqual([True, False], [budget.try_spend() for _ in range(2)])
