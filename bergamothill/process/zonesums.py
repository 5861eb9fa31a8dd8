"""Choice of the sums of zones that an instance counts; no I/O and no clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bergamothill.ids import EntryInstanceId, ZoneName
from bergamothill.process.loadreport import REPORT_TTL_MS, KeyedLoads, MemberKey, PeerLoads
from bergamothill.process.zonereport import ZoneSum

__all__ = ["ZoneSums"]

STALE_MS = 300
"""Age from which the sum of another relay is preferred; unchanged sums are sent each 200 ms."""


@dataclass(slots=True)
class _Known:
    sum: ZoneSum
    members: frozenset[MemberKey]
    made_ms: int
    expires_ms: int
    loads: KeyedLoads | None = None


class ZoneSums:
    """Latest sum of each relay, of which those with different members are counted.

    :param loads: adds up what is counted
    :param count: returns the loads of a sum without those of this instance, or None if its own
        reports tell more
    """

    def __init__(
        self, loads: PeerLoads, count: Callable[[ZoneSum, int], KeyedLoads | None]
    ) -> None:
        self._loads = loads
        self._count = count
        self._known: dict[EntryInstanceId, _Known] = {}
        self._chosen: tuple[EntryInstanceId, ...] = ()
        self.covered: frozenset[MemberKey] = frozenset()
        """Members of the sums that are counted."""

    def add(self, zone_sum: ZoneSum, held_ms: int, now_ms: int) -> bool:
        """Store a sum; return False if it is older than what is known.

        :param held_ms: time since its relay sent it
        """
        known = self._known.get(zone_sum.entry)
        if known is not None and zone_sum.sequence_number <= known.sum.sequence_number:
            return False
        expires_ms = now_ms - held_ms - zone_sum.oldest_age_ms + REPORT_TTL_MS
        if expires_ms < now_ms:
            return False
        self._known[zone_sum.entry] = _Known(
            zone_sum, frozenset(zone_sum.members), now_ms - held_ms, expires_ms
        )
        self.choose(now_ms)
        return True

    def choose(self, now_ms: int) -> None:
        """Drop expired sums, and choose those that are counted.

        Sums of a zone with a common member are never both counted; the one with more members is.
        """
        for relay, known in list(self._known.items()):
            if known.expires_ms < now_ms:
                del self._known[relay]

        def rank(relay: EntryInstanceId) -> tuple[bool, int, bool, int]:
            known = self._known[relay]
            is_stale = now_ms - known.made_ms > STALE_MS
            return is_stale, -len(known.members), relay not in self._chosen, -known.made_ms

        covered: dict[ZoneName, frozenset[MemberKey]] = {}
        chosen: dict[EntryInstanceId, KeyedLoads] = {}
        for relay in sorted(self._known, key=rank):
            known = self._known[relay]
            zone = known.sum.zone
            if not known.members.isdisjoint(covered.get(zone, ())):
                continue
            if known.loads is None or relay not in self._chosen:
                known.loads = self._count(known.sum, now_ms)
            if known.loads is not None:
                chosen[relay] = known.loads
                covered[zone] = covered.get(zone, frozenset()) | known.members
        self._chosen = tuple(chosen)
        self.covered = frozenset().union(*covered.values())
        self._loads.set_sums(chosen, self.covered)

    def relays_of(self, zone: ZoneName, now_ms: int) -> tuple[EntryInstanceId, ...]:
        """Return the relays of a zone whose sums are fresh, the latest first."""
        fresh = [
            (known.made_ms, relay)
            for relay, known in self._known.items()
            if known.sum.zone == zone and now_ms - known.made_ms <= STALE_MS
        ]
        return tuple(relay for _, relay in sorted(fresh, reverse=True))
