"""Decisions of a duty lease and of the orders sent under it, without I/O.

A holder counts its lease from the instant before each grant or renewal was sent, and stops a margin
before it ends, so that it stops before the key-value service lets another holder in. The revision
at which the holder's key was created is the fencing number: it grows with each new holder.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import singledispatchmethod
from typing import NewType

from bergamothill.errors import LeaseLostError, UnavailableError
from bergamothill.ids import EntryInstanceId, FencingNumber, LeaseId

__all__ = [
    "CLOCK_SKEW_MS",
    "LEASE_MARGIN_MS",
    "LEASE_TTL_MS",
    "ORDER_LIFE_MS",
    "GrantFailed",
    "GrantLease",
    "Granted",
    "HolderRead",
    "HolderRecord",
    "HolderRefused",
    "HolderToken",
    "HolderWriteFailed",
    "HolderWritten",
    "LeaseEffect",
    "LeaseEnded",
    "LeaseEvent",
    "LeaseMachine",
    "LeaseState",
    "LeaseTimes",
    "OrderGate",
    "OrderPermit",
    "ReadFailed",
    "ReadHolder",
    "RenewFailed",
    "RenewLease",
    "Renewed",
    "RevokeEnded",
    "RevokeLease",
    "WriteHolder",
]

LEASE_TTL_MS = 10_000
LEASE_MARGIN_MS = 2_000
RENEWALS_PER_TTL = 3
HOLDER_WRITE_ATTEMPTS = 3

ORDER_LIFE_MS = 5_000
"""Time after which an order has no effect any more."""

CLOCK_SKEW_MS = 1_000
"""Bound of the difference between the wall clocks of an entry instance and an engine."""

HolderToken = NewType("HolderToken", str)


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations of a duty lease.

    :param ttl_ms: life without renewal
    :param margin_ms: time before its end from which on it counts as lost
    :param settle_ms: time for which a new holder sends no orders to engines that do not check
        fencing numbers, since those of its predecessor may still arrive
    """

    ttl_ms: int = LEASE_TTL_MS
    margin_ms: int = LEASE_MARGIN_MS
    settle_ms: int = ORDER_LIFE_MS + CLOCK_SKEW_MS


class LeaseState(Enum):
    """State of a duty lease at one entry instance."""

    FREE = "free"
    ACQUIRING = "acquiring"
    HELD = "held"


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """Value of the duty's key.

    :param holder: entry instance that holds the duty
    :param token: random name of this acquisition
    """

    holder: EntryInstanceId
    token: HolderToken


@dataclass(frozen=True, slots=True)
class HolderRead:
    """The duty's key was read.

    :param record: its value; None when nobody holds the duty
    :param mod_revision: its revision
    """

    record: HolderRecord | None
    mod_revision: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The duty's key could not be read."""


@dataclass(frozen=True, slots=True)
class Granted:
    """A lease was granted."""

    lease_id: LeaseId


@dataclass(frozen=True, slots=True)
class GrantFailed:
    """No lease was granted, as far as is known."""


@dataclass(frozen=True, slots=True)
class HolderWritten:
    """The duty's key was created.

    :param mod_revision: its revision
    """

    mod_revision: int


@dataclass(frozen=True, slots=True)
class HolderRefused:
    """The duty's key exists already."""


@dataclass(frozen=True, slots=True)
class HolderWriteFailed:
    """The write got no reply; it may take effect, also later."""


@dataclass(frozen=True, slots=True)
class Renewed:
    """The lease was renewed."""


