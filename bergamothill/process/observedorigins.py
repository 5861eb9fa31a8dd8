"""Where streams began that no instance knows, by the record of versions and the lists."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.ids import ServiceName, SoftwareVersion
from bergamothill.process.softwareversions import SoftwareVersions
from bergamothill.process.streamresumption import (
    LIST_CHECK_INTERVAL_MS,
    LIST_TIMEOUT_MS,
    OriginEvidence,
)

__all__ = ["ObservedOrigins"]


class ObservedOrigins(OriginEvidence):
    """Evidence of a record that is written after the lists it is made from.

    The record may lack a version that was listed shortly before all instances ended. Unless its
    servers left meanwhile, a list that is read now has it.

    :param clock: source of time
    :param record: evidence of the record alone
    :param servers: versions that this instance has seen
    :param read_list: lets this instance read the list of servers at once
    """

    def __init__(
        self,
        clock: Clock,
        record: OriginEvidence,
        servers: SoftwareVersions,
        read_list: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._record = record
        self._servers = servers
        self._read_list = read_list

    async def only_origin(
        self, route: str, give_up_ms: int
    ) -> tuple[ServiceName, SoftwareVersion] | None:
        """Return the only service and version at which streams of a route began, if it is known."""
        since_ms = self._clock.now_ms()
        only = await self._record.only_origin(route, give_up_ms)
        if only is None or not await self._await_list(since_ms, give_up_ms):
            return None
        service, version = only
        seen = self._servers.recent_versions(service, self._clock.now_ms())
        return only if seen <= {version} else None

    async def _await_list(self, since_ms: int, give_up_ms: int) -> bool:
        """Return whether a list was read after some time."""
        until_ms = min(give_up_ms, since_ms + LIST_TIMEOUT_MS)
        if not self._servers.has_list_since(since_ms):
            self._read_list()
        while not self._servers.has_list_since(since_ms):
            if self._clock.now_ms() >= until_ms:
                return False
            await asyncio.sleep(ms_to_seconds(LIST_CHECK_INTERVAL_MS))
        return True
