"""Record of a non-idempotent call in the key-value service, and its encoding."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import Any, NewType
from urllib.parse import quote

import cbor2

from bergamothill.connection.service import ServiceCall, ServiceReply
from bergamothill.errors import ProtocolError
from bergamothill.ids import EntryInstanceId

__all__ = [
    "MAX_STORED_REPLY_BYTES",
    "ActionRecord",
    "AttemptToken",
    "RecordState",
    "call_digest",
    "decode_record",
    "encode_record",
    "record_key",
]

MAX_STORED_REPLY_BYTES = 65_536
KEY_PREFIX = "action"
LENGTH_BYTES = 8

AttemptToken = NewType("AttemptToken", str)
"""Random id of an attempt; distinguishes its own writes from those of other attempts."""


class RecordState(Enum):
    """Known progress of the owner of a record."""

    CLAIMED = "claimed"
    """The owner may send the call, may have sent it, or has given up without sending."""

    DONE = "done"
    """The call ran and its reply arrived."""


@dataclass(frozen=True, slots=True)
class ActionRecord:
    """Record of one call that carries an idempotency key.

    :param owner: entry instance that alone may send the call
    :param token: id of the owner's attempt
    :param digest: digest of method, path and body, see :func:`call_digest`
    :param state: known progress of the owner
    :param status: HTTP status of the reply; 0 until the call is done
    :param reply: reply of a call that is done; None when it is too large to keep
    """

    owner: EntryInstanceId
    token: AttemptToken
    digest: str
    state: RecordState = RecordState.CLAIMED
    status: int = 0
    reply: ServiceReply | None = None


def record_key(call: ServiceCall) -> str:
    """Return the key of a call's record; it is unique to the brand and the service.

    :param call: call with an idempotency key
    """
    brand = quote(call.brand, safe="")
    service = quote(call.service_name, safe="")
    key_hash = hashlib.sha256(call.idempotency_key.encode()).hexdigest()
    return f"{KEY_PREFIX}/{brand}/{service}/{key_hash}"


def call_digest(call: ServiceCall) -> str:
    """Return the SHA-256 of method, path and body, in hexadecimal.

    :param call: call to digest
    """
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()


def encode_record(record: ActionRecord) -> bytes:
    """Encode a record for storage.

    :param record: record to encode
    """
    fields: dict[str, Any] = {
        "owner": record.owner,
        "token": record.token,
        "digest": record.digest,
        "state": record.state.value,
        "status": record.status,
    }
    if record.reply is not None:
        fields["content_type"] = record.reply.content_type
        fields["body"] = record.reply.body
    return cbor2.dumps(fields)


def decode_record(value: bytes) -> ActionRecord:
    """Decode a stored record.

    :param value: stored bytes
    :raises ProtocolError: the bytes are not a valid record
    """
    try:
        fields = cbor2.loads(value)
        status = int(fields["status"])
        reply = None
        if "body" in fields:
            reply = ServiceReply(status, str(fields["content_type"]), bytes(fields["body"]))
        return ActionRecord(
            owner=EntryInstanceId(str(fields["owner"])),
            token=AttemptToken(str(fields["token"])),
            digest=str(fields["digest"]),
            state=RecordState(fields["state"]),
            status=status,
            reply=reply,
        )
    except (KeyError, TypeError, ValueError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(f"malformed action record: {error!r}", step="action.record") from error
