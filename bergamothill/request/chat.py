"""Chat completions: validates request bodies and builds response bodies."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from bergamothill.connection.engine import EventKind, StreamEvent
from bergamothill.errors import BergamothillError, InvalidRequestError
from bergamothill.ids import AdapterName, ModelName, RequestId

__all__ = [
    "ChatRequest",
    "ChunkEncoder",
    "Usage",
    "completion_body",
    "error_body",
    "parse_chat",
]

DEFAULT_MAX_TOKENS = 1_024
MAX_TOKENS = 131_072
MAX_MESSAGES = 10_000
ROLES = frozenset({"system", "developer", "user", "assistant", "tool"})
PART_TYPES = frozenset({"text", "image_url"})
_STEP = "request.parse"


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """Validated request for a chat completion.

    :param model: requested model
    :param adapter: adapter requested as ``model:adapter``; empty for none
    :param messages: chat messages as received
    :param max_tokens: maximum number of tokens to generate
    :param is_stream: whether the answer is requested as an event stream
    :param is_batch: whether the request may wait behind interactive requests
    :param deadline_ms: maximum time to the first token, in milliseconds; 0 for the default
    """

    model: ModelName
    adapter: AdapterName
    messages: tuple[Any, ...]
    max_tokens: int
    is_stream: bool
    is_batch: bool
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Usage:
    """Token usage of one answer.

    :param prompt_tokens: tokens of the prompt
    :param cached_tokens: prompt tokens that were not recomputed
    :param completion_tokens: generated tokens
    """

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int

    def as_json(self) -> dict[str, Any]:
        """Return the ``usage`` object of the JSON API."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }


def _invalid_request(message: str) -> InvalidRequestError:
    return InvalidRequestError(message, step=_STEP)


def _read_integer(document: dict[str, Any], key: str, default: int, maximum: int) -> int:
    value = document.get(key)
    if value is None:
        return default
    if type(value) is not int or not 1 <= value <= maximum:
        raise _invalid_request(f"{key} must be an integer from 1 to {maximum}")
    return value


def _check_part(part: Any, where: str) -> None:
    if not isinstance(part, dict) or part.get("type") not in PART_TYPES:
        raise _invalid_request(f"{where} must be a text or image_url part")
    if part["type"] == "text":
        if not isinstance(part.get("text"), str):
            raise _invalid_request(f"{where}.text must be a string")
        return
    image = part.get("image_url")
    if not isinstance(image, dict) or not isinstance(image.get("url"), str):
        raise _invalid_request(f"{where}.image_url.url must be a string")


def _check_message(message: Any, index: int) -> None:
    where = f"messages[{index}]"
    if not isinstance(message, dict) or message.get("role") not in ROLES:
        raise _invalid_request(f"{where}.role must be one of {', '.join(sorted(ROLES))}")
    content = message.get("content")
    if content is None or isinstance(content, str):
        return
    if not isinstance(content, list):
        raise _invalid_request(f"{where}.content must be a string or a list of parts")
    for position, part in enumerate(content):
        _check_part(part, f"{where}.content[{position}]")


def _model_and_adapter(value: Any) -> tuple[ModelName, AdapterName]:
    if not isinstance(value, str) or not value:
        raise _invalid_request("model must be a string")
    model, _, adapter = value.partition(":")
    return ModelName(model), AdapterName(adapter)


def parse_chat(body: bytes) -> ChatRequest:
    """Parse and validate the body of a chat completion request.

    :param body: request body
    :raises InvalidRequestError: the body is not a valid request
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise _invalid_request("the body is not valid JSON") from None
    if not isinstance(document, dict):
        raise _invalid_request("the body must be a JSON object")
    messages = document.get("messages")
    if not isinstance(messages, list) or not 0 < len(messages) <= MAX_MESSAGES:
        raise _invalid_request(f"messages must be a list of 1 to {MAX_MESSAGES} messages")
    for index, message in enumerate(messages):
        _check_message(message, index)
    if document.get("n") not in (None, 1):
        raise _invalid_request("n must be 1")
    stream = document.get("stream")
    if stream not in (None, True, False):
        raise _invalid_request("stream must be true or false")
    model, adapter = _model_and_adapter(document.get("model"))
    token_key = "max_completion_tokens" if "max_completion_tokens" in document else "max_tokens"
    return ChatRequest(
        model=model,
        adapter=adapter,
        messages=tuple(messages),
        max_tokens=_read_integer(document, token_key, DEFAULT_MAX_TOKENS, MAX_TOKENS),
        is_stream=bool(stream),
        is_batch=document.get("service_tier") == "batch",
        deadline_ms=_read_integer(document, "ttft_deadline_ms", 0, 3_600_000),
    )


def error_body(error: BergamothillError, request_id: RequestId) -> dict[str, Any]:
    """Return the JSON object of an error response.

    :param error: error to report; its peer is not revealed to callers
    :param request_id: id of the caller's request
    """
    return {
        "error": {
            "message": error.message,
            "type": error.code,
            "code": error.code,
            "param": None,
            "step": error.step,
            "execution": error.execution.value,
            "retry_after_ms": error.retry_after_ms,
            "request_id": request_id,
        }
    }


def completion_body(
    request_id: RequestId, model: str, created_s: int, text: str, finish_reason: str, usage: Usage
) -> dict[str, Any]:
    """Return the JSON object of a complete, non-streamed answer.

    :param created_s: creation time, in seconds since the epoch
    """
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": finish_reason}
    return {
        "id": request_id,
        "object": "chat.completion",
        "created": created_s,
        "model": model,
        "choices": [choice],
        "usage": usage.as_json(),
    }


class ChunkEncoder:
    """Encodes the events of one answer as server-sent events with JSON chunks.

    The constant parts are encoded once, because this is the hot path of every open stream.

    :param request_id: id of the caller's request
    :param model: model name as given by the caller
    :param created_s: creation time, in seconds since the epoch
    :param stream_token: token that identifies the stream at any entry instance
    """

    def __init__(
        self, request_id: RequestId, model: str, created_s: int, stream_token: str
    ) -> None:
        head = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "created": created_s,
            "model": model,
        }
        self._head = json.dumps(head)[:-1]
        self._id = f"id: {stream_token}."

    def encode(self, event: StreamEvent, usage: Usage | None = None) -> bytes:
        """Encode one event.

        :param event: START, TOKEN or END event
        :param usage: token usage of the answer, for the END event
        """
        if event.kind is EventKind.TOKEN:
            delta = f'{{"content": {json.dumps(event.text)}}}'
            return self._chunk(event.sequence, delta, "null", "")
        if event.kind is EventKind.START:
            return self._chunk(event.sequence, '{"role": "assistant", "content": ""}', "null", "")
        tail = f', "usage": {json.dumps(usage.as_json())}' if usage else ""
        chunk = self._chunk(event.sequence, "{}", json.dumps(event.finish_reason), tail)
        return chunk + b"data: [DONE]\n\n"

    def _chunk(self, sequence: int, delta: str, finish_reason: str, tail: str) -> bytes:
        choice = f'{{"index": 0, "delta": {delta}, "finish_reason": {finish_reason}}}'
        text = f'{self._id}{sequence}\ndata: {self._head}, "choices": [{choice}]{tail}}}\n\n'
        return text.encode()

    @staticmethod
    def encode_error(error: BergamothillError, request_id: RequestId) -> bytes:
        """Encode the event that ends a stream with an error."""
        return f"data: {json.dumps(error_body(error, request_id))}\n\n".encode()
