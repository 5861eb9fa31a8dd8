"""Garbage collection of cached blocks at a store; no I/O.

A store may contain several copies of a block, each consisting of several objects. To remove a copy,
the sweeper writes a retire marker, waits longer than the longest read, and then deletes the objects
of the copy, commit record first and marker last. A sweeper that is killed at any step leaves a
state from which the next one can continue. Names are never reused, so concurrent sweepers do not
interfere with each other.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bergamothill.ids import BrandName
from bergamothill.version.blockname import BlockName, CopyListing
from bergamothill.version.blockstore import BlockBounds, DeleteObject, PutMarker

__all__ = ["BlockSweep", "SweepStep", "WarmTime"]

# Copies that were retired without a marker are forgotten after this many times the wait between
# retirement and deletion.
UNMARKED_TTL_IN_RETIRE_WAITS = 20

WarmTime = Callable[[BrandName], int]
"""Function that returns how long a brand's blocks are retained after their last use, in ms."""


@dataclass(frozen=True, slots=True)
class SweepStep:
    """Ordered effects on one copy; when one fails, the rest are left to the next sweep.

    :param name: name of the copy
    :param effects: effects in the order in which to carry them out
    :param commit_names: commit records to delete if the store is too full for a marker
    """

    name: BlockName
    effects: tuple[PutMarker | DeleteObject, ...]
    commit_names: tuple[str, ...] = ()


