"""Proof that membership detects dead peers in time and tolerates silent connections."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from bergamothill.connection.instancelist import Instance, InstanceKind, InstanceState
from bergamothill.process.membership import Membership
from bergamothill.process.membershipevents import (
    CloseLink,
    Dial,
    DialFailed,
    GoodbyeReceived,
    InstancesListed,
    LinkClosed,
    LinkDataReceived,
    LinkOpened,
    PeerChanged,
    PeerStatus,
    SendHeartbeat,
    Tick,
)
from tests.proof.harness import Proof, ProofMachine
from tests.proof.require import require

ZONES = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
STEP_MS = 250
DIAL_TIMEOUT_MS = 800
DEATH_DETECTION_MS = 5_000
SETTLE_MS = 6_000
"""Maximum time after a fault until running instances see each other: longest redial, one dial."""


class SilentAsDeadMembership(Membership):
    """Test double without the mechanism: treats a silent connection as a dead peer."""

    def _check_link(self, record, link, now_ms, effects):
        super()._check_link(record, link, now_ms, effects)
        if link.liveness.is_silent(now_ms):
            self._set_status(record, PeerStatus.DEAD, now_ms, effects)


@dataclass
class Connection:
    """One connection: entry names of both ends, each with the incarnation that opened it."""

    ends: dict
    ids: dict = field(default_factory=dict)
    silent: bool = False
    closed: set = field(default_factory=set)


@dataclass
class Node:
    name: str
    membership: Membership
    incarnation: int
    running: bool = True
    frozen: bool = False
    left: bool = False
    changed_ms: int = 0
    inbox: list = field(default_factory=list)
    dials: list = field(default_factory=list)


class MembershipProof(ProofMachine):
    """Five instances in two zones, with faults of instances, connections and instance list."""

    @initialize()
    def begin(self):
        self.now_ms = 0
        self.link_ids = itertools.count(1)
        self.connections = []
        self.cuts = set()
        self.unreachable_since_ms = {}
        self.reachable_since_ms = {}
        self.list_unavailable = False
        self.listed_ids = {}
        self.nodes = {}
        for name in ZONES:
            self.start_node(name, 1)
        self.listed = self.current_list()
        for node in self.nodes.values():
            self.handle_event(node, InstancesListed(self.listed))

    def start_node(self, name, incarnation):
        membership_class = Membership if self.mechanism_enabled else SilentAsDeadMembership
        membership = membership_class(name, ZONES[name], incarnation)
        self.nodes[name] = Node(name, membership, incarnation, changed_ms=self.now_ms)
        self.restart_settling(name)

    def restart_settling(self, name):
        """Restart the settling time of all pairs of a node after a fault at it."""
        for other in ZONES:
            self.reachable_since_ms[frozenset((name, other))] = self.now_ms

    def current_list(self):
        return tuple(
            Instance(
                name,
                InstanceKind.ENTRY,
                ZONES[name],
                f"{name}:1",
                node.incarnation,
                InstanceState.LIVE,
            )
            for name, node in self.nodes.items()
            if node.running and not node.left
        )

    def handle_event(self, node, event):
        if isinstance(event, InstancesListed):
            self.listed_ids[node.name] = {instance.instance_id for instance in event.instances}
        for effect in node.membership.handle(event, self.now_ms):
            match effect:
                case Dial(peer, _):
                    node.dials.append((self.now_ms, peer))
                case CloseLink(link):
                    self.close_connection(node, link)
                case SendHeartbeat(link):
                    self.heartbeat(node, link)
                case PeerChanged():
                    pass

    def connection_of(self, node, link):
        connections = (c for c in self.connections if node.name not in c.closed)
        ids = (node.incarnation, link)
        return next((c for c in connections if c.ids.get(node.name) == ids), None)

    def other_end(self, connection, node):
        """Return the node at the other end, or ``None`` if that end is closed or not running."""
        name = next(n for n in connection.ends if n != node.name)
        other = self.nodes[name]
        is_open = name not in connection.closed and connection.ends[name] == other.incarnation
        return other if is_open and other.running else None

    def is_working(self, connection):
        return not connection.silent and frozenset(connection.ends) not in self.cuts

    def send(self, node, connection, make_event):
        """Deliver an event to the other end of a connection, if the connection still works."""
        other = self.other_end(connection, node)
        if other is not None and self.is_working(connection):
            self.deliver(other, make_event(connection.ids[other.name][1]))

    def heartbeat(self, node, link):
        connection = self.connection_of(node, link)
        if connection is not None:
            self.send(node, connection, LinkDataReceived)

    def close_connection(self, node, link):
        connection = self.connection_of(node, link)
        if connection is None:
            return
        self.close_end(node, connection)

    def close_end(self, node, connection):
        """Close one end; the other end is notified only if the connection still works."""
        connection.closed.add(node.name)
        other = self.other_end(connection, node)
        if other is None or self.is_working(connection):
            self.connections.remove(connection)
        if other is not None and self.is_working(connection):
            self.deliver(other, LinkClosed(connection.ids[other.name][1]))

    def deliver(self, node, event):
        if node.frozen:
            node.inbox.append(event)
        else:
            self.handle_event(node, event)

    def process_dials(self, node):
        """Process dials: a reachable peer accepts at once, a closed port refuses at once."""
        waiting, node.dials = node.dials, []
        for started_ms, peer in waiting:
            target = self.nodes[peer]
            cut = frozenset((node.name, peer)) in self.cuts
            if target.running and not target.frozen and not cut:
                self.connect(node, target)
            elif not (cut or target.frozen) or self.now_ms - started_ms >= DIAL_TIMEOUT_MS:
                self.handle_event(node, DialFailed(peer))
            else:
                node.dials.append((started_ms, peer))

    def connect(self, dialer, acceptor):
        ends = {n.name: n.incarnation for n in (dialer, acceptor)}
        connection = Connection(ends)
        for node in (dialer, acceptor):
            connection.ids[node.name] = (node.incarnation, next(self.link_ids))
        self.connections.append(connection)
        for node, peer in ((acceptor, dialer), (dialer, acceptor)):
            self.handle_event(
                node,
                LinkOpened(
                    connection.ids[node.name][1],
                    peer.name,
                    ZONES[peer.name],
                    f"{peer.name}:1",
                    peer.incarnation,
                    node is dialer,
                ),
            )

    def step(self):
        self.now_ms += STEP_MS
        for node in self.nodes.values():
            if node.running and not node.frozen:
                self.process_dials(node)
                self.handle_event(node, Tick())
        for one, other in itertools.permutations(self.nodes.values(), 2):
            self.check_pair(one, other)

    def reachable(self, one, other):
        cut = frozenset((one.name, other.name)) in self.cuts
        return not cut and other.running and not other.frozen and not other.left

    def can_connect(self, one, other):
        """Tell whether two nodes are connected, or one has the other in the last list it read."""
        connected = any(
            set(connection.ends) == {one.name, other.name} for connection in self.connections
        )
        return (
            connected
            or other.name in self.listed_ids[one.name]
            or (one.name in self.listed_ids[other.name] and not other.frozen)
        )

    def check_pair(self, one, other):
        pair = (one.name, other.name)
        if not one.running or one.frozen or ZONES[one.name] != ZONES[other.name]:
            self.unreachable_since_ms.pop(pair, None)
            return
        live = other.name in one.membership.live_peers()
        if self.reachable(one, other):
            self.unreachable_since_ms.pop(pair, None)
            if not self.can_connect(one, other):
                self.reachable_since_ms[frozenset(pair)] = self.now_ms
            if self.reachable(other, one):
                settled_ms = self.now_ms - self.reachable_since_ms[frozenset(pair)]
                missing = not live and settled_ms > SETTLE_MS
                require(
                    not missing,
                    f"{one.name} does not see {other.name}, which is reachable for {settled_ms} ms",
                )
            return
        since_ms = self.unreachable_since_ms.setdefault(pair, self.now_ms - STEP_MS)
        require(
            not live or self.now_ms - since_ms <= DEATH_DETECTION_MS,
            f"{one.name} sees {other.name} as live, unreachable for {self.now_ms - since_ms} ms",
        )

    @rule(steps=st.integers(1, 12))
    def time_passes(self, steps):
        self.operation()
        for _ in range(steps):
            self.step()

    @rule(steps=st.integers(24, 32))
    def quiet_time_passes(self, steps):
        self.operation()
        for _ in range(steps):
            self.step()

    @rule(data=st.data())
    def connection_goes_silent(self, data):
        self.fault()
        connections = [c for c in self.connections if not c.silent]
        if connections:
            data.draw(st.sampled_from(connections)).silent = True

    @rule()
    def all_connections_go_silent(self):
        self.fault()
        for connection in self.connections:
            connection.silent = True

    @rule(one=st.sampled_from(sorted(ZONES)), other=st.sampled_from(sorted(ZONES)))
    def cut(self, one, other):
        self.fault()
        if one != other:
            self.cut_pair(one, other)

    @rule()
    def cut_zones(self):
        self.fault()
        for one, other in itertools.combinations(ZONES, 2):
            if ZONES[one] != ZONES[other]:
                self.cut_pair(one, other)

    def cut_pair(self, one, other):
        self.cuts.add(frozenset((one, other)))
        for connection in self.connections:
            if set(connection.ends) == {one, other}:
                connection.silent = True

    @precondition(lambda self: self.cuts)
    @rule()
    def heal(self):
        self.operation()
        for pair in self.cuts:
            self.reachable_since_ms[pair] = self.now_ms
        self.cuts.clear()

    @rule(name=st.sampled_from(sorted(ZONES)))
    def freeze(self, name):
        self.fault()
        self.nodes[name].frozen = self.nodes[name].running

    @rule(name=st.sampled_from(sorted(ZONES)), reads_first=st.booleans())
    def wake(self, name, reads_first):
        self.operation()
        node = self.nodes[name]
        if not node.frozen:
            return
        node.frozen = False
        self.restart_settling(name)
        if not reads_first:
            self.handle_event(node, Tick())
        inbox, node.inbox = node.inbox, []
        for event in inbox:
            self.handle_event(node, event)

    @rule(name=st.sampled_from(sorted(ZONES)))
    def kill(self, name):
        self.fault()
        node = self.nodes[name]
        if not node.running:
            return
        node.running = node.frozen = False
        for connection in self.connections_of(node):
            self.close_end(node, connection)

    def connections_of(self, node):
        return [
            connection
            for connection in self.connections
            if connection.ends.get(node.name) == node.incarnation
            and node.name not in connection.closed
        ]

    @rule(name=st.sampled_from(sorted(ZONES)), list_knows=st.booleans())
    def restart(self, name, list_knows):
        self.fault()
        if self.nodes[name].running:
            self.kill(name)
        self.start_node(name, self.nodes[name].incarnation + 1)
        self.handle_event(self.nodes[name], InstancesListed(self.listed))
        if list_knows:
            self.read_list()

    @rule(name=st.sampled_from(sorted(ZONES)))
    def leave(self, name):
        self.operation()
        node = self.nodes[name]
        if not node.running or node.frozen or node.left:
            return
        node.left = True
        for connection in self.connections_of(node):
            self.send(node, connection, lambda link: GoodbyeReceived(name, node.incarnation))
        self.kill(name)

    @rule()
    def read_list(self):
        self.operation()
        if not self.list_unavailable:
            self.listed = self.current_list()
            self.deliver_list()

    @rule()
    def read_lagging_list(self):
        self.fault()
        if not self.list_unavailable:
            self.deliver_list()

    def deliver_list(self):
        for node in self.nodes.values():
            if node.running:
                self.deliver(node, InstancesListed(self.listed))

    @rule(away=st.booleans())
    def list_goes_away(self, away):
        self.fault()
        self.list_unavailable = away


PROOFS = (Proof(slug="membership", machine=MembershipProof),)
