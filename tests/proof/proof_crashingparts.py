"""Proof that parts that crash servers are stopped, and that other parts are not."""

from __future__ import annotations

import random

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from bergamothill.request.partquarantine import PartId, PartQuarantine, Unsuspected
from tests.proof.crashingworld import (
    ENTRIES,
    MODEL,
    SERVERS,
    ZONES,
    Request,
    World,
)
from tests.proof.harness import Proof, ProofMachine
from tests.proof.require import require

CRASHERS = ("x1", "x2")
COMMON = ("p0", "p1", "p2", "p3")
RARE = tuple(f"q{number}" for number in range(12))
STABILITY_WINDOW_MS = 3_000
MAX_SENT_AFTER = 3
CALM_MS = 1_000
MAX_WAIT_MS = 500
MAX_TURNS_WAIT_MS = 3_000
IN_TOUCH_MS = 1_000
SOUND_EVERY_MS = 40
LOSS_GRACE_MS = 500
MIN_SERVERS = 3
LATE_REPORT_MS = 500
MAX_UNDECIDED_RESTARTS = 2

entries = st.sampled_from(ENTRIES)
servers = st.sampled_from(SERVERS)
crashers = st.sampled_from(CRASHERS)


def part_ids(names):
    return frozenset(PartId(MODEL, name) for name in names)


CRASHER_IDS = part_ids(CRASHERS)


class NoQuarantine(PartQuarantine):
    """Test double that forwards everything."""

    def check(self, shared, now_ms):
        return Unsuspected()

    def may_send(self, shared, now_ms):
        return True


