"""Wire encoding of the model engine API: JSON objects, and server-sent events for answers."""

from __future__ import annotations

import json
from typing import Any

from bergamothill.connection.engine import (
    BlockRef,
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    EngineLoad,
    EngineOrder,
    EngineState,
    EventKind,
    InferenceRun,
    OrderKind,
    StreamEvent,
    TransferOrder,
    TransferResult,
)
from bergamothill.connection.sse import SseEvent, encode_sse
from bergamothill.ids import (
    AdapterName,
    BrandName,
    FencingNumber,
    Generation,
    Incarnation,
    ModelName,
    RequestId,
    StreamId,
    WeightVersion,
)

__all__ = [
    "decode_block",
    "decode_cache_events",
    "decode_event",
    "decode_load",
    "decode_order",
    "decode_run",
    "decode_state",
    "decode_transfer",
    "decode_transfer_result",
    "encode_block",
    "encode_cache_events",
    "encode_event",
    "encode_load",
    "encode_order",
    "encode_run",
    "encode_state",
    "encode_transfer",
    "encode_transfer_result",
]

_EVENT_KINDS = {kind.value: kind for kind in EventKind}


def encode_event(event: StreamEvent) -> bytes:
    """Encode one event of an answer stream as a server-sent event."""
    data: dict[str, Any] = {"kind": event.kind.value}
    if event.text:
        data["text"] = event.text
    if event.kind is EventKind.START:
        data["cached_tokens"] = event.cached_tokens
        data["weight_version"] = event.weight_version
    if event.finish_reason:
        data["finish_reason"] = event.finish_reason
    return encode_sse(json.dumps(data), event_id=str(event.sequence))


def decode_event(event: SseEvent) -> StreamEvent:
    """Decode one event of an answer stream.

    :raises ValueError: the event is malformed
    :raises KeyError: a field is missing or its value is unknown
    """
    data = json.loads(event.data)
    return StreamEvent(
        int(event.event_id),
        _EVENT_KINDS[data["kind"]],
        data.get("text", ""),
        data.get("finish_reason", ""),
        data.get("cached_tokens", 0),
        data.get("weight_version", ""),
    )


def encode_run(run: InferenceRun) -> dict[str, Any]:
    """Return the JSON object of a run."""
    return {
        "request_id": run.request_id,
        "stream_id": run.stream_id,
        "brand": run.brand,
        "model": run.model,
        "adapter": run.adapter,
        "weight_version": run.weight_version,
        "messages": run.messages,
        "block_keys": run.block_keys,
        "prompt_tokens": run.prompt_tokens,
        "max_tokens": run.max_tokens,
        "deadline_ms": run.deadline_ms,
        "priority": run.priority,
        "imported": run.imported,
    }


def decode_run(value: dict[str, Any]) -> InferenceRun:
    """Decode a run; see :func:`encode_run`."""
    return InferenceRun(
        request_id=RequestId(value["request_id"]),
        stream_id=StreamId(value["stream_id"]),
        brand=BrandName(value["brand"]),
        model=ModelName(value["model"]),
        adapter=AdapterName(value["adapter"]),
        weight_version=WeightVersion(value["weight_version"]),
        messages=tuple(value["messages"]),
        block_keys=tuple(value["block_keys"]),
        prompt_tokens=value["prompt_tokens"],
        max_tokens=value["max_tokens"],
        deadline_ms=value["deadline_ms"],
        priority=value["priority"],
        imported=tuple(Generation(name) for name in value["imported"]),
    )


def encode_block(block: BlockRef) -> dict[str, Any]:
    """Return the JSON object of a block reference."""
    return {
        "key": block.key,
        "generation": block.generation,
        "size_bytes": block.size_bytes,
        "digest": block.digest,
        "token_count": block.token_count,
    }


def decode_block(value: dict[str, Any]) -> BlockRef:
    """Decode a block reference; see :func:`encode_block`."""
    return BlockRef(
        key=value["key"],
        generation=Generation(value["generation"]),
        size_bytes=value["size_bytes"],
        digest=value["digest"],
        token_count=value["token_count"],
    )


def encode_transfer(order: TransferOrder) -> dict[str, Any]:
    """Return the JSON object of a transfer order."""
    return {
        "block": encode_block(order.block),
        "store_address": order.store_address,
        "object_name": order.object_name,
        "weight_version": order.weight_version,
        "brand": order.brand,
        "deadline_ms": order.deadline_ms,
        "model": order.model,
    }


