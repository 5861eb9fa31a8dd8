"""Simulated entry instances, servers and datagrams of the proof ``crashing-parts``."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from bergamothill.request.partquarantine import (
    AwaitTrial,
    Quarantined,
    RunEnd,
    ServerIncarnation,
    StoredQuarantine,
    Trial,
)
from tests.proof.eventworld import EventWorld

MODEL = "model"
ENTRIES = ("e1", "e2", "e3", "e4", "e5")
ZONES = {"za": ("s1", "s2", "s3", "s4"), "zb": ("s5", "s6", "s7", "s8")}
SERVERS = tuple(server for zone in ZONES.values() for server in zone)
BACKGROUND_MS = 100
WALL_OFFSET_MS = 1_700_000_000_000
MAX_SENDS = 3


@dataclass(eq=False)
class Request:
    number: int
    shared: frozenset
    may_repeat: bool
    give_up_ms: int
    waits_since_ms: int | None = None
    sends: int = 0
    asks: int = 0


@dataclass(eq=False)
class Run:
    entry: object
    epoch: int
    request: Request
    incarnation: ServerIncarnation
    number: int
    tried: frozenset
    sent_ms: int
    is_open: bool = True


@dataclass(eq=False)
class Server:
    name: str
    started_ms: int = 0
    alive: bool = True
    runs: list = field(default_factory=list)
    lost_ms: int = -10_000

    @property
    def incarnation(self):
        return ServerIncarnation(self.name, WALL_OFFSET_MS + self.started_ms)


@dataclass(eq=False)
class Entry:
    name: str
    quarantine: object = None
    epoch: int = 0
    paused: bool = False
    cut_off: bool = False
    out_of_touch_ms: int = -10_000
    deferred: list = field(default_factory=list)
    waiting: list = field(default_factory=list)
    told_revision: int = 0
    changed_ms: int = -10_000
    said_ms: int = -10_000
    written_revision: int = 0


class World(EventWorld):
    """Event-driven simulation.

    :param new_quarantine: makes the subject of an entry instance
    :param crashers: parts that crash each server that begins an answer with them
    :param observer: gets the calls ``sent``, ``crashed``, ``answered``, ``refused`` and ``waited``
    """

    def __init__(self, new_quarantine, crashers, observer, rng: random.Random):
        super().__init__(rng)
        self.new_quarantine = new_quarantine
        self.crashers = crashers
        self.observer = observer
        self.loss = 0.0
        self.max_delay_ms = 3
        self.stored = StoredQuarantine()
        self.servers = {name: Server(name) for name in SERVERS}
        self.entries = {name: Entry(name) for name in ENTRIES}
        for entry in self.entries.values():
            self.start(entry)
        self.after(BACKGROUND_MS, self.background)

    # entry instances

    def start(self, entry):
        entry.epoch += 1
        entry.quarantine = self.new_quarantine(entry.name, WALL_OFFSET_MS + self.now_ms)
        entry.told_revision = entry.written_revision = 0
        self.read_store(entry)
        self.after(BACKGROUND_MS, self.at(entry, lambda: self.exchange_tick(entry)))

    def stop(self, entry, down_ms):
        entry.epoch += 1
        entry.quarantine = None
        entry.paused = False
        entry.waiting.clear()
        entry.deferred.clear()
        self.after(down_ms, lambda: self.start_again(entry))

    def start_again(self, entry):
        if entry.quarantine is None:
            self.start(entry)

    def at(self, entry, action):
        """Return the action, to be dropped after a restart and deferred during a pause."""
        epoch = entry.epoch

        def act():
            if entry.epoch != epoch or entry.quarantine is None:
                return
            if entry.paused:
                entry.deferred.append(act)
                return
            action()
            self.after_action(entry)

        return act

    def resume(self, entry):
        if not entry.paused:
            return
        entry.paused = False
        entry.out_of_touch_ms = self.now_ms
        self.read_store(entry)
        deferred, entry.deferred = entry.deferred, []
        for action in deferred:
            action()

    def read_store(self, entry):
        entry.quarantine.add_stored(self.stored, self.now_ms)

    def after_action(self, entry):
        """Tell peers of changes, and write verdicts to the store."""
        quarantine = entry.quarantine
        if quarantine.report_revision != entry.told_revision:
            entry.changed_ms = self.now_ms
            self.tell_peers(entry)
        if quarantine.verdict_revision != entry.written_revision:
            entry.written_revision = quarantine.verdict_revision
            self.after(self.rng.randrange(20, 80), self.at(entry, lambda: self.write(entry)))

    def write(self, entry):
        self.read_store(entry)
        self.stored = entry.quarantine.to_store(self.now_ms)

    def exchange_tick(self, entry):
        since_change_ms = self.now_ms - entry.changed_ms
        if since_change_ms <= 500 or self.now_ms - entry.said_ms >= 400:
            self.tell_peers(entry)
        self.after(BACKGROUND_MS, self.at(entry, lambda: self.exchange_tick(entry)))

    def tell_peers(self, entry):
        report = entry.quarantine.report(self.now_ms)
        entry.told_revision = entry.quarantine.report_revision
        entry.said_ms = self.now_ms
        if report.is_empty and self.now_ms - entry.changed_ms > 500:
            return
        for peer in self.entries.values():
            if peer is not entry and not entry.cut_off:
                self.deliver(peer, report)
                if self.loss and self.rng.random() < self.loss:
                    self.deliver(peer, report)

    def deliver(self, peer, report):
        if self.rng.random() < self.loss:
            return

        def arrive():
            if peer.cut_off or peer.quarantine is None:
                return
            if peer.quarantine.merge(report, self.now_ms):
                self.ask_again(peer)

        self.after(1 + self.rng.randrange(self.max_delay_ms), self.at(peer, arrive))

    # requests

    def arrive(self, entry, request):
        if entry.quarantine is not None:
            self.at(entry, lambda: self.forward(entry, request))()

    def ask_again(self, entry):
        for request in list(entry.waiting):
            if request in entry.waiting:
                self.forward(entry, request)

    def forward(self, entry, request):
        """Check a request, then send it, refuse it, or let it wait."""
        if request in entry.waiting:
            entry.waiting.remove(request)
        if self.now_ms >= request.give_up_ms:
            return
        verdict = entry.quarantine.check(request.shared, self.now_ms)
        if isinstance(verdict, Quarantined):
            self.observer.refused(entry, request, verdict)
            return
        server = None
        if not isinstance(verdict, AwaitTrial):
            server = self.choose(entry, verdict)
        if server is None:
            self.wait(entry, request, verdict)
            return
        request.waits_since_ms = None
        self.send(entry, request, server, verdict if isinstance(verdict, Trial) else None)

    def wait(self, entry, request, verdict):
        retry_ms = verdict.retry_ms if isinstance(verdict, AwaitTrial) else 50
        if request.waits_since_ms is None:
            request.waits_since_ms = self.now_ms
        entry.waiting.append(request)
        self.observer.waited(entry, request)

        request.asks += 1
        asks = request.asks

        def retry():
            if request in entry.waiting and request.asks == asks:
                self.forward(entry, request)

        self.after(max(1, retry_ms), self.at(entry, retry))

    def choose(self, entry, verdict):
        alive = [server for server in self.servers.values() if server.alive]
        under_trial = entry.quarantine.servers_under_trial(self.now_ms)
        others = [server for server in alive if server.name not in under_trial]
        if isinstance(verdict, Trial):
            choice = others if verdict.needs_lone_server else others or alive
            self.rng.shuffle(choice)
            return min(choice, key=lambda server: len(server.runs), default=None)
        choice = others or alive
        return self.rng.choice(choice) if choice else None

    def send(self, entry, request, server, trial):
        request.sends += 1
        number = entry.quarantine.begin_run(
            f"r{request.number}",
            server.incarnation,
            request.shared,
            self.now_ms,
            trial=trial,
        )
        tried = trial.parts if trial is not None else frozenset()
        run = Run(entry, entry.epoch, request, server.incarnation, number, tried, self.now_ms)
        connect_ms = self.rng.choice((1, 2, 5, 20))
        self.after(connect_ms, self.at(entry, lambda: self.write_request(run, server)))

    def write_request(self, run, server):
        entry, request = run.entry, run.request
        if not entry.quarantine.may_send(request.shared, self.now_ms):
            self.end(run, RunEnd.OTHER)
            self.forward(entry, request)
            return
        if not server.alive or server.incarnation != run.incarnation:
            self.end(run, RunEnd.OTHER)
            self.forward(entry, request)
            return
        self.observer.sent(run)
        server.runs.append(run)
        begins_ms = self.rng.randrange(10, 100)
        if not request.shared.isdisjoint(self.crashers):
            if self.rng.random() < 0.2:
                self.after(begins_ms // 2, lambda: self.event(run, server))
            self.after(begins_ms, lambda: self.crash_under(run, server))
            return
        self.after(begins_ms, lambda: self.event(run, server))
        for step in range(1, self.rng.choice((2, 6))):
            self.after(begins_ms + 50 * step, lambda: self.event(run, server))
        self.after(begins_ms + 300, lambda: self.complete(run, server))

    def event(self, run, server):
        if run.is_open and run in server.runs:

            def arrive():
                run.entry.quarantine.record_event(run.number, self.now_ms)
                run.entry.quarantine.record_alive(run.incarnation, run.sent_ms, self.now_ms)

            self.after(1, self.at_sender(run, arrive))

    def complete(self, run, server):
        if run not in server.runs:
            return
        server.runs.remove(run)
        if run.is_open:
            self.after(1, self.at_sender(run, lambda: self.end(run, RunEnd.COMPLETE)))

    def at_sender(self, run, action):
        def act():
            if run.entry.epoch == run.epoch:
                self.at(run.entry, action)()

        return act

    def end(self, run, end):
        run.entry.quarantine.end_run(run.number, end, self.now_ms)
        run.is_open = False
        if end is RunEnd.COMPLETE:
            self.observer.answered(run)
        self.ask_again(run.entry)

    # servers

    def crash_under(self, run, server):
        if run in server.runs:
            self.observer.crashed(run)
            self.crash(server)

    def crash(self, server):
        if not server.alive:
            return
        server.alive = False
        runs, server.runs = server.runs, []
        for run in runs:
            self.break_off(run)
        self.after(self.rng.choice((1_000, 2_000, 4_000)), lambda: self.start_server(server))

    def start_server(self, server):
        server.alive = True
        server.started_ms = self.now_ms

    def break_off(self, run):
        """Close the connection of a run; the server may go on with it."""
        if not run.is_open:
            return
        run.is_open = False

        def broken():
            run.is_open = True
            self.end(run, RunEnd.CRASHED)
            request = run.request
            if request.may_repeat and request.sends < MAX_SENDS:
                self.forward(run.entry, request)

        self.after(1, self.at_sender(run, broken))

    def lose_connections(self, server, share):
        server.lost_ms = self.now_ms
        for run in server.runs:
            if self.rng.random() < share:
                self.break_off(run)

    def background(self):
        """Let each instance get an answer from each server."""
        for entry in self.entries.values():
            if entry.quarantine is not None and not entry.paused:
                self.after(5, self.answers_to(entry, self.now_ms))
        self.after(BACKGROUND_MS, self.background)

    def answers_to(self, entry, sent_ms):
        def answer():
            for server in self.servers.values():
                if server.alive and server.started_ms < sent_ms:
                    entry.quarantine.record_alive(server.incarnation, sent_ms, self.now_ms)

        return self.at(entry, answer)
