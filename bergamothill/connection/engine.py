"""Client interface of a model engine, and its data types.

An engine runs requests in a continuous batch and caches prompt prefixes in bounded memory. It
exports cached blocks to a store instance and imports blocks from one; the bytes of a block never
pass through an entry instance.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

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
    "BlockRef",
    "CacheEvent",
    "CacheEventKind",
    "CacheEvents",
    "EngineLoad",
    "EngineOrder",
    "EngineState",
    "EventKind",
    "ModelEngine",
    "OrderKind",
    "InferenceRun",
    "StreamEvent",
    "TransferOrder",
    "TransferResult",
]


@dataclass(frozen=True, slots=True)
class BlockRef:
    """Reference to one block of cached prompt context on a store instance.

    :param key: block key: hash over brand, model, adapter, weight version and prefix chain
    :param generation: unique id of the write that created this copy; never reused
    :param size_bytes: length of the stored bytes
    :param digest: hexadecimal SHA-256 of the stored bytes
    :param token_count: tokens that the block covers
    """

    key: str
    generation: Generation
    size_bytes: int
    digest: str
    token_count: int


@dataclass(frozen=True, slots=True)
class InferenceRun:
    """One inference run as sent to an engine.

    :param request_id: id of the caller's request
    :param stream_id: id under which the engine retains the answer for resumption
    :param brand: brand that the run is charged to; part of the engine's cache salt
    :param model: model to run
    :param adapter: adapter to apply; empty for none
    :param weight_version: version pinned at admission; an engine without it rejects the run
    :param messages: chat messages as JSON objects in the format of the public API
    :param block_keys: keys of the prompt's full blocks, in prefix order
    :param prompt_tokens: number of tokens in the whole prompt
    :param max_tokens: maximum number of tokens to generate
    :param deadline_ms: time until the first token is due, in milliseconds from receipt
    :param priority: runs with a lower value are scheduled first
    :param imported: generations whose import the entry instance has confirmed, in order
    """

    request_id: RequestId
    stream_id: StreamId
    brand: BrandName
    model: ModelName
    adapter: AdapterName
    weight_version: WeightVersion
    messages: tuple[Any, ...]
    block_keys: tuple[str, ...]
    prompt_tokens: int
    max_tokens: int
    deadline_ms: int
    priority: int = 0
    imported: tuple[Generation, ...] = ()


class EventKind(Enum):
    """Kind of an event of an answer stream."""

    START = "start"
    TOKEN = "token"
    END = "end"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of an answer stream.

    :param sequence: position in the stream, starting at 0 without gaps
    :param kind: kind of the event
    :param text: generated text of a token event; message of an error event
    :param finish_reason: why generation ended (END only)
    :param cached_tokens: prompt tokens served from the cache (START only)
    :param weight_version: weight version that the engine used (START only)
    """

    sequence: int
    kind: EventKind
    text: str = ""
    finish_reason: str = ""
    cached_tokens: int = 0
    weight_version: str = ""


@dataclass(frozen=True, slots=True)
class TransferOrder:
    """Order to transfer one block between an engine and a store instance.

    :param block: block to transfer; for an export, ``size_bytes`` is 0 and ``digest`` is empty
    :param store_address: ``host:port`` of the store instance
    :param object_name: name of the store object that holds the block's bytes
    :param weight_version: weight version that the block belongs to
    :param brand: brand that the block belongs to
    :param deadline_ms: maximum duration of the transfer, in milliseconds
    :param model: model that the block belongs to
    """

    block: BlockRef
    store_address: str
    object_name: str
    weight_version: WeightVersion
    brand: BrandName
    deadline_ms: int
    model: ModelName


@dataclass(frozen=True, slots=True)
class TransferResult:
    """Result of a completed transfer.

    :param block: the block with the length and digest of the bytes written or read
    :param duration_ms: duration of the transfer, in milliseconds
    """

    block: BlockRef
    duration_ms: int


