"""A small deployment on 127.0.0.1: stand-ins and entry instances as separate processes."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from bergamothill.clock import SystemClock
from bergamothill.connection.http import HttpClient
from bergamothill.connection.kvs_http import HttpKeyValueService
from bergamothill.ids import BrandName, ModelName, ServiceName, WeightVersion
from bergamothill.request.auth import key_digest
from bergamothill.version.change import (
    AddBrand,
    AddKey,
    AddModel,
    AddService,
    AllowModel,
    AllowService,
    Change,
)
from bergamothill.version.revision import ConfigurationWriter
from scripts.caller import Caller
from scripts.processes import EntryProcess, ProcessGroup, StandInProcess, free_ports

__all__ = ["BRANDS", "Deployment", "DeploymentShape", "OPERATOR_KEY", "wait_until"]

OPERATOR_KEY = "operator-key"
SHARED_SECRET = "shared secret of the deployment"
MODEL = "manual"
VERSION = "v1"
SERVICE = "booking"
BRANDS = ("kowhai", "association")
CALL_TIMEOUT_MS = 5_000
WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class DeploymentShape:
    """Size and settings of a deployment.

    :param zones: availability zones
    :param entries: entry instances, spread over the zones
    :param engines: model engines, spread over the zones
    :param stores: store instances, spread over the zones
    :param engine_options: additional command-line arguments of each engine
    :param drain_notice_ms: how long a draining entry instance accepts requests after it has become
        unready
    :param worker_threads: limit on concurrent requests at an entry instance
    :param idle_timeout_ms: limit on the time between two events of an engine's stream
    """

    zones: int = 2
    entries: int = 4
    engines: int = 4
    stores: int = 2
    engine_options: tuple[str, ...] = ()
    drain_notice_ms: int = 500
    worker_threads: int = 512
    idle_timeout_ms: int = 10_000


@dataclass(slots=True)
class Deployment:
    """A running deployment; create it with :meth:`start`.

    :param group: owner of the processes
    :param shape: size and settings
    """

    group: ProcessGroup
    shape: DeploymentShape
    kvs: StandInProcess = field(init=False)
    instance_list: StandInProcess = field(init=False)
    weight_store: StandInProcess = field(init=False)
    engines: list[StandInProcess] = field(default_factory=list)
    stores: list[StandInProcess] = field(default_factory=list)
    booking: StandInProcess = field(init=False)
    entries: list[EntryProcess] = field(default_factory=list)

    @classmethod
    def start(cls, group: ProcessGroup, shape: DeploymentShape) -> Deployment:
        """Start all processes, configure the brands and wait until all entries are ready."""
        deployment = cls(group, shape)
        deployment._start_stand_ins()
        deployment.submit(*_initial_changes())
        for number in range(shape.entries):
            deployment.start_entry(number)
        for entry in deployment.entries:
            entry.wait_ready()
        deployment.wait_engines_known()
        return deployment

    def zone(self, number: int) -> str:
        """Return the availability zone of the n-th instance of a kind."""
        return f"zone-{number % self.shape.zones}"

    def start_entry(self, number: int) -> EntryProcess:
        """Start one entry instance and register it in the instance list."""
        listen_port, peer_port = free_ports(2)
        name = f"entry-{number}"
        path = self.group.folder / f"{name}.toml"
        path.write_text(self._settings(number, listen_port, peer_port), encoding="utf-8")
        self.list_instance(name, "entry", number, f"127.0.0.1:{peer_port}")
        entry = EntryProcess(path, f"127.0.0.1:{listen_port}", self.log_path(name))
        self.entries.append(self.group.add(entry))
        return entry

    def log_path(self, name: str) -> Path:
        """Return the log file of a process."""
        return self.group.folder / f"{name}.log"

    def caller(self, entry: int, brand: str = BRANDS[0]) -> Caller:
        """Return a client of one entry instance with a brand's key."""
        return Caller(self.entries[entry].address, bearer_key(brand))

    def submit(self, *changes: Change) -> int:
        """Submit configuration changes and return the resulting revision."""
        client = HttpClient("kvs", self.kvs.address)
        writer = ConfigurationWriter(HttpKeyValueService(client), SystemClock())
        return writer.submit(changes).revision

    def status(self, entry: int) -> dict:
        """Return the status of one entry instance."""
        client = HttpClient("entry", self.entries[entry].address)
        reply = client.request(
            "GET",
            "/operator/status",
            step="status",
            timeout_ms=CALL_TIMEOUT_MS,
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        )
        return json.loads(reply.body)

    def list_instance(
        self, name: str, kind: str, number: int, address: str, state: str = "live", group: str = ""
    ) -> None:
        """Register an instance in the instance list, or update its registration."""
        body = {
            "kind": kind,
            "zone": self.zone(number),
            "address": address,
            "incarnation": 1 if kind != "entry" else 0,
            "state": state,
            "group": group,
        }
        self.instance_list.json("PUT", f"/instances/{name}", body)

    def stored_blocks(self) -> int:
        """Return the number of committed blocks in the stores."""
        objects = [item for store in self.stores for item in store.json("GET", "/objects?prefix=")]
        return sum("/commit" in item[0] for item in objects)

    def evict_all(self) -> None:
        """Evict all blocks from the prefix caches of the engines."""
        for engine in self.engines:
            engine.json("POST", "/evict", {})

    def wait_engines_known(self) -> None:
        """Wait until each entry instance has live load reports from all engines of its zone.

        :raises TimeoutError: they do not in time; a note names the processes that have ended
        """
        expected = {
            number: {
                f"engine-{index}"
                for index in range(self.shape.engines)
                if self.zone(index) == self.zone(number)
            }
            for number in range(self.shape.entries)
        }

        def engines_known() -> bool:
            return all(
                expected_servers
                <= {
                    item["server"]
                    for item in self.status(number)["servers"]
                    if _is_live_and_reported(item)
                }
                for number, expected_servers in expected.items()
            )

        try:
            wait_until(engines_known, "the entry instances know their engines")
        except TimeoutError as error:
            error.add_note(f"ended processes: {self.group.ended_members()}")
            raise

    def _start_stand_ins(self) -> None:
        shape, add = self.shape, self.group.add
        self.kvs = add(StandInProcess("kvs"))
        self.instance_list = add(StandInProcess("instancelist"))
        self.weight_store = add(StandInProcess("weightstore"))
        self.booking = add(StandInProcess("service", "--name", SERVICE))
        self.list_instance("booking-0", "service", 0, self.booking.address, group=SERVICE)
        for number in range(shape.stores):
            self.stores.append(add(StandInProcess("store")))
            self.list_instance(f"store-{number}", "store", number, self.stores[number].address)
        for number in range(shape.engines):
            arguments = ("--server-id", f"engine-{number}", "--model", MODEL)
            versions = ("--versions", VERSION, "--weight-store", self.weight_store.address)
            engine = StandInProcess("engine", *arguments, *versions, *shape.engine_options)
            self.engines.append(add(engine))
            self.list_instance(f"engine-{number}", "engine", number, engine.address)

    def _settings(self, number: int, listen_port: int, peer_port: int) -> str:
        return f"""[entry]
id = "entry-{number}"
zone = "{self.zone(number)}"
listen_address = "127.0.0.1:{listen_port}"
peer_address = "127.0.0.1:{peer_port}"

[platform]
kvs_address = "{self.kvs.address}"
instance_list_address = "{self.instance_list.address}"
weight_store_address = "{self.weight_store.address}"

[security]
shared_secret = "{SHARED_SECRET}"
operator_key_digest = "{key_digest(OPERATOR_KEY)}"

[requests]
worker_threads = {self.shape.worker_threads}
idle_timeout_ms = {self.shape.idle_timeout_ms}

[drain]
notice_ms = {self.shape.drain_notice_ms}
"""


def bearer_key(brand: str) -> str:
    """Return the bearer key of a brand of the deployment."""
    return f"key-of-{brand}"


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Poll until a condition holds.

    :raises TimeoutError: it did not hold within ``WAIT_TIMEOUT_S``
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out waiting until {what}")
        time.sleep(POLL_INTERVAL_S)


def _is_live_and_reported(server: dict) -> bool:
    return server["state"] == "live" and server["age_ms"] is not None


def _initial_changes() -> tuple[Change, ...]:
    changes: list[Change] = [
        AddModel(ModelName(MODEL), WeightVersion(VERSION)),
        AddService(ServiceName(SERVICE)),
    ]
    for name in BRANDS:
        brand = BrandName(name)
        changes += [
            AddBrand(brand),
            AddKey(brand, key_digest(bearer_key(name))),
            AllowModel(brand, ModelName(MODEL)),
            AllowService(brand, ServiceName(SERVICE)),
        ]
    return tuple(changes)
