"""Choice of the sums of zones that an instance counts; no I/O and no clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bergamothill.ids import EntryInstanceId, ZoneName
from bergamothill.process.loadreport import REPORT_TTL_MS, KeyedLoads, MemberKey, PeerLoads
from bergamothill.process.zonereport import ZoneSum

__all__ = ["STALE_MS", "ZoneSums"]

STALE_MS = 300
"""Age from which the sum of another relay is preferred; unchanged sums are sent each 100 ms."""


@dataclass(slots=True, eq=False)
class _Known:
    """Latest sum of a relay.

    :param made_ms: time at which the relay sent it
    :param own: part of this instance, which it does not count; None if the sum is not to be counted
    """

    sum: ZoneSum
    members: frozenset[MemberKey]
    made_ms: int
    expires_ms: int
    own: KeyedLoads | None
    counted: KeyedLoads | None = None

    @property
    def loads(self) -> KeyedLoads:
        """What the sum adds; most are replaced before they are read, so it is made when read."""
        if self.counted is None:
            loads = self.sum.loads
            for server, load in (self.own or {}).items():
                if server in loads:
                    loads[server].subtract(load)
            self.counted = loads
        return self.counted


class ZoneSums:
    """Latest sum of each relay, of which those with different members are counted.

    :param loads: adds up what is counted
    :param own_part: returns the part of this instance in a sum; None if its own reports tell more
        than the sum
    """

    def __init__(
        self, loads: PeerLoads, own_part: Callable[[ZoneSum, int], KeyedLoads | None]
    ) -> None:
        self._loads = loads
        self._own_part = own_part
        self._known: dict[EntryInstanceId, _Known] = {}
        self._chosen: dict[EntryInstanceId, _Known] = {}
        self.covered: frozenset[MemberKey] = frozenset()
        """Members of the sums that are counted."""

    def add(self, zone_sum: ZoneSum, held_ms: int, now_ms: int) -> bool:
        """Store a sum; return False if it is too old, or its members are not known.

        :param held_ms: time since its relay sent it
        """
        relay = zone_sum.entry
        known = self._known.get(relay)
        if known is not None and zone_sum.sequence_number <= known.sum.sequence_number:
            return False
        zone_sum = zone_sum.with_layout_of(None if known is None else known.sum)
        if zone_sum is None:
            return False
        made_ms = now_ms - held_ms
        expires_ms = made_ms - zone_sum.oldest_age_ms + REPORT_TTL_MS
        if expires_ms < now_ms:
            return False
        has_same_members = known is not None and known.sum.members == zone_sum.members
        members = known.members if has_same_members else frozenset(zone_sum.members)
        own = self._own_part(zone_sum, now_ms)
        added = self._known[relay] = _Known(zone_sum, members, made_ms, expires_ms, own)
        if not has_same_members or (own is None and relay in self._chosen):
            self.choose(now_ms)
        elif relay in self._chosen:
            self._chosen[relay] = added
            self._loads.set_sums(self._chosen.values(), self.covered)
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
        chosen: dict[EntryInstanceId, _Known] = {}
        for relay in sorted(self._known, key=rank):
            known = self._known[relay]
            zone = known.sum.zone
            if known.own is None or not known.members.isdisjoint(covered.get(zone, ())):
                continue
            chosen[relay] = known
            covered[zone] = covered.get(zone, frozenset()) | known.members
        if chosen != self._chosen:
            self._chosen = chosen
            self.covered = frozenset().union(*covered.values())
            self._loads.set_sums(chosen.values(), self.covered)

    def relays_of(self, zone: ZoneName, now_ms: int) -> tuple[EntryInstanceId, ...]:
        """Return the relays of a zone whose sums are fresh, the latest first."""
        fresh = [
            (known.made_ms, relay)
            for relay, known in self._known.items()
            if known.sum.zone == zone and now_ms - known.made_ms <= STALE_MS
        ]
        return tuple(relay for _, relay in sorted(fresh, reverse=True))
