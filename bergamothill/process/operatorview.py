"""Applies the entries that the operator wrote to the key-value service; no I/O."""

from __future__ import annotations

from collections.abc import Callable

from bergamothill.connection.kvs import KeyValueEntry
from bergamothill.errors import ProtocolError
from bergamothill.platform.config import CONFIG_KEY, VERSION_PREFIX, decode_config, decode_target
from bergamothill.process.configstate import ConfigState
from bergamothill.process.prefixfollower import Snapshot
from bergamothill.version.routetable import RoutingConfig
from bergamothill.version.weighttarget import WeightTarget

__all__ = ["OperatorView"]


class OperatorView:
    """Extracts the configuration and the weight targets from snapshots.

    :param config: state to which the configuration is applied
    :param on_config: called with each configuration newly in force, its entry and the time at which
        that entry was requested
    :param on_target: called with each target of each snapshot, and whether the snapshot is the
        first
    :param on_unreadable: called with each entry that cannot be decoded, and the error
    """

    def __init__(
        self,
        config: ConfigState,
        on_config: Callable[[RoutingConfig, KeyValueEntry, int], None],
        on_target: Callable[[WeightTarget, bool], None],
        on_unreadable: Callable[[KeyValueEntry, ProtocolError], None],
    ) -> None:
        self._config = config
        self._on_config = on_config
        self._on_target = on_target
        self._on_unreadable = on_unreadable
        self._is_first_read = True

    def apply(self, snapshot: Snapshot) -> None:
        """Apply a snapshot.

        :param snapshot: all entries under the operator's prefix
        """
        for entry in snapshot.entries:
            try:
                self._apply_entry(entry, snapshot.sent_ms)
            except ProtocolError as error:
                self._on_unreadable(entry, error)
        self._is_first_read = False

    def _apply_entry(self, entry: KeyValueEntry, sent_ms: int) -> None:
        if entry.key.startswith(VERSION_PREFIX):
            self._on_target(decode_target(entry.value), self._is_first_read)
        elif entry.key == CONFIG_KEY and entry.mod_revision == self._config.revision:
            self._config.confirm(entry.mod_revision, sent_ms)
        elif entry.key == CONFIG_KEY:
            config = decode_config(entry.value)
            if self._config.apply(config, entry.mod_revision, sent_ms):
                self._on_config(config, entry, sent_ms)
