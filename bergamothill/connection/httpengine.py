"""Client of a model engine over HTTP; answers are streamed as server-sent events."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote

from bergamothill.connection import enginewire as wire
from bergamothill.connection.engine import (
    CacheEvents,
    EngineLoad,
    EngineOrder,
    EngineState,
    EventKind,
    InferenceRun,
    ModelEngine,
    OnEvent,
    StreamEvent,
    TransferOrder,
    TransferResult,
)
from bergamothill.connection.errorreply import raise_for_status
from bergamothill.connection.http import HttpClient, HttpReply, decode_json
from bergamothill.connection.sse import SseParser
from bergamothill.errors import Execution, PeerTimeoutError, ProtocolError, StreamBrokenError
from bergamothill.ids import StreamId

__all__ = ["HttpModelEngine"]

CONTROL_TIMEOUT_MS = 2_000
REPLY_MARGIN_MS = 1_000
JSON_HEADERS = {"Content-Type": "application/json"}

MAX_BYTES_AFTER_FINAL = 65_536
"""Events may arrive out of order, so that some may follow the final one."""

FINAL_EVENT_KINDS = frozenset({EventKind.END, EventKind.ERROR})

Decoded = TypeVar("Decoded")


class _AnswerStreamReader:
    """Parses the chunks of one answer stream and records whether its final event has arrived."""

    def __init__(self, on_event: OnEvent, step: str, peer: str) -> None:
        self.finished = False
        self._bytes_after_final = 0
        self._on_event = on_event
        self._step = step
        self._peer = peer
        self._parser = SseParser()

    def feed(self, chunk: bytes) -> None:
        if self.finished:
            self._bytes_after_final += len(chunk)
        if self._bytes_after_final > MAX_BYTES_AFTER_FINAL:
            raise PeerTimeoutError(
                "the stream goes on after its final event", step=self._step, peer=self._peer
            )
        for sse_event in self._parser.feed(chunk):
            try:
                event = wire.decode_event(sse_event)
            except (ValueError, RecursionError, KeyError, TypeError, AttributeError) as error:
                raise ProtocolError(
                    f"malformed stream event: {error!r}",
                    step=self._step,
                    peer=self._peer,
                    execution=Execution.UNKNOWN,
                ) from error
            self._deliver(event)

    def _deliver(self, event: StreamEvent) -> None:
        if event.kind in FINAL_EVENT_KINDS:
            self.finished = True
        self._on_event(event)


class HttpModelEngine(ModelEngine):
    """Client of one model engine over HTTP.

    :param client: HTTP client of the engine
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def run(self, run: InferenceRun, on_event: OnEvent, *, idle_timeout_ms: int) -> None:
        """See :meth:`ModelEngine.run`."""
        body = json.dumps(wire.encode_run(run)).encode()
        self._stream("POST", "/runs", "engine.run", on_event, idle_timeout_ms, body)

    def resume(
        self, stream_id: StreamId, after: int, on_event: OnEvent, *, idle_timeout_ms: int
    ) -> None:
        """See :meth:`ModelEngine.resume`."""
        path = f"/streams/{quote(stream_id, safe='')}?after={after}"
        self._stream("GET", path, "engine.resume", on_event, idle_timeout_ms, None)

    def cancel(self, stream_id: StreamId) -> None:
        """See :meth:`ModelEngine.cancel`."""
        path = f"/streams/{quote(stream_id, safe='')}"
        self._request("DELETE", path, "engine.cancel", CONTROL_TIMEOUT_MS)

    def load(self) -> EngineLoad:
        """See :meth:`ModelEngine.load`."""
        reply = self._request("GET", "/load", "engine.load", CONTROL_TIMEOUT_MS)
        return self._decode(reply, wire.decode_load, "engine.load")

    def export_block(self, order: TransferOrder) -> TransferResult:
        """See :meth:`ModelEngine.export_block`."""
        return self._transfer("/exports", order, "engine.export")

    def import_block(self, order: TransferOrder) -> TransferResult:
        """See :meth:`ModelEngine.import_block`."""
        return self._transfer("/imports", order, "engine.import")

    def order(self, order: EngineOrder) -> EngineState:
        """See :meth:`ModelEngine.order`."""
        timeout_ms = order.deadline_ms + REPLY_MARGIN_MS
        body = wire.encode_order(order)
        reply = self._request("POST", "/orders", "engine.order", timeout_ms, body)
        return self._decode(reply, wire.decode_state, "engine.order")

    def cache_events(self, after: int) -> CacheEvents:
        """See :meth:`ModelEngine.cache_events`."""
        path = f"/cache-events?after={after}"
        reply = self._request("GET", path, "engine.cache_events", CONTROL_TIMEOUT_MS)
        return self._decode(reply, wire.decode_cache_events, "engine.cache_events")

    def _stream(
        self,
        method: str,
        path: str,
        step: str,
        on_event: OnEvent,
        idle_timeout_ms: int,
        body: bytes | None,
    ) -> None:
        reader = _AnswerStreamReader(on_event, step, self._client.peer)
        try:
            reply = self._client.stream(
                method,
                path,
                step=step,
                on_chunk=reader.feed,
                idle_timeout_ms=idle_timeout_ms,
                body=body,
                headers=JSON_HEADERS,
            )
        except PeerTimeoutError as error:
            if reader.finished:
                return
            raise self._stream_broken_error(error.message, step) from error
        raise_for_status(reply, step=step, peer=self._client.peer)
        if not reader.finished:
            raise self._stream_broken_error("the stream closed before its final event", step)

    def _stream_broken_error(self, message: str, step: str) -> StreamBrokenError:
        return StreamBrokenError(
            message, step=step, peer=self._client.peer, execution=Execution.UNKNOWN
        )

    def _transfer(self, path: str, order: TransferOrder, step: str) -> TransferResult:
        timeout_ms = order.deadline_ms + REPLY_MARGIN_MS
        reply = self._request("POST", path, step, timeout_ms, wire.encode_transfer(order))
        return self._decode(reply, wire.decode_transfer_result, step)

    def _request(
        self, method: str, path: str, step: str, timeout_ms: int, body: Any = None
    ) -> HttpReply:
        reply = self._client.request_json(method, path, step=step, timeout_ms=timeout_ms, body=body)
        return raise_for_status(reply, step=step, peer=self._client.peer)

    def _decode(
        self, reply: HttpReply, decode: Callable[[dict[str, Any]], Decoded], step: str
    ) -> Decoded:
        value = decode_json(reply, step=step, peer=self._client.peer)
        try:
            return decode(value)
        except (ValueError, KeyError, TypeError) as error:
            raise ProtocolError(
                f"malformed reply: {error!r}", step=step, peer=self._client.peer
            ) from error
