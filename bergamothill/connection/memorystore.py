"""In-memory store instance for tests and embedding."""

from __future__ import annotations

import threading

from bergamothill.clock import Clock
from bergamothill.connection.store import StoredObject, StoreInstance
from bergamothill.errors import NotFoundError, StoreFullError

__all__ = ["MemoryStoreInstance"]


class MemoryStoreInstance(StoreInstance):
    """In-memory store instance.

    :param clock: source of time for the objects' ages
    :param capacity_bytes: maximum total size of all objects
    """

    def __init__(self, clock: Clock, *, capacity_bytes: int = 1 << 30) -> None:
        self._clock = clock
        self.capacity_bytes = capacity_bytes
        self._values: dict[str, bytes] = {}
        self._written_ms: dict[str, int] = {}
        self._lock = threading.Lock()

    @property
    def used_bytes(self) -> int:
        """Total size of all objects."""
        with self._lock:
            return sum(map(len, self._values.values()))

    def put(self, name: str, value: bytes) -> None:
        """See :meth:`StoreInstance.put`."""
        with self._lock:
            used = sum(map(len, self._values.values())) - len(self._values.get(name, b""))
            if used + len(value) > self.capacity_bytes:
                raise StoreFullError("store is full", step="store.put", peer="memory")
            self._values[name] = bytes(value)
            self._written_ms[name] = self._clock.now_ms()

    def get(self, name: str, *, start: int = 0, length: int | None = None) -> bytes:
        """See :meth:`StoreInstance.get`."""
        with self._lock:
            value = self._values.get(name)
        if value is None:
            raise NotFoundError(f"object {name} does not exist", step="store.get", peer="memory")
        return value[start:] if length is None else value[start : start + length]

    def delete(self, name: str) -> None:
        """See :meth:`StoreInstance.delete`."""
        with self._lock:
            self._values.pop(name, None)
            self._written_ms.pop(name, None)

    def list(self, prefix: str) -> tuple[StoredObject, ...]:
        """See :meth:`StoreInstance.list`."""
        now_ms = self._clock.now_ms()
        with self._lock:
            return tuple(
                StoredObject(name, len(self._values[name]), now_ms - self._written_ms[name])
                for name in sorted(self._values)
                if name.startswith(prefix)
            )
