"""Which entry instances contend for the lease on a duty; no I/O.

Each contender asks the key-value service again and again, so only the first three by rendezvous
hashing do, while they are heard of. The lease decides between them, so that instances which rank
differently do no harm.
"""

from __future__ import annotations

from bergamothill.clock import Clock
from bergamothill.ids import DutyName, EntryInstanceId
from bergamothill.process.instanceroster import InstanceRoster
from bergamothill.process.rendezvous import rendezvous

__all__ = ["DutyContenders"]

CONTENDERS = 3
LIVE_MS = 2_000
LIVE_PER_INSTANCE_MS = 4
"""Load reports are sent this much more rarely for each other instance."""


class DutyContenders:
    """Decides whether this instance contends; used in the thread of the duty.

    :param roster: entry instances, and when they were heard
    :param duty: name of the duty
    :param clock: source of time
    """

    def __init__(self, roster: InstanceRoster, duty: DutyName, clock: Clock) -> None:
        self._roster = roster
        self._duty = duty
        self._clock = clock
        self._revision = -1
        self._ranked_before: tuple[EntryInstanceId, ...] = ()
        self._live_ms = LIVE_MS

    def may_contend(self) -> bool:
        """Return whether fewer live instances than contend are ranked before this one."""
        roster = self._roster
        if roster.revision != self._revision:
            self._revision, members = roster.revision, roster.members
            ranking = rendezvous(self._duty, members)
            self._ranked_before = ranking[: ranking.index(roster.own)]
            self._live_ms = LIVE_MS + LIVE_PER_INSTANCE_MS * len(members)
        now_ms, live = self._clock.now_ms(), 0
        for entry in self._ranked_before:
            heard_ms = roster.heard_ms(entry)
            live += heard_ms is not None and now_ms - heard_ms < self._live_ms
            if live >= CONTENDERS:
                return False
        return True
