"""Reads and writes the configuration records in the key-value service."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from bergamothill.connection.kvs import ABSENT, KeyValueEntry, KeyValueService
from bergamothill.errors import BergamothillError, ConflictError, NotFoundError, ProtocolError
from bergamothill.version.record import (
    EMPTY_HEAD,
    HEAD_KEY,
    AcceptedChange,
    Head,
    HistoryPage,
    bucket_records,
    content_key,
    decode,
    digest_of,
    encode,
)

__all__ = ["RecordStore"]

FETCH_WORKERS = 8
STEP = "configuration.read"


class RecordStore:
    """Stores head, buckets and history pages in the key-value service; caches decoded buckets.

    :param kvs: key-value service of the platform
    """

    def __init__(self, kvs: KeyValueService) -> None:
        self._kvs = kvs
        self._cache: dict[str, tuple[Any, ...]] = {}

    def read_head(self) -> tuple[Head, int]:
        """Return the head and the modification revision of its key."""
        entry = self._kvs.get(HEAD_KEY)
        if entry is None:
            return EMPTY_HEAD, ABSENT
        return decode(Head, entry.value), entry.mod_revision

    def write_head(self, head: Head, expected: int) -> KeyValueEntry:
        """Replace the head.

        :param head: new head
        :param expected: modification revision that the head's key must have
        :raises ConflictError: another head was written in the meantime
        """
        return self._kvs.put_if(HEAD_KEY, encode(head), expected=expected)

    def read_buckets(self, head: Head) -> dict[str, tuple[Any, ...]]:
        """Return the records of each bucket of a head.

        :raises NotFoundError: a bucket was deleted, as happens after its head was replaced
        """
        missing = {n: d for n, d in head.buckets.items() if d not in self._cache}
        values = self._read_all(list(missing.values()))
        for (name, digest), value in zip(missing.items(), values, strict=True):
            self._cache[digest] = bucket_records(name, value)
        self._cache = {digest: self._cache[digest] for digest in head.buckets.values()}
        return {name: self._cache[digest] for name, digest in head.buckets.items()}

    def read_content(self, digest: str) -> bytes:
        """Return a bucket or history page.

        :param digest: its digest, which is part of its key
        :raises NotFoundError: it does not exist
        :raises ProtocolError: its bytes do not match the digest
        """
        entry = self._kvs.get(content_key(digest))
        if entry is None:
            raise NotFoundError(f"content {digest} does not exist", step=STEP)
        if digest_of(entry.value) != digest:
            raise ProtocolError(f"content {digest} does not match its digest", step=STEP)
        return entry.value

    def iter_changes(self, head: Head) -> Iterator[AcceptedChange]:
        """Yield all accepted changes, newest first; history pages are read lazily."""
        yield from reversed(head.recent)
        digest = head.page
        while digest:
            page = decode(HistoryPage, self.read_content(digest))
            yield from reversed(page.changes)
            digest = page.page

    def write_content(self, value: bytes) -> str:
        """Write a bucket or history page.

        :returns: its digest
        """
        digest = digest_of(value)
        # A conflict is harmless: the key contains the digest, so the existing value is the same.
        with contextlib.suppress(ConflictError):
            self._kvs.put_if(content_key(digest), value, expected=ABSENT)
        return digest

    def delete_content(self, digest: str) -> None:
        """Delete a bucket or history page, ignoring errors; a leftover only takes up space."""
        with contextlib.suppress(BergamothillError):
            entry = self._kvs.get(content_key(digest))
            if entry is not None:
                self._kvs.delete_if(entry.key, expected=entry.mod_revision)

    def _read_all(self, digests: list[str]) -> list[bytes]:
        if len(digests) <= FETCH_WORKERS:
            return [self.read_content(digest) for digest in digests]
        with ThreadPoolExecutor(FETCH_WORKERS) as pool:
            return list(pool.map(self.read_content, digests))
