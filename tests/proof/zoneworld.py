"""Simulated entry instances that exchange loads, for tests and the proof ``zone-loads``."""

from __future__ import annotations

import random
from collections import deque

from bergamothill.process.loadreport import (
    LoadReport,
    PeerLoads,
    ServerLoad,
    decode_report,
    encode_report,
)
from bergamothill.process.registry import Peer
from bergamothill.process.zoneloads import ZoneLoads
from bergamothill.process.zonepasses import Outgoing
from bergamothill.process.zonereport import (
    ZonePass,
    decode_zone_message,
    is_zone_message,
    read_zone,
)
from tests.proof.eventworld import EventWorld

SERVERS = tuple(f"s{number}" for number in range(4))
START_MS = 10_000
REGISTRY_READ_MS = 2_500
FORMER_INTERVAL_MS = 50
FORMER_KEEPALIVE_MS = 400
BUFFERED_DATAGRAMS = 200
HISTORY_MS = 3_000
HEADERS_BYTES = 28
NONE = ServerLoad()


class FormerBuild:
    """Sends and counts load reports as builds before the exchange by zone do."""

    def __init__(self, entry, loads, sequence_number):
        self.entry, self.loads, self.number = entry, loads, sequence_number
        self.peers, self.sent, self.sent_ms = (), None, 0
        self.relays = ()

    def set_peers(self, peers, _now_ms):
        self.peers = tuple(peer.entry for peer in peers)

    def on_report(self, report, _zone, now_ms):
        self.loads.add_report(report, now_ms)
        return ()

    def wait_ms(self, _now_ms):
        return max(FORMER_INTERVAL_MS, 4 * len(self.peers))

    def tick(self, own_loads, now_ms):
        self.loads.expire_reports(now_ms)
        if own_loads == self.sent and now_ms - self.sent_ms < FORMER_KEEPALIVE_MS:
            return []
        self.number += 1
        self.sent, self.sent_ms = own_loads, now_ms
        report = LoadReport(self.entry, self.number, own_loads)
        return [Outgoing(encode_report(report), self.peers)]


class Instance:
    """One entry instance."""

    def __init__(self, name, zone, is_former):
        self.peer = Peer(name, "10.0.0.1", 7700, zone)
        self.is_former = is_former
        self.epoch = 0
        self.is_alive = False
        self.is_frozen = False
        self.checked_from_ms = 0
        self.waiting = deque()
        self.own = {}
        self.history = deque()
        self.passed = []

    def load_on(self, server):
        """Return the load that this instance has on a server."""
        return self.own.get(server, NONE) if self.is_alive else NONE


