"""Proof that membership sees deaths in time and takes no silent connection for a dead peer."""

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
    LinkHeard,
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
DEATH_BOUND_MS = 5_000
SETTLE_MS = 6_000
"""Time after a fault until two running instances must see each other: longest redial, one dial."""


class SilenceIsDeath(Membership):
    """Double without the mechanism: takes a silent connection for a dead peer."""

    def _check_link(self, record, link, now_ms, effects):
        super()._check_link(record, link, now_ms, effects)
        if link.liveness.silent(now_ms):
            self._set_status(record, PeerStatus.DEAD, now_ms, effects)


@dataclass
class Wire:
    """One connection: its ends are entry names, each with the incarnation that opened it."""

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
    """Five instances in two zones, their connections, and the faults that meet them."""

    @initialize()
    def begin(self):
        self.now_ms = 0
        self.link_ids = itertools.count(1)
        self.wires = []
        self.cuts = set()
        self.apart_ms = {}
        self.together_ms = {}
        self.list_away = False
        self.shown = {}
        self.nodes = {}
        for name in ZONES:
            self.boot(name, 1)
        self.listed = self.true_list()
        for node in self.nodes.values():
            self.feed(node, InstancesListed(self.listed))

    def boot(self, name, incarnation):
        build = Membership if self.mechanism_enabled else SilenceIsDeath
        membership = build(name, ZONES[name], incarnation)
        self.nodes[name] = Node(name, membership, incarnation, changed_ms=self.now_ms)
        self.touch(name)

    def touch(self, name):
        """Note a fault at a node: pairs that it is part of start anew."""
        for other in ZONES:
            self.together_ms[frozenset((name, other))] = self.now_ms

    def true_list(self):
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

    def feed(self, node, event):
        if isinstance(event, InstancesListed):
            self.shown[node.name] = {instance.instance_id for instance in event.instances}
        for effect in node.membership.handle(event, self.now_ms):
            match effect:
                case Dial(peer, _):
                    node.dials.append((self.now_ms, peer))
                case CloseLink(link):
                    self.close_wire(node, link)
                case SendHeartbeat(link):
                    self.heartbeat(node, link)
                case PeerChanged():
                    pass

    def wire_of(self, node, link):
        wires = (w for w in self.wires if node.name not in w.closed)
        ids = (node.incarnation, link)
        return next((w for w in wires if w.ids.get(node.name) == ids), None)

    def other_end(self, wire, node):
        """Return the node at the other end if that end is still open."""
        name = next(n for n in wire.ends if n != node.name)
        other = self.nodes[name]
        is_open = name not in wire.closed and wire.ends[name] == other.incarnation
        return other if is_open and other.running else None

    def passes(self, wire):
        return not wire.silent and frozenset(wire.ends) not in self.cuts

    def send(self, node, wire, make_event):
        """Deliver an event to the other end of a connection, if bytes still pass."""
        other = self.other_end(wire, node)
        if other is not None and self.passes(wire):
            self.deliver(other, make_event(wire.ids[other.name][1]))

    def heartbeat(self, node, link):
        wire = self.wire_of(node, link)
        if wire is not None:
            self.send(node, wire, LinkHeard)

    def close_wire(self, node, link):
        wire = self.wire_of(node, link)
        if wire is None:
            return
        self.close_end(node, wire)

    def close_end(self, node, wire):
        """Close one end; the other learns of it only if bytes still pass."""
        wire.closed.add(node.name)
        other = self.other_end(wire, node)
        if other is None or self.passes(wire):
            self.wires.remove(wire)
        if other is not None and self.passes(wire):
            self.deliver(other, LinkClosed(wire.ids[other.name][1]))

    def deliver(self, node, event):
        if node.frozen:
            node.inbox.append(event)
        else:
            self.feed(node, event)

    def finish_dials(self, node):
        """Carry out dials: a reachable peer answers at once, a closed port refuses at once."""
        waiting, node.dials = node.dials, []
        for started_ms, peer in waiting:
            target = self.nodes[peer]
            cut = frozenset((node.name, peer)) in self.cuts
            if target.running and not target.frozen and not cut:
                self.connect(node, target)
            elif not (cut or target.frozen) or self.now_ms - started_ms >= DIAL_TIMEOUT_MS:
                self.feed(node, DialFailed(peer))
            else:
                node.dials.append((started_ms, peer))

    def connect(self, dialer, acceptor):
        ends = {n.name: n.incarnation for n in (dialer, acceptor)}
        wire = Wire(ends)
        for node in (dialer, acceptor):
            wire.ids[node.name] = (node.incarnation, next(self.link_ids))
        self.wires.append(wire)
        for node, peer in ((acceptor, dialer), (dialer, acceptor)):
            self.feed(
                node,
                LinkOpened(
                    wire.ids[node.name][1],
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
                self.finish_dials(node)
                self.feed(node, Tick())
        for one, other in itertools.permutations(self.nodes.values(), 2):
            self.check_pair(one, other)

    def reachable(self, one, other):
        cut = frozenset((one.name, other.name)) in self.cuts
        return not cut and other.running and not other.frozen and not other.left

    def can_meet(self, one, other):
        """Tell whether the last list read at either end shows the other, or they are joined."""
        joined = any(set(wire.ends) == {one.name, other.name} for wire in self.wires)
        return (
            joined
            or other.name in self.shown[one.name]
            or (one.name in self.shown[other.name] and not other.frozen)
        )

    def check_pair(self, one, other):
        pair = (one.name, other.name)
        if not one.running or one.frozen or ZONES[one.name] != ZONES[other.name]:
            self.apart_ms.pop(pair, None)
            return
        live = other.name in one.membership.live_peers()
        if self.reachable(one, other):
            self.apart_ms.pop(pair, None)
            if not self.can_meet(one, other):
                self.together_ms[frozenset(pair)] = self.now_ms
            if self.reachable(other, one):
                settled_ms = self.now_ms - self.together_ms[frozenset(pair)]
                missing = not live and settled_ms > SETTLE_MS
                require(
                    not missing,
                    f"{one.name} does not see {other.name}, reachable for {settled_ms} ms",
                )
            return
        since_ms = self.apart_ms.setdefault(pair, self.now_ms - STEP_MS)
        require(
            not live or self.now_ms - since_ms <= DEATH_BOUND_MS,
            f"{one.name} sees {other.name}, gone for {self.now_ms - since_ms} ms, as live",
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
        wires = [w for w in self.wires if not w.silent]
        if wires:
            data.draw(st.sampled_from(wires)).silent = True

    @rule()
    def all_connections_go_silent(self):
        self.fault()
        for wire in self.wires:
            wire.silent = True

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
        for wire in self.wires:
            if set(wire.ends) == {one, other}:
                wire.silent = True

    @precondition(lambda self: self.cuts)
    @rule()
    def heal(self):
        self.operation()
        for pair in self.cuts:
            self.together_ms[pair] = self.now_ms
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
        self.touch(name)
        if not reads_first:
            self.feed(node, Tick())
        inbox, node.inbox = node.inbox, []
        for event in inbox:
            self.feed(node, event)

    @rule(name=st.sampled_from(sorted(ZONES)))
    def kill(self, name):
        self.fault()
        node = self.nodes[name]
        if not node.running:
            return
        node.running = node.frozen = False
        for wire in self.wires_of(node):
            self.close_end(node, wire)

    def wires_of(self, node):
        return [
            wire
            for wire in self.wires
            if wire.ends.get(node.name) == node.incarnation and node.name not in wire.closed
        ]

    @rule(name=st.sampled_from(sorted(ZONES)), list_knows=st.booleans())
    def restart(self, name, list_knows):
        self.fault()
        if self.nodes[name].running:
            self.kill(name)
        self.boot(name, self.nodes[name].incarnation + 1)
        self.feed(self.nodes[name], InstancesListed(self.listed))
        if list_knows:
            self.read_list()

    @rule(name=st.sampled_from(sorted(ZONES)))
    def leave(self, name):
        self.operation()
        node = self.nodes[name]
        if not node.running or node.frozen or node.left:
            return
        node.left = True
        for wire in self.wires_of(node):
            self.send(node, wire, lambda link: GoodbyeReceived(name, node.incarnation))
        self.kill(name)

    @rule()
    def read_list(self):
        self.operation()
        if not self.list_away:
            self.listed = self.true_list()
            self.show_list()

    @rule()
    def read_lagging_list(self):
        self.fault()
        if not self.list_away:
            self.show_list()

    def show_list(self):
        for node in self.nodes.values():
            if node.running:
                self.deliver(node, InstancesListed(self.listed))

    @rule(away=st.booleans())
    def list_goes_away(self, away):
        self.fault()
        self.list_away = away


PROOFS = (Proof(slug="membership", machine=MembershipProof),)
