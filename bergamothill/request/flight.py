"""Suppression of duplicate transfers: concurrent requests for a block share one transfer."""

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
    """Running transfer.

    :param future: outcome, shared by all callers that wait
    :param leader: whether this caller has to do the transfer and report its outcome
    """

    future: Future[T]
    leader: bool


class SingleFlight(Generic[T]):
    """Lets concurrent callers with the same server and key share one transfer."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._flights: dict[tuple[ServerId, str], Future[T]] = {}

    def join(self, server: ServerId, key: str) -> Flight[T]:
        """Join the running transfer of a block, or become the leader of a new one.

        :param server: engine or store that receives the block
        :param key: key of the transfer
        """
        with self._lock:
            known = self._flights.get((server, key))
            if known is not None:
                return Flight(known, leader=False)
            future: Future[T] = Future()
            self._flights[(server, key)] = future
            return Flight(future, leader=True)

    def succeed(self, server: ServerId, key: str, value: T) -> None:
        """Report the result of a transfer that the caller leads.

        :param server: engine or store that received the block
        :param key: key of the transfer
        :param value: result for all callers that wait
        """
        self._pop(server, key).set_result(value)

    def fail(self, server: ServerId, key: str, error: Exception) -> None:
        """Report the failure of a transfer that the caller leads; the next caller starts a new one.

        :param server: engine or store of the transfer
        :param key: key of the transfer
        :param error: raised to all callers that wait
        """
        self._pop(server, key).set_exception(error)

    def _pop(self, server: ServerId, key: str) -> Future[T]:
        with self._lock:
            return self._flights.pop((server, key))
