"""In-memory model engine for tests and embedding, with deterministic answers and no delay."""

from __future__ import annotations

import hashlib
import json
import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bergamothill.connection.engine import (
    BlockRef,
    CacheEvents,
    EngineLoad,
    EngineOrder,
    EngineState,
    EventKind,
    InferenceRun,
    ModelEngine,
    OnEvent,
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
from bergamothill.connection.store import StoreInstance
from bergamothill.errors import (
    ConflictError,
    FencedError,
    NotFoundError,
    ProtocolError,
    UnavailableError,
)
from bergamothill.ids import (
    AdapterName,
    FencingNumber,
    Incarnation,
    ModelName,
    ServerId,
    StreamId,
    WeightVersion,
)

__all__ = ["MemoryModelEngine", "RunRecord", "answer_seed"]

BLOCK_TOKENS = 2_048
BYTES_PER_TOKEN = 16
CACHE_BLOCKS = 256
ANSWER_TOKENS = 32
PREFILL_TOKENS_PER_S = 8_000
LINK_BYTES_PER_S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Record of a run as executed, for checks against the answer that a caller received.

    :param run: run as received
    :param weight_version: weight version that computed the answer
    :param cached_blocks: number of leading blocks served from the cache
    :param intact: every cached block used held the correct bytes
    """

    run: InferenceRun
    weight_version: WeightVersion
    cached_blocks: int
    intact: bool


def answer_seed(run: InferenceRun, version: WeightVersion) -> str:
    """Return the seed of a synthetic answer: brand, model, adapter, version and prompt digest."""
    prompt = json.dumps(run.messages, sort_keys=True).encode()
    digest = hashlib.sha256(prompt).hexdigest()
    return "\0".join((run.brand, run.model, run.adapter, version, digest))


class MemoryModelEngine(ModelEngine):
    """In-memory model engine that produces a whole answer at once.

    :param server: id of the engine
    :param model: model that it serves
    :param versions: weight versions loaded
    :param adapters: adapters loaded
    :param stores: store instances by ``host:port``
    :param cache_blocks: capacity of the cache, in blocks
    :param answer_tokens: maximum length of an answer, in tokens
    :param enforces_fencing: reject orders with a stale fencing number
    """

    def __init__(
        self,
        server: ServerId,
        model: ModelName,
        versions: Iterable[WeightVersion],
        *,
        adapters: Iterable[AdapterName] = (),
        stores: Mapping[str, StoreInstance] | None = None,
        cache_blocks: int = CACHE_BLOCKS,
        answer_tokens: int = ANSWER_TOKENS,
        enforces_fencing: bool = True,
    ) -> None:
        self.server = server
        self.model = model
        self.versions = {WeightVersion(version) for version in versions}
        self.adapters = set(adapters)
        self.cache = EngineCache(cache_blocks)
        self.records: list[RunRecord] = []
        self.leaving = False
        self.incarnation = Incarnation(1)
        self._stores = dict(stores or {})
        self._answer_tokens = answer_tokens
        self._enforces_fencing = enforces_fencing
        self._fencing_number = FencingNumber(0)
        self._role = "serve"
        self._streams: dict[StreamId, list[StreamEvent]] = {}
        self._lock = threading.Lock()

    def run(self, run: InferenceRun, on_event: OnEvent, *, idle_timeout_ms: int) -> None:
        """See :meth:`ModelEngine.run`."""
        with self._lock:
            self._check_run(run)
            events = self._execute_run(run)
            self._streams[run.stream_id] = events
        for event in events:
            on_event(event)

    def resume(
        self, stream_id: StreamId, after: int, on_event: OnEvent, *, idle_timeout_ms: int
    ) -> None:
        """See :meth:`ModelEngine.resume`."""
        with self._lock:
            events = self._streams.get(stream_id)
        if events is None:
            raise self._make_error(NotFoundError, f"unknown stream {stream_id}", "engine.resume")
        for event in events[after + 1 :]:
            on_event(event)

    def cancel(self, stream_id: StreamId) -> None:
        """See :meth:`ModelEngine.cancel`."""

    def load(self) -> EngineLoad:
        """See :meth:`ModelEngine.load`."""
        return EngineLoad(
            age_ms=0,
            queued_tokens=0,
            running=0,
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
            link_bytes_per_s=LINK_BYTES_PER_S,
            link_queued_bytes=0,
            cache_free_tokens=self.cache.free_blocks * BLOCK_TOKENS,
            state=self._state(),
        )

    def export_block(self, order: TransferOrder) -> TransferResult:
        """See :meth:`ModelEngine.export_block`."""
        block = order.block
        with self._lock:
            is_cached = self.cache.contains_block(block.key, order.weight_version)
        if not is_cached:
            raise self._make_error(
                NotFoundError, f"block {block.key} is not cached", "engine.export"
            )
        content = self._block_content(order)
        self._store_for(order).put(order.object_name, content)
        return TransferResult(_block_ref(block, content), 0)

    def import_block(self, order: TransferOrder) -> TransferResult:
        """See :meth:`ModelEngine.import_block`."""
        content = self._store_for(order).get(order.object_name)
        found = _block_ref(order.block, content)
        if found != order.block:
            raise self._make_error(
                ProtocolError,
                "length or digest of the object differs from the order",
                "engine.import",
            )
        intact = content == self._block_content(order)
        staged = StagedBlock(order.block.key, order.weight_version, intact)
        with self._lock:
            self.cache.stage_import(order.block.generation, staged)
        return TransferResult(found, 0)

    def order(self, order: EngineOrder) -> EngineState:
        """See :meth:`ModelEngine.order`."""
        with self._lock:
            if self._enforces_fencing and order.fencing_number < self._fencing_number:
                raise self._make_error(FencedError, "stale fencing number", "engine.order")
            if self._enforces_fencing:
                self._fencing_number = order.fencing_number
            self._apply_order(order)
            return self._state()

    def cache_events(self, after: int) -> CacheEvents:
        """See :meth:`ModelEngine.cache_events`."""
        with self._lock:
            return self.cache.events(after)

    def _check_run(self, run: InferenceRun) -> None:
        if self.leaving or self._role != "serve":
            raise self._make_error(UnavailableError, "the engine accepts no new runs", "engine.run")
        if run.model != self.model or run.weight_version not in self.versions:
            raise self._make_error(ConflictError, "weight version is not loaded", "engine.run")
        if run.adapter and run.adapter not in self.adapters:
            raise self._make_error(ConflictError, "adapter is not loaded", "engine.run")

    def _execute_run(self, run: InferenceRun) -> list[StreamEvent]:
        version = run.weight_version
        self.cache.commit_imports(run.imported)
        cached = self.cache.count_cached_prefix(run.block_keys, version)
        intact = self.cache.is_intact(run.block_keys[:cached], version)
        for key in run.block_keys[cached:]:
            self.cache.add_block(key, version)
        self.records.append(RunRecord(run, version, cached, intact))
        seed = answer_seed(run, version) + ("" if intact else "corrupt")
        count = min(run.max_tokens, self._answer_tokens)
        return _answer_events(
            seed, count, min(cached * BLOCK_TOKENS, run.prompt_tokens - 1), version
        )

    def _apply_order(self, order: EngineOrder) -> None:
        if order.kind is OrderKind.LOAD_WEIGHTS:
            self.versions.add(order.weight_version)
        elif order.kind is OrderKind.UNLOAD_WEIGHTS:
            self.versions.discard(order.weight_version)
        elif order.kind is OrderKind.LOAD_ADAPTER:
            self.adapters.add(order.adapter)
        else:
            self._role = order.role

    def _state(self) -> EngineState:
        return EngineState(
            incarnation=self.incarnation,
            leaving=self.leaving,
            versions=frozenset(f"{self.model}:{version}" for version in self.versions),
            adapters=frozenset(self.adapters),
            role=self._role,
            fencing_number=self._fencing_number,
        )

    def _block_content(self, order: TransferOrder) -> bytes:
        size_bytes = order.block.token_count * BYTES_PER_TOKEN
        return generate_block_content(
            order.block.key, order.brand, order.model, order.weight_version, size_bytes
        )

    def _store_for(self, order: TransferOrder) -> StoreInstance:
        store = self._stores.get(order.store_address)
        if store is None:
            raise self._make_error(UnavailableError, "store is unreachable", "engine.transfer")
        return store

    def _make_error(self, error_class: type, message: str, step: str) -> Exception:
        return error_class(message, step=step, peer=self.server)


def _block_ref(block: BlockRef, content: bytes) -> BlockRef:
    digest = hashlib.sha256(content).hexdigest()
    return BlockRef(block.key, block.generation, len(content), digest, block.token_count)


def _answer_events(
    seed: str, count: int, cached_tokens: int, version: WeightVersion
) -> list[StreamEvent]:
    start = StreamEvent(0, EventKind.START, cached_tokens=cached_tokens, weight_version=version)
    tokens = [
        StreamEvent(index, EventKind.TOKEN, text)
        for index, text in enumerate(generate_answer_words(seed, count), start=1)
    ]
    return [start, *tokens, StreamEvent(count + 1, EventKind.END, finish_reason="stop")]
