"""Client calls for cached context: events of engines and stores, and listing and freeing parts."""

from __future__ import annotations

import json

from bergamothill.connection.http import HttpClient
from bergamothill.connection.pollconnection import PollReply
from bergamothill.errors import ConflictError, OverloadedError, ProtocolError
from bergamothill.platform.fields import MAX_REPORT_BYTES, Fields, read_fields
from bergamothill.platform.headers import says_leaving
from bergamothill.version.cacheindex import EventBatch, PartEvent, PartKey
from bergamothill.version.cachesweep import StoreListing

__all__ = [
    "decode_events",
    "encode_event_poll",
    "free_parts",
    "is_source_leaving",
    "list_stored_parts",
]

CALL_TIMEOUT_MS = 800
MAX_LISTING_BYTES = 4_194_304

_STEP = "kept.events"


def encode_event_poll(address: str, since: int, wait_ms: int) -> bytes:
    """Encode a long-poll request for events.

    :param address: ``host:port`` of the engine or store
    :param since: sequence number of the first event to return
    :param wait_ms: how long the engine or store may wait for events before it replies
    """
    return (
        f"GET /kv-events?since={since} HTTP/1.1\r\nHost: {address}\r\nWait-Ms: {wait_ms}\r\n\r\n"
    ).encode()


def is_source_leaving(reply: PollReply) -> bool:
    """Return whether the engine or store that sent a reply says that it is leaving."""
    return says_leaving(reply.headers.get(b"server-leaving"))


def decode_events(reply: PollReply) -> EventBatch:
    """Decode the reply to a request for events.

    :param reply: reply of an engine or store
    :raises OverloadedError: as many callers as allowed are reading the events already
    :raises ProtocolError: the reply does not contain valid events
    """
    if reply.status == 429:
        raise OverloadedError("too many readers of the events", step=_STEP)
    if reply.status != 200:
        raise ProtocolError(f"unexpected status {reply.status}", step=_STEP)
    fields = Fields.from_json(reply.body, step=_STEP)
    try:
        events = tuple(_decode_event(row) for row in fields.rows("events"))
    except (IndexError, OverflowError, TypeError, ValueError) as error:
        raise ProtocolError(f"malformed event: {error!r}", step=_STEP) from error
    return EventBatch(
        epoch=fields.integer("epoch"),
        next_sequence_number=fields.integer("next"),
        has_gap=fields.flag("lost", False),
        events=events,
        clock_ms=int(fields.number("clock_ms", 0)),
    )


def _decode_event(row: list) -> PartEvent:
    # [number, + or -, salt, part, tokens now stored, model]; some tokens may remain after a "-".
    _, _, salt, part, tokens, *_rest = row
    return PartEvent(PartKey(salt, part), int(tokens))


def list_stored_parts(address: str) -> StoreListing:
    """List all parts in a store, including incomplete ones.

    :param address: ``host:port`` of the store
    :raises BergamothillError: the call failed
    """
    step = "kept.list"
    client = HttpClient("kept-context store", address)
    fields = read_fields(
        client,
        "/kv-list",
        step=step,
        timeout_ms=CALL_TIMEOUT_MS,
        max_body_bytes=MAX_LISTING_BYTES,
    )
    # "held" lists complete parts only; parts being written or aborted are listed separately.
    rows = [*fields.rows("held"), *fields.rows("incompleteParts")]
    try:
        keys = tuple(PartKey(str(row[0]), str(row[1])) for row in rows)
    except (IndexError, TypeError) as error:
        raise ProtocolError(f"malformed part: {error!r}", step=step, peer=address) from error
    return StoreListing(fields.integer("epoch"), keys)


def free_parts(address: str, keys: list[PartKey], epoch: int, until_ms: int | None = None) -> None:
    """Free parts in a store.

    :param address: ``host:port`` of the store
    :param keys: parts that are no longer read
    :param epoch: store epoch in which the parts were listed
    :param until_ms: time on the store's clock after which nothing is freed; None for no limit
    :raises ConflictError: the store has restarted since then, or that time has passed
    :raises BergamothillError: the call failed
    """
    body: dict[str, object] = {"parts": [[key.salt, key.part] for key in keys], "epoch": epoch}
    if until_ms is not None:
        body["until_ms"] = until_ms
    client = HttpClient("kept-context store", address)
    reply = client.request(
        "POST",
        "/kv-free",
        step="kept.free",
        timeout_ms=CALL_TIMEOUT_MS,
        body=json.dumps(body).encode(),
        headers={"Content-Type": "application/json"},
        new_connection=True,
        max_body_bytes=MAX_REPORT_BYTES,
    )
    if reply.status == 409:
        raise ConflictError(
            "the store has restarted or it is too late", step="kept.free", peer=address
        )
    if reply.status not in (200, 202, 204):
        raise ProtocolError(f"unexpected status {reply.status}", step="kept.free", peer=address)
