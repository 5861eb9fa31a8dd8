"""Proof that leaving backend servers get no new work and healthy ones remain in use."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from bergamothill.process.prefixfollower import RETRY_INTERVAL_MS, poll_interval_ms
from bergamothill.process.serverpool import ServerPool
from tests.builders import backend, server_pool
from tests.proof.harness import Proof, ProofMachine
from tests.proof.require import require

POLL_INTERVAL_MS = poll_interval_ms(2_000)
STEP_MS = 50
DRAIN_MS = 2_000
STABLE_MS = 3_000
MIN_LEASE_MS = 1_000
"""Entries expire only in an outage longer than the shortest lease."""

RELIST_MAX_MS = 2_000
"""Entries that expired in an outage are registered again within this time."""

SERVERS = ("s1", "s2", "s3")
NODES = ("a", "b")
servers = st.sampled_from(SERVERS)
nodes = st.sampled_from(NODES)


class IgnoresLeaving(ServerPool):
    """Test double that uses every server it ever saw."""

    def apply_list(self, entries, sent_ms, now_ms):
        known = {b.entry.server: b.entry for b in self._observed.values()}
        listed = {entry.server: replace(entry, is_leaving=False) for entry in entries}
        return super().apply_list({**known, **listed}.values(), sent_ms, now_ms)


class Server:
    """True state of a server and of its entry in the key-value service."""

    def __init__(self, name):
        self.name = name
        self.started_ms = 1
        self.is_alive = True
        self.is_leaving = False
        self.is_listed = True
        self.relist_due_ms = 0
        self.leaving_since_ms = None

    def entry(self):
        return backend(
            self.name,
            service="bookings",
            started_wall_ms=self.started_ms,
            is_leaving=self.is_leaving,
            weights={},
        )


class Node:
    """One entry instance: its server pool and the times of its reads."""

    def __init__(self, server_pool, now_ms):
        self.server_pool = server_pool
        self.started_ms = now_ms
        self.next_read_ms = now_ms
        self.is_linked = None
        self.recovered_ms = now_ms
        self.last_listed = set()
        self.is_frozen = False
        self.resumed_ms = -STABLE_MS
        self.seen_leaving = set()
        self.known = set()


class BackendsProof(ProofMachine):
    """Two entry instances, three servers and a key-value service with outages."""

    double = IgnoresLeaving

    @initialize()
    def begin(self):
        self.now_ms = 10_000
        self.is_down = False
        self.outage_ended_ms = 0
        self.lag_ms = 0
        self.servers = {name: Server(name) for name in SERVERS}
        self.begin_world()
        self.nodes = {name: self.new_node() for name in NODES}
        self.pass_ms(STABLE_MS)

    def begin_world(self):
        """Set up what a subclass adds."""

    def listed_entries(self):
        """Return the entries in the list."""
        return [server.entry() for server in self.servers.values() if server.is_listed]

    def note_list(self, node, listed):
        """Record what a subclass adds to the knowledge of a node."""

    def new_node(self):
        pool_class = ServerPool if self.mechanism_enabled else self.double
        return Node(server_pool(pool_class=pool_class), self.now_ms)

    def pass_ms(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self.restore_entries()
            for node in self.nodes.values():
                if not node.is_frozen and self.now_ms >= node.next_read_ms:
                    self.read(node)
            for node in self.nodes.values():
                self.check(node)

    def restore_entries(self):
        if self.is_down:
            return
        for server in self.servers.values():
            is_due = server.is_alive and self.now_ms >= server.relist_due_ms
            if is_due and not server.is_listed:
                server.is_listed = True

    def read(self, node):
        if self.is_down:
            if node.is_linked:
                node.server_pool.kvs_connection_lost()
            node.is_linked = False
            node.next_read_ms = self.now_ms + RETRY_INTERVAL_MS
            return
        if node.is_linked is False:
            node.server_pool.kvs_recovered()
            node.recovered_ms = self.now_ms
        node.is_linked = True
        node.next_read_ms = self.now_ms + POLL_INTERVAL_MS
        listed = self.listed_entries()
        node.server_pool.apply_list(listed, self.now_ms - self.lag_ms, self.now_ms)
        node.known |= {entry.incarnation for entry in listed}
        node.seen_leaving |= {entry.incarnation for entry in listed if entry.is_leaving}
        self.note_list(node, listed)

    def check(self, node):
        if node.is_frozen:
            return
        usable = {b.entry.incarnation for b in node.server_pool.usable("bookings", self.now_ms)}
        require(not usable & node.seen_leaving, "uses a server that it has seen as leaving")
        is_service_stable = not self.is_down and self.now_ms - self.outage_ended_ms >= STABLE_MS
        is_node_stable = self.now_ms - max(node.resumed_ms, node.started_ms) >= STABLE_MS
        for server in self.servers.values():
            incarnation = server.entry().incarnation
            leaving_since_ms = server.leaving_since_ms
            if leaving_since_ms is not None and is_service_stable and is_node_stable:
                late_ms = self.now_ms - leaving_since_ms
                require(
                    late_ms <= DRAIN_MS or incarnation not in usable,
                    f"uses {server.name} {late_ms} ms after it left",
                )
            is_healthy = server.is_alive and not server.is_leaving
            if is_healthy and incarnation in node.known and is_node_stable:
                require(incarnation in usable, f"does not use {server.name}, which is healthy")

    @rule(steps=st.integers(1, 30))
    def time_passes(self, steps):
        self.operation()
        self.pass_ms(steps * STEP_MS)

    @rule(name=servers)
    def server_drains(self, name):
        self.operation()
        server = self.servers[name]
        if server.is_alive and server.is_listed and not self.is_down and not server.is_leaving:
            server.is_leaving = True
            server.leaving_since_ms = self.now_ms

    @rule(name=servers)
    def server_goes(self, name):
        """Remove a server: it deletes its entry, or its lease expires after a crash."""
        self.fault()
        server = self.servers[name]
        if server.is_alive and not self.is_down:
            server.is_alive = server.is_listed = False
            server.leaving_since_ms = (
                self.now_ms if server.leaving_since_ms is None else server.leaving_since_ms
            )

    @rule(name=servers)
    def server_starts(self, name):
        self.operation()
        server = self.servers[name]
        if not server.is_alive and not self.is_down:
            self.servers[name] = restarted = Server(name)
            restarted.started_ms = self.now_ms

    @rule(
        outage_ms=st.sampled_from([200, 2_000, 6_000]),
        gone=st.sets(servers),
        lapse=st.booleans(),
        back_ms=st.integers(0, RELIST_MAX_MS),
    )
    def service_goes_away(self, outage_ms, gone, lapse, back_ms):
        """Simulate an outage in which entries expire; servers that died do not register again."""
        self.fault()
        self.is_down = True
        self.pass_ms(outage_ms)
        self.is_down = False
        self.outage_ended_ms = self.now_ms
        for server in self.servers.values():
            if not lapse or outage_ms < MIN_LEASE_MS or not server.is_listed:
                continue
            server.is_listed = False
            server.relist_due_ms = self.now_ms + back_ms
            if server.name in gone:
                server.is_alive = False
                server.leaving_since_ms = (
                    self.now_ms if server.leaving_since_ms is None else server.leaving_since_ms
                )

    @rule(name=nodes, frozen_ms=st.sampled_from([300, 4_000]))
    def node_freezes(self, name, frozen_ms):
        self.fault()
        node = self.nodes[name]
        node.is_frozen = True
        self.pass_ms(frozen_ms)
        node.is_frozen = False
        node.resumed_ms = self.now_ms

    @rule(name=nodes)
    def node_restarts(self, name):
        self.fault()
        self.nodes[name] = self.new_node()

    @rule(lag_ms=st.sampled_from([0, 20, 400]))
    def reads_lag(self, lag_ms):
        self.fault()
        self.lag_ms = lag_ms


PROOFS = (Proof(slug="leaving-backends", machine=BackendsProof),)
