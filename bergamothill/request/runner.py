"""Runner of one inference: performs the effects of its state machine."""

from __future__ import annotations

import threading
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Protocol

from bergamothill.clock import Clock
from bergamothill.connection.engine import EventKind, InferenceRun, ModelEngine, StreamEvent
from bergamothill.errors import BergamothillError, Execution, UnavailableError
from bergamothill.ids import (
    AdapterName,
    BrandName,
    Generation,
    ModelName,
    RequestId,
    ServerId,
    StreamId,
    WeightVersion,
)
from bergamothill.logs import EventLog
from bergamothill.request.inference import (
    Closed,
    Effect,
    Failed,
    Finished,
    InferenceMachine,
    Place,
    Placed,
    Refused,
    Resume,
    Send,
    Unplaceable,
)
from bergamothill.request.retry import RetryBudget
from bergamothill.version.block import BlockChain

__all__ = ["AnswerSink", "InferenceJob", "InferenceRunner", "Placement", "Placer"]

RETRY_AFTER_MS = 1_000

_log = EventLog("inference")


@dataclass(frozen=True, slots=True)
class InferenceJob:
    """Parameters of one inference, fixed at admission.

    :param request_id: id of the caller's request
    :param brand: brand that is charged
    :param model: model to run
    :param adapter: adapter to apply; empty for none
    :param version: weight version pinned for the run
    :param messages: chat messages
    :param chain: blocks of the prompt
    :param max_tokens: maximum number of tokens to generate
    :param priority: priority at the engine; lower runs first
    :param deadline_ms: deadline of the first token, on this process's clock, in milliseconds
    """

    request_id: RequestId
    brand: BrandName
    model: ModelName
    adapter: AdapterName
    version: WeightVersion
    messages: tuple[object, ...]
    chain: BlockChain
    max_tokens: int
    priority: int
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Placement:
    """Backend server chosen for a run.

    :param server: backend server
    :param engine: client of the server
    :param imported: generations imported for the run and confirmed
    :param known_tokens: leading tokens of the prompt that an engine or a store had
    :param stored_blocks: leading blocks of the prompt that stores had
    :param expected_ttft_ms: expected time to first token, in milliseconds
    """

    server: ServerId
    engine: ModelEngine
    imported: tuple[Generation, ...]
    known_tokens: int
    stored_blocks: int
    expected_ttft_ms: int


class Placer(Protocol):
    """Chooses backend servers and prepares them for runs."""

    def place(self, job: InferenceJob, tried: tuple[ServerId, ...]) -> Placement:
        """Choose a server and restore the prompt's prefix there.

        :param job: inference to place
        :param tried: servers to exclude
        :raises UnavailableError: no server can take the run
        """

    def confirm(self, server: ServerId) -> None:
        """Check, right before a send, that the server accepts new work.

        :raises UnavailableError: the server is leaving, or its last known state is too old
        """

    def failed(self, server: ServerId, error: BergamothillError) -> None:
        """Update the known state of a server after a failed exchange."""

    def record_run_start(self, server: ServerId, job: InferenceJob, start: StreamEvent) -> None:
        """Update the known cache contents from the first event of a run."""


class AnswerSink(Protocol):
    """Receives the events of an answer, in order and exactly once."""

    def deliver(
        self, events: tuple[StreamEvent, ...], server: ServerId, stream_id: StreamId
    ) -> None:
        """Pass events on to the caller."""


