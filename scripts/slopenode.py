"""Control roles of one entry instance as a process that ``scripts.slopes`` measures."""

from __future__ import annotations

import argparse
import json
import random
import resource
import socket
import struct
import sys
import threading
import time
from dataclasses import asdict, dataclass, replace

from bergamothill.clock import SystemClock
from bergamothill.connection.engine import EngineLoad
from bergamothill.connection.http import HttpClient
from bergamothill.connection.httpengine import HttpModelEngine
from bergamothill.connection.instancelist import HttpInstanceList, Instance
from bergamothill.connection.peer import PeerMesh
from bergamothill.ids import EntryInstanceId, Incarnation, ServerId, ZoneName
from bergamothill.process.serverpoll import ServerPoller
from bergamothill.process.servers import ServerTable
from bergamothill.request.cachehints import CacheHints, KeptHint, KeptHintDelta
from bergamothill.request.load import LoadEstimator, SentWork, SentWorkDelta

SHARED_SECRET = "slopes"
TCP_INFO_BYTES = 192
TCP_INFO_COUNTERS = struct.Struct("=QQII")
TCP_INFO_COUNTERS_OFFSET = 120
HEADER_BYTES = 66
"""Ethernet, IP and TCP headers of one segment."""

BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class Counters:
    """Counters of one process at one time.

    CPU time is read before and after the other counters, so that the cost of reading them can be
    left out of the measured interval.
    """

    at_s: float
    cpu_before_s: float
    cpu_after_s: float
    payload_bytes: int
    wire_bytes: int
    segments: int
    http_bytes: int
    http_calls: int


class CountingClient(HttpClient):
    """HTTP client that counts calls and bytes in both directions; request sizes are estimates."""

    calls = 0
    total_bytes = 0
    lock = threading.Lock()
    ESTIMATED_REQUEST_BYTES = 200

    def request(self, *arguments, **keywords):
        """Send a request and count it."""
        reply = super().request(*arguments, **keywords)
        headers = sum(len(name) + len(value) + 4 for name, value in reply.headers.items())
        with CountingClient.lock:
            CountingClient.calls += 1
            CountingClient.total_bytes += self.ESTIMATED_REQUEST_BYTES + headers + len(reply.body)
        return reply


class VaryingLoadEngine(HttpModelEngine):
    """Engine client that reports a different load at each poll, as under traffic."""

    def load(self) -> EngineLoad:
        """Return the reported load with random queue figures."""
        load = super().load()
        return replace(load, queued_tokens=random.randrange(100_000), running=random.randrange(64))


class SimulatedTraffic:
    """Generates the messages that requests add to each report.

    :param requests_per_s: rate of requests at this node
    :param engines: engines that requests are sent to
    """

    def __init__(self, requests_per_s: float, engines: int) -> None:
        self._requests_per_s = requests_per_s
        self._engines = engines
        self._last_s = time.monotonic()

    def drain_messages(self) -> tuple[object, ...]:
        """Return the messages about the requests since the last call."""
        now_s = time.monotonic()
        request_count = round((now_s - self._last_s) * self._requests_per_s)
        self._last_s = now_s
        servers = [ServerId(f"e{random.randrange(self._engines):03}") for _ in range(request_count)]
        if not servers:
            return ()
        work = tuple(SentWork(s, 2_000, 20_000_000, random.randrange(2_000)) for s in servers)
        hints = tuple(KeptHint(f"{random.getrandbits(64):016x}", s) for s in servers)
        return SentWorkDelta(work), KeptHintDelta(hints)


def read_wire_counters(mesh: PeerMesh) -> tuple[int, int]:
    """Return the bytes, including headers, and TCP segments on the wire over all open links."""
    total_bytes = total_segments = 0
    for link in mesh.links():
        info = link.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        acked, received, segments_out, segments_in = TCP_INFO_COUNTERS.unpack_from(
            info, TCP_INFO_COUNTERS_OFFSET
        )
        total_bytes += acked + received + HEADER_BYTES * (segments_out + segments_in)
        total_segments += segments_out + segments_in
    return total_bytes, total_segments


def read_counters(mesh: PeerMesh) -> Counters:
    """Read all counters of this process."""
    cpu_before_s = time.process_time()
    wire_bytes, segments = read_wire_counters(mesh)
    return Counters(
        time.monotonic(),
        cpu_before_s,
        time.process_time(),
        sum(mesh.bytes_total()),
        wire_bytes,
        segments,
        CountingClient.total_bytes,
        CountingClient.calls,
    )


def main() -> None:
    """Run the control roles; print the address, then the counters at each of two input lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--list-address", required=True)
    parser.add_argument("--requests-per-s", type=float, default=0)
    parser.add_argument("--engines", type=int, default=1)
    arguments = parser.parse_args()
    clock = SystemClock()
    zone = ZoneName("a")
    entry = EntryInstanceId(arguments.id)
    mesh = PeerMesh(entry, zone, Incarnation(1), "127.0.0.1:0", clock, SHARED_SECRET)
    mesh.start()
    print(mesh.address, flush=True)
    sys.stdin.readline()

    def make_engine(instance: Instance) -> VaryingLoadEngine:
        return VaryingLoadEngine(CountingClient(instance.instance_id, instance.address))

    instance_list = HttpInstanceList(CountingClient("list", arguments.list_address))
    table = ServerTable()
    traffic = SimulatedTraffic(arguments.requests_per_s, arguments.engines)
    hints, loads = CacheHints(), LoadEstimator()
    mesh.subscribe(KeptHintDelta, lambda _, delta: hints.apply_delta(delta))
    mesh.subscribe(SentWorkDelta, lambda _, delta: loads.apply_delta(delta, clock.now_ms()))
    poller = ServerPoller(
        instance_list,
        make_engine,
        mesh,
        table,
        clock,
        entry,
        zone,
        mesh.update_instances,
        extra_messages=traffic.drain_messages,
    )
    poller.start()
    for _ in range(2):
        sys.stdin.readline()
        counters = asdict(read_counters(mesh))
        counters["live"] = len(mesh.live_peers())
        counters["rss_mb"] = resident_mb()
        counters["threads"] = threading.active_count()
        print(json.dumps(counters), flush=True)


def resident_mb() -> float:
    """Return the resident memory of this process in MB."""
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / BYTES_PER_MB


if __name__ == "__main__":
    main()
