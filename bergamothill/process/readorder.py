"""Which of several reads of a prefix may be applied after which; no I/O and no clock.

Reads of different instances overlap. Content that differs from what was applied is accepted only if
its read was certainly sent after the last read known to have returned the applied content had
returned, so that an instance never goes back to an older state.
"""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.ids import EntryInstanceId
from bergamothill.process.readcontent import Entries

__all__ = ["AppliedRead", "ReadOrder", "SeenRead"]


@dataclass(frozen=True, slots=True)
class SeenRead:
    """A read of some instance, with times on the clock of the instance that heard of it.

    :param source: instance that read
    :param number: increases with each read of that instance
    :param digest: digest of the entries
    :param sent_ms: earliest time at which it can have been sent
    :param done_ms: latest time at which it can have returned
    """

    source: EntryInstanceId
    number: int
    digest: bytes
    sent_ms: int
    done_ms: int


@dataclass(frozen=True, slots=True)
class AppliedRead:
    """Content to apply at this instance.

    :param prefix: prefix of the keys
    :param entries: all entries under it
    :param sent_ms: earliest time at which the read can have been sent
    :param era: era of the service in which it was read
    :param source: instance that read
    :param follows_outage: whether the service was away since the content applied before
    :param is_told: whether another instance read it
    """

    prefix: str
    entries: Entries
    sent_ms: int
    era: int
    source: EntryInstanceId
    follows_outage: bool
    is_told: bool


class ReadOrder:
    """The content applied at one instance and the reads that returned it."""

    def __init__(self) -> None:
        self.digest: bytes | None = None
        self.sent_ms = 0
        """Time at which the content is known to have been in force, never later than it was."""

        self._era = 0
        self._latest: dict[EntryInstanceId, SeenRead] = {}

    @property
    def last_ms(self) -> int | None:
        """:attr:`sent_ms`; None before the first read was applied."""
        return None if self.digest is None else self.sent_ms

    def may_apply(self, read: SeenRead, era: int) -> bool:
        """Return whether a read is not older than what was applied."""
        if self.digest is None or era > self._era:
            return True
        if era < self._era:
            return False
        if read.digest == self.digest:
            return True
        for source, latest in self._latest.items():
            is_later = (
                read.number > latest.number
                if source == read.source
                else read.sent_ms >= latest.done_ms
            )
            if not is_later:
                return False
        return True

    def apply(self, read: SeenRead, era: int) -> None:
        """Record that a read was applied."""
        if era != self._era or read.digest != self.digest:
            self._latest.clear()
        known = self._latest.get(read.source)
        if known is None or read.number > known.number:
            self._latest[read.source] = read
        self._era, self.digest = era, read.digest
        self.sent_ms = max(self.sent_ms, read.sent_ms)
