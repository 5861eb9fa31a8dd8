"""State machine of one attempt to run a non-idempotent call at most once; does no I/O.

The record is created before the call is sent, and only the attempt that owns the record may send.
Another attempt takes the record over only after its owner has confirmed that it gave up without
sending. An owner that does not answer keeps the record, and the outcome stays unknown.
"""

from __future__ import annotations

from dataclasses import replace
from enum import Enum
from functools import singledispatchmethod

from bergamothill.connection.kvs import ABSENT
from bergamothill.connection.service import ServiceCall, ServiceReply
from bergamothill.errors import ConflictError, Execution, PeerTimeoutError, UnavailableError
from bergamothill.ids import EntryInstanceId
from bergamothill.request.actionrecord import (
    MAX_STORED_REPLY_BYTES,
    ActionRecord,
    AttemptToken,
    RecordState,
    call_digest,
    record_key,
)
from bergamothill.request.actionsteps import (
    Answer,
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
    Refuse,
    ReleaseClaim,
    ReplyReceived,
    Send,
    SendFailed,
    SendNotStarted,
    WriteClaim,
    WriteCompletion,
)

__all__ = ["ActionAttempt", "ActionState"]

MAX_CLAIM_ATTEMPTS = 3
CLAIM_MAX_AGE_MS = 5_000
CLAIM_RETRY_PAUSE_MS = 50
MAX_CONFLICTS = 6
IN_PROGRESS_RETRY_AFTER_MS = 500
UNKNOWN_RETRY_AFTER_MS = 5_000
UNAVAILABLE_RETRY_AFTER_MS = 1_000


class ActionState(Enum):
    """State of an attempt; :attr:`GIVEN_UP` and :attr:`DONE` are final."""

    CLAIMING = "claiming"
    SENT = "sent"
    DONE = "done"
    GIVEN_UP = "given_up"
    """The attempt has not sent the call and never will."""


