"""All entry instances are killed at once; requesters take their streams up when they are back."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from harness import (
    Answer,
    Case,
    Engine,
    Node,
    config,
    engine_service,
    run_case,
    send,
    spawn,
    stream_route,
)

EVENTS, GAP_S = 25, 0.28
PER_SECOND = 6
PLAY_S = 26
KILL_AFTER_S = 10
DOWN_S = 0.45
STABILITY_WINDOW_S = 3.0
TIME_LIMIT_S = 12.0
TRIES = 1
"""The requester's retries of the sheet."""

TRY_AGAIN_S = 4.0
LEAST_TAKEN_UP = 12


def last_event(body: bytes) -> int:
    """Return the id of the last whole event."""
    ids = [line for line in body.rpartition(b"\n\n")[0].split(b"\n") if line.startswith(b"id: ")]
    return int(ids[-1][4:]) if ids else 0


class Requesters:
    """Requesters that send streams and take up what broke off, within their time limit."""

    def __init__(self, nodes: list[Node]) -> None:
        self.new: list[Answer] = []
        self.taken_up: list[Answer] = []
        self.went_on: dict[str, bool] = {}
        """By first request: whether a stream went on that was taken up at a machine in touch."""

        self.started: dict[str, float] = {}
        self._nodes = nodes

    async def ask(self, number: int) -> None:
        """Send one stream, and take it up again if its channel breaks."""
        fields = {"Authorization": "Bearer key-1", "X-Model": "m0", "X-Token-Counts": "300,25"}
        fields["X-Prompt-Prefix"] = f"aa{number % 7:02x}:200,{number:08x}:100"
        node = self._nodes[number % len(self._nodes)]
        answer = await send(node, "new", "/quote/1", fields, deadline_ms=12_000)
        self.new.append(answer)
        event, until = last_event(answer.body), answer.sent + TIME_LIMIT_S
        if answer.is_whole or not event:
            return
        for turn in range(1, TRIES + 1):
            await asyncio.sleep(TRY_AGAIN_S)
            left_ms = int((until - time.monotonic()) * 1_000)
            if left_ms < 1_000:
                return
            more = {"Last-Event-Id": str(event), "Resumes": answer.request_id}
            node = self._nodes[(number + turn) % len(self._nodes)]
            again = await send(node, "taken up", "/quote/1", fields | more, deadline_ms=left_ms)
            self.taken_up.append(again)
            goes_on = again.status == 200 and last_event(again.body) > event
            if again.sent - self.started[node.name] >= STABILITY_WINDOW_S:
                again.kind = "taken up in touch"
                known = self.went_on.get(answer.request_id, False)
                self.went_on[answer.request_id] = known or goes_on
            if goes_on:
                return


async def play(case: Case) -> bool:
    """Send streams, kill all instances once, and see which streams go on."""
    routes = [stream_route("quote", "mend-llm", timeoutMs=12000, resumable=True, maxAttempts=2)]
    tenants = [{"name": "huts", "apiKeys": ["key-1"], "priority": 1}]
    services = [engine_service("mend-llm", ["m0"])]
    case.store.put_json("op/config", config(7, routes, services, tenants))
    case.store.put_json("op/version/m0", {"model": "m0", "version": 1})
    zones = ["akl-a", "akl-b", "akl-c"]
    engines = [
        Engine(
            case.store, f"i-{n}", "mend-llm", zones[n % 3], {"m0": 1}, events=EVENTS, gap_s=GAP_S
        )
        for n in range(5)
    ]
    for engine in engines:
        await engine.start()
    await case.start_nodes(zones)
    await asyncio.sleep(6)
    requesters = Requesters(case.nodes)
    requesters.started = dict.fromkeys((node.name for node in case.nodes), 0.0)

    async def traffic() -> None:
        for number in range(PLAY_S * PER_SECOND):
            spawn(requesters.ask(number))
            await asyncio.sleep(1 / PER_SECOND)

    running = spawn(traffic())
    await asyncio.sleep(KILL_AFTER_S)
    if case.has_trouble:
        killed = time.monotonic()
        case.write("all entry instances are killed")
        await asyncio.gather(*(node.stop() for node in case.nodes))
        await asyncio.sleep(DOWN_S)
        for node in case.nodes:
            await node.start()
            requesters.started[node.name] = time.monotonic()
        down_s = max(requesters.started.values()) - killed
        case.write(f"all are started again, {down_s:.2f} s after the kill")
    back = time.monotonic()
    await running
    await asyncio.sleep(EVENTS * GAP_S + 2)

    case.write_answers(requesters.new + requesters.taken_up)
    case.write_runs(engines)
    begun = [a for a in requesters.new if back + STABILITY_WINDOW_S <= a.sent < back + 8]
    begin_share = sum(bool(a.body) for a in begun) / max(1, len(begun))
    went_on = requesters.went_on.values()
    go_on_share = sum(went_on) / max(1, len(went_on))
    case.write(f"new streams at machines in touch: {len(begun)}; begin: {begin_share:.2f}")
    case.write(f"streams taken up at machines in touch: {len(went_on)}; go on: {go_on_share:.2f}")
    return len(went_on) >= LEAST_TAKEN_UP and go_on_share < begin_share / 2


run_case(play, Path(__file__).resolve().parent)
