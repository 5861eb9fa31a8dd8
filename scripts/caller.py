"""Client of an entry instance, for the demo, the benchmarks and the tests."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from bergamothill.connection.http import HttpClient, HttpReply
from bergamothill.connection.sse import SseParser

__all__ = ["Answer", "Caller"]

TIMEOUT_MS = 60_000
IDLE_TIMEOUT_MS = 15_000
MILLIS_PER_SECOND = 1_000


@dataclass(slots=True)
class Answer:
    """A streamed answer as received by a caller.

    :param status: HTTP status
    :param text: text received
    :param ttft_ms: time to first token, in milliseconds; 0 if no token was received
    :param cached_tokens: prompt tokens that were not recomputed
    :param prompt_tokens: tokens of the prompt
    :param event_ids: ids of the events, in order
    :param is_whole: the end of the answer was received
    :param error: error object from the body or the stream
    """

    status: int = 0
    text: str = ""
    ttft_ms: int = 0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    event_ids: list[str] = field(default_factory=list)
    is_whole: bool = False
    error: dict[str, Any] = field(default_factory=dict)


class Caller:
    """Client of one entry instance that authenticates with one bearer key.

    :param address: ``host:port`` of the entry instance
    :param key: bearer key
    """

    def __init__(self, address: str, key: str) -> None:
        self._client = HttpClient("entry", address)
        self._headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}

    def request(
        self, method: str, path: str, body: bytes | None = None, **headers: str
    ) -> HttpReply:
        """Send a request over a new connection and return the reply."""
        header_fields = {name.replace("_", "-"): value for name, value in headers.items()}
        return self._client.request(
            method,
            path,
            step="call",
            timeout_ms=TIMEOUT_MS,
            body=body,
            headers={**self._headers, **header_fields},
            new_connection=True,
        )

    def chat(
        self,
        messages: list[Any],
        *,
        model: str = "manual",
        max_tokens: int = 32,
        on_event: Callable[[Answer], None] | None = None,
    ) -> Answer:
        """Request a streamed chat completion.

        :param on_event: called after each event, in the reading thread
        """
        payload = {
            "model": model,
            "messages": messages,
            "stream": True,
            "max_tokens": max_tokens,
        }
        body = json.dumps(payload).encode()
        return self._stream("POST", "/v1/chat/completions", body, {}, on_event)

    def resume(self, last_event_id: str) -> Answer:
        """Resume a stream after the event with an id."""
        return self._stream("GET", "/v1/streams", None, {"Last-Event-ID": last_event_id}, None)

    def _stream(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        on_event: Callable[[Answer], None] | None,
    ) -> Answer:
        answer = Answer()
        parser = SseParser()
        started = time.monotonic()

        def feed_chunk(chunk: bytes) -> None:
            for event in parser.feed(chunk):
                _apply_event(answer, event, started)
                if on_event is not None:
                    on_event(answer)

        reply = self._client.stream(
            method,
            path,
            step="call",
            on_chunk=feed_chunk,
            idle_timeout_ms=IDLE_TIMEOUT_MS,
            body=body,
            headers={**self._headers, **headers},
        )
        answer.status = reply.status
        if reply.status != 200:
            answer.error = json.loads(reply.body)["error"]
        return answer


def _apply_event(answer: Answer, event: Any, started: float) -> None:
    if event.event_id:
        answer.event_ids.append(event.event_id)
    if event.data == "[DONE]":
        answer.is_whole = True
        return
    payload = json.loads(event.data)
    if "error" in payload:
        answer.error = payload["error"]
        return
    choice = payload["choices"][0]
    text = choice["delta"].get("content", "")
    if text and not answer.ttft_ms:
        answer.ttft_ms = max(1, round((time.monotonic() - started) * MILLIS_PER_SECOND))
    answer.text += text
    usage = payload.get("usage")
    if usage:
        answer.cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]
        answer.prompt_tokens = usage["prompt_tokens"]
