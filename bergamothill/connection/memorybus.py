"""In-memory message bus for tests and embedding."""

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
    """Connects in-memory buses; delivers synchronously in the sender's thread."""

    def __init__(self) -> None:
        self._buses: dict[EntryInstanceId, MemoryBus] = {}
        self._cut_pairs: set[frozenset[EntryInstanceId]] = set()

    def join(self, entry_id: EntryInstanceId, zone: ZoneName) -> MemoryBus:
        """Return a new bus for an entry instance, replacing one of the same name."""
        bus = MemoryBus(self, entry_id, zone)
        self._buses[entry_id] = bus
        return bus

    def leave(self, entry_id: EntryInstanceId) -> None:
        """Remove an entry instance."""
        self._buses.pop(entry_id, None)

    def cut(self, one: EntryInstanceId, other: EntryInstanceId) -> None:
        """Drop messages between two entry instances in both directions."""
        self._cut_pairs.add(frozenset((one, other)))

    def heal(self) -> None:
        """Remove all cuts between entry instances."""
        self._cut_pairs.clear()

    def reachable(self, source: EntryInstanceId) -> tuple[MemoryBus, ...]:
        """Return the other buses that a sender can reach, in name order."""
        others = (self._buses[name] for name in sorted(self._buses) if name != source)
        return tuple(b for b in others if frozenset((source, b.entry_id)) not in self._cut_pairs)


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
        """Deliver the message to every reachable instance in scope."""
        for bus in self._network.reachable(self.entry_id):
            if scope is Scope.EVERYWHERE or bus.zone == self.zone:
                bus.deliver(self.entry_id, message)

    def request(self, peer: EntryInstanceId, message: object, *, timeout_ms: int) -> Any:
        """Deliver the message and return the handler's result."""
        for bus in self._network.reachable(self.entry_id):
            if bus.entry_id == peer:
                return bus.deliver(self.entry_id, message)
        raise PeerUnreachableError("peer is unreachable", step="peer.request", peer=peer)

    def live_peers(self) -> tuple[EntryInstanceId, ...]:
        """Return the reachable entry instances of this zone, itself included."""
        names = [b.entry_id for b in self._network.reachable(self.entry_id) if b.zone == self.zone]
        return tuple(sorted([self.entry_id, *names]))

    def to_local_ms(self, peer: EntryInstanceId, peer_ms: int) -> int | None:
        """Return the time unchanged, because the buses of a network share one clock."""
        return peer_ms

    def deliver(self, sender: EntryInstanceId, message: object) -> Any:
        """Encode and decode a message, then pass it to its handler."""
        received = decode_message(encode_message(message))
        handler = self._handlers.get(type(received))
        return None if handler is None else handler(sender, received)
