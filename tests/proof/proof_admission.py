"""Proofs that entry instances apply configurations in order and revoke API keys in time."""

from __future__ import annotations

import json

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from bergamothill.clock import ManualClock
from bergamothill.connection.kvs import ABSENT
from bergamothill.platform.config import CONFIG_KEY, OPERATOR_PREFIX
from bergamothill.process.configstate import DEFAULT_APPLY_MS, ConfigState, Verdict
from bergamothill.process.operatorview import OperatorView
from bergamothill.process.prefixfollower import PrefixFollower, poll_interval_ms
from tests.builders import FaultyKeyValueService, operator_config
from tests.proof.harness import Proof, ProofMachine
from tests.proof.require import require

POLL_INTERVAL_MS = poll_interval_ms(2_000)
REVOCATION_MS = 5_000
TRANSIT_MS = 200
KEYS = ("key-1", "key-2", "key-3")
NODES = ("a", "b")

nodes = st.sampled_from(NODES)
delays_ms = st.sampled_from([0, 0, 5, 300, 2_000, 6_000])


class SlowReads(FaultyKeyValueService):
    """Key-value service whose reads can be delayed before and after they take effect."""

    def __init__(self, clock):
        super().__init__(clock)
        self.manual_clock = clock
        self.before_ms = self.after_ms = 0

    def scan(self, prefix):
        before_ms, after_ms = self.before_ms, self.after_ms
        self.before_ms = self.after_ms = 0
        self._check_available("kvs.scan")
        self.manual_clock.advance_ms(before_ms)
        result = super().scan(prefix)
        self.manual_clock.advance_ms(after_ms)
        return result


class UnorderedConfigState(ConfigState):
    """Test double that accepts any version."""

    def apply(self, config, revision, sent_ms, source=None):
        self.table = None
        return super().apply(config, revision, sent_ms, source)


class UnexpiringConfigState(ConfigState):
    """Test double that trusts its API keys indefinitely once it has a configuration."""

    def is_config_fresh(self, now_ms):
        return self.age_ms(now_ms) is not None


class DenyingConfigState(ConfigState):
    """Test double that denies whatever the configuration in force lacks."""

    def may_deny(self, now_ms):
        return True


class Node:
    """One process of an entry instance: the production follower, view and configuration state."""

    def __init__(
        self,
        kvs,
        clock,
        config_state,
        on_connection_change=lambda is_connected: None,
        before_first_read=None,
    ):
        self.config_state = config_state
        self.inbox = []
        self.versions = []
        self.view = OperatorView(
            config_state,
            lambda config, entry, sent_ms: self.versions.append(config.version),
            lambda target, set_after_ms: None,
            lambda entry, error: require(False, f"entry could not be decoded: {error}"),
        )
        self.follower = PrefixFollower(
            kvs,
            clock,
            OPERATOR_PREFIX,
            POLL_INTERVAL_MS,
            self.inbox.append,
            on_connection_change,
            before_first_read,
        )

    def read(self):
        self.follower._read()

    def apply_inbox(self):
        """Apply all snapshots that wait for the event loop."""
        while self.inbox:
            self.view.apply(self.inbox.pop(0))


