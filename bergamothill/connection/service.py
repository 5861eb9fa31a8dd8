"""Client interface of plain services, and its data types."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote

from bergamothill.connection.http import HttpClient
from bergamothill.ids import BrandName, IdempotencyKey, RequestId, ServiceName

__all__ = ["HttpPlainService", "MemoryPlainService", "PlainService", "ServiceCall", "ServiceReply"]

SAFE_PATH_CHARACTERS = "/?&=:@!$'()*+,;~"
DEFAULT_CONTENT_TYPE = "application/octet-stream"


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to a plain service.

    :param request_id: id of the caller's request
    :param brand: brand that makes the call
    :param method: HTTP method
    :param path: path relative to the root of the service, without a leading slash
    :param body: request body
    :param content_type: media type of the body
    :param idempotency_key: idempotency key from the caller; empty for none
    :param timeout_ms: maximum wait for the reply, in milliseconds
    :param service_name: service to call; required if an idempotency key is set
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
        """Send one call on a new connection, without ever resending it.

        :raises PeerUnreachableError: nothing was sent; the call did not run
        :raises PeerTimeoutError: the reply was lost; the outcome is unknown
        """


class HttpPlainService(PlainService):
    """Client of a server of a plain service over HTTP.

    :param client: HTTP client of the server
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def call(self, call: ServiceCall) -> ServiceReply:
        """Send one call on a new connection, without ever resending it."""
        reply = self._client.request(
            call.method,
            "/" + quote(call.path, safe=SAFE_PATH_CHARACTERS + "%"),
            step="service.call",
            timeout_ms=call.timeout_ms,
            body=call.body if call.body or call.method not in ("GET", "HEAD") else None,
            headers=_headers(call),
            new_connection=True,
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
    """In-memory plain service that runs every call, including repeated ones.

    :param answer: returns the reply to a call; without it the reply is an empty 200
    """

    def __init__(self, answer: Callable[[ServiceCall], ServiceReply] | None = None) -> None:
        self._answer = answer
        self._effects: list[ServiceCall] = []
        self._lock = threading.Lock()

    @property
    def effects(self) -> tuple[ServiceCall, ...]:
        """Calls that were run, in order."""
        with self._lock:
            return tuple(self._effects)

    def call(self, call: ServiceCall) -> ServiceReply:
        """Run one call."""
        with self._lock:
            self._effects.append(call)
        if self._answer is None:
            return ServiceReply(200, DEFAULT_CONTENT_TYPE, b"")
        return self._answer(call)
