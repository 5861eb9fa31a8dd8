"""Decoder of the registry entries of backend servers."""

from __future__ import annotations

import ipaddress
import math

from bergamothill.errors import ProtocolError
from bergamothill.ids import ModelName, ServerId, ServiceName, SoftwareVersion, ZoneName
from bergamothill.platform.fields import Fields
from bergamothill.platform.headers import MAX_COLD_MS
from bergamothill.process.backends import BackendServer

__all__ = ["SERVER_PREFIX", "decode_server"]

SERVER_PREFIX = "servers/"
MAX_PORT = 65_535
MAX_SLOTS = 1_000_000

_STEP = "server.decode"
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


def decode_server(key: str, encoded: bytes, revision: int = 0) -> BackendServer:
    """Decode the registry entry of a backend server.

    :param key: full key of the entry
    :param encoded: its value
    :param revision: revision at which it was written
    :raises ProtocolError: the entry is not a valid server entry, such as one of another writer
    """
    fields = Fields.from_json(encoded, step=_STEP)
    state = fields.text("state")
    if state not in _IS_LEAVING_BY_STATE:
        raise ProtocolError(f"unknown server state: {state!r:.40}", step=_STEP)
    return BackendServer(
        server=ServerId(key.removeprefix(SERVER_PREFIX)),
        started_wall_ms=fields.bounded_integer("born", 0),
        service=ServiceName(fields.name("service")),
        address=_checked_address(fields.text("address")),
        zone=ZoneName(fields.name("zone")),
        slots=max(1, fields.bounded_integer("slots", most=MAX_SLOTS)),
        is_leaving=_IS_LEAVING_BY_STATE[state],
        software_version=SoftwareVersion(fields.name("version")),
        weights=_decode_weights(fields),
        cold_remaining_ms=_decode_cold_remaining(fields),
        revision=revision,
    )


def _decode_cold_remaining(fields: Fields) -> int | None:
    remaining_ms = fields.plausible_number("coldRemainingMs", MAX_COLD_MS)
    return None if remaining_ms is None else math.ceil(remaining_ms)


def _checked_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if not _is_ipv4(host) or not is_number or not 0 < int(port) <= MAX_PORT:
        raise ProtocolError(f"address is not IP:port: {text!r:.60}", step=_STEP)
    return text


def _is_ipv4(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def _decode_weights(fields: Fields) -> dict[ModelName, int]:
    # The "version" beside "models" is that of the server's software, not of the weights.
    rows = (Fields(row, step=_STEP) for row in fields.rows("models"))
    return {ModelName(row.name("name")): row.bounded_integer("version") for row in rows}