class ZoneWorld(EventWorld):
    """Instances, their registrations and a network that loses, delays and reorders.

    :param sizes: number of instances in each zone
    :param former: number of instances of a former build
    :param new_subject: makes the subject of an instance
    """

    def __init__(self, sizes, rng=None, former=0, new_subject=ZoneLoads):
        super().__init__(rng or random.Random(1), now_ms=START_MS)
        self.new_subject = new_subject
        self.loss, self.max_delay_ms = 0.0, 5
        self.slowest_ms = 5
        self.blocked = set()
        self.counted = {}
        names = [
            (f"e{n}-{zone}", f"z{zone}") for zone, size in enumerate(sizes) for n in range(size)
        ]
        former_names = set(sorted(name for name, _ in names)[:former])
        self.instances = {name: Instance(name, zone, name in former_names) for name, zone in names}
        self.registered = {name: each.peer for name, each in self.instances.items()}
        for instance in self.instances.values():
            self.start(instance)

    # Entry instances.

    def start(self, instance):
        instance.epoch += 1
        instance.is_alive, instance.is_frozen = True, False
        instance.waiting.clear()
        instance.loads = PeerLoads()
        instance.started_ms = instance.checked_from_ms = self.now_ms
        self.registered[instance.peer.entry] = instance.peer
        number = self.now_ms * 1_000_000
        entry, zone = instance.peer.entry, instance.peer.zone
        if instance.is_former:
            instance.subject = FormerBuild(entry, instance.loads, number)
        else:
            instance.subject = self.new_subject(entry, zone, instance.loads, number)
        self.set_load(instance, {})
        self.read_registry(instance, instance.epoch)
        self.after(self.rng.randrange(50), lambda epoch=instance.epoch: self.tick(instance, epoch))

    def stop(self, instance, *, is_graceful=False):
        instance.epoch += 1
        instance.is_alive = False
        self.record(instance)
        if is_graceful:
            self.registered.pop(instance.peer.entry, None)

    def freeze(self, instance):
        instance.is_frozen = instance.is_alive

    def wake(self, instance):
        if not instance.is_frozen:
            return
        instance.is_frozen = False
        # Load reports of the former form that waited are counted as before this exchange.
        has_former = any(each.is_former for each in self.instances.values())
        instance.checked_from_ms = self.now_ms + (1_100 if has_former else 200)
        self.tick(instance, instance.epoch, is_woken=True)
        while instance.waiting:
            self.receive(instance, instance.waiting.popleft())

    def set_load(self, instance, own):
        instance.own = own
        self.record(instance)

    def record(self, instance):
        own = {} if not instance.is_alive else instance.own
        instance.history.append((self.now_ms, own))
        while len(instance.history) > 1 and instance.history[1][0] < self.now_ms - HISTORY_MS:
            instance.history.popleft()

    def read_registry(self, instance, epoch):
        if instance.epoch != epoch:
            return
        if not instance.is_frozen:
            self.update_peers(instance)
        delay_ms = REGISTRY_READ_MS + self.rng.randrange(100)
        self.after(delay_ms, lambda: self.read_registry(instance, epoch))

    def update_peers(self, instance):
        own = instance.peer.entry
        peers = tuple(peer for name, peer in self.registered.items() if name != own)
        instance.subject.set_peers(peers, self.now_ms)

    def tick(self, instance, epoch, *, is_woken=False):
        if instance.epoch != epoch:
            return
        if not instance.is_frozen:
            self.send(instance, instance.subject.tick(instance.own, self.now_ms))
        if not is_woken:
            delay_ms = instance.subject.wait_ms(self.now_ms)
            self.after(delay_ms, lambda: self.tick(instance, epoch))

    # Datagrams.

    def send(self, sender, outgoing):
        for each in outgoing:
            for entry in each.entries:
                self.deliver(sender, self.instances[entry], each.datagram)

    def deliver(self, sender, receiver, datagram):
        across = sender.peer.zone != receiver.peer.zone
        bytes_across = len(datagram) + HEADERS_BYTES if across else 0
        for name, amount in (("datagrams", 1), ("across", across), ("bytes_across", bytes_across)):
            self.counted[name] = self.counted.get(name, 0) + amount
        names = (sender.peer.entry, receiver.peer.entry)
        zones = (sender.peer.zone, receiver.peer.zone)
        is_blocked = names in self.blocked or zones in self.blocked
        if is_blocked or self.rng.random() < self.loss:
            return
        self.after(
            1 + self.rng.randrange(self.max_delay_ms), lambda: self.arrive(receiver, datagram)
        )

    def arrive(self, receiver, datagram):
        if receiver.is_frozen:
            if len(receiver.waiting) < BUFFERED_DATAGRAMS:
                receiver.waiting.append(datagram)
        elif receiver.is_alive:
            self.receive(receiver, datagram)

    def receive(self, receiver, datagram):
        subject = receiver.subject
        if not is_zone_message(datagram):
            if datagram.startswith(b"other"):
                receiver.passed.append(datagram)
                return
            report = decode_report(datagram)
            self.send(receiver, subject.on_report(report, read_zone(datagram), self.now_ms))
            return
        assert not receiver.is_former, "a former build gets datagrams that it cannot read"
        message = decode_zone_message(datagram)
        self.send(receiver, subject.on_message(message, datagram, self.now_ms))
        if isinstance(message, ZonePass) and not subject.is_discarding(self.now_ms):
            receiver.passed.append(message.datagram)

    # What is true.

    def pass_to_all(self, sender, datagram, *, is_urgent):
        """Send a datagram of another kind to all peers of an instance."""
        peers = [name for name in self.instances if name != sender.peer.entry]
        if isinstance(sender.subject, FormerBuild):
            self.send(sender, [Outgoing(datagram, peers)])
            return
        passes = sender.subject.passes
        self.send(sender, passes.to_all(datagram, peers, self.now_ms, is_urgent=is_urgent))

    def live(self):
        return [each for each in self.instances.values() if each.is_alive and not each.is_frozen]

    def relays(self, zone):
        """Return the instances that relay for a zone."""
        return [each for each in self.live() if each.peer.zone == zone and each.subject.is_relay]

    def true_load(self, viewer, server):
        """Return the load of all others."""
        total = ServerLoad()
        for each in self.instances.values():
            if each is not viewer:
                total.add(each.load_on(server))
        return total

    def most_requests(self, viewer, server, window_ms):
        """Return the sum of the most requests that each other instance had lately.

        Those of an earlier process of the viewer are among them.
        """
        total = 0
        for each in self.instances.values():
            times = [at_ms for at_ms, _ in each.history][1:] + [self.now_ms]
            total += max(
                (
                    own.get(server, NONE).in_progress
                    for (at_ms, own), until_ms in zip(each.history, times, strict=True)
                    if until_ms >= self.now_ms - window_ms
                    and (each is not viewer or at_ms < each.started_ms)
                ),
                default=0,
            )
        return total

    def heal(self):
        """End all disturbances; all read the registrations, in which stopped ones may remain."""
        self.loss, self.max_delay_ms = 0.0, 5
        self.blocked.clear()
        live = [each for each in self.instances.values() if each.is_alive]
        self.registered |= {each.peer.entry: each.peer for each in live}
        for instance in self.instances.values():
            self.wake(instance)
            if instance.is_alive:
                self.update_peers(instance)
