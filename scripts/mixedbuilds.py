"""Run entry instances of two builds in one deployment, and one build on what the other left.

Usage: ``python -m scripts.mixedbuilds OLD_TREE``, with the path of a checkout of the older build.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import ClassVar
from unittest import mock

from scripts import processes
from scripts.caller import Answer
from scripts.deployment import (
    BRANDS,
    OPERATOR_KEY,
    Deployment,
    DeploymentShape,
    wait_until,
)
from scripts.processes import ROOT, EntryProcess, ProcessGroup, free_ports

STREAM_TOKENS = 200
EVENTS_BEFORE_RESUME = 5
OPERATOR_OPTIONS = ("--operator-key", OPERATOR_KEY, "--timeout", "20s")
ENGINE_OPTIONS = ("--decode-ms", "15", "--answer-tokens", "600")
QUESTION = [{"role": "user", "content": "Which quills fit a 1975 jack?"}]

CHANGE_FILE = """[defaults.weights]
ttft = 1.0
recompute = 90.0
link = 0.2
late = 0.0
"""


def environment(tree: Path) -> dict[str, str]:
    """Return the environment in which a process imports the package of a tree."""
    return {**os.environ, "PYTHONPATH": str(tree)}


class TreeEntryProcess(EntryProcess):
    """Entry instance of the build in a given tree."""

    def __init__(self, tree: Path, settings_path: Path, address: str, log_path: Path) -> None:
        # ``python -m`` imports from the working directory, which is the root of the tree.
        with mock.patch.object(processes, "ROOT", tree):
            super().__init__(settings_path, address, log_path)
        if Path(f"/proc/{self.pid}/cwd").resolve() != tree:
            raise RuntimeError(f"entry instance does not run in {tree}")


def report(point: str, value: object) -> None:
    """Print one line of the result."""
    print(f"{point}: {value}", flush=True)


def require(condition: bool, text: str) -> None:
    """Fail the run unless the condition holds.

    :raises RuntimeError: it does not hold
    """
    if not condition:
        raise RuntimeError(text)


class MixedDeployment(Deployment):
    """Deployment whose entry instances are of the builds in ``trees``, by number."""

    trees: ClassVar[dict[str, Path]] = {}
    shape_builds: ClassVar[tuple[str, ...]] = ("new", "new", "old", "old")
    ports: ClassVar[dict[int, list[int]]] = {}

    def start_entry(self, number: int) -> EntryProcess:
        """Start one entry instance of the build that its number stands for."""
        self.ports[number] = free_ports(2)
        self.launch(number, self.shape_builds[number])
        return self.entries[-1]

    def launch(self, number: int, build: str) -> None:
        """Start an entry instance of a build, on the settings file and ports it had."""
        listen_port, peer_port = self.ports[number]
        name = f"entry-{number}"
        path = self.group.folder / f"{name}.toml"
        if not path.exists():
            path.write_text(self._settings(number, listen_port, peer_port), encoding="utf-8")
            self.list_instance(name, "entry", number, f"127.0.0.1:{peer_port}")
        entry = TreeEntryProcess(
            self.trees[build], path, f"127.0.0.1:{listen_port}", self.log_path(f"{name}-{build}")
        )
        self.group.add(entry)
        if number < len(self.entries):
            self.entries[number] = entry
        else:
            self.entries.append(entry)

    def restart(self, numbers: Sequence[int], build: str) -> None:
        """Start stopped entry instances as a build, and wait until they know their engines."""
        for number in numbers:
            self.launch(number, build)
        for number in numbers:
            self.entries[number].wait_ready()
        self.wait_engines_known()

    def stop_entry(self, number: int) -> int:
        """Stop an entry instance gracefully and return its exit code."""
        self.entries[number].terminate()
        return self.entries[number].process.wait(30)

    def command(self, build: str, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command-line tool of a build."""
        entries = [part for e in self.entries for part in ("--entry", e.address)]
        return subprocess.run(
            [sys.executable, "-m", "bergamothill.cli.main", *arguments]
            + ["--kvs", self.kvs.address, *entries, *OPERATOR_OPTIONS],
            cwd=self.trees[build],
            env=environment(self.trees[build]),
            capture_output=True,
            text=True,
            check=False,
        )

    def holders(self, numbers: tuple[int, ...]) -> dict[str, set[int]]:
        """Return the entry instances that hold each duty."""
        held: dict[str, set[int]] = {}
        for number in numbers:
            for lease in self.status(number)["leases"]:
                held.setdefault(lease["duty"], set())
                if lease["is_held"]:
                    held[lease["duty"]].add(number)
        return held


def check_builds(deployment: MixedDeployment) -> None:
    """Check which package each build's processes import."""
    for build, tree in deployment.trees.items():
        done = subprocess.run(
            [sys.executable, "-c", "import bergamothill; print(bergamothill.__file__)"],
            cwd=tree,
            env=environment(tree),
            capture_output=True,
            text=True,
            check=True,
        )
        report(f"package of the {build} build", done.stdout.strip())
        require(done.stdout.startswith(str(tree)), f"{build} imports another tree")


