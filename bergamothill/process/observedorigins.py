"""Where streams began that no instance knows, by the record of versions and the lists."""

from __future__ import annotations

from bergamothill.clock import Clock
from bergamothill.ids import ServiceName, SoftwareVersion
from bergamothill.process.softwareversions import SoftwareVersions
from bergamothill.process.streamresumption import OriginEvidence

__all__ = ["ObservedOrigins"]


class ObservedOrigins(OriginEvidence):
    """Evidence of a record that is written after the lists it is made from.

    The record may lack a version that joined shortly before all instances ended. Unless its servers
    left meanwhile, a list has it by the time at which the answer may be read.

    :param clock: source of time
    :param record: evidence of the record alone
    :param servers: versions that this instance has seen
    """

    is_certain = False

    def __init__(self, clock: Clock, record: OriginEvidence, servers: SoftwareVersions) -> None:
        self._clock = clock
        self._record = record
        self._servers = servers

    async def only_origin(
        self, route: str, give_up_ms: int
    ) -> tuple[ServiceName, SoftwareVersion] | None:
        """Return the only service and version at which streams of a route began, if it is known."""
        only = await self._record.only_origin(route, give_up_ms)
        if only is None:
            return None
        service, version = only
        seen = self._servers.recent_versions(service, self._clock.now_ms())
        return only if seen <= {version} else None
