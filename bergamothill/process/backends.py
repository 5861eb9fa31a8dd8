"""Backend servers as they list themselves; no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamothill.ids import ModelName, ServerId, ServiceName, ZoneName

__all__ = ["BackendServer"]


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One listed backend server.

    :param server: id
    :param started_wall_ms: start of its incarnation, in milliseconds since the epoch; 0: not told
    :param service: service that it serves
    :param address: ``host:port``
    :param zone: availability zone
    :param slots: requests that it processes at once
    :param is_leaving: finishes what it has and takes no new work
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
        """Identity of one start of the server."""
        return (self.server, self.started_wall_ms)
