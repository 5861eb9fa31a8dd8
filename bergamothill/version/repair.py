"""Restores the active configuration in a key-value service that lost it."""

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
    """Operator's order to replace a diverged head with the active head of the entry instances.

    :param lineage: lineage of the head to replace; any other head is left alone
    :param reason: reason given by the operator
    """

    lineage: str
    reason: str


def order_recovery(kvs: KeyValueService, order: RecoveryOrder) -> None:
    """Store a recovery order for the entry instances that watch the service to carry out.

    :param kvs: key-value service of the platform
    :param order: order to store; replaces an earlier one
    :raises ConflictError: another operator stored an order at the same time
    """
    entry = kvs.get(RECOVERY_KEY)
    expected = ABSENT if entry is None else entry.mod_revision
    kvs.put_if(RECOVERY_KEY, encode(order), expected=expected)


class HeadRepair:
    """Replaces a refused head in the key-value service with the active one.

    A head that is an ancestor of the active one is replaced automatically, because it contains no
    change that the active head lacks. A diverged head does contain such changes, so replacing it
    requires an operator's order.

    :param kvs: key-value service of the platform
    """

    def __init__(self, kvs: KeyValueService) -> None:
        self._kvs = kvs

    def is_due(self, refused: Head, verdict: HeadVerdict) -> bool:
        """Return whether a refused head is to be replaced.

        :param refused: refused head
        :param verdict: verdict that refused it
        """
        if verdict.is_ancestor:
            return True
        entry = self._kvs.get(RECOVERY_KEY)
        return entry is not None and decode(RecoveryOrder, entry.value).lineage == refused.lineage

    def write_back(
        self,
        refused: Head,
        refused_entry: KeyValueEntry | None,
        head_value: bytes,
        read_bucket: Callable[[str], bytes | None],
    ) -> bool:
        """Replace the refused head.

        :param refused: refused head
        :param refused_entry: its entry in the service; None when the service has no head
        :param head_value: encoded active head
        :param read_bucket: returns a bucket of the active head by its digest
        :returns: False when another head was written in the meantime
        """
        expected = ABSENT if refused_entry is None else refused_entry.mod_revision
        existing_digests = set(refused.buckets.values())
        for digest in decode(Head, head_value).buckets.values():
            bucket = None if digest in existing_digests else read_bucket(digest)
            if bucket is not None:
                with contextlib.suppress(ConflictError):
                    self._kvs.put_if(content_key(digest), bucket, expected=ABSENT)
        try:
            self._kvs.put_if(HEAD_KEY, head_value, expected=expected)
        except ConflictError:
            return False
        return True
