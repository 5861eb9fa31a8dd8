"""Simulated servers in slow start, with real paces and shares at each entry instance.

``python -m tests.paceworld`` prints the figures of ``docs/design/pace.md``.
"""

from __future__ import annotations

import random

from bergamothill.process.serverlimits import ServerLimits
from bergamothill.request.pace import AdditivePace, GradientPace
from tests.builders import backend, joined_roster
from tests.proof.eventworld import EventWorld
from tests.proof.proof_coldservers import cold_services

WORK_MS = 90
SLOTS = 6
QUEUE = 24
DUE_MS = 385
DEMAND_PER_SERVER = 40.0
REPORT_MS = 300
CHECK_MS = 100
HEALTHY_MS = 3_000
COMPARABLE = 0.9


class PacedServer:
    """Server with slots and a queue; the first ``healthy_ms`` it works slowly, or for good."""

    def __init__(self, name, *, slow=1.0, healthy_ms=0, crash_per_s=None, cold_ms=0):
        self.entry = backend(name, cold_remaining_ms=cold_ms)
        self.slow, self.healthy_ms, self.crash_per_s = slow, healthy_ms, crash_per_s
        self.free_ms = [0.0] * SLOTS
        self.arrivals_ms = []
        self.late = self.crashes = 0
        self.down_until_ms = -1


class PaceWorld(EventWorld):
    """Instances that send to servers in slow start whatever their shares allow.

    :param controller: makes the controller of each instance
    :param servers: servers that have just become usable
    :param paced: whether there is a slow start
    """

    def __init__(
        self,
        controller,
        servers,
        *,
        count=33,
        paced=True,
        seed=1,
        loss=0.0,
        cut=None,
        again_ms=None,
    ):
        super().__init__(random.Random(seed), now_ms=0)
        names = [f"e{number}" for number in range(count)]
        self.servers, self.loss, self.cut = servers, loss, cut
        self.instances = {}
        for name in names:
            limits = ServerLimits(joined_roster(name, names))
            limits.pace = type(limits.pace)(controller())
            limits.set_services(cold_services())
            limits.cold.record_list((), 0, 0, 4_800)
            limits.cold.record_list([s.entry for s in servers], 0, 0, 4_800)
            for _ in range(5):
                limits.pace.record_answer(backend("s9"), 0, WORK_MS, 0, 0)
            if paced:
                for server in servers:
                    limits.pace.begin(server.entry, "start", 0, 0, 9)
            self.instances[name] = limits
        interval_ms = 1_000 * count / DEMAND_PER_SERVER
        for name in names:
            for server in servers:
                self.after(
                    self.rng.randrange(int(interval_ms)),
                    lambda n=name, s=server: self.demand(n, s, interval_ms),
                )
            self.after(self.rng.randrange(REPORT_MS), lambda n=name: self.tell(n))
        self.after(CHECK_MS, self.check)
        if again_ms is not None and paced:
            self.after(again_ms, self.recover)

    def recover(self):
        for server in self.servers:
            server.arrivals_ms.clear()
            for limits in self.instances.values():
                limits.pace.begin(server.entry, "silence", self.now_ms, 0, 9)

    def tell(self, name):
        report = self.instances[name].pace.report(name, self.now_ms)
        for peer, limits in self.instances.items():
            is_cut = self.cut in (peer, name)
            if peer != name and report.paces and not is_cut and self.rng.random() >= self.loss:
                self.after(2, lambda limits=limits: limits.pace.merge(report, self.now_ms))
        self.after(REPORT_MS, lambda: self.tell(name))

    def check(self):
        for server in self.servers:
            recent = sum(at > self.now_ms - 1_000 for at in server.arrivals_ms)
            for limits in self.instances.values():
                limits.share_per_s(server.entry, self.now_ms)
                limits.cold.record_list([server.entry], self.now_ms, self.now_ms, 4_800)
                limits.pace.end_if_busy(server.entry, recent, DEMAND_PER_SERVER, self.now_ms)
        self.after(CHECK_MS, self.check)

    def demand(self, name, server, interval_ms):
        """Send at the rate that comparable servers get, if the share allows it now."""
        limits = self.instances[name]
        wait_ms = limits.wait_ms(server.entry, self.now_ms)
        if wait_ms == 0 and self.now_ms >= server.down_until_ms:
            limits.spend(server.entry, self.now_ms)
            if limits.may_send(server.entry, None, self.now_ms):
                self.arrive(limits, server)
        jitter_ms = 1 + self.rng.randrange(int(2 * interval_ms))
        # Callers of one instance wait for a share that comes sooner than their next request.
        self.after(
            min(wait_ms or jitter_ms, jitter_ms), lambda: self.demand(name, server, interval_ms)
        )

    def arrive(self, limits, server):
        now_ms, entry = self.now_ms, server.entry
        server.arrivals_ms.append(now_ms)
        recent = sum(at > now_ms - 1_000 for at in server.arrivals_ms[-200:])
        if server.crash_per_s is not None and recent > server.crash_per_s:
            server.crashes += 1
            server.down_until_ms = now_ms + 1_000
            server.free_ms = [0.0] * SLOTS
            for other in self.instances.values():
                other.pace.record_failure(entry, now_ms - 300, now_ms)
                other.pace.begin(entry, "backoff", server.down_until_ms, 0, 9)
            return
        slot = min(range(SLOTS), key=server.free_ms.__getitem__)
        start_ms = max(now_ms, server.free_ms[slot])
        if start_ms - now_ms > QUEUE / SLOTS * WORK_MS:
            limits.pace.record_rejection(entry, now_ms, now_ms)
            server.late += 1
            return
        factor = server.slow if now_ms < server.healthy_ms else 1.0
        server.free_ms[slot] = start_ms + WORK_MS * factor * self.rng.uniform(0.9, 1.3)
        took_ms = round(server.free_ms[slot] - now_ms)
        server.late += took_ms > DUE_MS
        self.after(
            took_ms, lambda: limits.pace.record_answer(entry, 0, took_ms, now_ms, now_ms + took_ms)
        )


