"""Entry instances in the platform's form and the stand-ins they need, as child processes."""

from __future__ import annotations

import json
import os
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bergamothill.connection.http import HttpClient
from bergamothill.connection.kvs import ABSENT
from bergamothill.platform.kvs import PlatformKeyValueService
from scripts.processes import EntryProcess, ProcessGroup, StandInProcess
from standins.links import LinkState

__all__ = [
    "API_KEY",
    "HOST",
    "FleetShape",
    "KOWHAI_MEND",
    "LAYOUTS",
    "LONG_LIMITS",
    "PKMA_DESK",
    "PlatformFleet",
    "RequestKind",
]

HOST = "desk.example"
API_KEY = "key-1"
CALLER_PORT = 8005
READINESS_PORT = 8002
STORE_TIMEOUT_MS = 5_000
MS_PER_S = 1_000


@dataclass(frozen=True)
class RequestKind:
    """One kind of request of a deployment's sheet.

    :param name: its name and the first part of its path
    :param kind: ``streaming``, ``unsafe`` or ``safe``
    :param events: events of its answer; 0 for a plain answer
    :param first_ms: time to the first byte of the body
    :param gap_ms: time between two events
    :param timeout_ms: time limit
    :param target_ms: latency target
    :param is_resumable: whether a broken stream may go on at another server
    :param size: bytes of a plain answer, or of the data of each event
    """

    name: str
    kind: str
    events: int
    first_ms: int
    gap_ms: int
    timeout_ms: int
    target_ms: int
    is_resumable: bool = False
    size: int = 800


@dataclass(frozen=True)
class FleetShape:
    """Layout of a deployment.

    :param zones: names of the zones
    :param nodes: number of entry instances
    :param engines: number of model engines
    :param plain_servers: number of servers of the plain service
    :param kinds: kinds of request
    :param grace_s: seconds from SIGTERM to SIGKILL
    :param memory_mb: memory limit of an entry instance
    :param descriptors: its limit on file descriptors
    """

    zones: tuple[str, ...]
    nodes: int
    engines: int
    plain_servers: int
    kinds: tuple[RequestKind, ...]
    grace_s: float = 8
    memory_mb: int = 300
    descriptors: int = 4_100


KOWHAI_MEND = FleetShape(
    zones=("akl-a", "akl-b", "akl-c"),
    nodes=6,
    engines=5,
    plain_servers=3,
    kinds=(
        RequestKind("repair-quote", "streaming", 55, 300, 60, 12_000, 600),
        RequestKind("gear-question", "streaming", 42, 100, 30, 10_000, 300, is_resumable=True),
        RequestKind("bench-triage", "streaming", 3, 50, 30, 2_500, 300, is_resumable=True),
        RequestKind("book-pickup", "unsafe", 0, 45, 0, 2_500, 200),
        RequestKind("job-status", "safe", 0, 45, 0, 2_500, 200),
    ),
)

PKMA_DESK = FleetShape(
    zones=("suva-a", "nadi-b", "lautoka-c"),
    nodes=7,
    engines=9,
    plain_servers=3,
    kinds=(
        RequestKind("voicing-consult", "streaming", 55, 300, 60, 12_000, 600),
        RequestKind("manual-check", "streaming", 42, 100, 30, 10_000, 250, is_resumable=True),
        RequestKind("warranty-ruling", "streaming", 3, 50, 30, 2_500, 300, is_resumable=True),
        RequestKind("parts-order", "unsafe", 0, 90, 0, 4_000, 400),
        RequestKind("order-lookup", "safe", 0, 90, 0, 4_000, 400),
    ),
)

LONG_LIMITS = FleetShape(
    zones=("zone-a", "zone-b"),
    nodes=4,
    engines=2,
    plain_servers=3,
    kinds=(
        RequestKind("draft", "streaming", 30, 300, 60, 12_000, 600),
        RequestKind("order", "unsafe", 0, 3_000, 0, 12_000, 4_000),
        RequestKind("lookup", "safe", 0, 1_500, 0, 10_000, 2_000),
        RequestKind("quick-order", "unsafe", 0, 45, 0, 2_500, 200),
    ),
)
"""Plain answers that take long, and callers that wait for them longer than a stop lasts."""

