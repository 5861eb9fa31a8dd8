"""Calls to plain services that run at most once: carries out what an attempt decides."""

from __future__ import annotations

import secrets
import threading
from collections import Counter, deque
from dataclasses import dataclass, replace
from functools import singledispatchmethod

from bergamothill.clock import Clock
from bergamothill.connection.bus import PeerBus, message
from bergamothill.connection.kvs import ABSENT, KeyValueService
from bergamothill.connection.service import PlainService, ServiceCall, ServiceReply
from bergamothill.errors import (
    BergamothillError,
    ConflictError,
    Execution,
    InvalidRequestError,
    LeaseLostError,
    PeerTimeoutError,
    PeerUnreachableError,
    ProtocolError,
)
from bergamothill.ids import EntryInstanceId, LeaseId, ServerId
from bergamothill.logs import EventLog
from bergamothill.process.metrics import StatsdMetrics
from bergamothill.request.actionattempt import ActionAttempt
from bergamothill.request.actionrecord import AttemptToken, decode_record, encode_record
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
from bergamothill.request.actiontable import ActionTable
from bergamothill.request.retry import RetryBudget

__all__ = ["RETENTION_MS", "ActionRunner", "AskAttempt", "AttemptAnswer", "RecordLease"]

RETENTION_MS = 86_400_000
"""How long a record outlives its call: the window in which a caller may repeat it."""

LEASE_SHARING_MS = 3_600_000
LEASE_SLACK_MS = 600_000
ASK_TIMEOUT_MS = 1_000
REPEATABLE_ATTEMPTS = 2
NOT_RUN_RETRY_MS = 1_000
MAX_LOOSE_ENDS = 1_000
LOOSE_ENDS_AT_A_TIME = 5
TOKEN_BYTES = 16

_log = EventLog("action")


@message("action.ask")
@dataclass(frozen=True, slots=True)
class AskAttempt:
    """Asks an entry instance about one of its attempts.

    :param token: attempt asked about
    """

    token: str


@message("action.status")
@dataclass(frozen=True, slots=True)
class AttemptAnswer:
    """Answers :class:`AskAttempt`.

    :param status: value of :class:`~bergamothill.request.actionsteps.OwnerStatus`
    """

    status: str


