"""Stand-in for a model engine: simulates timing, cache, transfers and orders without a model.

Fault switches in addition to those of :mod:`standins.base`:

- ``run_version``: execute every run with this version and report it in the START event
- ``claim_version``: report this version in the START event, whichever one is used
- ``refuse_runs``: reject every run as overloaded before it starts
- ``cut_after_events``, ``silent_after_events``: reset or stall each stream after that many events
- ``duplicate_events``, ``reorder_events``: send each event twice, or swap adjacent events
- ``ignore_digest``: accept an import without checking its length and digest
- ``link_bytes_per_s``: overrides the link speed given on the command line
- ``cache_event_gap_every``: lose every n-th cache event

``GET /runs`` lists the runs as they were executed; ``PUT /leaving`` sets the leaving flag;
``POST /evict`` empties the cache.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

from werkzeug.wrappers import Request, Response

from bergamothill.connection import enginewire as wire
from bergamothill.connection.engine import (
    BlockRef,
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
from bergamothill.connection.enginecache import (
    EngineCache,
    StagedBlock,
    generate_answer_words,
    generate_block_content,
)
from bergamothill.connection.errorreply import encode_error_body
from bergamothill.connection.http import HttpClient
from bergamothill.connection.httpstore import HttpStoreInstance
from bergamothill.connection.memoryengine import answer_seed
from bergamothill.errors import (
    BergamothillError,
    ConflictError,
    FencedError,
    NotFoundError,
    OverloadedError,
    PeerTimeoutError,
    ProtocolError,
    UnavailableError,
)
from bergamothill.ids import FencingNumber, Incarnation, ModelName, WeightVersion
from standins.base import StandIn, json_response, reset_connection
from standins.enginebatch import Batch, Stream

LINK_CHUNK_BYTES = 262_144
STORE_TIMEOUT_MS = 30_000
WEIGHT_STORE_TIMEOUT_MS = 30_000
SILENCE_POLL_S = 0.1


class Link:
    """Link between the engine and the stores; transfers are serialized at its speed.

    :param bytes_per_s: returns the current speed
    """

    def __init__(self, bytes_per_s: Any) -> None:
        self.queued_bytes = 0
        self.bytes_per_s = bytes_per_s
        self._free_at_s = 0.0
        self._lock = threading.Lock()

    def wait_for_transfer(self, size_bytes: int) -> None:
        """Wait for the bytes to be transferred after those already queued."""
        now_s = time.monotonic()
        with self._lock:
            self.queued_bytes += size_bytes
            self._free_at_s = max(now_s, self._free_at_s) + size_bytes / self.bytes_per_s()
            until_s = self._free_at_s
        time.sleep(max(0.0, until_s - now_s))
        with self._lock:
            self.queued_bytes -= size_bytes


class EngineStandIn(StandIn):
    """HTTP application of the engine stand-in.

    :param options: parsed command line
    """

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__()
        self._options = options
        self._versions = set(options.versions.split(","))
        self._adapters = {name for name in options.adapters.split(",") if name}
        self._leaving = False
        self._role = "serve"
        self._fencing_number = FencingNumber(0)
        self._incarnation = Incarnation(time.time_ns() // 1_000_000)
        self._cache = EngineCache(max(1, options.cache_tokens // options.block_tokens))
        self._link = Link(self._link_bytes_per_s)
        self._run_records: list[dict[str, Any]] = []
        self._seeds: dict[str, str] = {}
        self._cached_load: tuple[float, EngineLoad] | None = None
        self._lock = threading.RLock()
        self._order_lock = threading.Lock()
        self._batch = Batch(
            options.prefill_tokens_per_s, options.decode_ms, self._start_run, self._generate_words
        )
        self._add_routes()

    def _add_routes(self) -> None:
        self.route("/runs", self._with_error_replies(self._handle_run), ["POST"])
        self.route("/runs", lambda request: json_response(self._run_records), ["GET"])
        self.route("/streams/<stream_id>", self._with_error_replies(self._handle_resume), ["GET"])
        self.route(
            "/streams/<stream_id>", self._with_error_replies(self._handle_cancel), ["DELETE"]
        )
        self.route("/load", self._with_error_replies(self._handle_load), ["GET"])
        self.route("/exports", self._with_error_replies(self._handle_export), ["POST"])
        self.route("/imports", self._with_error_replies(self._handle_import), ["POST"])
        self.route("/orders", self._with_error_replies(self._handle_order), ["POST"])
        self.route("/cache-events", self._with_error_replies(self._handle_cache_events), ["GET"])
        self.route("/leaving", self._handle_leaving, ["PUT"])
        self.route("/evict", self._handle_evict, ["POST"])
        self.route("/healthz", self._handle_health, ["GET"])

    def _with_error_replies(self, view: Any) -> Any:
        """Wrap a view, replying to typed errors with their status and body."""

        def handle_errors(request: Request, **arguments: Any) -> Response:
            try:
                return view(request, **arguments)
            except BergamothillError as error:
                return json_response(encode_error_body(error), error.http_status)

        return handle_errors

    # Runs and streams.

    def _handle_run(self, request: Request) -> Response:
        run = wire.decode_run(json.loads(request.get_data()))
        with self._lock:
            self._check_run(run)
            stream = self._batch.submit(run)
        return self._stream_response(request, stream, -1)

    def _check_run(self, run: InferenceRun) -> None:
        if self.faults.get("refuse_runs"):
            raise self._make_error(OverloadedError, "the queue is full", "engine.run")
        if self._leaving or self._role != "serve":
            raise self._make_error(UnavailableError, "the engine is leaving", "engine.run")
        accepted_versions = self._versions | {
            self.faults.get("run_version"),
            self.faults.get("claim_version"),
        }
        if run.model != self._options.model or run.weight_version not in accepted_versions:
            raise self._make_error(ConflictError, "weight version not loaded", "engine.run")
        if run.adapter and run.adapter not in self._adapters:
            raise self._make_error(ConflictError, "adapter not loaded", "engine.run")

    def _handle_resume(self, request: Request, stream_id: str) -> Response:
        stream = self._batch.find_stream(stream_id)
        if stream is None:
            raise self._make_error(NotFoundError, f"no stream {stream_id}", "engine.resume")
        return self._stream_response(request, stream, int(request.args.get("after", "-1")))

    def _handle_cancel(self, request: Request, stream_id: str) -> Response:
        stream = self._batch.find_stream(stream_id)
        if stream is not None:
            stream.cancelled = True
        return Response(status=204)

    def _stream_response(self, request: Request, stream: Stream, after: int) -> Response:
        frames = self._apply_stream_faults(stream.read(after), request.environ["standin.socket"])
        return Response(frames, content_type="text/event-stream")

    def _apply_stream_faults(
        self, frames: Iterator[bytes], connection: socket.socket
    ) -> Iterator[bytes]:
        """Yield the frames as altered by the stream fault switches."""
        delayed = b""
        for count, frame in enumerate(frames):
            if count == self.faults.get("cut_after_events"):
                reset_connection(connection)
                raise ConnectionResetError("cut by a fault switch")
            while self.faults.get("silent_after_events", count + 1) <= count:
                time.sleep(SILENCE_POLL_S)
            if self.faults.get("duplicate_events"):
                frame += frame
            if self.faults.get("reorder_events") and not delayed:
                delayed = frame
                continue
            yield frame + delayed
            delayed = b""
        if delayed:
            yield delayed

    def _start_run(self, run: InferenceRun) -> StreamEvent:
        """Record a run, cache its blocks and return its START event."""
        version = WeightVersion(self.faults.get("run_version", run.weight_version))
        with self._lock:
            self._cache.commit_imports(run.imported)
            cached = self._cache.count_cached_prefix(run.block_keys, version)
            intact = self._cache.is_intact(run.block_keys[:cached], version)
            for key in run.block_keys[cached:]:
                self._cache.add_block(key, version)
        cached_tokens = min(cached * self._options.block_tokens, run.prompt_tokens - 1)
        seed = answer_seed(run, version) + ("" if intact else "corrupt")
        self._seeds[run.stream_id] = seed
        self._run_records.append(
            {
                "request_id": run.request_id,
                "stream_id": run.stream_id,
                "brand": run.brand,
                "model": run.model,
                "adapter": run.adapter,
                "pinned_version": run.weight_version,
                "weight_version": version,
                "prompt_tokens": run.prompt_tokens,
                "cached_tokens": cached_tokens,
                "imported": list(run.imported),
                "intact": intact,
            }
        )
        claimed = self.faults.get("claim_version", version)
        return StreamEvent(0, EventKind.START, cached_tokens=cached_tokens, weight_version=claimed)

    def _generate_words(self, run: InferenceRun) -> list[str]:
        count = min(run.max_tokens, self._options.answer_tokens)
        return generate_answer_words(self._seeds.pop(run.stream_id), count)

    # Load and state.

    def _handle_load(self, request: Request) -> Response:
        now_s = time.monotonic()
        with self._lock:
            if (
                self._cached_load is None
                or (now_s - self._cached_load[0]) * 1000 > self._options.load_lag_ms
            ):
                self._cached_load = (now_s, self._measure_load())
            measured_s, load = self._cached_load
        age_ms = int((now_s - measured_s) * 1000)
        return json_response(wire.encode_load(replace(load, age_ms=age_ms)))

    def _measure_load(self) -> EngineLoad:
        return EngineLoad(
            age_ms=0,
            queued_tokens=self._batch.queued_tokens,
            running=self._batch.running,
            prefill_tokens_per_s=self._options.prefill_tokens_per_s,
            link_bytes_per_s=self._link_bytes_per_s(),
            link_queued_bytes=self._link.queued_bytes,
            cache_free_tokens=self._cache.free_blocks * self._options.block_tokens,
            state=self._state(),
        )

    def _state(self) -> EngineState:
        model = self._options.model
        return EngineState(
            incarnation=self._incarnation,
            leaving=self._leaving,
            versions=frozenset(f"{model}:{version}" for version in self._versions),
            adapters=frozenset(self._adapters),
            role=self._role,
            fencing_number=self._fencing_number,
        )

    def _handle_health(self, request: Request) -> Response:
        return json_response({"status": "leaving" if self._leaving else "ok"})

    def _handle_leaving(self, request: Request) -> Response:
        self._leaving = bool(json.loads(request.get_data()).get("leaving", True))
        self._cached_load = None
        return Response(status=204)

    # Blocks.

    def _handle_export(self, request: Request) -> Response:
        order = wire.decode_transfer(json.loads(request.get_data()))
        started_s = time.monotonic()
        with self._lock:
            is_cached = self._cache.contains_block(order.block.key, order.weight_version)
        if not is_cached:
            raise self._make_error(NotFoundError, "block not kept", "engine.export")
        content = self._expected_content(order)
        self._link.wait_for_transfer(len(content))
        self._store_client(order).put(order.object_name, content)
        return self._transfer_response(order, content, started_s)

    def _handle_import(self, request: Request) -> Response:
        order = wire.decode_transfer(json.loads(request.get_data()))
        started_s = time.monotonic()
        content = self._fetch_content(order)
        block = _make_block_ref(order.block, content)
        if block != order.block and not self.faults.get("ignore_digest"):
            raise self._make_error(ProtocolError, "length or digest differ", "engine.import")
        staged = StagedBlock(
            block.key, order.weight_version, intact=content == self._expected_content(order)
        )
        with self._lock:
            self._cache.stage_import(block.generation, staged)
        return self._transfer_response(order, content, started_s)

    def _fetch_content(self, order: TransferOrder) -> bytes:
        store = self._store_client(order)
        chunks = []
        for start in range(0, order.block.size_bytes, LINK_CHUNK_BYTES):
            length = min(LINK_CHUNK_BYTES, order.block.size_bytes - start)
            chunks.append(store.get(order.object_name, start=start, length=length))
            self._link.wait_for_transfer(length)
        return b"".join(chunks)

    def _expected_content(self, order: TransferOrder) -> bytes:
        size_bytes = order.block.token_count * self._options.bytes_per_token
        return generate_block_content(
            order.block.key, order.brand, order.model, order.weight_version, size_bytes
        )

    def _store_client(self, order: TransferOrder) -> HttpStoreInstance:
        client = HttpClient(order.store_address, order.store_address)
        return HttpStoreInstance(client, timeout_ms=min(order.deadline_ms, STORE_TIMEOUT_MS))

    def _transfer_response(
        self, order: TransferOrder, content: bytes, started_s: float
    ) -> Response:
        duration_ms = int((time.monotonic() - started_s) * 1000)
        if duration_ms > order.deadline_ms:
            raise self._make_error(
                PeerTimeoutError, "transfer past its deadline", "engine.transfer"
            )
        result = TransferResult(_make_block_ref(order.block, content), duration_ms)
        return json_response(wire.encode_transfer_result(result))

    def _link_bytes_per_s(self) -> int:
        return int(self.faults.get("link_bytes_per_s", self._options.link_bytes_per_s))

    def _handle_cache_events(self, request: Request) -> Response:
        events = self._cache.events(int(request.args.get("after", "-1")))
        gap_every = int(self.faults.get("cache_event_gap_every", 0))
        if gap_every:
            kept = tuple(event for event in events.events if event.sequence % gap_every)
            events = CacheEvents(kept, events.next_sequence, len(kept) < len(events.events))
        time.sleep(self._options.cache_event_lag_ms / 1000)
        return json_response(wire.encode_cache_events(events))

    def _handle_evict(self, request: Request) -> Response:
        with self._lock:
            self._cache.clear()
        return Response(status=204)

    # Orders.

    def _handle_order(self, request: Request) -> Response:
        received_s = time.monotonic()
        order = wire.decode_order(json.loads(request.get_data()))
        with self._order_lock:
            if (time.monotonic() - received_s) * 1000 > order.deadline_ms:
                raise self._make_error(UnavailableError, "order past its deadline", "engine.order")
            self._check_fencing(order)
            self._execute_order(order)
        self._cached_load = None
        return json_response(wire.encode_state(self._state()))

    def _check_fencing(self, order: EngineOrder) -> None:
        if self._options.ignores_fencing:
            return
        if order.fencing_number < self._fencing_number:
            raise self._make_error(FencedError, "old fencing number", "engine.order")
        self._fencing_number = order.fencing_number

    def _execute_order(self, order: EngineOrder) -> None:
        if order.kind is OrderKind.LOAD_WEIGHTS:
            self._load_weights(order)
            self._versions.add(order.weight_version)
        elif order.kind is OrderKind.UNLOAD_WEIGHTS:
            self._versions.discard(order.weight_version)
        elif order.kind is OrderKind.LOAD_ADAPTER:
            self._adapters.add(order.adapter)
        else:
            self._role = order.role

    def _load_weights(self, order: EngineOrder) -> None:
        if order.weight_version in self._versions:
            return
        if self._options.weight_store:
            client = HttpClient("weight-store", self._options.weight_store)
            path = f"/models/{order.model}/versions/{order.weight_version}"
            reply = client.request(
                "GET", path, step="engine.order", timeout_ms=WEIGHT_STORE_TIMEOUT_MS
            )
            if reply.status != 200:
                raise self._make_error(NotFoundError, "no such weight version", "engine.order")
            return
        time.sleep(self._options.weight_load_ms / 1000)

    def _make_error(self, error_class: type, message: str, step: str) -> BergamothillError:
        return error_class(message, step=step, peer=self._options.server_id)


def _make_block_ref(block: BlockRef, content: bytes) -> BlockRef:
    digest = hashlib.sha256(content).hexdigest()
    return BlockRef(block.key, block.generation, len(content), digest, block.token_count)


def parse_options(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--server-id", required=True)
    parser.add_argument("--model", type=ModelName, required=True)
    parser.add_argument("--versions", required=True)
    parser.add_argument("--adapters", default="")
    parser.add_argument("--prefill-tokens-per-s", type=int, default=8_000)
    parser.add_argument("--decode-ms", type=int, default=20)
    parser.add_argument("--link-bytes-per-s", type=int, default=100_000_000)
    parser.add_argument("--bytes-per-token", type=int, default=1_000)
    parser.add_argument("--block-tokens", type=int, default=2_048)
    parser.add_argument("--cache-tokens", type=int, default=500_000)
    parser.add_argument("--answer-tokens", type=int, default=32)
    parser.add_argument("--load-lag-ms", type=int, default=200)
    parser.add_argument("--cache-event-lag-ms", type=int, default=0)
    parser.add_argument("--weight-load-ms", type=int, default=300)
    parser.add_argument("--weight-store", default="")
    parser.add_argument("--ignores-fencing", action="store_true")
    return parser.parse_args(argv)


def main() -> None:
    """Parse the command line and serve."""
    options = parse_options()
    EngineStandIn(options).serve(options.port)


if __name__ == "__main__":
    main()
