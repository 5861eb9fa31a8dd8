"""What a request has in common with others that could crash servers; does no I/O.

These are the shared parts of its prompt, and the request as a whole: the same caller may send it
again under another id. The whole is named by a fingerprint, which shows neither body nor caller.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from hashlib import blake2b

from bergamothill.ids import BrandName, ModelName
from bergamothill.request.callerrequest import CallerRequest, PromptPart
from bergamothill.request.crashevidence import WHOLE_REQUEST, PartId

__all__ = ["crash_suspects", "request_fingerprint", "shared_parts"]

DIGEST_BYTES = 16
LENGTH_BYTES = 8


def crash_suspects(request: CallerRequest, brand: BrandName | None) -> frozenset[PartId]:
    """Return the parts of a request that others may have in common with it.

    :param request: request whose body is complete
    :param brand: brand of the caller's key; None on a public route
    """
    whole = PartId(WHOLE_REQUEST, request_fingerprint(request, brand))
    return shared_parts(request.model, request.parts) | {whole}


def shared_parts(model: ModelName | None, parts: Sequence[PromptPart]) -> frozenset[PartId]:
    """Return the parts of a prompt that other requests may share: all but the last."""
    if model is None:
        return frozenset()
    return frozenset(PartId(model, part.name) for part in parts[:-1])


def request_fingerprint(request: CallerRequest, brand: BrandName | None) -> str:
    """Return a digest of method, host, path with query, caller and body.

    :param request: request whose body is complete
    :param brand: brand of the caller's key; None on a public route
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    # Each with its length, so that no byte can move from one field to the next.
    for field in _fields(request, brand):
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    body = request.raw.body
    digest.update(len(body).to_bytes(LENGTH_BYTES, "big"))
    for block in body.blocks():
        digest.update(block)
    return digest.hexdigest()


def _fields(request: CallerRequest, brand: BrandName | None) -> Iterator[bytes]:
    yield request.raw.method
    yield request.host.lower().encode()
    yield request.raw.target
    yield b"" if brand is None else b"brand " + brand.encode()
