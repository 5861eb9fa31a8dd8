"""Measure the cost of the control roles of one entry instance at several zone sizes."""

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
    """One zone size to measure.

    :param peers: entry instances in the zone
    :param servers: engines in the zone
    :param listed_elsewhere: engines listed in other zones
    :param requests_per_s: requests at each entry instance
    """

    peers: int
    servers: int
    listed_elsewhere: int = 0
    requests_per_s: float = 0


TARGET_REQUESTS_PER_S = 8.2
"""2,700 requests a second over 330 entry instances."""

CASES = (
    Case(4, 10),
    Case(8, 10),
    Case(16, 10),
    Case(33, 10),
    Case(33, 40),
    Case(33, 83),
    Case(33, 83, 1_100),
    Case(33, 83, 1_100, TARGET_REQUESTS_PER_S),
)


class ChildProcesses:
    """Starts the child processes of one case and stops them with an exit stack."""

    def __init__(self, stack: ExitStack) -> None:
        self._stack = stack

    def start(self, module: str, *arguments: str) -> subprocess.Popen:
        """Start a module of this project as a process that is stopped at the end of the case."""
        child = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self._stack.callback(stop_process, child)
        return child


def stop_process(child: subprocess.Popen) -> None:
    """Stop a child process and close its pipes."""
    child.terminate()
    try:
        child.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        child.kill()
        child.wait()
    child.stdin.close()
    child.stdout.close()


def register_instance(client: HttpClient, name: str, kind: str, zone: str, address: str) -> None:
    """Register an instance in the stand-in for the instance list."""
    body = {"kind": kind, "zone": zone, "address": address, "incarnation": 1, "state": "live"}
    client.request_json(
        "PUT", f"/instances/{name}", step="slopes.register", timeout_ms=5_000, body=body
    )


def stand_in_address(child: subprocess.Popen) -> str:
    """Read the address of a stand-in from its ready line."""
    return "127.0.0.1:" + child.stdout.readline().strip().removeprefix("ready port=")


def read_all_counters(children: list[subprocess.Popen]) -> list[dict]:
    """Read the counters of all nodes."""
    for child in children:
        send_newline(child)
    return [json.loads(child.stdout.readline()) for child in children]


def send_newline(child: subprocess.Popen) -> None:
    """Trigger the next step of a node, which waits for a line on its standard input."""
    child.stdin.write("\n")
    child.stdin.flush()


def run_case(case: Case, seconds: int) -> str:
    """Run one case and return its result line.

    :param case: zone size
    :param seconds: length of the measured interval
    """
    with ExitStack() as stack:
        processes = ChildProcesses(stack)
        list_address = stand_in_address(processes.start("standins.instancelist", "--port", "0"))
        engine_address = stand_in_address(processes.start("standins.engine", *ENGINE_ARGUMENTS))
        nodes = start_nodes(processes, case, list_address)
        register_all(HttpClient("list", list_address), case, nodes, engine_address)
        for node in nodes:
            send_newline(node)
        time.sleep(WARM_UP_S)
        before = read_all_counters(nodes)
        time.sleep(seconds)
        after = read_all_counters(nodes)
    return format_line(case, before, after)


def start_nodes(processes: ChildProcesses, case: Case, list_address: str) -> list[subprocess.Popen]:
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
        register_instance(client, f"n{number:03}", "entry", "a", node.stdout.readline().strip())
    for number in range(case.servers):
        register_instance(client, f"e{number:03}", "engine", "a", engine_address)
    for number in range(case.listed_elsewhere):
        register_instance(client, f"o{number:04}", "engine", f"z{number % 9}", engine_address)


def format_line(case: Case, before: list[dict], after: list[dict]) -> str:
    """Format the result line; figures are means, ``live`` is a minimum, ``threads`` a maximum."""

    def rate(name: str, start_name: str = "") -> float:
        return mean(
            (after_node[name] - before_node[start_name or name])
            / (after_node["at_s"] - before_node["at_s"])
            for before_node, after_node in zip(before, after, strict=True)
        )

    return (
        f"slope peers={case.peers} servers={case.servers} listed_elsewhere={case.listed_elsewhere}"
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
    """Parse the command-line argument for one case."""
    peers, servers, listed_elsewhere, requests_per_s = text.split(",")
    return Case(int(peers), int(servers), int(listed_elsewhere), float(requests_per_s))


def main() -> int:
    """Run the cases and print one result line each."""
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