class CrashingPartsProof(ProofMachine):
    """Five entry instances and eight servers; two parts crash each server that answers them.

    Oracle 1: later than the stability window after the fifth crash under a part, instances in touch
    send at most three requests with it to servers.
    Oracle 2: no request without such a part is refused; after a second without a disturbance none
    waits for more than half a second while no trial of its parts is running.

    Crashes of other causes hit no part in two trials without an answer with it in between; the
    same goes for crashes that nobody in touch saw, and for the first ones, outside of trials.
    """

    crasher_ids = CRASHER_IDS
    counted_crashes = 5

    @initialize(seed=st.integers(0, 1_000_000))
    def begin(self, seed):
        self.rng = random.Random(seed)
        subject = PartQuarantine if self.mechanism_enabled else NoQuarantine
        self.crash_count = dict.fromkeys(self.crasher_ids, 0)
        self.counted_ms = {}
        self.sent_after = dict.fromkeys(self.crasher_ids, 0)
        self.trial_hits = {}
        self.excused = set()
        self.running_trials = set()
        self.trial_ended_ms = {}
        self.disturbed_ms = 0
        self.undecided_restarts = 0
        self.number = 0
        self.crasher_interval_ms = dict.fromkeys(CRASHERS, 1_000)
        self.world = World(subject, self.crasher_ids, self, self.rng)
        self.world.after(SOUND_EVERY_MS, self.sound_traffic)
        for name in CRASHERS:
            self.world.after(300, lambda name=name: self.crasher_traffic(name))

    # traffic

    def request(self, names):
        self.number += 1
        give_up_ms = self.world.now_ms + self.rng.choice((300, 1_000, 4_000))
        may_repeat = self.rng.random() < 0.5
        return Request(self.number, part_ids(names), may_repeat, give_up_ms)

    def send_sound(self):
        pool = COMMON if self.rng.random() < 0.8 else RARE
        names = self.rng.sample(pool, self.rng.choice((1, 1, 2)))
        self.arrive(names)

    def send_crasher(self, name):
        names = [name]
        if self.rng.random() < 0.7:
            names.insert(self.rng.randrange(2), self.rng.choice(COMMON + RARE))
        if self.rng.random() < 0.05:
            names = list(CRASHERS)
        self.arrive(names)

    def arrive(self, names):
        entry = self.world.entries[self.rng.choice(ENTRIES)]
        self.world.arrive(entry, self.request(names))

    def sound_traffic(self):
        self.send_sound()
        self.world.after(SOUND_EVERY_MS, self.sound_traffic)

    def crasher_traffic(self, name):
        interval_ms = self.crasher_interval_ms[name]
        if interval_ms:
            self.send_crasher(name)
        self.world.after(interval_ms or 1_000, lambda: self.crasher_traffic(name))

    # what the world reports

    def is_in_touch(self, entry):
        is_touched = not (entry.cut_off or entry.paused or entry.quarantine is None)
        return is_touched and self.world.now_ms - entry.out_of_touch_ms > IN_TOUCH_MS

    def sent(self, run):
        if run.tried:
            self.running_trials.add(run)
        if not self.is_in_touch(run.entry):
            return
        for part in run.request.shared & self.crasher_ids:
            counted_ms = self.counted_ms.get(part)
            if counted_ms is None or self.world.now_ms <= counted_ms + STABILITY_WINDOW_MS:
                continue
            self.sent_after[part] += 1
            require(
                self.sent_after[part] <= MAX_SENT_AFTER,
                f"{part.name}: {self.sent_after[part]} requests sent after"
                f" {self.crash_count[part]} crashes",
            )

    def record_hits(self, server, *, may_excuse):
        """Count the trials that a crash of another cause hits; return False if it may not."""
        tried = {part for run in server.runs for part in run.tried} - self.crasher_ids
        hit_before = {part for part in tried if part in self.trial_hits}
        if hit_before and not may_excuse:
            return False
        self.excused |= hit_before
        self.trial_hits.update(dict.fromkeys(tried, self.world.now_ms))
        return True

    def crashed(self, run):
        self.disturb()
        # To those in touch this one is like a crash of another cause.
        if not (run.tried & self.crasher_ids and run.is_open and self.is_in_touch(run.entry)):
            self.record_hits(self.world.servers[run.incarnation.server], may_excuse=True)
        for part in run.request.shared & self.crasher_ids:
            self.crash_count[part] += 1
            if self.crash_count[part] == self.counted_crashes:
                self.counted_ms[part] = self.world.now_ms

    def answered(self, run):
        for part in run.request.shared:
            if run.sent_ms > self.trial_hits.get(part, 0) + LATE_REPORT_MS:
                self.trial_hits.pop(part, None)

    def refused(self, entry, request, verdict):
        is_allowed = (
            not request.shared.isdisjoint(self.crasher_ids)
            or not self.is_in_touch(entry)
            or not self.excused.isdisjoint(verdict.parts)
        )
        require(
            is_allowed,
            f"{entry.name} refused {sorted(p.name for p in request.shared)}",
        )

    def waited(self, entry, request):
        if not request.shared.isdisjoint(self.crasher_ids) or not self.is_in_touch(entry):
            return
        now_ms = self.world.now_ms
        if sum(server.alive for server in self.world.servers.values()) < MIN_SERVERS:
            self.disturb()
        calm_ms = max(self.disturbed_ms + CALM_MS, request.waits_since_ms)
        free_ms = max(calm_ms, self.slot_free_since_ms(request.shared))
        names = sorted(part.name for part in request.shared)
        require(now_ms - free_ms <= MAX_WAIT_MS, f"{names} wait although no trial is running")
        require(now_ms - calm_ms <= MAX_TURNS_WAIT_MS, f"{names} wait for trials of others")

    def slot_free_since_ms(self, parts):
        for run in list(self.running_trials):
            if run.is_open and run.epoch == run.entry.epoch:
                if self.is_in_touch(run.entry) and not run.tried.isdisjoint(parts):
                    return self.world.now_ms
            else:
                self.running_trials.discard(run)
                self.trial_ended_ms.update(dict.fromkeys(run.tried, self.world.now_ms))
        return max(self.trial_ended_ms.get(part, 0) for part in parts)

    # operations

    @rule(duration_ms=st.sampled_from((50, 200, 500, 1_000)))
    def time_passes(self, duration_ms):
        self.operation()
        self.world.run_for(duration_ms)

    @rule()
    def calm(self):
        """Let requests come without crashes for long enough to tell which of them still wait."""
        self.operation()
        intervals = self.crasher_interval_ms
        self.crasher_interval_ms = dict.fromkeys(CRASHERS, 0)
        self.world.run_for(CALM_MS + MAX_WAIT_MS + 300)
        self.crasher_interval_ms = intervals

    @rule(name=crashers, count=st.integers(1, 5), spread_ms=st.sampled_from((0, 20, 100)))
    def crashers_arrive(self, name, count, spread_ms):
        self.operation()
        for _ in range(count):
            self.send_crasher(name)
            self.world.run_for(spread_ms)

    @rule(count=st.integers(1, 20))
    def sound_requests_arrive(self, count):
        self.operation()
        for _ in range(count):
            self.send_sound()
        self.world.run_for(20)

    @rule(name=crashers, interval_ms=st.sampled_from((0, 200, 1_000)))
    def crasher_rate_changes(self, name, interval_ms):
        self.operation()
        self.crasher_interval_ms[name] = interval_ms

    # faults

    def disturb(self):
        self.disturbed_ms = self.world.now_ms

    def crash_of_other_cause(self, names):
        self.disturb()
        for name in names:
            server = self.world.servers[name]
            is_settled = self.world.now_ms - server.lost_ms > LOSS_GRACE_MS
            if server.alive and is_settled and self.record_hits(server, may_excuse=False):
                self.world.crash(server)
        self.world.run_for(10)

    @rule(name=servers)
    def server_crashes(self, name):
        self.fault()
        self.crash_of_other_cause([name])

    @rule(zone=st.sampled_from(sorted(ZONES)))
    def zone_crashes(self, zone):
        self.fault()
        self.crash_of_other_cause(ZONES[zone])

    @rule(names=st.sets(servers, min_size=1), share=st.sampled_from((0.3, 1.0)))
    def answers_are_lost(self, names, share):
        self.fault()
        self.disturb()
        for name in sorted(names):
            self.world.lose_connections(self.world.servers[name], share)
        self.world.run_for(10)

    @rule(loss=st.sampled_from((0.0, 0.0, 0.3)), max_delay_ms=st.sampled_from((3, 3, 50, 400)))
    def datagrams_suffer(self, loss, max_delay_ms):
        self.fault()
        self.disturb()
        self.world.loss = loss
        self.world.max_delay_ms = max_delay_ms

    @rule(name=entries, duration_ms=st.sampled_from((50, 500, 5_000)))
    def instance_freezes(self, name, duration_ms):
        self.fault()
        self.disturb()
        entry = self.world.entries[name]
        if entry.quarantine is not None and not entry.paused:
            entry.paused = True
            self.world.after(duration_ms, lambda: self.world.resume(entry))
        self.world.run_for(10)

    @rule(name=entries, duration_ms=st.sampled_from((500, 5_000)))
    def instance_is_cut_off(self, name, duration_ms):
        self.fault()
        self.disturb()
        entry = self.world.entries[name]
        if not entry.cut_off:
            entry.cut_off = True
            self.world.after(duration_ms, lambda: self.heal(entry))
        self.world.run_for(10)

    def heal(self, entry):
        self.disturb()
        entry.cut_off = False
        entry.out_of_touch_ms = self.world.now_ms

    @rule(name=entries, down_ms=st.sampled_from((50, 1_000)))
    def instance_restarts(self, name, down_ms):
        self.fault()
        self.disturb()
        self.world.stop(self.world.entries[name], down_ms)
        self.world.run_for(10)

    def undecided(self):
        verdicts = self.world.stored.verdicts
        singles = {part for v in verdicts if len(v.parts) == 1 for part in v.parts}
        return any(count and part not in singles for part, count in self.crash_count.items())

    @precondition(
        lambda self: self.undecided_restarts < MAX_UNDECIDED_RESTARTS or not self.undecided()
    )
    @rule(down_ms=st.sampled_from((50, 1_000)))
    def all_instances_restart(self, down_ms):
        self.fault()
        self.disturb()
        self.undecided_restarts += self.undecided()
        for entry in self.world.entries.values():
            self.world.stop(entry, down_ms)
        self.world.run_for(down_ms + 10)


PROOFS = (Proof(slug="crashing-parts", machine=CrashingPartsProof),)
