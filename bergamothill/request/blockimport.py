"""Import of stored KV cache blocks into engines, one transfer per block and engine."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor

from bergamothill.clock import Clock
from bergamothill.connection.engine import ModelEngine
from bergamothill.ids import Generation, ServerId
from bergamothill.logs import EventLog
from bergamothill.request.blocklookup import BlockCounter, FoundCopy, result_before
from bergamothill.request.blockperformer import BlockPerformer, run_block_machine
from bergamothill.request.flight import SingleFlight
from bergamothill.request.storecalls import StoreCalls
from bergamothill.version.blockstore import BlockBounds, BlockRead, ReadConfirmed

__all__ = ["BlockImporter"]

TRANSFER_THREADS = 32
TOUCH_INTERVAL_MS = 600_000


class BlockImporter:
    """Makes engines import blocks from stores.

    :param calls: calls to the stores
    :param clock: time source
    :param bounds: time bounds of the block protocol
    :param count: adds to a metrics counter
    """

    def __init__(
        self, calls: StoreCalls, clock: Clock, bounds: BlockBounds, count: BlockCounter
    ) -> None:
        self._calls = calls
        self._clock = clock
        self._bounds = bounds
        self._count = count
        self._log = EventLog("blocks")
        self._imports: SingleFlight[Generation | None] = SingleFlight()
        self._transfers = ThreadPoolExecutor(TRANSFER_THREADS, thread_name_prefix="transfer")

    def close(self) -> None:
        """Stop the threads; transfers that have not started are dropped."""
        self._transfers.shutdown(wait=False, cancel_futures=True)

    def restore(
        self,
        server: ServerId,
        engine: ModelEngine,
        found: Sequence[FoundCopy],
        *,
        timeout_ms: int,
    ) -> tuple[Generation, ...]:
        """Import blocks into an engine and return those that a run may use.

        :param server: id of the engine
        :param engine: engine that imports
        :param found: leading blocks, as returned by :meth:`BlockLookup.lookup`; the first ones may
            be left out if the engine has them cached
        :param timeout_ms: maximum time to wait, in milliseconds
        :returns: generations of the longest confirmed prefix of ``found``
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        flights = [self._start_import(server, engine, copy, timeout_ms) for copy in found]
        confirmed: list[Generation] = []
        for flight in flights:
            generation = result_before(flight, deadline_ms, self._clock)
            if generation is None:
                break
            confirmed.append(generation)
        for copy in found[: len(confirmed)]:
            self._touch(copy)
        return tuple(confirmed)

    def _start_import(
        self, server: ServerId, engine: ModelEngine, found: FoundCopy, timeout_ms: int
    ) -> Future[Generation | None]:
        """Start the import of one block, or join the running one."""
        key = f"{found.block.key}/{found.block.generation}"
        flight = self._imports.join(server, key)
        if flight.leader:
            self._transfers.submit(self._run_import, server, engine, found, key, timeout_ms)
        return flight.future

    def _run_import(
        self, server: ServerId, engine: ModelEngine, found: FoundCopy, key: str, timeout_ms: int
    ) -> None:
        try:
            generation = self._import(server, engine, found, timeout_ms)
        except Exception as error:
            self._imports.fail(server, key, error)
            raise
        self._imports.succeed(server, key, generation)

    def _import(
        self, server: ServerId, engine: ModelEngine, found: FoundCopy, timeout_ms: int
    ) -> Generation | None:
        endpoint = self._calls.find(found.store)
        if endpoint is None:
            return None
        performer = BlockPerformer(engine, endpoint, found.block.token_count, timeout_ms)
        machine = BlockRead(found.listing, found.looked_up_ms, self._bounds)
        outcome = run_block_machine(machine, performer.perform, self._clock)
        if isinstance(outcome, ReadConfirmed):
            return outcome.generation
        self._log.warning(
            "block_rejected",
            brand=found.listing.name.brand,
            key=found.block.key,
            store=found.store,
            server=server,
            reason=outcome.reason.value,
            error=performer.error or "",
        )
        self._count("block.rejected", found.listing.name.brand, 1)
        return None

    def _touch(self, found: FoundCopy) -> None:
        """Renew the copy's last-use marker at the store, if the marker is old."""
        age_ms = found.listing.commits[0].age_ms
        if found.listing.used_age_ms is not None:
            age_ms = min(age_ms, found.listing.used_age_ms)
        endpoint = self._calls.find(found.store)
        if age_ms < TOUCH_INTERVAL_MS or endpoint is None:
            return
        self._calls.submit(
            endpoint, lambda target: target.instance.put(found.listing.name.used, b"")
        )
