"""What engines and stores hold of kept context, as far as their events tell; no I/O.

Events come late and some never arrive. For engines the index is a hint. A part of a store is read
only while its holding is certain: it was reported as complete in the store's present epoch, and
the store answered recently, so that it cannot have come back empty in between.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["EventBatch", "HoldingEvent", "KeptIndex", "PartKey", "SourceIndex"]

CERTAINTY_MS = 1_500
"""Age of the last answer up to which a store cannot have restarted: a start takes longer."""


@dataclass(frozen=True, slots=True)
class PartKey:
    """A part in the namespace of a weight version and, for isolated brands, a brand.

    :param salt: namespace
    :param part: name of the part
    """

    salt: str
    part: str


@dataclass(frozen=True, slots=True)
class HoldingEvent:
    """A change of what a source holds.

    :param key: part
    :param tokens: tokens of it that the source holds now
    """

    key: PartKey
    tokens: int


@dataclass(frozen=True, slots=True)
class EventBatch:
    """Events of one source.

    :param epoch: changes at each start of the source
    :param next_number: number to ask from next
    :param has_gap: events before these are lost
    :param events: changes in order
    :param clock_ms: source's clock, in milliseconds since the epoch; 0 when it tells none
    """

    epoch: int
    next_number: int
    has_gap: bool
    events: tuple[HoldingEvent, ...]
    clock_ms: int


@dataclass(slots=True)
class SourceIndex:
    """Holdings of one engine or store.

    :param epoch: epoch that they belong to; 0 before the first answer
    :param next_number: number to ask from next
    :param answered_ms: when the last answered read was sent
    :param clock_offset_ms: source's clock less ours
    :param parts: tokens held of each part
    """

    epoch: int = 0
    next_number: int = 0
    answered_ms: int = -CERTAINTY_MS
    clock_offset_ms: int = 0
    parts: dict[PartKey, int] = field(default_factory=dict)

    def apply(self, batch: EventBatch, sent_ms: int, now_ms: int) -> bool:
        """Take over events.

        :param batch: events
        :param sent_ms: when they were asked for
        :param now_ms: when they arrived
        :returns: whether the holdings may lack parts that the source has
        """
        self.answered_ms = sent_ms
        if self.epoch not in (0, batch.epoch):
            # Numbers start anew with the epoch, so the events are asked for from the first one.
            self.parts.clear()
            self.epoch, self.next_number = batch.epoch, 0
            return True
        self.epoch = batch.epoch
        self.next_number = batch.next_number
        if batch.clock_ms:
            self.clock_offset_ms = batch.clock_ms - now_ms
        for event in batch.events:
            if event.tokens > 0:
                self.parts[event.key] = event.tokens
            else:
                self.parts.pop(event.key, None)
        return batch.has_gap

    def is_certain(self, now_ms: int) -> bool:
        """Tell whether the source cannot have restarted unnoticed."""
        return now_ms - self.answered_ms < CERTAINTY_MS


class KeptIndex:
    """Holdings of all engines and stores, by address."""

    def __init__(self) -> None:
        self.sources: dict[str, SourceIndex] = {}

    def source(self, address: str) -> SourceIndex:
        """Return the holdings of a source.

        :param address: ``host:port``
        """
        return self.sources.setdefault(address, SourceIndex())

    def forget(self, address: str) -> None:
        """Drop a source that left."""
        self.sources.pop(address, None)

    def tokens_at(self, address: str, key: PartKey) -> int:
        """Return how many tokens of a part a source holds."""
        source = self.sources.get(address)
        return 0 if source is None else source.parts.get(key, 0)
