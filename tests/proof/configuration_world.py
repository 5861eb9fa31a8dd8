"""World of the configuration proof: service, zones and entry instances with the faults."""

from __future__ import annotations

import random

from bergamothill.clock import ManualClock
from bergamothill.connection.kvs import KeyValueService
from bergamothill.connection.kvs_memory import MemoryKeyValueService
from bergamothill.connection.memorybus import MemoryBus, MemoryNetwork
from bergamothill.errors import ConflictError, PeerTimeoutError, PeerUnreachableError
from bergamothill.version.record import HEAD_KEY, Head, decode

TICK_MS = 1_000
NOTICED_MS = 5_000
"""Within this a frozen instance is no longer among the live peers."""

WATCH_SILENCE_TICKS = 4


class FaultyService(MemoryKeyValueService):
    """Service whose head writes lose their reply, before or after the effect, or land late."""

    def __init__(self, clock, on_effect):
        super().__init__(clock)
        self._on_effect = on_effect
        self.is_down = False
        self.unanswered = 0
        self.lose_after = 0
        self.hold = 0
        self.held = []
        self.before_write = None

    def get(self, key):
        self.check_up()
        return super().get(key)

    def put_if(self, key, value, *, expected, lease_id=None):
        self.check_up()
        if key != HEAD_KEY:
            return super().put_if(key, value, expected=expected)
        if self.before_write is not None:
            action, self.before_write = self.before_write, None
            action()
        if self.hold:
            self.hold -= 1
            self.held.append((value, expected))
            raise PeerTimeoutError("no reply yet", step="kvs.put")
        entry = super().put_if(key, value, expected=expected)
        self._on_effect(decode(Head, value))
        if self.lose_after:
            self.lose_after -= 1
            raise PeerTimeoutError("reply lost", step="kvs.put")
        return entry

    def land_held(self):
        held, self.held = self.held, []
        for value, expected in held:
            try:
                super().put_if(HEAD_KEY, value, expected=expected)
            except ConflictError:
                continue
            self._on_effect(decode(Head, value))

    def check_up(self):
        if self.is_down:
            raise PeerUnreachableError("down", step="kvs")
        if self.unanswered:
            self.unanswered -= 1
            raise PeerTimeoutError("slow", step="kvs")


class ServiceView(KeyValueService):
    """The service as one entry instance reaches it."""

    def __init__(self, world, entry):
        self._world = world
        self._entry = entry

    def _service(self):
        if self._world.zone_of(self._entry) in self._world.zones_without_service:
            raise PeerUnreachableError("cut off", step="kvs")
        return self._world.service

    def get(self, key):
        return self._service().get(key)

    def put_if(self, key, value, *, expected, lease_id=None):
        return self._service().put_if(key, value, expected=expected)

    def wait_change(self, prefix, *, after, timeout_ms):
        service = self._service()
        service.check_up()
        silent = self._world.silent_watches
        if silent.get(self._entry):
            raise PeerTimeoutError("silent", step="kvs.watch")
        return service.wait_change(prefix, after=after, timeout_ms=0)

    def scan(self, prefix):
        raise NotImplementedError

    delete_if = grant_lease = renew_lease = revoke_lease = scan


class WorldBus(MemoryBus):
    def live_peers(self):
        return tuple(
            entry
            for entry in super().live_peers()
            if self._network.world.now_ms() - self._network.world.frozen_since(entry) < NOTICED_MS
        )


class WorldNetwork(MemoryNetwork):
    """Network where frozen instances answer nothing and are noticed late."""

    def __init__(self, world):
        super().__init__()
        self.world = world

    def join(self, entry_id, zone):
        bus = WorldBus(self, entry_id, zone)
        self._buses[entry_id] = bus
        return bus

    def reachable(self, source):
        if self.world.loses_messages:
            return ()
        return super().reachable(source)


class World:
    """Zones of entry instances around the service; time moves by ticks."""

    ZONES = ("a", "b")
    PLACES = 3

    def __init__(self, watcher_class, on_apply, on_effect):
        self._watcher_class = watcher_class
        self._on_apply = on_apply
        self.clock = ManualClock()
        self.writer_clock = ManualClock()
        self.service = FaultyService(self.clock, on_effect)
        self.network = WorldNetwork(self)
        self.zones_without_service = set()
        self.zones_apart = False
        self.loses_messages = False
        self.silent_watches = {}
        self.watchers = {}
        self.frozen = {}
        self.started = {}
        for zone in self.ZONES:
            for place in range(self.PLACES):
                self.start(f"{zone}{place}")

    def now_ms(self):
        return self.clock.now_ms()

    def zone_of(self, entry):
        return entry[0]

    def frozen_since(self, entry):
        return self.frozen.get(entry, self.now_ms())

    def start(self, entry):
        bus = self.network.join(entry, self.zone_of(entry))
        self.started[entry] = self.now_ms()
        watcher = self._watcher_class(
            ServiceView(self, entry),
            bus,
            self.clock,
            entry,
            lambda configuration: self._on_apply(entry, configuration),
            rng=random.Random(1),
        )
        self.watchers[entry] = watcher
        self._cut_again()
        watcher.start_from_peers()

    def kill(self, entry):
        self.network.leave(entry)
        del self.watchers[entry]
        self.frozen.pop(entry, None)
        self.silent_watches.pop(entry, None)

    def freeze(self, entry):
        self.frozen[entry] = self.now_ms()
        self._cut_again()

    def wake(self, entry):
        del self.frozen[entry]
        self.started[entry] = self.now_ms()
        self._cut_again()

    def set_zones_apart(self, apart):
        self.zones_apart = apart
        self._cut_again()

    def tick(self):
        self.clock.advance_ms(TICK_MS)
        for entry, watcher in list(self.watchers.items()):
            if entry in self.frozen:
                continue
            self._watch(entry, watcher)
            watcher.peer_once()

    def _watch(self, entry, watcher):
        """A silent watch blocks its thread until its idle bound, then fails and is reopened."""
        left = self.silent_watches.get(entry, 0)
        if left > 1:
            self.silent_watches[entry] = left - 1
            return
        watcher.watch_once()
        self.silent_watches.pop(entry, None)

    def _cut_again(self):
        self.network.heal()
        names = list(self.watchers)
        for one in names:
            for other in names:
                apart = self.zones_apart and self.zone_of(one) != self.zone_of(other)
                if apart or one in self.frozen or other in self.frozen:
                    self.network.cut(one, other)
