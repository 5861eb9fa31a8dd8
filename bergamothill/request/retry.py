"""Retry budget: retries spend what successes earn, so a fault does not multiply load."""

from __future__ import annotations

__all__ = ["RetryBudget"]

EARNED_PER_SUCCESS = 0.1
MOST_RETRIES = 10.0


class RetryBudget:
    """Budget of retries of one process towards one kind of back end.

    :param earned_per_success: retries that one success earns
    :param most: largest budget, in retries; the budget starts full
    """

    def __init__(
        self, earned_per_success: float = EARNED_PER_SUCCESS, most: float = MOST_RETRIES
    ) -> None:
        self._earned_per_success = earned_per_success
        self._most = most
        self._left = most

    @property
    def left(self) -> float:
        """Retries that may be spent now."""
        return self._left

    def succeeded(self) -> None:
        """Earn from a call that succeeded at its first attempt or later."""
        self._left = min(self._most, self._left + self._earned_per_success)

    def try_spend(self) -> bool:
        """Spend one retry.

        :returns: False when the budget is used up and the failure is final
        """
        if self._left < 1:
            return False
        self._left -= 1
        return True
