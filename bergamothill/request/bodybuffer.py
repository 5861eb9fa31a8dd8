"""Buffer for the body of an answer that is delivered only as a whole; does no I/O."""

from __future__ import annotations

from bergamothill.errors import ProtocolError
from bergamothill.request.bufferbudget import BufferBudget, Reservation

__all__ = ["MAX_BODY_BYTES", "BodyBuffer"]

MAX_BODY_BYTES = 8_388_608
"""Largest body of an answer that is not an event stream."""


class BodyBuffer:
    """Body received so far.

    :param budget: budget of the process
    """

    def __init__(self, budget: BufferBudget) -> None:
        self._reservation = Reservation(budget)
        self._body = bytearray()

    def append(self, piece: bytes) -> None:
        """Append the next bytes.

        :raises ProtocolError: the body is too large
        """
        size = len(self._body) + len(piece)
        if size > MAX_BODY_BYTES:
            raise ProtocolError("body is too large", step="forward.body")
        if not self._reservation.try_resize(size):
            raise ProtocolError("unfinished bodies take too much memory", step="forward.body")
        self._body += piece

    def content(self) -> bytes:
        """Return the body."""
        return bytes(self._body)

    def clear(self) -> None:
        """Discard the body and release its part of the budget."""
        self._reservation.try_resize(0)
        self._body = bytearray()
