"""Proofs for a key-value service that comes back from an older copy."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from bergamothill.clock import ManualClock
from bergamothill.connection.storeera import REWRITE_MS
from bergamothill.process.configstate import ConfigState
from bergamothill.process.ordergap import (
    ORDER_GAP_MARGIN_MS,
    OrderGapGuard,
    read_settled_era,
    record_settled_era,
)
from tests.builders import RestorableStore, StoreClient
from tests.proof import proof_admission, proof_backends, proof_orderturn
from tests.proof.harness import Proof
from tests.proof.require import require

MAX_COPIES = 3
REWRITE_MAX_MS = 2_000
"""The operator and the servers write again what was lost within this time."""

EXPIRY_MS = 3 * 1_200
"""Entries of servers are removed after three heartbeat intervals of silence."""

MAX_LAG_MS = 400
"""Longest delay of a read in the environment of the servers."""

MARK_KEY = "duty-orders/weights"
SETTLE_MS = 4_650


class SlowRestorableStore(proof_orderturn.SlowService, RestorableStore):
    """Store whose writes are slow, late or unanswered, and that may come back from a copy."""


class CarelessGapGuard(OrderGapGuard):
    """Test double that does not wait for holders of earlier eras."""

    def _is_era_settled(self, fencing, now_ms):
        return True


class RestoredOrdersProof(proof_orderturn.OrderTurnProof):
    """Three entry instances compete for the duty while the service loses leases and marker.

    Oracle: orders of two holders to one engine are a gap apart, and no two acquisitions have the
    same fencing number.
    """

    def new_store(self):
        return SlowRestorableStore(self.clock)

    def guard(self):
        return OrderGapGuard if self.mechanism_enabled else CarelessGapGuard

    def begin_world(self):
        self.copies = [self.kvs.snapshot()]
        self.fencing_of = {}

    def new_candidate(self, name):
        client = StoreClient(self.kvs)
        candidate = proof_orderturn.Candidate(name, client, self.clock, self.guard_class)
        client.era.add_listener(lambda era: candidate.lease.handle_restore())
        return candidate

    def send_orders(self, name, way_ms, servers=("s1",)):
        sent = super().send_orders(name, way_ms, servers)
        lease = self.candidates[name].lease
        if lease.is_held:
            holder = self.fencing_of.setdefault(lease.fencing, lease)
            require(holder is lease, f"fencing number {lease.fencing} was given out twice")
        return sent

    def calm_ms(self):
        wait_ms = proof_orderturn.TIMES.ttl_ms + proof_orderturn.ORDER_GAP_MS + ORDER_GAP_MARGIN_MS
        return super().calm_ms() + wait_ms

    @rule()
    def a_copy_is_made(self):
        self.operation()
        self.copies = [*self.copies, self.kvs.snapshot()][-MAX_COPIES:]

    @rule(index=st.integers(0, MAX_COPIES - 1))
    def store_is_restored(self, index):
        self.fault()
        self.kvs.restore_copy(self.copies[index % len(self.copies)])

    @rule(first=st.sampled_from(proof_orderturn.HOLDERS), second=st.sampled_from(("a", "b")))
    def store_is_restored_behind_a_holder(self, first, second):
        """Let a holder order an engine, restore the store, and let another one take over."""
        self.fault()
        copy = self.kvs.snapshot()
        if not self.send_orders(first, 0):
            return
        self.kvs.restore_copy(copy)
        for _ in range(3):
            self.clock.advance_ms(20)
            self.send_orders(second, 0)


class RestorableReads(proof_admission.SlowReads, RestorableStore):
    """Store with slow reads that may come back from a copy."""


class WorldClock(ManualClock):
    """Clock that tells the world of each advance, so that others act in time."""

    on_advance = staticmethod(lambda: None)

    def advance_ms(self, duration_ms):
        super().advance_ms(duration_ms)
        self.on_advance()


class TrustingConfigState(ConfigState):
    """Test double that trusts a restored service at once."""

    def record_restore(self, now_ms):
        return


class RestoredConfigurationProof(proof_admission.ConfigurationProof):
    """Two entry instances, an operator and a service that loses what it acknowledged.

    Oracle: no key is accepted past the revocation bound, counted from the first acknowledgement of
    its removal, and no instance applies an older version than before.
    """

    double = TrustingConfigState

    def new_clock(self):
        return WorldClock()

    def new_store(self):
        return RestorableReads(self.clock)

    def begin_world(self):
        self.copies = [self.kvs.snapshot()]
        self.rewrite_ms = REWRITE_MAX_MS
        self.rewrite_due_ms = None
        self.restored_ms = 0
        self.clock.on_advance = self.operator_acts

    def new_node(self):
        client = StoreClient(self.kvs)
        state_class = ConfigState if self.mechanism_enabled else self.double
        state = state_class(proof_admission.REVOCATION_MS, is_strict=True)
        client.era.add_listener(lambda era: state.record_restore(self.clock.now_ms()))

        def check_first_era():
            if read_settled_era(client, MARK_KEY) < client.era.current:
                state.record_restore(self.clock.now_ms())

        def on_connection_change(is_connected):
            if is_connected:
                state.record_reconnection(self.clock.now_ms())

        return proof_admission.Node(
            client,
            self.clock,
            state,
            on_connection_change=on_connection_change,
            before_first_read=check_first_era,
        )

    def operator_acts(self):
        """Write the newest configuration again when it is due, and settle an old era."""
        now_ms = self.clock.now_ms()
        if self.kvs.is_down:
            return
        if self.rewrite_due_ms is not None and now_ms >= self.rewrite_due_ms:
            self.rewrite_due_ms = None
            self.put(self.history[-1][1], self.version)
        if self.rewrite_due_ms is None and now_ms - self.restored_ms >= SETTLE_MS:
            self.settle()

    def settle(self):
        record_settled_era(StoreClient(self.kvs), MARK_KEY, self.kvs.era)

    def write(self, keys):
        self.rewrite_due_ms = None
        super().write(keys)

    @rule()
    def a_copy_is_made(self):
        self.operation()
        self.copies = [*self.copies, self.kvs.snapshot()][-MAX_COPIES:]

    @rule(index=st.integers(0, MAX_COPIES - 1), rewrite_ms=st.integers(0, REWRITE_MAX_MS))
    def store_is_restored(self, index, rewrite_ms):
        self.fault()
        if self.kvs.is_down:
            return
        self.kvs.restore_copy(self.copies[index % len(self.copies)])
        self.restored_ms = self.clock.now_ms()
        self.rewrite_ms = rewrite_ms
        self.rewrite_due_ms = self.restored_ms + rewrite_ms

    @rule()
    def service_goes_or_returns(self):
        super().service_goes_or_returns()
        if not self.kvs.is_down:
            self.restored_ms = self.clock.now_ms()
            if self.rewrite_due_ms is not None:
                self.rewrite_due_ms = self.restored_ms + self.rewrite_ms

    @rule(name=proof_admission.nodes, key=st.sampled_from(proof_admission.KEYS))
    def key_is_taken_just_before_a_restoration(self, name, key):
        """Revoke a key, lose the revocation before a node has read it, and read the copy."""
        self.fault()
        if self.kvs.is_down:
            return
        self.node_reads(name, 0, 0)
        self.node_takes_over(name)
        self.a_copy_is_made()
        self.operator_writes(set(proof_admission.KEYS) - {key}, 1)
        self.store_is_restored(len(self.copies) - 1, REWRITE_MAX_MS)
        for _ in range(5):
            self.clock.advance_ms(REWRITE_MAX_MS // 4)
            self.node_reads(name, 0, 0)
            self.node_takes_over(name)
            self.check_request(self.nodes[name], key)
        self.clock.advance_ms(proof_admission.REVOCATION_MS - 2 * REWRITE_MAX_MS)
        self.check_request(self.nodes[name], key)

    def before_calm(self):
        """Give the operator time to write again, and the instances time to trust the service."""
        if self.rewrite_due_ms is not None:
            self.rewrite_due_ms = self.clock.now_ms()
        for node in self.nodes.values():
            node.read()
        self.clock.advance_ms(REWRITE_MS)


class BelievesCopies(proof_backends.ServerPool):
    """Test double that takes a restored service for one that lost nothing."""

    def kvs_restored(self, now_ms):
        return


class RestoredServersProof(proof_backends.BackendsProof):
    """Two entry instances and servers whose entries go back to an older copy.

    Oracle: that of the environment without restorations. A server that an instance never knew to
    have left may be used until its entry in the copy expires.
    """

    double = BelievesCopies

    def begin_world(self):
        self.copies = []
        self.ghosts = {}

    def listed_entries(self):
        """Return the entries in the list: current ones, or those that the copy still has."""
        listed = []
        for name, server in self.servers.items():
            ghost = self.ghosts.get(name)
            if ghost is not None and self.now_ms < ghost[1]:
                listed.append(ghost[0])
            elif server.is_listed:
                listed.append(server.entry())
        return listed

    def copy(self):
        return {name: server.entry() for name, server in self.servers.items() if server.is_listed}

    @rule()
    def a_copy_is_made(self):
        self.operation()
        self.copies = [*self.copies, self.copy()][-MAX_COPIES:]

    @precondition(lambda self: self.copies)
    @rule(index=st.integers(0, MAX_COPIES - 1), back_ms=st.integers(0, REWRITE_MAX_MS))
    def store_is_restored(self, index, back_ms):
        self.fault()
        copy = self.copies[index % len(self.copies)]
        self.outage_ended_ms = self.now_ms
        self.ghosts = {}
        for name, server in self.servers.items():
            entry = copy.get(name)
            rewritten_ms = self.now_ms + (back_ms if server.is_alive else EXPIRY_MS)
            if entry is not None and entry != (server.entry() if server.is_listed else None):
                self.ghosts[name] = (entry, rewritten_ms)
                self.allow_ghost(name, entry, rewritten_ms)
            if entry is None and server.is_listed:
                server.is_listed = False
                server.relist_due_ms = rewritten_ms
        for node in self.nodes.values():
            node.server_pool.kvs_restored(self.now_ms)
            node.recovered_ms = self.now_ms

    def allow_ghost(self, name, entry, until_ms):
        server = self.servers[name]
        if server.leaving_since_ms is not None and entry.incarnation == server.entry().incarnation:
            server.leaving_since_ms = max(server.leaving_since_ms, until_ms)

    def note_list(self, node, listed):
        """Record that a node knows a server to be gone, which it must remember.

        It knows that from a list that was read when all servers had had time to register again
        since the node itself had noticed the end of an outage.
        """
        lost = node.last_listed - {entry.incarnation for entry in listed}
        if self.now_ms - node.recovered_ms >= REWRITE_MS + MAX_LAG_MS:
            node.last_listed = {entry.incarnation for entry in listed}
            gone = {
                server.entry().incarnation
                for server in self.servers.values()
                if not server.is_alive
            }
            node.seen_leaving |= lost & gone


PROOFS = (
    Proof(slug="restored-orders", machine=RestoredOrdersProof),
    Proof(slug="restored-configuration", machine=RestoredConfigurationProof),
    Proof(slug="restored-servers", machine=RestoredServersProof),
)
