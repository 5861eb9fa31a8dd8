"""Handling of one chat completion: admission, run, answer sink and metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import contextmanager
from typing import Any

from werkzeug.wrappers import Request, Response

from bergamothill.errors import (
    BergamothillError,
)
from bergamothill.ids import (
    BrandName,
    RequestId,
    ServerId,
    StreamId,
)
from bergamothill.logs import EventLog
from bergamothill.process.answers import (
    AnswerRecord,
    CollectingSink,
    EventStreamSink,
    Headers,
    OpenResponse,
)
from bergamothill.process.chunkwriter import ChunkWriter
from bergamothill.process.frontend import json_response
from bergamothill.process.routedependencies import RouteDependencies
from bergamothill.request.chat import ChatRequest, ChunkEncoder, completion_body
from bergamothill.request.limits import RequestClass, Ticket
from bergamothill.request.runner import InferenceJob, InferenceRunner
from bergamothill.request.token import StreamToken
from bergamothill.version.block import BlockChain
from bergamothill.version.config import Configuration

__all__ = ["ChatAnswer", "stream_errors_as_events", "streamed_response_opener"]

MILLIS_PER_SECOND = 1_000
SOCKET_KEY = "werkzeug.socket"

_log = EventLog("callers")


class ChatAnswer:
    """Handling of one chat completion, from admission to the recording of its outcome.

    :param dependencies: dependencies from the process
    :param configuration: configuration in force at the arrival of the request
    :param request_id: id of the caller's request
    :param brand: brand that the request counts for
    :param chat: validated request
    :param chain: block chain of the prompt
    """

    def __init__(
        self,
        dependencies: RouteDependencies,
        configuration: Configuration,
        request_id: RequestId,
        brand: BrandName,
        chat: ChatRequest,
        chain: BlockChain,
    ) -> None:
        self._dependencies = dependencies
        self._configuration = configuration
        self._request_id = request_id
        self._brand = brand
        self._chat = chat
        self._chain = chain
        self._created_s = dependencies.clock.wall_ms() // MILLIS_PER_SECOND
        self._record = AnswerRecord(chain.prompt_tokens, dependencies.clock)

    def collect(self, arrived_ms: int) -> Response:
        """Run to completion and return the whole answer.

        :param arrived_ms: time at which the request arrived
        :raises BergamothillError: the request failed
        """
        sink = CollectingSink(self._record)
        self._run(sink, arrived_ms)
        body = completion_body(
            self._request_id,
            self._model_name(),
            self._created_s,
            sink.text,
            self._record.finish_reason,
            self._record.usage(),
        )
        return json_response(body)

    def stream(self, open_response: OpenResponse, arrived_ms: int) -> Iterable[bytes]:
        """Run and write the answer as it arrives.

        :param open_response: sends the response head and returns the writer of the body
        :param arrived_ms: time at which the request arrived
        :raises BergamothillError: the request failed before anything was written
        """
        sink = EventStreamSink(open_response, self._create_encoder, self._record, self._request_id)
        with stream_errors_as_events(sink):
            self._run(sink, arrived_ms)
        return ()

    def _run(self, sink: CollectingSink | EventStreamSink, arrived_ms: int) -> None:
        dependencies = self._dependencies
        deadline_ms = arrived_ms + self._timeout_ms()
        estimate = dependencies.placer.estimate_ttft(self._chain)
        ticket = self._admit(estimate.ttft_ms, estimate.queue_ms, deadline_ms)
        job = self._build_job(ticket, deadline_ms)
        runner = InferenceRunner(
            job,
            dependencies.placer,
            dependencies.retries,
            sink,
            dependencies.clock,
            dependencies.idle_timeout_ms,
        )
        try:
            runner.run()
        finally:
            with dependencies.admission_lock:
                dependencies.admission.release(ticket)
            returning_tokens = runner.placement.known_tokens if runner.placement else 0
            self._record_outcome(arrived_ms, returning_tokens)
        if runner.may_export:
            dependencies.placer.finished(job, runner.placement)

    def _admit(self, expected_ttft_ms: int, queue_ms: int, deadline_ms: int) -> Ticket:
        dependencies = self._dependencies
        request_class = RequestClass.BATCH if self._chat.is_batch else RequestClass.INTERACTIVE
        now_ms = dependencies.clock.now_ms()
        with dependencies.admission_lock:
            return dependencies.admission.admit(
                self._brand,
                request_class,
                expected_ttft_ms,
                deadline_ms - now_ms,
                now_ms,
                queue_ms=queue_ms,
                cost_tokens=self._chain.prompt_tokens,
            )

    def _build_job(self, ticket: Ticket, deadline_ms: int) -> InferenceJob:
        return InferenceJob(
            request_id=self._request_id,
            brand=self._brand,
            model=self._chain.model,
            adapter=self._chain.adapter,
            version=self._chain.weight_version,
            messages=self._chat.messages,
            chain=self._chain,
            max_tokens=self._chat.max_tokens,
            priority=ticket.priority,
            deadline_ms=deadline_ms,
        )

    def _timeout_ms(self) -> int:
        if self._chat.deadline_ms:
            return self._chat.deadline_ms
        return self._configuration.value_for(self._brand, "answer_timeout_ms")

    def _record_outcome(self, arrived_ms: int, returning_tokens: int) -> None:
        record = self._record
        ttft_ms = None
        if record.first_token_ms is not None:
            ttft_ms = record.first_token_ms - arrived_ms
            self._dependencies.metrics.timing("ttft", ttft_ms, self._brand)
        self._dependencies.recorder.record_request(
            self._brand,
            self._dependencies.zone,
            ttft_ms,
            max(0, returning_tokens - record.cached_tokens),
            returning_tokens,
            record.is_complete,
        )
        _log.info(
            "request_done",
            request_id=self._request_id,
            brand=self._brand,
            model=self._chain.model,
            complete=record.is_complete,
            ttft_ms=ttft_ms,
            prompt_tokens=record.prompt_tokens,
            cached_tokens=record.cached_tokens,
            completion_tokens=record.completion_tokens,
        )

    def _create_encoder(self, server: ServerId, stream_id: StreamId) -> ChunkEncoder:
        token = StreamToken(
            brand=self._brand,
            server=server,
            stream_id=stream_id,
            request_id=self._request_id,
            model=self._chain.model,
            weight_version=self._chain.weight_version,
            issued_ms=self._dependencies.clock.wall_ms(),
        )
        signed_token = self._dependencies.tokens.sign(token)
        return ChunkEncoder(self._request_id, self._model_name(), self._created_s, signed_token)

    def _model_name(self) -> str:
        adapter = self._chain.adapter
        return f"{self._chain.model}:{adapter}" if adapter else self._chain.model


@contextmanager
def stream_errors_as_events(sink: EventStreamSink):
    """Write an error as an event if the response has started; raise it otherwise."""
    try:
        yield
    except BergamothillError as error:
        if not sink.has_started:
            raise
        sink.fail(error)
    sink.finish()


def streamed_response_opener(request: Request, start_response: Callable[..., Any]) -> OpenResponse:
    """Return the function that sends the head of a streamed response."""

    def open_response(headers: Headers) -> ChunkWriter:
        start_response("200 OK", headers)(b"")
        return ChunkWriter(request.environ[SOCKET_KEY])

    return open_response
