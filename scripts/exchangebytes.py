"""Count bytes between zones and datagrams of the exchanges between entry instances.

The instances are simulated with the code that decides what is sent, on a network without faults.
Each has its own demand. Bytes include 28 of the IP and UDP headers for each datagram.
"""

from __future__ import annotations

import argparse
import random
import time
from dataclasses import dataclass, field

from bergamothill.process.loadreport import PeerLoads, ServerLoad
from bergamothill.process.originholders import holders
from bergamothill.process.originreport import OriginNotice, encode_origin_message
from bergamothill.process.zoneloads import ZoneLoads
from bergamothill.process.zonepasses import Outgoing
from tests.builders import stream_origin
from tests.proof.zoneworld import FormerBuild, Instance, ZoneWorld

ZONES = 4
ORIGINS = 500
FIRST_TOKEN_MS = 200
DEPLOYMENTS = {
    # Instances: servers and, of each kind, requests a second, prompt tokens and duration in ms.
    7: (34, ((14.1, 11_992, 3_000), (35.0, 827, 2_000), (26.1, 2_368, 1_000), (26.3, 0, 90))),
    33: (34, ((66.6, 11_992, 3_000), (165, 827, 2_000), (123, 2_368, 1_000), (124, 0, 90))),
    90: (74, ((99.1, 11_992, 3_000), (146, 827, 2_000), (229, 2_368, 1_000), (221, 0, 80))),
    300: (74, ((330, 11_992, 3_000), (487, 827, 2_000), (763, 2_368, 1_000), (737, 0, 80))),
}


@dataclass
class Load:
    """Requests in progress of one instance."""

    by_server: dict[str, ServerLoad] = field(default_factory=dict)

    def add(self, server: str, change: ServerLoad) -> None:
        """Add to the load on a server, which is no longer named when it has no requests."""
        load = self.by_server.setdefault(server, ServerLoad())
        load.add(change)
        if not load.in_progress:
            del self.by_server[server]


class Demand:
    """Requests of all instances of a deployment, which begin at random moments."""

    def __init__(self, world: ZoneWorld, count: int) -> None:
        self.world = world
        self.streams = 0
        servers, kinds = DEPLOYMENTS[count]
        self.servers = [f"i-{number:010x}" for number in range(servers)]
        for instance in world.instances.values():
            load = Load()
            for per_s, tokens, duration_ms in kinds:
                self._begin(instance, load, per_s / count, tokens, duration_ms)

    def _begin(
        self, instance: Instance, load: Load, per_s: float, tokens: int, duration_ms: int
    ) -> None:
        rng, world = self.world.rng, self.world

        def change(server: str, by: ServerLoad) -> None:
            load.add(server, by)
            world.set_load(
                instance,
                {
                    name: ServerLoad(each.in_progress, each.tokens, each.pending_prefill_tokens)
                    for name, each in load.by_server.items()
                },
            )

        def begin() -> None:
            server = rng.choice(self.servers)
            self.streams += tokens > 0
            change(server, ServerLoad(1, tokens, tokens))
            if tokens:
                world.after(FIRST_TOKEN_MS, lambda: change(server, ServerLoad(0, 0, -tokens)))
            lasts_ms = max(FIRST_TOKEN_MS + 1 if tokens else 1, rng.expovariate(1 / duration_ms))
            world.after(lasts_ms, lambda: change(server, ServerLoad(-1, -tokens, 0)))
            world.after(rng.expovariate(per_s) * 1_000, begin)

        world.after(rng.expovariate(per_s) * 1_000, begin)


class FormerAll(FormerBuild):
    """Former build, constructed as the subject of an instance."""

    def __init__(self, entry: str, _zone: str, loads: PeerLoads, number: int) -> None:
        super().__init__(entry, loads, number)


def measure(count: int, subject: type, seconds: int) -> dict[str, float]:
    """Return the bytes between zones and datagrams a second of the loads of a deployment."""
    sizes = [len(range(zone, count, ZONES)) for zone in range(ZONES)]
    world = ZoneWorld(sizes, random.Random(1), new_subject=subject)
    demand = Demand(world, count)
    world.run_for(4_000)
    world.counted.clear()
    demand.streams = 0
    started_s = time.process_time()
    world.run_for(1_000 * seconds)
    figures = {name: amount / seconds for name, amount in world.counted.items()}
    figures["processor_s"] = (time.process_time() - started_s) / seconds
    figures["streams"] = demand.streams / seconds
    for name, is_urgent in (("limits kept", False), ("limits changed", True)):
        world.counted.clear()
        for instance in world.instances.values():
            world.pass_to_all(instance, b"x" * 65, is_urgent=is_urgent)
        figures[name] = world.counted["bytes_across"]
    figures["origin of a stream"] = measure_origins(world, is_former=subject is FormerAll)
    return figures


def measure_origins(world: ZoneWorld, *, is_former: bool) -> float:
    """Return the bytes between zones that tell where one stream began, once and again."""
    world.counted.clear()
    instances = list(world.instances.values())
    for number in range(ORIGINS):
        sender = instances[number % len(instances)]
        origin = stream_origin(
            f"{number:016x}",
            brand="jepu78",
            service="mend-llm",
            server="i-ba5d1638ca",
            started_wall_ms=10**12,
            begun_wall_ms=10**12,
        )
        notice = encode_origin_message(OriginNotice("front-akl-b-2", (origin,)))
        entries = [
            entry
            for entry in holders(origin.key, frozenset(world.instances))
            if entry != sender.peer.entry
        ]
        for is_repeat in (False, True):
            outgoing = [Outgoing(notice, tuple(entries))]
            if not is_former:
                turn = number if is_repeat else 0
                outgoing = sender.subject.passes.to_some(notice, entries, turn, is_repeat=is_repeat)
            world.send(sender, outgoing)
    return world.counted["bytes_across"] / ORIGINS


def main() -> None:
    """Print a line for each number of instances and form."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("counts", nargs="*", type=int, default=list(DEPLOYMENTS))
    parser.add_argument("--seconds", type=int, default=2)
    arguments = parser.parse_args()
    for count in arguments.counts:
        for subject in (FormerAll, ZoneLoads):
            figures = measure(count, subject, arguments.seconds)
            print(count, subject.__name__, {k: round(v, 2) for k, v in figures.items()}, flush=True)


if __name__ == "__main__":
    main()