class ActionAttempt:
    """One attempt by one entry instance to run one call.

    :meth:`start` and :meth:`step` return the effect to perform next. Its outcome is the event to
    pass to :meth:`step`. The effects :class:`Answer` and :class:`Refuse` end the attempt.

    :param call: call with an idempotency key
    :param owner: entry instance that makes the attempt
    :param token: random id of the attempt
    :param started_ms: current time, in milliseconds
    """

    def __init__(
        self,
        call: ServiceCall,
        *,
        owner: EntryInstanceId,
        token: AttemptToken,
        started_ms: int,
    ) -> None:
        self.call = call
        self.key = record_key(call)
        self.token = token
        self.state = ActionState.CLAIMING
        self.may_have_run = False
        """Whether an earlier call with the key may have run; giving up then reports "unknown"."""
        self.pending_write: ReleaseClaim | WriteCompletion | None = None
        self._claim = ActionRecord(owner, token, call_digest(call))
        self._expected = ABSENT
        self._mod_revision = ABSENT
        self._claim_may_exist = False
        self._started_ms = started_ms
        self._failed_claims = 0
        self._conflicts = 0
        self._reply: ServiceReply | None = None

    def start(self) -> Effect:
        """Return the first effect."""
        return self._write_claim()

    def step(self, event: Event, now_ms: int) -> Effect:
        """Handle the outcome of the last effect and return the next effect.

        :param event: outcome of the last effect
        :param now_ms: time read after the effect ended, in milliseconds
        """
        if self.state is ActionState.GIVEN_UP:
            raise RuntimeError(f"attempt {self.token} has given up and accepts no further events")
        return self._on(event, now_ms)

    @singledispatchmethod
    def _on(self, event: Event, now_ms: int) -> Effect:
        raise TypeError(f"unknown event: {event!r}")

    @_on.register
    def _(self, event: ClaimWritten, now_ms: int) -> Effect:
        return self._send_once(event.mod_revision, now_ms)

    @_on.register
    def _(self, event: ClaimRefused, now_ms: int) -> Effect:
        self._conflicts += 1
        return ReadRecord(self.key)

    @_on.register
    def _(self, event: ClaimFailed, now_ms: int) -> Effect:
        self._claim_may_exist = True
        return self._retry_claim(now_ms)

    @_on.register
    def _(self, event: ClaimNotSent, now_ms: int) -> Effect:
        return self._retry_claim(now_ms)

    @_on.register
    def _(self, event: PauseEnded, now_ms: int) -> Effect:
        # Repeats the same conditional write, so that a delayed copy of the first one conflicts.
        return self._write_claim()

    @_on.register
    def _(self, event: RecordRead, now_ms: int) -> Effect:
        record = event.record
        if record is None:
            return self._write_claim_at_revision(ABSENT, now_ms)
        if record.token == self.token:
            return self._send_once(event.mod_revision, now_ms)
        if record.digest != self._claim.digest:
            return self._refuse_key_reuse()
        if record.state is RecordState.DONE:
            return self._replay_reply(record)
        self._expected = event.mod_revision
        return AskOwner(record.owner, record.token)

    @_on.register
    def _(self, event: ReadFailed, now_ms: int) -> Effect:
        self.may_have_run = True
        return self._give_up("the record of the call cannot be read")

    @_on.register
    def _(self, event: OwnerAnswered, now_ms: int) -> Effect:
        if event.status is OwnerStatus.GIVEN_UP:
            self.may_have_run = False
            return self._write_claim_at_revision(self._expected, now_ms)
        if event.status is OwnerStatus.FORGOTTEN:
            return self._refuse_unknown(
                "the owner of the call no longer has its state", UNKNOWN_RETRY_AFTER_MS
            )
        return self._refuse_unknown("the call is in progress", IN_PROGRESS_RETRY_AFTER_MS)

    @_on.register
    def _(self, event: OwnerSilent, now_ms: int) -> Effect:
        return self._refuse_unknown("the owner of the call cannot be asked", UNKNOWN_RETRY_AFTER_MS)

    @_on.register
    def _(self, event: ReplyReceived, now_ms: int) -> Effect:
        self.state = ActionState.DONE
        self._reply = event.reply
        is_stored = len(event.reply.body) <= MAX_STORED_REPLY_BYTES
        record = replace(
            self._claim,
            state=RecordState.DONE,
            status=event.reply.status,
            reply=event.reply if is_stored else None,
        )
        self.pending_write = WriteCompletion(self.key, record, self._mod_revision)
        return self.pending_write

    @_on.register
    def _(self, event: CompletionEnded, now_ms: int) -> Effect:
        if event.is_recorded:
            self.pending_write = None
        return Answer(self._reply)

    @_on.register
    def _(self, event: SendNotStarted, now_ms: int) -> Effect:
        return self._give_up("the server cannot be reached")

    @_on.register
    def _(self, event: SendFailed, now_ms: int) -> Effect:
        return Refuse(
            PeerTimeoutError(
                "the call was sent and its reply was lost",
                step="action.send",
                retry_after_ms=UNKNOWN_RETRY_AFTER_MS,
            )
        )

    def _retry_claim(self, now_ms: int) -> Effect:
        self._failed_claims += 1
        if self._failed_claims >= MAX_CLAIM_ATTEMPTS or self._is_too_late(now_ms):
            return self._give_up("the key-value service cannot record the call")
        return Pause(CLAIM_RETRY_PAUSE_MS)

    def _write_claim(self) -> Effect:
        return WriteClaim(self.key, self._claim, self._expected)

    def _write_claim_at_revision(self, expected: int, now_ms: int) -> Effect:
        if self._conflicts >= MAX_CONFLICTS or self._is_too_late(now_ms):
            return self._give_up("the record of the call keeps changing")
        self._expected = expected
        return self._write_claim()

    def _send_once(self, mod_revision: int, now_ms: int) -> Effect:
        self._mod_revision = mod_revision
        self._claim_may_exist = True
        if self._is_too_late(now_ms):
            return self._give_up("the claim is too old to send")
        self.state = ActionState.SENT
        left_ms = self._started_ms + self.call.timeout_ms - now_ms
        return Send(replace(self.call, timeout_ms=left_ms))

    def _is_too_late(self, now_ms: int) -> bool:
        age_ms = now_ms - self._started_ms
        return age_ms >= min(CLAIM_MAX_AGE_MS, self.call.timeout_ms)

    def _give_up(self, message: str) -> Effect:
        self.state = ActionState.GIVEN_UP
        if self._mod_revision != ABSENT:
            # Owning the record proves that no other attempt has sent the call.
            self.may_have_run = False
        if self._claim_may_exist:
            self.pending_write = ReleaseClaim(self.key, self.token)
        execution = Execution.UNKNOWN if self.may_have_run else Execution.NOT_RUN
        return Refuse(
            UnavailableError(
                message,
                step="action.claim",
                execution=execution,
                retry_after_ms=UNAVAILABLE_RETRY_AFTER_MS,
            )
        )

    def _refuse_unknown(self, message: str, retry_after_ms: int) -> Effect:
        self.state = ActionState.GIVEN_UP
        return Refuse(PeerTimeoutError(message, step="action.ask", retry_after_ms=retry_after_ms))

    def _refuse_key_reuse(self) -> Effect:
        self.state = ActionState.GIVEN_UP
        message = "the idempotency key was used with another method, path or body"
        return Refuse(ConflictError(message, step="action.claim"))

    def _replay_reply(self, record: ActionRecord) -> Effect:
        self.state = ActionState.GIVEN_UP
        if record.reply is not None:
            return Answer(record.reply)
        message = f"the call ran with status {record.status}; its reply is too large to keep"
        return Refuse(ConflictError(message, step="action.repeat", execution=Execution.UNKNOWN))