LAYOUTS = {"kowhai-mend": KOWHAI_MEND, "long-limits": LONG_LIMITS, "pkma-desk": PKMA_DESK}


class EntryNode(EntryProcess):
    """One entry instance with addresses of its own.

    :param name: name of the instance
    :param ip_address: its loopback address
    :param zone: its availability zone
    :param settings_path: its settings file
    :param log_path: file for its log
    """

    def __init__(
        self, name: str, ip_address: str, zone: str, settings_path: Path, log_path: Path
    ) -> None:
        listen_address = f"{ip_address}:{READINESS_PORT}"
        super().__init__(settings_path, listen_address, log_path, has_log_on_stdout=True)
        self.name = name
        self.zone = zone
        self.caller_address = (ip_address, CALLER_PORT)
        self.readiness_address = (ip_address, READINESS_PORT)
        self.log_path = log_path
        self.settings_path = settings_path

    def wait_ready(self, path: str = "/readiness") -> None:
        """Wait until the readiness check of the instance succeeds."""
        super().wait_ready(path)


@dataclass
class PlatformFleet:
    """A running deployment.

    :param shape: its layout
    :param store: stand-in of the key-value service
    :param servers: stand-ins of the backend servers, by id
    :param nodes: entry instances
    :param kvs: client of the key-value service
    :param group: group that stops all processes
    :param links: links between each instance and the servers, by number of the instance; empty if
        instances reach the servers themselves
    :param version: next version of the configuration
    """

    shape: FleetShape
    store: StandInProcess
    servers: dict[str, StandInProcess]
    nodes: list[EntryNode]
    kvs: PlatformKeyValueService
    group: ProcessGroup
    links: list[StandInProcess]
    version: int = 1

    @classmethod
    def start(
        cls, group: ProcessGroup, shape: FleetShape, *, has_links: bool = False
    ) -> PlatformFleet:
        """Start all processes and wait until the entry instances are ready.

        :param group: group that stops them
        :param shape: layout
        :param has_links: whether each instance reaches the servers over links that can be cut; for
            at most two instances a zone, as more share what they read
        """
        store = group.add(StandInProcess("platformstore"))
        client = HttpClient("key-value service", store.address)
        kvs = PlatformKeyValueService(client, timeout_ms=STORE_TIMEOUT_MS)
        names = [f"llm-{i}" for i in range(shape.engines)]
        names += [f"plain-{i}" for i in range(shape.plain_servers)]
        servers = {
            name: group.add(StandInProcess("platformserver", "--server", name)) for name in names
        }
        links = [
            group.add(StandInProcess("links", "--store", store.address))
            for _ in range(shape.nodes if has_links else 0)
        ]
        fleet = cls(shape, store, servers, [], kvs, group, links)
        fleet.write_config()
        for number, (name, server) in enumerate(servers.items()):
            entry = _server_entry(name, server.address, shape.zones[number % len(shape.zones)])
            fleet._put(f"servers/{name}", entry)
        for number in range(shape.nodes):
            fleet.nodes.append(fleet.start_node(number))
        for node in fleet.nodes:
            node.wait_ready()
        return fleet

    def start_node(self, number: int) -> EntryNode:
        """Start one entry instance, also in place of one that has ended.

        :param number: its position; instances are spread over the zones
        """
        ip_address = _loopback_address(number)
        zone = self.shape.zones[number % len(self.shape.zones)]
        name = f"front-{zone}-{1 + number // len(self.shape.zones)}"
        path = self.group.folder / f"{name}.toml"
        path.write_text(self._settings(name, ip_address, zone, number), encoding="utf-8")
        log_path = self.group.folder / f"{name}.log"
        return self.group.add(EntryNode(name, ip_address, zone, path, log_path))

    def set_links(self, number: int, state: LinkState) -> None:
        """Change how the links between an instance and the servers behave.

        :param number: position of the instance
        """
        self.links[number].json("PUT", "/links", {"state": state.value})

    def write_config(self) -> None:
        """Write the next version of the configuration."""
        document = _config(self.shape, self.version)
        self.version += 1
        self._put("op/config", document)

    def seen(self) -> dict[str, dict[str, Any]]:
        """Return what the servers know of each request, by request id."""
        requests: dict[str, dict[str, Any]] = {}
        for server in self.servers.values():
            requests.update(server.json("GET", "/seen"))
        return requests

    def run_counts(self) -> Counter[str]:
        """Return how often each request has reached servers, by request id."""
        counts: Counter[str] = Counter()
        for server in self.servers.values():
            for request, seen in server.json("GET", "/seen").items():
                counts[request] += seen["runs"]
        return counts

    def received(self, request: str) -> dict[str, tuple[str, str]]:
        """Return head and body of a request as servers received it, by server.

        :param request: request id
        """
        documents = {name: server.json("GET", "/received") for name, server in self.servers.items()}
        return {name: tuple(d[request]) for name, d in documents.items() if request in d}

    def _put(self, key: str, document: Any) -> None:
        existing = self.kvs.get(key)
        expected = ABSENT if existing is None else existing.mod_revision
        self.kvs.put_if(key, json.dumps(document).encode(), expected=expected)

    def _settings(self, name: str, ip_address: str, zone: str, number: int) -> str:
        store = self.links[number] if self.links else self.store
        return f"""\
nodeName = "{name}"
zone = "{zone}"
ipAddress = "{ip_address}"
internalPortRange = [7700, 7715]
heartbeatIntervalMs = 1200
[listenAddresses]
front = "{ip_address}:{CALLER_PORT}"
readyAddress = "{ip_address}:{READINESS_PORT}"
[limits]
memoryMb = {self.shape.memory_mb}
fileDescriptors = {self.shape.descriptors}
[bounds]
drainTimeoutMs = 2000
gracePeriodS = {self.shape.grace_s}
revokeMs = 5000
strictRevocation = true
retryBudgetRatio = 0.2
retryBudgetSlack = 52
budgetWindowS = 10
leaseMs = 3000
versionMs = 6000
[platform]
address = "{store.address}"
ttlMinMs = 1000
"""


