"""Availability zones whose servers get nothing until the operator says so; no I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bergamothill.ids import ZoneName
from bergamothill.logs import EventLog

__all__ = ["EvacuatedZones", "EvacuationChange", "log_evacuation"]

RETRY_AFTER_MS = 1_000
"""Retry-After while all servers are evacuated; the operator's keys are read in about this time."""

_log = EventLog("node")


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """Change of the evacuated zones, for the log.

    :param evacuated: zones that are newly evacuated
    :param returned: zones that are so no longer
    """

    evacuated: tuple[ZoneName, ...]
    returned: tuple[ZoneName, ...]

    def __bool__(self) -> bool:
        return bool(self.evacuated or self.returned)


class EvacuatedZones:
    """Evacuated zones by the latest read of the operator's keys.

    A read that fails changes nothing, so zones stay evacuated while the key-value service is away.
    """

    def __init__(self) -> None:
        self._zones: frozenset[ZoneName] = frozenset()
        self._read_ms: int | None = None

    def __bool__(self) -> bool:
        return bool(self._zones)

    def is_evacuated(self, zone: ZoneName) -> bool:
        """Return whether the servers of a zone get nothing."""
        return zone in self._zones

    def apply(
        self, zones: Iterable[ZoneName], sent_ms: int, *, is_trusted: bool = True
    ) -> EvacuationChange:
        """Apply the zones that a read returned; reads that overtook each other do not count.

        :param sent_ms: time at which the read was sent
        :param is_trusted: whether the read shows all earlier writes; if not, as the service was
            restored from an older copy, it ends no evacuation
        """
        before = self._zones
        if self._read_ms is None or sent_ms >= self._read_ms:
            self._read_ms = sent_ms
            self._zones = frozenset(zones) | (frozenset() if is_trusted else before)
        return EvacuationChange(
            tuple(sorted(self._zones - before)), tuple(sorted(before - self._zones))
        )


def log_evacuation(change: EvacuationChange, age_ms: int) -> None:
    """Log a change of the evacuated zones.

    :param age_ms: time since the read that showed it was sent
    """
    _log.info(
        "zones_evacuated",
        evacuated=",".join(change.evacuated) or "-",
        returned=",".join(change.returned) or "-",
        age_ms=age_ms,
    )
