"""Prefix cache of the synthetic engines, and the generated content of blocks and answers."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from bergamothill.connection.engine import CacheEvent, CacheEventKind, CacheEvents
from bergamothill.ids import BrandName, Generation, ModelName, WeightVersion

__all__ = ["EngineCache", "StagedBlock", "generate_answer_words", "generate_block_content"]

MAX_CACHE_EVENTS = 1_000
_WORD_LIST = (
    "pack strap buckle seam zip frame tent pole peg fly boot sole welt eyelet lace crampon "
    "quill jack tongue plectrum damper string pin bridge soundboard rib key rail spring felt "
    "glue clamp sand plane check order part repair patch stitch wash dry quote today hut"
)
WORDS = tuple(_WORD_LIST.split())


def generate_block_content(
    key: str, brand: BrandName, model: ModelName, version: WeightVersion, size_bytes: int
) -> bytes:
    """Return the bytes that a synthetic engine computes for a block.

    :param size_bytes: length of the content
    """
    seed = "\0".join((brand, model, version, key)).encode()
    return hashlib.shake_128(seed).digest(size_bytes)


def generate_answer_words(seed: str, count: int) -> list[str]:
    """Return the words of a synthetic answer.

    :param seed: string that determines the answer
    :param count: number of tokens
    """
    stream = hashlib.shake_128(seed.encode()).digest(count)
    return [WORDS[byte % len(WORDS)] + " " for byte in stream]


@dataclass(frozen=True, slots=True)
class StagedBlock:
    """Imported block that is not used until a run names its generation.

    :param key: block key
    :param version: weight version that the block belongs to
    :param intact: the bytes match those that the weight version computes
    """

    key: str
    version: WeightVersion
    intact: bool


class EngineCache:
    """Bounded cache of prompt prefix blocks with least-recently-used eviction.

    :param capacity_blocks: maximum number of cached blocks
    """

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[tuple[str, WeightVersion], bool] = OrderedDict()
        self._staged: dict[Generation, StagedBlock] = {}
        self._events: list[CacheEvent] = []
        self._next_sequence = 0

    @property
    def free_blocks(self) -> int:
        """Number of blocks that can be added before one is evicted."""
        return max(0, self._capacity_blocks - len(self._blocks))

    def stage_import(self, generation: Generation, block: StagedBlock) -> None:
        """Store an imported block in the staging area, apart from the cached blocks."""
        self._staged[generation] = block
        while len(self._staged) > self._capacity_blocks:
            del self._staged[next(iter(self._staged))]

    def commit_imports(self, imported: Sequence[Generation]) -> None:
        """Move confirmed imports from the staging area to the cached blocks."""
        for generation in imported:
            block = self._staged.pop(generation, None)
            if block is not None:
                self.add_block(block.key, block.version, intact=block.intact)

    def count_cached_prefix(self, keys: Sequence[str], version: WeightVersion) -> int:
        """Return how many leading blocks are cached for the version."""
        count = 0
        for key in keys:
            if (key, version) not in self._blocks:
                break
            self._blocks.move_to_end((key, version))
            count += 1
        return count

    def contains_block(self, key: str, version: WeightVersion) -> bool:
        """Return whether a block is cached."""
        return (key, version) in self._blocks

    def is_intact(self, keys: Sequence[str], version: WeightVersion) -> bool:
        """Return whether every cached block among the keys holds the correct bytes."""
        return all(self._blocks.get((key, version), True) for key in keys)

    def add_block(self, key: str, version: WeightVersion, *, intact: bool = True) -> None:
        """Cache a block and evict the blocks beyond the capacity."""
        if (key, version) not in self._blocks:
            self._record_event(CacheEventKind.KEPT, key)
        self._blocks[key, version] = intact
        self._blocks.move_to_end((key, version))
        while len(self._blocks) > self._capacity_blocks:
            (evicted, _), _ = self._blocks.popitem(last=False)
            self._record_event(CacheEventKind.EVICTED, evicted)

    def clear(self) -> None:
        """Evict all cached blocks and drop the staged ones."""
        for key, _ in self._blocks:
            self._record_event(CacheEventKind.EVICTED, key)
        self._blocks.clear()
        self._staged.clear()

    def events(self, after: int) -> CacheEvents:
        """Return the cache events whose sequence number is greater than ``after``."""
        events = tuple(event for event in self._events if event.sequence > after)
        gap = bool(events) and events[0].sequence > after + 1
        last = events[-1].sequence if events else after
        return CacheEvents(events, last, gap)

    def _record_event(self, kind: CacheEventKind, key: str) -> None:
        self._events.append(CacheEvent(self._next_sequence, kind, key))
        self._next_sequence += 1
        del self._events[:-MAX_CACHE_EVENTS]
