"""A small deployment for the cases of the review: store, servers and callers as stand-ins.

The entry instances are the project's own processes, started with the command of the deploy file.
Only the standard library is used. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
TIME_LIMIT_S = 115
ZONES = ("akl-a", "akl-b", "akl-c")
HEARTBEAT_S = 1.2

Fields = dict[str, str]


class Record:
    """Writes what was sent, answered and run to ``record.txt``, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._started_s = time.monotonic()

    def write(self, who: str, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._started_s:8.3f} {who}: {text}\n"
        self._file.write(line)
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Fields]:
    """Read a request or response head; return its first line and its fields."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    return head[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, fields: Fields) -> bytes:
    """Read a body with a length or in chunks; one without either ends with its connection."""
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if "chunked" not in fields.get("transfer-encoding", ""):
        return b""
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


def encode_json(status: str, document: Any, fields: Fields | None = None) -> bytes:
    """Encode a response with a JSON body."""
    body = json.dumps(document).encode()
    lines = [f"HTTP/1.1 {status}", "Content-Type: application/json"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass
class Item:
    """One key of the store."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0

    def encode(self) -> dict[str, Any]:
        """Return it as the store's calls do."""
        value = base64.b64encode(self.value).decode()
        return {
            "key": self.key,
            "value": value,
            "revision": self.revision,
            "createdRev": self.created,
            "lease": self.lease,
        }


