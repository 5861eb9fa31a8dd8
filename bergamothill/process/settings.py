"""Settings of an entry instance, loaded from a TOML file and fully validated before startup."""

from __future__ import annotations

import ipaddress
import os
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bergamothill.errors import SettingsError
from bergamothill.ids import EntryInstanceId, ZoneName

__all__ = ["SETTING_KEYS", "SettingKey", "Settings", "is_address", "load_settings"]

MAX_PORT = 65_535
MIN_SECRET_LENGTH = 16
DIGEST_LENGTH = 64


@dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of one entry instance.

    :param entry_id: name of the instance, unique in the deployment
    :param zone: availability zone
    :param listen_address: ``host:port`` to listen on for callers and operators
    :param peer_address: ``host:port`` to listen on for the other entry instances
    :param kvs_address: ``host:port`` of the key-value service
    :param instance_list_address: ``host:port`` of the instance list
    :param weight_store_address: ``host:port`` of the weight store
    :param shared_secret: signs stream tokens and authenticates peers; the same on all instances
    :param operator_key_digest: hexadecimal SHA-256 of the operator key
    :param statsd_address: ``host:port`` of the metrics daemon; empty disables metrics
    :param log_level: minimum level to log
    :param max_body_bytes: maximum size of a request body
    :param max_held_bytes: maximum memory of the bodies of all requests in progress; 0 for half of
        the memory of the machine
    :param worker_threads: maximum number of concurrent requests
    :param idle_timeout_ms: maximum time without data from a backend server during a stream
    :param drain_notice_ms: time for which new work is accepted after readiness starts to fail
    :param drain_finish_ms: time for requests in progress to complete, from the shutdown request
    """

    entry_id: EntryInstanceId
    zone: ZoneName
    listen_address: str
    peer_address: str
    kvs_address: str
    instance_list_address: str
    weight_store_address: str
    shared_secret: str
    operator_key_digest: str
    statsd_address: str
    log_level: str
    max_body_bytes: int
    max_held_bytes: int
    worker_threads: int
    idle_timeout_ms: int
    drain_notice_ms: int
    drain_finish_ms: int


@dataclass(frozen=True, slots=True)
class SettingKey:
    """One key of the settings file.

    :param key: dotted key in the file
    :param field: field of :class:`Settings`
    :param expected: description of the allowed values, for error messages
    :param is_valid: returns whether a value is allowed
    :param default: value used when the key is missing; None makes the key required
    """

    key: str
    field: str
    expected: str
    is_valid: Callable[[Any], bool]
    default: Any = None


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= 64 and value.replace("-", "").isalnum()


def is_address(value: Any) -> bool:
    """Return whether a value is an IP address with a port.

    :param value: value from a settings file
    """
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) <= MAX_PORT


def _is_optional_address(value: Any) -> bool:
    return value == "" or is_address(value)


def _is_secret(value: Any) -> bool:
    return isinstance(value, str) and len(value) >= MIN_SECRET_LENGTH


def _is_digest(value: Any) -> bool:
    return (
        isinstance(value, str)
        and len(value) == DIGEST_LENGTH
        and all(char in "0123456789abcdef" for char in value)
    )


def _is_log_level(value: Any) -> bool:
    return value in ("debug", "info", "warning", "error")


def _int_between(minimum: int, maximum: int) -> Callable[[Any], bool]:
    return lambda value: type(value) is int and minimum <= value <= maximum


_NAME_RULE = "1 to 64 letters, digits and hyphens"
_ADDRESS_RULE = "IP address and port, such as 127.0.0.1:8080"

SETTING_KEYS: tuple[SettingKey, ...] = (
    SettingKey("entry.id", "entry_id", _NAME_RULE, _is_name),
    SettingKey("entry.zone", "zone", _NAME_RULE, _is_name),
    SettingKey("entry.listen_address", "listen_address", _ADDRESS_RULE, is_address),
    SettingKey("entry.peer_address", "peer_address", _ADDRESS_RULE, is_address),
    SettingKey("platform.kvs_address", "kvs_address", _ADDRESS_RULE, is_address),
    SettingKey(
        "platform.instance_list_address", "instance_list_address", _ADDRESS_RULE, is_address
    ),
    SettingKey("platform.weight_store_address", "weight_store_address", _ADDRESS_RULE, is_address),
    SettingKey(
        "security.shared_secret",
        "shared_secret",
        f"text of at least {MIN_SECRET_LENGTH} characters",
        _is_secret,
    ),
    SettingKey(
        "security.operator_key_digest",
        "operator_key_digest",
        f"SHA-256 of the operator key as {DIGEST_LENGTH} lower-case hexadecimal digits",
        _is_digest,
    ),
    SettingKey(
        "metrics.statsd_address",
        "statsd_address",
        f"{_ADDRESS_RULE}, or empty",
        _is_optional_address,
        default="",
    ),
    SettingKey("log.level", "log_level", "debug, info, warning or error", _is_log_level, "info"),
    SettingKey(
        "requests.max_body_bytes",
        "max_body_bytes",
        "1024 to 268435456",
        _int_between(1_024, 268_435_456),
        67_108_864,
    ),
    SettingKey(
        "requests.max_held_bytes",
        "max_held_bytes",
        "0 to 1099511627776",
        _int_between(0, 1_099_511_627_776),
        default=0,
    ),
    SettingKey(
        "requests.worker_threads",
        "worker_threads",
        "8 to 2048",
        _int_between(8, 2_048),
        default=512,
    ),
    SettingKey(
        "requests.idle_timeout_ms",
        "idle_timeout_ms",
        "1000 to 600000",
        _int_between(1_000, 600_000),
        10_000,
    ),
    SettingKey(
        "drain.notice_ms",
        "drain_notice_ms",
        "0 to 600000",
        _int_between(0, 600_000),
        default=10_000,
    ),
    SettingKey(
        "drain.finish_ms",
        "drain_finish_ms",
        "1000 to 3600000",
        _int_between(1_000, 3_600_000),
        180_000,
    ),
)

_SECRET_FIELDS = frozenset({"shared_secret"})


def load_settings(path: str | os.PathLike[str]) -> Settings:
    """Load and validate a settings file.

    :param path: path of the TOML file
    :returns: validated settings
    :raises ExceptionGroup: contains one :class:`~bergamothill.errors.SettingsError` per fault
    """
    file = os.fspath(path)
    try:
        document = tomllib.loads(Path(file).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        fault = SettingsError(file=file, key="-", found=str(error), expected="a TOML file")
        raise ExceptionGroup("settings are invalid", [fault]) from None
    return _validate(file, _flatten(document))


def _flatten(document: Mapping[str, Any], prefix: str = "") -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for key, value in document.items():
        if isinstance(value, dict):
            flat.update(_flatten(value, f"{prefix}{key}."))
        else:
            flat[f"{prefix}{key}"] = value
    return flat


def _validate(file: str, flat: Mapping[str, Any]) -> Settings:
    faults: list[SettingsError] = []
    values: dict[str, Any] = {}
    for setting in SETTING_KEYS:
        value = flat.get(setting.key, setting.default)
        if value is None:
            found = "nothing"
        elif setting.field in _SECRET_FIELDS:
            found = "a value that is not shown"
        else:
            found = repr(value)
        if value is None or not setting.is_valid(value):
            faults.append(
                SettingsError(file=file, key=setting.key, found=found, expected=setting.expected)
            )
        values[setting.field] = value
    known = {setting.key for setting in SETTING_KEYS}
    for key in sorted(set(flat) - known):
        faults.append(
            SettingsError(
                file=file, key=key, found="unknown key", expected="one of the documented keys"
            )
        )
    if faults:
        raise ExceptionGroup("settings are invalid", faults)
    return Settings(**values)
