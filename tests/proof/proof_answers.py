"""Proofs that servers which say they are leaving, or ask for a pause, are left alone."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from bergamothill.process.serverlist import MAX_QUIET_MS
from bergamothill.process.serverpool import ServerPool
from bergamothill.request.serverchoice import AllQuiet
from tests.builders import backend, caller_request, routing_config, server_pool
from tests.proof.harness import Proof, ProofMachine
from tests.proof.require import require

SERVERS = ("s1", "s2", "s3")
BOOKINGS = routing_config().services["bookings"]

servers = st.sampled_from(SERVERS)
pauses_ms = st.sampled_from([1, 400, 2_500, 30_000, 10 * MAX_QUIET_MS])


class IgnoresLeavingAnswers(ServerPool):
    """Test double that learns of leaving servers from the list alone."""

    def record_leaving(self, server):
        return True


class IgnoresPauses(ServerPool):
    """Test double that treats a pause as an ordinary refusal."""

    def record_quiet(self, server, quiet_ms, now_ms):
        self.request_rejected(server.server, now_ms)


class AnswersProof(ProofMachine):
    """One entry instance, three servers that restart, lapse from the list, leave and pause.

    Oracle: a record of what each incarnation said. A server that said it is leaving, in an answer
    that was not malformed, or whose pause has not ended, is never chosen; one that said neither
    is in use; when all have asked for a pause, the first end is told.
    """

    double = IgnoresLeavingAnswers

    @initialize()
    def begin(self):
        self.now_ms = 1_000
        self.started_ms = dict.fromkeys(SERVERS, 1)
        self.listed = dict.fromkeys(SERVERS, True)
        self.has_left = dict.fromkeys(SERVERS, False)
        self.quiet_until_ms = dict.fromkeys(SERVERS, 0)
        self.unfinished = []
        pool_class = ServerPool if self.mechanism_enabled else self.double
        self.pool = server_pool(*self.entries(), pool_class=pool_class)

    def entries(self):
        return [self.entry(name) for name in SERVERS if self.listed[name]]

    def entry(self, name):
        return backend(name, service="bookings", weights={}, started_wall_ms=self.started_ms[name])

    def is_usable(self, name):
        is_quiet = self.now_ms < self.quiet_until_ms[name]
        return self.listed[name] and not self.said_leaving(name) and not is_quiet

    def said_leaving(self, name):
        incarnation = self.entry(name).incarnation
        return self.has_left[name] or any(e.incarnation == incarnation for e in self.unfinished)

    def read_list(self):
        self.pool.apply_list(self.entries(), self.now_ms, self.now_ms)

    def check(self):
        usable = {name for name in SERVERS if self.is_usable(name)}
        found = {b.entry.server for b in self.pool.usable("bookings", self.now_ms)}
        require(found == usable, f"uses {sorted(found)} instead of {sorted(usable)}")
        choice = self.pool.choose(BOOKINGS, caller_request(model=None), None, (), 0, self.now_ms)
        if usable:
            require(choice[0].server in usable, f"chose {choice[0].server}")
            return
        paused = [
            self.quiet_until_ms[name]
            for name in SERVERS
            if self.listed[name] and not self.said_leaving(name)
        ]
        expected = AllQuiet(min(paused)) if paused else None
        require(choice == expected, f"told {choice} instead of {expected}")

    @rule(name=servers)
    def answer_says_leaving(self, name):
        self.operation()
        if self.listed[name]:
            self.pool.record_leaving(self.entry(name))
            self.has_left[name] = True
        self.check()

    @rule(name=servers)
    def head_says_leaving_and_the_answer_goes_on(self, name):
        self.fault()
        if self.listed[name]:
            self.pool.record_leaving(self.entry(name))
            self.pool.request_started(name, 0, 0, self.now_ms)
            self.unfinished.append(self.entry(name))
        self.check()

    @rule(is_malformed=st.booleans())
    def answer_ends(self, is_malformed):
        self.fault() if is_malformed else self.operation()
        if not self.unfinished:
            return
        entry = self.unfinished.pop()
        if is_malformed:
            self.pool.withdraw_leaving(entry)
        elif entry.incarnation == self.entry(entry.server).incarnation:
            self.has_left[entry.server] = True
        self.pool.request_ended(entry.server, 0)
        self.check()

    @rule(name=servers, pause_ms=pauses_ms)
    def server_asks_for_quiet(self, name, pause_ms):
        self.operation()
        if self.listed[name]:
            self.pool.record_quiet(self.entry(name), pause_ms, self.now_ms)
            until_ms = self.now_ms + min(pause_ms, MAX_QUIET_MS)
            self.quiet_until_ms[name] = max(self.quiet_until_ms[name], until_ms)
        self.check()

    @rule(name=servers, started=st.integers(1, 3))
    def late_answer_of_another_incarnation(self, name, started):
        self.fault()
        if started != self.started_ms[name]:
            late = backend(name, service="bookings", weights={}, started_wall_ms=started + 100)
            self.pool.record_leaving(late)
            self.pool.record_quiet(late, 9_000, self.now_ms)
        self.check()

    @rule(name=servers)
    def server_restarts(self, name):
        self.operation()
        if any(entry.server == name for entry in self.unfinished):
            return
        self.started_ms[name] += 1
        self.listed[name], self.has_left[name], self.quiet_until_ms[name] = True, False, 0
        self.read_list()
        self.check()

    @rule(name=servers)
    def entry_lapses_and_returns(self, name):
        self.fault()
        if not self.listed[name] or any(entry.server == name for entry in self.unfinished):
            return
        self.listed[name] = False
        self.read_list()
        self.check()
        self.listed[name] = True
        self.read_list()
        self.check()

    @rule(passed_ms=st.sampled_from([1, 100, 2_500, 30_000, MAX_QUIET_MS]))
    def time_passes(self, passed_ms):
        self.operation()
        self.now_ms += passed_ms
        self.read_list()
        self.check()


class PausesProof(AnswersProof):
    """The same environment; the mechanism is the record of pauses."""

    double = IgnoresPauses


PROOFS = (
    Proof(slug="leaving-answers", machine=AnswersProof),
    Proof(slug="quiet-servers", machine=PausesProof),
)
