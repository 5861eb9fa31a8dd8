"""Stand-ins, callers and processes for the review's scripts; standard library only.

The stand-ins follow the users' pages: the platform's store, its operator, model engines, plain
servers and requesters. They run on one event loop; the entry instances are processes of their own,
started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
CALLER_HOST = "desk.example"
FRONT_PORT, READY_PORT = 8005, 8002
READY_TIMEOUT_S = 30
TIME_LIMIT_S = 115

Handler = Callable[["Request", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


@dataclass
class Request:
    """A request as a stand-in has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return urlsplit(self.target).path

    def query(self, name: str, default: str = "") -> str:
        """Return a field of the query."""
        return parse_qs(urlsplit(self.target).query).get(name, [default])[0]

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request whose body has a length or none."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def json_answer(value: Any, status: int = 200, fields: str = "") -> bytes:
    """Encode an answer with a JSON body."""
    body = json.dumps(value).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{fields}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Listener:
    """A listening stand-in."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, HOST, 0, limit=131_072, backlog=1_024
        )
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self.before_read()
                request = await read_request(reader)
                await self.before_read()
                if not await self.handle(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def before_read(self) -> None:
        """Wait until requests are read."""

    async def handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the channel stays open."""
        raise NotImplementedError


@dataclass
class Item:
    """An item of the store."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


class Store(Listener):
    """The platform's metadata store; it loses nothing and is never away."""

    def __init__(self) -> None:
        super().__init__()
        self.items: dict[str, Item] = {}
        self.revision = 10
        self._leases: dict[int, tuple[int, float]] = {}
        self._next_lease = 1_000
        self._log: list[tuple[int, str]] = []
        self._changed = asyncio.Event()

    def _change(self, key: str) -> int:
        self.revision += 1
        self._log.append((self.revision, key))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item, as the operator and the servers do; return its revision."""
        revision = self._change(key)
        known = self.items.get(key)
        self.items[key] = Item(value, revision, known.created if known else revision, lease)
        return revision

    def put_json(self, key: str, value: Any) -> int:
        """Write an item with a JSON value."""
        return self.put(key, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self._change(key)

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (_, until) in list(self._leases.items()):
            if now >= until:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.delete(key)

    def _row(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        value = base64.b64encode(item.value).decode()
        row = {"key": key, "value": value, "revision": item.revision}
        return row | {"createdRev": item.created, "lease": item.lease}

    async def handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one call."""
        await asyncio.sleep(0.004)
        self._expire()
        if request.path == "/kv-watch":
            answer = await self._watch(request)
        else:
            answer = self._answer(request)
        status, value = answer
        writer.write(json_answer(value, status, "Store-Era: 1\r\n"))
        await writer.drain()
        return True

    def _answer(self, request: Request) -> tuple[int, Any]:
        path, now = request.path, time.monotonic()
        if path == "/kv-key":
            key = request.query("key")
            if key not in self.items:
                return 404, {"currentRev": self.revision}
            return 200, self._row(key) | {"currentRev": self.revision}
        if path == "/kv-range":
            prefix, after = request.query("prefix"), request.query("after")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            rows = [self._row(key) for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": rows, "hasMore": more, "currentRev": self.revision}
        if path == "/kv-lease":
            ttl_ms = max(1_000, int(request.json()["ttlMs"]))
            self._next_lease += 1
            self._leases[self._next_lease] = (ttl_ms, now + ttl_ms / 1_000)
            return 200, {"lease": self._next_lease, "ttlMs": ttl_ms}
        if path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self._leases:
                return 404, {}
            ttl_ms = self._leases[lease][0]
            self._leases[lease] = (ttl_ms, now + ttl_ms / 1_000)
            return 200, {"ttlMs": ttl_ms}
        if path.startswith("/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        if path == "/kv-txn":
            return self._transact(request.json())
        return 400, {}

    def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        keys = [row["key"] for row in body.get("writes", [])] + list(body.get("drop", []))
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        expected = body.get("expected", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (0 if item is None else item.revision) != row["revision"]:
                rows = [self._row(r["key"]) for r in expected if r["key"] in self.items]
                return 412, {"items": rows}
        writes = body.get("writes", [])
        if any(row.get("lease") and row["lease"] not in self._leases for row in writes):
            return 404, {}
        for row in writes:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease") or 0)
        for key in body.get("drop", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    async def _watch(self, request: Request) -> tuple[int, Any]:
        prefix, after = request.query("prefix"), int(request.query("after"))
        deadline = time.monotonic() + int(request.query("waitMs", "0")) / 1_000
        while True:
            self._expire()
            found = [(r, k) for r, k in self._log if r > after and k.startswith(prefix)]
            left_s = deadline - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                async with asyncio.timeout(min(left_s, 0.2)):
                    await self._changed.wait()
            except TimeoutError:
                pass
        events = []
        for revision, key in found:
            item = self.items.get(key)
            if item is None:
                events.append({"key": key, "revision": revision, "tombstone": True})
            elif item.revision == revision:
                events.append(self._row(key))
        return 200, {"events": events, "currentRev": self.revision}


@dataclass
class Run:
    """A request that reached a server."""

    request_id: str
    path: str
    headers: dict[str, str]
    at: float
    body_bytes: int
    outcome: str = "running"
    detail: str = ""


class Server(Listener):
    """A backend server that registers itself in the store; plain unless a subclass says so."""

    models: dict[str, int]

    def __init__(self, store: Store, server: str, service: str, zone: str, slots: int) -> None:
        super().__init__()
        self.server, self.service, self.zone, self.slots = server, service, zone, slots
        self.models = {}
        self.state = "ready"
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.orders: list[tuple[float, dict[str, Any], int]] = []
        self.runs: list[Run] = []
        self._store = store
        self._beats = 0

    async def start(self, heartbeat_ms: int = 1_200) -> None:
        """Listen and register."""
        await self.listen()
        self._beat()
        self._heartbeat_ms = heartbeat_ms
        self._beating = spawn(self._beat_on(heartbeat_ms))

    async def _beat_on(self, heartbeat_ms: int) -> None:
        while True:
            await asyncio.sleep(heartbeat_ms / 1_000)
            self._beat()

    def _beat(self) -> None:
        self._beats += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "born": self.born,
            "sequenceNumber": self._beats,
        }
        if self.models:
            entry |= {"stage": "both", "models": self.model_rows()}
        self._store.put_json(f"servers/{self.server}", entry)

    def model_rows(self) -> list[dict[str, Any]]:
        """Return the models as the pages show them."""
        return [{"name": m, "version": v, "adapters": []} for m, v in self.models.items()]

    def crash(self) -> None:
        """End as a process does: its channels are reset, new ones are refused, no beat comes."""
        self._beating.cancel()
        self._server.close()
        for writer in self._writers:
            reset = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            writer.transport.abort()
        spawn(self._lapse())

    async def _lapse(self) -> None:
        await asyncio.sleep(3 * self._heartbeat_ms / 1_000)
        self._store.delete(f"servers/{self.server}")

    async def handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request."""
        expected = request.headers.get("x-expected-instance", self.server)
        if expected != self.server:
            writer.write(json_answer({}, 421, self._fields(request) + "X-Not-Executed: 1\r\n"))
        elif not await self.answer_control(request, writer):
            run = Run(
                request.headers.get("x-request-id", ""),
                request.path,
                request.headers,
                time.monotonic(),
                len(request.body),
            )
            self.runs.append(run)
            await self._race(run, request, reader, writer)
            return False
        await writer.drain()
        return request.headers.get("connection", "").lower() != "close"

    def _fields(self, request: Request) -> str:
        request_id = request.headers.get("x-request-id", "")
        return f"X-Request-Id: {request_id}\r\nX-Instance-Id: {self.server}\r\n"

    async def answer_control(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a call that is no request of a requester; return whether it was one."""
        if request.path == "/health":
            writer.write(json_answer({}, 200, self._fields(request)))
            return True
        return False

    async def _race(
        self,
        run: Run,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request until it is answered or its channel closes."""
        work = asyncio.ensure_future(self.work(run, request, writer))
        left = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, left}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            run.outcome = "left"
        for task in (work, left):
            task.cancel()
        await asyncio.gather(work, left, return_exceptions=True)

    async def work(self, run: Run, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run a request and answer it."""
        await asyncio.sleep(0.045)
        body = b"x" * 800
        head = f"HTTP/1.1 200 OK\r\n{self._fields(request)}X-Server-Signature: s.{self.server}\r\n"
        head += f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        run.outcome = "answered"


class Engine(Server):
    """A model engine: streams, memory of prompt parts, weights and orders."""

    LOAD_S = 0.29

    def __init__(
        self,
        store: Store,
        server: str,
        service: str,
        zone: str,
        models: dict[str, int],
        *,
        events: int = 20,
        gap_s: float = 0.03,
        slots: int = 64,
    ) -> None:
        super().__init__(store, server, service, zone, slots)
        self.models = dict(models)
        self.events, self.gap_s = events, gap_s
        self.busy_model: str | None = None
        self.cache: dict[tuple[str, str], Run] = {}
        self.uses: list[tuple[Run, str, Run]] = []
        self._last_order: dict[str, Any] = {}

    async def answer_control(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer reports, orders and reads of events."""
        path = request.path
        if path == "/report":
            running = sum(run.outcome == "running" for run in self.runs)
            report = {"stage": "both", "models": self.model_rows(), "busy": bool(self.busy_model)}
            report |= {"sequenceNumber": self.sequence, "waiting": 0, "running": running}
            report |= {"kvUsed": 0, "kvTotal": 138_287, "handles": 0, "born": self.born}
            writer.write(json_answer(report))
        elif path == "/order":
            status = self._order(request.json())
            self.orders.append((time.monotonic(), request.json(), status))
            writer.write(json_answer({}, status))
        elif path == "/kv-events":
            await asyncio.sleep(int(request.headers.get("wait-ms", "0")) / 1_000)
            clock_ms = int(time.monotonic() * 1_000)
            events = {"epoch": 7, "next": 1, "lost": False, "events": [], "clock_ms": clock_ms}
            writer.write(json_answer(events))
        elif path == "/kv-list":
            writer.write(json_answer({"epoch": 7, "next": 1, "held": []}))
        else:
            return await super().answer_control(request, writer)
        return True

    def _order(self, order: dict[str, Any]) -> int:
        if not order.get("holder") or "fencingToken" not in order:
            return 400
        model, version = order.get("model"), order.get("version")
        if order.get("operation") != "version" or model not in self.models:
            return 400
        if self.models[model] == version:
            return 200
        if self.busy_model or order.get("expected", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        self.busy_model = model
        spawn(self._load(model, version))
        return 202

    async def _load(self, model: str, version: int) -> None:
        await asyncio.sleep(self.LOAD_S)
        self.models[model], self.busy_model = version, None
        self.cache.clear()

    async def work(self, run: Run, request: Request, writer: asyncio.StreamWriter) -> None:
        """Read the prompt, with the parts that are kept under its salt, and stream an answer."""
        fields, headers = self._fields(request), request.headers
        model = headers.get("x-model", "")
        expected = headers.get("x-expected-version")
        if expected is not None and int(expected) != self.models.get(model, 0):
            run.outcome = "not run"
            writer.write(json_answer({}, 421, f"{fields}X-Not-Executed: 1\r\n"))
            await writer.drain()
            return
        if self.busy_model == model:
            run.outcome = "not run"
            writer.write(json_answer({}, 503, f"{fields}X-Not-Executed: 1\r\n"))
            await writer.drain()
            return
        salt = headers.get("x-cache-salt", "")
        parts = [p.partition(":")[0] for p in headers.get("x-prompt-prefix", "").split(",") if p]
        for part in parts:
            maker = self.cache.get((salt, part))
            if maker is None:
                break
            self.uses.append((run, part, maker))
        for part in parts:
            self.cache.setdefault((salt, part), run)
        await asyncio.sleep(0.05)
        run.detail = f"{model} v{self.models[model]}"
        head = f"HTTP/1.1 200 OK\r\n{fields}X-Server-Signature: s.{self.server}\r\n"
        head += f"X-Weight-Versions: {self.models[model]}\r\nConnection: close\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in range(int(headers.get("last-event-id") or 0) + 1, self.events + 1):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.outcome = "answered"


@dataclass
class Answer:
    """What a requester saw of one attempt."""

    request_id: str
    kind: str
    sent: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    took_s: float = 0.0
    error: str = ""

    @property
    def is_served(self) -> bool:
        """Whether it is a complete success of a server."""
        is_signed = "x-server-signature" in self.headers
        return self.is_whole and 200 <= self.status < 300 and is_signed


_ids = random.Random(os.getpid() ^ time.time_ns())


def new_id() -> str:
    """Return an id for an attempt of a requester."""
    return f"{_ids.getrandbits(64):016x}"


async def send(
    node: Node,
    kind: str,
    path: str,
    fields: dict[str, str],
    *,
    method: str = "POST",
    body: bytes = b"",
    deadline_ms: int = 10_000,
) -> Answer:
    """Send one attempt on a new channel, and read its answer to the end."""
    answer = Answer(new_id(), kind, time.monotonic())
    lines = [f"{method} {path} HTTP/1.1", f"Host: {CALLER_HOST}"]
    lines.append(f"X-Request-Id: {answer.request_id}")
    lines.append(f"X-Deadline-Milliseconds: {deadline_ms}")
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1_000):
            reader, writer = await asyncio.open_connection(*node.front)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            await _read_answer(reader, answer)
    except TimeoutError:
        answer.error = "time limit"
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        answer.error = repr(error)[:80]
    finally:
        if writer is not None:
            writer.transport.abort()
    answer.took_s = time.monotonic() - answer.sent
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split(" ")[1])
    pairs = (line.partition(":") for line in head[1:] if line)
    answer.headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            answer.body += piece[:-2]
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
    answer.is_whole = True


SETTINGS = """\
nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ipAddress = "{ip}"
zone = "{zone}"
region = "nz-north"
internalPortRange = [7700, 7715]
seedNodes = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatIntervalMs = 1200
contracts = {contracts}
[zones]
akl-a = "nz-north"
akl-b = "nz-north"
akl-c = "nz-north"
[listenAddresses]
front = "{ip}:8005"
readyAddress = "{ip}:8002"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = {memory_mb}
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 52
recoveryS = 12
transitMs = 120
reuseWindowS = 20
requireFencing = false
leaseMs = 3000
thawSlackMs = 300
versionMs = 6000
versionAllMs = 8400
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine"]
CONTRACTS += ["tenants", "platform"]


def _run_command() -> list[str]:
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        words = tomllib.load(file)["roles"]["entry"]["run"].split(" ")
    return [sys.executable if words[0] == "python3" else words[0], *words[1:]]


def _free_ip(number: int) -> str:
    """Return a loopback address on which all ports of an instance are free."""
    while True:
        ip = f"127.{_ids.randrange(1, 250)}.{_ids.randrange(250)}.{10 + number}"
        try:
            for port in (FRONT_PORT, READY_PORT, 9464):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return ip
        except OSError:
            continue


class Node:
    """One entry instance: a process of the project's own program."""

    def __init__(self, case: Case, number: int, zone: str, memory_mb: int) -> None:
        self.name = f"front-{zone}-{number + 1}"
        self.ip = _free_ip(number)
        self.front = (self.ip, FRONT_PORT)
        self.memory_mb = memory_mb
        self._path = case.folder / f"{self.name}.toml"
        self._log_path = case.folder / f"{self.name}.log"
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=zone,
            memory_mb=memory_mb,
            store=case.store.address,
            contracts=json.dumps(CONTRACTS),
        )
        self._path.write_text(text, encoding="utf-8")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, also again after its end."""
        deps = str(ROOT / "target" / "deps")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | {"PYTHONPATH": deps, "BERGAMOTHILL_CONFIG": str(self._path)}
        with open(self._log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *_run_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self) -> None:
        """Wait until its readiness check succeeds."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready: {self.log_tail()}")

    async def is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.transport.abort()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def log_tail(self, size: int = 1_500) -> str:
        """Return the end of its log."""
        return self._log_path.read_text(encoding="utf-8", errors="replace")[-size:]

    def log_lines(self, word: str) -> list[str]:
        """Return the lines of its log with a word."""
        text = self._log_path.read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if word in line]

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class CannotRun(Exception):
    """The case could not be run."""


class Case:
    """One play of a case: its processes, its stand-ins and its record."""

    def __init__(self, folder: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path()
        self.store = Store()
        self.nodes: list[Node] = []
        self._started = time.monotonic()
        self._record = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115

    def write(self, text: str) -> None:
        """Add a line to the record, with the seconds since the start."""
        line = f"{time.monotonic() - self._started:8.3f}  {text}"
        print(line, file=self._record, flush=True)

    def at(self, moment: float) -> str:
        """Return a moment as seconds since the start."""
        return f"{moment - self._started:.3f}"

    async def start_nodes(self, zones: list[str], memory_mb: int = 300) -> None:
        """Start one entry instance for each zone and wait until all are ready."""
        for number, zone in enumerate(zones):
            self.nodes.append(Node(self, number, zone, memory_mb))
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_ready()
        self.write(f"ready: {' '.join(node.name for node in self.nodes)}")

    def write_answers(self, answers: list[Answer]) -> None:
        """Record what was sent and answered."""
        for a in sorted(answers, key=lambda answer: answer.sent):
            self.write(
                f"sent {self.at(a.sent)} {a.kind} {a.request_id}: status {a.status} "
                f"{'whole' if a.is_whole else 'not whole'} after {a.took_s:.3f} s {a.error}"
            )

    def write_runs(self, servers: list[Server]) -> None:
        """Record what was run, and the orders."""
        for server in servers:
            for run in server.runs:
                self.write(
                    f"run at {server.server} {self.at(run.at)} {run.path} {run.request_id}: "
                    f"{run.outcome} {run.detail}"
                )
            for moment, order, status in server.orders:
                self.write(f"order at {server.server} {self.at(moment)} {order}: {status}")

    async def close(self) -> None:
        """End all processes."""
        await asyncio.gather(*(node.stop() for node in self.nodes))
        self._record.close()


_tasks: set[asyncio.Task[Any]] = set()


def spawn(work: Awaitable[Any]) -> asyncio.Task[Any]:
    """Run something beside the rest; it ends with the case."""
    task = asyncio.ensure_future(work)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
    return task


def config(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    document = {"version": version, "routes": routes, "services": services}
    return document | {"limits": limits, "tenants": tenants}


def stream_route(name: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of streams."""
    route = {"name": name, "host": CALLER_HOST, "prefix": f"/{name}/", "kind": "streaming"}
    route |= {"timeoutMs": 10000, "targetLatencyMs": 600, "priority": 1, "service": service}
    route |= {"maxAttempts": 1, "public": False, "stickySessions": True, "resumable": False}
    return route | {"gapTargetMs": 300} | more


def engine_service(name: str, models: list[str]) -> dict[str, Any]:
    """Return a service of model engines."""
    engine = {"slots": 64, "kvCapacityTokens": 138287, "kvTokenBytes": 327680}
    engine |= {"linkMbps": 1100000.0, "moves": True, "backups": True, "managed": True}
    engine |= {"stride": 7, "maxConcurrent": 12, "pinMs": 4000.0, "holdMs": 2000.0}
    engine |= {"handle_s": 5.0, "models": [{"name": model} for model in models]}
    service = {"name": name, "healthCheckPath": "/health", "connectionLimit": 360}
    return service | {"protocol": "h1", "tls": False, "engine": engine}


def run_case(play: Callable[[Case], Awaitable[bool]], folder: Path) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run.

    :param play: plays it and returns whether the rule was broken
    :param folder: folder of its record
    """

    async def main() -> int:
        case = Case(folder)
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            case.folder = Path(temporary)
            playing = asyncio.current_task()
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
            try:
                async with asyncio.timeout(TIME_LIMIT_S):
                    await case.store.listen()
                    is_broken = await play(case)
                case.write("BROKEN" if is_broken else "HELD")
                return int(is_broken)
            except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
                case.write(f"COULD NOT RUN: {error!r}")
                return 2
            finally:
                await case.close()

    try:
        code = asyncio.run(main())
    except Exception as error:  # noqa: BLE001 - any other error of the script says nothing either
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
