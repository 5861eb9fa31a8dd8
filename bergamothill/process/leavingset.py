"""Set of leaving servers, merged from several sources; leaving is final for an incarnation."""

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
    """Leaving incarnations by server and numbering; only the highest of each is kept."""

    def __init__(self) -> None:
        self._entries: dict[_Key, _Entry] = {}
        self._digest: int | None = None

    def add(self, leaving: LeavingServer, now_ms: int) -> bool:
        """Record that a server is leaving.

        :param leaving: server, its incarnation and the age of this information
        :param now_ms: current time on the clock of this process, in milliseconds
        :returns: whether this was not known before
        """
        if self.contains(leaving.server, leaving.incarnation, leaving.numbering):
            return False
        key = (leaving.server, leaving.numbering)
        self._entries[key] = _Entry(leaving.incarnation, now_ms - leaving.age_ms)
        self._digest = None
        return True

    def contains(self, server: ServerId, incarnation: Incarnation, numbering: Numbering) -> bool:
        """Return whether an incarnation, or a later one of the same server, is leaving."""
        entry = self._entries.get((server, numbering))
        return entry is not None and entry.incarnation >= incarnation

    def servers(self, now_ms: int) -> tuple[LeavingServer, ...]:
        """Return all leaving servers, sorted by name."""
        return tuple(
            LeavingServer(server, entry.incarnation, numbering, max(0, now_ms - entry.since_ms))
            for (server, numbering), entry in self._sorted_entries()
        )

    def digest(self) -> int:
        """Return a digest that is equal for equal sets."""
        if self._digest is None:
            parts = (
                f"{s} {n.value} {entry.incarnation}" for (s, n), entry in self._sorted_entries()
            )
            digest_bytes = blake2b("\n".join(parts).encode(), digest_size=DIGEST_BYTES).digest()
            self._digest = int.from_bytes(digest_bytes, "big")
        return self._digest

    def expire(self, listed: Iterable[ServerId], now_ms: int) -> None:
        """Remove old entries whose servers are no longer listed.

        :param listed: servers still in the instance list
        :param now_ms: current time on the clock of this process, in milliseconds
        """
        listed_servers = set(listed)
        expired = [
            key
            for key, entry in self._entries.items()
            if key[0] not in listed_servers and now_ms - entry.since_ms > RETENTION_MS
        ]
        for key in expired:
            del self._entries[key]
            self._digest = None

    def _sorted_entries(self) -> list[tuple[_Key, _Entry]]:
        return sorted(self._entries.items(), key=lambda item: (item[0][0], item[0][1].value))