class InferenceRunner:
    """Runs one inference to completion in the calling thread.

    :param job: inference to run
    :param placer: chooses backend servers
    :param retries: retry budget for attempts after the first
    :param sink: receives the answer
    :param clock: time source
    :param idle_timeout_ms: maximum time between two events of an engine, in milliseconds
    """

    def __init__(
        self,
        job: InferenceJob,
        placer: Placer,
        retries: RetryBudget,
        sink: AnswerSink,
        clock: Clock,
        idle_timeout_ms: int,
    ) -> None:
        self._job = job
        self._placer = placer
        self._retries = retries
        self._sink = sink
        self._clock = clock
        self._idle_timeout_ms = idle_timeout_ms
        self._machine = InferenceMachine(job.version)
        self._placement: Placement | None = None

    @property
    def placement(self) -> Placement | None:
        """Placement of the last attempt; None if there was none."""
        return self._placement

    @property
    def may_export(self) -> bool:
        """Whether the blocks of the prompt may be stored under their keys."""
        return self._machine.may_export(self._job.chain)

    def run(self) -> None:
        """Run until the answer is complete.

        :raises BergamothillError: final error; its ``execution`` holds for the whole request
        """
        effect = self._machine.begin()
        while not isinstance(effect, Finished | Failed):
            effect = self._perform(effect)
        if isinstance(effect, Failed):
            raise effect.error
        self._retries.succeeded()

    @singledispatchmethod
    def _perform(self, effect: object) -> Effect:
        raise TypeError(f"unknown effect {effect!r}")

    @_perform.register
    def _(self, effect: Place) -> Effect:
        if effect.tried and not self._retries.try_spend():
            budget_error = UnavailableError(
                "the retry budget is used up", step="retry", retry_after_ms=RETRY_AFTER_MS
            )
            return self._machine.handle(Unplaceable(budget_error))
        try:
            self._placement = self._placer.place(self._job, effect.tried)
        except BergamothillError as error:
            return self._machine.handle(Unplaceable(error))
        stream_id = StreamId(uuid.uuid4().hex)
        return self._machine.handle(Placed(self._placement.server, stream_id))

    @_perform.register
    def _(self, effect: Send) -> Effect:
        placement = self._placement
        run = self._build_run(effect.stream_id, placement.imported)

        def send() -> None:
            self._placer.confirm(effect.server)
            self._machine.mark_sending()
            placement.engine.run(
                run,
                lambda event: self._receive(event, effect.server, effect.stream_id),
                idle_timeout_ms=self._idle_timeout_ms + 2 * placement.expected_ttft_ms,
            )

        return self._exchange(send, effect.server, effect.stream_id)

    @_perform.register
    def _(self, effect: Resume) -> Effect:
        engine = self._placement.engine
        self._clock.sleep_ms(effect.pause_ms)
        _log.info(
            "stream_resumed",
            request_id=self._job.request_id,
            server=effect.server,
            after=effect.after,
        )
        return self._exchange(
            lambda: engine.resume(
                effect.stream_id,
                effect.after,
                lambda event: self._receive(event, effect.server, effect.stream_id),
                idle_timeout_ms=self._idle_timeout_ms,
            ),
            effect.server,
            effect.stream_id,
        )

    def _exchange(self, call: Callable[[], None], server: ServerId, stream_id: StreamId) -> Effect:
        try:
            call()
        except BergamothillError as error:
            _log.warning(
                "attempt_failed",
                request_id=self._job.request_id,
                brand=self._job.brand,
                server=server,
                code=error.code,
                step=error.step,
                execution=error.execution.value,
            )
            self._placer.failed(server, error)
            effect = self._machine.handle(Refused(error))
            # A run whose stream token was delivered is not cancelled; the caller may resume it.
            if error.execution is Execution.UNKNOWN and not self._machine.has_delivered:
                _cancel_in_background(self._placement.engine, stream_id)
            return effect
        return self._machine.handle(Closed())

    def _receive(self, event: StreamEvent, server: ServerId, stream_id: StreamId) -> None:
        ready = self._machine.receive(event, stream_id)
        if event.kind is EventKind.START:
            self._placer.record_run_start(server, self._job, event)
        if ready:
            self._sink.deliver(ready, server, stream_id)

    def _build_run(self, stream_id: StreamId, imported: tuple[Generation, ...]) -> InferenceRun:
        job = self._job
        return InferenceRun(
            request_id=job.request_id,
            stream_id=stream_id,
            brand=job.brand,
            model=job.model,
            adapter=job.adapter,
            weight_version=job.version,
            messages=job.messages,
            block_keys=job.chain.keys,
            prompt_tokens=job.chain.prompt_tokens,
            max_tokens=job.max_tokens,
            deadline_ms=max(1, job.deadline_ms - self._clock.now_ms()),
            priority=job.priority,
            imported=imported,
        )


def resume_stream(
    engine: ModelEngine,
    version: WeightVersion,
    server: ServerId,
    stream_id: StreamId,
    after: int,
    sink: AnswerSink,
    clock: Clock,
    idle_timeout_ms: int,
) -> None:
    """Deliver the rest of a stream that was started on another connection of the caller.

    :param engine: engine that has the stream
    :param version: weight version pinned for the run
    :param server: id of that engine's backend server
    :param stream_id: stream to resume
    :param after: last sequence number that the caller has
    :param sink: receives the rest
    :param clock: time source
    :param idle_timeout_ms: maximum time between two events of the engine, in milliseconds
    :raises BergamothillError: the stream cannot be completed
    """
    machine = InferenceMachine.resuming(version, server, stream_id, after)
    effect = machine.begin()

    def receive(event: StreamEvent) -> None:
        ready = machine.receive(event, stream_id)
        if ready:
            sink.deliver(ready, server, stream_id)

    while isinstance(effect, Resume):
        clock.sleep_ms(effect.pause_ms)
        try:
            engine.resume(stream_id, effect.after, receive, idle_timeout_ms=idle_timeout_ms)
        except BergamothillError as error:
            effect = machine.handle(Refused(error))
        else:
            effect = machine.handle(Closed())
    if isinstance(effect, Failed):
        raise effect.error


def _cancel_in_background(engine: ModelEngine, stream_id: StreamId) -> None:
    """Cancel an abandoned run at the engine without blocking the caller."""

    def cancel() -> None:
        try:
            engine.cancel(stream_id)
        except BergamothillError as error:
            _log.info("cancel_failed", stream_id=stream_id, peer=error.peer, step=error.step)

    threading.Thread(target=cancel, name="cancel", daemon=True).start()
