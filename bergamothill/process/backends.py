"""Backend servers as registered by themselves; no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamothill.ids import ModelName, ServerId, ServiceName, ZoneName

__all__ = ["BackendServer"]


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Listed entry of one backend server.

    :param server: server id
    :param started_wall_ms: start of its incarnation, in milliseconds since the epoch; 0 if unknown
    :param service: service that it belongs to
    :param address: ``host:port``
    :param zone: availability zone
    :param slots: number of requests that it processes concurrently
    :param is_leaving: finishes its requests and accepts no new ones
    :param weights: weight version of each model that it serves
    """

    server: ServerId
    started_wall_ms: int
    service: ServiceName
    address: str
    zone: ZoneName
    slots: int
    is_leaving: bool
    weights: dict[ModelName, int] = field(default_factory=dict)

    @property
    def incarnation(self) -> tuple[ServerId, int]:
        """Server id and start time, which identify one incarnation."""
        return (self.server, self.started_wall_ms)