class Store:
    """The platform's store, as the page on its protocol describes it."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 100
        self.address = ""
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def put(self, key: str, document: Any) -> int:
        """Write a key for the operator or a server; the revision is the acknowledgement."""
        return self._write(key, json.dumps(document).encode(), 0)

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "tombstone": True}
            self._tell(key, event)

    def _write(self, key: str, value: bytes, lease: int) -> int:
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = self.items[key] = Item(key, value, self.revision, created, lease)
        self._tell(key, item.encode())
        return self.revision

    def _tell(self, key: str, event: dict[str, Any]) -> None:
        self._events.append((self.revision, key, event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [n for n, (_, ends) in self._leases.items() if ends <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        if self._leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.delete(key)
        return True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                status, document = await self._call(method, parts.path, query, body)
                writer.write(encode_json(status, document, {"Store-Era": "1"}))
                await writer.drain()
        writer.close()

    async def _call(
        self, method: str, path: str, query: Fields, body: bytes
    ) -> tuple[str, dict[str, Any]]:
        self._expire()
        if path == "/kv-key":
            item = self.items.get(query["key"])
            found = {} if item is None else item.encode()
            return "200 OK" if item else "404 Not Found", found | {"currentRev": self.revision}
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")))
            keys = [k for k in keys if k > query.get("after", "")]
            items = [self.items[k].encode() for k in keys[:500]]
            more = len(keys) > 500
            return "200 OK", {"items": items, "hasMore": more, "currentRev": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(json.loads(body))
        if path == "/kv-lease":
            ttl_ms = json.loads(body)["ttlMs"]
            self.revision += 1
            lease = self.revision
            self._leases[lease] = (ttl_ms / 1000, time.monotonic() + ttl_ms / 1000)
            return "200 OK", {"lease": lease, "ttlMs": ttl_ms}
        lease = int(unquote(path).rpartition("/")[2] or 0)
        if path.startswith("/kv-keep/") and lease in self._leases:
            ttl_s = self._leases[lease][0]
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return "200 OK", {"ttlMs": int(ttl_s * 1000)}
        if path.startswith("/kv-lease-end/") and method == "DELETE" and self._end_lease(lease):
            return "200 OK", {}
        return "404 Not Found", {}

    async def _watch(self, query: Fields) -> tuple[str, dict[str, Any]]:
        prefix, after = query["prefix"], int(query["after"])
        ends = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [e for r, key, e in self._events if r > after and key.startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return "200 OK", {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left, 0.5))
            self._expire()

    def _transact(self, body: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        rows = body.get("expected") or []
        found = {row["key"]: self.items.get(row["key"]) for row in rows}
        for row in rows:
            item = found[row["key"]]
            if (item.revision if item else 0) != row["revision"]:
                items = [item.encode() for item in found.values() if item]
                return "412 Precondition Failed", {"items": items}
        writes = body.get("writes") or []
        if any(w.get("lease") and w["lease"] not in self._leases for w in writes):
            return "404 Not Found", {}
        for write in writes:
            self._write(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body.get("drop") or []:
            self.delete(key)
        return "200 OK", {"revision": self.revision}


@dataclass
class Arrival:
    """A request that a server ran."""

    line: str
    fields: Fields
    body: bytes

    @property
    def request(self) -> str:
        """Its id."""
        return self.fields.get("x-request-id", "")


class Server:
    """A backend server that registers itself and runs requests.

    :param store: store in which it registers
    :param record: gets a line for each request that it runs
    :param name: its id
    :param service: its service
    :param zone: its zone
    :param model: model that it serves; None for a plain server
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        zone: str,
        model: str | None = None,
    ) -> None:
        self.name = name
        self.address = ""
        self.runs: list[Arrival] = []
        self.run: Callable[[Arrival, asyncio.StreamWriter], Awaitable[None]] = self.answer
        self._store = store
        self.record = record
        self._entry = {"service": service, "zone": zone, "version": "v1", "slots": 16}
        self._model = model
        self._beats = 0
        self._born_ms = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._beat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._beat_task = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self._beats += 1
            self._store.put(f"servers/{self.name}", self._entry_now())
            await asyncio.sleep(HEARTBEAT_S)

    def _entry_now(self) -> dict[str, Any]:
        return self._entry | {
            "address": self.address,
            "state": "ready",
            "born": self._born_ms,
            "models": self._models(),
            "sequenceNumber": self._beats,
        }

    def _models(self) -> list[dict[str, Any]]:
        return [{"name": self._model, "version": 1, "adapters": []}] if self._model else []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self._handle(Arrival(line, fields, body), writer)
                await writer.drain()
                if fields.get("connection", "").lower() == "close":
                    break
        writer.close()

    async def _handle(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        target = urlsplit(arrival.line.split(" ")[1])
        own = {"X-Instance-Id": self.name}
        expected = arrival.fields.get("x-expected-instance", self.name)
        if expected != self.name:
            writer.write(encode_json("421 Misdirected Request", {}, own | {"X-Not-Executed": "1"}))
        elif target.path == "/kv-events":
            query = {name: values[0] for name, values in parse_qs(target.query).items()}
            wait_s = int(arrival.fields.get("wait-ms", "0")) / 1000
            writer.write(encode_json("200 OK", await self.events(int(query["since"]), wait_s), own))
        elif target.path == "/kv-list":
            held = {"epoch": self._born_ms, "next": 1, "held": []}
            writer.write(encode_json("200 OK", held, own))
        elif target.path == "/report":
            writer.write(encode_json("200 OK", self._report(), own))
        elif target.path in ("/order", "/health"):
            writer.write(encode_json("200 OK", {}, own))
        else:
            self.runs.append(arrival)
            tenant = arrival.fields.get("x-tenant", "-")
            self.record.write(self.name, f"runs {arrival.request} of tenant {tenant}")
            await self.run(arrival, writer)

    async def events(self, since: int, wait_s: float) -> dict[str, Any]:
        """Return the answer to a call for cache events."""
        await asyncio.sleep(wait_s)
        return {"epoch": self._born_ms, "next": max(since, 1), "lost": False, "events": []}

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "models": self._models(),
            "busy": False,
            "sequenceNumber": 0,
            "born": self._born_ms,
            "waiting": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 100_000,
        }

    def signed(self, arrival: Arrival) -> Fields:
        """Return the fields of an answer that the server made."""
        return {
            "X-Request-Id": arrival.request,
            "X-Instance-Id": self.name,
            "X-Server-Signature": f"sig.{self.name}",
        }

    async def answer(
        self, arrival: Arrival, writer: asyncio.StreamWriter, version: int = 1
    ) -> None:
        """Answer a plain request, or a stream of three events for a model."""
        await asyncio.sleep(0.02)
        if self._model is None:
            writer.write(encode_json("200 OK", {"done": arrival.request}, self.signed(arrival)))
            return
        fields = self.signed(arrival) | {"X-Weight-Versions": str(version)}
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, 4):
            event = b"id: %d\ndata: t%d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")


@dataclass
class Answer:
    """What a caller got."""

    status: int
    fields: Fields = field(default_factory=dict)
    body: bytes = b""


