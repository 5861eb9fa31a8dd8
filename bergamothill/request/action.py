"""Runs calls to plain services with at-most-once semantics."""

from __future__ import annotations

import secrets
import threading
from collections import Counter, deque
from dataclasses import replace

from bergamothill.clock import Clock
from bergamothill.connection.bus import PeerBus
from bergamothill.connection.kvs import KeyValueService
from bergamothill.connection.service import PlainService, ServiceCall, ServiceReply
from bergamothill.errors import (
    BergamothillError,
    Execution,
    InvalidRequestError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from bergamothill.ids import EntryInstanceId, ServerId
from bergamothill.logs import EventLog
from bergamothill.process.metrics import StatsdMetrics
from bergamothill.request.actionattempt import ActionAttempt
from bergamothill.request.actionperformer import ActionPerformer
from bergamothill.request.actionrecord import AttemptToken
from bergamothill.request.actionsteps import (
    Answer,
    Refuse,
    ReleaseClaim,
    WriteCompletion,
)
from bergamothill.request.actiontable import ActionTable
from bergamothill.request.retry import RetryBudget

__all__ = ["ActionRunner"]

MAX_REPEATABLE_ATTEMPTS = 2
NOT_RUN_RETRY_AFTER_MS = 1_000
MAX_PENDING_WRITES = 1_000
PENDING_WRITES_PER_PASS = 5
TOKEN_BYTES = 16

_log = EventLog("action")


class ActionRunner:
    """Runs calls to plain services, each at most once unless it is repeatable.

    :param kvs: key-value service
    :param bus: message bus to the other entry instances
    :param clock: time source
    :param entry_id: this entry instance
    :param metrics: metrics client; None to record no metrics
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
        """Number of finished calls by outcome: ``answered``, ``not_run`` or ``unknown``."""
        self._clock = clock
        self._entry_id = entry_id
        self._metrics = metrics
        self._retry_budget = RetryBudget()
        self._table = ActionTable()
        self._performer = ActionPerformer(kvs, bus, clock, entry_id, self._table)
        self._pending_writes: deque[ReleaseClaim | WriteCompletion] = deque(
            maxlen=MAX_PENDING_WRITES
        )
        self._lock = threading.Lock()

    def run(
        self, call: ServiceCall, server_id: ServerId, service: PlainService, *, repeatable: bool
    ) -> ServiceReply:
        """Run one call and return its reply.

        :param call: call to run; if it has an idempotency key, it must name its service
        :param server_id: server that ``service`` connects to
        :param service: client of the server
        :param repeatable: whether the call may be sent again after a lost reply
        :returns: the service's reply, or the recorded reply of an earlier call with the same key
        :raises ConflictError: the idempotency key was used with another method, path or body
        :raises UnavailableError: the call cannot be recorded; see its ``execution``
        :raises PeerUnreachableError: the call was not sent
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
        """Retry failed writes of replies and failed removals of claims; call it every second.

        Each call retries only a few, which avoids a burst of calls when an outage ends.
        """
        for _ in range(min(len(self._pending_writes), PENDING_WRITES_PER_PASS)):
            pending_write = self._pending_writes.popleft()
            if not self._performer.finalize_record(pending_write):
                self._pending_writes.append(pending_write)
                return

    @property
    def performer(self) -> ActionPerformer:
        """Performs the effects of an attempt, for callers that drive the attempt themselves."""
        return self._performer

    def begin(self, call: ServiceCall) -> ActionAttempt:
        """Return a new attempt, for callers that drive the attempt themselves.

        :param call: call with an idempotency key and a service name
        """
        token = AttemptToken(secrets.token_hex(TOKEN_BYTES))
        attempt = ActionAttempt(
            call, owner=self._entry_id, token=token, started_ms=self._clock.now_ms()
        )
        attempt.may_have_run = self._table.may_have_run(attempt.key)
        self._table.add(attempt)
        return attempt

    def finish(self, attempt: ActionAttempt) -> None:
        """Unregister a finished attempt, and queue its unfinished write for :meth:`maintain`.

        :param attempt: attempt returned by :meth:`begin`
        """
        self._table.finish(attempt)
        if attempt.pending_write is not None:
            self._pending_writes.append(attempt.pending_write)

    def _run(
        self, call: ServiceCall, server_id: ServerId, service: PlainService, repeatable: bool
    ) -> ServiceReply:
        if repeatable:
            return self._run_repeatable(call, service)
        if not call.idempotency_key:
            return _send_unrecorded(call, service)
        if not call.service_name:
            raise InvalidRequestError(
                "a call with an idempotency key must name its service", step="action"
            )
        return self._run_recorded(call, service)

    def _run_repeatable(self, call: ServiceCall, service: PlainService) -> ServiceReply:
        deadline_ms = self._clock.now_ms() + call.timeout_ms
        attempts_left = MAX_REPEATABLE_ATTEMPTS
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
                    self._retry_budget.succeeded()
                return reply

    def _may_retry(self) -> bool:
        with self._lock:
            return self._retry_budget.try_spend()

    def _run_recorded(self, call: ServiceCall, service: PlainService) -> ServiceReply:
        attempt = self.begin(call)
        try:
            effect = attempt.start()
            while not isinstance(effect, Answer | Refuse):
                event = self._performer.perform(effect, service)
                effect = attempt.step(event, self._clock.now_ms())
        finally:
            self.finish(attempt)
        if isinstance(effect, Refuse):
            raise effect.error
        return effect.reply

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
        error.retry_after_ms = NOT_RUN_RETRY_AFTER_MS
        raise
