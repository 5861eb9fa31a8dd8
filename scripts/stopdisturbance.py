"""What is drawn to happen beside the stops of a soak: signals, faults of the parts, and crowds."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from dataclasses import dataclass
from enum import Enum

from scripts.platformfleet import HOST, EntryNode, PlatformFleet

__all__ = ["Disturbance", "StopSignals", "disturb_round"]

SILENCE_RANGE_S = (0.6, 1.4)
CROWD_CONNECTIONS = 400
CROWD_BODY_BYTES = 200_000
CROWD_RANGE_S = (0.5, 5.0)
PARTIAL_HEAD = b"POST /crowd/ HTTP/1.1\r\nHost: %s\r\n" % HOST.encode()


class Disturbance(Enum):
    """What else happens in a round of stops."""

    NONE = "none"
    STORE_SILENT = "store_silent"
    STORE_AWAY = "store_away"
    STORE_AWAY_THROUGHOUT = "store_away_throughout"
    SERVERS_SILENT = "servers_silent"
    """Servers go silent one after another for about a second, so that streams move."""

    CROWD = "crowd"
    """Connections that hold parts of requests at the instances that stop."""


@dataclass(frozen=True)
class StopSignals:
    """Signals to an instance beside its SIGTERM, as times after that in seconds.

    :param reload_s: SIGHUP; negative is before
    :param repeat_s: second SIGTERM
    :param pause_s: SIGSTOP
    :param paused_s: time from SIGSTOP to SIGCONT
    """

    reload_s: float | None
    repeat_s: float | None
    pause_s: float | None
    paused_s: float

    @classmethod
    def drawn(cls, draw: random.Random, grace_s: float) -> StopSignals:
        """Draw the signals of a stop."""

        def moment(probability: float, from_s: float = 0.0) -> float | None:
            return draw.uniform(from_s, grace_s) if draw.random() < probability else None

        return cls(moment(0.5, -0.5), moment(0.3), moment(0.2), draw.uniform(0.05, 1.0))

    async def send(self, node: EntryNode) -> None:
        """Send them, from the moment of the SIGTERM on; the first may come before it."""
        events = [
            (self.reload_s, signal.SIGHUP),
            (self.repeat_s, signal.SIGTERM),
            (self.pause_s, signal.SIGSTOP),
            (None if self.pause_s is None else self.pause_s + self.paused_s, signal.SIGCONT),
        ]
        passed_s = 0.0
        for at_s, number in sorted((at, number) for at, number in events if at is not None):
            await asyncio.sleep(max(0.0, at_s - passed_s))
            passed_s = max(passed_s, at_s)
            if node.process.poll() is None:
                node.signal(number)


async def disturb_round(
    fleet: PlatformFleet,
    disturbance: Disturbance,
    draw: random.Random,
    numbers: list[int],
    stops_done: asyncio.Event,
) -> None:
    """Carry out the disturbance of a round.

    :param fleet: running deployment
    :param disturbance: what happens
    :param draw: source of randomness
    :param numbers: positions of the instances that stop
    :param stops_done: set when the instances have stopped
    """
    await asyncio.sleep(draw.uniform(0, 1.5))
    if disturbance is Disturbance.STORE_SILENT:
        await _disturb_store(fleet, draw.uniform(0.5, 4), silent=True)
    elif disturbance is Disturbance.STORE_AWAY:
        await _disturb_store(fleet, draw.uniform(0.5, 4), outage=True)
    elif disturbance is Disturbance.STORE_AWAY_THROUGHOUT:
        await _disturb_store(fleet, None, stops_done, outage=True)
    elif disturbance is Disturbance.SERVERS_SILENT:
        await _silence_servers(fleet, draw, stops_done)
    elif disturbance is Disturbance.CROWD:
        nodes = [fleet.nodes[number] for number in numbers]
        await asyncio.gather(*(_crowd(node, draw) for node in nodes))


async def _disturb_store(
    fleet: PlatformFleet,
    duration_s: float | None,
    stops_done: asyncio.Event | None = None,
    **faults: bool,
) -> None:
    await asyncio.to_thread(lambda: fleet.store.set_faults(**faults))
    try:
        if duration_s is None:
            await stops_done.wait()
        else:
            await asyncio.sleep(duration_s)
    finally:
        await asyncio.to_thread(fleet.store.set_faults)
    await asyncio.to_thread(fleet.write_config)


async def _silence_servers(
    fleet: PlatformFleet, draw: random.Random, stops_done: asyncio.Event
) -> None:
    servers = [server for name, server in fleet.servers.items() if name.startswith("llm")]
    while not stops_done.is_set():
        server = draw.choice(servers)
        server.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(draw.uniform(*SILENCE_RANGE_S))
        finally:
            server.signal(signal.SIGCONT)
        await asyncio.sleep(draw.uniform(0.1, 1.0))


async def _crowd(node: EntryNode, draw: random.Random) -> None:
    """Hold many connections with a part of a request, of a head or of a large body."""
    writers = []
    for _ in range(CROWD_CONNECTIONS):
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1):
                _, writer = await asyncio.open_connection(*node.caller_address)
            writers.append(writer)
            writer.write(PARTIAL_HEAD)
            if draw.random() < 0.5:
                writer.write(b"Content-Length: %d\r\n\r\n" % (2 * CROWD_BODY_BYTES))
                writer.write(b"x" * CROWD_BODY_BYTES)
    await asyncio.sleep(draw.uniform(*CROWD_RANGE_S))
    for writer in writers:
        writer.close()