class OrderKind(Enum):
    """Kind of an order to an engine."""

    LOAD_WEIGHTS = "load_weights"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_WEIGHTS = "unload_weights"
    SET_ROLE = "set_role"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """Order that changes what an engine serves.

    :param kind: kind of the order
    :param fencing_number: increases with each new holder of the lease; some engines ignore it
    :param deadline_ms: time after receipt when the engine discards the order, in milliseconds
    :param model: model that the order applies to
    :param weight_version: version to load or unload
    :param adapter: adapter to load
    :param role: role to assume, such as ``serve`` or ``drain``
    """

    kind: OrderKind
    fencing_number: FencingNumber
    deadline_ms: int
    model: ModelName
    weight_version: WeightVersion = WeightVersion("")
    adapter: AdapterName = AdapterName("")
    role: str = ""


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine reports that it serves.

    :param incarnation: increases with each start of the engine
    :param leaving: the engine accepts no new runs
    :param versions: weight versions loaded, as ``model:version``
    :param adapters: adapters loaded
    :param role: current role
    :param fencing_number: highest fencing number accepted so far; 0 if the engine ignores them
    """

    incarnation: Incarnation
    leaving: bool
    versions: frozenset[str]
    adapters: frozenset[str] = frozenset()
    role: str = "serve"
    fencing_number: FencingNumber = FencingNumber(0)


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load report of an engine; it may be out of date.

    :param age_ms: age of the report, in milliseconds
    :param queued_tokens: prompt tokens waiting for prefill
    :param running: runs in the batch
    :param prefill_tokens_per_s: measured prefill rate
    :param link_bytes_per_s: measured throughput of the link to the stores
    :param link_queued_bytes: bytes queued for that link
    :param cache_free_tokens: tokens that can be cached before a block is evicted
    :param state: what the engine serves
    """

    age_ms: int
    queued_tokens: int
    running: int
    prefill_tokens_per_s: int
    link_bytes_per_s: int
    link_queued_bytes: int
    cache_free_tokens: int
    state: EngineState


class CacheEventKind(Enum):
    """Kind of a cache event."""

    KEPT = "kept"
    EVICTED = "evicted"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Notice that an engine cached or evicted a block; it may arrive late or not at all."""

    sequence: int
    kind: CacheEventKind
    key: str


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Cache events that follow a sequence number.

    :param events: events in order of their sequence number
    :param next_sequence: sequence number of the last event, to pass to the next call as ``after``
    :param gap: events before the first one were lost
    """

    events: tuple[CacheEvent, ...] = field(default=())
    next_sequence: int = 0
    gap: bool = False


OnEvent = Callable[[StreamEvent], None]


class ModelEngine(ABC):
    """Client of one model engine.

    Methods raise :class:`~bergamothill.errors.PeerUnreachableError` when nothing was sent and
    :class:`~bergamothill.errors.PeerTimeoutError` when the outcome is unknown. An error
    reply of the engine raises the matching error class with ``Execution.NOT_RUN``.
    """

    @abstractmethod
    def run(self, run: InferenceRun, on_event: OnEvent, *, idle_timeout_ms: int) -> None:
        """Start a run and deliver its events; return when the stream has closed.

        ``on_event`` may be called in another thread and must not block. An exception that it
        raises closes the connection and is re-raised unchanged.

        :param run: run to start
        :param on_event: called with each event as it arrives
        :param idle_timeout_ms: maximum time without data before the connection is closed
        :raises OverloadedError: the engine rejected the run; it did not start
        :raises ConflictError: the engine does not serve the weight version; the run did not start
        :raises StreamBrokenError: the connection closed before the END or ERROR event
        """

    @abstractmethod
    def resume(
        self, stream_id: StreamId, after: int, on_event: OnEvent, *, idle_timeout_ms: int
    ) -> None:
        """Deliver the events of a running or finished stream that follow a position.

        :param stream_id: stream to resume
        :param after: last sequence number already received; -1 for none
        :param on_event: called with each event; see :meth:`run`
        :param idle_timeout_ms: maximum time without data before the connection is closed
        :raises NotFoundError: the engine no longer retains the stream
        """

    @abstractmethod
    def cancel(self, stream_id: StreamId) -> None:
        """Cancel a run; an unknown stream is ignored."""

    @abstractmethod
    def load(self) -> EngineLoad:
        """Return the engine's load report and state."""

    @abstractmethod
    def export_block(self, order: TransferOrder) -> TransferResult:
        """Copy a cached block to a store.

        :raises NotFoundError: the engine no longer caches the block
        :raises StoreFullError: the store has no space left
        """

    @abstractmethod
    def import_block(self, order: TransferOrder) -> TransferResult:
        """Copy a block from a store into the staging area of the engine.

        The block is used only once a run names its generation in ``imported``.

        :raises NotFoundError: the store has no such object
        :raises ProtocolError: length or digest differs from the order's
        """

    @abstractmethod
    def order(self, order: EngineOrder) -> EngineState:
        """Execute an order and return the resulting state.

        :raises FencedError: the fencing number is lower than one already accepted
        """

    @abstractmethod
    def cache_events(self, after: int) -> CacheEvents:
        """Return the cache events whose sequence number is greater than ``after``."""
