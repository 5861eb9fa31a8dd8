"""Placement of a run: chooses an engine, restores the prompt there, and confirms the engine."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bergamothill.clock import Clock
from bergamothill.connection.engine import BlockRef, ModelEngine, StreamEvent
from bergamothill.errors import (
    BergamothillError,
    PeerUnreachableError,
    UnavailableError,
    WeightVersionError,
)
from bergamothill.ids import BrandName, Generation, ServerId
from bergamothill.logs import EventLog
from bergamothill.process.servers import EngineRecord, ServerTable
from bergamothill.request.blockstoreclient import BlockStoreClient, FoundCopy
from bergamothill.request.cachehints import CacheHints, KeptHintDelta
from bergamothill.request.exporter import Exporter, ExportSource
from bergamothill.request.load import LoadEstimator, SentWorkDelta
from bergamothill.request.routing import EngineView, Prompt, Route, choose_route
from bergamothill.request.runner import InferenceJob, Placement
from bergamothill.version.block import BlockChain
from bergamothill.version.config import PolicyWeights
from bergamothill.version.weights import VersionMismatches, reports_loaded

__all__ = ["EnginePlacer", "TtftEstimate", "restore_timeout_ms"]

MILLIS_PER_SECOND = 1_000
RETRY_AFTER_MS = 1_000
RESTORE_TIMEOUT_MS = 10_000
MIN_RESTORE_MS = 100

_log = EventLog("placement")


@dataclass(frozen=True, slots=True)
class TtftEstimate:
    """Lower bound of the time to first token of a request.

    :param ttft_ms: lowest possible time to first token, in milliseconds
    :param queue_ms: part of it spent in the engine's queue, in milliseconds
    """

    ttft_ms: int
    queue_ms: int


class EnginePlacer:
    """Chooses engines for runs; thread-safe.

    :param clock: time source
    :param table: last known state of the backend servers
    :param confirm_server: queries a server directly; returns whether it accepts new work
    :param engine_for: returns the client of an engine
    :param block_stores: access to the blocks at the store instances
    :param estimator: estimates the queues of the engines
    :param hints: hints about the prefixes that the engines have cached
    :param weights: returns the routing policy in force
    :param objective_ms: returns the time-to-first-token objective of a brand, in milliseconds
    :param rng: random number generator
    """

    def __init__(
        self,
        clock: Clock,
        table: ServerTable,
        confirm_server: Callable[[ServerId], bool],
        engine_for: Callable[[ServerId], ModelEngine],
        block_stores: BlockStoreClient,
        estimator: LoadEstimator,
        hints: CacheHints,
        weights: Callable[[], PolicyWeights],
        objective_ms: Callable[[BrandName], int],
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._table = table
        self._confirm_server = confirm_server
        self._engine_for = engine_for
        self._block_stores = block_stores
        self._estimator = estimator
        self._hints = hints
        self._weights = weights
        self._objective_ms = objective_ms
        self._rng = rng
        self._mismatches = VersionMismatches()
        self._exporter: Exporter | None = None
        self._lock = threading.Lock()

    def set_exporter(self, exporter: Exporter) -> None:
        """Set the exporter, which in turn needs :meth:`is_link_idle` of this placer."""
        self._exporter = exporter

    def estimate_ttft(self, chain: BlockChain) -> TtftEstimate:
        """Return a lower bound of the time to first token of a prompt.

        :param chain: blocks of the prompt
        :raises UnavailableError: no engine serves the version
        """
        views = self._views(chain, self._serving_engines(chain, ()))
        if not views:
            raise _no_engine_error(chain)
        tail_tokens = max(1, chain.prompt_tokens - sum(chain.token_counts))
        best = min(views, key=lambda view: _queue_ms(view) + _prefill_ms(view, tail_tokens))
        queue_ms = round(_queue_ms(best))
        return TtftEstimate(queue_ms + round(_prefill_ms(best, tail_tokens)), queue_ms)

    def place(self, job: InferenceJob, tried: tuple[ServerId, ...]) -> Placement:
        """Choose an engine and restore the prompt's prefix there.

        :param job: inference to place
        :param tried: engines to exclude
        :raises UnavailableError: no engine can take the run
        """
        chain = job.chain
        views = self._views(chain, self._serving_engines(chain, tried))
        if not views:
            raise _no_engine_error(chain)
        found = self._lookup(chain, views)
        stored = tuple(item.as_stored_block() for item in found)
        prompt = Prompt(chain.keys, chain.token_counts, chain.prompt_tokens, stored)
        with self._lock:
            route = choose_route(
                prompt,
                views,
                self._weights(),
                self._rng,
                objective_ms=self._objective_ms(chain.brand),
            )
        engine = self._engine_for(route.server)
        view = next(view for view in views if view.server == route.server)
        cached = view.cached_blocks
        wanted = found[cached : route.restore_blocks]
        self._record_send(route, chain, sum(item.block.size_bytes for item in wanted))
        imported = self._restore(job, view, engine, wanted)
        known_blocks = max(len(found), max(view.cached_blocks for view in views))
        _log.info(
            "placed",
            request_id=job.request_id,
            brand=job.brand,
            server=route.server,
            blocks=len(chain.keys),
            found=len(found),
            cached=cached,
            restored=len(imported),
            expected_ttft_ms=route.expected_ttft_ms,
        )
        known_tokens = sum(chain.token_counts[:known_blocks])
        return Placement(
            server=route.server,
            engine=engine,
            imported=imported,
            known_tokens=known_tokens,
            stored_blocks=len(found),
            expected_ttft_ms=route.expected_ttft_ms,
        )

    def confirm(self, server: ServerId) -> None:
        """Check, right before a send, that the engine accepts new work.

        :raises UnavailableError: the engine is leaving, or its last known state is too old
        """
        if self._table.may_send(server, self._clock.now_ms()):
            return
        self._confirm_server(server)
        if not self._table.may_send(server, self._clock.now_ms()):
            raise UnavailableError(
                "the engine accepts no new work",
                step="leaving",
                peer=server,
                retry_after_ms=RETRY_AFTER_MS,
            )

    def failed(self, server: ServerId, error: BergamothillError) -> None:
        """Update the known state of an engine after a failed exchange."""
        if isinstance(error, PeerUnreachableError):
            self._table.mark_unreachable(server)
        elif isinstance(error, WeightVersionError):
            with self._lock:
                self._mismatches.record_mismatch(server, self._clock.now_ms())

    def record_run_start(self, server: ServerId, job: InferenceJob, start: StreamEvent) -> None:
        """Correct the cache hints from the number of cached tokens that the engine reported."""
        cached = _full_blocks(job.chain, start.cached_tokens)
        with self._lock:
            self._hints.record_misses(server, job.chain.keys, cached)
            self._hints.record_run(server, job.chain.keys)

    def finished(self, job: InferenceJob, placement: Placement) -> None:
        """Queue the export of the blocks that the stores do not have yet.

        :param job: inference that ended
        :param placement: placement of the inference
        """
        instance = self._table.instance(placement.server)
        if instance is not None and job.chain.keys:
            source = ExportSource(placement.server, instance.zone, placement.engine)
            self._exporter.enqueue(source, job.chain, placement.stored_blocks)

    def is_link_idle(self, server: ServerId) -> bool:
        """Return whether no transfer is believed to be queued on an engine's link."""
        with self._lock:
            views = self._estimator.views({server: 0}, self._clock.now_ms())
        return bool(views) and views[0].link_queued_bytes == 0

    def deltas(self) -> tuple[object, ...]:
        """Return the messages for peers of the zone about sent work and cached prefixes."""
        with self._lock:
            deltas = (self._estimator.take_delta(self._clock.now_ms()), self._hints.take_delta())
        return tuple(delta for delta in deltas if delta is not None)

    def apply_work_delta(self, delta: SentWorkDelta) -> None:
        """Apply a delta of work sent by a peer."""
        with self._lock:
            self._estimator.apply_delta(delta, self._clock.now_ms())

    def apply_hint_delta(self, delta: KeptHintDelta) -> None:
        """Apply a delta of cache hints from a peer."""
        with self._lock:
            self._hints.apply_delta(delta)

    def _serving_engines(
        self, chain: BlockChain, tried: tuple[ServerId, ...]
    ) -> list[EngineRecord]:
        now_ms = self._clock.now_ms()
        return [
            record
            for record in self._table.engines()
            if _takes_work(record, chain)
            and record.instance.instance_id not in tried
            and not self._mismatches.is_excluded(ServerId(record.instance.instance_id), now_ms)
        ]

    def _views(self, chain: BlockChain, records: list[EngineRecord]) -> tuple[EngineView, ...]:
        with self._lock:
            for record in records:
                server = ServerId(record.instance.instance_id)
                self._estimator.report(
                    server, record.instance.zone, record.load, record.observed_ms
                )
            cached = self._hints.cached_blocks(chain.keys)
            servers = [ServerId(record.instance.instance_id) for record in records]
            believed = {server: cached.get(server, 0) for server in servers}
            return self._estimator.views(believed, self._clock.now_ms())

    def _lookup(self, chain: BlockChain, views: tuple[EngineView, ...]) -> tuple[FoundCopy, ...]:
        if not chain.keys or min(view.cached_blocks for view in views) == len(chain.keys):
            return ()
        return self._block_stores.lookup(chain)

    def _restore(
        self,
        job: InferenceJob,
        view: EngineView,
        engine: ModelEngine,
        wanted: tuple[FoundCopy, ...],
    ) -> tuple[Generation, ...]:
        if not wanted:
            return ()
        left_ms = max(1, job.deadline_ms - self._clock.now_ms())
        timeout_ms = min(restore_timeout_ms(view, [item.block for item in wanted]), left_ms)
        return self._block_stores.restore(view.server, engine, wanted, timeout_ms=timeout_ms)

    def _record_send(self, route: Route, chain: BlockChain, moved_bytes: int) -> None:
        """Record the work before it starts, so that the next placement takes it into account."""
        rest_tokens = chain.prompt_tokens - sum(chain.token_counts[: route.restore_blocks])
        with self._lock:
            self._estimator.record_send(
                route.server, rest_tokens, moved_bytes, self._clock.now_ms()
            )


