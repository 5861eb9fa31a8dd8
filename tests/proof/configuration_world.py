"""Simulated zones, entry instances and key-value service of the configuration proof."""

from __future__ import annotations

import random

from bergamothill.clock import ManualClock
from bergamothill.connection.kvs import KeyValueService
from bergamothill.connection.kvs_memory import MemoryKeyValueService
from bergamothill.connection.memorybus import MemoryBus, MemoryNetwork
from bergamothill.errors import ConflictError, PeerTimeoutError, PeerUnreachableError
from bergamothill.version.record import HEAD_KEY, Head, decode

TICK_MS = 1_000
FREEZE_DETECTION_MS = 5_000
"""A frozen instance is dropped from the live peers after this time."""

WATCH_SILENCE_TICKS = 4


class FaultyService(MemoryKeyValueService):
    """Key-value service with outages, timeouts, lost replies and delayed writes of the head."""

    def __init__(self, clock, on_effect):
        super().__init__(clock)
        self._on_effect = on_effect
        self.is_down = False
        self.calls_to_time_out = 0
        self.replies_to_lose = 0
        self.writes_to_delay = 0
        self.delayed_writes = []
        self.before_write = None

    def get(self, key):
        self.check_available()
        return super().get(key)

    def put_if(self, key, value, *, expected, lease_id=None):
        self.check_available()
        if key != HEAD_KEY:
            return super().put_if(key, value, expected=expected)
        if self.before_write is not None:
            action, self.before_write = self.before_write, None
            action()
        if self.writes_to_delay:
            self.writes_to_delay -= 1
            self.delayed_writes.append((value, expected))
            raise PeerTimeoutError("no reply yet", step="kvs.put")
        entry = super().put_if(key, value, expected=expected)
        self._on_effect(decode(Head, value))
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            raise PeerTimeoutError("reply lost", step="kvs.put")
        return entry

    def apply_delayed_writes(self):
        delayed, self.delayed_writes = self.delayed_writes, []
        for value, expected in delayed:
            try:
                super().put_if(HEAD_KEY, value, expected=expected)
            except ConflictError:
                continue
            self._on_effect(decode(Head, value))

    def check_available(self):
        if self.is_down:
            raise PeerUnreachableError("down", step="kvs")
        if self.calls_to_time_out:
            self.calls_to_time_out -= 1
            raise PeerTimeoutError("slow", step="kvs")


class ServiceView(KeyValueService):
    """Key-value service as one entry instance reaches it."""

    def __init__(self, world, entry):
        self._world = world
        self._entry = entry

    def _service(self):
        if self._world.zone_of(self._entry) in self._world.zones_without_service:
            raise PeerUnreachableError("zone is cut off", step="kvs")
        return self._world.service

    def get(self, key):
        return self._service().get(key)

    def put_if(self, key, value, *, expected, lease_id=None):
        return self._service().put_if(key, value, expected=expected)

    def wait_for_change(self, prefix, *, after, timeout_ms):
        service = self._service()
        service.check_available()
        silent = self._world.silent_watches
        if silent.get(self._entry):
            raise PeerTimeoutError("silent", step="kvs.watch")
        return service.wait_for_change(prefix, after=after, timeout_ms=0)

    def scan(self, prefix):
        raise NotImplementedError

    delete_if = grant_lease = renew_lease = revoke_lease = scan


class WorldBus(MemoryBus):
    def live_peers(self):
        return tuple(
            entry
            for entry in super().live_peers()
            if self._network.world.now_ms() - self._network.world.frozen_since(entry)
            < FREEZE_DETECTION_MS
        )


class WorldNetwork(MemoryNetwork):
    """Network on which frozen instances do not respond and are detected after a delay."""

    def __init__(self, world):
        super().__init__()
        self.world = world

    def join(self, entry_id, zone):
        bus = WorldBus(self, entry_id, zone)
        self._buses[entry_id] = bus
        return bus

    def reachable(self, source):
        if self.world.drops_messages:
            return ()
        return super().reachable(source)


class World:
    """Simulated zones of entry instances and a key-value service; time advances in ticks."""

    ZONES = ("a", "b")
    ENTRIES_PER_ZONE = 3

    def __init__(self, watcher_class, on_apply, on_effect):
        self._watcher_class = watcher_class
        self._on_apply = on_apply
        self.clock = ManualClock()
        self.writer_clock = ManualClock()
        self.service = FaultyService(self.clock, on_effect)
        self.network = WorldNetwork(self)
        self.zones_without_service = set()
        self.zones_partitioned = False
        self.drops_messages = False
        self.silent_watches = {}
        self.watchers = {}
        self.frozen = {}
        self.started = {}
        for zone in self.ZONES:
            for number in range(self.ENTRIES_PER_ZONE):
                self.start(f"{zone}{number}")

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
        self._apply_partitions()
        watcher.start_from_peers()

    def kill(self, entry):
        self.network.leave(entry)
        del self.watchers[entry]
        self.frozen.pop(entry, None)
        self.silent_watches.pop(entry, None)

    def freeze(self, entry):
        self.frozen[entry] = self.now_ms()
        self._apply_partitions()

    def wake(self, entry):
        del self.frozen[entry]
        self.started[entry] = self.now_ms()
        self._apply_partitions()

    def set_zones_partitioned(self, partitioned):
        self.zones_partitioned = partitioned
        self._apply_partitions()

    def tick(self):
        self.clock.advance_ms(TICK_MS)
        for entry, watcher in list(self.watchers.items()):
            if entry in self.frozen:
                continue
            self._watch(entry, watcher)
            watcher.sync_with_peers()

    def _watch(self, entry, watcher):
        """Run one watch; a silent one blocks its thread until the idle timeout, then fails."""
        ticks_left = self.silent_watches.get(entry, 0)
        if ticks_left > 1:
            self.silent_watches[entry] = ticks_left - 1
            return
        watcher.poll_service()
        self.silent_watches.pop(entry, None)

    def _apply_partitions(self):
        self.network.heal()
        names = list(self.watchers)
        for one in names:
            for other in names:
                partitioned = self.zones_partitioned and self.zone_of(one) != self.zone_of(other)
                if partitioned or one in self.frozen or other in self.frozen:
                    self.network.cut(one, other)
