"""In-memory twin of the peer mesh, for tests and embedders."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from bergamothill.connection.bus import PeerBus, Scope
from bergamothill.connection.codec import decode_message, encode_message
from bergamothill.errors import PeerUnreachableError
from bergamothill.ids import EntryInstanceId, ZoneName

__all__ = ["MemoryBus", "MemoryNetwork"]

M = TypeVar("M")


class MemoryNetwork:
    """Joins memory buses; delivers at once in the sender's thread."""

    def __init__(self) -> None:
        self._buses: dict[EntryInstanceId, MemoryBus] = {}
        self._cut: set[frozenset[EntryInstanceId]] = set()

    def join(self, entry_id: EntryInstanceId, zone: ZoneName) -> MemoryBus:
        """Return a new bus of an entry instance; one of the same name is replaced."""
        bus = MemoryBus(self, entry_id, zone)
        self._buses[entry_id] = bus
        return bus

    def leave(self, entry_id: EntryInstanceId) -> None:
        """Remove an entry instance."""
        self._buses.pop(entry_id, None)

    def cut(self, one: EntryInstanceId, other: EntryInstanceId) -> None:
        """Stop messages between two entry instances, both ways."""
        self._cut.add(frozenset((one, other)))

    def heal(self) -> None:
        """Let all messages pass again."""
        self._cut.clear()

    def reachable(self, source: EntryInstanceId) -> tuple[MemoryBus, ...]:
        """Return the buses that a sender reaches, itself left out, in name order."""
        others = (self._buses[name] for name in sorted(self._buses) if name != source)
        return tuple(b for b in others if frozenset((source, b.entry_id)) not in self._cut)


class MemoryBus(PeerBus):
    """Bus of one entry instance in a :class:`MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, entry_id: EntryInstanceId, zone: ZoneName) -> None:
        self.entry_id = entry_id
        self.zone = zone
        self._network = network
        self._handlers: dict[type, Callable[[EntryInstanceId, Any], Any]] = {}

    def subscribe(
        self, message_type: type[M], handler: Callable[[EntryInstanceId, M], Any]
    ) -> None:
        """Register the handler of a message type."""
        self._handlers[message_type] = handler

    def publish(self, message: object, scope: Scope) -> None:
        """Deliver to all that can be reached."""
        for bus in self._network.reachable(self.entry_id):
            if scope is Scope.EVERYWHERE or bus.zone == self.zone:
                bus.deliver(self.entry_id, message)

    def request(self, peer: EntryInstanceId, message: object, *, timeout_ms: int) -> Any:
        """Deliver and return the handler's result."""
        for bus in self._network.reachable(self.entry_id):
            if bus.entry_id == peer:
                return bus.deliver(self.entry_id, message)
        raise PeerUnreachableError("peer cannot be reached", step="peer.request", peer=peer)

    def live_peers(self) -> tuple[EntryInstanceId, ...]:
        """Return those of the zone that can be reached, itself included."""
        names = [b.entry_id for b in self._network.reachable(self.entry_id) if b.zone == self.zone]
        return tuple(sorted([self.entry_id, *names]))

    def local_ms(self, peer: EntryInstanceId, peer_ms: int) -> int | None:
        """Return the instant unchanged: the buses of a network share one clock."""
        return peer_ms

    def deliver(self, sender: EntryInstanceId, message: object) -> Any:
        """Hand a message to its handler, by way of the wire form."""
        received = decode_message(encode_message(message))
        handler = self._handlers.get(type(received))
        return None if handler is None else handler(sender, received)
