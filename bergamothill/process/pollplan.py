"""Divides the polling among the entry instances of an availability zone; no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from bergamothill.ids import EntryInstanceId, ServerId, ZoneName
from bergamothill.process.rendezvous import rendezvous

__all__ = ["PollPlan"]

TICK_MIN_MS = 500
TICK_PER_PEER_MS = 75
LIST_SLOT_MS = 2_000
LIST_OVERDUE_MS = 2_600
LIST_TAKEOVER_STEP_MS = 125
MAX_LIST_TAKEOVER_STEPS = 8
LIST_RETRY_MS = 1_000
SUMMARY_MIN_MS = 1_000
SUMMARY_PER_PEER_AND_ZONE_MS = 15
OVERDUE_TICKS = 2
FULL_REPORT_TICKS = 8


class PollPlan:
    """Decides what this entry instance polls, and when.

    :param entry_id: this entry instance
    :param zone: its availability zone
    :param tick_min_ms: minimum time between two polls of a server, in milliseconds
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
    def tick_ms(live: Sequence[EntryInstanceId], min_ms: int = TICK_MIN_MS) -> int:
        """Return the interval between polls of a server, and between reports; grows with the zone.

        :param live: live entry instances of the zone
        :param min_ms: minimum interval, in milliseconds
        """
        return max(min_ms, TICK_PER_PEER_MS * len(live))

    @staticmethod
    def summary_interval_ms(live: Sequence[EntryInstanceId], zone_count: int) -> int:
        """Return the interval between summaries to the other zones; grows with the deployment.

        :param live: live entry instances of the zone
        :param zone_count: number of known availability zones
        """
        return max(SUMMARY_MIN_MS, SUMMARY_PER_PEER_AND_ZONE_MS * len(live) * zone_count)

    def should_poll(self, server: ServerId, live: Sequence[EntryInstanceId], age_ms: int) -> bool:
        """Return whether this instance polls a server in this tick.

        The highest-ranked instance always does. Each further rank takes over after another
        ``OVERDUE_TICKS`` ticks without news of the server.

        :param server: engine of this zone
        :param live: live entry instances of the zone
        :param age_ms: age of the latest known answer of the server, in milliseconds
        """
        ranked = self._ranked(server, tuple(live))
        overdue_ranks = age_ms // (OVERDUE_TICKS * self.tick_ms(live, self._tick_min_ms))
        return self._entry_id in ranked[: 1 + max(0, overdue_ranks)]

    def should_read_list(
        self, wall_ms: int, live: Sequence[EntryInstanceId], age_ms: int, own_age_ms: int
    ) -> bool:
        """Return whether this instance reads the instance list now.

        The instances of a zone take turns, one per time slot, because the list is large. If the
        instance whose turn it is fails, the others take over in order of rank.

        :param wall_ms: wall-clock time, in milliseconds
        :param live: live entry instances of the zone
        :param age_ms: age of the latest known read, here or at a peer
        :param own_age_ms: time since this instance last started a read
        """
        if own_age_ms < LIST_RETRY_MS:
            return False
        slot = wall_ms // LIST_SLOT_MS
        rank = rendezvous(f"list {self._zone} {slot}", live).index(self._entry_id)
        takeover_delay_ms = LIST_TAKEOVER_STEP_MS * min(rank, MAX_LIST_TAKEOVER_STEPS)
        if age_ms >= LIST_OVERDUE_MS + takeover_delay_ms:
            return True
        return rank == 0 and own_age_ms >= LIST_SLOT_MS

    def should_summarize(self, live: Sequence[EntryInstanceId]) -> bool:
        """Return whether this instance sends its zone's summary to the other zones."""
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

    def retain_ranks(self, servers: Iterable[ServerId]) -> None:
        """Keep the cached ranks of these servers only.

        :param servers: servers whose ranks are kept
        """
        retained = set(servers)
        self._rank_cache = {s: r for s, r in self._rank_cache.items() if s in retained}
