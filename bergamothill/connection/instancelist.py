"""Instance list of the platform: interface and records. It lags."""

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
VIEW_LOG_LENGTH = 1_000


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


def encode_instance(instance: Instance) -> dict[str, Any]:
    """Return the JSON object of an instance.

    :param instance: instance to encode
    """
    fields = asdict(instance)
    fields["kind"] = instance.kind.value
    fields["state"] = instance.state.value
    return fields


def decode_instance(fields: dict[str, Any], *, peer: str) -> Instance:
    """Return the instance of a JSON object.

    :param fields: decoded JSON object
    :param peer: peer for the error
    :raises ProtocolError: a field is missing or has no meaning
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
        raise ProtocolError(f"bad instance: {error!r}", step="instancelist", peer=peer) from error


class HttpInstanceList(InstanceList):
    """Instance list behind HTTP.

    :param client: client of the list's address
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
            raise ProtocolError("reply is no list", step=step, peer=peer)
        return tuple(decode_instance(item, peer=peer) for item in items)


@dataclass(frozen=True, slots=True)
class _View:
    since_ms: int
    instances: dict[str, Instance]


class MemoryInstanceList(InstanceList):
    """Instance list inside the process.

    :param instances: instances listed from the start
    :param clock: source of time for the lag
    :param lag_ms: age of what :meth:`instances` returns, in milliseconds
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
        first = {instance.instance_id: instance for instance in instances}
        self._views = deque([_View(self._clock.now_ms() - lag_ms, first)], VIEW_LOG_LENGTH)
        self._lock = threading.Lock()

    def instances(self) -> tuple[Instance, ...]:
        """Return all instances as they were ``lag_ms`` ago, in name order."""
        shown_ms = self._clock.now_ms() - self.lag_ms
        with self._lock:
            newest_first = reversed(self._views)
            reached = (view for view in newest_first if view.since_ms <= shown_ms)
            shown = next(reached, self._views[0]).instances
        return tuple(shown[name] for name in sorted(shown))

    def register(self, instance: Instance) -> None:
        """Add an instance or replace its entry.

        :param instance: instance as it is now
        """
        with self._lock:
            newest = self._views[-1].instances
            self._append({**newest, instance.instance_id: instance})

    def remove(self, instance_id: str) -> None:
        """Remove an instance; one that is not listed is no error.

        :param instance_id: name of the instance
        """
        with self._lock:
            newest = dict(self._views[-1].instances)
            newest.pop(instance_id, None)
            self._append(newest)

    def _append(self, instances: dict[str, Instance]) -> None:
        self._views.append(_View(self._clock.now_ms(), instances))
