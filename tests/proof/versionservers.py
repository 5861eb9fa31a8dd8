"""Simulated servers of several software versions, their registrations, and cuts between zones."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace

from bergamothill.process.backends import BackendServer
from tests.builders import backend
from tests.proof.eventworld import EventWorld

ZONES = ("a", "b", "c")
ENGINE_SERVICE = "llm"
SERVICES = (ENGINE_SERVICE, "chat")
VERSIONS = ("v1", "v1.1", "v1.2")
SERVERS_PER_SERVICE = 3
START_MS = 10_000
WALL_OFFSET_MS = 1_700_000_000_000
HEARTBEAT_MS = 1_200
MAX_REGISTRATION_LAG_MS = 800
ENTRY_LIFE_MS = 3 * HEARTBEAT_MS
WRITE_MS = 20
LATE_HEARTBEAT_SHARE = 0.2
"""Share of servers whose last heartbeat is written after they have ended."""

MAX_LATE_HEARTBEAT_MS = 1_500
COPIES = 200


@dataclass(eq=False)
class Process:
    """One incarnation of a server."""

    entry: BackendServer
    is_alive: bool = True
    attempts: dict = field(default_factory=dict)

    @property
    def version(self):
        return self.entry.software_version


class Store:
    """Registrations of the servers, with their expiry."""

    def __init__(self):
        self.entries = {}
        self.is_away = False
        self.has_paused_expiry = False
        self.era = 1
        self.copies = deque(maxlen=COPIES)

    def put(self, entry, now_ms):
        self.entries[entry.server] = (entry, now_ms + ENTRY_LIFE_MS)
        self.copies.append((now_ms, dict(self.entries)))

    def remove(self, server, now_ms):
        self.entries.pop(server, None)
        self.copies.append((now_ms, dict(self.entries)))

    def read(self, now_ms):
        return [entry for entry, expires_ms in self.entries.values() if expires_ms > now_ms]

    def pass_outage(self, duration_ms):
        """Let all entries live longer by an outage in which they do not expire."""
        self.entries = {
            server: (entry, expires_ms + duration_ms)
            for server, (entry, expires_ms) in self.entries.items()
        }

    def restore(self, back_ms, now_ms):
        """Go back to an older copy, whose entries expire unless they are renewed."""
        older = [entries for at_ms, entries in self.copies if at_ms <= now_ms - back_ms]
        if older:
            copy = {server: entry for server, (entry, _) in older[-1].items()}
            self.entries = {name: (e, now_ms + ENTRY_LIFE_MS) for name, e in copy.items()}
        self.copies.clear()
        self.era += 1


class ServerWorld(EventWorld):
    """Servers of two services in three zones, and the store that lists them.

    Instances have event connections to engines, but not to the servers of the other service.
    """

    def __init__(self, rng):
        super().__init__(rng, now_ms=START_MS)
        self.store = Store()
        self.cut_zones = set()
        self.processes = {}
        self.slots = {}
        self._ids = 0
        for service in SERVICES:
            for zone in ZONES[:SERVERS_PER_SERVICE]:
                self.add_server(service, zone)

    # links

    def is_reachable(self, zone, other):
        return zone == other or not {zone, other} & self.cut_zones

    def reaches_store(self, zone):
        return not self.store.is_away and zone not in self.cut_zones

    # servers

    def add_server(self, service, zone):
        slot = len(self.slots)
        entry = backend(
            self._next_id(),
            service=service,
            zone=zone,
            address=f"10.0.0.{slot}:80",
            weights={"m1": 1} if service == ENGINE_SERVICE else {},
            software_version=VERSIONS[0],
        )
        self.slots[slot] = entry
        process = self.boot(slot, entry)
        self.store.put(process.entry, self.now_ms)

    def _next_id(self):
        self._ids += 1
        return f"s{self._ids}"

    def boot(self, slot, entry):
        entry = replace(entry, started_wall_ms=self.now_ms + WALL_OFFSET_MS, is_leaving=False)
        self.slots[slot] = entry
        process = self.processes[entry.address] = Process(entry)
        self.after(
            1 + self.rng.randrange(MAX_REGISTRATION_LAG_MS), lambda: self.send_heartbeat(process)
        )
        return process

    def send_heartbeat(self, process):
        if not process.is_alive:
            return
        if self.reaches_store(process.entry.zone):
            entry = process.entry
            self.after(self.rng.randrange(WRITE_MS), lambda: self.write_entry(entry))
        interval_ms = HEARTBEAT_MS - 2 * WRITE_MS - self.rng.randrange(100)
        self.after(interval_ms, lambda: self.send_heartbeat(process))

    def write_entry(self, entry):
        if not self.store.is_away:
            is_known = self.store.entries.get(entry.server, (None, 0))[0] == entry
            self.store.put(entry, self.now_ms)
            if not is_known:
                self.on_store_change()

    def servers_of(self, service, version=None):
        """Return the live processes of a service, of one version if it is given."""
        return [
            process
            for process in self.processes.values()
            if process.is_alive
            and process.entry.service == service
            and not process.entry.is_leaving
            and version in (None, process.version)
        ]

    def stop_server(self, slot):
        process = self.processes.get(self.slots[slot].address)
        if process is not None and process.is_alive:
            process.is_alive = False
            if self.reaches_store(process.entry.zone) and self.rng.random() < LATE_HEARTBEAT_SHARE:
                delay_ms = self.rng.randrange(MAX_LATE_HEARTBEAT_MS)
                self.after(delay_ms, lambda: self.write_entry(process.entry))
            self.on_server_end(process)

    def restart_server(self, slot, version, down_ms, *, keeps_id, is_graceful=False):
        """Stop the server of a slot, and start it again later."""

        def start():
            process = self.processes.get(self.slots[slot].address)
            if process is None or not process.is_alive:
                name = self.slots[slot].server if keeps_id else self._next_id()
                self.boot(slot, replace(self.slots[slot], server=name, software_version=version))

        def stop():
            self.stop_server(slot)
            self.after(down_ms, start)

        process = self.processes.get(self.slots[slot].address)
        if is_graceful and process is not None and process.is_alive:
            process.entry = replace(process.entry, is_leaving=True)
            if self.reaches_store(process.entry.zone):
                self.write_entry(process.entry)
            self.after(1_000, stop)
        else:
            stop()

    # store and zones

    def take_store_away(self, duration_ms, *, does_expire):
        if self.store.is_away:
            return
        self.store.is_away = True

        def come_back():
            if not does_expire:
                self.store.pass_outage(duration_ms)
            self.store.is_away = False

        self.after(duration_ms, come_back)

    def restore_store(self, back_ms):
        self.store.restore(back_ms, self.now_ms)

    def cut_off(self, zone, duration_ms):
        if zone in self.cut_zones:
            return
        self.cut_zones.add(zone)
        self.on_cut()
        self.after(duration_ms, lambda: self.cut_zones.discard(zone))

    # overridden

    def on_store_change(self):
        """React to a changed list of servers."""

    def on_server_end(self, process):
        """React to the end of a process."""

    def on_cut(self):
        """React to a cut between zones."""
