"""Performs the effects of attempts to run calls at most once."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod

from bergamothill.clock import Clock
from bergamothill.connection.bus import PeerBus, message
from bergamothill.connection.kvs import ABSENT, KeyValueService
from bergamothill.connection.service import PlainService
from bergamothill.errors import (
    BergamothillError,
    ConflictError,
    Execution,
    LeaseLostError,
    PeerTimeoutError,
    PeerUnreachableError,
    ProtocolError,
)
from bergamothill.ids import EntryInstanceId
from bergamothill.request.actionrecord import AttemptToken, decode_record, encode_record
from bergamothill.request.actionsteps import (
    AskOwner,
    ClaimFailed,
    ClaimNotSent,
    ClaimRefused,
    ClaimWritten,
    CompletionEnded,
    Effect,
    Event,
    OwnerAnswered,
    OwnerSilent,
    OwnerStatus,
    Pause,
    PauseEnded,
    ReadFailed,
    ReadRecord,
    RecordRead,
    ReleaseClaim,
    ReplyReceived,
    Send,
    SendFailed,
    SendNotStarted,
    WriteClaim,
    WriteCompletion,
)
from bergamothill.request.actiontable import ActionTable
from bergamothill.request.recordlease import RecordLease

__all__ = ["ActionPerformer", "AskAttempt", "AttemptAnswer"]

ASK_TIMEOUT_MS = 1_000


@message("action.ask")
@dataclass(frozen=True, slots=True)
class AskAttempt:
    """Asks an entry instance for the status of one of its attempts.

    :param token: id of the attempt
    """

    token: str


@message("action.status")
@dataclass(frozen=True, slots=True)
class AttemptAnswer:
    """Reply to :class:`AskAttempt`.

    :param status: value of :class:`~bergamothill.request.actionsteps.OwnerStatus`
    """

    status: str


class ActionPerformer:
    """Performs the effects of the attempts of one entry instance.

    :param kvs: key-value service
    :param bus: message bus to the other entry instances
    :param clock: time source
    :param entry_id: this entry instance
    :param table: attempts of this entry instance, for answering status requests
    """

    def __init__(
        self,
        kvs: KeyValueService,
        bus: PeerBus,
        clock: Clock,
        entry_id: EntryInstanceId,
        table: ActionTable,
    ) -> None:
        self._kvs = kvs
        self._bus = bus
        self._clock = clock
        self._entry_id = entry_id
        self._table = table
        self._lease = RecordLease(kvs, clock)
        bus.subscribe(AskAttempt, self._on_ask_attempt)

    @singledispatchmethod
    def perform(self, effect: Effect, service: PlainService) -> Event:
        """Perform one effect of an attempt.

        :param effect: effect that does not end the attempt
        :param service: client of the server to send to
        :returns: outcome, for :meth:`~bergamothill.request.actionattempt.ActionAttempt.step`
        """
        raise TypeError(f"unknown effect: {effect!r}")

    @perform.register
    def _(self, effect: WriteClaim, service: PlainService) -> Event:
        value = encode_record(effect.record)
        try:
            lease_id = self._lease.current()
            written = self._kvs.put_if(
                effect.key, value, expected=effect.expected, lease_id=lease_id
            )
            return ClaimWritten(written.mod_revision)
        except ConflictError:
            return ClaimRefused()
        except LeaseLostError:
            self._lease.drop()
            return ClaimNotSent()
        except BergamothillError as error:
            return ClaimNotSent() if error.execution is Execution.NOT_RUN else ClaimFailed()

    @perform.register
    def _(self, effect: ReadRecord, service: PlainService) -> Event:
        try:
            entry = self._kvs.get(effect.key)
            if entry is None:
                return RecordRead(None, ABSENT)
            return RecordRead(decode_record(entry.value), entry.mod_revision)
        except BergamothillError:
            return ReadFailed()

    @perform.register
    def _(self, effect: AskOwner, service: PlainService) -> Event:
        if effect.owner == self._entry_id:
            return OwnerAnswered(self._table.status(effect.token))
        try:
            answer = self._bus.request(
                effect.owner, AskAttempt(effect.token), timeout_ms=ASK_TIMEOUT_MS
            )
            return OwnerAnswered(OwnerStatus(answer.status))
        except (BergamothillError, AttributeError, ValueError):
            return OwnerSilent()

    @perform.register
    def _(self, effect: Pause, service: PlainService) -> Event:
        self._clock.sleep_ms(effect.duration_ms)
        return PauseEnded()

    @perform.register
    def _(self, effect: Send, service: PlainService) -> Event:
        try:
            return ReplyReceived(service.call(effect.call))
        except PeerUnreachableError:
            return SendNotStarted()
        except (PeerTimeoutError, ProtocolError):
            return SendFailed()

    @perform.register
    def _(self, effect: WriteCompletion, service: PlainService) -> Event:
        return CompletionEnded(self.finalize_record(effect))

    def finalize_record(self, effect: ReleaseClaim | WriteCompletion) -> bool:
        """Write the reply to a record, or remove an unused claim.

        :param effect: effect to perform; it may be performed repeatedly
        :returns: whether the outcome is known; if not, the effect has to be performed again
        """
        try:
            if isinstance(effect, ReleaseClaim):
                self._release_claim(effect)
            else:
                value, lease_id = encode_record(effect.record), self._lease.current()
                self._kvs.put_if(effect.key, value, expected=effect.expected, lease_id=lease_id)
        except (ConflictError, ProtocolError):
            return True
        except LeaseLostError:
            self._lease.drop()
            return False
        except BergamothillError:
            return False
        return True

    def _release_claim(self, effect: ReleaseClaim) -> None:
        entry = self._kvs.get(effect.key)
        if entry is not None and decode_record(entry.value).token == effect.token:
            self._kvs.delete_if(effect.key, expected=entry.mod_revision)

    def _on_ask_attempt(self, sender: EntryInstanceId, ask: AskAttempt) -> AttemptAnswer:
        return AttemptAnswer(self._table.status(AttemptToken(ask.token)).value)
