"""Client of the key-value service over HTTP."""

from __future__ import annotations

import base64
from typing import Any
from urllib.parse import urlencode

from bergamothill.connection.http import HttpClient, HttpReply, decode_json
from bergamothill.connection.kvs import MAX_VALUE_BYTES, KeyValueEntry, KeyValueService
from bergamothill.errors import (
    ConflictError,
    InvalidRequestError,
    LeaseLostError,
    PeerTimeoutError,
    ProtocolError,
)
from bergamothill.ids import LeaseId

__all__ = ["HttpKeyValueService", "decode_entry"]

CALL_TIMEOUT_MS = 1_000
WATCH_SLACK_MS = 1_000


class HttpKeyValueService(KeyValueService):
    """Client of the key-value service over HTTP.

    Conditional writes use new connections. On a reused connection the transport may resend the
    request, and the resent copy would fail with a conflict after the first one succeeded.

    :param client: HTTP client of the service
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def get(self, key: str) -> KeyValueEntry | None:
        """Read one key."""
        reply = self._send("GET", "/v1/kv", {"key": key}, "kvs.get")
        if reply.status == 404:
            return None
        self._require_ok(reply, "kvs.get")
        return self._decode_entry(self._decode_json(reply, "kvs.get"), "kvs.get")

    def scan(self, prefix: str) -> tuple[KeyValueEntry, ...]:
        """Read all keys with a prefix, in key order."""
        reply = self._send("GET", "/v1/scan", {"prefix": prefix}, "kvs.scan")
        self._require_ok(reply, "kvs.scan")
        items = self._decode_json(reply, "kvs.scan")
        return tuple(self._decode_entry(item, "kvs.scan") for item in items)

    def put_if(
        self, key: str, value: bytes, *, expected: int, lease_id: LeaseId | None = None
    ) -> KeyValueEntry:
        """Write a key if it is still at the expected revision."""
        step = "kvs.put"
        if len(value) > MAX_VALUE_BYTES:
            raise InvalidRequestError(f"value of {len(value)} bytes is too large", step=step)
        query = {"key": key, "expected": expected, "lease": lease_id or ""}
        reply = self._send("PUT", "/v1/kv", query, step, body=value, new_connection=True)
        if reply.status == 410:
            raise LeaseLostError(f"lease {lease_id} has ended", step=step, peer=self._client.peer)
        self._require_ok(reply, step)
        return KeyValueEntry(key, value, self._reply_integer(reply, "mod_revision", step))

    def delete_if(self, key: str, *, expected: int) -> None:
        """Delete a key if it is still at the expected revision."""
        query = {"key": key, "expected": expected}
        reply = self._send("DELETE", "/v1/kv", query, "kvs.delete", new_connection=True)
        self._require_ok(reply, "kvs.delete")

    def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Grant a lease."""
        reply = self._send(
            "POST", "/v1/leases", {"ttl_ms": ttl_ms}, "kvs.grant", new_connection=True
        )
        self._require_ok(reply, "kvs.grant")
        return LeaseId(str(self._reply_field(reply, "lease_id", "kvs.grant")))

    def renew_lease(self, lease_id: LeaseId) -> None:
        """Renew a lease for its full time to live."""
        reply = self._send("PUT", "/v1/leases", {"lease": lease_id}, "kvs.renew")
        if reply.status == 410:
            raise LeaseLostError(
                f"lease {lease_id} has ended", step="kvs.renew", peer=self._client.peer
            )
        self._require_ok(reply, "kvs.renew")

    def revoke_lease(self, lease_id: LeaseId) -> None:
        """Revoke a lease and delete its keys."""
        reply = self._send("DELETE", "/v1/leases", {"lease": lease_id}, "kvs.revoke")
        self._require_ok(reply, "kvs.revoke")

    def wait_for_change(self, prefix: str, *, after: int, timeout_ms: int) -> int:
        """Wait until a key with the prefix changes.

        If the service was restored from an older snapshot, this returns immediately with a revision
        below ``after``.
        """
        query = {"prefix": prefix, "after": after, "timeout_ms": timeout_ms}
        request_timeout_ms = timeout_ms + WATCH_SLACK_MS
        reply = self._send("GET", "/v1/watch", query, "kvs.watch", timeout_ms=request_timeout_ms)
        self._require_ok(reply, "kvs.watch")
        return self._reply_integer(reply, "revision", "kvs.watch")

    def _send(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        step: str,
        *,
        body: bytes | None = None,
        new_connection: bool = False,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> HttpReply:
        return self._client.request(
            method,
            f"{path}?{urlencode(query)}",
            step=step,
            timeout_ms=timeout_ms,
            body=body,
            headers={"Content-Type": "application/octet-stream"},
            new_connection=new_connection,
        )

    def _require_ok(self, reply: HttpReply, step: str) -> None:
        if reply.status == 200:
            return
        text = f"status {reply.status}: {reply.body[:200].decode('utf-8', 'replace')}"
        if reply.status == 409:
            raise ConflictError(text, step=step, peer=self._client.peer)
        if reply.status >= 500:
            raise PeerTimeoutError(text, step=step, peer=self._client.peer)
        raise ProtocolError(text, step=step, peer=self._client.peer)

    def _decode_json(self, reply: HttpReply, step: str) -> Any:
        return decode_json(reply, step=step, peer=self._client.peer)

    def _reply_field(self, reply: HttpReply, name: str, step: str) -> Any:
        value = self._decode_json(reply, step)
        if not isinstance(value, dict) or name not in value:
            raise ProtocolError(f"reply has no field {name}", step=step, peer=self._client.peer)
        return value[name]

    def _reply_integer(self, reply: HttpReply, name: str, step: str) -> int:
        value = self._reply_field(reply, name, step)
        if not isinstance(value, int):
            raise ProtocolError(
                f"{name} in the reply is not an integer", step=step, peer=self._client.peer
            )
        return value

    def _decode_entry(self, item: Any, step: str) -> KeyValueEntry:
        return decode_entry(item, "mod_revision", step=step, peer=self._client.peer)


def decode_entry(item: Any, revision_field: str, *, step: str, peer: str) -> KeyValueEntry:
    """Decode an entry whose value is encoded as base64 text.

    :param item: decoded JSON
    :param revision_field: field that holds the revision of the last change
    :param step: step to name in the error
    :param peer: peer to name in the error
    :raises ProtocolError: the entry is malformed
    """
    try:
        value = base64.b64decode(item["value"], validate=True)
        return KeyValueEntry(str(item["key"]), value, int(item[revision_field]))
    except (KeyError, TypeError, ValueError) as error:
        raise ProtocolError(f"malformed entry: {error!r}", step=step, peer=peer) from error
