"""HTTP calls to model engines, to fetch their state and to order weight swaps."""

from __future__ import annotations

import json

from bergamothill.connection.http import HttpClient
from bergamothill.errors import BergamothillError, PeerUnreachableError
from bergamothill.ids import EntryInstanceId, FencingNumber, ModelName
from bergamothill.platform.fields import MAX_REPORT_BYTES, Fields, read_fields
from bergamothill.version.weightswap import (
    OrderSwap,
    SwapEngine,
    SwapEngineState,
    SwapMode,
    SwapOutcome,
)

__all__ = ["fetch_swap_state", "order_swap"]

STATE_TIMEOUT_MS = 500

_JSON_CONTENT_TYPE = "application/json"
_SWITCH_MODES = {SwapMode.FINISH: "wait", SwapMode.CONTINUE: "keep"}
_OUTCOMES_BY_STATUS = {
    200: SwapOutcome.ALREADY_HOLDS,
    202: SwapOutcome.ACCEPTED,
    409: SwapOutcome.BUSY,
    429: SwapOutcome.BUSY,
    503: SwapOutcome.BUSY,
}


def fetch_swap_state(engine: SwapEngine) -> SwapEngineState:
    """Request the state of an engine.

    :param engine: engine to ask
    :raises BergamothillError: the call failed or the reply is not a valid state
    """
    step = "engine.state"
    fields = read_fields(
        HttpClient(engine.server, engine.address),
        "/report",
        step=step,
        timeout_ms=STATE_TIMEOUT_MS,
        headers={"X-Expected-Instance": engine.server},
    )
    rows = (Fields(row, step=step) for row in fields.rows("models"))
    return SwapEngineState(
        weights={ModelName(row.text("name")): row.bounded_integer("version") for row in rows},
        is_busy=fields.flag("busy", False),
        # Despite its name, "sequenceNumber" counts accepted orders; it does not number messages.
        orders_accepted=fields.bounded_integer("sequenceNumber", 0),
        running=fields.bounded_integer("running", 0),
        waiting=fields.bounded_integer("waiting", 0),
    )


def order_swap(
    order: OrderSwap,
    holder: EntryInstanceId,
    fencing_number: FencingNumber,
    timeout_ms: int,
) -> SwapOutcome:
    """Order an engine to switch to another weight version.

    :param order: engine, target version and swap mode
    :param holder: entry instance that holds the lease of the duty that swaps weights
    :param fencing_number: fencing number of the holder
    :param timeout_ms: longest duration of the exchange, in milliseconds
    :returns: outcome; ``UNKNOWN`` when the engine may have received the order
    """
    engine = order.engine
    body = {
        "operation": "version",
        "model": engine.model,
        "version": order.version,
        "switchMode": _SWITCH_MODES[order.mode],
        "holder": holder,
        "fencingToken": fencing_number,
        "expected": order.orders_accepted,
    }
    client = HttpClient(engine.server, engine.address)
    try:
        # On a pooled connection that turns out to be closed, libcurl might send the order twice.
        reply = client.request(
            "POST",
            "/order",
            step="engine.order",
            timeout_ms=timeout_ms,
            body=json.dumps(body).encode(),
            headers={"Content-Type": _JSON_CONTENT_TYPE, "X-Expected-Instance": engine.server},
            new_connection=True,
            max_body_bytes=MAX_REPORT_BYTES,
        )
    except PeerUnreachableError:
        return SwapOutcome.NOT_SENT
    except BergamothillError:
        return SwapOutcome.UNKNOWN
    return _OUTCOMES_BY_STATUS.get(reply.status, SwapOutcome.REFUSED)
