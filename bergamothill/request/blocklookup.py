"""Lookup of the KV cache blocks of a prompt at the store instances."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import CancelledError, Future, TimeoutError
from dataclasses import dataclass
from typing import TypeVar

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.connection.engine import BlockRef
from bergamothill.errors import BergamothillError
from bergamothill.ids import BrandName, Generation, StoreId, ZoneName
from bergamothill.request.routing import StoredBlock
from bergamothill.request.storecalls import StoreCalls, StoreEndpoint
from bergamothill.request.storedblockcache import StoredBlockCache
from bergamothill.version.block import BlockChain
from bergamothill.version.blockname import CopyListing, name_copy, parse_listing
from bergamothill.version.blockstore import BlockBounds

__all__ = ["BlockCounter", "BlockLookup", "FoundCopy", "result_before"]

LOOKUP_TIMEOUT_MS = 150
LOOKUP_BATCH_SIZE = 8

Result = TypeVar("Result")
BlockCounter = Callable[[str, BrandName, int], None]
"""Adds a number to a named metrics counter of a brand."""


@dataclass(frozen=True, slots=True)
class FoundCopy:
    """Readable copy of one block of the prompt.

    :param listing: listing of the copy at the store
    :param store: store instance that has the copy
    :param zone: availability zone of the store
    :param looked_up_ms: time just before the lookup was sent, in milliseconds
    """

    listing: CopyListing
    store: StoreId
    zone: ZoneName
    looked_up_ms: int

    @property
    def block(self) -> BlockRef:
        """Reference to the block's data."""
        return self.listing.block

    def as_stored_block(self) -> StoredBlock:
        """Return the copy in the form that routing uses."""
        block = self.block
        return StoredBlock(self.store, self.zone, block.size_bytes, block.token_count)


@dataclass(frozen=True, slots=True)
class _PendingLookup:
    """Lookup of one block at one store, which may still be running."""

    store: StoreId
    future: Future[tuple[FoundCopy, ...]]


class BlockLookup:
    """Queries the stores for the blocks of prompts.

    :param calls: calls to the stores
    :param clock: time source
    :param bounds: time bounds of the block protocol
    :param stored_blocks: cache to which the blocks found are added
    :param count: adds to a metrics counter
    """

    def __init__(
        self,
        calls: StoreCalls,
        clock: Clock,
        bounds: BlockBounds,
        stored_blocks: StoredBlockCache,
        count: BlockCounter,
    ) -> None:
        self._calls = calls
        self._clock = clock
        self._bounds = bounds
        self._stored_blocks = stored_blocks
        self._count = count

    def lookup(
        self, chain: BlockChain, *, timeout_ms: int = LOOKUP_TIMEOUT_MS
    ) -> tuple[FoundCopy, ...]:
        """Return the leading blocks of a prompt that the stores have.

        A block counts as missing if a store fails or does not answer in time.

        :param chain: blocks of the prompt
        :param timeout_ms: maximum duration of the whole lookup, in milliseconds
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        found: list[FoundCopy] = []
        for start in range(0, len(chain.keys), LOOKUP_BATCH_SIZE):
            keys = chain.keys[start : start + LOOKUP_BATCH_SIZE]
            for lookups in [self._submit_lookups(chain, key) for key in keys]:
                copy = self._first_found(lookups, deadline_ms)
                if copy is None:
                    return self._record_lookup(chain, found)
                found.append(copy)
        return self._record_lookup(chain, found)

    def list_readable(self, endpoint: StoreEndpoint, prefix: str) -> tuple[FoundCopy, ...]:
        """Return the readable copies of one block at one store.

        :param endpoint: store instance
        :param prefix: prefix of the names of the block's copies
        :raises BergamothillError: the store did not answer
        """
        sent_ms = self._clock.now_ms()
        listed = parse_listing(endpoint.instance.list(prefix))
        return tuple(
            FoundCopy(listing, endpoint.store, endpoint.zone, sent_ms)
            for listing in listed
            if listing.name.key_prefix == prefix and listing.is_readable(self._bounds.write_ms)
        )

    def _submit_lookups(self, chain: BlockChain, key: str) -> list[_PendingLookup]:
        prefix = name_copy(chain, key, Generation("")).key_prefix
        return [
            _PendingLookup(
                endpoint.store,
                self._calls.submit(endpoint, lambda target: self.list_readable(target, prefix)),
            )
            for endpoint in self._calls.stores_to_read(key)
        ]

    def _first_found(self, lookups: list[_PendingLookup], deadline_ms: int) -> FoundCopy | None:
        for lookup in lookups:
            copies = result_before(lookup.future, deadline_ms, self._clock)
            if copies:
                return min(copies, key=lambda copy: copy.listing.name.generation)
            if not lookup.future.done():
                self._calls.mark_suspect(lookup.store, "slow")
        return None

    def _record_lookup(self, chain: BlockChain, found: list[FoundCopy]) -> tuple[FoundCopy, ...]:
        self._stored_blocks.add(copy.block.key for copy in found)
        self._count("block.found", chain.brand, len(found))
        self._count("block.missed", chain.brand, len(chain.keys) - len(found))
        return tuple(found)


def result_before(future: Future[Result], deadline_ms: int, clock: Clock) -> Result | None:
    """Return the result of a future, or None if it failed or is not done by the deadline.

    :param future: future to wait for
    :param deadline_ms: time until which to wait, in milliseconds
    :param clock: time source
    """
    left_ms = max(0, deadline_ms - clock.now_ms())
    try:
        return future.result(timeout=ms_to_seconds(left_ms))
    except (BergamothillError, TimeoutError, CancelledError):
        return None
