"""Entry instances that are told where a stream began, and asked when it is taken up; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from bergamothill.ids import EntryInstanceId
from bergamothill.process.rendezvous import rendezvous
from bergamothill.request.streamorigin import StreamKey

__all__ = ["MAX_HOLDERS", "holders"]

MAX_HOLDERS = 8

SLOTS = 1_024
"""Keys share this many rankings, so that few have to be made after a change of the members."""


def holders(key: StreamKey, members: Iterable[EntryInstanceId]) -> tuple[EntryInstanceId, ...]:
    """Return the instances that hold the origin of a stream; all, while there are few.

    :param key: identifies the stream
    :param members: all entry instances
    """
    members = frozenset(members)
    if len(members) <= MAX_HOLDERS:
        return tuple(sorted(members))
    return _slot_holders(_slot(key), members)


def _slot(key: StreamKey) -> int:
    text = f"{key.brand or ''}\0{key.request}".encode()
    return int.from_bytes(blake2b(text, digest_size=4).digest()) % SLOTS


@lru_cache(maxsize=SLOTS)
def _slot_holders(slot: int, members: frozenset[EntryInstanceId]) -> tuple[EntryInstanceId, ...]:
    return rendezvous(f"stream-origin/{slot}", members)[:MAX_HOLDERS]
