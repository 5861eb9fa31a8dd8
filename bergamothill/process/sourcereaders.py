"""Which entry instances read the cache events of an engine or store; no I/O and no clock.

A source admits a limited number of readers. In large deployments the instances of its own zone come
first, as they prefer the engines of their zone; all instances compute the same ranking.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bergamothill.ids import EntryInstanceId, ZoneName
from bergamothill.process.registry import Peer
from bergamothill.process.rendezvous import rendezvous

__all__ = ["CacheSource", "SourceReaders"]


@dataclass(frozen=True, slots=True)
class CacheSource:
    """Engine or store whose cache events may be read.

    :param address: ``host:port``
    :param zone: availability zone
    :param max_readers: number of readers that it admits
    """

    address: str
    zone: ZoneName
    max_readers: int


class SourceReaders:
    """Decides for one instance which sources it reads.

    :param own: this entry instance
    :param zone: its availability zone
    """

    def __init__(self, own: EntryInstanceId, zone: ZoneName) -> None:
        self._own = own
        self._zones: Mapping[EntryInstanceId, ZoneName | None] = {own: zone}
        self._assigned: dict[CacheSource, bool] = {}

    def set_peers(self, peers: Iterable[Peer]) -> bool:
        """Set the registered instances; return whether they have changed."""
        zones = {self._own: self._zones[self._own]}
        zones.update((peer.entry, peer.zone) for peer in peers)
        if zones == self._zones:
            return False
        self._zones = zones
        self._assigned.clear()
        return True

    def should_read(self, source: CacheSource) -> bool:
        """Return whether this instance is among the readers of a source."""
        if len(self._zones) <= source.max_readers or source.max_readers <= 0:
            return True
        is_assigned = self._assigned.get(source)
        if is_assigned is None:
            is_assigned = self._assigned[source] = self._is_reader(source)
        return is_assigned

    def retain(self, sources: Iterable[CacheSource]) -> None:
        """Forget all sources but these."""
        kept = set(sources)
        self._assigned = {s: a for s, a in self._assigned.items() if s in kept}

    def _is_reader(self, source: CacheSource) -> bool:
        ranked = rendezvous(source.address, self._zones)
        near = [entry for entry in ranked if self._zones[entry] == source.zone]
        far = [entry for entry in ranked if self._zones[entry] != source.zone]
        return self._own in (near + far)[: source.max_readers]
