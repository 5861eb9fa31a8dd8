"""Client interface of a store instance, and its data types.

A store needs to offer only put, ranged get, delete and list. Partially written objects may be
visible, the space of a deleted object may be reused while a read of it is in progress, and any
write may fail because the store is full.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ["StoreInstance", "StoredObject"]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object as listed by a store.

    :param name: object name
    :param size_bytes: length that is currently visible
    :param age_ms: time since the last write, in milliseconds
    """

    name: str
    size_bytes: int
    age_ms: int


class StoreInstance(ABC):
    """Client of one store instance."""

    @abstractmethod
    def put(self, name: str, value: bytes) -> None:
        """Write an object.

        :param name: object name
        :param value: complete content
        :raises StoreFullError: the store is full; a part of the object may be visible
        :raises PeerTimeoutError: the outcome is unknown; a part of the object may be visible
        """

    @abstractmethod
    def get(self, name: str, *, start: int = 0, length: int | None = None) -> bytes:
        """Read a range of an object.

        :param name: object name
        :param start: first byte
        :param length: number of bytes to read; None reads to the end
        :raises NotFoundError: the object does not exist
        """

    @abstractmethod
    def delete(self, name: str) -> None:
        """Delete an object; an object that does not exist is ignored."""

    @abstractmethod
    def list(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose names start with a prefix, ordered by name."""
