"""Bound on the memory that unfinished answers may take in this process; does no I/O."""

from __future__ import annotations

__all__ = ["BufferBudget"]


class BufferBudget:
    """Bytes that all unfinished answers may hold together.

    :param max_bytes: their maximum sum
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.reserved_bytes = 0

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserve some bytes; returns False, without reserving any, if they exceed the budget."""
        if self.reserved_bytes + size_bytes > self._max_bytes:
            return False
        self.reserved_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Release bytes that were reserved."""
        self.reserved_bytes -= size_bytes
