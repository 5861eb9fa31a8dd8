"""Which instances of a zone read the key-value service, and when others take over; no I/O.

The first two instances of a zone, by their links and then by rendezvous hashing, read for all. Any
other one reads only while it hears of no recent read, so that a silent reader costs time but never
correctness.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from bergamothill.ids import EntryInstanceId, ZoneName
from bergamothill.process.machineranking import rank_by_link
from bergamothill.process.readtimes import ReadTimes
from bergamothill.process.registry import Peer

__all__ = ["READERS_PER_ZONE", "ReadRole", "ZoneReaders"]

READERS_PER_ZONE = 2

STEP_MS = 100
"""Time for the confirmations of the one that takes over to reach the next in rank."""


class ReadRole(Enum):
    """Why an instance reads a prefix, or that it does not."""

    ALONE = "alone"
    READER = "reader"
    SUCCESSOR = "successor"
    TAKEOVER = "takeover"
    FOLLOWER = "follower"


@dataclass(slots=True)
class _Heard:
    """What is known of the readers of one prefix.

    :param confirmed_ms: time of the last confirmation; None before the first
    :param read_ms: earliest time at which the newest known read can have been sent
    :param failed_ms: time of the last report of a failed read, by instance
    :param has_taken_over: whether this instance reads since the readers were silent
    """

    confirmed_ms: int | None
    read_ms: int
    failed_ms: dict[EntryInstanceId, int]
    has_taken_over: bool = False


class ZoneReaders:
    """Decides for one instance which prefixes it reads.

    :param own: this entry instance
    :param zone: its availability zone
    """

    def __init__(self, own: EntryInstanceId, zone: ZoneName) -> None:
        self._own = own
        self._zone = zone
        self._times: dict[str, ReadTimes] = {}
        self._heard: dict[str, _Heard] = {}
        self._links_mbps: dict[EntryInstanceId, int] = {}
        self.own_link_mbps = 0
        """Bandwidth of the link of this instance's machine, as its registration names it."""

        self.ranking: tuple[EntryInstanceId, ...] = (own,)
        """Instances of the zone, the readers first."""

        self._ranks: dict[EntryInstanceId, int] = {own: 0}

    def set_times(self, prefix: str, times: ReadTimes) -> None:
        """Set the times of a prefix; the first call adds the prefix."""
        self._times[prefix] = times
        self._heard.setdefault(prefix, _Heard(None, 0, {}))

    def times(self, prefix: str) -> ReadTimes:
        """Return the times of a prefix."""
        return self._times[prefix]

    @property
    def prefixes(self) -> tuple[str, ...]:
        """All prefixes that are shared."""
        return tuple(self._times)

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Rank the registered instances of the zone."""
        links_mbps = {peer.entry: peer.link_mbps for peer in peers if peer.zone == self._zone}
        links_mbps[self._own] = self.own_link_mbps
        if links_mbps != self._links_mbps:
            self._links_mbps = links_mbps
            self.ranking = rank_by_link(f"readers/{self._zone}", links_mbps)
            self._ranks = {entry: rank for rank, entry in enumerate(self.ranking)}

    @property
    def is_sharing(self) -> bool:
        """Whether the zone has instances that need not read."""
        return len(self.ranking) > READERS_PER_ZONE

    @property
    def others(self) -> tuple[EntryInstanceId, ...]:
        """The other instances of the zone, in rank order."""
        return tuple(entry for entry in self.ranking if entry != self._own)

    def record_failure(self, prefix: str, entry: EntryInstanceId, now_ms: int) -> None:
        """Record that the read of an instance failed."""
        if entry in self._ranks:
            self._heard[prefix].failed_ms[entry] = now_ms

    def record_success(self, prefix: str, entry: EntryInstanceId) -> None:
        """Record that a read of an instance succeeded again."""
        self._heard[prefix].failed_ms.pop(entry, None)

    def record_confirmation(
        self, prefix: str, entry: EntryInstanceId, read_ms: int, now_ms: int
    ) -> None:
        """Record a confirmation.

        One that is as old as a takeover allows shows no working reader. One that took over goes on
        until it hears an instance that is ranked before it, so that not both of two stop.

        :param entry: instance that read
        :param read_ms: earliest time at which it can have sent its read
        """
        heard = self._heard[prefix]
        if now_ms - read_ms >= self._times[prefix].max_age_ms:
            return
        if heard.has_taken_over and self._rank(entry) > self._rank(self._own):
            return
        heard.confirmed_ms = now_ms

    def record_read(self, prefix: str, read_ms: int) -> None:
        """Record that the result of a read was applied here, whoever made it."""
        heard = self._heard[prefix]
        heard.read_ms = max(heard.read_ms, read_ms)

    def _rank(self, entry: EntryInstanceId) -> int:
        return self._ranks.get(entry, len(self.ranking))

    def role(self, prefix: str, now_ms: int) -> ReadRole:
        """Return why this instance reads a prefix now, or that it follows."""
        heard, times = self._heard[prefix], self._times[prefix]
        rank = self._rank(self._own)
        if not self.is_sharing:
            heard.confirmed_ms, heard.has_taken_over = None, False
            return ReadRole.ALONE
        if rank < READERS_PER_ZONE:
            return ReadRole.READER
        for entry, failed_ms in list(heard.failed_ms.items()):
            if now_ms - failed_ms >= times.silence_ms:
                del heard.failed_ms[entry]
        working_before = sum(entry not in heard.failed_ms for entry in self.ranking[:rank])
        if working_before < READERS_PER_ZONE:
            return ReadRole.SUCCESSOR
        if heard.confirmed_ms is None:
            return ReadRole.ALONE
        # Those ranked behind wait longer, so that the first that succeeds stops them.
        place = rank - READERS_PER_ZONE
        step_ms = min(STEP_MS, times.spread_ms // (len(self.ranking) - READERS_PER_ZONE))
        delay_ms = place * step_ms
        is_silent = now_ms - heard.confirmed_ms >= times.silence_ms + delay_ms
        max_age_ms = times.max_age_ms + delay_ms * (times.bound_ms - times.interval_ms) // (
            4 * times.spread_ms
        )
        is_old = now_ms - heard.read_ms >= max_age_ms
        heard.has_taken_over = is_silent
        return ReadRole.TAKEOVER if is_silent or is_old else ReadRole.FOLLOWER
