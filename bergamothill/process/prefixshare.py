"""The reads of one prefix as shared with other instances, for the thread that reads it; no I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from bergamothill.process.readcontent import Entries
from bergamothill.process.readorder import AppliedRead
from bergamothill.process.readtimes import ReadTimes

__all__ = ["PrefixShare", "ReadSharing"]


class ReadSharing(Protocol):
    """Shares the reads of several prefixes; see :class:`PrefixShare` for the methods."""

    era: int
    is_sharing: bool

    def set_times(self, prefix: str, times: ReadTimes) -> None:
        """Change the times of a prefix."""

    def should_read(self, prefix: str) -> bool:
        """Return whether this instance is to read a prefix itself."""

    def is_fresh(self, prefix: str) -> bool:
        """Return whether a read that is at most one interval old was applied."""

    def record_read(self, prefix: str, entries: Entries, era_before: int, sent_ms: int) -> bool:
        """Apply and tell the result of an own read."""

    def record_failure(self, prefix: str) -> None:
        """Tell that an own read failed."""


class PrefixShare:
    """The reads of one prefix, for the thread that reads it; thread-safe.

    :param exchange: shares the reads
    :param prefix: prefix of the keys
    """

    def __init__(self, exchange: ReadSharing, prefix: str) -> None:
        self._exchange = exchange
        self._prefix = prefix
        self.on_read: Callable[[AppliedRead], None] = lambda _read: None
        """Called with all content to apply, in order, in any thread; it must not block."""

        self.wake: Callable[[], None] = lambda: None
        """Called when this instance is to read."""

    def set_times(self, times: ReadTimes) -> None:
        """Change the times of the prefix."""
        self._exchange.set_times(self._prefix, times)

    def should_read(self) -> bool:
        """Return whether this instance is to read the prefix itself."""
        return self._exchange.should_read(self._prefix)

    def is_fresh(self) -> bool:
        """Return whether a read that is at most one interval old was applied, whoever made it."""
        return self._exchange.is_fresh(self._prefix)

    def record_read(self, entries: Entries, era_before: int, sent_ms: int) -> bool:
        """Apply the result of a read that this instance made, and tell it.

        :param entries: all entries under the prefix
        :param era_before: era of the service known before the read was sent
        :param sent_ms: time at which it was sent
        :returns: whether it was applied
        """
        return self._exchange.record_read(self._prefix, entries, era_before, sent_ms)

    def record_failure(self) -> None:
        """Tell that a read of this instance failed."""
        self._exchange.record_failure(self._prefix)

    @property
    def is_sharing(self) -> bool:
        """Whether the zone has instances that need not read."""
        return self._exchange.is_sharing

    @property
    def era(self) -> int:
        """Newest era of the service that this instance knows."""
        return self._exchange.era
