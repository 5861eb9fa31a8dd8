"""Duties: periodic background tasks, each run by one entry instance, the holder of its lease.

Only the entry instance that rendezvous hashing ranks first among the live ones of the zone requests
the lease; the others cause no load on the key-value service. If two instances rank themselves
first, as on both sides of a network partition, the lease decides.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bergamothill.clock import Clock
from bergamothill.connection.bus import PeerBus
from bergamothill.errors import BergamothillError
from bergamothill.ids import EntryInstanceId
from bergamothill.logs import EventLog
from bergamothill.process.lease import DutyLease
from bergamothill.process.rendezvous import rendezvous

__all__ = ["Duties", "Duty", "DutyStatus"]

_log = EventLog("duties")


@dataclass(frozen=True, slots=True)
class Duty:
    """Periodic task that only the holder of a lease runs.

    :param lease: lease on the duty
    :param interval_ms: time between two runs while the lease is held, in milliseconds
    :param run: performs a bounded amount of the work
    """

    lease: DutyLease
    interval_ms: int
    run: Callable[[], object]


@dataclass(frozen=True, slots=True)
class DutyStatus:
    """State of one duty at this entry instance.

    :param duty: name of the duty
    :param is_held: whether this entry instance holds it
    :param fencing: fencing number of the last acquisition by this entry instance; 0 if none
    """

    duty: str
    is_held: bool
    fencing: int


class Duties:
    """All duties that this entry instance may hold.

    :param bus: knows the live entry instances of the zone
    :param entry_id: this entry instance
    :param clock: source of time
    :param duties: the duties
    """

    def __init__(
        self, bus: PeerBus, entry_id: EntryInstanceId, clock: Clock, duties: tuple[Duty, ...]
    ) -> None:
        self._bus = bus
        self._entry_id = entry_id
        self._clock = clock
        self._duties = duties
        self._due_ms = {duty.lease.duty: clock.now_ms() for duty in duties}
        self._is_leaving = False

    def tick(self) -> None:
        """Renew or release leases and run the duties that are due; call it every second."""
        for duty in self._duties:
            try:
                self._tick(duty)
            except BergamothillError as error:
                _log.warning(
                    "duty_failed",
                    duty=duty.lease.duty,
                    step=error.step,
                    peer=error.peer,
                    reason=error.message,
                )

    def leave(self) -> None:
        """Release all leases and acquire none again; the next holders need not wait for expiry."""
        self._is_leaving = True
        for duty in self._duties:
            duty.lease.release()

    def status(self) -> tuple[DutyStatus, ...]:
        """Return the state of each duty."""
        return tuple(
            DutyStatus(duty.lease.duty, duty.lease.is_held, duty.lease.fencing)
            for duty in self._duties
        )

    def _tick(self, duty: Duty) -> None:
        lease = duty.lease
        if self._is_leaving or not self._is_ranked_first(lease.duty):
            if lease.is_held:
                lease.release()
            return
        if not lease.tick():
            return
        now_ms = self._clock.now_ms()
        if now_ms >= self._due_ms[lease.duty]:
            self._due_ms[lease.duty] = now_ms + duty.interval_ms
            duty.run()

    def _is_ranked_first(self, duty: str) -> bool:
        return rendezvous(duty, self._bus.live_peers())[0] == self._entry_id
