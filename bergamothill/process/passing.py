"""When requests are passed on to other entry instances, and to which; no I/O."""

from __future__ import annotations

from collections.abc import Callable, Collection
from functools import partial

from bergamothill.clock import Clock
from bergamothill.ids import EntryInstanceId
from bergamothill.logs import EventLog
from bergamothill.process.helperchoice import Helpers
from bergamothill.process.reachability import Reachability, ReachState
from bergamothill.process.reachmessages import ReachReply
from bergamothill.process.registry import Peer
from bergamothill.request.forwarding import Finish, Reason
from bergamothill.version.homes import HomeRegions, RegionMap

__all__ = ["Passing"]

_LOCAL_REASONS = (
    Reason.STOPPING,
    Reason.QUARANTINED,
    Reason.EXPIRED,
    Reason.INTERNAL_ERROR,
)
"""Reasons that hold at any instance."""

_log = EventLog("passing")


class Passing:
    """Decides whether this instance is isolated: it reaches no server, and others do.

    :param clock: source of time
    :param reachability: whether this instance reaches servers
    :param helpers: what the other instances replied
    :param regions: returns the regions of the availability zones
    :param local_host: IP address from which requests are passed on
    """

    def __init__(
        self,
        clock: Clock,
        reachability: Reachability,
        helpers: Helpers,
        regions: Callable[[], RegionMap],
        local_host: str,
    ) -> None:
        self.helpers = helpers
        self.local_host = local_host
        self.on_isolated: Callable[[], None] = lambda: None
        """Called when this instance has become isolated."""

        self._clock = clock
        self._reachability = reachability
        self._regions = regions
        self._isolated_ms: int | None = None

    @property
    def is_isolated(self) -> bool:
        """Whether requests are passed on."""
        return self._isolated_ms is not None

    def record_reply(self, reply: ReachReply) -> None:
        """Record what another instance replied; the first that knows of reached servers decides."""
        now_ms = self._clock.now_ms()
        self.helpers.record_reply(reply, now_ms)
        is_unreached = self._reachability.state is ReachState.UNREACHED
        is_reached_elsewhere = reply.is_reaching or reply.is_isolated
        if is_unreached and is_reached_elsewhere and not self.is_isolated:
            self._isolated_ms = now_ms
            _log.warning(
                "passing_begins",
                after_ms=now_ms - self._reachability.changed_ms,
                told_by=reply.entry,
                is_helping=reply.is_helping,
            )
            self.on_isolated()

    def end(self) -> None:
        """Serve requests here again, as servers are reached."""
        self.helpers.clear()
        if self._isolated_ms is not None:
            duration_ms = self._clock.now_ms() - self._isolated_ms
            self._isolated_ms = None
            _log.warning("passing_ends", after_ms=duration_ms)

    def takes_over(self, step: Finish) -> bool:
        """Return whether a request that would end unanswered here may be answered elsewhere."""
        return self.is_isolated and step.reason not in _LOCAL_REASONS

    def choose_for(
        self, homes: HomeRegions | None
    ) -> Callable[[Collection[EntryInstanceId], int], Peer | None]:
        """Return what chooses the instance that a request is passed to.

        :param homes: regions in which the request may be served; None for all
        """
        return partial(self._choose, homes)

    def _choose(
        self, homes: HomeRegions | None, tried: Collection[EntryInstanceId], now_ms: int
    ) -> Peer | None:
        return self.helpers.choose(self._regions(), homes, tried, now_ms)

    def is_lost(self, entry: EntryInstanceId) -> bool:
        """Return whether an instance has stopped replying, and another one helps."""
        now_ms, helpers = self._clock.now_ms(), self.helpers
        if not self.is_isolated or not helpers.is_lost(entry, now_ms):
            return False
        return any(other != entry for other in helpers.helping(now_ms))
