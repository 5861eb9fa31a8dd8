"""Duty lease over the key-value service: carries out what the lease machine decides."""

from __future__ import annotations

import secrets
import threading
from functools import singledispatchmethod

import cbor2

from bergamothill.clock import Clock
from bergamothill.connection.kvs import ABSENT, KeyValueService
from bergamothill.errors import BergamothillError, ConflictError, LeaseLostError
from bergamothill.ids import DutyName, EntryInstanceId, FencingNumber
from bergamothill.logs import EventLog
from bergamothill.process.leasemachine import (
    Granted,
    GrantFailed,
    GrantLease,
    HolderRead,
    HolderRecord,
    HolderRefused,
    HolderToken,
    HolderWriteFailed,
    HolderWritten,
    LeaseEffect,
    LeaseEnded,
    LeaseEvent,
    LeaseMachine,
    LeaseTimes,
    OrderGate,
    OrderPermit,
    ReadFailed,
    ReadHolder,
    Renewed,
    RenewFailed,
    RenewLease,
    RevokeEnded,
    RevokeLease,
    WriteHolder,
)

__all__ = ["DutyLease", "LeasePerformer", "duty_key"]

KEY_PREFIX = "duty"
TOKEN_BYTES = 16

_log = EventLog("lease")


def duty_key(duty: DutyName) -> str:
    """Return the key that names the holder of a duty.

    :param duty: duty, with its availability zone where it is split by zone
    """
    return f"{KEY_PREFIX}/{duty}"


def new_token() -> HolderToken:
    """Draw a token for one acquisition."""
    return HolderToken(secrets.token_hex(TOKEN_BYTES))


class LeasePerformer:
    """Carries out the effects of a lease machine.

    :param kvs: key-value service
    :param duty: duty that the lease is for
    """

    def __init__(self, kvs: KeyValueService, duty: DutyName) -> None:
        self._kvs = kvs
        self._key = duty_key(duty)
        self.seen_revision = ABSENT
        """Revision of the duty's key when it was last read."""

    def wait_change(self, timeout_ms: int) -> bool:
        """Wait until the duty's key changes after it was last read.

        :param timeout_ms: longest wait, in milliseconds
        :returns: False when the service cannot tell, since its history is gone
        """
        after = self.seen_revision
        return self._kvs.wait_change(self._key, after=after, timeout_ms=timeout_ms) != 0

    @singledispatchmethod
    def perform(self, effect: LeaseEffect) -> LeaseEvent:
        """Carry out one effect.

        :param effect: effect of :class:`~bergamothill.process.leasemachine.LeaseMachine`
        :returns: its outcome
        """
        raise TypeError(f"no such effect: {effect!r}")

    @perform.register
    def _(self, effect: ReadHolder) -> LeaseEvent:
        try:
            entry = self._kvs.get(self._key)
        except BergamothillError:
            return ReadFailed()
        self.seen_revision = ABSENT if entry is None else entry.mod_revision
        if entry is None:
            return HolderRead(None, ABSENT)
        return HolderRead(_decode(entry.value), entry.mod_revision)

    @perform.register
    def _(self, effect: GrantLease) -> LeaseEvent:
        try:
            return Granted(self._kvs.grant_lease(effect.ttl_ms))
        except BergamothillError:
            return GrantFailed()

    @perform.register
    def _(self, effect: WriteHolder) -> LeaseEvent:
        value = cbor2.dumps([effect.record.holder, effect.record.token])
        try:
            written = self._kvs.put_if(self._key, value, expected=ABSENT, lease_id=effect.lease_id)
            return HolderWritten(written.mod_revision)
        except ConflictError:
            return HolderRefused()
        except LeaseLostError:
            return LeaseEnded()
        except BergamothillError:
            return HolderWriteFailed()

    @perform.register
    def _(self, effect: RenewLease) -> LeaseEvent:
        try:
            self._kvs.renew_lease(effect.lease_id)
            return Renewed()
        except LeaseLostError:
            return LeaseEnded()
        except BergamothillError:
            return RenewFailed()

    @perform.register
    def _(self, effect: RevokeLease) -> LeaseEvent:
        try:
            self._kvs.revoke_lease(effect.lease_id)
        except BergamothillError:
            _log.info("lease_revoke_failed", key=self._key)
        return RevokeEnded()


