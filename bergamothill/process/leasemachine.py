"""State machine of a duty lease and of the orders sent under it, without I/O.

A holder counts the TTL of its lease from before it sent the grant or renewal request, and stops
acting a safety margin before the TTL ends. It therefore stops before the key-value service can
grant the duty to another instance. The revision at which the holder's key was created is the
fencing number: it increases with each new holder.
"""

from __future__ import annotations

from collections import deque
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
    "ORDER_TTL_MS",
    "DeleteHolder",
    "GrantFailed",
    "GrantLease",
    "Granted",
    "HolderConflict",
    "HolderDeleted",
    "HolderRead",
    "HolderRecord",
    "HolderToken",
    "HolderWriteFailed",
    "HolderWritten",
    "LeaseEffect",
    "LeaseEvent",
    "LeaseExpired",
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
    "RevokeCompleted",
    "RevokeLease",
    "WriteHolder",
]

LEASE_TTL_MS = 10_000
LEASE_MARGIN_MS = 2_000
RENEWALS_PER_TTL = 3
HOLDER_WRITE_ATTEMPTS = 3
MAX_ABANDONED_TOKENS = 16

ORDER_TTL_MS = 5_000
"""Validity of an order; an engine ignores it afterwards."""

CLOCK_SKEW_MS = 1_000
"""Maximum difference between the wall clocks of an entry instance and an engine."""

HolderToken = NewType("HolderToken", str)


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations of a duty lease, in milliseconds.

    :param ttl_ms: time until the lease expires without renewal
    :param margin_ms: safety margin; the holder treats the lease as lost this long before it expires
    :param settle_ms: time for which a new holder sends no orders to engines that do not check
        fencing numbers, since orders of the previous holder may still arrive there
    """

    ttl_ms: int = LEASE_TTL_MS
    margin_ms: int = LEASE_MARGIN_MS
    settle_ms: int = ORDER_TTL_MS + CLOCK_SKEW_MS


class LeaseState(Enum):
    """State of a duty lease at one entry instance."""

    FREE = "free"
    ACQUIRING = "acquiring"
    HELD = "held"


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """Value of the duty's key.

    :param holder: entry instance that holds the duty
    :param token: random token of this acquisition
    """

    holder: EntryInstanceId
    token: HolderToken


@dataclass(frozen=True, slots=True)
class HolderRead:
    """The duty's key was read.

    :param record: value of the key; None when nobody holds the duty
    :param mod_revision: modification revision of the key
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
    """The request for a lease failed; the lease may have been granted without a reply."""


@dataclass(frozen=True, slots=True)
class HolderWritten:
    """The duty's key was created.

    :param mod_revision: modification revision of the key
    """

    mod_revision: int


@dataclass(frozen=True, slots=True)
class HolderConflict:
    """The duty's key exists already."""


@dataclass(frozen=True, slots=True)
class HolderWriteFailed:
    """The write got no reply; it may have taken effect or may still do so."""


@dataclass(frozen=True, slots=True)
class HolderDeleted:
    """The duty's key was deleted, or the attempt failed and is repeated after the next read."""


@dataclass(frozen=True, slots=True)
class Renewed:
    """The lease was renewed."""


@dataclass(frozen=True, slots=True)
class RenewFailed:
    """The renewal request failed; the lease may have been renewed."""


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """The lease has expired, or the key-value service was restored and has lost it."""


@dataclass(frozen=True, slots=True)
class RevokeCompleted:
    """The lease was revoked, or the request failed and the lease is left to expire."""


LeaseEvent = (
    HolderRead
    | ReadFailed
    | Granted
    | GrantFailed
    | HolderWritten
    | HolderConflict
    | HolderWriteFailed
    | HolderDeleted
    | Renewed
    | RenewFailed
    | LeaseExpired
    | RevokeCompleted
)


@dataclass(frozen=True, slots=True)
class ReadHolder:
    """Read the duty's key."""


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Request a lease.

    :param ttl_ms: time until the lease expires without renewal, in milliseconds
    """

    ttl_ms: int


@dataclass(frozen=True, slots=True)
class WriteHolder:
    """Create the duty's key, attached to the lease."""

    record: HolderRecord
    lease_id: LeaseId


