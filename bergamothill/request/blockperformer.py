"""Performs the effects of the block protocol at one engine and one store instance."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod

from bergamothill.clock import Clock
from bergamothill.connection.engine import BlockRef, ModelEngine, TransferOrder
from bergamothill.errors import BergamothillError
from bergamothill.request.storecalls import StoreEndpoint
from bergamothill.version.blockname import BlockName, parse_listing
from bergamothill.version.blockstore import (
    BlockEffect,
    BlockEvent,
    BlockRead,
    BlockWrite,
    DataTransferred,
    ExportData,
    ImportData,
    ListCopy,
    Listed,
    MarkerPut,
    PutMarker,
    ReadConfirmed,
    ReadRejected,
    StepFailed,
    WriteAbandoned,
    WriteCommitted,
)

__all__ = ["BlockPerformer", "run_block_machine"]

BlockOutcome = WriteCommitted | WriteAbandoned | ReadConfirmed | ReadRejected


class BlockPerformer:
    """Performs the effects of the state machine of one block.

    :param engine: engine that transfers the data
    :param endpoint: store instance
    :param token_count: tokens that the block covers
    :param timeout_ms: maximum duration of a transfer, in milliseconds
    """

    def __init__(
        self, engine: ModelEngine, endpoint: StoreEndpoint, token_count: int, timeout_ms: int
    ) -> None:
        self.error: BergamothillError | None = None
        self._engine = engine
        self._endpoint = endpoint
        self._token_count = token_count
        self._timeout_ms = timeout_ms

    def perform(self, effect: BlockEffect) -> BlockEvent:
        """Perform an effect and return its outcome.

        :param effect: effect to perform; not a final outcome
        :returns: the outcome; the cause of a failure is stored in ``error``
        """
        try:
            return self._perform(effect)
        except BergamothillError as error:
            self.error = error
            return StepFailed()

    @singledispatchmethod
    def _perform(self, effect: BlockEffect) -> BlockEvent:
        raise TypeError(f"unknown effect {effect!r}")

    @_perform.register
    def _(self, effect: ExportData) -> BlockEvent:
        name = effect.name
        block = BlockRef(name.key, name.generation, 0, "", self._token_count)
        return DataTransferred(self._engine.export_block(self._transfer_order(name, block)).block)

    @_perform.register
    def _(self, effect: ImportData) -> BlockEvent:
        order = self._transfer_order(effect.name, effect.block)
        return DataTransferred(self._engine.import_block(order).block)

    @_perform.register
    def _(self, effect: ListCopy) -> BlockEvent:
        listed = parse_listing(self._endpoint.instance.list(effect.name.prefix))
        matching = [listing for listing in listed if listing.name == effect.name]
        return Listed(matching[0] if matching else None)

    @_perform.register
    def _(self, effect: PutMarker) -> BlockEvent:
        self._endpoint.instance.put(effect.object_name, b"")
        return MarkerPut()

    def _transfer_order(self, name: BlockName, block: BlockRef) -> TransferOrder:
        return TransferOrder(
            block=block,
            store_address=self._endpoint.address,
            object_name=name.data,
            weight_version=name.weight_version,
            brand=name.brand,
            deadline_ms=self._timeout_ms,
            model=name.model,
        )


def run_block_machine(
    machine: BlockRead | BlockWrite,
    perform: Callable[[BlockEffect], BlockEvent],
    clock: Clock,
) -> BlockOutcome:
    """Run a state machine to its outcome.

    :param machine: machine that has not been started
    :param perform: performs an effect
    :param clock: time source
    """
    effect = machine.start(clock.now_ms())
    while not isinstance(effect, BlockOutcome):
        event = perform(effect)
        effect = machine.handle(event, clock.now_ms())
    return effect