class ConfigurationProof(ProofMachine):
    """Two entry instances follow a configuration; reads are slow, fail, or are applied late."""

    double = UnorderedConfigState

    @initialize()
    def begin(self):
        self.clock = self.new_clock()
        self.clock.advance_ms(1_000)
        self.kvs = self.new_store()
        self.version = 1
        self.history = []
        self.written = []
        self.write(set(KEYS))
        self.begin_world()
        self.nodes = {name: self.new_node() for name in NODES}

    def new_clock(self):
        return ManualClock()

    def new_store(self):
        return SlowReads(self.clock)

    def begin_world(self):
        """Set up what a subclass adds."""

    def before_calm(self):
        """Let pass what a subclass adds."""

    def new_node(self):
        config_state = ConfigState if self.mechanism_enabled else self.double
        return Node(self.kvs, self.clock, config_state(REVOCATION_MS, is_strict=True))

    def write(self, keys):
        """Write the next configuration as the operator does."""
        self.put(keys, self.version)
        self.history.append((self.clock.now_ms(), frozenset(keys)))
        self.written.append((self.version, frozenset(keys)))

    def put(self, keys, version):
        tenants = [{"name": "kowhai", "apiKeys": sorted(keys)}]
        value = json.dumps(operator_config(version=version, tenants=tenants)).encode()
        stored = self.kvs.peek(CONFIG_KEY)
        expected = ABSENT if stored is None else stored.mod_revision
        self.kvs.put_if(CONFIG_KEY, value, expected=expected)

    @rule(keys=st.sets(st.sampled_from(KEYS)), step=st.integers(1, 3))
    def operator_writes(self, keys, step):
        self.operation()
        if not self.kvs.is_down:
            self.version += step
            self.write(keys)

    @rule(name=nodes, before_ms=delays_ms, after_ms=delays_ms)
    def node_reads(self, name, before_ms, after_ms):
        self.fault() if before_ms + after_ms else self.operation()
        self.kvs.before_ms, self.kvs.after_ms = before_ms, after_ms
        self.nodes[name].read()
        self.kvs.before_ms = self.kvs.after_ms = 0

    @rule(name=nodes)
    def node_takes_over(self, name):
        self.operation()
        self.nodes[name].apply_inbox()
        self.check_order(name)

    def check_order(self, name):
        versions = self.nodes[name].versions
        require(versions == sorted(set(versions)), f"{name} applied an older version: {versions}")

    @rule(name=nodes, key=st.sampled_from(KEYS))
    def request_arrives(self, name, key):
        self.operation()
        self.check_request(self.nodes[name], key)

    def check_request(self, node, key):
        now_ms = self.clock.now_ms()
        verdict = node.config_state.admit("desk.example", "/quote/x", key, now_ms).verdict
        if verdict is Verdict.ADMITTED:
            in_force = self.in_force_since(now_ms + TRANSIT_MS - REVOCATION_MS)
            require(
                any(key in keys for keys in in_force),
                f"{key} was accepted past the revocation bound",
            )
        if verdict is Verdict.UNKNOWN_KEY:
            in_force = self.in_force_since(now_ms - DEFAULT_APPLY_MS)
            require(
                not all(key in keys for keys in in_force),
                f"{key} was rejected although every version in force allows it",
            )

    def in_force_since(self, since_ms):
        """Return the keys of each configuration that was in force at some time since then."""
        earlier = [keys for at_ms, keys in self.history if at_ms <= since_ms][-1:]
        return earlier + [keys for at_ms, keys in self.history if at_ms > since_ms]

    @rule(name=nodes, key=st.sampled_from(KEYS), freezes=st.booleans())
    def key_is_taken_from_a_node_that_is_cut_off(self, name, key, freezes):
        """Revoke a key while a node is cut off; the node may freeze during its last read."""
        self.fault()
        if self.kvs.is_down:
            return
        self.node_reads(name, 0, 300 if freezes else 0)
        self.node_takes_over(name)
        self.operator_writes(set(KEYS) - {key}, 1)
        for _ in range(3):
            self.clock.advance_ms(REVOCATION_MS // 3 + TRANSIT_MS)
            self.check_request(self.nodes[name], key)

    @rule(name=nodes, key=st.sampled_from(KEYS))
    def key_is_given_while_a_node_does_not_read(self, name, key):
        self.fault()
        if self.kvs.is_down:
            return
        self.operator_writes(set(KEYS) - {key}, 1)
        self.node_reads(name, 0, 0)
        self.node_takes_over(name)
        self.operator_writes(set(KEYS), 1)
        for _ in range(2):
            self.clock.advance_ms(DEFAULT_APPLY_MS)
            self.check_request(self.nodes[name], key)

    @rule(passed_ms=st.sampled_from([10, 400, POLL_INTERVAL_MS, 3_000, 5_000]))
    def time_passes(self, passed_ms):
        self.operation()
        self.clock.advance_ms(passed_ms)

    @rule()
    def service_goes_or_returns(self):
        self.fault()
        self.kvs.is_down = not self.kvs.is_down

    @rule(name=nodes)
    def node_restarts(self, name):
        self.fault()
        self.nodes[name] = self.new_node()

    @rule(key=st.sampled_from(KEYS))
    def calm(self, key):
        """Check that without faults the newest configuration is in force after one read."""
        self.operation()
        self.kvs.is_down = False
        self.before_calm()
        for name, node in self.nodes.items():
            node.read()
            node.apply_inbox()
            self.check_order(name)
            require(
                node.config_state.version == self.version,
                f"{name} has version {node.config_state.version}",
            )
            verdict = node.config_state.admit("desk.example", "/quote/x", key, self.clock.now_ms())
            is_known = key in self.history[-1][1]
            expected = Verdict.ADMITTED if is_known else Verdict.UNKNOWN_KEY
            require(verdict.verdict is expected, f"{key} at {name}: {verdict.verdict}")

    def read_at_all_nodes(self):
        for name in NODES:
            self.node_reads(name, 0, 0)
            self.node_takes_over(name)

    @precondition(lambda self: len(self.history) > 1)
    @rule(back=st.integers(2, 4))
    def older_version_lands_late(self, back):
        """Apply a delayed write of an older version, then write the newest content again."""
        self.fault()
        if self.kvs.is_down or len(self.written) < back:
            return
        self.read_at_all_nodes()
        version, keys = self.written[-back]
        self.put(keys, version)
        self.read_at_all_nodes()
        self.version += 1
        self.write(self.history[-1][1])


class RevocationProof(ConfigurationProof):
    """The same environment; the mechanism is the age limit on the last confirmed read."""

    double = UnexpiringConfigState


class DenialProof(ConfigurationProof):
    """The same environment; the mechanism is the age limit on denials."""

    double = DenyingConfigState


PROOFS = (
    Proof(slug="denied-keys", machine=DenialProof),
    Proof(slug="routing-configuration", machine=ConfigurationProof),
    Proof(slug="key-revocation", machine=RevocationProof),
)
