"""Proof that a drain rejects no request too early and cuts no stream."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from bergamothill.process.drain import (
    Close,
    DrainBounds,
    Drained,
    DrainMachine,
    DrainTick,
    FailReadiness,
    HandedOver,
    HandOver,
    HandOverFailed,
    LeaseReleased,
    LeaveMembership,
    ReadinessSeen,
    RejectWork,
    ReleaseLeases,
    ShutdownRequested,
    StreamEnded,
    StreamStarted,
    WorkArrived,
)
from tests.proof.harness import Proof, ProofMachine
from tests.proof.require import require

BOUNDS = DrainBounds(notice_ms=2_000, finish_ms=8_000, hand_over_ms=4_000)
MAX_PROBE_INTERVAL_MS = BOUNDS.notice_ms
RELEASE_SLACK_MS = 2_500
STEP_MS = 250
ORDER = (FailReadiness, RejectWork, ReleaseLeases, LeaveMembership, Drained, Close)


class ImmediateStop(DrainMachine):
    """Test double without the mechanism: rejects at once and waits for no stream."""

    def _notice_over(self, now_ms):
        return True

    def _start_release_if_due(self, elapsed_ms, now_ms, effects):
        super()._start_release_if_due(1 << 40, now_ms, effects)


class DrainProof(ProofMachine):
    """A draining entry instance behind a load balancer, with streams, leases and pauses."""

    @initialize()
    def begin(self):
        self.drain = (DrainMachine if self.mechanism_enabled else ImmediateStop)(BOUNDS)
        self.now_ms = 0
        self.stopped_ms = None
        self.paused_ms = 0
        self.frozen = False
        self.balancer_sends_until_ms = None  # None while the instance counts as ready
        self.probed_ms = 0
        self.queued_requests = []
        self.open_streams = {}
        self.handing_over = set()
        self.leases = set()
        self.name_count = 0
        self.seen_effects = []
        self.report = None

    def handle_event(self, event):
        for effect in self.drain.handle(event, self.now_ms):
            self.check_order(effect)
            self.perform(effect)

    def check_order(self, effect):
        if isinstance(effect, ORDER) and not getattr(effect, "stream", None):
            position = ORDER.index(type(effect))
            require(position >= len(self.seen_effects), f"{effect} was repeated or out of order")
            require(
                position == len(self.seen_effects),
                f"{effect} came before {ORDER[len(self.seen_effects)].__name__}",
            )
            self.seen_effects.append(effect)

    def perform(self, effect):
        match effect:
            case HandOver(stream):
                require(
                    stream in self.open_streams, f"handover of {stream}, which is not in progress"
                )
                require(self.open_streams[stream], f"handover of {stream}, which cannot be resumed")
                require(stream not in self.handing_over, f"concurrent second handover of {stream}")
                require(
                    self.drain_time_ms() >= BOUNDS.finish_ms,
                    "handover before the end of the finish period",
                )
                self.handing_over.add(stream)
            case Drained(report):
                self.check_report(report)
            case Close():
                cut = set(self.open_streams) - set(self.report.remaining)
                require(not cut, f"closed with {sorted(cut)} in progress and unreported")

    def check_report(self, report):
        require(
            set(report.remaining) == set(self.open_streams),
            "the report differs from the open streams",
        )
        if report.remaining:
            spent_ms = self.drain_time_ms()
            require(
                spent_ms >= BOUNDS.total_ms, f"abandoned {report.remaining} after {spent_ms} ms"
            )
        require(
            set(report.leases_kept) == self.leases, "the report differs from the leases still held"
        )
        self.report = report

    def drain_time_ms(self):
        return self.now_ms - self.stopped_ms - self.paused_ms

    def arrive(self, name, resumable):
        refused = RejectWork(name) in self.drain.handle(WorkArrived(name), self.now_ms)
        require(not refused, f"{name} rejected before the load balancer saw readiness fail")
        self.open_streams[name] = resumable
        self.handle_event(StreamStarted(name, resumable))

    @rule(milliseconds=st.integers(1, 12))
    def time_passes(self, milliseconds):
        self.operation()
        for _ in range(milliseconds):
            self.now_ms += STEP_MS
            if self.now_ms - self.probed_ms >= MAX_PROBE_INTERVAL_MS:
                self.probe()
            if not self.frozen:
                self.handle_event(DrainTick())
        if self.frozen and self.stopped_ms is not None:
            self.paused_ms += milliseconds * STEP_MS
        if self.stopped_ms is not None and self.report is None:
            max_ms = BOUNDS.total_ms + RELEASE_SLACK_MS
            require(
                self.drain_time_ms() <= max_ms,
                f"not drained {self.drain_time_ms()} ms after the stop",
            )

    def probe(self):
        self.probed_ms = self.now_ms
        if self.frozen:
            self.mark_unready()
        elif not self.drain.ready:
            self.handle_event(ReadinessSeen())
            self.mark_unready()

    def mark_unready(self):
        if self.balancer_sends_until_ms is None:
            self.balancer_sends_until_ms = self.now_ms + BOUNDS.notice_ms - STEP_MS

    @rule()
    def balancer_probes(self):
        self.operation()
        self.probe()

    @rule(resumable=st.booleans())
    def request_arrives(self, resumable):
        self.operation()
        if self.balancer_sends_until_ms is not None and self.now_ms > self.balancer_sends_until_ms:
            return
        self.name_count += 1
        name = f"s{self.name_count}"
        if self.frozen:
            self.queued_requests.append((name, resumable))
        else:
            self.arrive(name, resumable)

    @precondition(lambda self: self.open_streams and not self.frozen)
    @rule(data=st.data())
    def stream_ends(self, data):
        self.operation()
        name = data.draw(st.sampled_from(sorted(self.open_streams)))
        del self.open_streams[name]
        self.handing_over.discard(name)
        self.handle_event(StreamEnded(name))

    @precondition(lambda self: self.handing_over and not self.frozen)
    @rule(succeeds=st.booleans(), data=st.data())
    def hand_over_answers(self, succeeds, data):
        name = data.draw(st.sampled_from(sorted(self.handing_over)))
        self.handing_over.discard(name)
        if succeeds:
            self.operation()
            del self.open_streams[name]
            self.handle_event(HandedOver(name))
        else:
            self.fault()
            self.handle_event(HandOverFailed(name))

    @precondition(lambda self: self.stopped_ms is None)
    @rule()
    def lease_taken(self):
        self.operation()
        self.name_count += 1
        self.leases.add(f"l{self.name_count}")
        self.drain.add_lease(f"l{self.name_count}")

    @precondition(lambda self: self.leases and not self.frozen and self.report is None)
    @rule(data=st.data())
    def lease_ends(self, data):
        self.fault()
        name = data.draw(st.sampled_from(sorted(self.leases)))
        self.leases.discard(name)
        self.handle_event(LeaseReleased(name))

    @precondition(lambda self: not self.frozen and self.report is None)
    @rule()
    def stop(self):
        self.operation()
        if self.stopped_ms is None:
            self.stopped_ms = self.now_ms
        self.handle_event(ShutdownRequested())

    @precondition(lambda self: not self.frozen and self.report is None)
    @rule(steps=st.integers(5, 60), streams_first=st.booleans())
    def freeze_and_wake(self, steps, streams_first):
        self.fault()
        self.frozen = True
        self.time_passes(steps)
        self.frozen = False
        if not streams_first:
            self.handle_event(DrainTick())
        queued, self.queued_requests = self.queued_requests, []
        for name, resumable in queued:
            self.arrive(name, resumable)
        self.handle_event(DrainTick())

    @precondition(lambda self: not self.frozen and self.report is None)
    @rule(steps=st.integers(5, 40), early=st.integers(1, 4))
    def freeze_with_requests_waiting(self, steps, early):
        self.fault()
        if self.balancer_sends_until_ms is not None:
            return
        self.frozen = True
        for _ in range(early):
            self.request_arrives(True)
        self.frozen = False
        self.freeze_and_wake(steps, False)


PROOFS = (Proof(slug="planned-stops", machine=DrainProof),)
