"""A tenant becomes isolated while its context is still cached under the shared name."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import HOST, ZONES, Answer, Arrival, Fleet, Server, has_trouble, run_case  # noqa: E402

APPLIED_AFTER_S = 6.0
"""Three times ``configApplyMs``."""

PARTS = "5c1e07a2:512,91bd3f06:8610"
TENANTS = {"alpha": "key-alpha", "bravo": "key-bravo", "cedar": "key-cedar"}


class Engine(Server):
    """Model server that caches the parts of prompts under the salt that it is given.

    It notes for which tenant each part was made, and which requests found it.
    """

    def __init__(self, fleet: Fleet, name: str, zone: str) -> None:
        super().__init__(fleet.store, fleet.record, name, "mend-llm", zone, "m0")
        self.made: dict[tuple[str, str], str] = {}
        self.used: list[tuple[str, str, str, str]] = []
        self._told: list[list[Any]] = []
        self.run = self._run

    async def events(self, since: int, wait_s: float) -> dict[str, Any]:
        """Tell which parts are cached."""
        for _ in range(max(1, int(wait_s / 0.05))):
            if len(self._told) >= since:
                break
            await asyncio.sleep(0.05)
        events = self._told[max(0, since - 1) :]
        following = len(self._told) + 1
        return {"epoch": self._born_ms, "next": following, "lost": False, "events": events}

    async def _run(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        tenant = arrival.fields.get("x-tenant", "-")
        salt = arrival.fields.get("x-cache-salt", "")
        for entry in arrival.fields.get("x-prompt-prefix", "").split(","):
            part, _, tokens = entry.partition(":")
            maker = self.made.get((salt, part))
            if maker is not None:
                self.used.append((arrival.request, tenant, part, maker))
                text = f"{arrival.request} of {tenant} uses part {part}, made for {maker}"
                self.record.write(self.name, f"{text}, salt {salt!r}")
                continue
            self.made[(salt, part)] = tenant
            number = len(self._told) + 1
            self._told.append([number, "+", salt, part, int(tokens), "m0"])
            self.record.write(self.name, f"{arrival.request} of {tenant} makes {part}, {salt!r}")
        await self.answer(arrival, writer)


def config(version: int, isolated: frozenset[str]) -> dict[str, Any]:
    """Return a configuration in which some tenants are isolated."""
    return {
        "version": version,
        "routes": [
            {
                "name": "repair-quote",
                "host": HOST,
                "prefix": "/quote/",
                "kind": "streaming",
                "service": "mend-llm",
                "timeoutMs": 12_000,
                "targetLatencyMs": 600,
                "gapTargetMs": 300,
                "maxAttempts": 2,
                "resumable": True,
                "stickySessions": True,
                "priority": 2,
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
                    "models": [{"name": "m0"}],
                },
            }
        ],
        "limits": {"idleTimeoutMs": 15_000},
        "tenants": [
            {"name": name, "apiKeys": [key], "isolated": name in isolated}
            for name, key in TENANTS.items()
        ],
    }


async def ask(fleet: Fleet, node: int, tenant: str, request: str) -> Answer:
    """Send a prompt of a tenant: two shared parts and one of its own."""
    fields = {
        "X-Request-Id": request,
        "Authorization": f"Bearer {TENANTS[tenant]}",
        "X-Model": "m0",
        "X-Token-Counts": "9222,40",
        "X-Prompt-Prefix": f"{PARTS},{request}:100",
        "X-Deadline-Milliseconds": "12000",
    }
    answer = await fleet.nodes[node].ask("POST", "/quote/1", fields, b"prompt")
    name = fleet.nodes[node].name
    fleet.record.write("caller", f"{request} of {tenant} by {name} got {answer.status}")
    return answer


async def case(fleet: Fleet) -> bool:
    """Play the case; return whether the rule held."""
    engines = [Engine(fleet, f"i-{n}", ZONES[n]) for n in range(2)]
    # Without the disruption the tenant is isolated from the beginning.
    before = frozenset() if has_trouble() else frozenset({"alpha"})
    await fleet.start(config(4, before), engines, nodes=3)
    await asyncio.sleep(1.5)
    for number in range(6):
        answer = await ask(fleet, number % 3, "alpha", f"a{number:015x}")
        if answer.status != 200:
            raise RuntimeError(f"no answer before the change: {answer}")
    fleet.store.put("op/config", config(9, frozenset({"alpha"})))
    fleet.record.write("operator", "acknowledged: configuration 9, tenant alpha is isolated")
    await asyncio.sleep(APPLIED_AFTER_S)
    for engine in engines:
        engine.used.clear()
    served = 0
    for number in range(6):
        served += (await ask(fleet, number % 3, "bravo", f"b{number:015x}")).status == 200
        served += (await ask(fleet, number % 3, "alpha", f"c{number:015x}")).status == 200
    if not served:
        raise RuntimeError("no answer after the change")
    broken = [
        (request, tenant, part, maker)
        for engine in engines
        for request, tenant, part, maker in engine.used
        if tenant != maker and "alpha" in (tenant, maker)
    ]
    for request, tenant, part, maker in broken:
        fleet.record.write("check", f"WALL: {request} of {tenant} used {part} made for {maker}")
    return not broken


if __name__ == "__main__":
    run_case(str(FOLDER), case)
