"""Takes over what the operator wrote to the key-value service; no I/O."""

from __future__ import annotations

from collections.abc import Callable

from bergamothill.connection.kvs import KeyValueEntry
from bergamothill.errors import ProtocolError
from bergamothill.platform.config import CONFIG_KEY, VERSION_PREFIX, decode_config, decode_goal
from bergamothill.process.beliefs import ConfigBelief
from bergamothill.process.storefollower import Snapshot
from bergamothill.version.routetable import RoutingConfig
from bergamothill.version.weightgoal import WeightGoal

__all__ = ["OperatorView"]


class OperatorView:
    """Reads configuration and weight goals out of snapshots.

    :param config: belief that takes the configuration
    :param on_config: told of a configuration that is newly in force, with the entry it came from
        and when that was asked for
    :param on_goal: told of each goal in each snapshot, and whether that is the first one
    :param on_unreadable: told of entries that cannot be read
    """

    def __init__(
        self,
        config: ConfigBelief,
        on_config: Callable[[RoutingConfig, KeyValueEntry, int], None],
        on_goal: Callable[[WeightGoal, bool], None],
        on_unreadable: Callable[[KeyValueEntry, ProtocolError], None],
    ) -> None:
        self._config = config
        self._on_config = on_config
        self._on_goal = on_goal
        self._on_unreadable = on_unreadable
        self._is_first_read = True

    def take(self, snapshot: Snapshot) -> None:
        """Take a snapshot over.

        :param snapshot: entries below the operator's prefix
        """
        for entry in snapshot.entries:
            try:
                self._take_entry(entry, snapshot.sent_ms)
            except ProtocolError as error:
                self._on_unreadable(entry, error)
        self._is_first_read = False

    def _take_entry(self, entry: KeyValueEntry, sent_ms: int) -> None:
        if entry.key.startswith(VERSION_PREFIX):
            self._on_goal(decode_goal(entry.value), self._is_first_read)
        elif entry.key == CONFIG_KEY and entry.mod_revision == self._config.revision:
            self._config.confirm(entry.mod_revision, sent_ms)
        elif entry.key == CONFIG_KEY:
            config = decode_config(entry.value)
            if self._config.take(config, entry.mod_revision, sent_ms):
                self._on_config(config, entry, sent_ms)
