"""Account of the memory that is held for callers in this process; does no I/O."""

from __future__ import annotations

from enum import Enum

__all__ = ["Holding", "MemoryAccount", "Share", "caller_memory_bytes"]

BYTES_PER_MB = 1_048_576

PROCESS_MB = 96
"""Memory of a process that holds nothing for callers, and what its allocator can't give back."""

MIN_CALLER_SHARE = 0.25
"""Least share of the memory limit that is for callers."""


class Share(Enum):
    """Part of the account up to which a use may fill it; the rest is for the uses after it."""

    LARGE_BODIES = 0.70
    """Bodies of requests that are larger than one block."""

    ANSWERS = 0.85
    """Answers that are not complete, or were not read by the caller."""

    SMALL = 1.0
    """Connections, heads, and bodies of up to one block."""


def caller_memory_bytes(memory_mb: int) -> int:
    """Return how much memory may be held for callers.

    :param memory_mb: memory limit of the process
    """
    caller_mb = max(memory_mb - PROCESS_MB, memory_mb * MIN_CALLER_SHARE)
    return int(caller_mb * BYTES_PER_MB)


class MemoryAccount:
    """Memory that is held for all callers together.

    :param max_bytes: its maximum
    """

    def __init__(self, max_bytes: int) -> None:
        self._limits = {share: int(max_bytes * share.value) for share in Share}
        self.used_bytes = 0

    def limit_bytes(self, share: Share) -> int:
        """Return the level up to which a use may fill the account."""
        return self._limits[share]

    def has_room(self, size_bytes: int, share: Share) -> bool:
        """Return whether some more bytes may be taken for a use."""
        return self.used_bytes + size_bytes <= self._limits[share]

    def try_take(self, size_bytes: int, share: Share) -> bool:
        """Take some bytes for a use; returns False, without taking any, if there is no room."""
        if not self.has_room(size_bytes, share):
            return False
        self.used_bytes += size_bytes
        return True

    def take(self, size_bytes: int) -> None:
        """Take bytes that are held already, even without room; negative ones are given back."""
        self.used_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Give bytes back that were taken."""
        self.used_bytes -= size_bytes


class Holding:
    """What one owner has taken of an account.

    :param account: account of the process
    """

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self.size_bytes = 0

    def try_resize(self, size_bytes: int, share: Share) -> bool:
        """Take or give back what a new size needs; returns False, unchanged, without room."""
        more_bytes = size_bytes - self.size_bytes
        if more_bytes > 0 and not self._account.has_room(more_bytes, share):
            return False
        self.resize(size_bytes)
        return True

    def resize(self, size_bytes: int) -> None:
        """Take or give back what a new size needs, even without room."""
        self._account.take(size_bytes - self.size_bytes)
        self.size_bytes = size_bytes

    def release(self) -> None:
        """Give back all of it."""
        self.resize(0)