def restore_timeout_ms(view: EngineView, blocks: Sequence[BlockRef]) -> int:
    """Return the time after which a restore is abandoned in favour of computing.

    The timeout is the expected transfer time plus the prefill time that the restore would save, so
    a stalled link costs at most that much.

    :param view: engine that imports
    :param blocks: blocks to import
    :returns: timeout, in milliseconds
    """
    moved_bytes = view.link_queued_bytes + sum(block.size_bytes for block in blocks)
    transfer_ms = moved_bytes * MILLIS_PER_SECOND / view.link_bytes_per_s
    saved_ms = _prefill_ms(view, sum(block.token_count for block in blocks))
    return min(RESTORE_TIMEOUT_MS, round(MIN_RESTORE_MS + transfer_ms + saved_ms))


def _takes_work(record: EngineRecord, chain: BlockChain) -> bool:
    if record.load is None or record.leaving or not record.reachable:
        return False
    state = record.load.state
    has_adapter = not chain.adapter or chain.adapter in state.adapters
    is_serving = state.role == "serve"
    return has_adapter and is_serving and reports_loaded(state, chain.model, chain.weight_version)


def _queue_ms(view: EngineView) -> float:
    return view.queued_tokens * MILLIS_PER_SECOND / view.prefill_tokens_per_s


def _prefill_ms(view: EngineView, tokens: int) -> float:
    return tokens * MILLIS_PER_SECOND / view.prefill_tokens_per_s


def _full_blocks(chain: BlockChain, tokens: int) -> int:
    blocks = 0
    covered = 0
    for count in chain.token_counts:
        covered += count
        if covered > tokens:
            break
        blocks += 1
    return blocks


def _no_engine_error(chain: BlockChain) -> UnavailableError:
    return UnavailableError(
        f"no engine serves {chain.model} {chain.weight_version}",
        step="route",
        retry_after_ms=RETRY_AFTER_MS,
    )
