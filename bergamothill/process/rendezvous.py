"""Rendezvous hashing: all instances compute the same ranking of members without coordination."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import TypeVar

__all__ = ["rendezvous"]

T = TypeVar("T", bound=str)

_SCORE_BYTES = 8


def _score(key: str, member: str) -> bytes:
    return blake2b(f"{key}\0{member}".encode(), digest_size=_SCORE_BYTES).digest()


def rendezvous(key: str, members: Iterable[T]) -> tuple[T, ...]:
    """Rank members for a key; adding or removing a member does not reorder the others.

    Only the keys that the member itself ranks first for are therefore reassigned.

    :param key: key to assign
    :param members: candidates
    :returns: all members, highest-ranked first
    """
    return tuple(sorted(members, key=lambda member: (_score(key, member), member), reverse=True))
