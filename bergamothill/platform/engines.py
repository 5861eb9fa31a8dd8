"""Calls to model engines: state and orders."""

from __future__ import annotations

import json

from bergamothill.connection.http import HttpClient
from bergamothill.errors import BergamothillError, PeerUnreachableError
from bergamothill.ids import EntryInstanceId, FencingNumber, ModelName
from bergamothill.platform.reading import Fields, read_fields
from bergamothill.version.weightswap import (
    EngineState,
    OrderSwap,
    SwapEngine,
    SwapMode,
    SwapOutcome,
)

__all__ = ["ask_state", "order_swap"]

ASK_TIMEOUT_MS = 500
ORDER_TIMEOUT_MS = 700

_JSON = "application/json"
_MODES = {SwapMode.FINISH: "wait", SwapMode.CONTINUE: "keep"}
_OUTCOMES = {
    200: SwapOutcome.ALREADY_HOLDS,
    202: SwapOutcome.ACCEPTED,
    409: SwapOutcome.BUSY,
    429: SwapOutcome.BUSY,
    503: SwapOutcome.BUSY,
}


def ask_state(engine: SwapEngine) -> EngineState:
    """Ask an engine for its state.

    :param engine: engine
    :raises BergamothillError: it gave none
    """
    step = "engine.state"
    fields = read_fields(
        HttpClient(engine.server, engine.address),
        "/report",
        step=step,
        timeout_ms=ASK_TIMEOUT_MS,
        headers={"X-Expected-Instance": engine.server},
    )
    rows = (Fields(row, step=step) for row in fields.rows("models"))
    return EngineState(
        weights={ModelName(row.text("name")): row.integer("version") for row in rows},
        is_busy=fields.flag("busy", False),
        # "sequenceNumber" counts the orders that were accepted, not messages.
        orders_accepted=fields.integer("sequenceNumber", 0),
        running=fields.integer("running", 0),
        waiting=fields.integer("waiting", 0),
    )


def order_swap(order: OrderSwap, holder: EntryInstanceId, fencing: FencingNumber) -> SwapOutcome:
    """Order an engine to take new weights.

    :param order: order
    :param holder: holder of the duty
    :param fencing: its fencing number
    """
    engine = order.engine
    body = {
        "operation": "version",
        "model": engine.model,
        "version": order.version,
        "switchMode": _MODES[order.mode],
        "holder": holder,
        "fencingToken": fencing,
        "expected": order.orders_accepted,
    }
    client = HttpClient(engine.server, engine.address)
    try:
        reply = client.request(
            "POST",
            "/order",
            step="engine.order",
            timeout_ms=ORDER_TIMEOUT_MS,
            body=json.dumps(body).encode(),
            headers={"Content-Type": _JSON, "X-Expected-Instance": engine.server},
            fresh=True,
        )
    except PeerUnreachableError:
        return SwapOutcome.NOT_SENT
    except BergamothillError:
        return SwapOutcome.UNKNOWN
    return _OUTCOMES.get(reply.status, SwapOutcome.REFUSED)