def check_peers(deployment: MixedDeployment) -> None:
    """Check that every entry instance sees every other one of its zone live."""
    numbers = range(len(deployment.entries))

    def linked() -> bool:
        for number in numbers:
            peers = {p["entry"]: p["state"] for p in deployment.status(number)["peers"]}
            others = [
                f"entry-{n}"
                for n in numbers
                if n != number and deployment.zone(n) == deployment.zone(number)
            ]
            if any(peers.get(other) != "live" for other in others):
                return False
        return True

    wait_until(linked, "all entry instances of a zone see each other live")
    for number in numbers:
        peers = {p["entry"]: p["state"] for p in deployment.status(number)["peers"]}
        report(f"peers of entry-{number} ({deployment.shape_builds[number]})", peers)


def check_configuration(deployment: MixedDeployment) -> None:
    """Check that a change accepted by either build is in force at all."""
    path = deployment.group.folder / "change.toml"
    path.write_text(CHANGE_FILE, encoding="utf-8")
    for build, arguments in (
        ("old", ("apply", str(path), "--wait", "--json")),
        ("new", ("warm-time", "2h", "--wait", "--json")),
        ("old", ("brand", "add", "from-old", "--wait", "--json")),
        ("new", ("brand", "add", "from-new", "--wait", "--json")),
    ):
        done = deployment.command(build, *arguments)
        require(done.returncode == 0, f"{build} {arguments}: {done.stdout}{done.stderr}")
        accepted = json.loads(done.stdout)
        revisions = [deployment.status(n)["revision"] for n in range(len(deployment.entries))]
        report(
            f"change {arguments[0]} by the {build} tool",
            f"revision {accepted['revision']}, in force at {revisions}",
        )
        require(all(r >= accepted["revision"] for r in revisions), "not in force everywhere")
    for arguments in (("brand", "list"), ("history",), ("default", "list"), ("diff", str(path))):
        shown = [deployment.command(b, *arguments, "--json").stdout for b in ("old", "new")]
        require(shown[0] == shown[1] and shown[0] != "", f"{arguments}: {shown}")
        report(f"{' '.join(arguments[:2])} by both tools", "same output")


def check_streams(deployment: MixedDeployment) -> None:
    """Check that a stream that its caller left at one build is resumed at the other."""
    whole = deployment.caller(0).chat(QUESTION, max_tokens=STREAM_TOKENS)
    require(whole.is_whole, f"the first answer is cut: {whole}")
    builds = deployment.shape_builds
    for first, second in ((0, 2), (2, 0), (1, 3), (3, 1)):
        part = leave_mid_stream(deployment, first)
        require(not part.is_whole, "the stream ended before its caller left")
        rest = deployment.caller(second).resume(part.event_ids[-1])
        require(rest.is_whole, f"resumed at entry-{second}: {rest}")
        require(part.text + rest.text == whole.text, "the two parts are not the whole answer")
        report(
            f"stream left at entry-{first} ({builds[first]}) after {len(part.event_ids)} events, "
            f"resumed at entry-{second} ({builds[second]})",
            f"whole, {len(rest.event_ids)} events",
        )


def leave_mid_stream(deployment: MixedDeployment, entry: int) -> Answer:
    """Start a stream, disconnect after a few events, and return what was received."""
    received: list[Answer] = []

    def disconnect(answer: Answer) -> None:
        if len(answer.event_ids) >= EVENTS_BEFORE_RESUME:
            received.append(answer)
            raise ConnectionAbortedError("the caller leaves in mid-stream")

    with contextlib.suppress(ConnectionAbortedError):
        deployment.caller(entry).chat(QUESTION, max_tokens=STREAM_TOKENS, on_event=disconnect)
    return received[0]


def check_actions(deployment: MixedDeployment) -> None:
    """Check that a call repeated at the other build has one effect."""
    for first, second in ((0, 2), (2, 0)):
        before = len(deployment.booking.json("GET", "/effects"))
        body = json.dumps({"parcel": first}).encode()
        replies = [
            deployment.caller(n).request(
                "POST", "/v1/services/booking/pickups", body, Idempotency_Key=f"pickup-{first}"
            )
            for n in (first, second)
        ]
        effects = len(deployment.booking.json("GET", "/effects")) - before
        require(effects == 1 and replies[0].body == replies[1].body, f"{effects}: {replies}")
        report(f"call at entry-{first}, repeated at entry-{second}", "one effect, same reply")


def check_blocks(deployment: MixedDeployment) -> None:
    """Check that blocks exported by one build are restored by the other."""
    for first, second in ((0, 3), (3, 0), (2, 1), (1, 2)):
        before = deployment.stored_blocks()
        prompt = [{"role": "user", "content": f"from {first} " + "x" * (3 * 8_192)}]
        answer = deployment.caller(first).chat(prompt, max_tokens=8)
        require(answer.is_whole, f"{answer}")
        wait_until(lambda b=before: deployment.stored_blocks() >= b + 3, "blocks are exported")
        deployment.evict_all()
        returned = deployment.caller(second).chat(prompt, max_tokens=8)
        require(returned.is_whole and returned.text == answer.text, f"{returned}")
        require(returned.cached_tokens > 0, "nothing was restored")
        report(
            f"blocks exported by entry-{first}, restored by entry-{second}",
            f"{returned.cached_tokens} of {returned.prompt_tokens} tokens",
        )


