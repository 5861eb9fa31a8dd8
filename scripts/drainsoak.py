"""Stop entry instances under load and list requests that were read but not wholly answered.

Usage: ``python -m scripts.drainsoak --layout kowhai-mend --seed 1 --rounds 2``. The exit code is 1
if there is a violation, or a request that a server got through a stopped instance has no line in
the instance's log, or several.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import re
import shutil
import signal
import sys
from collections import Counter
from dataclasses import dataclass, replace
from enum import Enum
from pathlib import Path
from typing import Any

from scripts.callerload import Balancer, CallerHabit, CallerRecord, Ending, now_ms, run_caller
from scripts.platformfleet import LAYOUTS, EntryNode, FleetShape, PlatformFleet
from scripts.processes import ProcessGroup
from scripts.stopdisturbance import Disturbance, StopSignals, disturb_round

__all__ = ["Finding", "SoakResult", "Stop", "StopJudge", "Verdict", "main", "run_soak"]

LOSS_SLACK_MS = 200
LATEST_EXCUSED_MS = 3_000
EXCUSED_SHARE_OF_GRACE = 1 / 6
AFTER_GRACE_MS = 1_000
SETTLE_S = 2.0
CALLERS_PER_HABIT = 6
EXIT_VIOLATION = 1
STATUS_UNKNOWN_OUTCOME = 502
EXIT_INTERRUPTED = 2
ZONE_SHARE = 0.5
"""Share of the rounds with several stops in which these are in one zone."""

TIGHT_MEMORY_MB = 112
TIGHT_DESCRIPTORS = 900
_LINE = re.compile(r"part=gateway event=request(?:_dropped)? request=(\S+)")


@dataclass(frozen=True)
class Stop:
    """One SIGTERM.

    :param node: name of the entry instance
    :param signalled_ms: when it got the signal
    :param exited_ms: when its process had ended
    :param was_killed: whether it had to be killed
    :param paused_ms: when it was paused by SIGSTOP; None if it was not
    """

    node: str
    signalled_ms: float
    exited_ms: float
    was_killed: bool
    paused_ms: float | None = None


class Verdict(Enum):
    """What the rule says of a request without a whole answer around a SIGTERM."""

    VIOLATION = "violations"
    CUT_AT_END = "cut_at_end"
    """Sent early enough, and its server was at work to the end of the grace period."""

    TIMED_OUT = "timed_out"
    """Ended at its time limit."""

    CROSSED = "crossed"
    """Crossed the close of its connection and was not sent to a server."""

    BEHIND_CUT = "behind_cut"
    """Pipelined behind a stream that was cut as allowed; HTTP has no place for an answer."""

    PAUSED = "paused"
    """Would be a violation, but its instance was paused before, which is unplanned."""


@dataclass(frozen=True)
class Finding:
    """A request that was not wholly answered.

    :param record: request as its caller saw it
    :param stop: signal around which it was lost
    :param server: what the servers know of it; None if none has seen it
    :param verdict: what the rule says
    """

    record: CallerRecord
    stop: Stop
    server: dict[str, Any] | None
    verdict: Verdict

    def __str__(self) -> str:
        """Return one line with times relative to the signal."""
        record, start = self.record, self.stop.signalled_ms
        return (
            f"{self.verdict.value}: no whole answer around SIGTERM to {self.stop.node}: "
            f"id {record.request} "
            f"{record.kind.name}/{record.kind.kind} {record.habit.value} "
            f"sent {record.sent_ms - start:+.0f} ms, {record.ending.value} "
            f"{record.ended_ms - start:+.0f} ms, status {record.status}, "
            f"{record.received} bytes, exit {self.stop.exited_ms - start:+.0f} ms, "
            f"server {self._server_times()}"
        )

    def _server_times(self) -> str:
        if self.server is None:
            return "not reached"
        times = [self.server["begun_ms"], self.server["ended_ms"]]
        shown = ["-" if at is None else f"{at - self.stop.signalled_ms:+.0f}" for at in times]
        return f"{self.server['outcome']} {shown[0]}..{shown[1]} ms"


class StopJudge:
    """Applies the rule for requests around a SIGTERM.

    :param grace_ms: time from SIGTERM to SIGKILL
    """

    def __init__(self, grace_ms: float) -> None:
        self._grace_ms = grace_ms

    def findings(
        self, records: list[CallerRecord], stops: list[Stop], seen: dict[str, dict[str, Any]]
    ) -> list[Finding]:
        """Return the requests without a whole answer around a signal.

        :param records: all requests
        :param stops: all signals
        :param seen: what the servers know, by request id
        """
        found = []
        for record in records:
            if not record.sent_ms:
                continue
            if record.ending not in (Ending.CLOSED, Ending.RESET):
                found += self._taken_too_late(record, stops, seen)
                continue
            for stop in stops:
                if self._is_around(record, stop):
                    verdict = self._verdict(record, stop, seen)
                    if verdict is Verdict.VIOLATION and self._was_paused(record, stop):
                        verdict = Verdict.PAUSED
                    found.append(Finding(record, stop, seen.get(record.request), verdict))
        return found

    def _taken_too_late(
        self, record: CallerRecord, stops: list[Stop], seen: dict[str, dict[str, Any]]
    ) -> list[Finding]:
        """Return a request that was passed on so late that its answer was given up."""
        if record.status != STATUS_UNKNOWN_OUTCOME:
            return []
        stop = next((stop for stop in stops if self._is_around(record, stop)), None)
        if stop is None or record.sent_ms - stop.signalled_ms <= LATEST_EXCUSED_MS:
            return []
        return [Finding(record, stop, seen.get(record.request), Verdict.VIOLATION)]

    def _is_around(self, record: CallerRecord, stop: Stop) -> bool:
        end_ms = stop.signalled_ms + self._grace_ms + AFTER_GRACE_MS
        is_after = stop.signalled_ms <= record.ended_ms
        # A caller that does not read sees the end of its connection late.
        is_before_end = record.ended_ms - record.unread_ms <= end_ms
        return record.node == stop.node and is_after and is_before_end

    def _was_paused(self, record: CallerRecord, stop: Stop) -> bool:
        ended_ms = min(record.ended_ms, stop.exited_ms)
        return stop.paused_ms is not None and ended_ms >= stop.paused_ms

    def _verdict(
        self, record: CallerRecord, stop: Stop, seen: dict[str, dict[str, Any]]
    ) -> Verdict:
        ended_ms = min(record.ended_ms, stop.exited_ms)
        if ended_ms - record.sent_ms >= record.kind.timeout_ms:
            return Verdict.TIMED_OUT
        server = seen.get(record.request)
        if server is not None:
            is_cut = self._is_excused_cut(record, stop, server)
            return Verdict.CUT_AT_END if is_cut else Verdict.VIOLATION
        if ended_ms - record.sent_ms <= LOSS_SLACK_MS:
            return Verdict.CROSSED
        before = record.behind
        if before is not None and before.ending is record.ending:
            return _behind(self._verdict(before, stop, seen))
        return Verdict.VIOLATION

    def _is_excused_cut(self, record: CallerRecord, stop: Stop, server: dict[str, Any]) -> bool:
        last_part_ms = stop.signalled_ms + self._grace_ms * (1 - EXCUSED_SHARE_OF_GRACE)
        was_at_work = server["ended_ms"] is None or server["ended_ms"] >= last_part_ms
        return record.sent_ms - stop.signalled_ms <= LATEST_EXCUSED_MS and was_at_work


def _behind(before: Verdict) -> Verdict:
    is_cut = before in (Verdict.CUT_AT_END, Verdict.BEHIND_CUT, Verdict.TIMED_OUT)
    return Verdict.BEHIND_CUT if is_cut else Verdict.VIOLATION


class Soak:
    """One run of stops under load.

    :param fleet: running deployment
    :param draw: source of randomness
    """

    def __init__(self, fleet: PlatformFleet, draw: random.Random) -> None:
        self._fleet = fleet
        self._draw = draw
        self.records: list[CallerRecord] = []
        self.stops: list[Stop] = []
        self.disturbances: list[Disturbance] = []

    async def run(self, rounds: int, callers_per_habit: int) -> None:
        """Stop instances for a number of rounds while callers send requests."""
        balancer = Balancer(lambda: self._fleet.nodes)
        stopped = asyncio.Event()
        checks = asyncio.ensure_future(balancer.run())
        callers = [
            asyncio.ensure_future(
                run_caller(
                    habit,
                    list(self._fleet.shape.kinds),
                    balancer,
                    random.Random(self._draw.random()),
                    self.records,
                    stopped,
                )
            )
            for habit in CallerHabit
            for _ in range(callers_per_habit)
        ]
        await asyncio.sleep(SETTLE_S)
        for _ in range(rounds):
            await self._round()
            await asyncio.sleep(SETTLE_S)
        stopped.set()
        await asyncio.wait(callers)
        checks.cancel()

    async def _round(self) -> None:
        numbers = self._draw_instances()
        disturbance = self._draw.choice(list(Disturbance))
        self.disturbances.append(disturbance)
        done = asyncio.Event()
        disturbing = asyncio.ensure_future(
            disturb_round(self._fleet, disturbance, self._draw, numbers, done)
        )
        stops = []
        for number in numbers:
            stops.append(asyncio.ensure_future(self._stop(number)))
            await asyncio.sleep(self._draw.choice((0.0, 0.3, 1.5)))
        await asyncio.gather(*stops)
        done.set()
        await disturbing

    def _draw_instances(self) -> list[int]:
        """Draw the instances that stop, for half of the rounds in one zone."""
        count, total = self._draw.choice((1, 1, 2, 3)), len(self._fleet.nodes)
        numbers = self._draw.sample(range(total), count)
        if self._draw.random() < ZONE_SHARE:
            zones = len(self._fleet.shape.zones)
            first = numbers[0]
            numbers = [number for number in range(total) if (number - first) % zones == 0][:count]
        return numbers

    async def _stop(self, number: int) -> None:
        node = self._fleet.nodes[number]
        await asyncio.sleep(self._draw.uniform(0.5, 1.5))
        signals = StopSignals.drawn(self._draw, self._fleet.shape.grace_s)
        if signals.reload_s is not None and signals.reload_s < 0:
            node.signal(signal.SIGHUP)
            signals = replace(signals, reload_s=None)
        signalled_ms = now_ms()
        node.terminate()
        sending = asyncio.ensure_future(signals.send(node))
        was_killed = await self._wait_for_exit(node, signalled_ms)
        exited_ms = now_ms()
        sending.cancel()
        paused_ms = None if signals.pause_s is None else signalled_ms + 1_000 * signals.pause_s
        self.stops.append(Stop(node.name, signalled_ms, exited_ms, was_killed, paused_ms))
        await asyncio.sleep(0.5)
        self._fleet.nodes[number] = self._fleet.start_node(number)

    async def _wait_for_exit(self, node: EntryNode, signalled_ms: float) -> bool:
        while node.process.poll() is None:
            if now_ms() - signalled_ms >= self._fleet.shape.grace_s * 1_000:
                await asyncio.to_thread(node.kill)
                return True
            await asyncio.sleep(0.01)
        return False


@dataclass(frozen=True)
class SoakResult:
    """What a soak has found.

    :param soak: the run
    :param findings: requests without a whole answer
    :param unlogged: requests that reached a server through a stopped instance, without exactly one
        line in its log
    """

    soak: Soak
    findings: list[Finding]
    unlogged: list[CallerRecord]

    @property
    def violations(self) -> list[Finding]:
        """Findings that break the rule."""
        return [finding for finding in self.findings if finding.verdict is Verdict.VIOLATION]


def _unlogged(
    fleet: PlatformFleet, soak: Soak, seen: dict[str, dict[str, Any]]
) -> list[CallerRecord]:
    """Return the requests at instances that ended by themselves without exactly one line."""
    lines: Counter[str] = Counter()
    for node in fleet.nodes:
        lines.update(_LINE.findall(node.log_path.read_text(encoding="utf-8")))
    ends_ms = {stop.node: stop.exited_ms for stop in soak.stops}
    killed = {stop.node for stop in soak.stops if stop.was_killed}
    return [
        record
        for record in soak.records
        if record.request in seen
        and record.node not in killed
        and record.sent_ms <= ends_ms.get(record.node, 0.0)
        and lines[record.request] != 1
    ]


def run_soak(
    shape: FleetShape, seed: int, rounds: int, callers_per_habit: int, logs: Path | None = None
) -> SoakResult:
    """Start a deployment, stop its instances under load, and judge.

    :param shape: layout of the deployment
    :param seed: seed of all draws; instances have little memory and few descriptors for odd ones
    :param rounds: rounds of stops
    :param callers_per_habit: callers of each habit
    :param logs: folder for the logs of the instances; None discards them
    """
    if seed % 2:
        shape = replace(shape, memory_mb=TIGHT_MEMORY_MB, descriptors=TIGHT_DESCRIPTORS)
    with ProcessGroup() as group:
        fleet = PlatformFleet.start(group, shape)
        soak = Soak(fleet, random.Random(seed))
        asyncio.run(soak.run(rounds, callers_per_habit))
        seen = fleet.seen()
        unlogged = _unlogged(fleet, soak, seen)
        if logs is not None:
            shutil.copytree(group.folder, logs, dirs_exist_ok=True)
    findings = StopJudge(shape.grace_s * 1_000).findings(soak.records, soak.stops, seen)
    return SoakResult(soak, findings, unlogged)


def main(argv: list[str]) -> int:
    """Run one soak and print its result.

    :param argv: command-line arguments
    :returns: 1 if there is a violation
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--layout", choices=sorted(LAYOUTS), default="kowhai-mend")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--callers", type=int, default=CALLERS_PER_HABIT)
    parser.add_argument("--logs", type=Path, help="folder for the logs of the instances")
    parser.add_argument("--verbose", action="store_true", help="print what is excused too")
    options = parser.parse_args(argv)
    # The processes of the deployment are stopped on the way out.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_INTERRUPTED))
    result = run_soak(
        LAYOUTS[options.layout], options.seed, options.rounds, options.callers, options.logs
    )
    shown = list(Verdict) if options.verbose else [Verdict.VIOLATION, Verdict.PAUSED]
    for finding in result.findings:
        if finding.verdict in shown:
            print(finding)
    for record in result.unlogged:
        print(f"unlogged: {record}")
    for stop in result.soak.stops:
        if stop.was_killed:
            print(f"killed: {stop}")
    print(f"drainsoak layout={options.layout} seed={options.seed} {_summary(result)}")
    return EXIT_VIOLATION if result.violations or result.unlogged else 0


def _summary(result: SoakResult) -> str:
    """Return the counts of a soak as pairs of name and value."""
    soak = result.soak
    verdicts = Counter(finding.verdict for finding in result.findings)
    endings = Counter(record.ending.value for record in soak.records)
    counts = {
        "stops": len(soak.stops),
        "killed": sum(stop.was_killed for stop in soak.stops),
        "beside": ",".join(disturbance.value for disturbance in soak.disturbances),
        "requests": len(soak.records),
        **dict(sorted(endings.items())),
        **{verdict.value: verdicts[verdict] for verdict in Verdict},
        "unlogged": len(result.unlogged),
    }
    return " ".join(f"{name}={value}" for name, value in counts.items())


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
