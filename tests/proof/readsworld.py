"""Simulated instances of a zone and their key-value service, for the proof ``shared-reads``."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamothill.connection.kvs import KeyValueEntry
from bergamothill.connection.storeera import qualify_revision
from bergamothill.process.readmessages import decode_read_message, encode_read_message
from bergamothill.process.readtimes import ReadTimes
from bergamothill.process.registry import Peer
from tests.proof.eventworld import EventWorld
from tests.proof.require import require

PREFIX = "op/"
BOUND_MS = 3_000
TIMES = ReadTimes.of_bound(BOUND_MS)
REVOKE_MS = 5_000
KEY_LIFE_MS = REVOKE_MS - 250
START_MS = 100_000
TICK_MS = 50
RETRY_MS = 150
CALL_TIMEOUT_MS = 800
MAX_CALL_MS = 20
REGISTRY_READ_MS = 2_500
REGISTRATION_TTL_MS = 10_000
KEPT_STATES = 400

NOTICED_OUTAGE_MS = 2_500
"""Outages in which entries of servers may lapse; a poll and its time-out fit into it."""


@dataclass(eq=False)
class Instance:
    name: str
    reads: object = None
    epoch: int = 0
    is_frozen: bool = False
    is_cut_off: bool = False
    is_rejected: bool = False
    is_without_peers: bool = False
    connected_ms: int = 0
    failed_ms: int = 0
    deferred: list = field(default_factory=list)
    was_reading: bool = False
    next_read: object = None
    entries: tuple | None = None
    sent_ms: int = 0
    position: int = 0
    calls: int = 0

    @property
    def is_connected(self):
        return self.reads is not None and not (
            self.is_frozen or self.is_cut_off or self.is_rejected
        )


class ReadsWorld(EventWorld):
    """Event-driven simulation.

    :param new_reads: makes the subject of an instance from its name and its first number
    :param count: number of instances of the zone
    """

    def __init__(self, new_reads, count, rng):
        super().__init__(rng, now_ms=START_MS)
        self.new_reads = new_reads
        self.loss, self.max_delay_ms, self.repeats = 0.0, 5, 0.0
        self.is_away, self.away_ms, self.back_ms = False, 0, 0
        self.era, self.revision = 1, 10
        self.content = (self.entry("op/config", b"1"),)
        self.states = [(self.now_ms, self.content)]
        self.first_position = 0
        self.registered = {}
        self.instances = {}
        for number in range(count):
            self.add_instance(f"e{number}")
        self.run_for(2 * REGISTRY_READ_MS)

    # the service

    def go_away(self):
        if not self.is_away:
            self.is_away, self.away_ms = True, self.now_ms

    def come_back(self):
        if self.is_away:
            self.is_away, self.back_ms = False, self.now_ms

    def entry(self, key, value):
        self.revision += 1
        return KeyValueEntry(key, value, qualify_revision(self.era, self.revision))

    def set_content(self, content):
        self.content = tuple(sorted(content, key=lambda entry: entry.key))
        self.states.append((self.now_ms, self.content))
        if len(self.states) > KEPT_STATES:
            del self.states[0]
            self.first_position += 1
        for instance in self.instances.values():
            if self.rng.random() < 0.8:  # a watch may be silent
                self.after(1 + self.rng.randrange(MAX_CALL_MS), self.watch(instance))

    def watch(self, instance):
        def report():
            if instance.is_connected and not self.is_away:
                self.read_now(instance)

        return self.at(instance, report)

    def restore(self):
        """Restore the service from an older copy."""
        _, older = self.states[max(0, len(self.states) - 1 - self.rng.randrange(4))]
        self.era += 1
        self.set_content([self.entry(entry.key, entry.value) for entry in older])

    def position_of(self, entries, since_ms, first):
        """Return the first state from a position on that is the content and lasted until a time."""
        for index, (_, content) in enumerate(self.states):
            position = index + self.first_position
            is_last = index + 1 == len(self.states)
            ended_ms = self.now_ms + 1 if is_last else self.states[index + 1][0]
            if position >= first and ended_ms >= since_ms and content == entries:
                return position
        return None

    # instances

    def add_instance(self, name):
        instance = self.instances[name] = Instance(name)
        self.start(instance)

    def start(self, instance):
        instance.epoch += 1
        instance.is_frozen, instance.was_reading = False, False
        instance.deferred.clear()
        instance.entries, instance.position = None, 0
        instance.connected_ms = self.now_ms
        instance.reads = self.new_reads(instance.name, self.now_ms << 20)
        instance.reads.set_times(PREFIX, TIMES)
        self.schedule_read(instance, self.rng.randrange(5))
        self.after(self.rng.randrange(TICK_MS), self.at(instance, lambda: self.tick(instance)))
        self.at(instance, lambda: self.read_registry(instance))()

    def stop(self, instance):
        instance.epoch += 1
        instance.reads = None

    def at(self, instance, action):
        """Return the action, to be dropped after a restart and deferred during a freeze."""
        epoch = instance.epoch

        def act():
            if instance.epoch != epoch or instance.reads is None:
                return
            if instance.is_frozen:
                instance.deferred.append(act)
                return
            action()

        return act

    def thaw(self, instance):
        instance.is_frozen = False
        instance.connected_ms = self.now_ms
        deferred, instance.deferred = instance.deferred, []
        for action in deferred:
            action()

    def read_registry(self, instance):
        if instance.is_connected and not self.is_away:
            self.registered[instance.name] = self.now_ms
            listed = [
                Peer(name, "h", 1, "z")
                for name, renewed_ms in self.registered.items()
                if self.now_ms - renewed_ms < REGISTRATION_TTL_MS and name != instance.name
            ]
            instance.reads.set_peers(listed)
        delay_ms = REGISTRY_READ_MS + self.rng.randrange(100)
        self.after(delay_ms, self.at(instance, lambda: self.read_registry(instance)))

    def tick(self, instance):
        instance.reads.tick(self.now_ms)
        self.send_outgoing(instance)
        should_read = instance.reads.should_read(PREFIX, self.now_ms)
        if should_read and not instance.was_reading:
            self.read_now(instance)
        instance.was_reading = should_read
        self.check(instance)
        self.after(TICK_MS, self.at(instance, lambda: self.tick(instance)))

    def schedule_read(self, instance, delay_ms):
        """Read after a time, in place of the read that was scheduled before."""
        token = instance.next_read = object()

        def read():
            if instance.next_read is token:
                self.read(instance)

        self.after(delay_ms, self.at(instance, read))

    def read_now(self, instance):
        if instance.next_read is not None:  # else a read is in progress
            self.schedule_read(instance, 0)

    def read(self, instance, attempts=2):
        if not instance.reads.should_read(PREFIX, self.now_ms):
            self.schedule_read(instance, TIMES.interval_ms)
            return
        instance.next_read = None
        instance.calls += 1
        sent_ms = self.now_ms

        def fail():
            instance.failed_ms = self.now_ms
            instance.reads.on_read_failed(PREFIX, self.now_ms)
            self.send_outgoing(instance)
            self.schedule_read(instance, RETRY_MS)

        def reply(content, era):
            applied = instance.reads.on_read(PREFIX, content, era, sent_ms, self.now_ms)
            self.send_outgoing(instance)
            if applied is None and attempts > 1:
                self.read(instance, attempts - 1)
                return
            self.apply(instance, applied)
            self.schedule_read(instance, TIMES.interval_ms - (self.now_ms - sent_ms))

        def arrive():
            if instance.is_rejected:
                self.after(1, self.at(instance, fail))
            elif instance.is_cut_off or self.is_away:
                self.after(CALL_TIMEOUT_MS, self.at(instance, fail))
            else:
                content, era = self.content, self.era
                delay_ms = 1 + self.rng.randrange(MAX_CALL_MS)
                self.after(delay_ms, self.at(instance, lambda: reply(content, era)))

        self.after(1 + self.rng.randrange(MAX_CALL_MS), arrive)

    # datagrams

    def send_outgoing(self, instance):
        for names, message in instance.reads.take_outgoing():
            datagram = encode_read_message(message)
            for name in names:
                copies = 1 + (self.rng.random() < self.repeats)
                for _ in range(copies):
                    self.deliver(instance, self.instances.get(name), datagram)

    def deliver(self, sender, receiver, datagram):
        if receiver is None or sender.is_without_peers or self.rng.random() < self.loss:
            return

        def arrive():
            if not receiver.is_without_peers:
                self.at(receiver, receive)()

        def receive():
            message = decode_read_message(datagram)
            for applied in receiver.reads.on_message(message, self.now_ms):
                self.apply(receiver, applied)
            self.send_outgoing(receiver)

        self.after(1 + self.rng.randrange(self.max_delay_ms), arrive)

    # what callers see

    def apply(self, instance, applied):
        if applied is None:
            return
        position = self.position_of(applied.entries, applied.sent_ms, instance.position)
        require(
            position is not None,
            f"{instance.name} got content of {applied.source} as read {applied.sent_ms} or later,"
            f" at {self.now_ms}, which it was not",
        )
        has_missed_outage = (
            self.back_ms - self.away_ms >= NOTICED_OUTAGE_MS
            and instance.entries is not None
            and instance.sent_ms < self.away_ms
            and applied.sent_ms >= self.back_ms
            and max(instance.connected_ms, instance.failed_ms) < self.away_ms
            and not applied.follows_outage
        )
        require(not has_missed_outage, f"{instance.name} missed an outage since {self.away_ms}")
        instance.position = position
        instance.entries, instance.sent_ms = applied.entries, applied.sent_ms

    def check(self, instance):
        """Check that no revoked key is accepted and that changes have arrived in time."""
        now_ms = self.now_ms
        if instance.entries is not None and now_ms - instance.sent_ms < KEY_LIFE_MS:
            found = self.position_of(instance.entries, now_ms - REVOKE_MS, 0)
            require(found is not None, f"{instance.name} accepts a key that was revoked")
        since_ms = now_ms - BOUND_MS
        is_excused = self.is_away or max(instance.connected_ms, self.back_ms) > since_ms
        if instance.is_connected and not is_excused:
            found = instance.entries is not None and (
                self.position_of(instance.entries, since_ms, 0) is not None
            )
            require(found, f"{instance.name} did not get a change in {BOUND_MS} ms")