class Node:
    """One entry instance, started with the command of the deploy file."""

    lease_ms = 3_000
    """Value of ``leaseMs`` in its settings."""

    def __init__(self, number: int, store: Store, folder: Path) -> None:
        network = os.getpid() % 62_500
        self.ip = f"127.{1 + network // 250}.{network % 250}.{10 + number}"
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"front-{self.zone}-{1 + number // len(ZONES)}"
        self._settings = folder / f"{self.name}.toml"
        self._store_address = store.address
        self.write_settings()
        self._log = folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self) -> None:
        """Write the settings file."""
        self._settings.write_text(self._text(self._store_address), encoding="utf-8")

    def start(self) -> None:
        """Start the process."""
        paths = [str(ROOT), str(ROOT / "target" / "deps")]
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment |= {
            "BERGAMOTHILL_CONFIG": str(self._settings),
            "PYTHONPATH": os.pathsep.join(paths),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "bergamothill.process.daemon"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def log_text(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(encoding="utf-8", errors="replace")

    def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether its readiness check succeeds."""
        try:
            answer = await self._exchange(8002, b"GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n", 1)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def ask(
        self,
        method: str,
        path: str,
        fields: Fields,
        body: bytes = b"",
        timeout_s: float = 5.0,
    ) -> Answer:
        """Send one request of a caller; an answer of status 0 is a closed connection."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        try:
            return await self._exchange(8005, data, timeout_s)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return Answer(0)

    async def _exchange(self, port: int, data: bytes, timeout_s: float) -> Answer:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(self.ip, port)
            try:
                writer.write(data)
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                return Answer(int(line.split(" ")[1]), fields, body)
            finally:
                writer.close()

    def _text(self, store_address: str) -> str:
        zones = "".join(f'{zone} = "nz-north"\n' for zone in ZONES)
        return f"""\
nodeName = "{self.name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ipAddress = "{self.ip}"
zone = "{self.zone}"
region = "nz-north"
internalPortRange = [7700, 7715]
heartbeatIntervalMs = 1200
discovery = "platform"
[zones]
{zones}[listenAddresses]
front = "{self.ip}:8005"
readyAddress = "{self.ip}:8002"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
[bounds]
stabilityWindowMs = 3000
drainTimeoutMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configApplyMs = 2000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 52
requireFencing = false
leaseMs = {self.lease_ms}
versionMs = 6000
[platform]
address = "{store_address}"
form = "kv"
ttlMinMs = 1000
"""


class Fleet:
    """Store, servers and entry instances of one case."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.store = Store()
        self.servers: list[Server] = []
        self.nodes: list[Node] = []
        self._folder = folder

    async def start(self, config: dict[str, Any], servers: Iterable[Server], nodes: int) -> None:
        """Start all and wait until the entry instances are ready."""
        self.store.put("op/config", config)
        for server in servers:
            await server.start()
            self.servers.append(server)
        for number in range(nodes):
            self.add_node(number)
        for node in self.nodes:
            await self.wait_ready(node)

    def add_node(self, number: int) -> Node:
        """Start one more entry instance."""
        node = Node(number, self.store, self._folder)
        self.nodes.append(node)
        node.start()
        return node

    async def wait_ready(self, node: Node) -> None:
        """Wait until an entry instance is ready."""
        for _ in range(300):
            if await node.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{node.name} is not ready: {node.log_text()[-2000:]}")

    def stop(self) -> None:
        """End the entry instances."""
        for node in self.nodes:
            node.stop()


def has_trouble() -> bool:
    """Return whether the case plays its disruption; not with ``TROUBLE=0``."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: str, case: Callable[[Fleet], Awaitable[bool]]) -> None:
    """Run a case and exit with 0 if the rule held, 1 if it was broken, 2 if it could not run.

    :param folder: folder of the case, which gets the record
    :param case: returns whether the rule held
    """
    record = Record(Path(folder))
    scratch = Path(tempfile.mkdtemp())
    fleet = Fleet(record, scratch)

    async def play() -> None:
        status = 2
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            fleet.store = Store()
            await fleet.store.start()
            async with asyncio.timeout(TIME_LIMIT_S):
                status = 0 if await case(fleet) else 1
        except Exception as error:  # noqa: BLE001 - whatever went wrong, the case could not run
            record.write("case", f"could not run: {error!r}")
        finally:
            fleet.stop()
            shutil.rmtree(scratch, ignore_errors=True)
            record.write("case", f"exit {status}")
            # Connections of the stand-ins may be open still.
            os._exit(status)

    asyncio.run(play())
