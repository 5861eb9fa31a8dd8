"""Client interface of the platform's instance list, and its data types.

The list may be out of date.
"""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from bergamothill.clock import Clock, SystemClock
from bergamothill.connection.http import HttpClient, decode_json
from bergamothill.errors import PeerTimeoutError, ProtocolError
from bergamothill.ids import Incarnation, ZoneName

__all__ = [
    "HttpInstanceList",
    "Instance",
    "InstanceKind",
    "InstanceList",
    "InstanceState",
    "MemoryInstanceList",
    "decode_instance",
    "encode_instance",
]

CALL_TIMEOUT_MS = 1_000
MAX_SNAPSHOTS = 1_000


class InstanceKind(Enum):
    """Kind of an instance."""

    ENTRY = "entry"
    ENGINE = "engine"
    STORE = "store"
    SERVICE = "service"


class InstanceState(Enum):
    """State of an instance as reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance as listed by the platform.

    :param instance_id: name of the instance, unique in the deployment
    :param kind: kind of the instance
    :param zone: availability zone
    :param address: ``host:port`` with a numeric IP address
    :param incarnation: increases with each start of the instance
    :param state: live or leaving
    :param group: name of the plain service that the instance belongs to; empty for other kinds
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

        :raises PeerUnreachableError: the list could not be reached
        :raises PeerTimeoutError: the list did not reply in time
        """


def encode_instance(instance: Instance) -> dict[str, Any]:
    """Return the JSON object of an instance.

    :param instance: instance to encode
    """
    fields = asdict(instance)
    fields["kind"] = instance.kind.value
    fields["state"] = instance.state.value
    return fields


def decode_instance(fields: dict[str, Any], *, peer: str) -> Instance:
    """Decode an instance from its JSON object.

    :param fields: decoded JSON object
    :param peer: peer to name in the error
    :raises ProtocolError: a field is missing or invalid
    """
    try:
        return Instance(
            instance_id=str(fields["instance_id"]),
            kind=InstanceKind(fields["kind"]),
            zone=ZoneName(str(fields["zone"])),
            address=str(fields["address"]),
            incarnation=Incarnation(int(fields["incarnation"])),
            state=InstanceState(fields["state"]),
            group=str(fields.get("group", "")),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ProtocolError(
            f"malformed instance: {error!r}", step="instancelist", peer=peer
        ) from error


class HttpInstanceList(InstanceList):
    """Client of the instance list over HTTP.

    :param client: HTTP client of the list
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def instances(self) -> tuple[Instance, ...]:
        """Return all instances as last known to the platform."""
        step, peer = "instancelist", self._client.peer
        reply = self._client.request("GET", "/instances", step=step, timeout_ms=CALL_TIMEOUT_MS)
        if reply.status != 200:
            raise PeerTimeoutError(f"status {reply.status}", step=step, peer=peer)
        items = decode_json(reply, step=step, peer=peer)
        if not isinstance(items, list):
            raise ProtocolError("reply is not a JSON array", step=step, peer=peer)
        return tuple(decode_instance(item, peer=peer) for item in items)


@dataclass(frozen=True, slots=True)
class _Snapshot:
    since_ms: int
    instances: dict[str, Instance]


class MemoryInstanceList(InstanceList):
    """In-memory instance list.

    :param instances: initial instances
    :param clock: source of time for the delay
    :param lag_ms: delay until :meth:`instances` returns a change, in milliseconds
    """

    def __init__(
        self,
        instances: Iterable[Instance] = (),
        *,
        clock: Clock | None = None,
        lag_ms: int = 0,
    ) -> None:
        self.lag_ms = lag_ms
        self._clock = clock or SystemClock()
        initial = {instance.instance_id: instance for instance in instances}
        self._snapshots = deque([_Snapshot(self._clock.now_ms() - lag_ms, initial)], MAX_SNAPSHOTS)
        self._lock = threading.Lock()

    def instances(self) -> tuple[Instance, ...]:
        """Return all instances as they were ``lag_ms`` ago, ordered by name."""
        as_of_ms = self._clock.now_ms() - self.lag_ms
        with self._lock:
            newest_first = reversed(self._snapshots)
            old_enough = (snapshot for snapshot in newest_first if snapshot.since_ms <= as_of_ms)
            visible = next(old_enough, self._snapshots[0]).instances
        return tuple(visible[name] for name in sorted(visible))

    def register(self, instance: Instance) -> None:
        """Add or replace an instance.

        :param instance: current state of the instance
        """
        with self._lock:
            newest = self._snapshots[-1].instances
            self._append({**newest, instance.instance_id: instance})

    def remove(self, instance_id: str) -> None:
        """Remove an instance; an instance that is not listed is ignored.

        :param instance_id: name of the instance
        """
        with self._lock:
            newest = dict(self._snapshots[-1].instances)
            newest.pop(instance_id, None)
            self._append(newest)

    def _append(self, instances: dict[str, Instance]) -> None:
        self._snapshots.append(_Snapshot(self._clock.now_ms(), instances))
