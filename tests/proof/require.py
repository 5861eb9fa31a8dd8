"""Single raise site of the proofs, so that Hypothesis shrinks all violations as one failure."""

from __future__ import annotations

__all__ = ["require"]


def require(condition: bool, message: str) -> None:
    """Report a violation unless a condition is true.

    :param condition: property that has to be true
    :param message: description of the violation
    :raises AssertionError: the condition is false
    """
    if not condition:
        raise AssertionError(message)
