"""Set of leaving servers: sticky for an incarnation, merged from any source."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from bergamothill.ids import Incarnation, ServerId
from bergamothill.process.servermessages import LeavingServer

__all__ = ["LeavingSet"]

RETENTION_MS = 3_600_000
DIGEST_BYTES = 6


class LeavingSet:
    """Leaving incarnations by server; only the greatest incarnation of a server is kept."""

    def __init__(self) -> None:
        self._known: dict[ServerId, tuple[Incarnation, int]] = {}
        self._digest: int | None = None

    def add(self, leaving: LeavingServer, now_ms: int) -> bool:
        """Note that a server leaves.

        :param leaving: server and incarnation
        :param now_ms: instant on the clock of this process
        :returns: True when this was not known
        """
        known = self._known.get(leaving.server)
        if known is not None and known[0] >= leaving.incarnation:
            return False
        self._known[leaving.server] = (leaving.incarnation, now_ms - leaving.age_ms)
        self._digest = None
        return True

    def contains(self, server: ServerId, incarnation: Incarnation) -> bool:
        """Tell whether an incarnation leaves, or is older than one that does."""
        known = self._known.get(server)
        return known is not None and known[0] >= incarnation

    def servers(self, now_ms: int) -> tuple[LeavingServer, ...]:
        """Return all members in name order."""
        items = sorted(self._known.items())
        return tuple(LeavingServer(s, i, max(0, now_ms - since)) for s, (i, since) in items)

    def digest(self) -> int:
        """Return a digest that is equal for equal sets."""
        if self._digest is None:
            text = "\n".join(f"{s} {i}" for s, (i, _) in sorted(self._known.items()))
            raw = blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
            self._digest = int.from_bytes(raw, "big")
        return self._digest

    def expire(self, listed: Iterable[ServerId], now_ms: int) -> None:
        """Forget old members that are no longer listed.

        :param listed: servers that the instance list still names
        :param now_ms: instant on the clock of this process
        """
        kept = set(listed)
        old = [
            server
            for server, (_, since_ms) in self._known.items()
            if server not in kept and now_ms - since_ms > RETENTION_MS
        ]
        for server in old:
            del self._known[server]
            self._digest = None