@dataclass(frozen=True, slots=True)
class RenewFailed:
    """The renewal got no reply."""


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The key-value service says that the lease has ended."""


@dataclass(frozen=True, slots=True)
class RevokeEnded:
    """The lease was revoked, or is left to run out."""


LeaseEvent = (
    HolderRead
    | ReadFailed
    | Granted
    | GrantFailed
    | HolderWritten
    | HolderRefused
    | HolderWriteFailed
    | Renewed
    | RenewFailed
    | LeaseEnded
    | RevokeEnded
)


@dataclass(frozen=True, slots=True)
class ReadHolder:
    """Read the duty's key."""


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Ask for a lease.

    :param ttl_ms: its life without renewal, in milliseconds
    """

    ttl_ms: int


@dataclass(frozen=True, slots=True)
class WriteHolder:
    """Create the duty's key under the lease."""

    record: HolderRecord
    lease_id: LeaseId


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease."""

    lease_id: LeaseId


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """End the lease, so that the next holder need not wait for its end."""

    lease_id: LeaseId


LeaseEffect = ReadHolder | GrantLease | WriteHolder | RenewLease | RevokeLease


class LeaseMachine:
    """State of one duty at one entry instance.

    :meth:`tick`, :meth:`release` and :meth:`step` return the effect to carry out next, or None;
    its outcome goes to :meth:`step`.

    :param holder: this entry instance
    :param new_token: draws a random token for each acquisition
    :param times: durations of the lease
    """

    def __init__(
        self,
        holder: EntryInstanceId,
        new_token: Callable[[], HolderToken],
        *,
        times: LeaseTimes | None = None,
    ) -> None:
        self.state = LeaseState.FREE
        self.fencing = FencingNumber(0)
        self.acquired_ms = 0
        self._holder = holder
        self._new_token = new_token
        self.times = times or LeaseTimes()
        self._record = HolderRecord(holder, HolderToken(""))
        self._lease_id: LeaseId | None = None
        self._asked_ms = 0
        self._confirmed_ms = 0
        self._failed_writes = 0

    def is_held(self, now_ms: int) -> bool:
        """Tell whether the lease is held now, with margin.

        :param now_ms: present instant, in milliseconds
        """
        return self.state is LeaseState.HELD and now_ms < self._valid_until_ms()

    def tick(self, now_ms: int) -> LeaseEffect | None:
        """Begin to acquire or to renew, as is due.

        :param now_ms: present instant, in milliseconds
        """
        if self.state is LeaseState.HELD and not self.is_held(now_ms):
            self._forget()
        if self.state is LeaseState.FREE:
            self.state = LeaseState.ACQUIRING
            return ReadHolder()
        is_due = now_ms >= self._confirmed_ms + self.times.ttl_ms // RENEWALS_PER_TTL
        if self.state is LeaseState.HELD and is_due:
            self._asked_ms = now_ms
            return RenewLease(self._lease_id)
        return None

    def release(self) -> LeaseEffect | None:
        """Stop holding the duty; no order is permitted from now on."""
        return self._abandon()

    def step(self, event: LeaseEvent, now_ms: int) -> LeaseEffect | None:
        """Take the outcome of the last effect and return the next one, or None.

        :param event: outcome of the last effect
        :param now_ms: present instant, read after the effect ended, in milliseconds
        """
        return self._on(event, now_ms)

    @singledispatchmethod
    def _on(self, event: LeaseEvent, now_ms: int) -> LeaseEffect | None:
        raise TypeError(f"no such event: {event!r}")

    @_on.register
    def _(self, event: HolderRead, now_ms: int) -> LeaseEffect | None:
        if self.state is not LeaseState.ACQUIRING:
            return None
        if event.record is None and self._lease_id is None:
            self._asked_ms = now_ms
            return GrantLease(self.times.ttl_ms)
        if event.record is not None and event.record.token == self._record.token:
            return self._hold(event.mod_revision, now_ms)
        return self._abandon()

    @_on.register
    def _(self, event: ReadFailed, now_ms: int) -> LeaseEffect | None:
        return self._abandon()

    @_on.register
    def _(self, event: Granted, now_ms: int) -> LeaseEffect | None:
        if self.state is not LeaseState.ACQUIRING:
            return RevokeLease(event.lease_id)
        self._lease_id = event.lease_id
        self._confirmed_ms = self._asked_ms
        self._record = HolderRecord(self._holder, self._new_token())
        self._failed_writes = 0
        return WriteHolder(self._record, event.lease_id)

    @_on.register
    def _(self, event: GrantFailed, now_ms: int) -> LeaseEffect | None:
        return self._abandon()

    @_on.register
    def _(self, event: HolderWritten, now_ms: int) -> LeaseEffect | None:
        if self.state is not LeaseState.ACQUIRING:
            return None
        return self._hold(event.mod_revision, now_ms)

    @_on.register
    def _(self, event: HolderRefused, now_ms: int) -> LeaseEffect | None:
        return ReadHolder() if self.state is LeaseState.ACQUIRING else None

    @_on.register
    def _(self, event: HolderWriteFailed, now_ms: int) -> LeaseEffect | None:
        self._failed_writes += 1
        if self.state is not LeaseState.ACQUIRING:
            return None
        if self._failed_writes >= HOLDER_WRITE_ATTEMPTS or now_ms >= self._valid_until_ms():
            return self._abandon()
        return WriteHolder(self._record, self._lease_id)

    @_on.register
    def _(self, event: Renewed, now_ms: int) -> LeaseEffect | None:
        if self.state is LeaseState.HELD:
            self._confirmed_ms = self._asked_ms
        return None

    @_on.register
    def _(self, event: RenewFailed, now_ms: int) -> LeaseEffect | None:
        return None

    @_on.register
    def _(self, event: LeaseEnded, now_ms: int) -> LeaseEffect | None:
        self._forget()
        return None

    @_on.register
    def _(self, event: RevokeEnded, now_ms: int) -> LeaseEffect | None:
        return None

    def _hold(self, mod_revision: int, now_ms: int) -> LeaseEffect | None:
        if now_ms >= self._valid_until_ms():
            return self._abandon()
        self.state = LeaseState.HELD
        self.fencing = FencingNumber(mod_revision)
        self.acquired_ms = now_ms
        return None

    def _valid_until_ms(self) -> int:
        return self._confirmed_ms + self.times.ttl_ms - self.times.margin_ms

    def _abandon(self) -> LeaseEffect | None:
        lease_id = self._lease_id
        self._forget()
        return None if lease_id is None else RevokeLease(lease_id)

    def _forget(self) -> None:
        self.state = LeaseState.FREE
        self._lease_id = None
        self._record = HolderRecord(self._holder, HolderToken(""))


@dataclass(frozen=True, slots=True)
class OrderPermit:
    """Permission to send one order now.

    :param fencing: number of the holder; goes into the order
    :param deadline_wall_ms: when the order loses its effect, in milliseconds since the epoch; goes
        into the order, and the exchange with the engine must end by then
    :param life_ms: time left until then, in milliseconds
    """

    fencing: FencingNumber
    deadline_wall_ms: int
    life_ms: int


class OrderGate:
    """Permits orders to engines while the duty lease is held.

    :param machine: state of the duty lease
    """

    def __init__(self, machine: LeaseMachine) -> None:
        self._machine = machine

    def permit(self, now_ms: int, wall_ms: int, *, refuses_old_numbers: bool) -> OrderPermit:
        """Permit one order; to be called right before its send, after the last blocking step.

        A new holder waits until no order of its predecessor can have an effect any more, unless
        the engine refuses old numbers.

        :param now_ms: present instant, in milliseconds
        :param wall_ms: present time since the epoch, in milliseconds
        :param refuses_old_numbers: whether the engine refuses orders with an old fencing number
        :raises LeaseLostError: the lease is not held now, or ends within the margin
        :raises UnavailableError: the predecessor's orders may still have an effect; try later
        """
        if not self._machine.is_held(now_ms):
            raise LeaseLostError("the duty lease is not held", step="order.permit")
        wait_ms = self._wait_ms(now_ms)
        if wait_ms > 0 and not refuses_old_numbers:
            raise UnavailableError(
                "orders of the previous holder may still arrive",
                step="order.permit",
                retry_after_ms=wait_ms,
            )
        return OrderPermit(self._machine.fencing, wall_ms + ORDER_LIFE_MS, ORDER_LIFE_MS)

    def _wait_ms(self, now_ms: int) -> int:
        return self._machine.acquired_ms + self._machine.times.settle_ms - now_ms
