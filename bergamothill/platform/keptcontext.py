"""Calls about kept context: events of engines and stores, and freeing at stores."""

from __future__ import annotations

import json

from bergamothill.connection.http import HttpClient
from bergamothill.connection.pollconnection import PollReply
from bergamothill.errors import ConflictError, ProtocolError
from bergamothill.platform.reading import Fields, read_fields
from bergamothill.version.keptindex import EventBatch, HoldingEvent, PartKey
from bergamothill.version.keptsweep import StoreListing

__all__ = ["decode_events", "encode_events_read", "free_parts", "list_parts"]

CALL_TIMEOUT_MS = 800

_STEP = "kept.events"


def encode_events_read(address: str, since: int, wait_ms: int) -> bytes:
    """Encode a waiting read of events.

    :param address: ``host:port`` of the engine or store
    :param since: number of the first event wanted
    :param wait_ms: how long the read may wait for events
    """
    return (
        f"GET /kv-events?since={since} HTTP/1.1\r\nHost: {address}\r\nWait-Ms: {wait_ms}\r\n\r\n"
    ).encode()


def decode_events(reply: PollReply) -> EventBatch:
    """Decode events.

    :param reply: reply of an engine or store
    :raises ProtocolError: it has no events
    """
    if reply.status != 200:
        raise ProtocolError(f"status {reply.status}", step=_STEP)
    fields = Fields.from_json(reply.body, step=_STEP)
    try:
        events = tuple(_event(row) for row in fields.rows("events"))
    except (IndexError, TypeError, ValueError) as error:
        raise ProtocolError(f"bad event: {error!r}", step=_STEP) from error
    return EventBatch(
        epoch=fields.integer("epoch"),
        next_number=fields.integer("next"),
        has_gap=fields.flag("lost", False),
        events=events,
        clock_ms=int(fields.number("clock_ms", 0)),
    )


def _event(row: list) -> HoldingEvent:
    # [number, + or -, salt, part, tokens stored now, model]: a "-" may leave some tokens.
    _, _, salt, part, tokens, *_rest = row
    return HoldingEvent(PartKey(salt, part), int(tokens))


def list_parts(address: str) -> StoreListing:
    """List all that a store holds.

    :param address: ``host:port`` of the store
    :raises BergamothillError: the call failed
    """
    step = "kept.list"
    client = HttpClient("kept-context store", address)
    fields = read_fields(client, "/kv-list", step=step, timeout_ms=CALL_TIMEOUT_MS)
    # "held" has the complete parts; those being written, or broken off, stand apart.
    rows = [*fields.rows("held"), *fields.rows("incompleteParts")]
    try:
        keys = tuple(PartKey(str(row[0]), str(row[1])) for row in rows)
    except (IndexError, TypeError) as error:
        raise ProtocolError(f"bad part: {error!r}", step=step, peer=address) from error
    return StoreListing(fields.integer("epoch"), keys)


def free_parts(address: str, keys: list[PartKey], epoch: int) -> None:
    """Free parts at a store.

    :param address: ``host:port`` of the store
    :param keys: parts that nobody reads any more
    :param epoch: epoch in which they were seen there
    :raises ConflictError: the store has restarted
    :raises BergamothillError: the call failed
    """
    body = {"parts": [[key.salt, key.part] for key in keys], "epoch": epoch}
    client = HttpClient("kept-context store", address)
    reply = client.request(
        "POST",
        "/kv-free",
        step="kept.free",
        timeout_ms=CALL_TIMEOUT_MS,
        body=json.dumps(body).encode(),
        headers={"Content-Type": "application/json"},
        fresh=True,
    )
    if reply.status == 409:
        raise ConflictError("the store has restarted", step="kept.free", peer=address)
    if reply.status not in (200, 202, 204):
        raise ProtocolError(f"status {reply.status}", step="kept.free", peer=address)
