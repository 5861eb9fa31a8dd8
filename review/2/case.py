"""Servers hold two models, and new weights are named for one after the other."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import (  # noqa: E402
    HOST,
    ZONES,
    Arrival,
    Fleet,
    Server,
    encode_json,
    has_trouble,
    run_case,
)

MODELS = ("m0", "m1")
LOAD_S = 0.29
VERSION_S = 6.0
LATEST_S = 1.5 * VERSION_S
"""Time after which at most one server, or a tenth, may have an older version."""

SETTLE_S = 8.0
WATCH_S = 18.0
KEY = "key-alpha"


class Engine(Server):
    """Model server with two models that takes orders as the page on the protocol tells."""

    def __init__(self, fleet: Fleet, name: str, zone: str) -> None:
        super().__init__(fleet.store, fleet.record, name, "mend-llm", zone, "m0")
        self.versions = dict.fromkeys(MODELS, 1)
        self.orders: list[dict[str, Any]] = []
        self._is_busy = False
        self.run = self._run

    def _models(self) -> list[dict[str, Any]]:
        return [{"name": m, "version": v, "adapters": []} for m, v in self.versions.items()]

    def _report(self) -> dict[str, Any]:
        return super()._report() | {"busy": self._is_busy, "sequenceNumber": len(self.orders)}

    async def _handle(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        if arrival.line.split(" ")[1] != "/order":
            await super()._handle(arrival, writer)
            return
        order = json.loads(arrival.body)
        status = self._take(order)
        text = f"{status} to order {order['model']} version {order['version']}"
        self.record.write(self.name, f"{text} of {order['holder']}")
        writer.write(encode_json(status, {}, {"X-Instance-Id": self.name}))

    def _take(self, order: dict[str, Any]) -> str:
        model, version = order["model"], order["version"]
        named = self._store.items.get(f"op/version/{model}")
        if named is None or version > json.loads(named.value)["version"]:
            return "400 Bad Request"
        if self.versions[model] == version:
            return "200 OK"
        if self._is_busy or order.get("expected", len(self.orders)) != len(self.orders):
            return "409 Conflict"
        self.orders.append(order)
        self._is_busy = True
        asyncio.get_running_loop().call_later(LOAD_S, self._loaded, model, version)
        return "202 Accepted"

    def _loaded(self, model: str, version: int) -> None:
        self._is_busy = False
        self.versions[model] = version
        self._store.put(f"servers/{self.name}", self._entry_now())
        self.record.write(self.name, f"has {model} version {version}")

    async def _run(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        version = self.versions[arrival.fields["x-model"]]
        if int(arrival.fields.get("x-expected-version", version)) != version:
            self.runs.remove(arrival)
            refusal = self.signed(arrival) | {"X-Not-Executed": "1"}
            writer.write(encode_json("421 Misdirected Request", {}, refusal))
            return
        await self.answer(arrival, writer, version)


def config() -> dict[str, Any]:
    """Return the configuration."""
    return {
        "version": 4,
        "routes": [
            {
                "name": "gear-question",
                "host": HOST,
                "prefix": "/gear/",
                "kind": "streaming",
                "service": "mend-llm",
                "timeoutMs": 10_000,
                "targetLatencyMs": 300,
                "gapTargetMs": 300,
                "maxAttempts": 1,
                "resumable": False,
                "stickySessions": True,
                "priority": 1,
            }
        ],
        "services": [
            {
                "name": "mend-llm",
                "connectionLimit": 360,
                "healthCheckPath": "/health",
                "engine": {
                    "slots": 64,
                    "kvCapacityTokens": 138_287,
                    "kvTokenBytes": 327_680,
                    "linkMbps": 1_100_000.0,
                    "maxConcurrent": 12,
                    "models": [{"name": model} for model in MODELS],
                },
            }
        ],
        "limits": {"idleTimeoutMs": 15_000},
        "tenants": [{"name": "alpha", "apiKeys": [KEY]}],
    }


class Day:
    """Traffic for both models."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._number = 0
        self.answers: list[tuple[float, str, int]] = []

    async def ask(self, model: str) -> None:
        """Send one request."""
        self._number += 1
        request = f"{self._number:016x}"
        fields = {
            "X-Request-Id": request,
            "Authorization": f"Bearer {KEY}",
            "X-Model": model,
            "X-Token-Counts": "600,40",
            "X-Prompt-Prefix": f"5c1e07a2:500,{request}:100",
            "X-Deadline-Milliseconds": "10000",
        }
        node = self._fleet.nodes[self._number % len(self._fleet.nodes)]
        sent_s = time.monotonic()
        answer = await node.ask("POST", "/gear/1", fields, b"prompt")
        self.answers.append((sent_s, model, answer.status))
        self._fleet.record.write("caller", f"{request} for {model} got {answer.status}")

    async def send(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.gather(*(self.ask(model) for model in MODELS))
            await asyncio.sleep(0.3)

    def served(self, model: str, since_s: float) -> tuple[int, int]:
        """Return how many requests were answered with success, of how many sent since then."""
        statuses = [s for sent_s, m, s in self.answers if m == model and sent_s >= since_s]
        return statuses.count(200), len(statuses)


def name_weights(fleet: Fleet, model: str, version: int) -> float:
    """Name new weights, as the operator does; return the time of the acknowledgement."""
    fleet.store.put(f"op/version/{model}", {"model": model, "version": version})
    fleet.record.write("operator", f"acknowledged: {model} version {version} is named")
    return time.monotonic()


async def case(fleet: Fleet) -> bool:
    """Play the case; return whether the rule held."""
    engines = [Engine(fleet, f"i-{n}", zone) for n, zone in enumerate((*ZONES, *ZONES[:2]))]
    await fleet.start(config(), engines, nodes=3)
    for model in MODELS:
        name_weights(fleet, model, 1)
    await asyncio.sleep(2.0)
    day = Day(fleet)
    traffic = asyncio.create_task(day.send())
    await asyncio.sleep(2.0)
    target = {"m0": 2, "m1": 1}
    name_weights(fleet, "m0", 2)
    await asyncio.sleep(SETTLE_S)
    if any(engine.versions["m0"] != 2 for engine in engines):
        raise RuntimeError("the first weights did not come to all servers")
    named_s = time.monotonic()
    if has_trouble():
        target["m1"] = 2
        named_s = name_weights(fleet, "m1", 2)
    await asyncio.sleep(WATCH_S)
    traffic.cancel()
    old = [engine.name for engine in engines if engine.versions != target]
    fleet.record.write("check", f"{WATCH_S:.0f} s after the ack, old weights at {old or 'none'}")
    for model in MODELS:
        served, sent = day.served(model, named_s + LATEST_S)
        text = f"{model}: {served} of {sent} requests served from {LATEST_S:.0f} s on"
        fleet.record.write("check", text)
    return not (len(old) > 1 and len(old) > len(engines) / 10)


if __name__ == "__main__":
    run_case(str(FOLDER), case)
