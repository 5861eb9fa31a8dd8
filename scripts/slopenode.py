"""One entry instance's control roles as a process of its own, measured for ``scripts.slopes``."""

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

SECRET = "slopes"
TCP_INFO_BYTES = 192
ACKED_RECEIVED_AND_SEGMENTS = struct.Struct("=QQII")
ACKED_OFFSET = 120
HEADER_BYTES = 66
"""Ethernet, IP and TCP headers of one segment."""

KILOBYTE = 1_024


@dataclass(frozen=True, slots=True)
class Counters:
    """Counters of one process at one instant; reading them costs time, so it is read twice."""

    at_s: float
    cpu_before_s: float
    cpu_after_s: float
    payload_bytes: int
    wire_bytes: int
    segments: int
    http_bytes: int
    http_calls: int


class CountingClient(HttpClient):
    """HTTP client that counts the bytes of bodies and headers, both ways."""

    calls = 0
    total_bytes = 0
    lock = threading.Lock()
    REQUEST_BYTES = 200

    def request(self, *arguments, **keywords):
        """Send a request and count it."""
        reply = super().request(*arguments, **keywords)
        headers = sum(len(name) + len(value) + 4 for name, value in reply.headers.items())
        with CountingClient.lock:
            CountingClient.calls += 1
            CountingClient.total_bytes += self.REQUEST_BYTES + headers + len(reply.body)
        return reply


class ChangingEngine(HttpModelEngine):
    """Engine whose load differs at each poll, as under traffic."""

    def load(self) -> EngineLoad:
        """Return the real answer with other figures."""
        load = super().load()
        return replace(load, queued_tokens=random.randrange(100_000), running=random.randrange(64))


class Traffic:
    """Messages that requests add to each report.

    :param requests_per_s: rate of requests at this node
    :param engines: engines that requests are sent to
    """

    def __init__(self, requests_per_s: float, engines: int) -> None:
        self._requests_per_s = requests_per_s
        self._engines = engines
        self._last_s = time.monotonic()

    def messages(self) -> tuple[object, ...]:
        """Return what the requests since the last call tell the zone."""
        now_s = time.monotonic()
        count = round((now_s - self._last_s) * self._requests_per_s)
        self._last_s = now_s
        servers = [ServerId(f"e{random.randrange(self._engines):03}") for _ in range(count)]
        if not servers:
            return ()
        work = tuple(SentWork(s, 2_000, 20_000_000, random.randrange(2_000)) for s in servers)
        hints = tuple(KeptHint(f"{random.getrandbits(64):016x}", s) for s in servers)
        return SentWorkDelta(work), KeptHintDelta(hints)


def wire_of(mesh: PeerMesh) -> tuple[int, int]:
    """Return bytes on the wire and segments over all open links, headers included."""
    total_bytes = total_segments = 0
    for link in mesh.links():
        info = link.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        acked, received, out, into = ACKED_RECEIVED_AND_SEGMENTS.unpack_from(info, ACKED_OFFSET)
        total_bytes += acked + received + HEADER_BYTES * (out + into)
        total_segments += out + into
    return total_bytes, total_segments


def read_counters(mesh: PeerMesh) -> Counters:
    """Read all counters of this process."""
    cpu_before_s = time.process_time()
    wire_bytes, segments = wire_of(mesh)
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
    """Serve the control roles; print address, then counters at two instants."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--list-address", required=True)
    parser.add_argument("--requests-per-s", type=float, default=0)
    parser.add_argument("--engines", type=int, default=1)
    arguments = parser.parse_args()
    clock = SystemClock()
    zone = ZoneName("a")
    entry = EntryInstanceId(arguments.id)
    mesh = PeerMesh(entry, zone, Incarnation(1), "127.0.0.1:0", clock, SECRET)
    mesh.start()
    print(mesh.address, flush=True)
    sys.stdin.readline()

    def make_engine(instance: Instance) -> ChangingEngine:
        return ChangingEngine(CountingClient(instance.instance_id, instance.address))

    instance_list = HttpInstanceList(CountingClient("list", arguments.list_address))
    table = ServerTable()
    traffic = Traffic(arguments.requests_per_s, arguments.engines)
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
        extras=traffic.messages,
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
    return pages * resource.getpagesize() / KILOBYTE / KILOBYTE


if __name__ == "__main__":
    main()
