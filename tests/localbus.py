"""Double of the bus: entry instances of one test, delivered to in the calling thread."""

from __future__ import annotations

from bergamothill.connection.bus import PeerBus, Scope
from bergamothill.errors import PeerTimeoutError, PeerUnreachableError
from bergamothill.ids import EntryInstanceId, ZoneName


class LocalNetwork:
    """Zones, cuts between them and frozen entry instances."""

    def __init__(self):
        self.buses: dict[EntryInstanceId, LocalBus] = {}
        self.cut_zones: set[ZoneName] = set()
        self.frozen: set[EntryInstanceId] = set()

    def bus(self, entry: str, zone: str) -> LocalBus:
        self.buses[EntryInstanceId(entry)] = LocalBus(self, EntryInstanceId(entry), ZoneName(zone))
        return self.buses[EntryInstanceId(entry)]

    def remove(self, entry: str) -> None:
        del self.buses[EntryInstanceId(entry)]
        self.frozen.discard(EntryInstanceId(entry))

    def reaches(self, a: LocalBus, b: LocalBus) -> bool:
        if {a.entry, b.entry} & self.frozen:
            return False
        return a.zone == b.zone or not {a.zone, b.zone} & self.cut_zones


class LocalBus(PeerBus):
    def __init__(self, network: LocalNetwork, entry: EntryInstanceId, zone: ZoneName):
        self.network = network
        self.entry = entry
        self.zone = zone
        self.lose_publishes = 0
        self.handlers = {}

    def subscribe(self, message_type, handler):
        self.handlers[message_type] = handler

    def publish(self, message, scope):
        if self.lose_publishes > 0:
            self.lose_publishes -= 1
            return
        for bus in list(self.network.buses.values()):
            in_scope = scope is Scope.EVERYWHERE or bus.zone == self.zone
            if bus is not self and in_scope and self.network.reaches(self, bus):
                bus.handlers[type(message)](self.entry, message)

    def request(self, peer, message, *, timeout_ms):
        bus = self.network.buses.get(peer)
        if bus is None:
            raise PeerUnreachableError("gone", step="bus.request", peer=peer)
        if not self.network.reaches(self, bus):
            raise PeerTimeoutError("no reply", step="bus.request", peer=peer)
        return bus.handlers[type(message)](self.entry, message)

    def live_peers(self):
        live = [
            bus.entry
            for bus in self.network.buses.values()
            if bus.zone == self.zone and (bus is self or bus.entry not in self.network.frozen)
        ]
        return tuple(sorted(live))
