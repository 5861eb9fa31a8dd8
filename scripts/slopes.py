"""Measure what the control roles of one entry instance cost at several sizes of a zone."""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from statistics import mean

from bergamothill.connection.http import HttpClient

ROOT = Path(__file__).resolve().parent.parent
WARM_UP_S = 8
ENGINE_ARGUMENTS = ("--port", "0", "--server-id", "e", "--model", "m", "--versions", "v1")
STOP_TIMEOUT_S = 5


@dataclass(frozen=True, slots=True)
class Case:
    """One size.

    :param peers: entry instances in the zone
    :param servers: engines in the zone
    :param elsewhere: engines listed in other zones
    :param requests_per_s: requests at each entry instance
    """

    peers: int
    servers: int
    elsewhere: int = 0
    requests_per_s: float = 0


LETTER_REQUESTS_PER_S = 8.2
"""2,700 requests a second over 330 entry instances."""

CASES = (
    Case(4, 10),
    Case(8, 10),
    Case(16, 10),
    Case(33, 10),
    Case(33, 40),
    Case(33, 83),
    Case(33, 83, 1_100),
    Case(33, 83, 1_100, LETTER_REQUESTS_PER_S),
)


class Processes:
    """Child processes of one case, ended by their own handles."""

    def __init__(self, stack: ExitStack) -> None:
        self._stack = stack

    def start(self, module: str, *arguments: str) -> subprocess.Popen:
        """Start a module of this project and stop it at the end of the case."""
        child = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self._stack.callback(stop, child)
        return child


def stop(child: subprocess.Popen) -> None:
    """End a child and close its pipes."""
    child.terminate()
    try:
        child.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        child.kill()
        child.wait()
    child.stdin.close()
    child.stdout.close()


def register(client: HttpClient, name: str, kind: str, zone: str, address: str) -> None:
    """Register an instance at the stand-in of the instance list."""
    body = {"kind": kind, "zone": zone, "address": address, "incarnation": 1, "state": "live"}
    client.request_json(
        "PUT", f"/instances/{name}", step="slopes.register", timeout_ms=5_000, body=body
    )


def stand_in_address(child: subprocess.Popen) -> str:
    """Return the address that a stand-in prints."""
    return "127.0.0.1:" + child.stdout.readline().strip().removeprefix("ready port=")


def read_all(children: list[subprocess.Popen]) -> list[dict]:
    """Ask each node for its counters."""
    for child in children:
        tell(child)
    return [json.loads(child.stdout.readline()) for child in children]


def tell(child: subprocess.Popen) -> None:
    """Let a node go on to its next step."""
    child.stdin.write("\n")
    child.stdin.flush()


def run_case(case: Case, seconds: int) -> str:
    """Run one size and return its line; figures are means over the nodes.

    :param case: size
    :param seconds: measured time
    """
    with ExitStack() as stack:
        processes = Processes(stack)
        list_address = stand_in_address(processes.start("standins.instancelist", "--port", "0"))
        engine_address = stand_in_address(processes.start("standins.engine", *ENGINE_ARGUMENTS))
        nodes = start_nodes(processes, case, list_address)
        register_all(HttpClient("list", list_address), case, nodes, engine_address)
        for node in nodes:
            tell(node)
        time.sleep(WARM_UP_S)
        before = read_all(nodes)
        time.sleep(seconds)
        after = read_all(nodes)
    return line_of(case, before, after)


def start_nodes(processes: Processes, case: Case, list_address: str) -> list[subprocess.Popen]:
    """Start the entry instances of a case."""
    options = ["--list-address", list_address, "--engines", str(case.servers)]
    options += ["--requests-per-s", str(case.requests_per_s)]
    names = [f"n{number:03}" for number in range(case.peers)]
    return [processes.start("scripts.slopenode", "--id", name, *options) for name in names]


def register_all(
    client: HttpClient, case: Case, nodes: list[subprocess.Popen], engine_address: str
) -> None:
    """Register all instances of a case; the engines share one stand-in."""
    for number, node in enumerate(nodes):
        register(client, f"n{number:03}", "entry", "a", node.stdout.readline().strip())
    for number in range(case.servers):
        register(client, f"e{number:03}", "engine", "a", engine_address)
    for number in range(case.elsewhere):
        register(client, f"o{number:04}", "engine", f"z{number % 9}", engine_address)


def line_of(case: Case, before: list[dict], after: list[dict]) -> str:
    """Return the printed line of one case."""

    def rate(name: str, start_name: str = "") -> float:
        return mean(
            (new[name] - old[start_name or name]) / (new["at_s"] - old["at_s"])
            for old, new in zip(before, after, strict=True)
        )

    return (
        f"slope peers={case.peers} servers={case.servers} listed_elsewhere={case.elsewhere}"
        f" requests_s={case.requests_per_s}"
        f" live={min(node['live'] for node in after)}"
        f" cpu_share={rate('cpu_before_s', 'cpu_after_s'):.4f}"
        f" mesh_payload_bytes_s={rate('payload_bytes'):.0f}"
        f" mesh_wire_bytes_s={rate('wire_bytes'):.0f} mesh_segments_s={rate('segments'):.1f}"
        f" http_bytes_s={rate('http_bytes'):.0f} http_calls_s={rate('http_calls'):.2f}"
        f" rss_mb={mean(node['rss_mb'] for node in after):.1f}"
        f" threads={max(node['threads'] for node in after)}"
    )


def parse_case(text: str) -> Case:
    """Return the case of a command-line argument."""
    peers, servers, elsewhere, requests_per_s = text.split(",")
    return Case(int(peers), int(servers), int(elsewhere), float(requests_per_s))


def main() -> int:
    """Run the sizes and print one line each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--case", action="append", help="peers,servers,elsewhere,requests_per_s")
    arguments = parser.parse_args()
    cases = [parse_case(text) for text in arguments.case or ()] or CASES
    for case in cases:
        print(run_case(case, arguments.seconds), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
