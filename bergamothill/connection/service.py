"""Plain service beside the model engines: interface and records."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote

from bergamothill.connection.http import HttpClient
from bergamothill.ids import BrandName, IdempotencyKey, RequestId, ServiceName

__all__ = ["HttpPlainService", "MemoryPlainService", "PlainService", "ServiceCall", "ServiceReply"]

PATH_SAFE = "/?&=:@!$'()*+,;~"
DEFAULT_CONTENT_TYPE = "application/octet-stream"


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to a plain service.

    :param request_id: id of the caller's request
    :param brand: brand that makes the call
    :param method: HTTP method
    :param path: path below the service's root, without a leading slash
    :param body: request body
    :param content_type: media type of the body
    :param idempotency_key: the caller's key; empty when none was given
    :param timeout_ms: longest wait for the reply, in milliseconds
    :param service_name: service that is called; must be set together with an idempotency key
    """

    request_id: RequestId
    brand: BrandName
    method: str
    path: str
    body: bytes
    content_type: str
    idempotency_key: IdempotencyKey
    timeout_ms: int
    service_name: ServiceName = ServiceName("")


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """Reply of a plain service.

    :param status: HTTP status
    :param content_type: media type of the body
    :param body: reply body
    """

    status: int
    content_type: str
    body: bytes


class PlainService(ABC):
    """Client of one server of a plain service."""

    @abstractmethod
    def call(self, call: ServiceCall) -> ServiceReply:
        """Send one call, once, on a fresh connection.

        :raises PeerUnreachableError: no byte was sent; the call did not run
        :raises PeerTimeoutError: the reply was lost; the outcome is unknown
        """


class HttpPlainService(PlainService):
    """Server of a plain service behind HTTP.

    :param client: client of the server's address
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def call(self, call: ServiceCall) -> ServiceReply:
        """Send one call, once, on a fresh connection."""
        reply = self._client.request(
            call.method,
            "/" + quote(call.path, safe=PATH_SAFE + "%"),
            step="service.call",
            timeout_ms=call.timeout_ms,
            body=call.body if call.body or call.method not in ("GET", "HEAD") else None,
            headers=_headers(call),
            fresh=True,
        )
        content_type = reply.headers.get("content-type", DEFAULT_CONTENT_TYPE)
        return ServiceReply(reply.status, content_type, reply.body)


def _headers(call: ServiceCall) -> dict[str, str]:
    headers = {"X-Request-Id": call.request_id, "X-Brand": call.brand}
    if call.content_type:
        headers["Content-Type"] = call.content_type
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    return headers


class MemoryPlainService(PlainService):
    """Plain service inside the process; it runs each call that it gets, repeated ones too.

    :param answer: makes the reply of a call; without one the reply is an empty 200
    """

    def __init__(self, answer: Callable[[ServiceCall], ServiceReply] | None = None) -> None:
        self._answer = answer
        self._effects: list[ServiceCall] = []
        self._lock = threading.Lock()

    @property
    def effects(self) -> tuple[ServiceCall, ...]:
        """Calls that ran, in order."""
        with self._lock:
            return tuple(self._effects)

    def call(self, call: ServiceCall) -> ServiceReply:
        """Run one call."""
        with self._lock:
            self._effects.append(call)
        if self._answer is None:
            return ServiceReply(200, DEFAULT_CONTENT_TYPE, b"")
        return self._answer(call)
