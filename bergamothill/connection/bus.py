"""Bus between entry instances: interface and its in-memory twin.

A message is a frozen dataclass registered under a name with :func:`message`. Its fields are what
CBOR carries: numbers, text, bytes, lists and nested messages.
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
"""Message classes by their name on the wire."""


def message(name: str) -> Callable[[type[M]], type[M]]:
    """Register a dataclass as a message between entry instances.

    :param name: name on the wire, unique
    :returns: decorator that registers the class and returns it
    """

    def register(cls: type[M]) -> type[M]:
        if name in MESSAGE_TYPES:
            raise ValueError(f"message name {name} is taken")
        MESSAGE_TYPES[name] = cls
        cls.wire_name = name  # type: ignore[attr-defined]
        return cls

    return register


class Scope(Enum):
    """How far a published message goes."""

    ZONE = "zone"
    """Every live entry instance of the availability zone."""

    EVERYWHERE = "everywhere"
    """Every live entry instance; other zones by way of a few links."""


class PeerBus(ABC):
    """Messages to the other entry instances. Delivery is at most once and best effort."""

    @abstractmethod
    def subscribe(
        self, message_type: type[M], handler: Callable[[EntryInstanceId, M], Any]
    ) -> None:
        """Register the handler of a message type.

        :param message_type: registered message class
        :param handler: gets sender and message; what it returns answers a :meth:`request`
        """

    @abstractmethod
    def publish(self, message: object, scope: Scope) -> None:
        """Send to all in scope without waiting; a peer that cannot be reached is skipped."""

    def publish_batch(self, messages: Iterable[object], scope: Scope) -> None:
        """Send several messages to all in scope, in one frame where the bus has frames.

        :param messages: registered messages, delivered in order
        :param scope: how far they go
        """
        for item in messages:
            self.publish(item, scope)

    @abstractmethod
    def request(self, peer: EntryInstanceId, message: object, *, timeout_ms: int) -> Any:
        """Send to one entry instance and wait for what its handler returns.

        :raises PeerUnreachableError: no open link to the peer
        :raises PeerTimeoutError: no reply in time
        """

    @abstractmethod
    def live_peers(self) -> tuple[EntryInstanceId, ...]:
        """Return the live entry instances of this zone, itself included, in name order."""

    def local_ms(self, peer: EntryInstanceId, peer_ms: int) -> int | None:
        """Convert an instant on a peer's clock, to bound the age of what the peer reports.

        :param peer: entry instance that read its clock
        :param peer_ms: instant on the peer's clock, in milliseconds
        :returns: instant on this process's clock that is not later than the peer's; None when the
            relation of the clocks is not known
        """
        return None