def _decode(value: bytes) -> HolderRecord:
    """Decode a holder; a value that is none counts as another's, so that it is left alone."""
    try:
        holder, token = cbor2.loads(value)
        return HolderRecord(EntryInstanceId(str(holder)), HolderToken(str(token)))
    except (TypeError, ValueError, cbor2.CBORDecodeError):
        return HolderRecord(EntryInstanceId("unreadable"), HolderToken("unreadable"))


class DutyLease:
    """One duty of the fleet, held by one entry instance at a time; safe for threads.

    :param kvs: key-value service
    :param clock: source of time
    :param duty: duty, with its availability zone where it is split by zone
    :param holder: this entry instance
    :param times: durations of the lease
    """

    def __init__(
        self,
        kvs: KeyValueService,
        clock: Clock,
        duty: DutyName,
        holder: EntryInstanceId,
        *,
        times: LeaseTimes | None = None,
    ) -> None:
        self.duty = duty
        self._clock = clock
        self._machine = LeaseMachine(holder, new_token, times=times)
        self._performer = LeasePerformer(kvs, duty)
        self._gate = OrderGate(self._machine)
        self._was_held = False
        self._lock = threading.Lock()
        self._driving = threading.Lock()

    @property
    def is_held(self) -> bool:
        """Whether the lease is held now, with margin."""
        with self._lock:
            return self._machine.is_held(self._clock.now_ms())

    @property
    def fencing(self) -> FencingNumber:
        """Fencing number of the last acquisition; 0 before the first."""
        with self._lock:
            return self._machine.fencing

    def tick(self) -> bool:
        """Acquire or renew as is due; to be called a few times in each life of the lease.

        One call costs at most a few calls of the key-value service, and one read while another
        entry instance holds the duty.

        :returns: whether the lease is held now
        """
        with self._driving:
            with self._lock:
                effect = self._machine.tick(self._clock.now_ms())
            self._drive(effect)
            return self._report()

    def wait_change(self, timeout_ms: int) -> bool:
        """Wait until another holder's key may have changed.

        :param timeout_ms: longest wait, in milliseconds
        :returns: False when it did not wait: there is no other holder, or the service cannot tell
        """
        if self.is_held or self._performer.seen_revision == ABSENT:
            return False
        return self._performer.wait_change(timeout_ms)

    def release(self) -> None:
        """Stop holding the duty and let the next holder in at once."""
        with self._lock:
            effect = self._machine.release()
        with self._driving:
            self._drive(effect)
            self._report()

    def permit(self, *, refuses_old_numbers: bool) -> OrderPermit:
        """Permit one order to an engine; to be called right before its send.

        :param refuses_old_numbers: whether the engine refuses orders with an old fencing number
        :returns: fencing number and deadline that go into the order
        :raises LeaseLostError: the lease is not held now
        :raises UnavailableError: the predecessor's orders may still have an effect; try later
        """
        with self._lock:
            now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
            return self._gate.permit(now_ms, wall_ms, refuses_old_numbers=refuses_old_numbers)

    def _drive(self, effect: LeaseEffect | None) -> None:
        while effect is not None:
            event = self._performer.perform(effect)
            with self._lock:
                effect = self._machine.step(event, self._clock.now_ms())

    def _report(self) -> bool:
        is_held = self.is_held
        if is_held != self._was_held:
            event = "lease_acquired" if is_held else "lease_lost"
            _log.info(event, duty=self.duty, fencing=self.fencing)
        self._was_held = is_held
        return is_held
