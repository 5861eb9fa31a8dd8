"""Simulated callers and their streams, of the proofs of software versions."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamothill.platform.serverreport import OTHER_SERVER
from bergamothill.process.listconfirmation import MAX_DELAY_MS, MAX_GRACE_MS, READ_AGAIN_MS
from bergamothill.process.softwareversions import IDENTITY_MS
from bergamothill.process.streamresumption import LIST_CHECK_INTERVAL_MS, LIST_TIMEOUT_MS
from bergamothill.request.streamorigin import SoleVersion, StreamKey, StreamOrigin
from bergamothill.version.routetable import Service
from tests.builders import caller_request
from tests.proof.require import require
from tests.proof.versioninstances import NOTICE_MS, Instance
from tests.proof.versionrecords import RecordWorld
from tests.proof.versionservers import (
    ENGINE_SERVICE,
    HEARTBEAT_MS,
    SERVICES,
    WALL_OFFSET_MS,
    Process,
)

MAX_LINK_MS = 15
CONNECT_TIMEOUT_MS = 300
STALL_MS = 1_000
MAX_HEAD_MS = 60
EVENT_GAP_MS = (50, 200)
MAX_SERVERS = 2
MAX_CALLER_TRIES = 2
COMES_BACK_MS = (100, 600)
NO_RESUMES = 5
"""One in so many callers does not name the request that brought the first event."""

READ_MS = 1_000
SERVICES_BY_NAME = {name: Service(name, 64, None) for name in SERVICES}
REQUEST = caller_request(model=None)


@dataclass(eq=False)
class Stream:
    """One stream as its caller sees it, over all its requests."""

    key: StreamKey
    service: str
    length: int
    events: int = 0
    versions: set = field(default_factory=set)
    tries: int = 0
    attempt: object = None
    has_ended: bool = False
    trail: list = field(default_factory=list)
    names_request: bool = True


@dataclass(eq=False)
class Attempt:
    """One answer to the caller: the runs of one request at one entry instance."""

    stream: Stream
    instance: Instance
    epoch: int
    version: str | None
    servers: list = field(default_factory=list)
    entry: object = None
    process: Process | None = None
    run: int = 0
    was_identified: bool = False
    presumed: StreamOrigin | SoleVersion | None = None


class World(RecordWorld):
    """Event-driven simulation.

    The parameters are those of :class:`RecordWorld` and:

    :param ignores_version: whether the instances let a stream go on at any server
    """

    def __init__(self, *args, ignores_version=False, **options):
        super().__init__(*args, **options)
        self.ignores_version = ignores_version
        self.kills_at_first_event = 0
        self.absence_ms = 0
        """Time after which callers come back; 0 for a short one that differs."""

        self.streams = []
        self.begun = 0
        self.run_for(READ_MS)

    # callers

    def begin(self, service, instance, length=None):
        self.begun += 1
        number = self.begun
        key = StreamKey(f"brand{number % 2}", f"r{number // 2}")
        stream = Stream(key, service, length or 2 + self.rng.randrange(8))
        stream.names_request = number % NO_RESUMES != 0
        self.streams.append(stream)
        stream.attempt = Attempt(stream, instance, instance.epoch, None)
        self.run(stream.attempt)
        return stream

    def break_off(self, stream):
        """Break the caller's connection."""
        if stream.attempt is not None:
            self.end_attempt(stream.attempt)

    def take_up(self, stream, instance):
        """Let a caller take its stream up again."""
        if stream.attempt is not None or stream.has_ended or not instance.is_alive:
            return
        stream.tries += 1
        stream.attempt = attempt = Attempt(stream, instance, instance.epoch, None)

        def go_on(version, outcome):
            if stream.attempt is not attempt:
                return
            self.note(stream, f"taken up at {instance.name}: {outcome} {version}")
            needs_list = attempt.presumed is not None or stream.service != ENGINE_SERVICE
            wait_ms = instance.pool.confirmation_due_ms(self.now_ms) - self.now_ms
            if version is None or (needs_list and wait_ms > HEARTBEAT_MS + MAX_GRACE_MS):
                self.end_attempt(attempt)
            else:
                attempt.version = version
                self.run(attempt)

        def on_found(search):
            if search.known is None:
                by_record()
                return
            origin, pool = search.known.origin, instance.pool
            if origin.is_presumed:
                attempt.presumed = origin
                if pool.is_superseded(origin.server, origin.started_wall_ms):
                    go_on(None, "superseded")
                    return
            go_on(origin.version, search.outcome.value)

        def by_record():
            def on_record(version):
                if version is not None and not self.waits_for_record:
                    attempt.presumed = SoleVersion(stream.service, version)
                go_on(version, "record")

            self.find_by_record(instance, stream.service, on_record)

        if stream.names_request:
            self.find(instance, stream.key, on_found)
        elif self.trusts_record:
            by_record()
        else:
            self.find_only_version(stream, attempt, go_on)

    def find_only_version(self, stream, attempt, go_on):
        """Wait for a list that is read from now on; go on at its version, if it is the only one."""
        pool, since_ms = attempt.instance.pool, self.now_ms

        def check():
            if stream.attempt is not attempt:
                return
            if pool.has_list_since(since_ms):
                go_on(pool.only_version(stream.service, self.now_ms), "only version")
            elif self.now_ms - since_ms >= LIST_TIMEOUT_MS:
                go_on(None, "no list")
            else:
                self.after(LIST_CHECK_INTERVAL_MS, check)

        check()

    def end_attempt(self, attempt):
        """End an answer before its stream has ended; the caller comes back if it got an event."""
        stream = attempt.stream
        if stream.attempt is not attempt:
            return
        self.leave_server(attempt)
        stream.attempt = None
        if not stream.events or stream.tries >= MAX_CALLER_TRIES:
            self.end(stream)
            return

        def come_back():
            alive = self.alive()
            if not alive:
                self.after(COMES_BACK_MS[0], come_back)
            elif not stream.has_ended:
                self.take_up(stream, self.rng.choice(alive))

        self.after(self.absence_ms or self.rng.randint(*COMES_BACK_MS), come_back)

    def end(self, stream):
        stream.has_ended = True
        if stream in self.streams:
            self.streams.remove(stream)

    def note(self, stream, text):
        stream.trail.append(f"{self.now_ms} {text}")

    # runs at servers

    def leave_server(self, attempt):
        attempt.run += 1
        if attempt.process is not None:
            del attempt.process.attempts[attempt]
            attempt.process = None
        if attempt.entry is not None and attempt.instance.epoch == attempt.epoch:
            attempt.instance.pool.request_ended(attempt.entry.server, 0)
        attempt.entry = None

    def in_run(self, attempt, action):
        """Return the action, to be dropped once the run has ended."""
        run = attempt.run

        def act():
            if attempt.run == run and attempt.stream.attempt is attempt:
                action()

        return act

    def run(self, attempt):
        """Send a request to a server, or end it if there is none."""
        stream, instance = attempt.stream, attempt.instance
        if len(attempt.servers) >= MAX_SERVERS:
            self.end_attempt(attempt)
            return
        version = None if self.ignores_version else attempt.version
        service, avoided = SERVICES_BY_NAME[stream.service], tuple(attempt.servers)
        chosen = instance.pool.choose(
            service, REQUEST, None, avoided, 5, self.now_ms, version=version
        )
        if not isinstance(chosen, tuple):
            self.note(stream, f"{instance.name} has no server of {attempt.version}")
            self.end_attempt(attempt)
            return
        attempt.entry, _ = chosen
        attempt.servers.append(attempt.entry.server)
        instance.pool.request_started(attempt.entry.server, 0, 0, self.now_ms)
        self.identify(attempt)

    def identify(self, attempt):
        """Ask the server who it is where this is in doubt, then connect."""
        entry, pool, sent_ms = attempt.entry, attempt.instance.pool, self.now_ms

        def connect():
            delay_ms = 1 + self.rng.randrange(MAX_LINK_MS)
            self.after(delay_ms, self.in_run(attempt, lambda: self.connect(attempt)))

        def ask():
            process = self.processes.get(entry.address)
            is_there = process is not None and process.is_alive
            if not is_there or not self.is_reachable(attempt.instance.zone, process.entry.zone):
                self.after(IDENTITY_MS, self.in_run(attempt, connect))
                return
            is_same_id = process.entry.server == entry.server
            start_ms = process.entry.started_wall_ms if is_same_id else OTHER_SERVER

            def receive():
                pool.record_identity(entry, start_ms, sent_ms)
                connect()

            self.after(1 + self.rng.randrange(MAX_LINK_MS), self.in_run(attempt, receive))

        if pool.may_identify(entry, self.now_ms):
            self.after(1 + self.rng.randrange(MAX_LINK_MS), self.in_run(attempt, ask))
        else:
            connect()

    def may_go_on(self, attempt):
        if attempt.version is None or self.ignores_version:
            return True
        pool = attempt.instance.pool
        return pool.may_go_on_at(attempt.entry, attempt.version, self.now_ms)

    def may_pass_on(self, attempt):
        entry, pool = attempt.entry, attempt.instance.pool
        if attempt.version is None or entry.weights or self.ignores_version:
            return self.may_go_on(attempt)
        return pool.may_pass_on(entry, attempt.version, self.now_ms)

    def connect(self, attempt):
        entry, instance = attempt.entry, attempt.instance
        process = self.processes.get(entry.address)
        if not self.is_reachable(instance.zone, entry.zone):
            fail = self.in_run(attempt, lambda: self.lose_run(attempt))
            self.after(CONNECT_TIMEOUT_MS, fail)
        elif process is None or not process.is_alive:
            self.lose_run(attempt)
        else:
            self.write(attempt, process)

    def write(self, attempt, process):
        entry, pool = attempt.entry, attempt.instance.pool
        is_new = attempt.version is None and not self.ignores_version
        if not self.may_go_on(attempt) or (is_new and not pool.may_begin_at(entry, self.now_ms)):
            self.leave_server(attempt)
            self.run(attempt)
            return
        if process.entry.server != entry.server:
            pool.mark_replaced(entry.server)
            self.leave_server(attempt)
            self.run(attempt)
            return
        attempt.was_identified = pool.is_identified(entry, self.now_ms)
        attempt.process = process
        process.attempts[attempt] = None
        text = f"{attempt.instance.name} sends to {entry.server}@{entry.software_version}"
        self.note(attempt.stream, f"{text} where {process.version} runs")
        delay_ms = 1 + self.rng.randrange(MAX_HEAD_MS)
        is_certain = entry.weights and attempt.presumed is None
        if attempt.version is not None and not is_certain and not self.ignores_version:
            self.confirm(attempt, self.now_ms)
        else:
            self.after(delay_ms, self.in_run(attempt, lambda: self.receive_head(attempt)))

    def confirm(self, attempt, written_ms):
        """Read the answer of a plain server once a list shows who has sent it."""
        entry, pool = attempt.entry, attempt.instance.pool
        incarnation = (entry.server, entry.started_wall_ms)
        due_ms = pool.confirmation_due_ms(written_ms)

        def check():
            if pool.is_superseded(*incarnation) or self.now_ms >= due_ms + MAX_DELAY_MS:
                self.lose_run(attempt)
            elif not pool.is_listed_since(*incarnation, written_ms):
                self.read_list(attempt.instance, is_watched=True)
                self.after(READ_AGAIN_MS, self.in_run(attempt, check))
            elif pool.contradicts(attempt.presumed, self.now_ms):
                self.lose_run(attempt)
            else:
                self.receive_head(attempt)

        check()

    def is_heard(self, attempt):
        is_reachable = self.is_reachable(attempt.instance.zone, attempt.entry.zone)
        return is_reachable and attempt.process.is_alive

    def receive_head(self, attempt):
        if not self.is_heard(attempt):
            self.stall(attempt)
        elif attempt.was_identified or self.may_pass_on(attempt):
            self.after(1, self.in_run(attempt, lambda: self.receive_event(attempt)))
        else:
            self.leave_server(attempt)
            self.run(attempt)

    def receive_event(self, attempt):
        stream, instance = attempt.stream, attempt.instance
        if not self.is_heard(attempt):
            self.stall(attempt)
            return
        if attempt.version is None:
            self.note_origin(attempt)
        self.pass_event(attempt)
        if stream.events == 1 and self.kills_at_first_event:
            self.kills_at_first_event -= 1
            self.kill(instance, 500)
        elif stream.events >= stream.length:
            instance.pool.request_succeeded(attempt.entry.server, None, None)
            self.leave_server(attempt)
            stream.attempt = None
            self.end(stream)
        else:
            delay_ms = self.rng.randint(*EVENT_GAP_MS)
            self.after(delay_ms, self.in_run(attempt, lambda: self.receive_event(attempt)))

    def note_origin(self, attempt):
        """Note the version that began a stream once it is known, and tell it."""
        stream, entry, instance = attempt.stream, attempt.entry, attempt.instance
        version = entry.software_version
        if not attempt.was_identified:
            version = instance.pool.confirmed_version(entry, self.now_ms)
        is_presumed = version is None
        if is_presumed:
            version = instance.pool.presumed_version(entry, self.now_ms)
        if version is None:
            return
        attempt.version = version
        origin = StreamOrigin(
            stream.key,
            entry.service,
            version,
            entry.server,
            entry.started_wall_ms,
            self.now_ms + WALL_OFFSET_MS,
            is_presumed,
        )
        attempt.presumed = origin if is_presumed else None
        self.note(stream, f"{instance.name} tells {version}")
        self.tell(instance, origin)

    def pass_event(self, attempt):
        stream = attempt.stream
        stream.events += 1
        stream.tries = 0
        stream.versions.add(attempt.process.version)
        require(
            len(stream.versions) <= 1,
            f"a stream has events of several versions: {'; '.join(stream.trail)}",
        )

    def break_run(self, attempt, *, is_last=False):
        """Let a server break off one answer, and live on.

        :param is_last: whether the answer may not go on at another server
        """
        if is_last:
            attempt.servers = [attempt.entry.server] * MAX_SERVERS
        if attempt.process is not None:
            self.lose_run(attempt)

    def on_instance_end(self, instance):
        for stream in list(self.streams):
            if stream.attempt is not None and stream.attempt.instance is instance:
                self.end_attempt(stream.attempt)

    def on_server_end(self, process):
        super().on_server_end(process)
        for attempt in list(process.attempts):
            self.notice_break(attempt, process)

    def notice_break(self, attempt, process):
        if self.is_reachable(attempt.instance.zone, process.entry.zone):
            lose = self.in_run(attempt, lambda: self.lose_run(attempt))
            self.after(1 + self.rng.randrange(NOTICE_MS), lose)
        else:
            self.stall(attempt)

    def stall(self, attempt):
        self.after(STALL_MS, self.in_run(attempt, lambda: self.lose_run(attempt)))

    def lose_run(self, attempt):
        """Go on after a failed connection or a broken answer."""
        attempt.instance.pool.request_failed(attempt.entry.server, self.now_ms)
        self.await_events(attempt.instance, attempt.entry.address)
        self.leave_server(attempt)
        if attempt.stream.events and attempt.version is None:
            self.end_attempt(attempt)
        else:
            self.run(attempt)