class BlockSweep:
    """Plans the garbage collection of one store.

    :param bounds: time bounds shared by writers, readers and sweepers
    """

    def __init__(self, bounds: BlockBounds) -> None:
        self._bounds = bounds
        self._retired_without_marker_ms: dict[BlockName, int] = {}

    def plan(
        self, copies: Iterable[CopyListing], warm_time_ms_of: WarmTime, now_ms: int
    ) -> tuple[SweepStep, ...]:
        """Return the steps that retire or delete copies now.

        :param copies: all copies at the store, or all copies of one brand
        :param warm_time_ms_of: returns the warm time of a brand, in milliseconds
        :param now_ms: current time, in milliseconds
        """
        listed = tuple(copies)
        generations_to_keep = self._generations_to_keep(listed)
        self._forget_retired_without_marker(now_ms)
        steps = []
        for copy in listed:
            step = self._plan_deletion(copy, now_ms)
            if step is None and self._should_retire(copy, generations_to_keep, warm_time_ms_of):
                step = self._plan_retirement(copy)
            if step is not None:
                steps.append(step)
        return tuple(steps)

    def evict(
        self, copies: Iterable[CopyListing], warm_time_ms_of: WarmTime, needed_bytes: int
    ) -> tuple[SweepStep, ...]:
        """Return the steps that retire copies so that a full store has free space after the wait.

        Copies with the least remaining warm time are evicted first. Among equals, blocks at the end
        of a prompt go first, because the prefix remains useful without them.

        :param copies: all copies at the store, or all copies of one brand
        :param warm_time_ms_of: returns the warm time of a brand, in milliseconds
        :param needed_bytes: space to free, in bytes; copies that are already retired count as freed
        """
        listed = tuple(copies)
        missing_bytes = needed_bytes - sum(
            copy.data_bytes or 0 for copy in listed if self._is_retired(copy)
        )
        candidates = [copy for copy in listed if self._may_retire(copy) and copy.commits]
        candidates.sort(key=lambda copy: _eviction_order(copy, warm_time_ms_of))
        steps = []
        for copy in candidates:
            if missing_bytes <= 0:
                break
            steps.append(self._plan_retirement(copy))
            missing_bytes -= copy.data_bytes or 0
        return tuple(steps)

    def marker_refused(self, step: SweepStep, now_ms: int) -> tuple[DeleteObject, ...]:
        """Retire a copy without a marker, which a full store does not accept.

        Deleting the commit record makes the copy unreadable as well. No valid commit record can
        appear later, because the data is older than the longest write.

        :param step: retirement whose marker the store refused
        :param now_ms: current time, in milliseconds
        """
        self._retired_without_marker_ms[step.name] = now_ms
        return tuple(DeleteObject(name) for name in step.commit_names)

    def _forget_retired_without_marker(self, now_ms: int) -> None:
        """Forget copies retired without a marker so long ago that they must be gone by now."""
        oldest_ms = now_ms - UNMARKED_TTL_IN_RETIRE_WAITS * self._bounds.retire_wait_ms
        self._retired_without_marker_ms = {
            name: since_ms
            for name, since_ms in self._retired_without_marker_ms.items()
            if since_ms > oldest_ms
        }

    def _generations_to_keep(self, copies: tuple[CopyListing, ...]) -> dict[str, str]:
        """Return the generation to keep of each block with readable copies, by key prefix."""
        generations_to_keep: dict[str, str] = {}
        for copy in copies:
            if copy.is_readable(self._bounds.write_ms):
                prefix = copy.name.key_prefix
                # Any choice would do, provided that all sweepers of a store make the same one.
                generations_to_keep[prefix] = min(
                    generations_to_keep.get(prefix, copy.name.generation), copy.name.generation
                )
        return generations_to_keep

    def _plan_deletion(self, copy: CopyListing, now_ms: int) -> SweepStep | None:
        if copy.retired_age_ms is not None:
            if copy.retired_age_ms < self._bounds.retire_wait_ms:
                return None
            return SweepStep(copy.name, (*_deletions(copy), DeleteObject(copy.name.retired)))
        retired_ms = self._retired_without_marker_ms.get(copy.name)
        if retired_ms is None:
            return None
        if copy.commits:
            return self._plan_commit_deletion(copy, now_ms)
        if now_ms - retired_ms < self._bounds.retire_wait_ms:
            return None
        del self._retired_without_marker_ms[copy.name]
        return SweepStep(copy.name, _deletions(copy))

    def _plan_commit_deletion(self, copy: CopyListing, now_ms: int) -> SweepStep:
        """Restart the wait of a copy whose commit record reappeared when the store was restored."""
        self._retired_without_marker_ms[copy.name] = now_ms
        return SweepStep(copy.name, tuple(DeleteObject(commit.name) for commit in copy.commits))

    def _should_retire(
        self, copy: CopyListing, generations_to_keep: dict[str, str], warm_time_ms_of: WarmTime
    ) -> bool:
        if not self._may_retire(copy):
            return False
        if not copy.is_readable(self._bounds.write_ms):
            return _newest_object_age_ms(copy) >= self._bounds.orphan_ms
        if generations_to_keep[copy.name.key_prefix] != copy.name.generation:
            return True
        return _unused_for_ms(copy) >= warm_time_ms_of(copy.name.brand)

    def _is_retired(self, copy: CopyListing) -> bool:
        return copy.retired_age_ms is not None or copy.name in self._retired_without_marker_ms

    def _may_retire(self, copy: CopyListing) -> bool:
        """Return whether the copy is old enough that no valid commit record can still appear."""
        if self._is_retired(copy):
            return False
        return copy.data_bytes is None or copy.data_age_ms >= self._bounds.write_ms

    def _plan_retirement(self, copy: CopyListing) -> SweepStep:
        commit_names = tuple(commit.name for commit in copy.commits)
        return SweepStep(copy.name, (PutMarker(copy.name.retired),), commit_names)


def _deletions(copy: CopyListing) -> tuple[DeleteObject, ...]:
    names = [commit.name for commit in copy.commits]
    if copy.used_age_ms is not None:
        names.append(copy.name.used)
    if copy.data_bytes is not None:
        names.append(copy.name.data)
    return tuple(DeleteObject(name) for name in names)


def _newest_object_age_ms(copy: CopyListing) -> int:
    ages_ms = [commit.age_ms for commit in copy.commits]
    if copy.data_bytes is not None:
        ages_ms.append(copy.data_age_ms)
    if copy.used_age_ms is not None:
        ages_ms.append(copy.used_age_ms)
    return min(ages_ms, default=0)


def _unused_for_ms(copy: CopyListing) -> int:
    age_ms = copy.commits[0].age_ms
    return age_ms if copy.used_age_ms is None else min(age_ms, copy.used_age_ms)


def _eviction_order(copy: CopyListing, warm_time_ms_of: WarmTime) -> tuple[int, int]:
    remaining_ms = warm_time_ms_of(copy.name.brand) - _unused_for_ms(copy)
    return remaining_ms, -copy.commits[0].index
