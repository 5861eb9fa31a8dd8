"""Backend servers as they register themselves; no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamothill.ids import ModelName, ServerId, ServiceName, SoftwareVersion, ZoneName

__all__ = ["BackendServer"]


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Entry of one backend server in the server list.

    :param server: server id
    :param started_wall_ms: start of its incarnation, in milliseconds since the epoch; 0 if unknown
    :param service: service that it belongs to
    :param address: ``host:port``
    :param zone: availability zone
    :param slots: number of requests that it processes concurrently
    :param is_leaving: whether it accepts no new requests and only completes those in progress
    :param software_version: version of its software
    :param weights: weight version of each model that it serves
    :param cold_remaining_ms: time for which it will be cold; None if it does not tell
    :param revision: revision at which the entry was written, at least every heartbeat interval
    """

    server: ServerId
    started_wall_ms: int
    service: ServiceName
    address: str
    zone: ZoneName
    slots: int
    is_leaving: bool
    software_version: SoftwareVersion
    weights: dict[ModelName, int] = field(default_factory=dict)
    cold_remaining_ms: int | None = None
    revision: int = 0

    @property
    def incarnation(self) -> tuple[ServerId, int]:
        """Server id and start time, which identify one incarnation."""
        return (self.server, self.started_wall_ms)
