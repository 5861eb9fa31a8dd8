"""Proof that no entry instance sends new work to a server that it could know to be leaving."""

from __future__ import annotations

import itertools

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from bergamothill.connection.instancelist import InstanceKind, InstanceState
from bergamothill.process.servermessages import Numbering
from bergamothill.process.servers import ServerTable
from tests.proof.harness import Proof, ProofMachine
from tests.proof.leavingworld import ENTRIES, SERVERS, World
from tests.proof.require import require

DETECTION_BOUND_MS = 5_000
TICKS_MS = (500, 2_475)
"""Tick intervals of a small zone and of a zone with 33 peers."""

START_STEPS = 24
LAGS_MS = (0, 250, 2_000)
LIST_LAGS_MS = (0, 1_000, 20_000)
entries = st.sampled_from(sorted(ENTRIES))
servers = st.sampled_from(sorted(SERVERS))
engines = st.sampled_from([n for n in sorted(SERVERS) if SERVERS[n][0] is InstanceKind.ENGINE])


class IgnoresStateAge(ServerTable):
    """Test double without the mechanism: trusts its state of a server however old it is."""

    def may_send(self, server, now_ms):
        with self._lock:
            record = self._servers.get(server)
            return record is not None and not self._is_leaving(record)


class LeavingProof(ProofMachine):
    """Entry instances send work while servers leave and the sources that announce it fail."""

    @initialize(tick_ms=st.sampled_from(TICKS_MS))
    def begin(self, tick_ms):
        table = ServerTable if self.mechanism_enabled else IgnoresStateAge
        self.world = World(table, tick_ms)
        self.world.observers = (self.observe,)
        self.listed_leaving_since_ms = {}
        self.peer_leaving_since_ms = {}
        for _ in range(START_STEPS):
            self.world.step()

    def observe(self):
        """Track since when each instance could have learned that a server is leaving."""
        pairs = itertools.product(self.world.servers.values(), ENTRIES.items())
        for server, (entry, zone) in pairs:
            self.track_since(
                self.listed_leaving_since_ms, (entry, server.name), self.list_shows(entry, server)
            )
            for peer, peer_zone in ENTRIES.items():
                if peer != entry and peer_zone == zone:
                    announces = self.peer_announces(entry, peer, server.name)
                    self.track_since(
                        self.peer_leaving_since_ms, (entry, server.name, peer), announces
                    )

    def track_since(self, since, key, is_announced):
        if is_announced:
            since.setdefault(key, self.world.now_ms)
        else:
            since.pop(key, None)

    def list_shows(self, entry, server):
        if entry in self.world.list_unavailable_for:
            return False
        listed = server.listed_at(self.world.now_ms - self.world.list_lag_ms)
        is_current = listed.incarnation == server.incarnation
        return is_current and listed.state is InstanceState.LEAVING

    def peer_announces(self, entry, peer, server):
        other = self.world.entries[peer]
        actual = self.world.servers[server]
        current = {(Numbering.LISTED, actual.incarnation), (Numbering.OWN, actual.own_incarnation)}
        return (
            not other.frozen
            and self.world.is_connected(entry, peer)
            and any(
                known.server == server and (known.numbering, known.incarnation) in current
                for known in other.table.leaving(other.clock.now_ms())
            )
        )

    def check_sent(self, entry, server):
        self.observe()
        actual = self.world.servers[server]
        now_ms = self.world.now_ms
        since = {
            "its own load report": actual.reports_leaving_since_ms if actual.alive else None,
            "the instance list": self.listed_leaving_since_ms.get((entry, server)),
        }
        for peer in ENTRIES:
            since[f"peer {peer}"] = self.peer_leaving_since_ms.get((entry, server, peer))
        for source, since_ms in since.items():
            late_ms = 0 if since_ms is None else now_ms - since_ms
            require(
                late_ms <= DETECTION_BOUND_MS,
                f"{entry} sent to {server} {late_ms} ms after {source} showed it as leaving",
            )

    def send(self, entry, server, pause_steps, pause_in_call):
        """Confirm the server, optionally pause, then send if the server table allows it."""
        node = self.world.entries[entry]
        actual = self.world.servers[server]
        never_left = actual.reports_leaving_since_ms is None and not actual.listed_leaving
        if pause_in_call:
            node.pause_steps = pause_steps
        confirmed = node.poller.confirm(server)
        paused = node.pause_steps == 0 and pause_in_call
        node.pause_steps = 0
        known = node.table.instance(server)
        current = known is not None and known.incarnation == actual.incarnation
        if actual.alive and never_left and current and not paused:
            require(confirmed, f"{entry} refuses {server}, which is live and responds")
        if pause_steps and not pause_in_call:
            node.frozen = True
            for _ in range(pause_steps):
                self.world.step()
            node.frozen = False
        if node.table.may_send(server, node.clock.now_ms()):
            self.check_sent(entry, server)

    @rule(steps=st.integers(1, 8))
    def time_passes(self, steps):
        self.operation()
        for _ in range(steps):
            self.world.step()

    @rule(entry=entries, server=servers)
    def work_is_sent(self, entry, server):
        self.operation()
        if not self.world.entries[entry].frozen:
            self.send(entry, server, 0, False)

    @rule(entry=entries, server=servers, steps=st.integers(1, 40), in_call=st.booleans())
    def work_is_sent_with_a_pause(self, entry, server, steps, in_call):
        self.fault()
        if not self.world.entries[entry].frozen:
            self.send(entry, server, steps, in_call)

    @rule(server=servers, listed=st.booleans(), answers=st.booleans())
    def server_leaves(self, server, listed, answers):
        self.operation()
        actual = self.world.servers[server]
        if listed and not actual.listed_leaving:
            actual.set_listed_state(InstanceState.LEAVING, self.world.now_ms)
        if (
            answers
            and actual.kind is InstanceKind.ENGINE
            and actual.reports_leaving_since_ms is None
        ):
            actual.reports_leaving_since_ms = self.world.now_ms

    @rule(server=servers)
    def server_dies(self, server):
        self.fault()
        self.world.servers[server].alive = False

    @rule(server=servers)
    def server_restarts(self, server):
        self.fault()
        actual = self.world.servers[server]
        actual.incarnation += 1
        actual.alive = True
        actual.reports_leaving_since_ms = None
        actual.set_listed_state(InstanceState.LIVE, self.world.now_ms)
        for since in (self.listed_leaving_since_ms, self.peer_leaving_since_ms):
            for key in [key for key in since if key[1] == server]:
                del since[key]

    @rule(server=engines, lag_ms=st.sampled_from(LAGS_MS))
    def answers_lag(self, server, lag_ms):
        self.fault()
        self.world.servers[server].lag_ms = lag_ms

    @rule(lag_ms=st.sampled_from(LIST_LAGS_MS))
    def list_lags(self, lag_ms):
        self.fault()
        self.world.list_lag_ms = lag_ms

    @rule(names=st.sets(entries))
    def list_goes_away(self, names):
        self.fault()
        self.world.list_unavailable_for = names

    @rule(one=entries, other=entries)
    def link_is_cut(self, one, other):
        self.fault()
        if one != other:
            self.world.cut_links.setdefault(frozenset((one, other)), self.world.now_ms)

    @rule(one=entries, other=entries)
    def link_is_slow(self, one, other):
        self.fault()
        if one != other:
            self.world.slow_links.setdefault(frozenset((one, other)), [])

    @precondition(lambda self: self.world.cut_links or self.world.slow_links)
    @rule()
    def links_heal(self):
        self.operation()
        slow, self.world.slow_links = self.world.slow_links, {}
        self.world.cut_links.clear()
        for source, target, frame in itertools.chain.from_iterable(slow.values()):
            self.world.send(frame, source, target)

    @rule()
    def zones_are_cut(self):
        self.fault()
        for one, other in itertools.combinations(ENTRIES, 2):
            if ENTRIES[one] != ENTRIES[other]:
                self.world.cut_links.setdefault(frozenset((one, other)), self.world.now_ms)

    @rule(steps=st.integers(1, 32))
    def time_passes_and_all_send(self, steps):
        self.operation()
        for _ in range(steps):
            self.world.step()
        for entry, server in itertools.product(ENTRIES, SERVERS):
            if not self.world.entries[entry].frozen:
                self.send(entry, server, 0, False)

    @rule(names=st.sets(entries, min_size=1))
    def entries_freeze(self, names):
        self.fault()
        for name in names:
            self.world.entries[name].frozen = True

    @rule(
        sleeper=entries,
        others=st.sets(entries),
        server=servers,
        channels=st.sampled_from([(True, False), (False, True), (True, True)]),
        early_steps=st.integers(0, 6),
        late_steps=st.integers(16, 32),
        order=st.permutations(["read", "beat", "send"]),
    )
    def server_leaves_unseen(
        self, sleeper, others, server, channels, early_steps, late_steps, order
    ):
        """Let a server leave while entry instances are frozen, then resume the first of them."""
        self.fault()
        self.world.entries[sleeper].frozen = True
        for _ in range(early_steps):
            self.world.step()
        for name in others:
            self.world.entries[name].frozen = True
        self.server_leaves(server, *channels)
        for _ in range(late_steps):
            self.world.step()
        self.wake(sleeper, server, order)

    @rule(entry=entries, server=servers, order=st.permutations(["read", "beat", "send"]))
    def entry_wakes_and_sends(self, entry, server, order):
        self.operation()
        if self.world.entries[entry].frozen:
            self.wake(entry, server, order)

    def wake(self, entry, server, order):
        """Resume an instance; its threads run in any order."""
        node = self.world.entries[entry]
        node.frozen = False
        for thread in (*order, "send"):
            if thread == "read":
                node.process_inbox()
            elif thread == "beat":
                node.poller.run_cycle()
            else:
                self.send(entry, server, 0, False)
        node.process_inbox()


PROOFS = (Proof(slug="leaving-servers", machine=LeavingProof),)