def _loopback_address(number: int) -> str:
    """Return a loopback address of this process's own, as the ports are the same on all nodes."""
    network = os.getpid() % 62_500
    return f"127.{1 + network // 250}.{network % 250}.{10 + number}"


def _config(shape: FleetShape, version: int) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            {
                "name": kind.name,
                "host": HOST,
                "prefix": f"/{kind.name}/",
                "kind": kind.kind,
                "timeoutMs": kind.timeout_ms,
                "targetLatencyMs": kind.target_ms,
                "gapTargetMs": 300,
                "service": "llm" if kind.events else "plain",
                "maxAttempts": 2,
                "resumable": kind.is_resumable,
            }
            for kind in shape.kinds
        ],
        "services": [
            {"name": "plain", "connectionLimit": 96, "healthCheckPath": "/health"},
            {
                "name": "llm",
                "connectionLimit": 360,
                "engine": {
                    "slots": 64,
                    "kvCapacityTokens": 2_000_000,
                    "kvTokenBytes": 327680,
                    "linkMbps": 1_100_000.0,
                    "maxConcurrent": 12,
                    "models": [{"name": "m1"}],
                },
            },
        ],
        "limits": {"idleTimeoutMs": 15_000},
        "tenants": [{"name": "kowhai", "apiKeys": [API_KEY]}],
    }


def _server_entry(name: str, address: str, zone: str) -> dict[str, Any]:
    is_engine = name.startswith("llm")
    return {
        "service": "llm" if is_engine else "plain",
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "born": int(time.time() * MS_PER_S),
        "models": [{"name": "m1", "version": 1, "adapters": []}] if is_engine else [],
        "sequenceNumber": 0,
    }
