"""Duty lease in the key-value service: performs the effects of the lease state machine."""

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
    DeleteHolder,
    Granted,
    GrantFailed,
    GrantLease,
    HolderConflict,
    HolderDeleted,
    HolderRead,
    HolderRecord,
    HolderToken,
    HolderWriteFailed,
    HolderWritten,
    LeaseEffect,
    LeaseEvent,
    LeaseExpired,
    LeaseMachine,
    LeaseTimes,
    OrderGate,
    OrderPermit,
    ReadFailed,
    ReadHolder,
    Renewed,
    RenewFailed,
    RenewLease,
    RevokeCompleted,
    RevokeLease,
    WriteHolder,
)

__all__ = ["DutyLease", "LeasePerformer", "duty_key"]

KEY_PREFIX = "duty"
TOKEN_BYTES = 16

_log = EventLog("lease")


def duty_key(duty: DutyName) -> str:
    """Return the key under which the holder of a duty is recorded.

    :param duty: name of the duty, including the availability zone if each zone has its own holder
    """
    return f"{KEY_PREFIX}/{duty}"


def generate_token() -> HolderToken:
    """Generate a random token for one acquisition."""
    return HolderToken(secrets.token_hex(TOKEN_BYTES))


class LeasePerformer:
    """Performs the effects of a lease state machine.

    :param kvs: key-value service
    :param duty: duty that the lease is for
    """

    def __init__(self, kvs: KeyValueService, duty: DutyName) -> None:
        self._kvs = kvs
        self._key = duty_key(duty)
        self.last_read_revision = ABSENT
        """Revision of the duty's key at the last read."""

    def wait_for_change(self, timeout_ms: int) -> bool:
        """Wait until the duty's key changes from the revision that was last read.

        :param timeout_ms: longest wait, in milliseconds
        :returns: False if the service cannot tell because its history no longer covers that
            revision
        """
        after = self.last_read_revision
        return self._kvs.wait_for_change(self._key, after=after, timeout_ms=timeout_ms) != 0

    @singledispatchmethod
    def perform(self, effect: LeaseEffect) -> LeaseEvent:
        """Perform one effect.

        :param effect: effect of :class:`~bergamothill.process.leasemachine.LeaseMachine`
        :returns: its outcome
        """
        raise TypeError(f"unknown lease effect: {effect!r}")

    @perform.register
    def _(self, effect: ReadHolder) -> LeaseEvent:
        try:
            entry = self._kvs.get(self._key)
        except BergamothillError:
            return ReadFailed()
        self.last_read_revision = ABSENT if entry is None else entry.mod_revision
        if entry is None:
            return HolderRead(None, ABSENT)
        return HolderRead(_decode_holder(entry.value), entry.mod_revision)

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
            return HolderConflict()
        except LeaseLostError:
            return LeaseExpired()
        except BergamothillError:
            return HolderWriteFailed()

    @perform.register
    def _(self, effect: DeleteHolder) -> LeaseEvent:
        try:
            self._kvs.delete_if(self._key, expected=effect.mod_revision)
        except BergamothillError as error:
            _log.info("holder_delete_failed", key=self._key, reason=error.message)
        return HolderDeleted()

    @perform.register
    def _(self, effect: RenewLease) -> LeaseEvent:
        try:
            self._kvs.renew_lease(effect.lease_id)
            return Renewed()
        except LeaseLostError:
            return LeaseExpired()
        except BergamothillError:
            return RenewFailed()

    @perform.register
    def _(self, effect: RevokeLease) -> LeaseEvent:
        try:
            self._kvs.revoke_lease(effect.lease_id)
        except BergamothillError:
            _log.info("lease_revoke_failed", key=self._key)
        return RevokeCompleted()


def _decode_holder(value: bytes) -> HolderRecord:
    """Decode a holder record; an invalid one counts as another holder's and is not overwritten."""
    try:
        holder, token = cbor2.loads(value)
        return HolderRecord(EntryInstanceId(str(holder)), HolderToken(str(token)))
    except (TypeError, ValueError, cbor2.CBORDecodeError):
        return HolderRecord(EntryInstanceId("unreadable"), HolderToken("unreadable"))


class DutyLease:
    """Lease on one duty, held by at most one entry instance at a time; thread-safe.

    :param kvs: key-value service
    :param clock: source of time
    :param duty: name of the duty, including the availability zone if each zone has its own holder
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
        self._machine = LeaseMachine(holder, generate_token, times=times)
        self._performer = LeasePerformer(kvs, duty)
        self._gate = OrderGate(self._machine)
        self._was_held = False
        self._state_lock = threading.Lock()
        self._effects_lock = threading.Lock()

    @property
    def is_held(self) -> bool:
        """Whether the lease is held and not within the safety margin of its expiry."""
        with self._state_lock:
            return self._machine.is_held(self._clock.now_ms())

    @property
    def fencing(self) -> FencingNumber:
        """Fencing number of the last acquisition; 0 before the first."""
        with self._state_lock:
            return self._machine.fencing

    @property
    def acquired_ms(self) -> int:
        """Time of the last acquisition, in milliseconds; 0 before the first."""
        with self._state_lock:
            return self._machine.acquired_ms

    def tick(self) -> bool:
        """Acquire or renew the lease if due; call it several times per lease TTL.

        One call makes at most a few requests to the key-value service, and a single read while
        another entry instance holds the duty.

        :returns: whether the lease is held afterwards
        """
        with self._effects_lock:
            with self._state_lock:
                effect = self._machine.tick(self._clock.now_ms())
            self._run_effects(effect)
            return self._log_transition()

    def wait_for_change(self, timeout_ms: int) -> bool:
        """Wait until the duty's key may have changed, while another entry instance holds the duty.

        :param timeout_ms: longest wait, in milliseconds
        :returns: False if no wait took place: there is no other holder, or the service cannot tell
        """
        if self.is_held or self._performer.last_read_revision == ABSENT:
            return False
        return self._performer.wait_for_change(timeout_ms)

    def handle_restore(self) -> None:
        """Give up the duty because the key-value service was restored and has lost all leases."""
        with self._state_lock:
            self._machine.step(LeaseExpired(), self._clock.now_ms())

    def release(self) -> None:
        """Give up the duty and revoke the lease, so that the next holder can acquire it at once."""
        with self._state_lock:
            effect = self._machine.release()
        with self._effects_lock:
            self._run_effects(effect)
            self._log_transition()

    def permit(self, *, rejects_stale_fencing: bool) -> OrderPermit:
        """Permit one order to an engine; call it immediately before sending the order.

        :param rejects_stale_fencing: whether the engine rejects orders with an outdated fencing
            number
        :returns: fencing number and deadline to send with the order
        :raises LeaseLostError: the lease is not held
        :raises UnavailableError: orders of the previous holder may still take effect; retry later
        """
        with self._state_lock:
            now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
            return self._gate.permit(now_ms, wall_ms, rejects_stale_fencing=rejects_stale_fencing)

    def _run_effects(self, effect: LeaseEffect | None) -> None:
        while effect is not None:
            event = self._performer.perform(effect)
            with self._state_lock:
                effect = self._machine.step(event, self._clock.now_ms())

    def _log_transition(self) -> bool:
        is_held = self.is_held
        if is_held != self._was_held:
            event = "lease_acquired" if is_held else "lease_lost"
            _log.info(event, duty=self.duty, fencing=self.fencing)
        self._was_held = is_held
        return is_held
