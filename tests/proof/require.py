"""One place at which the proofs raise, so that the shrinker sees one kind of failure."""

from __future__ import annotations

__all__ = ["require"]


def require(holds: bool, message: str) -> None:
    """Raise a violation unless a condition holds.

    :param holds: condition
    :param message: what was violated
    :raises AssertionError: it does not hold
    """
    if not holds:
        raise AssertionError(message)
