"""Calls to plain services that run at most once: carries out what an attempt decides."""

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

REPEATABLE_ATTEMPTS = 2
NOT_RUN_RETRY_MS = 1_000
MAX_LOOSE_ENDS = 1_000
LOOSE_ENDS_AT_A_TIME = 5
TOKEN_BYTES = 16

_log = EventLog("action")


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
        self._clock = clock
        self._entry_id = entry_id
        self._metrics = metrics
        self._retries = RetryBudget()
        self._table = ActionTable()
        self._performer = ActionPerformer(kvs, bus, clock, entry_id, self._table)
        self._loose_ends: deque[ReleaseClaim | WriteCompletion] = deque(maxlen=MAX_LOOSE_ENDS)
        self._lock = threading.Lock()

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
            if not self._performer.settle(loose_end):
                self._loose_ends.append(loose_end)
                return

    @property
    def performer(self) -> ActionPerformer:
        """Carries out the effects of an attempt, for embedders that take its steps themselves."""
        return self._performer

    def begin(self, call: ServiceCall) -> ActionAttempt:
        """Return a new attempt, for embedders that take its steps themselves.

        :param call: call with an idempotency key that names its service
        """
        token = AttemptToken(secrets.token_hex(TOKEN_BYTES))
        attempt = ActionAttempt(
            call, owner=self._entry_id, token=token, started_ms=self._clock.now_ms()
        )
        attempt.may_have_run = self._table.may_have_run(attempt.key)
        self._table.add(attempt)
        return attempt

    def finish(self, attempt: ActionAttempt) -> None:
        """Remember an attempt that ended.

        :param attempt: attempt from :meth:`begin`
        """
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
        error.retry_after_ms = NOT_RUN_RETRY_MS
        raise
