"""Model engine: interface and records.

An engine batches continuously, keeps prompt prefixes in bounded memory, exports kept blocks to a
store instance and imports them from there. Block bytes never pass through an entry instance.
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
    "Run",
    "StreamEvent",
    "TransferOrder",
    "TransferResult",
]


@dataclass(frozen=True, slots=True)
class BlockRef:
    """One block of kept context at a store instance.

    :param key: block key: hash over brand, model, adapter, weight version and prefix chain
    :param generation: name drawn at the write that made this copy; never reused
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
class Run:
    """One inference as sent to an engine.

    :param request_id: id of the caller's request
    :param stream_id: id under which the engine keeps the answer for resumption
    :param brand: brand that pays for the run; part of the engine's cache salt
    :param model: model to run
    :param adapter: adapter to apply; empty for none
    :param weight_version: version pinned at admission; the engine refuses another
    :param messages: chat messages in the callers' JSON shape
    :param block_keys: keys of the prompt's full blocks, in prefix order
    :param prompt_tokens: tokens of the whole prompt
    :param max_tokens: most tokens to generate
    :param deadline_ms: time left for the first token, in milliseconds from receipt
    :param priority: lower runs first
    :param imported: generations that the entry instance confirmed after their import, in order
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

    :param sequence: position in the stream, from 0 without holes
    :param kind: what the event says
    :param text: generated text of a token event; message of an error event
    :param finish_reason: why generation ended (END only)
    :param cached_tokens: prompt tokens that were not recomputed (START only)
    :param weight_version: version that the engine ran (START only)
    """

    sequence: int
    kind: EventKind
    text: str = ""
    finish_reason: str = ""
    cached_tokens: int = 0
    weight_version: str = ""


@dataclass(frozen=True, slots=True)
class TransferOrder:
    """Order to move blocks between an engine and a store instance.

    :param block: block to move; at an export ``size_bytes`` is 0 and ``digest`` empty
    :param store_address: ``host:port`` of the store instance
    :param object_name: name of the block's bytes at the store
    :param weight_version: version that the block belongs to
    :param brand: brand that the block belongs to
    :param deadline_ms: longest duration of the transfer, in milliseconds
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
    """What an engine reports after a transfer.

    :param block: the block with the length and digest that the engine wrote or read
    :param duration_ms: how long the bytes took, in milliseconds
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

    :param kind: what to do
    :param fencing_number: grows with each holder of the duty; some engines ignore it
    :param deadline_ms: the engine drops the order when it is older, in milliseconds from receipt
    :param model: model concerned
    :param weight_version: version to load or unload
    :param adapter: adapter to load
    :param role: role to take, such as ``serve`` or ``drain``
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
    """What an engine says that it serves.

    :param incarnation: grows at each start of the engine
    :param leaving: the engine takes no new work
    :param versions: weight versions loaded, as ``model:version``
    :param adapters: adapters loaded
    :param role: current role
    :param fencing_number: highest number accepted so far; 0 where the engine ignores them
    """

    incarnation: Incarnation
    leaving: bool
    versions: frozenset[str]
    adapters: frozenset[str] = frozenset()
    role: str = "serve"
    fencing_number: FencingNumber = FencingNumber(0)


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load report of an engine; it lags.

    :param age_ms: how old the report is, in milliseconds
    :param queued_tokens: prompt tokens waiting for prefill
    :param running: runs in the batch
    :param prefill_tokens_per_s: measured prefill speed
    :param link_bytes_per_s: measured speed of the link to the stores
    :param link_queued_bytes: bytes waiting for the link
    :param cache_free_tokens: tokens that fit before something is evicted
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
    """Hint that an engine keeps or evicted a block; late, and some are missing."""

    sequence: int
    kind: CacheEventKind
    key: str


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Events after a position.

    :param events: events in order of their sequence
    :param next_sequence: position for the next call
    :param gap: events before the first were lost
    """

    events: tuple[CacheEvent, ...] = field(default=())
    next_sequence: int = 0
    gap: bool = False


OnEvent = Callable[[StreamEvent], None]


class ModelEngine(ABC):
    """Client of one model engine.

    Methods raise :class:`~bergamothill.errors.PeerUnreachableError` when nothing was sent and
    :class:`~bergamothill.errors.PeerTimeoutError` when the outcome is unknown. A refusal by the
    engine itself raises the matching typed error with ``Execution.NOT_RUN``.
    """

    @abstractmethod
    def run(self, run: Run, on_event: OnEvent, *, idle_timeout_ms: int) -> None:
        """Start a run and deliver its events in the calling thread until the stream closes.

        An exception raised by ``on_event`` closes the connection and passes on unchanged.

        :param run: what to run
        :param on_event: receives each event as it arrives
        :param idle_timeout_ms: longest silence before the connection is given up
        :raises OverloadedError: the engine refused; the run did not start
        :raises ConflictError: the engine does not serve the weight version; it did not start
        :raises StreamBrokenError: the connection ended before the END or ERROR event
        """

    @abstractmethod
    def resume(
        self, stream_id: StreamId, after: int, on_event: OnEvent, *, idle_timeout_ms: int
    ) -> None:
        """Deliver the events of a running or finished stream from a position on.

        :param stream_id: stream to resume
        :param after: last sequence already received; -1 for none
        :param on_event: receives each event
        :param idle_timeout_ms: longest silence before the connection is given up
        :raises NotFoundError: the engine no longer keeps the stream
        """

    @abstractmethod
    def cancel(self, stream_id: StreamId) -> None:
        """Stop a run; an unknown stream is no error."""

    @abstractmethod
    def load(self) -> EngineLoad:
        """Return the engine's load report and state."""

    @abstractmethod
    def export_block(self, order: TransferOrder) -> TransferResult:
        """Copy a kept block to a store.

        :raises NotFoundError: the engine no longer keeps the block
        :raises StoreFullError: the store had no room
        """

    @abstractmethod
    def import_block(self, order: TransferOrder) -> TransferResult:
        """Copy a block from a store into staging; unusable until a run names its generation.

        :raises NotFoundError: the store has no such object
        :raises ProtocolError: length or digest differ from the order's
        """

    @abstractmethod
    def order(self, order: EngineOrder) -> EngineState:
        """Carry out an order and return the state after it.

        :raises FencedError: the fencing number is old
        """

    @abstractmethod
    def cache_events(self, after: int) -> CacheEvents:
        """Return the cache events after a position."""