def check_leases(deployment: MixedDeployment) -> None:
    """Check that leases pass from one build to the other and back."""
    old = tuple(n for n, b in enumerate(deployment.shape_builds) if b == "old")
    new = tuple(n for n, b in enumerate(deployment.shape_builds) if b == "new")

    def all_held(numbers: tuple[int, ...]) -> bool:
        held = deployment.holders(numbers)
        return bool(held) and all(len(by) == 1 for by in held.values())

    wait_until(lambda: all_held((*new, *old)), "every duty has one holder")
    report("leases at the start", deployment.holders((*new, *old)))
    for leaving, staying, build in ((old, new, "old"), (new, old, "new"), (old, new, "old")):
        codes = [deployment.stop_entry(number) for number in leaving]
        require(codes == [0] * len(codes), f"exit codes {codes}")
        wait_until(lambda s=staying: all_held(s), "the other build holds every duty")
        report(f"leases after the {build} build's stop", deployment.holders(staying))
        deployment.restart(leaving, build)
        check_peers(deployment)


def check_takeover(trees: dict[str, Path], first: str, second: str) -> None:
    """Check one build on the store, blocks, streams and settings files that the other left."""
    MixedDeployment.shape_builds = (first,) * 4
    with ProcessGroup() as group:
        shape = DeploymentShape(engine_options=ENGINE_OPTIONS, drain_notice_ms=0)
        deployment = MixedDeployment.start(group, shape)
        path = group.folder / "change.toml"
        path.write_text(CHANGE_FILE, encoding="utf-8")
        done = deployment.command(first, "apply", str(path), "--wait", "--json")
        require(done.returncode == 0, done.stderr)
        done = deployment.command(
            first, "warm-time", "3h", "--brand", BRANDS[0], "--reason", "returns late", "--wait"
        )
        require(done.returncode == 0, done.stderr)
        prompt = [{"role": "user", "content": "left behind " + "x" * (3 * 8_192)}]
        answer = deployment.caller(0).chat(prompt, max_tokens=64)
        wait_until(lambda: deployment.stored_blocks() >= 3, "blocks are exported")
        body = b'{"parcel": 1}'
        call = ("POST", "/v1/services/booking/pickups", body)
        reply = deployment.caller(1).request(*call, Idempotency_Key="left-behind")
        shows = (("brand", "list"), ("history",), ("default", "list"), ("exception", "list"))
        before = [deployment.command(first, *show, "--json").stdout for show in shows]
        require(all(before), "the tool shows nothing")
        revision = deployment.status(0)["revision"]
        for number in range(shape.entries):
            require(deployment.stop_entry(number) == 0, "exit code")
        deployment.evict_all()
        MixedDeployment.shape_builds = (second,) * 4
        deployment.restart(range(shape.entries), second)
        after = [deployment.command(second, *show, "--json").stdout for show in shows]
        require(before == after, f"the tools differ: {before} {after}")
        require(deployment.status(0)["revision"] == revision, "another revision")
        returned = deployment.caller(3).chat(prompt, max_tokens=64)
        require(returned.text == answer.text and returned.cached_tokens > 0, f"{returned}")
        again = deployment.caller(2).request(*call, Idempotency_Key="left-behind")
        require(again.body == reply.body, f"{again}")
        require(len(deployment.booking.json("GET", "/effects")) == 1, "two effects")
        rest = deployment.caller(1).resume(answer.event_ids[2])
        done = deployment.command(second, "diff", str(path), "--json")
        require(done.returncode == 0, done.stderr)
        report(
            f"{second} build on what the {first} build left",
            f"revision {revision}, same lists, {returned.cached_tokens} tokens restored, "
            f"repeated call answered from its record, resume of an ended stream: "
            f"status {rest.status}, whole={rest.is_whole}, "
            f"diff of the change file {done.stdout.strip()}",
        )


def main() -> int:
    """Run all checks.

    :returns: 0 when all held
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("old_tree", type=Path)
    arguments = parser.parse_args()
    trees = {"old": arguments.old_tree.resolve(), "new": ROOT}
    MixedDeployment.trees = trees
    with ProcessGroup() as group:
        shape = DeploymentShape(engine_options=ENGINE_OPTIONS, drain_notice_ms=0)
        deployment = MixedDeployment.start(group, shape)
        try:
            check_builds(deployment)
            check_peers(deployment)
            check_configuration(deployment)
            check_streams(deployment)
            check_actions(deployment)
            check_blocks(deployment)
            check_leases(deployment)
        except Exception:
            for path in sorted(group.folder.glob("*.log")):
                print(f"--- {path.name}\n{path.read_text()[-1500:]}", file=sys.stderr)
            raise
    check_takeover(trees, "old", "new")
    check_takeover(trees, "new", "old")
    print("mixed builds ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
