"""HTTP routes for callers: chat completions, stream resumption, models and plain services."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from werkzeug.wrappers import Request, Response

from bergamothill.connection.service import ServiceCall
from bergamothill.errors import (
    InvalidRequestError,
    NotFoundError,
    PermissionDeniedError,
    UnavailableError,
)
from bergamothill.ids import (
    BrandName,
    IdempotencyKey,
    RequestId,
    ServiceName,
)
from bergamothill.logs import EventLog
from bergamothill.process.answers import (
    AnswerRecord,
    EventStreamSink,
)
from bergamothill.process.chatanswer import (
    ChatAnswer,
    stream_errors_as_events,
    streamed_response_opener,
)
from bergamothill.process.frontend import Frontend, StreamedResponse, json_response
from bergamothill.process.routedependencies import RouteDependencies
from bergamothill.request.chat import ChatRequest, ChunkEncoder, parse_chat
from bergamothill.request.runner import resume_stream
from bergamothill.request.token import StreamToken
from bergamothill.version.block import chain_blocks
from bergamothill.version.config import Configuration, ModelConfig
from bergamothill.version.weights import pin_version

__all__ = ["CallerRoutes"]

MILLIS_PER_SECOND = 1_000
RETRY_AFTER_MS = 1_000
SERVICE_TIMEOUT_MS = 30_000
LAST_EVENT_ID = "Last-Event-ID"
IDEMPOTENCY_KEY = "Idempotency-Key"
MAX_IDEMPOTENCY_KEY_LENGTH = 255

_log = EventLog("callers")


class CallerRoutes:
    """Views for the caller routes.

    :param dependencies: dependencies of the views
    """

    def __init__(self, dependencies: RouteDependencies) -> None:
        self._dependencies = dependencies

    def add_to(self, frontend: Frontend, guard: Callable[[Any], Any]) -> None:
        """Add the routes.

        :param frontend: application to add the routes to
        :param guard: wraps each view that starts work, to count it and to refuse it during a drain
        """
        frontend.route("/v1/chat/completions", guard(self.chat), ("POST",))
        frontend.route("/v1/models", self.models, ("GET",))
        frontend.route("/v1/streams", guard(self.resume), ("GET",))
        frontend.route("/v1/streams", self.cancel, ("DELETE",))
        methods = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
        frontend.route("/v1/services/<service>/<path:path>", guard(self.service), methods)

    def models(self, request: Request, request_id: RequestId) -> Response:
        """List the models that the brand may use."""
        brand_index = self._dependencies.brand_index()
        brand = brand_index.authenticate(request.headers.get("Authorization"))
        names = sorted(brand_index.configuration.brands[brand].models)
        data = [{"id": name, "object": "model", "owned_by": "bergamothill"} for name in names]
        return json_response({"object": "list", "data": data})

    def chat(self, request: Request, request_id: RequestId) -> Response | StreamedResponse:
        """Answer a chat completion as one body or as an event stream."""
        arrived_ms = self._dependencies.clock.now_ms()
        brand_index = self._dependencies.brand_index()
        brand = brand_index.authenticate(request.headers.get("Authorization"))
        chat = parse_chat(request.get_data())
        model = _authorize_model(brand_index.configuration, brand, chat)
        version = pin_version(brand_index.configuration, model.name)
        chain = chain_blocks(brand, model.name, chat.adapter, version, chat.messages)
        answer = ChatAnswer(
            self._dependencies, brand_index.configuration, request_id, brand, chat, chain
        )
        if chat.is_stream:
            return lambda start_response: answer.stream(
                streamed_response_opener(request, start_response), arrived_ms
            )
        return answer.collect(arrived_ms)

    def resume(self, request: Request, request_id: RequestId) -> StreamedResponse:
        """Resume a stream after the event named by the ``Last-Event-ID`` header."""
        brand = self._dependencies.brand_index().authenticate(request.headers.get("Authorization"))
        event_id = request.headers.get(LAST_EVENT_ID, "")
        token, after = self._verify_event_id(event_id, brand)
        token_text = event_id.rpartition(".")[0]
        engine = self._dependencies.engine_for(token.server)
        _log.info("resume_requested", request_id=token.request_id, brand=brand, after=after)

        def answer(start_response: Callable[..., Any]) -> Iterable[bytes]:
            encoder = ChunkEncoder(
                token.request_id, token.model, token.issued_ms // MILLIS_PER_SECOND, token_text
            )
            record = AnswerRecord(0, self._dependencies.clock)
            open_response = streamed_response_opener(request, start_response)
            sink = EventStreamSink(open_response, lambda *_: encoder, record, token.request_id)
            with stream_errors_as_events(sink):
                resume_stream(
                    engine,
                    token.weight_version,
                    token.server,
                    token.stream_id,
                    after,
                    sink,
                    self._dependencies.clock,
                    self._dependencies.idle_timeout_ms,
                )
            return ()

        return answer

    def cancel(self, request: Request, request_id: RequestId) -> Response:
        """Cancel the generation of the stream named by the ``Last-Event-ID`` header."""
        brand = self._dependencies.brand_index().authenticate(request.headers.get("Authorization"))
        token, _ = self._verify_event_id(request.headers.get(LAST_EVENT_ID, ""), brand)
        self._dependencies.engine_for(token.server).cancel(token.stream_id)
        return Response(status=204)

    def service(self, request: Request, request_id: RequestId, service: str, path: str) -> Response:
        """Forward a call to a plain service."""
        brand_index = self._dependencies.brand_index()
        brand = brand_index.authenticate(request.headers.get("Authorization"))
        name = ServiceName(service)
        config = brand_index.configuration.services.get(name)
        if config is None or name not in brand_index.configuration.brands[brand].services:
            raise NotFoundError(f"no service {service}", step="service.permission")
        call = ServiceCall(
            request_id=request_id,
            brand=brand,
            method=request.method,
            path=_path_with_query(path, request),
            body=request.get_data(),
            content_type=request.content_type or "application/octet-stream",
            idempotency_key=_read_idempotency_key(request),
            timeout_ms=SERVICE_TIMEOUT_MS,
            service_name=name,
        )
        server, client = self._dependencies.service_for(name)
        repeatable = request.method in config.repeatable_methods
        reply = self._dependencies.actions.run(call, server, client, repeatable=repeatable)
        return Response(reply.body, reply.status, content_type=reply.content_type)

    def _verify_event_id(self, event_id: str, brand: BrandName) -> tuple[StreamToken, int]:
        token_text, separator, event_number = event_id.rpartition(".")
        if not separator or not event_number.isdecimal():
            raise InvalidRequestError("Last-Event-ID names no event", step="stream.token")
        return self._dependencies.tokens.check(token_text, brand), int(event_number)


def _authorize_model(
    configuration: Configuration, brand: BrandName, chat: ChatRequest
) -> ModelConfig:
    """Return the requested model if the brand may use it.

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


def _read_idempotency_key(request: Request) -> IdempotencyKey:
    key = request.headers.get(IDEMPOTENCY_KEY, "")
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        raise InvalidRequestError(
            f"{IDEMPOTENCY_KEY} is longer than {MAX_IDEMPOTENCY_KEY_LENGTH} characters",
            step="service.key",
        )
    return IdempotencyKey(key)


def _path_with_query(path: str, request: Request) -> str:
    query = request.query_string.decode("latin-1")
    return f"{path}?{query}" if query else path
