"""Stream tokens: signed, self-contained identifiers of answer streams.

Any entry instance can resume a stream from its token, without shared state. The token is part of
the ``id`` of each event sent to the caller, so the standard ``Last-Event-ID`` header returns it.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
from dataclasses import dataclass

import cbor2

from bergamothill.clock import Clock
from bergamothill.errors import InvalidRequestError, NotFoundError
from bergamothill.ids import BrandName, ModelName, RequestId, ServerId, StreamId, WeightVersion

__all__ = ["StreamToken", "StreamTokens"]

SIGNATURE_BYTES = 16
TOKEN_LIFE_MS = 3_600_000
MAX_TOKEN_LENGTH = 2_048
_STEP = "stream.token"


@dataclass(frozen=True, slots=True)
class StreamToken:
    """Contents of a stream token.

    :param brand: brand that owns the stream
    :param server: engine that has the stream
    :param stream_id: id of the stream at the engine
    :param request_id: id of the caller's request
    :param model: model of the run
    :param weight_version: weight version pinned for the run
    :param issued_ms: wall-clock time of the signature, in milliseconds since the epoch
    """

    brand: BrandName
    server: ServerId
    stream_id: StreamId
    request_id: RequestId
    model: ModelName
    weight_version: WeightVersion
    issued_ms: int


class StreamTokens:
    """Signs and verifies stream tokens.

    :param secret: secret shared by all entry instances
    :param clock: source of wall-clock time
    """

    def __init__(self, secret: str, clock: Clock) -> None:
        self._key = hashlib.sha256(b"stream-token:" + secret.encode()).digest()
        self._clock = clock

    def sign(self, token: StreamToken) -> str:
        """Sign a token and return it as header-safe text.

        :param token: token to sign
        """
        fields = [
            token.brand,
            token.server,
            token.stream_id,
            token.request_id,
            token.model,
            token.weight_version,
            token.issued_ms,
        ]
        payload = cbor2.dumps(fields)
        return base64.urlsafe_b64encode(self._signature(payload) + payload).decode().rstrip("=")

    def check(self, text: str, brand: BrandName) -> StreamToken:
        """Verify a token and return its contents.

        :param text: token as received from a caller
        :param brand: brand of the caller's key
        :raises InvalidRequestError: the token is malformed or its signature is wrong
        :raises NotFoundError: the token belongs to another brand or is too old
        """
        token = self._decode(text)
        if token.brand != brand:
            raise NotFoundError("no such stream", step=_STEP)
        if abs(self._clock.wall_ms() - token.issued_ms) > TOKEN_LIFE_MS:
            raise NotFoundError("the stream token is too old", step=_STEP)
        return token

    def _decode(self, text: str) -> StreamToken:
        try:
            padded = text[:MAX_TOKEN_LENGTH] + "=" * (-len(text) % 4)
            raw = base64.urlsafe_b64decode(padded.encode("ascii"))
        except ValueError:
            raise InvalidRequestError("malformed stream token", step=_STEP) from None
        signature, payload = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, self._signature(payload)):
            raise InvalidRequestError("the stream token's signature is wrong", step=_STEP)
        return StreamToken(*cbor2.loads(payload))

    def _signature(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, "sha256")[:SIGNATURE_BYTES]
