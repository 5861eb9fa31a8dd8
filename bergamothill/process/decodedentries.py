"""Decodes the entries of a prefix, each of them only when it has changed; no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from bergamothill.connection.kvs import KeyValueEntry
from bergamothill.errors import ProtocolError

__all__ = ["DecodedEntries"]

Decoded = TypeVar("Decoded")


class DecodedEntries(Generic[Decoded]):
    """Keeps the decoded form of each entry of the latest snapshot.

    :param decode: decodes an entry, or raises ProtocolError
    :param on_invalid: called with each entry that cannot be decoded, and with the error
    """

    def __init__(
        self,
        decode: Callable[[KeyValueEntry], Decoded],
        on_invalid: Callable[[KeyValueEntry, ProtocolError], None],
    ) -> None:
        self._decode = decode
        self._on_invalid = on_invalid
        self._known: dict[KeyValueEntry, Decoded] = {}

    def decode_all(self, entries: Iterable[KeyValueEntry]) -> list[Decoded]:
        """Return the decoded entries of a snapshot, without those that are invalid."""
        known, self._known = self._known, {}
        for entry in entries:
            decoded = known.get(entry)
            if decoded is None:
                try:
                    decoded = self._decode(entry)
                except ProtocolError as error:
                    self._on_invalid(entry, error)
                    continue
            self._known[entry] = decoded
        return list(self._known.values())
