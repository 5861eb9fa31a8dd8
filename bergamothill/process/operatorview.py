"""Processes the entries that the operator wrote to the key-value service; no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from bergamothill.connection.kvs import KeyValueEntry
from bergamothill.errors import ProtocolError
from bergamothill.ids import ZoneName
from bergamothill.platform.config import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    TARGET_PREFIX,
    decode_config,
    decode_evacuation,
    decode_target,
)
from bergamothill.process.configstate import ConfigState
from bergamothill.process.prefixfollower import Snapshot
from bergamothill.version.routetable import RoutingConfig
from bergamothill.version.weighttarget import WeightTarget

__all__ = ["OperatorView"]


class OperatorView:
    """Decodes the configuration and the weight targets in snapshots of the operator's prefix.

    :param config: state to which the configuration is applied
    :param on_config: called when a configuration comes into force, with the configuration, its
        entry and the time at which the read that returned the entry was sent
    :param on_target: called with each target in each snapshot, and with the time after which the
        target was set if it is new: the time at which the previous read was sent that showed all
        earlier writes; None if there was none
    :param on_invalid_entry: called with each entry that cannot be decoded, and with the error
    :param on_evacuation: called with the evacuated zones of each snapshot before the rest of it is
        applied, the time at which the read was sent, and whether it shows all earlier writes
    """

    def __init__(
        self,
        config: ConfigState,
        on_config: Callable[[RoutingConfig, KeyValueEntry, int], None],
        on_target: Callable[[WeightTarget, int | None], None],
        on_invalid_entry: Callable[[KeyValueEntry, ProtocolError], None],
        on_evacuation: Callable[[frozenset[ZoneName], int, bool], None] | None = None,
    ) -> None:
        self._config = config
        self._on_config = on_config
        self._on_target = on_target
        self._on_invalid_entry = on_invalid_entry
        self._on_evacuation = on_evacuation
        self._previous_read_ms: int | None = None

    def apply(self, snapshot: Snapshot) -> None:
        """Process all entries of a snapshot.

        :param snapshot: all entries under the operator's prefix
        """
        is_trusted = self._config.is_read_trusted(snapshot.sent_ms)
        if self._on_evacuation is not None:
            zones = frozenset(self._evacuated_zones(snapshot))
            self._on_evacuation(zones, snapshot.sent_ms, is_trusted)
        for entry in snapshot.entries:
            try:
                self._apply_entry(entry, snapshot)
            except ProtocolError as error:
                self._on_invalid_entry(entry, error)
        if is_trusted:
            self._previous_read_ms = snapshot.sent_ms

    def _evacuated_zones(self, snapshot: Snapshot) -> Iterator[ZoneName]:
        for entry in snapshot.entries:
            if entry.key.startswith(EVACUATION_PREFIX):
                try:
                    yield decode_evacuation(entry.key)
                except ProtocolError as error:
                    self._on_invalid_entry(entry, error)

    def _apply_entry(self, entry: KeyValueEntry, snapshot: Snapshot) -> None:
        read = (entry.mod_revision, snapshot.sent_ms, snapshot.source)
        if entry.key.startswith(TARGET_PREFIX):
            self._on_target(decode_target(entry.value), self._previous_read_ms)
        elif entry.key == CONFIG_KEY and entry.mod_revision == self._config.revision:
            self._config.confirm(*read)
        elif entry.key == CONFIG_KEY:
            config = decode_config(entry.value)
            if self._config.apply(config, *read):
                self._on_config(config, entry, snapshot.sent_ms)
