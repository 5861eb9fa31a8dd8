"""Writes the configuration in force back to a key-value service that lost it."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from bergamothill.connection.kvs import ABSENT, KeyValueEntry, KeyValueService
from bergamothill.errors import ConflictError
from bergamothill.version.follower import HeadVerdict
from bergamothill.version.record import HEAD_KEY, Head, content_key, decode, encode

__all__ = ["HeadRepair", "RecoveryOrder", "order_recovery"]

RECOVERY_KEY = "config/recovery"


@dataclass(frozen=True, slots=True)
class RecoveryOrder:
    """An operator's order to replace a diverged head by the one that the entry instances have.

    :param lineage: lineage of the head to replace; a later head is not touched
    :param reason: why, written by the operator
    """

    lineage: str
    reason: str


def order_recovery(kvs: KeyValueService, order: RecoveryOrder) -> None:
    """Store an order; the entry instances that watch the service carry it out.

    :param kvs: key-value service of the platform
    :param order: order to store, in place of an earlier one
    :raises ConflictError: another operator stored one at the same time
    """
    entry = kvs.get(RECOVERY_KEY)
    expected = ABSENT if entry is None else entry.mod_revision
    kvs.put_if(RECOVERY_KEY, encode(order), expected=expected)


class HeadRepair:
    """Puts the head in force in place of a refused one.

    An earlier state is replaced without being asked: it has no change that the head in force
    lacks. A diverged head has, so an operator has to order it.

    :param kvs: key-value service of the platform
    """

    def __init__(self, kvs: KeyValueService) -> None:
        self._kvs = kvs

    def is_due(self, refused: Head, verdict: HeadVerdict) -> bool:
        """Tell whether a refused head is to be replaced.

        :param refused: head that was refused
        :param verdict: why it was refused
        """
        if verdict.is_ancestor:
            return True
        entry = self._kvs.get(RECOVERY_KEY)
        return entry is not None and decode(RecoveryOrder, entry.value).lineage == refused.lineage

    def write_back(
        self,
        refused: Head,
        refused_entry: KeyValueEntry | None,
        value: bytes,
        content: Callable[[str], bytes | None],
    ) -> bool:
        """Replace the refused head.

        :param refused: head that was refused
        :param refused_entry: its entry at the service; None when the service had no head
        :param value: encoded head in force
        :param content: returns a content of the head in force by its digest
        :returns: False when another head was written meanwhile
        """
        expected = ABSENT if refused_entry is None else refused_entry.mod_revision
        present = set(refused.buckets.values())
        for digest in decode(Head, value).buckets.values():
            stored = None if digest in present else content(digest)
            if stored is not None:
                with contextlib.suppress(ConflictError):
                    self._kvs.put_if(content_key(digest), stored, expected=ABSENT)
        try:
            self._kvs.put_if(HEAD_KEY, value, expected=expected)
        except ConflictError:
            return False
        return True
