"""Hints about which engine has which prompt prefix cached.

Engines publish cache events late and with gaps, so the entries are only hints. They are corrected
by the number of cached tokens that the engine reports with each run. The key of a block covers its
whole prefix, so the key of the last full block of a prompt stands for all blocks before it.
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
    """Prefix that an engine has cached.

    :param key: leading digits of the key of the prefix's last full block
    :param server: engine that has the prefix cached
    """

    key: str
    server: ServerId


@message("kept_hint_delta")
@dataclass(frozen=True, slots=True)
class KeptHintDelta:
    """Prefixes that engines have cached since the sender's last delta.

    :param hints: newest last
    """

    hints: tuple[KeptHint, ...]


class CacheHints:
    """Bounded table of hints; the least recently used are evicted first.

    :param max_hints: maximum number of prefixes
    """

    def __init__(self, max_hints: int = MAX_HINTS) -> None:
        self._max_hints = max_hints
        self._servers: OrderedDict[str, ServerId] = OrderedDict()
        self._pending_hints: list[KeptHint] = []

    def record_run(self, server: ServerId, block_keys: Sequence[str]) -> None:
        """Record that an engine ran a prompt and therefore has its full blocks cached.

        :param server: engine
        :param block_keys: keys of the prompt's full blocks, in prefix order
        """
        if not block_keys:
            return
        hint = KeptHint(_short_key(block_keys[-1]), server)
        self._add(hint)
        self._pending_hints.append(hint)
        del self._pending_hints[:-MAX_RELAYED_HINTS]

    def record_misses(
        self, server: ServerId, block_keys: Sequence[str], cached_blocks: int
    ) -> None:
        """Remove the hints for blocks after the first cache miss of a run.

        :param server: engine that ran the prompt
        :param block_keys: keys of the prompt's full blocks
        :param cached_blocks: number of leading blocks that the engine had cached
        """
        for key in block_keys[cached_blocks:]:
            self._remove(_short_key(key), server)

    def observe(self, server: ServerId, events: Iterable[CacheEvent]) -> None:
        """Apply cache events of an engine."""
        for event in events:
            if event.kind is CacheEventKind.EVICTED:
                self._remove(_short_key(event.key), server)
            else:
                self._add(KeptHint(_short_key(event.key), server))

    def cached_blocks(self, block_keys: Sequence[str]) -> dict[ServerId, int]:
        """Return how many leading blocks of a prompt each engine probably has cached.

        :param block_keys: keys of the prompt's full blocks, in prefix order
        """
        found: dict[ServerId, int] = {}
        for index in range(len(block_keys) - 1, -1, -1):
            key = _short_key(block_keys[index])
            server = self._servers.get(key)
            if server is not None and server not in found:
                found[server] = index + 1
                self._servers.move_to_end(key)
        return found

    def take_delta(self) -> KeptHintDelta | None:
        """Return the new hints to relay to the peers of the zone, or None if there are none."""
        if not self._pending_hints:
            return None
        hints = tuple(self._pending_hints)
        self._pending_hints = []
        return KeptHintDelta(hints)

    def apply_delta(self, delta: KeptHintDelta) -> None:
        """Apply a delta from a peer."""
        for hint in delta.hints:
            self._add(hint)

    def _add(self, hint: KeptHint) -> None:
        self._servers[hint.key] = hint.server
        self._servers.move_to_end(hint.key)
        while len(self._servers) > self._max_hints:
            self._servers.popitem(last=False)

    def _remove(self, key: str, server: ServerId) -> None:
        if self._servers.get(key) == server:
            del self._servers[key]


def _short_key(key: str) -> str:
    return key[:SHORT_KEY_DIGITS]