@dataclass(frozen=True, slots=True)
class DeleteHolder:
    """Delete the duty's key, which an abandoned acquisition of this instance left behind.

    :param mod_revision: modification revision that the key must have
    """

    mod_revision: int


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease."""

    lease_id: LeaseId


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """Revoke the lease, so that the next holder need not wait until it expires."""

    lease_id: LeaseId


LeaseEffect = ReadHolder | GrantLease | WriteHolder | DeleteHolder | RenewLease | RevokeLease


class LeaseMachine:
    """State machine of one duty lease at one entry instance.

    :meth:`tick`, :meth:`release` and :meth:`step` return the next effect to perform, or None. The
    outcome of each effect is passed to :meth:`step`.

    :param holder: this entry instance
    :param generate_token: generates a random token for each acquisition
    :param times: durations of the lease
    """

    def __init__(
        self,
        holder: EntryInstanceId,
        generate_token: Callable[[], HolderToken],
        *,
        times: LeaseTimes | None = None,
    ) -> None:
        self.state = LeaseState.FREE
        self.fencing = FencingNumber(0)
        self.acquired_ms = 0
        self._holder = holder
        self._generate_token = generate_token
        self.times = times or LeaseTimes()
        self._record = HolderRecord(holder, HolderToken(""))
        self._lease_id: LeaseId | None = None
        self._request_sent_ms = 0
        self._ttl_start_ms = 0
        self._failed_writes = 0
        # A key written with the lease of an earlier era of the service may be attached to the lease
        # of another instance, which keeps it alive.
        self._abandoned: deque[HolderToken] = deque(maxlen=MAX_ABANDONED_TOKENS)

    def is_held(self, now_ms: int) -> bool:
        """Return whether the lease is held and not within the safety margin of its expiry.

        :param now_ms: current time, in milliseconds
        """
        return self.state is LeaseState.HELD and now_ms < self.valid_until_ms()

    def tick(self, now_ms: int) -> LeaseEffect | None:
        """Start an acquisition, or a renewal if one is due.

        :param now_ms: current time, in milliseconds
        """
        if self.state is LeaseState.HELD and not self.is_held(now_ms):
            self._reset()
        if self.state is LeaseState.FREE:
            self.state = LeaseState.ACQUIRING
            return ReadHolder()
        is_renewal_due = now_ms >= self._ttl_start_ms + self.times.ttl_ms // RENEWALS_PER_TTL
        if self.state is LeaseState.HELD and is_renewal_due:
            self._request_sent_ms = now_ms
            return RenewLease(self._lease_id)
        return None

    def release(self) -> LeaseEffect | None:
        """Give up the duty; no order is permitted afterwards."""
        return self._reset_and_revoke()

    def step(self, event: LeaseEvent, now_ms: int) -> LeaseEffect | None:
        """Process the outcome of the last effect and return the next effect, or None.

        :param event: outcome of the last effect
        :param now_ms: current time, read after the effect completed, in milliseconds
        """
        return self._handle_event(event, now_ms)

    @singledispatchmethod
    def _handle_event(self, event: LeaseEvent, now_ms: int) -> LeaseEffect | None:
        raise TypeError(f"unknown lease event: {event!r}")

    @_handle_event.register
    def _(self, event: HolderRead, now_ms: int) -> LeaseEffect | None:
        if self.state is not LeaseState.ACQUIRING:
            return None
        if event.record is None and self._lease_id is None:
            self._request_sent_ms = now_ms
            return GrantLease(self.times.ttl_ms)
        if event.record is not None and event.record.token == self._record.token:
            return self._become_holder(event.mod_revision, now_ms)
        effect = self._reset_and_revoke()
        if effect is None and event.record is not None and event.record.token in self._abandoned:
            return DeleteHolder(event.mod_revision)
        return effect

    @_handle_event.register
    def _(self, event: ReadFailed, now_ms: int) -> LeaseEffect | None:
        return self._reset_and_revoke()

    @_handle_event.register
    def _(self, event: Granted, now_ms: int) -> LeaseEffect | None:
        if self.state is not LeaseState.ACQUIRING:
            return RevokeLease(event.lease_id)
        self._lease_id = event.lease_id
        self._ttl_start_ms = self._request_sent_ms
        self._record = HolderRecord(self._holder, self._generate_token())
        self._failed_writes = 0
        return WriteHolder(self._record, event.lease_id)

    @_handle_event.register
    def _(self, event: GrantFailed, now_ms: int) -> LeaseEffect | None:
        return self._reset_and_revoke()

    @_handle_event.register
    def _(self, event: HolderWritten, now_ms: int) -> LeaseEffect | None:
        if self.state is not LeaseState.ACQUIRING:
            return None
        return self._become_holder(event.mod_revision, now_ms)

    @_handle_event.register
    def _(self, event: HolderConflict, now_ms: int) -> LeaseEffect | None:
        return ReadHolder() if self.state is LeaseState.ACQUIRING else None

    @_handle_event.register
    def _(self, event: HolderWriteFailed, now_ms: int) -> LeaseEffect | None:
        self._failed_writes += 1
        if self.state is not LeaseState.ACQUIRING:
            return None
        if self._failed_writes >= HOLDER_WRITE_ATTEMPTS or now_ms >= self.valid_until_ms():
            return self._reset_and_revoke()
        return WriteHolder(self._record, self._lease_id)

    @_handle_event.register
    def _(self, event: HolderDeleted, now_ms: int) -> LeaseEffect | None:
        return None

    @_handle_event.register
    def _(self, event: Renewed, now_ms: int) -> LeaseEffect | None:
        if self.state is LeaseState.HELD:
            self._ttl_start_ms = self._request_sent_ms
        return None

    @_handle_event.register
    def _(self, event: RenewFailed, now_ms: int) -> LeaseEffect | None:
        return None

    @_handle_event.register
    def _(self, event: LeaseExpired, now_ms: int) -> LeaseEffect | None:
        self._reset()
        return None

    @_handle_event.register
    def _(self, event: RevokeCompleted, now_ms: int) -> LeaseEffect | None:
        return None

    def _become_holder(self, mod_revision: int, now_ms: int) -> LeaseEffect | None:
        if now_ms >= self.valid_until_ms():
            return self._reset_and_revoke()
        self.state = LeaseState.HELD
        self.fencing = FencingNumber(mod_revision)
        self.acquired_ms = now_ms
        return None

    def valid_until_ms(self) -> int:
        """Return when the holder must stop acting unless it renews the lease before."""
        return self._ttl_start_ms + self.times.ttl_ms - self.times.margin_ms

    def _reset_and_revoke(self) -> LeaseEffect | None:
        lease_id = self._lease_id
        self._reset()
        return None if lease_id is None else RevokeLease(lease_id)

    def _reset(self) -> None:
        self.state = LeaseState.FREE
        self._lease_id = None
        if self._record.token:
            self._abandoned.append(self._record.token)
        self._record = HolderRecord(self._holder, HolderToken(""))


@dataclass(frozen=True, slots=True)
class OrderPermit:
    """Permission to send one order immediately.

    :param fencing: fencing number of the holder; sent with the order
    :param deadline_wall_ms: time at which the order becomes void, in milliseconds since the epoch;
        sent with the order, and the exchange with the engine must end by then
    :param valid_for_ms: time remaining until that deadline, in milliseconds
    :param lease_left_ms: time remaining until the holder must stop acting on its lease, in
        milliseconds; the next holder does not wait for orders that are under way for longer
    """

    fencing: FencingNumber
    deadline_wall_ms: int
    valid_for_ms: int
    lease_left_ms: int


class OrderGate:
    """Permits orders to engines only while the duty lease is held.

    :param machine: state machine of the duty lease
    """

    def __init__(self, machine: LeaseMachine) -> None:
        self._machine = machine

    def permit(self, now_ms: int, wall_ms: int, *, rejects_stale_fencing: bool) -> OrderPermit:
        """Permit one order; call it immediately before the send, after the last blocking step.

        Unless the engine rejects outdated fencing numbers, a new holder gets no permit while orders
        of the previous holder can still take effect.

        :param now_ms: current time, in milliseconds
        :param wall_ms: current wall-clock time, in milliseconds since the epoch
        :param rejects_stale_fencing: whether the engine rejects orders with an outdated fencing
            number
        :raises LeaseLostError: the lease is not held, or expires within the safety margin
        :raises UnavailableError: orders of the previous holder may still take effect; retry later
        """
        if not self._machine.is_held(now_ms):
            raise LeaseLostError(
                "the duty lease is not held by this entry instance", step="order.permit"
            )
        wait_ms = self._wait_ms(now_ms)
        if wait_ms > 0 and not rejects_stale_fencing:
            raise UnavailableError(
                "orders of the previous holder may still take effect",
                step="order.permit",
                retry_after_ms=wait_ms,
            )
        return OrderPermit(
            self._machine.fencing,
            wall_ms + ORDER_TTL_MS,
            ORDER_TTL_MS,
            self._machine.valid_until_ms() - now_ms,
        )

    def _wait_ms(self, now_ms: int) -> int:
        return self._machine.acquired_ms + self._machine.times.settle_ms - now_ms
