"""Retirement of kept blocks: what a sweeper does with what a store lists.

Retiring is a marker, a wait longer than the longest read, then deletion with the commit record
first and the marker last, so that a sweeper killed at any step leaves a state that the next one
goes on from. Names are never reused, so two sweepers at once do each other no harm.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bergamothill.ids import BrandName
from bergamothill.version.blockname import BlockName, CopyListing
from bergamothill.version.blockstore import BlockBounds, DeleteObject, PutMarker

__all__ = ["BlockSweep", "SweepStep", "WarmTime"]

FORGET_AFTER_WAITS = 20

WarmTime = Callable[[BrandName], int]
"""Returns how long a brand's blocks are kept after their last use, in milliseconds."""


@dataclass(frozen=True, slots=True)
class SweepStep:
    """Ordered effects on one copy; when one fails, the rest are left for the next sweep.

    :param name: the copy
    :param effects: what to do, in order
    :param commit_names: commit records to delete where the store has no room for a marker
    """

    name: BlockName
    effects: tuple[PutMarker | DeleteObject, ...]
    commit_names: tuple[str, ...] = ()


class BlockSweep:
    """Decisions of one sweeper about one store.

    :param bounds: time bounds
    """

    def __init__(self, bounds: BlockBounds) -> None:
        self._bounds = bounds
        self._unmarked_ms: dict[BlockName, int] = {}

    def plan(
        self, copies: Iterable[CopyListing], warm_time_ms: WarmTime, now_ms: int
    ) -> tuple[SweepStep, ...]:
        """Return what to retire and what to delete now.

        :param copies: all copies that the store lists, or all of one brand
        :param warm_time_ms: how long a brand's blocks are kept, in milliseconds
        :param now_ms: now, in milliseconds
        """
        listed = tuple(copies)
        kept = self._first_generations(listed)
        self._forget(now_ms)
        steps = []
        for copy in listed:
            step = self._deletion(copy, now_ms)
            if step is None and self._is_due(copy, kept, warm_time_ms):
                step = self._retirement(copy)
            if step is not None:
                steps.append(step)
        return tuple(steps)

    def evict(
        self, copies: Iterable[CopyListing], warm_time_ms: WarmTime, needed_bytes: int
    ) -> tuple[SweepStep, ...]:
        """Return what to retire so that a full store gets room after the wait.

        The copies that return last by their brand's warm time go last; within a conversation the
        end of the prompt goes first, because a prefix is of use without it.

        :param needed_bytes: room wanted, in bytes; what is already retired counts
        """
        listed = tuple(copies)
        missing_bytes = needed_bytes - sum(
            copy.data_bytes or 0 for copy in listed if self._is_retiring(copy)
        )
        candidates = [copy for copy in listed if self._may_retire(copy) and copy.commits]
        candidates.sort(key=lambda copy: _eviction_order(copy, warm_time_ms))
        steps = []
        for copy in candidates:
            if missing_bytes <= 0:
                break
            steps.append(self._retirement(copy))
            missing_bytes -= copy.data_bytes or 0
        return tuple(steps)

    def marker_refused(self, step: SweepStep, now_ms: int) -> tuple[DeleteObject, ...]:
        """Retire without a marker, because a full store takes none.

        Deleting the commit record hides the copy just as well, and no valid commit record can land
        later: the data is older than the longest write.

        :param step: retirement whose marker the store refused
        :param now_ms: now, in milliseconds
        """
        self._unmarked_ms[step.name] = now_ms
        return tuple(DeleteObject(name) for name in step.commit_names)

    def _forget(self, now_ms: int) -> None:
        """Drop what was retired without a marker so long ago that it must be gone."""
        bound_ms = now_ms - FORGET_AFTER_WAITS * self._bounds.retire_wait_ms
        self._unmarked_ms = {
            name: since_ms for name, since_ms in self._unmarked_ms.items() if since_ms > bound_ms
        }

    def _first_generations(self, copies: tuple[CopyListing, ...]) -> dict[str, str]:
        """Return the generation to keep of each block that has several readable copies."""
        kept: dict[str, str] = {}
        for copy in copies:
            if copy.is_readable(self._bounds.write_ms):
                prefix = copy.name.key_prefix
                kept[prefix] = min(kept.get(prefix, copy.name.generation), copy.name.generation)
        return kept

    def _deletion(self, copy: CopyListing, now_ms: int) -> SweepStep | None:
        if copy.retired_age_ms is not None:
            if copy.retired_age_ms < self._bounds.retire_wait_ms:
                return None
            return SweepStep(copy.name, (*_deletes(copy), DeleteObject(copy.name.retired)))
        unmarked_ms = self._unmarked_ms.get(copy.name)
        if unmarked_ms is None:
            return None
        if copy.commits:
            return self._hide_again(copy, now_ms)
        if now_ms - unmarked_ms < self._bounds.retire_wait_ms:
            return None
        del self._unmarked_ms[copy.name]
        return SweepStep(copy.name, _deletes(copy))

    def _hide_again(self, copy: CopyListing, now_ms: int) -> SweepStep:
        """Start over with a copy whose commit record came back with an old state of the store."""
        self._unmarked_ms[copy.name] = now_ms
        return SweepStep(copy.name, tuple(DeleteObject(commit.name) for commit in copy.commits))

    def _is_due(self, copy: CopyListing, kept: dict[str, str], warm_time_ms: WarmTime) -> bool:
        if not self._may_retire(copy):
            return False
        if not copy.is_readable(self._bounds.write_ms):
            return _youngest_age_ms(copy) >= self._bounds.orphan_ms
        if kept[copy.name.key_prefix] != copy.name.generation:
            return True
        return _unused_ms(copy) >= warm_time_ms(copy.name.brand)

    def _is_retiring(self, copy: CopyListing) -> bool:
        return copy.retired_age_ms is not None or copy.name in self._unmarked_ms

    def _may_retire(self, copy: CopyListing) -> bool:
        """Tell whether the copy is old enough that no valid commit record can still land."""
        if self._is_retiring(copy):
            return False
        return copy.data_bytes is None or copy.data_age_ms >= self._bounds.write_ms

    def _retirement(self, copy: CopyListing) -> SweepStep:
        commit_names = tuple(commit.name for commit in copy.commits)
        return SweepStep(copy.name, (PutMarker(copy.name.retired),), commit_names)


def _deletes(copy: CopyListing) -> tuple[DeleteObject, ...]:
    names = [commit.name for commit in copy.commits]
    if copy.used_age_ms is not None:
        names.append(copy.name.used)
    if copy.data_bytes is not None:
        names.append(copy.name.data)
    return tuple(DeleteObject(name) for name in names)


def _youngest_age_ms(copy: CopyListing) -> int:
    ages_ms = [commit.age_ms for commit in copy.commits]
    if copy.data_bytes is not None:
        ages_ms.append(copy.data_age_ms)
    if copy.used_age_ms is not None:
        ages_ms.append(copy.used_age_ms)
    return min(ages_ms, default=0)


def _unused_ms(copy: CopyListing) -> int:
    age_ms = copy.commits[0].age_ms
    return age_ms if copy.used_age_ms is None else min(age_ms, copy.used_age_ms)


def _eviction_order(copy: CopyListing, warm_time_ms: WarmTime) -> tuple[int, int]:
    left_ms = warm_time_ms(copy.name.brand) - _unused_ms(copy)
    return left_ms, -copy.commits[0].index
