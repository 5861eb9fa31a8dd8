"""Single flight: one transfer for each block and engine, however many requests wait for it."""

from __future__ import annotations

import threading
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Generic, TypeVar

from bergamothill.ids import ServerId

__all__ = ["Flight", "SingleFlight"]

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Flight(Generic[T]):
    """A transfer under way.

    :param future: its outcome, the same for all that wait
    :param leader: this caller has to carry it out and settle it
    """

    future: Future[T]
    leader: bool


class SingleFlight(Generic[T]):
    """Joins callers that need the same block on the same engine."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._flights: dict[tuple[ServerId, str], Future[T]] = {}

    def join(self, server: ServerId, key: str) -> Flight[T]:
        """Join the transfer of a block, or lead a new one.

        :param server: engine that imports
        :param key: block and generation to import
        """
        with self._lock:
            known = self._flights.get((server, key))
            if known is not None:
                return Flight(known, leader=False)
            future: Future[T] = Future()
            self._flights[(server, key)] = future
            return Flight(future, leader=True)

    def succeed(self, server: ServerId, key: str, value: T) -> None:
        """Settle a transfer that the caller led.

        :param server: engine that imported
        :param key: block and generation
        :param value: outcome for all that wait
        """
        self._take(server, key).set_result(value)

    def fail(self, server: ServerId, key: str, error: Exception) -> None:
        """Settle a transfer that the caller led and that failed; the next caller tries anew.

        :param server: engine that imported
        :param key: block and generation
        :param error: raised in all that wait
        """
        self._take(server, key).set_exception(error)

    def _take(self, server: ServerId, key: str) -> Future[T]:
        with self._lock:
            return self._flights.pop((server, key))
