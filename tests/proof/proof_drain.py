"""Proof that a planned stop refuses nothing too early and cuts no stream."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from bergamothill.process.drain import (
    AcceptNew,
    Close,
    DrainBounds,
    Drained,
    DrainMachine,
    FailReadiness,
    HandedOver,
    HandOver,
    HandOverFailed,
    LeaseReleased,
    ReadinessSeen,
    RefuseNew,
    ReleaseLeases,
    SayGoodbye,
    StopRequested,
    StreamEnded,
    StreamStarted,
    TimePassed,
)
from tests.proof.harness import Proof, ProofMachine
from tests.proof.require import require

BOUNDS = DrainBounds(notice_ms=2_000, finish_ms=8_000, hand_over_ms=4_000)
PROBE_MAX_MS = BOUNDS.notice_ms
RELEASE_SLACK_MS = 2_500
STEP_MS = 250
ORDER = (FailReadiness, RefuseNew, ReleaseLeases, SayGoodbye, Drained, Close)


class ImmediateStop(DrainMachine):
    """Double without the mechanism: refuses at once and waits for no stream."""

    def _notice_over(self, now_ms):
        return True

    def _end_streams(self, elapsed_ms, now_ms, effects):
        super()._end_streams(1 << 40, now_ms, effects)


class DrainProof(ProofMachine):
    """Callers behind a balancer that probes readiness, streams, leases, pauses of the process."""

    @initialize()
    def begin(self):
        self.drain = (DrainMachine if self.mechanism_enabled else ImmediateStop)(BOUNDS)
        self.now_ms = 0
        self.stopped_ms = None
        self.paused_ms = 0
        self.frozen = False
        self.sends_until_ms = None  # None: the balancer believes that the instance is ready
        self.probed_ms = 0
        self.queued = []
        self.open = {}
        self.handing = set()
        self.leases = set()
        self.names = 0
        self.seen = []
        self.report = None

    def feed(self, event):
        for effect in self.drain.handle(event, self.now_ms):
            self.check_order(effect)
            self.carry_out(effect)

    def check_order(self, effect):
        if isinstance(effect, ORDER) and not getattr(effect, "stream", None):
            rank = ORDER.index(type(effect))
            require(rank >= len(self.seen), f"{effect} came twice or late")
            require(
                rank == len(self.seen), f"{effect} came before {ORDER[len(self.seen)].__name__}"
            )
            self.seen.append(effect)

    def carry_out(self, effect):
        match effect:
            case HandOver(stream):
                require(stream in self.open, f"hand-over of {stream}, which is not in progress")
                require(self.open[stream], f"hand-over of {stream}, which cannot be resumed")
                require(stream not in self.handing, f"second hand-over of {stream} at once")
                require(self.running_ms() >= BOUNDS.finish_ms, "hand-over before the finish bound")
                self.handing.add(stream)
            case Drained(report):
                self.check_report(report)
            case Close():
                cut = set(self.open) - set(self.report.remaining)
                require(not cut, f"closed with {sorted(cut)} in progress and unreported")

    def check_report(self, report):
        require(set(report.remaining) == set(self.open), "the report differs from the open streams")
        if report.remaining:
            spent_ms = self.running_ms()
            require(spent_ms >= BOUNDS.total_ms, f"gave up {report.remaining} after {spent_ms} ms")
        require(set(report.leases_kept) == self.leases, "the report differs from the kept leases")
        self.report = report

    def running_ms(self):
        return self.now_ms - self.stopped_ms - self.paused_ms

    def arrive(self, name, resumable):
        refused = RefuseNew(name) in self.drain.handle(AcceptNew(name), self.now_ms)
        require(not refused, f"{name} refused although the balancer had not seen readiness fail")
        self.open[name] = resumable
        self.feed(StreamStarted(name, resumable))

    @rule(milliseconds=st.integers(1, 12))
    def time_passes(self, milliseconds):
        self.operation()
        for _ in range(milliseconds):
            self.now_ms += STEP_MS
            if self.now_ms - self.probed_ms >= PROBE_MAX_MS:
                self.probe()
            if not self.frozen:
                self.feed(TimePassed())
        if self.frozen and self.stopped_ms is not None:
            self.paused_ms += milliseconds * STEP_MS
        if self.stopped_ms is not None and self.report is None:
            limit = BOUNDS.total_ms + RELEASE_SLACK_MS
            require(
                self.running_ms() <= limit, f"not drained {self.running_ms()} ms after the stop"
            )

    def probe(self):
        self.probed_ms = self.now_ms
        if self.frozen:
            self.balancer_stops()
        elif not self.drain.ready:
            self.feed(ReadinessSeen())
            self.balancer_stops()

    def balancer_stops(self):
        if self.sends_until_ms is None:
            self.sends_until_ms = self.now_ms + BOUNDS.notice_ms - STEP_MS

    @rule()
    def balancer_probes(self):
        self.operation()
        self.probe()

    @rule(resumable=st.booleans())
    def request_arrives(self, resumable):
        self.operation()
        if self.sends_until_ms is not None and self.now_ms > self.sends_until_ms:
            return
        self.names += 1
        name = f"s{self.names}"
        if self.frozen:
            self.queued.append((name, resumable))
        else:
            self.arrive(name, resumable)

    @precondition(lambda self: self.open and not self.frozen)
    @rule(data=st.data())
    def stream_ends(self, data):
        self.operation()
        name = data.draw(st.sampled_from(sorted(self.open)))
        del self.open[name]
        self.handing.discard(name)
        self.feed(StreamEnded(name))

    @precondition(lambda self: self.handing and not self.frozen)
    @rule(succeeds=st.booleans(), data=st.data())
    def hand_over_answers(self, succeeds, data):
        name = data.draw(st.sampled_from(sorted(self.handing)))
        self.handing.discard(name)
        if succeeds:
            self.operation()
            del self.open[name]
            self.feed(HandedOver(name))
        else:
            self.fault()
            self.feed(HandOverFailed(name))

    @precondition(lambda self: self.stopped_ms is None)
    @rule()
    def lease_taken(self):
        self.operation()
        self.names += 1
        self.leases.add(f"l{self.names}")
        self.drain.hold_lease(f"l{self.names}")

    @precondition(lambda self: self.leases and not self.frozen and self.report is None)
    @rule(data=st.data())
    def lease_ends(self, data):
        self.fault()
        name = data.draw(st.sampled_from(sorted(self.leases)))
        self.leases.discard(name)
        self.feed(LeaseReleased(name))

    @precondition(lambda self: not self.frozen and self.report is None)
    @rule()
    def stop(self):
        self.operation()
        if self.stopped_ms is None:
            self.stopped_ms = self.now_ms
        self.feed(StopRequested())

    @precondition(lambda self: not self.frozen and self.report is None)
    @rule(steps=st.integers(5, 60), streams_first=st.booleans())
    def freeze_and_wake(self, steps, streams_first):
        self.fault()
        self.frozen = True
        self.time_passes(steps)
        self.frozen = False
        if not streams_first:
            self.feed(TimePassed())
        queued, self.queued = self.queued, []
        for name, resumable in queued:
            self.arrive(name, resumable)
        self.feed(TimePassed())

    @precondition(lambda self: not self.frozen and self.report is None)
    @rule(steps=st.integers(5, 40), early=st.integers(1, 4))
    def freeze_with_requests_waiting(self, steps, early):
        self.fault()
        if self.sends_until_ms is not None:
            return
        self.frozen = True
        for _ in range(early):
            self.request_arrives(True)
        self.frozen = False
        self.freeze_and_wake(steps, False)


PROOFS = (Proof(slug="planned-stops", machine=DrainProof),)
