"""Set of leaving servers: sticky for an incarnation, merged from any source."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from bergamothill.ids import Incarnation, ServerId
from bergamothill.process.servermessages import LeavingServer, Numbering

__all__ = ["LeavingSet"]

RETENTION_MS = 3_600_000
DIGEST_BYTES = 6

_Key = tuple[ServerId, Numbering]


@dataclass(frozen=True, slots=True)
class _Entry:
    incarnation: Incarnation
    since_ms: int


class LeavingSet:
    """Leaving incarnations by server and numbering; only the greatest of each is kept."""

    def __init__(self) -> None:
        self._known: dict[_Key, _Entry] = {}
        self._digest: int | None = None

    def add(self, leaving: LeavingServer, now_ms: int) -> bool:
        """Note that a server leaves.

        :param leaving: server and incarnation
        :param now_ms: instant on the clock of this process
        :returns: True when this was not known
        """
        if self.contains(leaving.server, leaving.incarnation, leaving.numbering):
            return False
        key = (leaving.server, leaving.numbering)
        self._known[key] = _Entry(leaving.incarnation, now_ms - leaving.age_ms)
        self._digest = None
        return True

    def contains(self, server: ServerId, incarnation: Incarnation, numbering: Numbering) -> bool:
        """Tell whether an incarnation leaves, or is older than one that does."""
        known = self._known.get((server, numbering))
        return known is not None and known.incarnation >= incarnation

    def servers(self, now_ms: int) -> tuple[LeavingServer, ...]:
        """Return all members in name order."""
        return tuple(
            LeavingServer(server, entry.incarnation, numbering, max(0, now_ms - entry.since_ms))
            for (server, numbering), entry in self._sorted()
        )

    def digest(self) -> int:
        """Return a digest that is equal for equal sets."""
        if self._digest is None:
            lines = (f"{s} {n.value} {entry.incarnation}" for (s, n), entry in self._sorted())
            raw = blake2b("\n".join(lines).encode(), digest_size=DIGEST_BYTES).digest()
            self._digest = int.from_bytes(raw, "big")
        return self._digest

    def expire(self, listed: Iterable[ServerId], now_ms: int) -> None:
        """Forget old members that are no longer listed.

        :param listed: servers that the instance list still names
        :param now_ms: instant on the clock of this process
        """
        kept = set(listed)
        old = [
            key
            for key, entry in self._known.items()
            if key[0] not in kept and now_ms - entry.since_ms > RETENTION_MS
        ]
        for key in old:
            del self._known[key]
            self._digest = None

    def _sorted(self) -> list[tuple[_Key, _Entry]]:
        return sorted(self._known.items(), key=lambda item: (item[0][0], item[0][1].value))
