"""Processing of one admitted request that ends at its deadline, or as the instance stops."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

__all__ = ["TimedRun"]


class TimedRun(ABC):
    """What the gateway does with each request in progress, wherever it is sent."""

    def __init__(self) -> None:
        self._timeout: asyncio.Timeout | None = None
        self._is_stopping = False

    @property
    @abstractmethod
    def due_ms(self) -> int:
        """Time by which the caller gets a final answer."""

    @property
    @abstractmethod
    def is_unsent(self) -> bool:
        """Whether nobody was chosen yet to send the request to."""

    @abstractmethod
    async def execute(self) -> None:
        """Process the request until its final answer."""

    @abstractmethod
    def refuse(self) -> None:
        """Refuse the request unsent, as this instance is stopping."""

    @abstractmethod
    def log(self, outcome: str, status: int) -> None:
        """Log the outcome of the request and update the metrics."""

    @abstractmethod
    def check_for_stall(self, now_ms: int) -> None:
        """React if the answer no longer comes."""

    @abstractmethod
    def end_retired(self) -> None:
        """React to a change of the namespaces of cached context."""

    @abstractmethod
    def pass_on(self) -> None:
        """End attempts that have brought nothing, as this instance is isolated."""

    def check_deadline(self, now_ms: int) -> None:
        """Let the timeout of the request expire at once if its deadline has passed.

        The clock of the event loop, unlike that of the deadline, stops while the machine is
        suspended.
        """
        if now_ms >= self.due_ms:
            self._expire()

    def stop(self) -> None:
        """End the request with a final answer, as this instance is about to exit."""
        self._is_stopping = True
        self._expire()

    def _expire(self) -> None:
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())
