"""Search for where a stream began, among the entry instances that may know it; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from bergamothill.ids import EntryInstanceId
from bergamothill.process.originreport import OriginReply
from bergamothill.request.streamorigin import KnownOrigin, StreamKey, StreamOrigins

__all__ = ["OriginSearch", "SearchOutcome"]


class SearchOutcome(Enum):
    """How a search ended."""

    KNOWN = "known"
    UNKNOWN = "unknown"
    AMBIGUOUS = "ambiguous"


class OriginSearch:
    """Search for one stream; the first instance that knows it ends the search.

    :param key: identifies the stream
    """

    def __init__(self, key: StreamKey) -> None:
        self.key = key
        self.known: KnownOrigin | None = None
        self.outcome: SearchOutcome | None = None
        """None while the search goes on."""

        self.asked: frozenset[EntryInstanceId] = frozenset()
        self.replied: set[EntryInstanceId] = set()

    @property
    def unanswered(self) -> frozenset[EntryInstanceId]:
        """Instances that were asked and have not replied."""
        return self.asked - self.replied

    def look_up(self, origins: StreamOrigins, now_ms: int) -> None:
        """Look in what this instance knows, which may have changed since the search began."""
        if origins.is_ambiguous(self.key, now_ms):
            self._end(SearchOutcome.AMBIGUOUS)
        elif self.outcome in (None, SearchOutcome.UNKNOWN):
            known = origins.find(self.key, now_ms)
            if known is not None:
                self._end(SearchOutcome.KNOWN, known)

    def record_asked(self, entries: Iterable[EntryInstanceId]) -> None:
        """Record which instances were asked; without any the search ends."""
        self.asked = frozenset(entries)
        self._end_if_all_replied()

    def on_reply(self, reply: OriginReply, wall_ms: int) -> None:
        """Handle a reply.

        :param reply: reply of an instance
        :param wall_ms: current wall-clock time
        """
        origin = reply.origin
        is_other_key = origin is not None and origin.key != self.key
        if self.outcome is not None or reply.entry not in self.asked or is_other_key:
            return
        self.replied.add(reply.entry)
        if reply.is_ambiguous:
            self._end(SearchOutcome.AMBIGUOUS)
        elif origin is not None:
            age_ms = max(0, wall_ms - origin.begun_wall_ms)
            self._end(SearchOutcome.KNOWN, KnownOrigin(origin, age_ms, reply.entry))
        else:
            self._end_if_all_replied()

    def give_up(self) -> None:
        """End the search if it still goes on."""
        if self.outcome is None:
            self._end(SearchOutcome.UNKNOWN)

    def _end_if_all_replied(self) -> None:
        if not self.unanswered:
            self._end(SearchOutcome.UNKNOWN)

    def _end(self, outcome: SearchOutcome, known: KnownOrigin | None = None) -> None:
        self.outcome, self.known = outcome, known
