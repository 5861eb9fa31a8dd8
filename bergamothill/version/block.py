"""Block keys: canonical serialization of a prompt and the hash chain over its blocks.

A block key is a hash of brand, model, adapter, weight version and the serialized prompt up to the
end of the block. Blocks are therefore never shared between brands or versions, and two prompts
share exactly the blocks of their common prefix.
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

__all__ = ["BLOCK_TOKENS", "BlockChain", "chain_blocks", "serialize_prompt"]

BLOCK_TOKENS = 2_048
BYTES_PER_TOKEN = 4
IMAGE_TOKENS = 1_024

_HASH_DOMAIN = b"bergamothill block 1"
_LENGTH_PREFIX = struct.Struct(">I")
_TEXT_TAG = b"T"
_IMAGE_TAG = b"I"
_FIELDS_TAG = b"F"
_MESSAGE_END_TAG = b"E"
_DIGEST_BYTES = hashlib.sha256().digest_size
_IMAGE_REPEATS = IMAGE_TOKENS * BYTES_PER_TOKEN // _DIGEST_BYTES


@dataclass(frozen=True, slots=True)
class BlockChain:
    """Full blocks of one prompt.

    :param brand: brand that the prompt belongs to
    :param model: model that the prompt is for
    :param adapter: adapter in use; empty for none
    :param weight_version: weight version that the blocks are computed with
    :param keys: hexadecimal key of each full block, in prefix order
    :param token_counts: number of tokens of each full block
    :param prompt_tokens: number of tokens of the whole prompt, including the incomplete last block
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
    """Split a prompt into blocks and compute their keys.

    :param messages: chat messages as decoded from the caller's JSON
    :param block_tokens: number of tokens of a full block
    :raises InvalidRequestError: a message is not a valid chat message
    """
    stream = serialize_prompt(messages)
    block_bytes = block_tokens * BYTES_PER_TOKEN
    chain = hashlib.sha256(_HASH_DOMAIN)
    for part in (brand, model, adapter, weight_version):
        _hash_field(chain, part.encode())
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


def serialize_prompt(messages: Sequence[Mapping[str, Any]]) -> bytes:
    """Serialize messages so that a prefix of the list yields a prefix of the stream.

    The fields of a message other than its content, and each text, are tagged and length-prefixed.
    A message ends with a tag and zero bytes up to a whole token. An image is a tag and the repeated
    SHA-256 of its URL and, if there are any, its options as JSON. There is no delimiter between
    URL and options, so a URL that ends with the JSON of some options yields the same stream as the
    rest of that URL with those options.

    Other fields of a content part are ignored. A string and a list with that string as its only
    text part yield the same stream; so do missing, null and empty-list content.

    :param messages: chat messages as decoded from the caller's JSON
    :returns: stream of four bytes per token
    :raises InvalidRequestError: a message is not a valid chat message
    """
    return b"".join(_message_bytes(message) for message in messages)


def _hash_field(chain: Any, part: bytes) -> None:
    chain.update(_LENGTH_PREFIX.pack(len(part)))
    chain.update(part)


def _message_bytes(message: Mapping[str, Any]) -> bytes:
    if not isinstance(message, Mapping):
        raise _malformed_error("message is not an object")
    fields = {name: value for name, value in message.items() if name != "content"}
    encoded = json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()
    chunks = [_FIELDS_TAG, _LENGTH_PREFIX.pack(len(encoded)), encoded]
    chunks.extend(_content_bytes(message.get("content")))
    chunks.append(_MESSAGE_END_TAG)
    serialized = b"".join(chunks)
    return serialized + b"\0" * (-len(serialized) % BYTES_PER_TOKEN)


def _content_bytes(content: Any) -> Iterator[bytes]:
    if content is None:
        return
    if isinstance(content, str):
        yield from _text_bytes(content)
        return
    if not isinstance(content, Sequence):
        raise _malformed_error("message content is neither a string nor a list of parts")
    for part in content:
        yield from _part_bytes(part)


def _part_bytes(part: Any) -> Iterator[bytes]:
    if not isinstance(part, Mapping):
        raise _malformed_error("content part is not an object")
    if part.get("type") == "text" and isinstance(part.get("text"), str):
        yield from _text_bytes(part["text"])
        return
    image = part.get("image_url")
    if part.get("type") == "image_url" and isinstance(image, Mapping):
        yield from _image_bytes(image)
        return
    raise _malformed_error(f"unknown or malformed content part {part.get('type')!r}")


def _text_bytes(text: str) -> Iterator[bytes]:
    encoded = text.encode("utf-8", "surrogatepass")
    yield _TEXT_TAG
    yield _LENGTH_PREFIX.pack(len(encoded))
    yield encoded


def _image_bytes(image: Mapping[str, Any]) -> Iterator[bytes]:
    url = image.get("url")
    if not isinstance(url, str):
        raise _malformed_error("image_url has no url string")
    encoded_url = url.encode("utf-8", "surrogatepass")
    digest = hashlib.sha256(_LENGTH_PREFIX.pack(len(encoded_url)) + encoded_url)
    options = {name: value for name, value in image.items() if name != "url"}
    if options:
        digest.update(json.dumps(options, sort_keys=True).encode())
    yield _IMAGE_TAG
    yield digest.digest() * _IMAGE_REPEATS


def _malformed_error(message: str) -> InvalidRequestError:
    return InvalidRequestError(message, step="prompt")
