"""Look-up of a prompt's kept blocks at the store instances."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import CancelledError, Future, TimeoutError
from dataclasses import dataclass
from typing import TypeVar

from bergamothill.clock import Clock, seconds
from bergamothill.connection.engine import BlockRef
from bergamothill.errors import BergamothillError
from bergamothill.ids import BrandName, Generation, StoreId, ZoneName
from bergamothill.request.presence import PresentBlocks
from bergamothill.request.routing import StoredBlock
from bergamothill.request.storecalls import StoreCalls, StoreEndpoint
from bergamothill.version.block import BlockChain
from bergamothill.version.blockname import CopyListing, name_copy, parse_listing
from bergamothill.version.blockstore import BlockBounds

__all__ = ["BlockCount", "BlockLookup", "Found", "result_by"]

LOOKUP_TIMEOUT_MS = 150
LOOKUP_WINDOW = 8

Result = TypeVar("Result")
BlockCount = Callable[[str, BrandName, int], None]
"""Adds to a counter of a brand."""


@dataclass(frozen=True, slots=True)
class Found:
    """One readable copy of a block of the prompt.

    :param listing: what the store listed
    :param store: store instance that holds it
    :param zone: availability zone of the store
    :param looked_up_ms: instant before the look-up was sent, in milliseconds
    """

    listing: CopyListing
    store: StoreId
    zone: ZoneName
    looked_up_ms: int

    @property
    def block(self) -> BlockRef:
        """Reference to the data."""
        return self.listing.block

    def stored(self) -> StoredBlock:
        """Return the copy as routing weighs it."""
        block = self.block
        return StoredBlock(self.store, self.zone, block.size_bytes, block.token_count)


@dataclass(frozen=True, slots=True)
class _Asked:
    """A look-up of one block at one store."""

    store: StoreId
    future: Future[tuple[Found, ...]]


class BlockLookup:
    """Asks the stores for the blocks of prompts.

    :param calls: calls to the stores
    :param clock: time source
    :param bounds: time bounds of the block protocol
    :param present: told of the blocks found
    :param count: metrics
    """

    def __init__(
        self,
        calls: StoreCalls,
        clock: Clock,
        bounds: BlockBounds,
        present: PresentBlocks,
        count: BlockCount,
    ) -> None:
        self._calls = calls
        self._clock = clock
        self._bounds = bounds
        self._present = present
        self._count = count

    def lookup(
        self, chain: BlockChain, *, timeout_ms: int = LOOKUP_TIMEOUT_MS
    ) -> tuple[Found, ...]:
        """Return the leading blocks of a prompt that stores hold; every doubt is a miss.

        :param chain: blocks of the prompt
        :param timeout_ms: longest duration of the whole look-up, in milliseconds
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        found: list[Found] = []
        for start in range(0, len(chain.keys), LOOKUP_WINDOW):
            keys = chain.keys[start : start + LOOKUP_WINDOW]
            for asked in [self._ask(chain, key) for key in keys]:
                copy = self._first_found(asked, deadline_ms)
                if copy is None:
                    return self._counted(chain, found)
                found.append(copy)
        return self._counted(chain, found)

    def list_readable(self, endpoint: StoreEndpoint, prefix: str) -> tuple[Found, ...]:
        """Return the readable copies of one block at one store.

        :param endpoint: store instance
        :param prefix: prefix of the names of the block's copies
        :raises BergamothillError: the store did not answer
        """
        asked_ms = self._clock.now_ms()
        listed = parse_listing(endpoint.instance.list(prefix))
        return tuple(
            Found(listing, endpoint.store, endpoint.zone, asked_ms)
            for listing in listed
            if listing.name.key_prefix == prefix and listing.is_readable(self._bounds.write_ms)
        )

    def _ask(self, chain: BlockChain, key: str) -> list[_Asked]:
        prefix = name_copy(chain, key, Generation("")).key_prefix
        return [
            _Asked(
                endpoint.store,
                self._calls.submit(endpoint, lambda at: self.list_readable(at, prefix)),
            )
            for endpoint in self._calls.readers_of(key)
        ]

    def _first_found(self, asked: list[_Asked], deadline_ms: int) -> Found | None:
        for one in asked:
            copies = result_by(one.future, deadline_ms, self._clock)
            if copies:
                return min(copies, key=lambda copy: copy.listing.name.generation)
            if not one.future.done():
                self._calls.suspect(one.store, "slow")
        return None

    def _counted(self, chain: BlockChain, found: list[Found]) -> tuple[Found, ...]:
        self._present.note(one.block.key for one in found)
        self._count("block.found", chain.brand, len(found))
        self._count("block.missed", chain.brand, len(chain.keys) - len(found))
        return tuple(found)


def result_by(future: Future[Result], deadline_ms: int, clock: Clock) -> Result | None:
    """Return the result of a future; None when it failed or is late.

    :param future: result to wait for
    :param deadline_ms: instant to wait until, in milliseconds
    :param clock: time source
    """
    left_ms = max(0, deadline_ms - clock.now_ms())
    try:
        return future.result(timeout=seconds(left_ms))
    except (BergamothillError, TimeoutError, CancelledError):
        return None
