"""What an entry instance does so that streams go on only at the version that began them."""

from __future__ import annotations

from bergamothill.clock import Clock
from bergamothill.platform.kvs import PlatformKeyValueService
from bergamothill.process.backends import BackendServer
from bergamothill.process.gateway import Gateway
from bergamothill.process.instanceroster import InstanceRoster
from bergamothill.process.observedorigins import ObservedOrigins
from bergamothill.process.serverpool import ServerPool
from bergamothill.process.versionrecorder import VersionRecorder
from bergamothill.version.routetable import RoutingConfig
from bergamothill.version.versionrecord import RecordUse

__all__ = ["NodeStreams"]


class NodeStreams:
    """Questions to servers, and the record of versions if the settings enable it.

    :param use: use of the record
    :param clock: source of time
    :param kvs: key-value service
    :param server_pool: observed state of the backend servers
    :param roster: all entry instances
    :param gateway: forwards callers' requests
    """

    def __init__(
        self,
        use: RecordUse,
        clock: Clock,
        kvs: PlatformKeyValueService,
        server_pool: ServerPool,
        roster: InstanceRoster,
        gateway: Gateway,
    ) -> None:
        self.recorder: VersionRecorder | None = None
        server_pool.asks_servers = True
        if use is RecordUse.OFF:
            return
        recorder = self.recorder = VersionRecorder(
            kvs, lambda: kvs.era.current, clock, roster, gateway.capacity_changed, kvs
        )
        if use is RecordUse.OBSERVE:
            gateway.resumption.evidence = ObservedOrigins(clock, recorder, server_pool)
            return
        server_pool.is_recorded = recorder.may_begin_at
        if use is RecordUse.TRUST:
            gateway.resumption.evidence = recorder

    async def run(self) -> None:
        """Keep the record until cancelled."""
        if self.recorder is not None:
            await self.recorder.run()

    def apply_config(self, config: RoutingConfig) -> None:
        """Apply the configuration in force."""
        if self.recorder is not None:
            self.recorder.set_routes(config.routes)

    def apply_servers(self, servers: list[BackendServer]) -> None:
        """Apply a list of servers, before any of them is used."""
        if self.recorder is not None:
            self.recorder.apply_list(servers)

    def handle_restore(self) -> None:
        """React to a restoration of the key-value service."""
        if self.recorder is not None:
            self.recorder.handle_restore()
