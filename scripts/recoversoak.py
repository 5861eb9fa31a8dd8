"""Cut entry instances from all servers under load and judge by rule RECOVER.

Usage: ``python -m scripts.recoversoak --layout kowhai-mend --seed 1 --cut one --how hang``. The
exit code is 1 if there is a violation.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import shutil
import signal
import sys
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from pathlib import Path

from bergamothill.process.zonereaders import READERS_PER_ZONE
from scripts.callerload import CallerHabit, CallerRecord, Connection, Ending, ZoneBalancer, now_ms
from scripts.platformfleet import LAYOUTS, EntryNode, FleetShape, PlatformFleet
from scripts.processes import ProcessGroup
from standins.links import LinkState

__all__ = ["Cut", "CutScope", "RecoverFigures", "Recovery", "chosen_nodes", "judge", "main"]

WINDOW_MS = 3_000
MIN_SHARE = 2 / 3
FAILURE_SLACK = 10
FAILURE_SHARE = 1 / 50
SUCCESSES = range(200, 300)
CUT_S = 12.0
SETTLE_S = 2.0
CALLERS = 72
NEW_CONNECTION_SHARE = 1 / 4
REQUESTS_PER_S = 1.5
EXIT_VIOLATION = 1
EXIT_INTERRUPTED = 2


class CutScope(Enum):
    """Which instances lose the servers."""

    ONE = "one"
    ONE_PER_ZONE = "one-per-zone"
    ZONE = "zone"
    FIVE_OF_SIX = "five-of-six"


@dataclass(frozen=True)
class Cut:
    """One time in which some instances reached no server.

    :param nodes: names of the instances
    :param how: how their links behaved
    :param begun_ms: when it began
    :param ended_ms: when it ended
    """

    nodes: frozenset[str]
    how: LinkState
    begun_ms: float
    ended_ms: float


@dataclass(frozen=True)
class RecoverFigures:
    """First tries that were sent in the judged time of a cut.

    :param cut: the cut
    :param tries: number at instances that were cut
    :param served: number of these that were served
    :param others_tries: number at the other instances
    :param others_served: number of these that were served
    """

    cut: Cut
    tries: int
    served: int
    others_tries: int
    others_served: int

    @property
    def is_broken(self) -> bool:
        """Whether the rule is broken."""
        failed = self.tries - self.served
        is_rarer = self.served * self.others_tries < MIN_SHARE * self.others_served * self.tries
        return is_rarer and failed > FAILURE_SLACK + FAILURE_SHARE * self.tries

    def __str__(self) -> str:
        """Return the figures."""
        return (
            f"how={self.cut.how.value} cut={len(self.cut.nodes)} "
            f"served={self.served}/{self.tries} others={self.others_served}/{self.others_tries} "
            f"{'broken' if self.is_broken else 'kept'}"
        )


def is_served(record: CallerRecord) -> bool:
    """Return whether a request got its whole answer within its time limit."""
    kind = record.kind
    return (
        record.ending is Ending.WHOLE
        and record.status in SUCCESSES
        and record.received >= kind.size * max(1, kind.events)
        and record.ended_ms - record.sent_ms <= kind.timeout_ms
    )


def judge(records: Iterable[CallerRecord], cut: Cut) -> RecoverFigures:
    """Count the first tries in the judged time of a cut.

    :param records: all requests, each sent once
    """
    judged = [r for r in records if cut.begun_ms + WINDOW_MS <= r.sent_ms <= cut.ended_ms]
    here = [record for record in judged if record.node in cut.nodes]
    others = [record for record in judged if record.node not in cut.nodes]
    return RecoverFigures(
        cut, len(here), sum(map(is_served, here)), len(others), sum(map(is_served, others))
    )


def chosen_nodes(scope: CutScope, nodes: list[EntryNode], draw: random.Random) -> list[EntryNode]:
    """Return the instances to cut.

    :param nodes: all instances
    :param draw: source of randomness
    """
    if scope is CutScope.ONE:
        return [draw.choice(nodes)]
    if scope is CutScope.FIVE_OF_SIX:
        return draw.sample(nodes, len(nodes) * 5 // 6)
    zones = sorted({node.zone for node in nodes})
    by_zone = [[node for node in nodes if node.zone == zone] for zone in zones]
    if scope is CutScope.ZONE:
        return draw.choice(by_zone)
    return [draw.choice(members) for members in by_zone]


class Recovery:
    """Callers and cuts on a running deployment whose links can be cut.

    :param fleet: the deployment
    :param draw: source of randomness
    """

    def __init__(self, fleet: PlatformFleet, draw: random.Random) -> None:
        self._fleet = fleet
        self._draw = draw
        self.records: list[CallerRecord] = []

    async def run(
        self, scope: CutScope, how: LinkState, rounds: int, cut_s: float, callers: int
    ) -> list[RecoverFigures]:
        """Cut instances for a number of rounds while callers send requests.

        :param scope: which instances to cut
        :param how: how their links behave meanwhile
        :param rounds: number of cuts
        :param cut_s: duration of a cut
        :param callers: number of callers
        :returns: figures of each cut
        """
        stopped = asyncio.Event()
        zones = sorted({node.zone for node in self._fleet.nodes})
        balancers = [ZoneBalancer(lambda: self._fleet.nodes, zone) for zone in zones]
        checks = [asyncio.ensure_future(balancer.run()) for balancer in balancers]
        tasks = [
            asyncio.ensure_future(
                self._call(
                    balancers[number % len(zones)],
                    random.Random(self._draw.random()),
                    stopped,
                )
            )
            for number in range(callers)
        ]
        await asyncio.sleep(SETTLE_S)
        cuts = []
        for _ in range(rounds):
            cuts.append(await self._cut(scope, how, cut_s))
            await asyncio.sleep(SETTLE_S)
        stopped.set()
        await asyncio.gather(*tasks)
        for check in checks:
            check.cancel()
        return [judge(self.records, cut) for cut in cuts]

    async def _cut(self, scope: CutScope, how: LinkState, cut_s: float) -> Cut:
        nodes = chosen_nodes(scope, self._fleet.nodes, self._draw)
        await asyncio.sleep(self._draw.random())
        begun_ms = now_ms()
        await self._set_links(nodes, how)
        await asyncio.sleep(cut_s)
        ended_ms = now_ms()
        await self._set_links(nodes, LinkState.OPEN)
        return Cut(frozenset(node.name for node in nodes), how, begun_ms, ended_ms)

    async def _set_links(self, nodes: list[EntryNode], state: LinkState) -> None:
        numbers = [self._fleet.nodes.index(node) for node in nodes]
        set_links = self._fleet.set_links
        await asyncio.gather(*(asyncio.to_thread(set_links, n, state) for n in numbers))

    async def _call(
        self, balancer: ZoneBalancer, draw: random.Random, stopped: asyncio.Event
    ) -> None:
        """Send requests at random moments, also while earlier ones have no answer yet."""
        keeps = draw.random() >= NEW_CONNECTION_SHARE
        habit = CallerHabit.KEEPS if keeps else CallerHabit.NEW
        idle: list[Connection] = []
        tries: list[asyncio.Task[None]] = []
        while not stopped.is_set():
            await asyncio.sleep(draw.expovariate(REQUESTS_PER_S))
            connection = idle.pop() if idle else Connection(balancer.choose(draw))
            request, kind = f"{draw.getrandbits(64):016x}", draw.choice(self._fleet.shape.kinds)
            record = CallerRecord(request, kind, habit, connection.node.name)
            self.records.append(record)
            tries.append(asyncio.ensure_future(_try_once(connection, record, idle)))
        await asyncio.gather(*tries)
        for connection in idle:
            connection.close()


async def _try_once(connection: Connection, record: CallerRecord, idle: list[Connection]) -> None:
    record.sent_ms = now_ms()
    try:
        if not connection.is_open:
            await connection.open()
        await connection.send(record)
    except OSError:
        record.ending, record.ended_ms = Ending.NOT_CONNECTED, now_ms()
        connection.close()
        return
    await connection.receive()
    if record.habit is CallerHabit.NEW:
        connection.close()
    elif connection.is_open:
        idle.append(connection)


def run_soak(
    shape: FleetShape,
    seed: int,
    scope: CutScope,
    how: LinkState,
    rounds: int,
    *,
    callers: int = CALLERS,
    logs: Path | None = None,
) -> list[RecoverFigures]:
    """Start a deployment, cut its instances under load, and judge.

    :param shape: layout of the deployment
    :param seed: seed of all draws
    :param scope: which instances to cut
    :param how: how their links behave
    :param rounds: number of cuts
    :param callers: number of callers
    :param logs: folder for the logs of the instances; None discards them
    """
    # Instances of larger zones tell each other what they read, the addresses of links included.
    shape = replace(shape, nodes=min(shape.nodes, READERS_PER_ZONE * len(shape.zones)))
    with ProcessGroup() as group:
        fleet = PlatformFleet.start(group, shape, has_links=True)
        recovery = Recovery(fleet, random.Random(seed))
        figures = asyncio.run(recovery.run(scope, how, rounds, CUT_S, callers))
        if logs is not None:
            shutil.copytree(group.folder, logs, dirs_exist_ok=True)
    return figures


def main(argv: list[str]) -> int:
    """Run one soak and print its result.

    :param argv: command-line arguments
    :returns: 1 if there is a violation
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--layout", choices=sorted(LAYOUTS), default="kowhai-mend")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--cut", choices=[scope.value for scope in CutScope], default="one")
    parser.add_argument("--how", choices=["hang", "reset", "refuse"], default="hang")
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--callers", type=int, default=CALLERS)
    parser.add_argument("--logs", type=Path, help="folder for the logs of the instances")
    options = parser.parse_args(argv)
    # The processes of the deployment are stopped on the way out.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_INTERRUPTED))
    figures = run_soak(
        LAYOUTS[options.layout],
        options.seed,
        CutScope(options.cut),
        LinkState(options.how),
        options.rounds,
        callers=options.callers,
        logs=options.logs,
    )
    print(
        f"recoversoak layout={options.layout} seed={options.seed} scope={options.cut} "
        + "; ".join(str(item) for item in figures)
    )
    return EXIT_VIOLATION if any(item.is_broken for item in figures) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