class RecordLease:
    """Lease shared by the records that an entry instance writes within an hour.

    It is never renewed: its end removes the records, which saves a sweep over all of them.

    :param kvs: key-value service
    :param clock: source of time
    """

    def __init__(self, kvs: KeyValueService, clock: Clock) -> None:
        self._kvs = kvs
        self._clock = clock
        self._lease_id: LeaseId | None = None
        self._granted_ms = 0
        self._lock = threading.Lock()

    def current(self) -> LeaseId:
        """Return a lease that lasts for at least :data:`RETENTION_MS`.

        :raises PeerUnreachableError: the key-value service did not answer
        :raises PeerTimeoutError: the key-value service did not answer in time
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            if self._lease_id is None or now_ms - self._granted_ms >= LEASE_SHARING_MS:
                ttl_ms = RETENTION_MS + LEASE_SHARING_MS + LEASE_SLACK_MS
                self._lease_id = self._kvs.grant_lease(ttl_ms)
                self._granted_ms = now_ms
            return self._lease_id

    def drop(self) -> None:
        """Forget a lease that has ended early."""
        with self._lock:
            self._lease_id = None


class ActionRunner:
    """Runs calls to plain services, each of them at most once unless it is repeatable.

    :param kvs: key-value service
    :param bus: links to the other entry instances
    :param clock: source of time
    :param entry_id: this entry instance
    :param metrics: counters; None for none
    """

    def __init__(
        self,
        kvs: KeyValueService,
        bus: PeerBus,
        clock: Clock,
        entry_id: EntryInstanceId,
        *,
        metrics: StatsdMetrics | None = None,
    ) -> None:
        self.outcomes: Counter[str] = Counter()
        """Ended calls by outcome: ``answered``, ``not_run`` and ``unknown``."""
        self._kvs = kvs
        self._bus = bus
        self._clock = clock
        self._entry_id = entry_id
        self._metrics = metrics
        self._lease = RecordLease(kvs, clock)
        self._retries = RetryBudget()
        self._table = ActionTable()
        self._loose_ends: deque[ReleaseClaim | WriteCompletion] = deque(maxlen=MAX_LOOSE_ENDS)
        self._lock = threading.Lock()
        bus.subscribe(AskAttempt, self._answer_peer)

    def run(
        self, call: ServiceCall, server_id: ServerId, service: PlainService, *, repeatable: bool
    ) -> ServiceReply:
        """Run one call and return its reply.

        :param call: call to run; with an idempotency key it must name its service
        :param server_id: server that ``service`` is a client of
        :param service: client of the server
        :param repeatable: whether the call may be sent again after a lost reply
        :returns: the reply of the service, or the recorded one of an earlier call with the key
        :raises ConflictError: the idempotency key was used with another method, path or body
        :raises UnavailableError: the call cannot be recorded; see its ``execution``
        :raises PeerUnreachableError: nothing was sent
        :raises PeerTimeoutError: the outcome is unknown
        """
        try:
            reply = self._run(call, server_id, service, repeatable)
        except BergamothillError as error:
            error.peer = error.peer or server_id
            self._count(error.execution.value, call)
            self._log_refusal(call, server_id, error)
            raise
        self._count("answered", call)
        return reply

    def maintain(self) -> None:
        """Retry the recording of replies and the removal of unused records; call it each second.

        A few are taken at a time, so that the end of an outage brings no burst of calls.
        """
        for _ in range(min(len(self._loose_ends), LOOSE_ENDS_AT_A_TIME)):
            loose_end = self._loose_ends.popleft()
            if not self._is_settled(loose_end):
                self._loose_ends.append(loose_end)
                return

    def begin(self, call: ServiceCall) -> ActionAttempt:
        """Return a new attempt, for embedders that carry out its effects themselves.

        :param call: call with an idempotency key that names its service
        """
        token = AttemptToken(secrets.token_hex(TOKEN_BYTES))
        attempt = ActionAttempt(
            call, owner=self._entry_id, token=token, started_ms=self._clock.now_ms()
        )
        with self._lock:
            attempt.may_have_run = self._table.may_have_run(attempt.key)
            self._table.add(attempt)
        return attempt

    def finish(self, attempt: ActionAttempt) -> None:
        """Remember an attempt that ended.

        :param attempt: attempt from :meth:`begin`
        """
        with self._lock:
            self._table.finish(attempt)
        if attempt.loose_end is not None:
            self._loose_ends.append(attempt.loose_end)

    def _run(
        self, call: ServiceCall, server_id: ServerId, service: PlainService, repeatable: bool
    ) -> ServiceReply:
        if repeatable:
            return self._run_repeatable(call, service)
        if not call.idempotency_key:
            return _send_unrecorded(call, service)
        if not call.service_name:
            raise InvalidRequestError("a call with a key must name its service", step="action")
        return self._run_recorded(call, service)

    def _run_repeatable(self, call: ServiceCall, service: PlainService) -> ServiceReply:
        deadline_ms = self._clock.now_ms() + call.timeout_ms
        attempts_left = REPEATABLE_ATTEMPTS
        execution = Execution.NOT_RUN
        while True:
            attempts_left -= 1
            try:
                reply = _send_unrecorded(call, service)
            except (PeerTimeoutError, PeerUnreachableError) as error:
                if error.execution is Execution.UNKNOWN:
                    execution = Execution.UNKNOWN
                left_ms = deadline_ms - self._clock.now_ms()
                if attempts_left == 0 or left_ms <= 0 or not self._may_retry():
                    error.execution = execution
                    raise
                call = replace(call, timeout_ms=left_ms)
            else:
                with self._lock:
                    self._retries.succeeded()
                return reply

    def _may_retry(self) -> bool:
        with self._lock:
            return self._retries.try_spend()

    def _run_recorded(self, call: ServiceCall, service: PlainService) -> ServiceReply:
        attempt = self.begin(call)
        try:
            effect = attempt.start()
            while not isinstance(effect, Answer | Refuse):
                event = self.perform(effect, service)
                effect = attempt.step(event, self._clock.now_ms())
        finally:
            self.finish(attempt)
        if isinstance(effect, Refuse):
            raise effect.error
        return effect.reply

    @singledispatchmethod
    def perform(self, effect: Effect, service: PlainService) -> Event:
        """Carry out one effect of an attempt.

        :param effect: effect that does not end the attempt
        :param service: client of the server to send to
        :returns: its outcome, for :meth:`~bergamothill.request.actionattempt.ActionAttempt.step`
        """
        raise TypeError(f"no such effect: {effect!r}")

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
            with self._lock:
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
        return CompletionEnded(self._is_settled(effect))

    def _is_settled(self, effect: ReleaseClaim | WriteCompletion) -> bool:
        """Carry out an effect that ends a record; tell whether its outcome is known."""
        try:
            if isinstance(effect, ReleaseClaim):
                self._release(effect)
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

    def _release(self, effect: ReleaseClaim) -> None:
        entry = self._kvs.get(effect.key)
        if entry is not None and decode_record(entry.value).token == effect.token:
            self._kvs.delete_if(effect.key, expected=entry.mod_revision)

    def _answer_peer(self, sender: EntryInstanceId, ask: AskAttempt) -> AttemptAnswer:
        with self._lock:
            status = self._table.status(AttemptToken(ask.token))
        return AttemptAnswer(status.value)

    def _count(self, outcome: str, call: ServiceCall) -> None:
        self.outcomes[outcome] += 1
        if self._metrics is not None:
            self._metrics.incr(f"action.{outcome}", call.brand)

    def _log_refusal(
        self, call: ServiceCall, server_id: ServerId, error: BergamothillError
    ) -> None:
        _log.warning(
            "action_refused",
            request=call.request_id,
            brand=call.brand,
            service=call.service_name,
            server=server_id,
            step=error.step,
            code=error.code,
            execution=error.execution.value,
            retry_after_ms=error.retry_after_ms,
            reason=error.message,
        )


def _send_unrecorded(call: ServiceCall, service: PlainService) -> ServiceReply:
    try:
        return service.call(call)
    except PeerUnreachableError as error:
        error.retry_after_ms = NOT_RUN_RETRY_MS
        raise
