"""Bound on the memory that unfinished answers may take in this process; does no I/O."""

from __future__ import annotations

from bergamothill.request.memoryaccount import MemoryAccount, Share

__all__ = ["UNRESERVED_BYTES", "BufferBudget", "Reservation"]

UNRESERVED_BYTES = 65_536
"""Size up to which a buffer needs no budget, so that large ones cannot keep out ordinary ones."""


class BufferBudget:
    """Bytes that all unfinished answers may hold together.

    :param max_bytes: their maximum sum
    :param account: account of the process from which they are taken; None for one of their own
    """

    def __init__(self, max_bytes: int, account: MemoryAccount | None = None) -> None:
        self._max_bytes = max_bytes
        self._account = account
        self.reserved_bytes = 0

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserve some bytes; returns False, without reserving any, if they exceed the budget."""
        if self.reserved_bytes + size_bytes > self._max_bytes:
            return False
        if self._account is not None and not self._account.try_take(size_bytes, Share.ANSWERS):
            return False
        self.reserved_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Release bytes that were reserved."""
        self.reserved_bytes -= size_bytes
        if self._account is not None:
            self._account.release(size_bytes)


class Reservation:
    """Part of a budget that one buffer takes.

    :param budget: budget of the process
    """

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0

    def try_resize(self, size_bytes: int) -> bool:
        """Take what a buffer of some size needs; returns False, unchanged, if that is too much."""
        missing_bytes = max(0, size_bytes - UNRESERVED_BYTES) - self._reserved_bytes
        if missing_bytes > 0 and not self._budget.try_reserve(missing_bytes):
            return False
        if missing_bytes < 0:
            self._budget.release(-missing_bytes)
        self._reserved_bytes += missing_bytes
        return True
