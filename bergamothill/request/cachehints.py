"""Which engine is believed to keep which prompt's prefix.

Engines publish cache events late and with gaps, so all of this is a hint. The engine's own count
of cached tokens, given with each run, corrects it. A block's key covers its whole prefix; the key
of a prompt's last full block therefore stands for all blocks before it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bergamothill.connection.bus import message
from bergamothill.connection.engine import CacheEvent, CacheEventKind
from bergamothill.ids import ServerId

__all__ = ["CacheHints", "KeptHint", "KeptHintDelta"]

MAX_HINTS = 200_000
SHORT_KEY_DIGITS = 16
MAX_RELAYED_HINTS = 64


@dataclass(frozen=True, slots=True)
class KeptHint:
    """A prefix that an engine keeps.

    :param key: leading digits of the key of the prefix's last full block
    :param server: engine that keeps it
    """

    key: str
    server: ServerId


@message("kept_hint_delta")
@dataclass(frozen=True, slots=True)
class KeptHintDelta:
    """Prefixes that engines keep since the sender's last delta.

    :param hints: newest last
    """

    hints: tuple[KeptHint, ...]


class CacheHints:
    """Bounded memory of hints; the least recently used go first.

    :param max_hints: most prefixes remembered
    """

    def __init__(self, max_hints: int = MAX_HINTS) -> None:
        self._max_hints = max_hints
        self._servers: OrderedDict[str, ServerId] = OrderedDict()
        self._unrelayed: list[KeptHint] = []

    def ran(self, server: ServerId, block_keys: Sequence[str]) -> None:
        """Note that an engine ran a prompt and therefore keeps its full blocks.

        :param server: engine
        :param block_keys: keys of the prompt's full blocks, in prefix order
        """
        if not block_keys:
            return
        hint = KeptHint(_short(block_keys[-1]), server)
        self._remember(hint)
        self._unrelayed.append(hint)
        del self._unrelayed[:-MAX_RELAYED_HINTS]

    def missed(self, server: ServerId, block_keys: Sequence[str], cached_blocks: int) -> None:
        """Correct what a run disproved: blocks after the first miss were not kept.

        :param server: engine that counted
        :param block_keys: keys of the prompt's full blocks
        :param cached_blocks: leading blocks that the engine did keep
        """
        for key in block_keys[cached_blocks:]:
            self._forget(_short(key), server)

    def observe(self, server: ServerId, events: Iterable[CacheEvent]) -> None:
        """Take an engine's cache events."""
        for event in events:
            if event.kind is CacheEventKind.EVICTED:
                self._forget(_short(event.key), server)
            else:
                self._remember(KeptHint(_short(event.key), server))

    def forget_server(self, server: ServerId) -> None:
        """Drop all hints of an engine that left or lost its memory."""
        stale = [key for key, owner in self._servers.items() if owner == server]
        for key in stale:
            del self._servers[key]

    def cached_blocks(self, block_keys: Sequence[str]) -> dict[ServerId, int]:
        """Return how many leading blocks of a prompt each engine is believed to keep.

        :param block_keys: keys of the prompt's full blocks, in prefix order
        """
        found: dict[ServerId, int] = {}
        for index in range(len(block_keys) - 1, -1, -1):
            key = _short(block_keys[index])
            server = self._servers.get(key)
            if server is not None and server not in found:
                found[server] = index + 1
                self._servers.move_to_end(key)
        return found

    def delta(self) -> KeptHintDelta | None:
        """Return what to relay to the zone, or None when there is nothing new."""
        if not self._unrelayed:
            return None
        hints = tuple(self._unrelayed)
        self._unrelayed = []
        return KeptHintDelta(hints)

    def relayed(self, delta: KeptHintDelta) -> None:
        """Take a peer's delta."""
        for hint in delta.hints:
            self._remember(hint)

    def _remember(self, hint: KeptHint) -> None:
        self._servers[hint.key] = hint.server
        self._servers.move_to_end(hint.key)
        while len(self._servers) > self._max_hints:
            self._servers.popitem(last=False)

    def _forget(self, key: str, server: ServerId) -> None:
        if self._servers.get(key) == server:
            del self._servers[key]


def _short(key: str) -> str:
    return key[:SHORT_KEY_DIGITS]
