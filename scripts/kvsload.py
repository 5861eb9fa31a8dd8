"""Calls that idle and working entry instances make to the key-value service, by kind."""

from __future__ import annotations

import sys
import time

from scripts.deployment import Deployment, DeploymentShape
from scripts.processes import ProcessGroup

SETTLE_S = 6.0
WINDOW_S = 15.0
KEYED_CALLS = 50
SHAPES = ((1, 2), (1, 6), (3, 6))


def calls(deployment: Deployment) -> dict[str, int]:
    """Return the calls so far, by kind."""
    return dict(deployment.kvs.json("GET", "/stats"))


def rates(deployment: Deployment) -> dict[str, float]:
    """Return the calls a second of an idle deployment, by kind."""
    time.sleep(SETTLE_S)
    before = calls(deployment)
    started = time.monotonic()
    time.sleep(WINDOW_S)
    elapsed = time.monotonic() - started
    after = calls(deployment)
    return {kind: (after[kind] - before.get(kind, 0)) / elapsed for kind in after}


def calls_for_keyed(deployment: Deployment) -> dict[str, float]:
    """Return the calls that one keyed call to a service costs, by kind."""
    caller = deployment.caller(0)
    before = calls(deployment)
    for number in range(KEYED_CALLS):
        path = "/v1/services/booking/pickups"
        reply = caller.request("POST", path, b"{}", Idempotency_Key=f"kvsload-{number}")
        if reply.status != 201:
            raise RuntimeError(f"the booking was not taken: {reply}")
    after = calls(deployment)
    return {kind: (after[kind] - before.get(kind, 0)) / KEYED_CALLS for kind in after}


def line(figures: dict[str, float]) -> str:
    """Return figures as key=value pairs."""
    return " ".join(f"{kind}={figures[kind]:.2f}" for kind in sorted(figures))


def main() -> int:
    """Print one line for each shape, and one for keyed calls."""
    for zones, entries in SHAPES:
        with ProcessGroup() as group:
            shape = DeploymentShape(zones=zones, entries=entries, engines=zones, stores=zones)
            deployment = Deployment.start(group, shape)
            print(f"kvsload zones={zones} entries={entries} a_second: {line(rates(deployment))}")
            if zones == 1 and entries == SHAPES[0][1]:
                print(f"kvsload keyed_call: {line(calls_for_keyed(deployment))}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
