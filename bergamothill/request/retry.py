"""Retry budget: each success earns part of a retry, which bounds the extra load during a fault."""

from __future__ import annotations

__all__ = ["RetryBudget"]

EARNED_PER_SUCCESS = 0.1
MAX_RETRIES = 10.0


class RetryBudget:
    """Retry budget of one process for one kind of backend.

    :param earned_per_success: retries that one success earns
    :param max_retries: maximum budget, in retries; the budget starts full
    """

    def __init__(
        self, earned_per_success: float = EARNED_PER_SUCCESS, max_retries: float = MAX_RETRIES
    ) -> None:
        self._earned_per_success = earned_per_success
        self._max_retries = max_retries
        self._left = max_retries

    @property
    def left(self) -> float:
        """Retries that may be spent now."""
        return self._left

    def succeeded(self) -> None:
        """Record a successful call, whether or not it was retried."""
        self._left = min(self._max_retries, self._left + self._earned_per_success)

    def try_spend(self) -> bool:
        """Spend one retry.

        :returns: False if the budget is used up, so that the failure is final
        """
        if self._left < 1:
            return False
        self._left -= 1
        return True
