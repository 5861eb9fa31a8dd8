"""Message bus between entry instances: interface and registry of message types.

A message is a frozen dataclass registered under a name with :func:`message`. Its fields have types
that CBOR can encode: numbers, text, bytes, lists and nested dataclasses.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any, TypeVar

from bergamothill.ids import EntryInstanceId

__all__ = ["MESSAGE_TYPES", "PeerBus", "Scope", "message"]

M = TypeVar("M")

MESSAGE_TYPES: dict[str, type] = {}
"""Message classes by wire name."""


def message(name: str) -> Callable[[type[M]], type[M]]:
    """Register a dataclass as a message between entry instances.

    :param name: unique name on the wire
    :returns: decorator that registers the class and returns it
    """

    def register(cls: type[M]) -> type[M]:
        if name in MESSAGE_TYPES:
            raise ValueError(f"message name {name} is already registered")
        MESSAGE_TYPES[name] = cls
        cls.wire_name = name  # type: ignore[attr-defined]
        return cls

    return register


class Scope(Enum):
    """Set of entry instances that a published message is sent to."""

    ZONE = "zone"
    """Every live entry instance of the availability zone."""

    EVERYWHERE = "everywhere"
    """Every live entry instance; other zones are reached over a few relayed links."""


class PeerBus(ABC):
    """Message bus to the other entry instances, with best-effort, at-most-once delivery."""

    @abstractmethod
    def subscribe(
        self, message_type: type[M], handler: Callable[[EntryInstanceId, M], Any]
    ) -> None:
        """Register the handler of a message type.

        :param message_type: registered message class
        :param handler: called with sender and message; its result is the reply to a :meth:`request`
        """

    @abstractmethod
    def publish(self, message: object, scope: Scope) -> None:
        """Send to every instance in scope without waiting; unreachable peers are skipped."""

    def publish_batch(self, messages: Iterable[object], scope: Scope) -> None:
        """Send several messages to every instance in scope, in one frame if the bus uses frames.

        :param messages: registered messages, delivered in order
        :param scope: instances to send them to
        """
        for item in messages:
            self.publish(item, scope)

    @abstractmethod
    def request(self, peer: EntryInstanceId, message: object, *, timeout_ms: int) -> Any:
        """Send a request to one entry instance and return the result of its handler.

        :raises PeerUnreachableError: the peer is unknown or could not be reached
        :raises PeerTimeoutError: no reply within the timeout
        """

    @abstractmethod
    def live_peers(self) -> tuple[EntryInstanceId, ...]:
        """Return the live entry instances of this zone, itself included, in name order."""

    def to_local_ms(self, peer: EntryInstanceId, peer_ms: int) -> int | None:
        """Convert a time on a peer's clock, to bound the age of the data that the peer reports.

        :param peer: entry instance that read its clock
        :param peer_ms: time on the peer's clock, in milliseconds
        :returns: lower bound of the same moment on the clock of this process; None if the offset
            between the clocks is unknown
        """
        return None
