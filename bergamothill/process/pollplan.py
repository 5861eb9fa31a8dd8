"""Division of the polling inside an availability zone, without I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from bergamothill.ids import EntryInstanceId, ServerId, ZoneName
from bergamothill.process.rendezvous import rendezvous

__all__ = ["PollPlan"]

TICK_MIN_MS = 500
TICK_PER_PEER_MS = 75
LIST_SLOT_MS = 2_000
LIST_OVERDUE_MS = 2_600
LIST_OVERDUE_STEP_MS = 125
LIST_OVERDUE_STEPS = 8
LIST_RETRY_MS = 1_000
SUMMARY_MIN_MS = 1_000
SUMMARY_PER_PEER_AND_ZONE_MS = 15
OVERDUE_TICKS = 2
FULL_REPORT_TICKS = 8


class PollPlan:
    """Decides what this entry instance polls, and when.

    :param entry_id: this entry instance
    :param zone: its availability zone
    :param tick_min_ms: least time between two polls of a server, in milliseconds
    """

    def __init__(
        self, entry_id: EntryInstanceId, zone: ZoneName, tick_min_ms: int = TICK_MIN_MS
    ) -> None:
        self._tick_min_ms = tick_min_ms
        self._entry_id = entry_id
        self._zone = zone
        self._rank_cache: dict[ServerId, tuple[EntryInstanceId, ...]] = {}
        self._rank_members: tuple[EntryInstanceId, ...] = ()

    @staticmethod
    def tick_ms(live: Sequence[EntryInstanceId], least_ms: int = TICK_MIN_MS) -> int:
        """Return the time between two polls of a server and two reports; it grows with the zone.

        :param live: live entry instances of the zone
        :param least_ms: least time, in milliseconds
        """
        return max(least_ms, TICK_PER_PEER_MS * len(live))

    @staticmethod
    def summary_ms(live: Sequence[EntryInstanceId], zone_count: int) -> int:
        """Return the time between two summaries to the other zones.

        :param live: live entry instances of the zone
        :param zone_count: availability zones known
        """
        return max(SUMMARY_MIN_MS, SUMMARY_PER_PEER_AND_ZONE_MS * len(live) * zone_count)

    def polls(self, server: ServerId, live: Sequence[EntryInstanceId], age_ms: int) -> bool:
        """Tell whether this instance polls a server in this tick.

        The first choice always does, the second when the first seems to have stopped, all when
        both have.

        :param server: engine of this zone
        :param live: live entry instances of the zone
        :param age_ms: age of what is known of the server, in milliseconds
        """
        ranked = self._ranked(server, tuple(live))
        overdue = age_ms // (OVERDUE_TICKS * self.tick_ms(live, self._tick_min_ms))
        return self._entry_id in ranked[: 1 + max(0, overdue)]

    def reads_list(
        self, wall_ms: int, live: Sequence[EntryInstanceId], age_ms: int, own_age_ms: int
    ) -> bool:
        """Tell whether this instance reads the instance list now.

        The instances of a zone take turns, one each time slot, because the whole list is large. If
        the one whose turn it is fails, the others step in one after another.

        :param wall_ms: wall time
        :param live: live entry instances of the zone
        :param age_ms: age of the newest read that is known, here or at a peer
        :param own_age_ms: time since this instance tried last
        """
        if own_age_ms < LIST_RETRY_MS:
            return False
        slot = wall_ms // LIST_SLOT_MS
        rank = rendezvous(f"list {self._zone} {slot}", live).index(self._entry_id)
        wait_ms = LIST_OVERDUE_STEP_MS * min(rank, LIST_OVERDUE_STEPS)
        if age_ms >= LIST_OVERDUE_MS + wait_ms:
            return True
        return rank == 0 and own_age_ms >= LIST_SLOT_MS

    def summarizes(self, live: Sequence[EntryInstanceId]) -> bool:
        """Tell whether this instance reports its zone to the others."""
        return rendezvous(f"summary {self._zone}", live)[0] == self._entry_id

    def _ranked(
        self, server: ServerId, live: tuple[EntryInstanceId, ...]
    ) -> tuple[EntryInstanceId, ...]:
        if live != self._rank_members:
            self._rank_members = live
            self._rank_cache.clear()
        ranked = self._rank_cache.get(server)
        if ranked is None:
            ranked = self._rank_cache[server] = rendezvous(server, live)
        return ranked

    def forget(self, kept: Iterable[ServerId]) -> None:
        """Drop cached ranks of servers that are gone.

        :param kept: servers still known
        """
        keep = set(kept)
        self._rank_cache = {s: r for s, r in self._rank_cache.items() if s in keep}
