"""Stand-in for a backend server of the users' platform: a model engine or a plain service.

A request says in its query what work it is:

- ``first``: milliseconds before the first event, or before the answer of a plain request
- ``gap``: milliseconds between events
- ``events``: number of events; 0 gives a plain answer
- ``bytes``: length of the body of a plain answer, or of the data of each event
- ``status``: status of the answer

``GET /seen`` returns what became of each request id; times are of the monotonic clock.
``GET /received`` returns the latest requests as they were received, by request id.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import time
from collections import OrderedDict
from dataclasses import asdict, dataclass
from urllib.parse import parse_qs, urlsplit

__all__ = ["SeenRequest"]

HOST = "127.0.0.1"
MAX_HEAD_BYTES = 65_536
DEFAULT_WAIT_MS = 700
MAX_RECEIVED = 200
CONTROL_PATHS = frozenset(
    ("/kv-events", "/kv-list", "/report", "/order", "/seen", "/received", "/health")
)


@dataclass
class SeenRequest:
    """What a server knows of one request.

    :param begun_ms: when it was read
    :param ended_ms: when its answer was written, or its connection found closed; None while it runs
    :param outcome: ``answered``, ``left`` or ``running``
    :param runs: number of times it came; the other values are of the last time
    """

    begun_ms: float
    ended_ms: float | None = None
    outcome: str = "running"
    runs: int = 1


@dataclass(frozen=True)
class Work:
    """Work that a request asks for.

    :param first_ms: time before the first byte of the body
    :param gap_ms: time between two events
    :param events: number of events; 0 for a plain answer
    :param size: bytes of a plain body, or of the data of each event
    :param status: status of the answer
    """

    first_ms: int
    gap_ms: int
    events: int
    size: int
    status: int

    @classmethod
    def from_target(cls, target: str) -> Work:
        """Read the work from the query of a request target."""
        query = parse_qs(urlsplit(target).query)
        number = lambda name, default: int(query.get(name, [default])[0])  # noqa: E731
        return cls(
            number("first", 0),
            number("gap", 0),
            number("events", 0),
            number("bytes", 64),
            number("status", 200),
        )


class PlatformServer:
    """One backend server.

    :param server: its id
    """

    def __init__(self, server: str) -> None:
        self._server = server
        self._seen: dict[str, SeenRequest] = {}
        self._received: OrderedDict[str, tuple[str, str]] = OrderedDict()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection until it closes."""
        try:
            while await self._handle_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        method, target, _ = head.split("\r\n")[0].split(" ", 2)
        fields = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head.split("\r\n")[1:] if line)
        }
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        path = urlsplit(target).path
        if path in CONTROL_PATHS:
            await self._answer_control(writer, method, path, fields)
        else:
            self._received[fields.get("x-request-id", "")] = (head, body.decode("latin-1"))
            while len(self._received) > MAX_RECEIVED:
                self._received.popitem(last=False)
            await self._run(reader, writer, target, fields)
        return fields.get("connection", "").lower() != "close"

    async def _answer_control(
        self, writer: asyncio.StreamWriter, method: str, path: str, fields: dict[str, str]
    ) -> None:
        if path == "/kv-events":
            await asyncio.sleep(int(fields.get("wait-ms", DEFAULT_WAIT_MS)) / 1000)
        body = json.dumps(self._control_document(path)).encode()
        status = b"202 Accepted" if path == "/order" else b"200 OK"
        writer.write(
            b"HTTP/1.1 %s\r\nContent-Type: application/json\r\nX-Instance-Id: %s\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (status, self._server.encode(), len(body), body)
        )
        await writer.drain()

    def _control_document(self, path: str) -> object:
        if path == "/seen":
            return {request: asdict(seen) for request, seen in self._seen.items()}
        if path == "/received":
            return self._received
        if path == "/report":
            models = [{"name": "m1", "version": 1, "adapters": []}]
            return {"stage": "both", "models": models, "busy": False, "sequenceNumber": 0}
        return {"epoch": 1, "next": 1, "lost": False, "events": [], "held": []}

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: str,
        fields: dict[str, str],
    ) -> None:
        request = fields.get("x-request-id", "")
        before = self._seen.get(request)
        runs = 1 if before is None else before.runs + 1
        seen = self._seen[request] = SeenRequest(time.monotonic() * 1000, runs=runs)
        answer = asyncio.ensure_future(self._write_answer(writer, Work.from_target(target), fields))
        left = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({answer, left}, return_when=asyncio.FIRST_COMPLETED)
        is_answered = answer.done() and answer.exception() is None
        seen.ended_ms = time.monotonic() * 1000
        seen.outcome = "answered" if is_answered else "left"
        for task in (answer, left):
            task.cancel()
        raise ConnectionResetError("one request a connection")

    async def _write_answer(
        self, writer: asyncio.StreamWriter, work: Work, fields: dict[str, str]
    ) -> None:
        head = (
            "HTTP/1.1 {} Status\r\nX-Request-Id: {}\r\nX-Server-Signature: sig.{}\r\n"
            "X-Instance-Id: {}\r\nX-Weight-Versions: 1\r\nConnection: close\r\n"
        ).format(work.status, fields.get("x-request-id", ""), self._server, self._server)
        await asyncio.sleep(work.first_ms / 1000)
        if not work.events:
            body = b"x" * work.size
            writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
            return
        writer.write(
            f"{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        first_id = int(fields.get("last-event-id") or 0) + 1
        for number in range(first_id, work.events + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * work.size)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(work.gap_ms / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def serve(server: str, port: int) -> None:
    """Serve until SIGTERM; print one ready line with the port.

    :param server: id of the server
    :param port: TCP port; 0 picks a free one
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    handler = PlatformServer(server).handle
    listener = await asyncio.start_server(handler, HOST, port, limit=MAX_HEAD_BYTES, backlog=512)
    print(f"ready port={listener.sockets[0].getsockname()[1]}", flush=True)
    await stopped.wait()


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--server", default="s1")
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.server, arguments.port))
    sys.exit(0)


if __name__ == "__main__":
    main()
