"""Index of the context (KV cache) cached by engines and stores, built from their events; no I/O.

Events arrive late, and some never arrive. For engines the index is only a hint. A part is read from
a store only while the store is certain to hold it: the part was reported as complete in the
store's current epoch, and the store has answered so recently that it cannot have restarted empty in
between.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["EventBatch", "PartEvent", "CacheIndex", "PartKey", "SourceIndex"]

CERTAINTY_MS = 1_500
"""A source cannot have restarted within this time after its last answer; a start takes longer."""


class PartKey(NamedTuple):
    """Key of a part of cached context.

    :param salt: namespace; see :class:`~bergamothill.version.cachenamespace.Namespace`
    :param part: name of the part
    """

    salt: str
    part: str


class PartEvent(NamedTuple):
    """Change of the cached content of an engine or store.

    :param key: part that changed
    :param tokens: number of tokens of the part that are now cached
    """

    key: PartKey
    tokens: int


@dataclass(frozen=True, slots=True)
class EventBatch:
    """Events of one source, which is an engine or a store.

    :param epoch: identifies one run of the source; changes at each start
    :param next_sequence_number: sequence number to request next
    :param has_gap: earlier events were lost
    :param events: events in order
    :param clock_ms: clock of the source, in milliseconds since the epoch; 0 if not reported
    """

    epoch: int
    next_sequence_number: int
    has_gap: bool
    events: tuple[PartEvent, ...]
    clock_ms: int


@dataclass(slots=True)
class SourceIndex:
    """Cached parts of one engine or store.

    :param epoch: epoch that the parts belong to; 0 before the first answer
    :param next_sequence_number: sequence number to request next
    :param answered_ms: time at which the last answered request was sent
    :param clock_offset_ms: clock of the source minus the local clock
    :param answered_clock_ms: time of the last answer on the clock of the source; 0 if not reported
    :param parts: number of cached tokens of each part
    """

    epoch: int = 0
    next_sequence_number: int = 0
    answered_ms: int = -CERTAINTY_MS
    clock_offset_ms: int = 0
    answered_clock_ms: int = 0
    parts: dict[PartKey, int] = field(default_factory=dict)

    def apply(self, batch: EventBatch, sent_ms: int, now_ms: int) -> bool:
        """Apply a batch of events.

        :param batch: events
        :param sent_ms: time at which they were requested
        :param now_ms: time at which they were received
        :returns: whether the index may lack parts that the source holds
        """
        self.answered_ms = sent_ms
        if self.epoch not in (0, batch.epoch):
            # Sequence numbers restart with each epoch, so events are requested from the beginning.
            self.parts.clear()
            self.epoch, self.next_sequence_number = batch.epoch, 0
            return True
        self.epoch = batch.epoch
        self.next_sequence_number = batch.next_sequence_number
        if batch.clock_ms:
            self.clock_offset_ms = batch.clock_ms - now_ms
            self.answered_clock_ms = batch.clock_ms
        for event in batch.events:
            if event.tokens > 0:
                self.parts[event.key] = event.tokens
            else:
                self.parts.pop(event.key, None)
        return batch.has_gap

    @property
    def certain_until_clock_ms(self) -> int:
        """Time until which an unnoticed restart is ruled out, on the clock of the source."""
        answered_ms = self.answered_clock_ms or self.answered_ms + self.clock_offset_ms
        return answered_ms + CERTAINTY_MS

    def is_certain(self, now_ms: int) -> bool:
        """Return whether an unnoticed restart of the source is ruled out."""
        return now_ms - self.answered_ms < CERTAINTY_MS


class CacheIndex:
    """Cached parts of all engines and stores, by address."""

    def __init__(self) -> None:
        self.sources: dict[str, SourceIndex] = {}

    def source(self, address: str) -> SourceIndex:
        """Return the index of a source, creating it if necessary.

        :param address: ``host:port`` of the source
        """
        return self.sources.setdefault(address, SourceIndex())

    def forget(self, address: str) -> None:
        """Remove a source that has left."""
        self.sources.pop(address, None)

    def tokens_at(self, address: str, key: PartKey) -> int:
        """Return the number of tokens of a part that a source holds."""
        source = self.sources.get(address)
        return 0 if source is None else source.parts.get(key, 0)
