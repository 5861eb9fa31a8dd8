"""Simulated entry instances of the proofs of software versions: what they read and tell."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from bergamothill.process.instanceroster import DEPARTURE_MS, InstanceRoster
from bergamothill.process.originexchange import ASK_AGAIN_MS, FIND_TIMEOUT_MS
from bergamothill.process.originholders import holders
from bergamothill.process.originrepeats import REPEAT_DELAY_MS
from bergamothill.process.originreport import OriginReply
from bergamothill.process.originsearch import OriginSearch
from bergamothill.process.platformnode import ENTRY_LIFE_HEARTBEATS, MIN_ENTRY_LIFE_HEARTBEATS
from bergamothill.request.streamorigin import StreamOrigins
from tests.builders import server_pool
from tests.proof.versionservers import HEARTBEAT_MS, WALL_OFFSET_MS, ZONES, ServerWorld

READ_INTERVAL_MS = (400, 900)
RETRY_READ_MS = 150
ROSTER_READ_MS = 2_500
WATCHED_READ_MS = 80
POLL_MS = 700
POLL_TIMEOUT_MS = (500, 1_200)
RECONNECT_MS = 250
NOTICE_MS = 20


@dataclass(eq=False)
class Instance:
    """One entry instance."""

    name: str
    zone: str
    epoch: int = 0
    pool: object = None
    origins: StreamOrigins = None
    roster: InstanceRoster = None
    era: int | None = None
    reads_store: bool | None = None
    links: dict = field(default_factory=dict)
    lost: set = field(default_factory=set)
    keeper: object = None
    is_recording: bool = False

    @property
    def is_alive(self):
        return self.pool is not None


class InstanceWorld(ServerWorld):
    """Entry instances beside the servers and their store.

    :param count: number of instances
    :param unread_share: share of servers whose cache events an instance cannot read
    :param asks_servers: whether an instance asks servers who they are
    :param tells_others: whether an instance tells and answers others where streams began
    """

    def __init__(self, rng, count, unread_share, *, tells_others=True, asks_servers=True):
        super().__init__(rng)
        self.asks_servers = asks_servers
        self.loss = 0.0
        self.max_delay_ms = 5
        self.unread_share = unread_share
        self.tells_others = tells_others
        self.instances = [Instance(f"e{n}", ZONES[n % len(ZONES)]) for n in range(count)]
        self.registered = {instance.name: self.now_ms for instance in self.instances}
        for instance in self.instances:
            self.start(instance)

    # entry instances

    def start(self, instance):
        instance.epoch += 1
        instance.pool = server_pool(
            zone=instance.zone,
            entry_expiry_ms=ENTRY_LIFE_HEARTBEATS * HEARTBEAT_MS,
            min_entry_life_ms=MIN_ENTRY_LIFE_HEARTBEATS * HEARTBEAT_MS,
            heartbeat_interval_ms=HEARTBEAT_MS,
        )
        instance.pool.asks_servers = self.asks_servers
        instance.origins = StreamOrigins()
        instance.roster = InstanceRoster(instance.name)
        instance.era = instance.reads_store = None
        instance.links.clear()
        instance.lost.clear()
        self.read_roster(instance)
        self.read_list(instance)

    def kill(self, instance, down_ms):
        if not instance.is_alive:
            return
        instance.epoch += 1
        instance.pool = None
        self.on_instance_end(instance)
        self.after(down_ms, lambda: self.start(instance))

    def at(self, instance, action):
        """Return the action, to be dropped after the instance was killed."""
        epoch = instance.epoch

        def act():
            if instance.epoch == epoch:
                action()

        return act

    def alive(self):
        return [instance for instance in self.instances if instance.is_alive]

    def read_roster(self, instance):
        if self.reaches_store(instance.zone):
            self.registered[instance.name] = self.now_ms
            is_listed = self.now_ms - DEPARTURE_MS
            others = {name for name, at_ms in self.registered.items() if at_ms >= is_listed}
            instance.roster.set_registered(others - {instance.name}, self.now_ms)
        delay_ms = ROSTER_READ_MS + self.rng.randrange(100)
        self.after(delay_ms, self.at(instance, lambda: self.read_roster(instance)))

    # list of servers

    def read_list(self, instance, *, is_watched=False):
        sent_ms = self.now_ms
        if not self.reaches_store(instance.zone):
            if instance.reads_store:
                instance.pool.kvs_connection_lost()
            instance.reads_store = False
            delay_ms = RETRY_READ_MS
        else:
            entries, era = self.store.read(self.now_ms), self.store.era

            def apply():
                self.apply_list(instance, entries, era, sent_ms)

            self.after(1 + self.rng.randrange(NOTICE_MS), self.at(instance, apply))
            delay_ms = self.rng.randint(*READ_INTERVAL_MS)
        if not is_watched:
            self.after(delay_ms, self.at(instance, lambda: self.read_list(instance)))

    def on_store_change(self):
        for instance in self.alive():
            if self.rng.random() < 0.5 and self.reaches_store(instance.zone):
                delay_ms = 1 + self.rng.randrange(WATCHED_READ_MS)
                action = self.at(instance, lambda i=instance: self.read_list(i, is_watched=True))
                self.after(delay_ms, action)

    def apply_list(self, instance, entries, era, sent_ms):
        pool = instance.pool
        if instance.era not in (None, era):
            pool.kvs_restored(self.now_ms)
        instance.era = era
        if instance.reads_store is False:
            pool.kvs_recovered()
        instance.reads_store = True
        is_newest = pool.listed_ms is None or sent_ms >= pool.listed_ms
        if is_newest and pool.apply_list(entries, sent_ms, self.now_ms):
            self.follow(instance, {engine.address for engine in pool.engines()})

    # event connections

    def follow(self, instance, addresses):
        for address in sorted(instance.links.keys() - addresses):
            del instance.links[address]
            instance.lost.discard(address)
        for address in sorted(addresses - instance.links.keys()):
            instance.links[address] = None
            if self.rng.random() < self.unread_share:
                instance.pool.record_events_unread(address)
            else:
                self.connect_events(instance, address)
        for address in sorted(addresses):
            self.await_events(instance, address)

    def connect_events(self, instance, address):
        if address not in instance.links:
            return
        process = self.processes.get(address)
        is_there = process is not None and process.is_alive
        if is_there and self.is_reachable(instance.zone, process.entry.zone):
            instance.links[address] = process
            if address in instance.lost:
                instance.lost.discard(address)
                instance.pool.record_connection_change(address, True, self.now_ms)
            instance.pool.record_reply_from(address, self.now_ms, is_leaving=False)
            return
        self.lose_events(instance, address)

    def lose_events(self, instance, address):
        instance.links[address] = None
        if address not in instance.lost:
            instance.lost.add(address)
            instance.pool.record_connection_change(address, False, self.now_ms)
        retry = self.at(instance, lambda: self.connect_events(instance, address))
        self.after(RECONNECT_MS, retry)

    def check_events(self, instance, address, process):
        is_linked = instance.links.get(address) is process
        is_reachable = self.is_reachable(instance.zone, process.entry.zone)
        if is_linked and not (process.is_alive and is_reachable):
            self.lose_events(instance, address)

    def await_events(self, instance, address):
        """Let the poll that is open at a server return in time, if the connection works."""
        process = instance.links.get(address)

        def reply():
            is_there = process is not None and process.is_alive
            if is_there and self.is_reachable(instance.zone, process.entry.zone):
                self.after(1 + self.rng.randrange(3), self.at(instance, receive))

        def receive():
            if instance.links.get(address) is process:
                instance.pool.record_reply_from(address, self.now_ms, is_leaving=False)

        self.after(1 + self.rng.randrange(POLL_MS), self.at(instance, reply))

    def on_server_end(self, process):
        for instance in self.alive():
            if instance.links.get(process.entry.address) is process:
                self.notice_loss(instance, process)

    def on_cut(self):
        for instance in self.alive():
            for process in instance.links.values():
                if process is not None:
                    self.notice_loss(instance, process)

    def notice_loss(self, instance, process):
        """Let an instance notice that its event connection to a server does not work."""
        if self.is_reachable(instance.zone, process.entry.zone):
            delay_ms = 1 + self.rng.randrange(NOTICE_MS)
        else:
            delay_ms = self.rng.randint(*POLL_TIMEOUT_MS)
        address = process.entry.address
        check = self.at(instance, lambda: self.check_events(instance, address, process))
        self.after(delay_ms, check)

    # origins

    def send(self, sender, name, action):
        """Send a datagram to an instance of a name."""
        peer = next((i for i in self.instances if i.name == name), None)
        if peer is None or self.rng.random() < self.loss:
            return

        def arrive():
            if peer.is_alive and self.is_reachable(sender.zone, peer.zone):
                peer.roster.record_heard(sender.name, self.now_ms)
                action(peer)

        self.after(1 + self.rng.randrange(self.max_delay_ms), arrive)

    def other_holders(self, instance, key):
        if not self.tells_others:
            return []
        members = holders(key, instance.roster.members)
        return [name for name in members if name != instance.name]

    def tell(self, instance, origin):
        instance.origins.record(origin, self.now_ms)
        for name in self.other_holders(instance, origin.key):

            def notify(name=name):
                self.send(instance, name, lambda peer: peer.origins.record(origin, self.now_ms))

            notify()
            self.after(REPEAT_DELAY_MS, self.at(instance, notify))

    def find(self, instance, key, on_end):
        """Search for a stream, and call back with the search."""
        search = OriginSearch(key)
        search.look_up(instance.origins, self.now_ms)
        if search.outcome is not None:
            if search.known is not None:
                search.known = self.settle(instance, search.known)
            on_end(search)
            return
        is_over = []

        def end():
            if not is_over:
                is_over.append(True)
                search.look_up(instance.origins, self.now_ms)
                search.give_up()
                if search.known is not None and search.known.source is None:
                    search.known = self.settle(instance, search.known)
                if search.known is not None:
                    instance.origins.record(search.known.origin, self.now_ms)
                on_end(search)

        def ask(names):
            for name in sorted(names):
                self.send(instance, name, lambda peer: self.reply(peer, instance, search, end))

        def ask_again():
            if search.outcome is None:
                ask(search.unanswered)

        search.record_asked(self.other_holders(instance, key))
        if search.outcome is not None:
            end()
            return
        ask(search.asked)
        self.after(ASK_AGAIN_MS, self.at(instance, ask_again))
        self.after(FIND_TIMEOUT_MS, self.at(instance, end))

    def settle(self, instance, known):
        """Return what an instance knows, as certain if its lists show that by now."""
        since_ms = self.now_ms - known.age_ms
        if known.origin.is_presumed and instance.pool.confirms(known.origin, since_ms):
            return replace(known, origin=replace(known.origin, is_presumed=False))
        return known

    def reply(self, peer, instance, search, end):
        known = peer.origins.find(search.key, self.now_ms)
        is_ambiguous = peer.origins.is_ambiguous(search.key, self.now_ms)
        origin = None if known is None else self.settle(peer, known).origin
        reply = OriginReply(peer.name, 0, origin, is_ambiguous)
        epoch = instance.epoch

        def receive(instance):
            if instance.epoch == epoch and search.outcome is None:
                search.on_reply(reply, self.now_ms + WALL_OFFSET_MS)
                if search.outcome is not None:
                    end()

        self.send(peer, instance.name, receive)

    # overridden

    def on_instance_end(self, instance):
        """React to the end of an instance."""
