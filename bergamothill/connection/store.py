"""Store instance: interface and records.

The least store offers put, ranged get, delete and list. It may show a part of what is being
written, may reuse a freed place and may fill up at any step.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ["StoreInstance", "StoredObject"]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object as a store lists it.

    :param name: object name
    :param size_bytes: length that is visible now
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
        :param value: whole content
        :raises StoreFullError: no room; a part may be visible
        :raises PeerTimeoutError: unknown how much was written
        """

    @abstractmethod
    def get(self, name: str, *, start: int = 0, length: int | None = None) -> bytes:
        """Read a range of an object.

        :param name: object name
        :param start: first byte
        :param length: bytes to read; None reads to the end
        :raises NotFoundError: there is no such object
        """

    @abstractmethod
    def delete(self, name: str) -> None:
        """Delete an object; one that does not exist is no error."""

    @abstractmethod
    def list(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose names start with a prefix, in name order."""
