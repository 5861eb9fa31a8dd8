"""Instances that take the requests of one that reaches no server; no I/O and no clock."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from itertools import islice, zip_longest

from bergamothill.ids import EntryInstanceId, ZoneName
from bergamothill.process.reachmessages import ReachReply
from bergamothill.process.registry import Peer
from bergamothill.version.homes import HomeRegions, RegionMap

__all__ = ["Helpers"]

REPLY_LIFE_MS = 1_500
"""Time for which a reply counts; several intervals of questions."""

LOST_MS = 1_000
"""Time without a reply after which the answers of a helper are not awaited any more."""

ASKED_PER_ROUND = 8
"""Instances that are asked at a time."""

OTHER_ZONE_PENALTY = 8
"""Number of requests in progress that weighs as much as being in another zone."""


@dataclass(frozen=True, slots=True)
class _Heard:
    reply: ReachReply
    at_ms: int


class Helpers:
    """What the other instances replied, and how many requests each has been passed.

    :param zone: availability zone of this instance
    """

    def __init__(self, zone: ZoneName) -> None:
        self._zone = zone
        self._peers: dict[EntryInstanceId, Peer] = {}
        self._by_host: dict[str, EntryInstanceId] = {}
        self._heard: dict[EntryInstanceId, _Heard] = {}
        self._passed: Counter[EntryInstanceId] = Counter()

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Set the other registered instances."""
        self._peers = {peer.entry: peer for peer in peers}
        self._by_host = {peer.host: peer.entry for peer in self._peers.values()}

    def entry_at(self, host: str) -> EntryInstanceId | None:
        """Return the registered instance with an IP address; None if there is none."""
        return self._by_host.get(host)

    def record_reply(self, reply: ReachReply, now_ms: int) -> None:
        """Record what an instance replied."""
        self._heard[reply.entry] = _Heard(reply, now_ms)

    def clear(self) -> None:
        """Forget all replies."""
        self._heard.clear()

    def begin_request(self, entry: EntryInstanceId) -> None:
        """Count a request that is passed to an instance."""
        self._passed[entry] += 1

    def end_request(self, entry: EntryInstanceId) -> None:
        """Count the end of a request that was passed to an instance."""
        self._passed[entry] -= 1
        if self._passed[entry] <= 0:
            del self._passed[entry]

    def to_ask(self, now_ms: int) -> list[EntryInstanceId]:
        """Return the instances to ask next: in use, that help, of the zone, and of other zones.

        Of each of the last three as many, as long as there are, since a whole zone may be cut off.
        """
        groups: tuple[list[EntryInstanceId], ...] = ([], [], [])
        for entry in random.sample(list(self._peers), len(self._peers)):
            is_helping = self._is_helping(entry, now_ms)
            groups[0 if is_helping else 1 if self._is_near(entry) else 2].append(entry)
        drawn = (entry for turn in zip_longest(*groups) for entry in turn if entry is not None)
        asked = set(islice(drawn, ASKED_PER_ROUND))
        in_use = [entry for entry in self._passed if entry in self._peers]
        in_order = (entry for group in groups for entry in group if entry in asked)
        return list(dict.fromkeys([*in_use, *in_order]))

    def helping(self, now_ms: int) -> list[EntryInstanceId]:
        """Return the instances that requests may be passed to."""
        heard = (entry for entry in self._heard if entry in self._peers)
        return [entry for entry in heard if self._is_helping(entry, now_ms)]

    def choose(
        self,
        regions: RegionMap,
        homes: HomeRegions | None,
        tried: Collection[EntryInstanceId],
        now_ms: int,
    ) -> Peer | None:
        """Return the instance that a request is passed to; None if there is none.

        :param regions: regions of the availability zones
        :param homes: regions in which the request may be served; None for all
        :param tried: instances that it was passed to before
        """
        helping = [e for e in self.helping(now_ms) if e not in tried]
        helping = [e for e in helping if self._may_hold(e, regions, homes)]
        if not helping:
            return None
        random.shuffle(helping)
        return self._peers[min(helping, key=self._load)]

    def is_lost(self, entry: EntryInstanceId, now_ms: int) -> bool:
        """Return whether an instance has stopped replying."""
        heard = self._heard.get(entry)
        return heard is None or now_ms - heard.at_ms > LOST_MS

    def _is_helping(self, entry: EntryInstanceId, now_ms: int) -> bool:
        heard = self._heard.get(entry)
        is_current = heard is not None and now_ms - heard.at_ms <= REPLY_LIFE_MS
        return is_current and heard.reply.is_helping

    def _is_near(self, entry: EntryInstanceId) -> bool:
        return self._peers[entry].zone == self._zone

    def _load(self, entry: EntryInstanceId) -> int:
        load = max(self._heard[entry].reply.in_progress, self._passed[entry])
        return load if self._is_near(entry) else load + OTHER_ZONE_PENALTY

    def _may_hold(
        self, entry: EntryInstanceId, regions: RegionMap, homes: HomeRegions | None
    ) -> bool:
        """Return whether the body of a request may be held where an instance is."""
        zone = self._peers[entry].zone
        if homes is None or zone == self._zone:
            return True
        region = regions.regions.get(zone)
        return region is not None and (region == regions.own or region in homes)
