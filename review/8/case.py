"""A server of a plain service crashes in the middle of streams that may be resumed."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from harness import (
    Answer,
    Case,
    Request,
    Run,
    Server,
    Store,
    config,
    run_case,
    send,
    spawn,
    stream_route,
)

EVENTS, GAP_S = 40, 0.1
PER_SECOND = 20
"""At two machines together; the sheet has 11.5 streams a second at each."""

PLAY_S = 18
CRASH_AFTER_S = 10
BACK_AFTER_S = 1.0
WATCHED_S = 4
LEAST_TAKEN_UP = 12
TRIES = 1
"""The requester's retries of the sheet."""


class StreamServer(Server):
    """A plain server that answers with a stream of events, from ``Last-Event-Id`` on."""

    async def work(self, run: Run, request: Request, writer: asyncio.StreamWriter) -> None:
        """Stream an answer."""
        first = int(request.headers.get("last-event-id") or 0) + 1
        run.detail = f"from event {first}"
        head = f"HTTP/1.1 200 OK\r\n{self._fields(request)}X-Server-Signature: s.{self.server}\r\n"
        head += "Content-Type: text/event-stream\r\nConnection: close\r\n"
        writer.write(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.outcome = "answered"


def last_event(body: bytes) -> int:
    """Return the id of the last whole event."""
    ids = [line for line in body.rpartition(b"\n\n")[0].split(b"\n") if line.startswith(b"id: ")]
    return int(ids[-1][4:]) if ids else 0


async def start_servers(store: Store) -> list[StreamServer]:
    """Start four servers of one software version."""
    zones = ["akl-a", "akl-b", "akl-c", "akl-a"]
    servers = [StreamServer(store, f"i-{n}", "notes", zones[n], 64) for n in range(4)]
    for server in servers:
        await server.start()
    return servers


async def play(case: Case) -> bool:
    """Send streams, let one server crash, and take up again what broke off."""
    route = stream_route("notes", "notes", resumable=True, maxAttempts=2)
    service = {"name": "notes", "healthCheckPath": "/health", "connectionLimit": 360}
    service |= {"protocol": "h1", "tls": False}
    tenants = [{"name": "huts", "apiKeys": ["key-1"], "priority": 1}]
    case.store.put_json("op/config", config(7, [route], [service], tenants))
    servers = await start_servers(case.store)
    await case.start_nodes(["akl-a", "akl-b"])
    await asyncio.sleep(6)
    new, taken_up = [], []
    went_on: list[bool] = []

    async def ask(number: int) -> None:
        fields = {"Authorization": "Bearer key-1"}
        answer = await send(case.nodes[number % 2], "new", "/notes/1", fields)
        new.append(answer)
        event = last_event(answer.body)
        if answer.is_whole or not event:
            return
        first_id, again = answer.request_id, Answer("", "", 0)
        for turn in range(TRIES):
            await asyncio.sleep(float(again.headers.get("retry-after", "0.05")))
            more = {"Last-Event-Id": str(event), "Resumes": first_id}
            node = case.nodes[(number + 1 + turn) % 2]
            again = await send(node, "taken up", "/notes/1", fields | more)
            taken_up.append(again)
            if again.is_served and last_event(again.body) == EVENTS:
                break
        went_on.append(again.is_served)

    async def traffic() -> None:
        for number in range(PLAY_S * PER_SECOND):
            spawn(ask(number))
            await asyncio.sleep(1 / PER_SECOND)

    running = spawn(traffic())
    await asyncio.sleep(CRASH_AFTER_S)
    crashed = time.monotonic()
    if case.has_trouble:
        case.write(
            f"{servers[0].server} crashes; {servers[1].server}, {servers[2].server} serve on"
        )
        servers[0].crash()
        await asyncio.sleep(BACK_AFTER_S)
        replacement = StreamServer(case.store, "i-4", "notes", "akl-a", 64)
        servers.append(replacement)
        await replacement.start()
        case.write("a server is back in its place, under a new id")
    await running
    await asyncio.sleep(EVENTS * GAP_S + 4)

    case.write_answers(new + taken_up)
    case.write_runs(servers)
    begun_at_once = [a for a in new if crashed < a.sent < crashed + WATCHED_S]
    begin_share = sum(bool(a.body) for a in begun_at_once) / max(1, len(begun_at_once))
    go_on_share = sum(went_on) / max(1, len(went_on))
    case.write(f"new streams that begin, in the {WATCHED_S} s after: {begin_share:.2f}")
    case.write(
        f"streams taken up: {len(went_on)}, in {len(taken_up)} tries; go on: {go_on_share:.2f}"
    )
    statuses = sorted({a.status for a in taken_up})
    case.write(f"statuses of the tries: {statuses}")
    return len(went_on) >= LEAST_TAKEN_UP and go_on_share < begin_share / 2


run_case(play, Path(__file__).resolve().parent)
