"""Body of a request or an answer, kept in blocks of one size; does no I/O."""

from __future__ import annotations

__all__ = ["BLOCK_BYTES", "BlockBody"]

BLOCK_BYTES = 65_536
"""Size of a block; freed blocks of one size leave no gaps in the heap that others cannot fill."""


class BlockBody:
    """Body received so far.

    :param content: its first bytes
    """

    __slots__ = ("_blocks", "_is_released", "_last", "_size_bytes")

    def __init__(self, content: bytes = b"") -> None:
        self._blocks: list[bytes] = []
        self._last: bytes | bytearray = b""
        self._size_bytes = 0
        self._is_released = False
        if content:
            self.append(content)

    def __len__(self) -> int:
        """Return the size in bytes."""
        return self._size_bytes

    @property
    def memory_bytes(self) -> int:
        """Memory that it takes, at most."""
        return self._size_bytes + len(self._last)

    def append(self, piece: bytes) -> None:
        """Append the next bytes."""
        self._size_bytes += len(piece)
        if not self._last and len(piece) <= BLOCK_BYTES:
            self._last = piece  # most bodies come in one piece, which needs no copy
            return
        if isinstance(self._last, bytes):
            self._last = bytearray(self._last)
        self._last += piece
        while len(self._last) >= BLOCK_BYTES:
            self._blocks.append(bytes(memoryview(self._last)[:BLOCK_BYTES]))
            del self._last[:BLOCK_BYTES]

    def release(self) -> None:
        """Discard the content; what still refers to the body does not keep its memory."""
        self._blocks, self._last = [], b""
        self._is_released = True

    def blocks(self) -> list[bytes]:
        """Return the body in pieces; none is empty.

        :raises RuntimeError: the body was released
        """
        if self._is_released:
            raise RuntimeError("body was released")
        return [*self._blocks, bytes(self._last)] if self._last else list(self._blocks)
