"""Callers' routes: chat completions, resumption of streams, models and plain services."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from werkzeug.wrappers import Request, Response

from bergamothill.clock import Clock
from bergamothill.connection.engine import ModelEngine
from bergamothill.connection.service import PlainService, ServiceCall
from bergamothill.errors import (
    BergamothillError,
    InvalidRequestError,
    NotFoundError,
    PermissionDeniedError,
    UnavailableError,
)
from bergamothill.ids import (
    BrandName,
    IdempotencyKey,
    RequestId,
    ServerId,
    ServiceName,
    StreamId,
    ZoneName,
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
from bergamothill.process.frontend import Frontend, Streamed, json_response
from bergamothill.process.metrics import Recorder, StatsdMetrics
from bergamothill.request.action import ActionRunner
from bergamothill.request.auth import BrandIndex
from bergamothill.request.chat import ChatRequest, ChunkEncoder, completion_body, parse_chat
from bergamothill.request.limits import Admission, RequestClass, Ticket
from bergamothill.request.placement import EnginePlacer
from bergamothill.request.retry import RetryBudget
from bergamothill.request.runner import InferenceJob, InferenceRunner, resume_stream
from bergamothill.request.token import StreamToken, StreamTokens
from bergamothill.version.block import BlockChain, chain_blocks
from bergamothill.version.config import Configuration, ModelConfig
from bergamothill.version.weights import pin_version

__all__ = ["CallerRoutes", "Serving"]

MILLIS_PER_SECOND = 1_000
RETRY_AFTER_MS = 1_000
SERVICE_TIMEOUT_MS = 30_000
LAST_EVENT_ID = "Last-Event-ID"
SOCKET_KEY = "werkzeug.socket"
IDEMPOTENCY_KEY = "Idempotency-Key"
MAX_IDEMPOTENCY_KEY_LENGTH = 255

_log = EventLog("callers")


@dataclass(frozen=True, slots=True)
class Serving:
    """What the callers' routes need from the process.

    :param clock: source of time
    :param zone: availability zone of this entry instance
    :param brand_index: returns the brands of the configuration in force
    :param placer: chooses engines
    :param admission: limits of the brands
    :param admission_lock: guards ``admission``
    :param retries: budget for attempts after the first
    :param tokens: signs stream tokens
    :param actions: runs calls that may not be repeated
    :param engine_for: returns the client of an engine
    :param service_for: returns a server of a plain service and its client
    :param recorder: records the outcome of requests
    :param metrics: counts requests
    :param idle_timeout_ms: longest silence of an engine in mid-stream
    """

    clock: Clock
    zone: ZoneName
    brand_index: Callable[[], BrandIndex]
    placer: EnginePlacer
    admission: Admission
    admission_lock: threading.Lock
    retries: RetryBudget
    tokens: StreamTokens
    actions: ActionRunner
    engine_for: Callable[[ServerId], ModelEngine]
    service_for: Callable[[ServiceName], tuple[ServerId, PlainService]]
    recorder: Recorder
    metrics: StatsdMetrics
    idle_timeout_ms: int


class CallerRoutes:
    """Views of the callers' routes.

    :param serving: what they need from the process
    """

    def __init__(self, serving: Serving) -> None:
        self._serving = serving

    def add_to(self, frontend: Frontend, guard: Callable[[Any], Any]) -> None:
        """Add the routes.

        :param frontend: takes the routes
        :param guard: wraps each view that takes new work, to count it and to refuse it in a drain
        """
        frontend.route("/v1/chat/completions", guard(self.chat), ("POST",))
        frontend.route("/v1/models", self.models, ("GET",))
        frontend.route("/v1/streams", guard(self.resume), ("GET",))
        frontend.route("/v1/streams", self.cancel, ("DELETE",))
        methods = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
        frontend.route("/v1/services/<service>/<path:path>", guard(self.service), methods)

    def models(self, request: Request, request_id: RequestId) -> Response:
        """List the models that the brand may use."""
        index = self._serving.brand_index()
        brand = index.authenticate(request.headers.get("Authorization"))
        names = sorted(index.configuration.brands[brand].models)
        data = [{"id": name, "object": "model", "owned_by": "bergamothill"} for name in names]
        return json_response({"object": "list", "data": data})

    def chat(self, request: Request, request_id: RequestId) -> Response | Streamed:
        """Answer a chat completion, whole or as a stream of events."""
        arrived_ms = self._serving.clock.now_ms()
        index = self._serving.brand_index()
        brand = index.authenticate(request.headers.get("Authorization"))
        chat = parse_chat(request.get_data())
        model = _permitted_model(index.configuration, brand, chat)
        version = pin_version(index.configuration, model.name)
        chain = chain_blocks(brand, model.name, chat.adapter, version, chat.messages)
        answer = _ChatAnswer(self._serving, index.configuration, request_id, brand, chat, chain)
        if chat.is_stream:
            return lambda start_response: answer.stream(
                _response_opener(request, start_response), arrived_ms
            )
        return answer.collect(arrived_ms)

    def resume(self, request: Request, request_id: RequestId) -> Streamed:
        """Deliver the rest of a stream, named by the standard ``Last-Event-ID`` header."""
        brand = self._serving.brand_index().authenticate(request.headers.get("Authorization"))
        text = request.headers.get(LAST_EVENT_ID, "")
        token, after = self._checked_token(text, brand)
        token_text = text.rpartition(".")[0]
        engine = self._serving.engine_for(token.server)
        _log.info("resume_asked", request_id=token.request_id, brand=brand, after=after)

        def answer(start_response: Callable[..., Any]) -> Iterable[bytes]:
            encoder = ChunkEncoder(
                token.request_id, token.model, token.issued_ms // MILLIS_PER_SECOND, token_text
            )
            record = AnswerRecord(0, self._serving.clock)
            opener = _response_opener(request, start_response)
            sink = EventStreamSink(opener, lambda *_: encoder, record, token.request_id)
            with _typed_end(sink):
                resume_stream(
                    engine,
                    token.weight_version,
                    token.server,
                    token.stream_id,
                    after,
                    sink,
                    self._serving.clock,
                    self._serving.idle_timeout_ms,
                )
            return ()

        return answer

    def cancel(self, request: Request, request_id: RequestId) -> Response:
        """Stop a run, named by the ``Last-Event-ID`` header."""
        brand = self._serving.brand_index().authenticate(request.headers.get("Authorization"))
        token, _ = self._checked_token(request.headers.get(LAST_EVENT_ID, ""), brand)
        self._serving.engine_for(token.server).cancel(token.stream_id)
        return Response(status=204)

    def service(self, request: Request, request_id: RequestId, service: str, path: str) -> Response:
        """Pass a call on to a plain service."""
        index = self._serving.brand_index()
        brand = index.authenticate(request.headers.get("Authorization"))
        name = ServiceName(service)
        config = index.configuration.services.get(name)
        if config is None or name not in index.configuration.brands[brand].services:
            raise NotFoundError(f"no service {service}", step="service.permission")
        call = ServiceCall(
            request_id=request_id,
            brand=brand,
            method=request.method,
            path=_with_query(path, request),
            body=request.get_data(),
            content_type=request.content_type or "application/octet-stream",
            idempotency_key=_idempotency_key(request),
            timeout_ms=SERVICE_TIMEOUT_MS,
            service_name=name,
        )
        server, client = self._serving.service_for(name)
        repeatable = request.method in config.repeatable_methods
        reply = self._serving.actions.run(call, server, client, repeatable=repeatable)
        return Response(reply.body, reply.status, content_type=reply.content_type)

    def _checked_token(self, event_id: str, brand: BrandName) -> tuple[StreamToken, int]:
        text, separator, position = event_id.rpartition(".")
        if not separator or not position.isdecimal():
            raise InvalidRequestError("Last-Event-ID names no event", step="stream.token")
        return self._serving.tokens.check(text, brand), int(position)


class _ChatAnswer:
    """One chat completion from admission to its record."""

    def __init__(
        self,
        serving: Serving,
        configuration: Configuration,
        request_id: RequestId,
        brand: BrandName,
        chat: ChatRequest,
        chain: BlockChain,
    ) -> None:
        self._serving = serving
        self._configuration = configuration
        self._request_id = request_id
        self._brand = brand
        self._chat = chat
        self._chain = chain
        self._created_s = serving.clock.wall_ms() // MILLIS_PER_SECOND
        self._record = AnswerRecord(chain.prompt_tokens, serving.clock)

    def collect(self, arrived_ms: int) -> Response:
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
        sink = EventStreamSink(open_response, self._encoder, self._record, self._request_id)
        with _typed_end(sink):
            self._run(sink, arrived_ms)
        return ()

    def _run(self, sink: CollectingSink | EventStreamSink, arrived_ms: int) -> None:
        serving = self._serving
        deadline_ms = arrived_ms + self._deadline_after_ms()
        expected = serving.placer.expect(self._chain)
        ticket = self._admit(expected.ttft_ms, expected.queue_ms, deadline_ms)
        job = self._job(ticket, deadline_ms)
        runner = InferenceRunner(
            job, serving.placer, serving.retries, sink, serving.clock, serving.idle_timeout_ms
        )
        try:
            runner.run()
        finally:
            with serving.admission_lock:
                serving.admission.release(ticket)
            known = runner.placement.known_tokens if runner.placement else 0
            self._note_outcome(arrived_ms, known)
        if runner.may_export:
            serving.placer.finished(job, runner.placement)

    def _admit(self, expected_ttft_ms: int, queue_ms: int, deadline_ms: int) -> Ticket:
        serving = self._serving
        kind = RequestClass.BATCH if self._chat.is_batch else RequestClass.INTERACTIVE
        now_ms = serving.clock.now_ms()
        with serving.admission_lock:
            return serving.admission.admit(
                self._brand,
                kind,
                expected_ttft_ms,
                deadline_ms - now_ms,
                now_ms,
                queue_ms=queue_ms,
                cost_tokens=self._chain.prompt_tokens,
            )

    def _job(self, ticket: Ticket, deadline_ms: int) -> InferenceJob:
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

    def _deadline_after_ms(self) -> int:
        if self._chat.deadline_ms:
            return self._chat.deadline_ms
        return self._configuration.value_for(self._brand, "answer_timeout_ms")

    def _note_outcome(self, arrived_ms: int, returning_tokens: int) -> None:
        record = self._record
        ttft_ms = None
        if record.first_token_ms is not None:
            ttft_ms = record.first_token_ms - arrived_ms
            self._serving.metrics.timing("ttft", ttft_ms, self._brand)
        self._serving.recorder.request(
            self._brand,
            self._serving.zone,
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

    def _encoder(self, server: ServerId, stream_id: StreamId) -> ChunkEncoder:
        token = StreamToken(
            brand=self._brand,
            server=server,
            stream_id=stream_id,
            request_id=self._request_id,
            model=self._chain.model,
            weight_version=self._chain.weight_version,
            issued_ms=self._serving.clock.wall_ms(),
        )
        text = self._serving.tokens.sign(token)
        return ChunkEncoder(self._request_id, self._model_name(), self._created_s, text)

    def _model_name(self) -> str:
        adapter = self._chain.adapter
        return f"{self._chain.model}:{adapter}" if adapter else self._chain.model


@contextmanager
def _typed_end(sink: EventStreamSink):
    """Turn an error after the first byte into an error event; an earlier one passes on."""
    try:
        yield
    except BergamothillError as error:
        if not sink.has_begun:
            raise
        sink.fail(error)
    sink.finish()


def _response_opener(request: Request, start_response: Callable[..., Any]) -> OpenResponse:
    """Return the function that sends the header of a streamed response."""

    def open_response(headers: Headers) -> ChunkWriter:
        start_response("200 OK", headers)(b"")
        return ChunkWriter(request.environ[SOCKET_KEY])

    return open_response


def _permitted_model(
    configuration: Configuration, brand: BrandName, chat: ChatRequest
) -> ModelConfig:
    """Return the model that a request names, if the brand may use it.

    :raises PermissionDeniedError: the brand may not use the model or adapter
    :raises UnavailableError: the model has no weight version in force
    """
    config = configuration.brands[brand]
    model = configuration.models.get(chat.model)
    if model is None or chat.model not in config.models:
        raise PermissionDeniedError(f"no model {chat.model}", step="model.permission")
    if chat.adapter and f"{chat.model}:{chat.adapter}" not in config.adapters:
        raise PermissionDeniedError(f"no adapter {chat.adapter}", step="model.permission")
    if not model.current:
        raise UnavailableError(
            f"model {chat.model} has no weight version",
            step="model.version",
            retry_after_ms=RETRY_AFTER_MS,
        )
    return model


def _idempotency_key(request: Request) -> IdempotencyKey:
    key = request.headers.get(IDEMPOTENCY_KEY, "")
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        raise InvalidRequestError(
            f"{IDEMPOTENCY_KEY} is longer than {MAX_IDEMPOTENCY_KEY_LENGTH} characters",
            step="service.key",
        )
    return IdempotencyKey(key)


def _with_query(path: str, request: Request) -> str:
    query = request.query_string.decode("latin-1")
    return f"{path}?{query}" if query else path
