"""Format of the entries under which backend servers list themselves."""

from __future__ import annotations

from bergamothill.errors import ProtocolError
from bergamothill.ids import ModelName, ServerId, ServiceName, ZoneName
from bergamothill.platform.reading import Fields
from bergamothill.process.backends import BackendServer

__all__ = ["SERVER_PREFIX", "decode_server"]

SERVER_PREFIX = "servers/"

_STEP = "server.decode"
_STATES = {"ready": False, "draining": True}


def decode_server(key: str, encoded: bytes) -> BackendServer:
    """Decode the entry of a backend server.

    :param key: full key of the entry
    :param encoded: its value
    :raises ProtocolError: another writer's entry, which names no server
    """
    fields = Fields.from_json(encoded, step=_STEP)
    state = fields.text("state")
    if state not in _STATES:
        raise ProtocolError(f"no such state: {state!r:.40}", step=_STEP)
    return BackendServer(
        server=ServerId(key.removeprefix(SERVER_PREFIX)),
        started_wall_ms=fields.integer("born", 0),
        service=ServiceName(fields.text("service")),
        address=_address(fields.text("address")),
        zone=ZoneName(fields.text("zone")),
        slots=max(1, fields.integer("slots")),
        is_leaving=_STATES[state],
        weights=_weights(fields),
    )


def _address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise ProtocolError(f"not an address: {text!r:.60}", step=_STEP)
    return text


def _weights(fields: Fields) -> dict[ModelName, int]:
    # "version" beside "models" is that of the server's software; weights have their own below.
    rows = (Fields(row, step=_STEP) for row in fields.rows("models"))
    return {ModelName(row.text("name")): row.integer("version") for row in rows}
