"""Loader of settings files in the platform's layout."""

from __future__ import annotations

import math
import operator
import tomllib
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import Any

from bergamothill.errors import SettingsError
from bergamothill.ids import EntryInstanceId, RegionName, ZoneName
from bergamothill.platform.fields import log_ignored_value
from bergamothill.process.coldservers import ColdBounds
from bergamothill.process.nodesettings import DeploymentBounds, NodeSettings
from bergamothill.process.settings import MAX_PORT, is_address
from bergamothill.version.homes import RegionMap
from bergamothill.version.versionrecord import RecordUse

__all__ = ["SETTINGS_VARIABLE", "is_node_settings", "load_node_settings"]

SETTINGS_VARIABLE = "BERGAMOTHILL_CONFIG"

MS_PER_S = 1_000

_RECORD_USES = tuple(use.value for use in RecordUse)


def is_node_settings(path: str) -> bool:
    """Return whether a file has the platform's layout rather than the product's own.

    :param path: settings file
    """
    try:
        return "nodeName" in tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return False


def load_node_settings(path: str) -> NodeSettings:
    """Load a settings file and report all its faults together.

    :param path: settings file
    :raises ExceptionGroup: one :class:`~bergamothill.errors.SettingsError` for each fault
    """
    reader = _SettingsReader(path)
    settings = NodeSettings(
        entry=EntryInstanceId(reader.text("nodeName")),
        zone=ZoneName(reader.text("zone")),
        ip_address=reader.text("ipAddress"),
        caller_address=reader.address("listenAddresses.front"),
        readiness_address=reader.address("listenAddresses.readyAddress"),
        peer_port=reader.first_port("internalPortRange"),
        store_address=reader.address("platform.address"),
        heartbeat_interval_ms=reader.integer("heartbeatIntervalMs", 1_200),
        min_lease_ms=reader.integer("platform.ttlMinMs", 1_000),
        memory_mb=reader.integer("limits.memoryMb", 256),
        descriptors=reader.integer("limits.fileDescriptors", 1_024),
        bounds=_read_bounds(reader),
        link_mbps=reader.integer("limits.linkMbps", 0),
        regions=RegionMap(_region(reader.value("region")), _read_zones(reader)),
        version_record=RecordUse(reader.choice("streams.versionRecord", _RECORD_USES, "observe")),
    )
    reader.raise_faults()
    return settings


def _region(name: Any) -> RegionName | None:
    return RegionName(name) if isinstance(name, str) and name else None


def _read_zones(reader: _SettingsReader) -> dict[ZoneName, RegionName]:
    """Read the region of each zone; a zone whose region is not a name belongs to none."""
    table = reader.value("zones")
    if table is None:
        return {}
    if not isinstance(table, Mapping):
        log_ignored_value("zones", table)
        return {}
    regions = {ZoneName(zone): _region(name) for zone, name in table.items()}
    for zone, region in regions.items():
        if region is None:
            log_ignored_value(f"zones.{zone}", table[zone])
    return {zone: region for zone, region in regions.items() if region is not None}


def _read_bounds(reader: _SettingsReader) -> DeploymentBounds:
    return DeploymentBounds(
        config_apply_ms=reader.integer("bounds.configApplyMs", 2_000),
        stability_window_ms=reader.integer("bounds.stabilityWindowMs", 3_000),
        drain_notice_ms=reader.integer("bounds.drainTimeoutMs", 2_000),
        stop_grace_ms=int(reader.number("bounds.gracePeriodS", 8) * MS_PER_S),
        key_revocation_ms=reader.integer("bounds.revokeMs", 5_000),
        is_revocation_strict=reader.flag("bounds.strictRevocation", True),
        retry_ratio=reader.number("bounds.retryBudgetRatio", 0.1),
        retry_slack=reader.number("bounds.retryBudgetSlack", 0),
        retry_window_ms=int(reader.number("bounds.budgetWindowS", 10) * MS_PER_S),
        order_gap_ms=reader.integer("bounds.leaseMs", 3_000),
        weights_due_ms=reader.integer("bounds.versionMs", 6_000),
        engines_check_fencing=reader.flag("bounds.requireFencing", False),
        reuse_window_ms=int(reader.number("bounds.reuseWindowS", 20) * MS_PER_S),
        cold=ColdBounds(
            reader.number("bounds.coldOvershoot", 1.5),
            reader.number("bounds.coldSlack", 5),
            is_named="coldOvershoot" in (reader.value("bounds") or {}),
        ),
        evacuation_ms=reader.integer("bounds.evacuationMs", 5_000),
    )


class _SettingsReader:
    """Reads values by dotted key and collects all faults instead of raising the first."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._faults: list[SettingsError] = []
        self._values = self._load()

    def text(self, key: str) -> str:
        return self._checked_value(
            key, lambda v: isinstance(v, str) and v != "", "non-empty text", ""
        )

    def address(self, key: str) -> str:
        return self._checked_value(key, is_address, "IP address and port", "")

    def integer(self, key: str, default: int) -> int:
        return int(self.number(key, default))

    def number(self, key: str, default: float) -> float:
        return self._checked_value(key, _is_number, "non-negative number", default)

    def value(self, key: str) -> Any:
        """Return a value that is not checked; None if it is missing."""
        return self._values.get(key)

    def flag(self, key: str, default: bool) -> bool:
        return self._checked_value(key, lambda v: isinstance(v, bool), "true or false", default)

    def choice(self, key: str, options: tuple[str, ...], default: str) -> str:
        is_option = partial(operator.contains, options)
        value = self._checked_value(key, is_option, " or ".join(options), default)
        return value if value in options else default

    def first_port(self, key: str) -> int:
        value = self._checked_value(key, _is_port_range, "list of first and last port", "")
        return value[0] if value else 0

    def raise_faults(self) -> None:
        if self._faults:
            raise ExceptionGroup(f"invalid settings in {self._path}", self._faults)

    def _load(self) -> Mapping[str, Any]:
        try:
            return tomllib.loads(Path(self._path).read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            fault = SettingsError(
                file=self._path, key="", found=str(error), expected="a readable TOML file"
            )
            raise ExceptionGroup(f"invalid settings in {self._path}", [fault]) from error

    def _checked_value(
        self, key: str, is_valid: Callable[[Any], bool], expected: str, default: Any
    ) -> Any:
        value: Any = self._values
        for part in key.split("."):
            value = value.get(part) if isinstance(value, Mapping) else None
        if value is None and default != "":
            return default
        if is_valid(value):
            return value
        fault = SettingsError(file=self._path, key=key, found=repr(value), expected=expected)
        self._faults.append(fault)
        return default


def _is_port_range(value: Any) -> bool:
    return (
        isinstance(value, list)
        and len(value) == 2
        and all(type(port) is int and 0 < port <= MAX_PORT for port in value)
        and value[0] <= value[1]
    )


def _is_number(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and math.isfinite(value) and value >= 0