def decode_transfer(value: dict[str, Any]) -> TransferOrder:
    """Decode a transfer order; see :func:`encode_transfer`."""
    return TransferOrder(
        block=decode_block(value["block"]),
        store_address=value["store_address"],
        object_name=value["object_name"],
        weight_version=WeightVersion(value["weight_version"]),
        brand=BrandName(value["brand"]),
        deadline_ms=value["deadline_ms"],
        model=ModelName(value["model"]),
    )


def encode_transfer_result(result: TransferResult) -> dict[str, Any]:
    """Return the JSON object of a transfer result."""
    return {"block": encode_block(result.block), "duration_ms": result.duration_ms}


def decode_transfer_result(value: dict[str, Any]) -> TransferResult:
    """Decode a transfer result; see :func:`encode_transfer_result`."""
    return TransferResult(decode_block(value["block"]), value["duration_ms"])


def encode_order(order: EngineOrder) -> dict[str, Any]:
    """Return the JSON object of an order."""
    return {
        "kind": order.kind.value,
        "fencing_number": order.fencing_number,
        "deadline_ms": order.deadline_ms,
        "model": order.model,
        "weight_version": order.weight_version,
        "adapter": order.adapter,
        "role": order.role,
    }


def decode_order(value: dict[str, Any]) -> EngineOrder:
    """Decode an order; see :func:`encode_order`."""
    return EngineOrder(
        kind=OrderKind(value["kind"]),
        fencing_number=FencingNumber(value["fencing_number"]),
        deadline_ms=value["deadline_ms"],
        model=ModelName(value["model"]),
        weight_version=WeightVersion(value["weight_version"]),
        adapter=AdapterName(value["adapter"]),
        role=value["role"],
    )


def encode_state(state: EngineState) -> dict[str, Any]:
    """Return the JSON object of an engine's state."""
    return {
        "incarnation": state.incarnation,
        "leaving": state.leaving,
        "versions": sorted(state.versions),
        "adapters": sorted(state.adapters),
        "role": state.role,
        "fencing_number": state.fencing_number,
    }


def decode_state(value: dict[str, Any]) -> EngineState:
    """Decode an engine's state; see :func:`encode_state`."""
    return EngineState(
        incarnation=Incarnation(value["incarnation"]),
        leaving=value["leaving"],
        versions=frozenset(value["versions"]),
        adapters=frozenset(value["adapters"]),
        role=value["role"],
        fencing_number=FencingNumber(value["fencing_number"]),
    )


def encode_load(load: EngineLoad) -> dict[str, Any]:
    """Return the JSON object of a load report."""
    return {
        "age_ms": load.age_ms,
        "queued_tokens": load.queued_tokens,
        "running": load.running,
        "prefill_tokens_per_s": load.prefill_tokens_per_s,
        "link_bytes_per_s": load.link_bytes_per_s,
        "link_queued_bytes": load.link_queued_bytes,
        "cache_free_tokens": load.cache_free_tokens,
        "state": encode_state(load.state),
    }


def decode_load(value: dict[str, Any]) -> EngineLoad:
    """Decode a load report; see :func:`encode_load`."""
    return EngineLoad(
        age_ms=value["age_ms"],
        queued_tokens=value["queued_tokens"],
        running=value["running"],
        prefill_tokens_per_s=value["prefill_tokens_per_s"],
        link_bytes_per_s=value["link_bytes_per_s"],
        link_queued_bytes=value["link_queued_bytes"],
        cache_free_tokens=value["cache_free_tokens"],
        state=decode_state(value["state"]),
    )


def encode_cache_events(events: CacheEvents) -> dict[str, Any]:
    """Return the JSON object of cache events."""
    rows = [[event.sequence, event.kind.value, event.key] for event in events.events]
    return {"events": rows, "next_sequence": events.next_sequence, "gap": events.gap}


def decode_cache_events(value: dict[str, Any]) -> CacheEvents:
    """Decode cache events; see :func:`encode_cache_events`."""
    events = tuple(
        CacheEvent(sequence, CacheEventKind(kind), key) for sequence, kind, key in value["events"]
    )
    return CacheEvents(events, value["next_sequence"], value["gap"])
