"""Content of a prefix as told between entry instances: digests, changed entries, pieces; no I/O."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b

import cbor2

from bergamothill.connection.kvs import KeyValueEntry
from bergamothill.errors import ProtocolError

__all__ = [
    "MAX_PIECES",
    "NO_BASE",
    "ContentBudget",
    "ContentCache",
    "Entries",
    "decode_content",
    "digest_entries",
    "encode_content",
]

Entries = tuple[KeyValueEntry, ...]

DIGEST_BYTES = 16
NO_BASE = b""
"""Base of content that is told whole."""

COMPRESSION_LEVEL = 1
"""Content is compressed on the event loop."""

PIECE_BYTES = 8_000
MAX_PIECES = 64
"""Larger content is not told; each instance then reads it itself."""

KEPT_CONTENTS = 8
"""Contents of a prefix kept as bases of changes."""

KEPT_ENCODINGS = 4

BUDGET_BYTES_PER_MS = 250
BUDGET_BURST_BYTES = 250_000
"""Content sent by one reader; a link of 5 Mbit/s also carries answers to callers.

Receivers that get no content read for themselves.
"""

MAX_CONTENT_BYTES = 16_000_000
"""Bounds what compressed pieces may expand to."""


def digest_entries(entries: Iterable[KeyValueEntry]) -> bytes:
    """Return a digest of the keys, revisions and values, whatever their order."""
    parts = []
    for entry in sorted(entries, key=lambda entry: entry.key):
        key = entry.key.encode()
        parts += [b"%d %d %d " % (len(key), len(entry.value), entry.mod_revision), key, entry.value]
    return blake2b(b"".join(parts), digest_size=DIGEST_BYTES).digest()


def encode_content(entries: Entries, base: Entries) -> tuple[bytes, ...]:
    """Encode what changed since a base, in pieces that fit into a datagram.

    :param entries: content
    :param base: content that the receiver has; empty to encode all of it
    :returns: the pieces; none if there are too many of them
    """
    known = {entry.key: entry for entry in base}
    removed = sorted(known.keys() - {entry.key for entry in entries})
    changed = [
        [entry.key, entry.mod_revision, entry.value]
        for entry in entries
        if known.get(entry.key) != entry
    ]
    encoded = zlib.compress(cbor2.dumps([removed, changed]), COMPRESSION_LEVEL)
    pieces = [encoded[at : at + PIECE_BYTES] for at in range(0, len(encoded), PIECE_BYTES)]
    return tuple(pieces) if len(pieces) <= MAX_PIECES else ()


def decode_content(pieces: Iterable[bytes], base: Entries) -> Entries:
    """Decode pieces and apply them to their base.

    :raises ProtocolError: they are malformed
    """
    try:
        inflate = zlib.decompressobj()
        encoded = inflate.decompress(b"".join(pieces), MAX_CONTENT_BYTES)
        removed, changed = cbor2.loads(encoded)
        entries = {entry.key: entry for entry in base}
        for key in removed:
            entries.pop(str(key), None)
        for key, revision, value in changed:
            entries[str(key)] = KeyValueEntry(str(key), bytes(value), int(revision))
    except (TypeError, ValueError, zlib.error, OverflowError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(f"not content of a prefix: {error}", step="reads.decode") from error
    return tuple(entries[key] for key in sorted(entries))


class ContentCache:
    """The last contents of one prefix, by digest, and their encodings."""

    def __init__(self) -> None:
        self._contents: OrderedDict[bytes, Entries] = OrderedDict()
        self._encodings: OrderedDict[tuple[bytes, bytes], tuple[bytes, ...]] = OrderedDict()

    def __contains__(self, digest: bytes) -> bool:
        return digest in self._contents

    def add(self, digest: bytes, entries: Entries) -> None:
        """Keep content; the one that was not added for the longest time makes room."""
        self._contents[digest] = entries
        self._contents.move_to_end(digest)
        while len(self._contents) > KEPT_CONTENTS:
            self._contents.popitem(last=False)

    def get(self, digest: bytes) -> Entries | None:
        """Return content; None if it is not kept."""
        return self._contents.get(digest)

    def encode(self, digest: bytes, base: bytes) -> tuple[bytes, ...]:
        """Return content in pieces, as :func:`encode_content`; none if it is not kept.

        :param digest: digest of the content
        :param base: digest of the content that the receiver has; :data:`NO_BASE` for all of it
        """
        pieces = self._encodings.get((digest, base))
        content = self._contents.get(digest)
        if pieces is None and content is not None:
            pieces = encode_content(content, self._contents.get(base, ()))
            self._encodings[digest, base] = pieces
            while len(self._encodings) > KEPT_ENCODINGS:
                self._encodings.popitem(last=False)
        return pieces or ()


class ContentBudget:
    """Bounds the bytes of content that one instance sends."""

    def __init__(self) -> None:
        self._left = BUDGET_BURST_BYTES
        self._filled_ms = 0

    def try_spend(self, size: int, now_ms: int) -> bool:
        """Return whether that many bytes may be sent now, and count them."""
        gained = BUDGET_BYTES_PER_MS * max(0, now_ms - self._filled_ms)
        self._left = min(BUDGET_BURST_BYTES, self._left + gained)
        self._filled_ms = now_ms
        if self._left < size:
            return False
        self._left -= size
        return True
