"""Plain service beside the model engines: interface and records."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from bergamothill.ids import BrandName, IdempotencyKey, RequestId

__all__ = ["PlainService", "ServiceCall", "ServiceReply"]


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
    """

    request_id: RequestId
    brand: BrandName
    method: str
    path: str
    body: bytes
    content_type: str
    idempotency_key: IdempotencyKey
    timeout_ms: int


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
