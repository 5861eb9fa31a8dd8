"""Block identity: the canonical token stream of a prompt and the chained keys of its blocks.

A key is a hash over brand, model, adapter, weight version and the whole stream up to the block's
end, so a block is never shared between brands or versions, and two prompts share exactly the blocks
of their common prefix.
"""

from __future__ import annotations

import hashlib
import json
import struct
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from bergamothill.errors import InvalidRequestError
from bergamothill.ids import AdapterName, BrandName, ModelName, WeightVersion

__all__ = ["BLOCK_TOKENS", "BlockChain", "chain_blocks", "prompt_stream"]

BLOCK_TOKENS = 2_048
BYTES_PER_TOKEN = 4
IMAGE_TOKENS = 1_024

_FORMAT = b"bergamothill block 1"
_LENGTH = struct.Struct(">I")
_TEXT = b"T"
_IMAGE = b"I"
_FIELDS = b"F"
_MESSAGE_END = b"E"
_DIGEST_BYTES = hashlib.sha256().digest_size
_IMAGE_REPEATS = IMAGE_TOKENS * BYTES_PER_TOKEN // _DIGEST_BYTES


@dataclass(frozen=True, slots=True)
class BlockChain:
    """Full blocks of one prompt.

    :param brand: brand that the prompt belongs to
    :param model: model that the prompt is for
    :param adapter: adapter applied; empty for none
    :param weight_version: version that the blocks are computed under
    :param keys: hexadecimal key of each full block, in prefix order
    :param token_counts: tokens of each full block
    :param prompt_tokens: tokens of the whole prompt, the tail after the last full block included
    """

    brand: BrandName
    model: ModelName
    adapter: AdapterName
    weight_version: WeightVersion
    keys: tuple[str, ...]
    token_counts: tuple[int, ...]
    prompt_tokens: int


def chain_blocks(
    brand: BrandName,
    model: ModelName,
    adapter: AdapterName,
    weight_version: WeightVersion,
    messages: Sequence[Mapping[str, Any]],
    block_tokens: int = BLOCK_TOKENS,
) -> BlockChain:
    """Cut a prompt into blocks and name them.

    :param messages: chat messages in the callers' JSON shape
    :param block_tokens: tokens of a full block
    :raises InvalidRequestError: a message has not the shape of a chat message
    """
    stream = prompt_stream(messages)
    block_bytes = block_tokens * BYTES_PER_TOKEN
    chain = hashlib.sha256(_FORMAT)
    for part in (brand, model, adapter, weight_version):
        _update(chain, part.encode())
    keys = []
    view = memoryview(stream)
    for end in range(block_bytes, len(stream) + 1, block_bytes):
        chain.update(view[end - block_bytes : end])
        keys.append(chain.copy().hexdigest())
    return BlockChain(
        brand=brand,
        model=model,
        adapter=adapter,
        weight_version=weight_version,
        keys=tuple(keys),
        token_counts=(block_tokens,) * len(keys),
        prompt_tokens=len(stream) // BYTES_PER_TOKEN,
    )


def prompt_stream(messages: Sequence[Mapping[str, Any]]) -> bytes:
    """Serialise messages so that no two lists share a stream and a prefix stays a prefix.

    :param messages: chat messages in the callers' JSON shape
    :returns: four bytes a token
    :raises InvalidRequestError: a message has not the shape of a chat message
    """
    return b"".join(_message_bytes(message) for message in messages)


def _update(chain: Any, part: bytes) -> None:
    chain.update(_LENGTH.pack(len(part)))
    chain.update(part)


def _message_bytes(message: Mapping[str, Any]) -> bytes:
    if not isinstance(message, Mapping):
        raise _malformed("a message is no object")
    fields = {name: value for name, value in message.items() if name != "content"}
    encoded = json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()
    pieces = [_FIELDS, _LENGTH.pack(len(encoded)), encoded]
    pieces.extend(_content_bytes(message.get("content")))
    pieces.append(_MESSAGE_END)
    joined = b"".join(pieces)
    return joined + b"\0" * (-len(joined) % BYTES_PER_TOKEN)


def _content_bytes(content: Any) -> Iterator[bytes]:
    if content is None:
        return
    if isinstance(content, str):
        yield from _text_bytes(content)
        return
    if not isinstance(content, Sequence):
        raise _malformed("content is neither text nor a list of parts")
    for part in content:
        yield from _part_bytes(part)


def _part_bytes(part: Any) -> Iterator[bytes]:
    if not isinstance(part, Mapping):
        raise _malformed("a content part is no object")
    if part.get("type") == "text" and isinstance(part.get("text"), str):
        yield from _text_bytes(part["text"])
        return
    image = part.get("image_url")
    if part.get("type") == "image_url" and isinstance(image, Mapping):
        yield from _image_bytes(image)
        return
    raise _malformed(f"unknown content part {part.get('type')!r}")


def _text_bytes(text: str) -> Iterator[bytes]:
    encoded = text.encode("utf-8", "surrogatepass")
    yield _TEXT
    yield _LENGTH.pack(len(encoded))
    yield encoded


def _image_bytes(image: Mapping[str, Any]) -> Iterator[bytes]:
    url = image.get("url")
    if not isinstance(url, str):
        raise _malformed("image_url has no url")
    digest = hashlib.sha256(url.encode("utf-8", "surrogatepass"))
    options = {name: value for name, value in image.items() if name != "url"}
    if options:
        digest.update(json.dumps(options, sort_keys=True).encode())
    yield _IMAGE
    yield digest.digest() * _IMAGE_REPEATS


def _malformed(message: str) -> InvalidRequestError:
    return InvalidRequestError(message, step="prompt")
