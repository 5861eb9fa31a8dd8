"""Buffer for the body of an answer that is delivered only as a whole; does no I/O."""

from __future__ import annotations

from bergamothill.errors import ProtocolError
from bergamothill.request.blockbody import BlockBody
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
        self._body = BlockBody()

    def append(self, piece: bytes) -> None:
        """Append the next bytes.

        :raises ProtocolError: the body is too large
        """
        size = len(self._body) + len(piece)
        if size > MAX_BODY_BYTES:
            raise ProtocolError("body is too large", step="forward.body")
        if not self._reservation.try_resize(size):
            raise ProtocolError("unfinished bodies take too much memory", step="forward.body")
        self._body.append(piece)

    def __len__(self) -> int:
        """Return the size in bytes."""
        return len(self._body)

    def content(self) -> bytes:
        """Return the body."""
        return b"".join(self._body.blocks())

    def blocks(self) -> list[bytes]:
        """Return the body in pieces, which are not copied."""
        return self._body.blocks()

    def clear(self) -> None:
        """Discard the body and release its part of the budget."""
        self._reservation.try_resize(0)
        self._body = BlockBody()