def rate_reached_ms(server, from_ms):
    """Return when a server first got nine tenths of the rate of the others in a second."""
    for at_ms in range(from_ms + 100, from_ms + 20_000, 100):
        got = sum(at_ms - 1_000 < at <= at_ms for at in server.arrivals_ms)
        if got >= COMPARABLE * DEMAND_PER_SERVER:
            return at_ms - from_ms
    return None


CASES = {
    "healthy at once": ([{}], 0, {}),
    "cold for 3 s": ([{"cold_ms": HEALTHY_MS}], HEALTHY_MS, {}),
    "slow for 3 s": ([{"slow": 6.0, "healthy_ms": HEALTHY_MS}], HEALTHY_MS, {}),
    "slow for good": ([{"slow": 6.0, "healthy_ms": 10**9}], 0, {}),
    "crashes above 25/s": ([{"crash_per_s": 25}], 0, {}),
    "recovers again after 4 s": ([{}], 4_000, {"again_ms": 4_000}),
    "twenty at once": ([{}] * 20, 0, {}),
    "half of the reports lost": ([{}], 0, {"loss": 0.5}),
    "one of 33 partitioned": ([{}], 0, {"cut": "e0"}),
}


def run(controller, case, *, paced=True, duration_ms=12_000, seed=1):
    """Return the world after a case."""
    servers, _, options = CASES[case]
    made = [PacedServer(f"s{number}", **row) for number, row in enumerate(servers, 1)]
    world = PaceWorld(controller, made, paced=paced, seed=seed, **options)
    world.run_for(duration_ms)
    return world


def most_in_a_second(server, until_ms):
    """Return the most requests in any second that begins before a time."""
    begins = [at for at in server.arrivals_ms if at < until_ms]
    return max(sum(at <= ms < at + 1_000 for ms in server.arrivals_ms) for at in begins)


def main():
    for case, (_, from_ms, _) in CASES.items():
        for name, controller, paced in (
            ("none", GradientPace, False),
            ("additive", AdditivePace, True),
            ("gradient", GradientPace, True),
        ):
            servers = run(controller, case, paced=paced).servers
            reached = [rate_reached_ms(server, from_ms) for server in servers]
            sent = sum(len(server.arrivals_ms) for server in servers)
            late = sum(server.late for server in servers)
            crashes = sum(server.crashes for server in servers)
            worst = "never" if None in reached else max(reached)
            print(f"{case} | {name} | {worst} | {sent} | {late} | {crashes}")


if __name__ == "__main__":
    main()
