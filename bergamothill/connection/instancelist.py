"""Instance list of the platform: interface and records. It lags."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from bergamothill.ids import Incarnation, ZoneName

__all__ = ["Instance", "InstanceKind", "InstanceList", "InstanceState"]


class InstanceKind(Enum):
    """What an instance is."""

    ENTRY = "entry"
    ENGINE = "engine"
    STORE = "store"
    SERVICE = "service"


class InstanceState(Enum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance as the platform lists it.

    :param instance_id: name of the instance, unique in the deployment
    :param kind: what it is
    :param zone: availability zone
    :param address: ``host:port`` by IP number
    :param incarnation: grows at each start of the instance
    :param state: live or leaving
    :param group: service name of a plain service's server; empty for the other kinds
    """

    instance_id: str
    kind: InstanceKind
    zone: ZoneName
    address: str
    incarnation: Incarnation
    state: InstanceState
    group: str = ""


class InstanceList(ABC):
    """Client of the instance list."""

    @abstractmethod
    def instances(self) -> tuple[Instance, ...]:
        """Return all instances as last known to the platform.

        :raises PeerUnreachableError: the list did not answer
        :raises PeerTimeoutError: the list did not answer in time
        """
