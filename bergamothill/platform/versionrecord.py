"""Encoding of the record of the versions that services have had."""

from __future__ import annotations

import json
from typing import Any

from bergamothill.errors import ProtocolError
from bergamothill.platform.fields import Fields
from bergamothill.version.versionrecord import RecordItem, VersionRecord

__all__ = ["RECORD_KEY", "decode_record", "encode_record"]

RECORD_KEY = "stream-versions"

_KINDS = {"services": "service", "routes": "route"}
_STEP = "versions.decode"


def encode_record(record: VersionRecord) -> bytes:
    """Encode the record as JSON, with the values of each service and route."""
    document: dict[str, Any] = {"era": record.era, "settled": record.is_settled}
    for field, kind in _KINDS.items():
        table = document[field] = {}
        for item in sorted(item for item in record.items if item.kind == kind):
            table.setdefault(item.name, []).append(item.value)
    return json.dumps(document).encode()


def decode_record(encoded: bytes) -> VersionRecord:
    """Decode the record.

    :raises ProtocolError: the value is not a valid record
    """
    fields = Fields.from_json(encoded, step=_STEP)
    items = set()
    for field, kind in _KINDS.items():
        table = fields.child(field)
        for name in table.names():
            values = table.rows(name)
            if not all(isinstance(value, str) for value in values):
                raise ProtocolError(f"values of {kind} {name!r:.40} are not texts", step=_STEP)
            items.update(RecordItem(kind, name, value) for value in values)
    return VersionRecord(fields.bounded_integer("era"), fields.flag("settled"), frozenset(items))
