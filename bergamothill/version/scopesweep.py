"""Decides when managed stores free context that no new request may use; no I/O.

A set of isolated brands that is replaced leaves context behind under its shared scope, and a brand
that is isolated no longer under its own. Entry instances act on an earlier configuration for a
while, and the next one may bring a set back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bergamothill.version.cacheindex import PartKey
from bergamothill.version.cachenamespace import BrandIsolation, Namespace
from bergamothill.version.cachesweep import StoreListing, is_listing_due

__all__ = ["FREE_TIMEOUT_MS", "FETCH_HOLD_MS", "ScopeSweep", "ScopeTask", "is_retired"]

FREE_TIMEOUT_MS = 1_000
"""Time after a read of the configuration within which parts that it retires are freed."""

FETCH_HOLD_MS = FREE_TIMEOUT_MS + 500
"""Time for which an instance fetches nothing from stores once the set of isolated brands changed.

A part of the new set may have been freed by a read that did not show it yet; the rest is for the
difference between the clocks.
"""


def is_retired(isolation: BrandIsolation, salt: str) -> bool:
    """Return whether a namespace is one of ours that no new request uses."""
    decoded = Namespace.decode(salt)
    return decoded is not None and isolation.is_retired(decoded.scope)


@dataclass(frozen=True, slots=True)
class ScopeTask:
    """Task: list a store and free the parts of retired scopes.

    :param address: ``host:port`` of the store
    :param isolation: isolated brands of the configuration in force
    """

    address: str
    isolation: BrandIsolation

    def retired(self, listing: StoreListing) -> list[PartKey]:
        """Return the keys of the listed parts to free."""
        return [key for key in listing.keys if is_retired(self.isolation, key.salt)]


class ScopeSweep:
    """Plans the sweeps of managed stores after a change of the set of isolated brands."""

    def __init__(self) -> None:
        self._isolation: BrandIsolation | None = None
        self._changed_ms = 0
        self._attempted_ms: dict[str, int] = {}

    def plan(
        self,
        isolation: BrandIsolation,
        stores: Iterable[str],
        has_retired: Callable[[str], bool],
        settle_ms: int,
        now_ms: int,
    ) -> tuple[ScopeTask, ...]:
        """Return the stores to sweep now.

        :param isolation: isolated brands of the configuration in force
        :param stores: addresses of managed stores
        :param has_retired: returns whether a store is known to have parts of retired scopes
        :param settle_ms: longest time for which a request may use an earlier set
        :param now_ms: current time, in milliseconds
        """
        if isolation != self._isolation:
            self._isolation, self._changed_ms = isolation, now_ms
        if now_ms - self._changed_ms < settle_ms:
            return ()
        stores = tuple(stores)
        due = [a for a in stores if is_listing_due(self._attempted_ms, a, now_ms)]
        self._attempted_ms = {a: ms for a, ms in self._attempted_ms.items() if a in stores}
        self._attempted_ms |= dict.fromkeys(due, now_ms)
        return tuple(ScopeTask(address, isolation) for address in due if has_retired(address))
