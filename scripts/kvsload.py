"""Measure the calls that idle and busy entry instances make to the key-value service, by kind."""

from __future__ import annotations

import sys
import time

from scripts.deployment import Deployment, DeploymentShape
from scripts.processes import ProcessGroup

WARM_UP_S = 6.0
WINDOW_S = 15.0
KEYED_CALLS = 50
SHAPES = ((1, 2), (1, 6), (3, 6))


def read_call_counts(deployment: Deployment) -> dict[str, int]:
    """Return the number of calls so far, by kind."""
    return dict(deployment.kvs.json("GET", "/stats"))


def idle_rates(deployment: Deployment) -> dict[str, float]:
    """Return the calls per second of an idle deployment, by kind."""
    time.sleep(WARM_UP_S)
    before = read_call_counts(deployment)
    started = time.monotonic()
    time.sleep(WINDOW_S)
    elapsed = time.monotonic() - started
    after = read_call_counts(deployment)
    return {kind: (after[kind] - before.get(kind, 0)) / elapsed for kind in after}


def keyed_call_cost(deployment: Deployment) -> dict[str, float]:
    """Return the calls caused by one service call with an idempotency key, by kind."""
    caller = deployment.caller(0)
    before = read_call_counts(deployment)
    for number in range(KEYED_CALLS):
        path = "/v1/services/booking/pickups"
        reply = caller.request("POST", path, b"{}", Idempotency_Key=f"kvsload-{number}")
        if reply.status != 201:
            raise RuntimeError(f"the booking was not created: {reply}")
    after = read_call_counts(deployment)
    return {kind: (after[kind] - before.get(kind, 0)) / KEYED_CALLS for kind in after}


def format_figures(figures: dict[str, float]) -> str:
    """Format figures as key=value pairs."""
    return " ".join(f"{kind}={figures[kind]:.2f}" for kind in sorted(figures))


def main() -> int:
    """Print one line per deployment shape, and one for calls with an idempotency key."""
    for zones, entries in SHAPES:
        with ProcessGroup() as group:
            shape = DeploymentShape(zones=zones, entries=entries, engines=zones, stores=zones)
            deployment = Deployment.start(group, shape)
            print(
                f"kvsload zones={zones} entries={entries} a_second:"
                f" {format_figures(idle_rates(deployment))}"
            )
            if zones == 1 and entries == SHAPES[0][1]:
                print(f"kvsload keyed_call: {format_figures(keyed_call_cost(deployment))}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
