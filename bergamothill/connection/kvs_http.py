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
    """Key-value service behind HTTP.

    Conditional writes go on fresh connections: a resend by the transport would turn the success of
    the first copy into a conflict of the second.

    :param client: client of the service's address
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def get(self, key: str) -> KeyValueEntry | None:
        """Read one key."""
        reply = self._send("GET", "/v1/kv", {"key": key}, "kvs.get")
        if reply.status == 404:
            return None
        self._require_ok(reply, "kvs.get")
        return self._entry(self._json(reply, "kvs.get"), "kvs.get")

    def scan(self, prefix: str) -> tuple[KeyValueEntry, ...]:
        """Read all keys below a prefix, in key order."""
        reply = self._send("GET", "/v1/scan", {"prefix": prefix}, "kvs.scan")
        self._require_ok(reply, "kvs.scan")
        items = self._json(reply, "kvs.scan")
        return tuple(self._entry(item, "kvs.scan") for item in items)

    def put_if(
        self, key: str, value: bytes, *, expected: int, lease_id: LeaseId | None = None
    ) -> KeyValueEntry:
        """Write when the key is still at the expected revision."""
        step = "kvs.put"
        if len(value) > MAX_VALUE_BYTES:
            raise InvalidRequestError(f"value of {len(value)} bytes is too large", step=step)
        query = {"key": key, "expected": expected, "lease": lease_id or ""}
        reply = self._send("PUT", "/v1/kv", query, step, body=value, fresh=True)
        if reply.status == 410:
            raise LeaseLostError(f"lease {lease_id} has ended", step=step, peer=self._client.peer)
        self._require_ok(reply, step)
        return KeyValueEntry(key, value, self._integer(reply, "mod_revision", step))

    def delete_if(self, key: str, *, expected: int) -> None:
        """Delete when the key is still at the expected revision."""
        query = {"key": key, "expected": expected}
        reply = self._send("DELETE", "/v1/kv", query, "kvs.delete", fresh=True)
        self._require_ok(reply, "kvs.delete")

    def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Open a lease."""
        reply = self._send("POST", "/v1/leases", {"ttl_ms": ttl_ms}, "kvs.grant", fresh=True)
        self._require_ok(reply, "kvs.grant")
        return LeaseId(str(self._field(reply, "lease_id", "kvs.grant")))

    def renew_lease(self, lease_id: LeaseId) -> None:
        """Start the lease's life anew."""
        reply = self._send("PUT", "/v1/leases", {"lease": lease_id}, "kvs.renew")
        if reply.status == 410:
            raise LeaseLostError(
                f"lease {lease_id} has ended", step="kvs.renew", peer=self._client.peer
            )
        self._require_ok(reply, "kvs.renew")

    def revoke_lease(self, lease_id: LeaseId) -> None:
        """End the lease and remove its keys."""
        reply = self._send("DELETE", "/v1/leases", {"lease": lease_id}, "kvs.revoke")
        self._require_ok(reply, "kvs.revoke")

    def wait_change(self, prefix: str, *, after: int, timeout_ms: int) -> int:
        """Wait until a key below the prefix changes.

        A service restored from an old state answers at once, with a revision below ``after``.
        """
        query = {"prefix": prefix, "after": after, "timeout_ms": timeout_ms}
        bound_ms = timeout_ms + WATCH_SLACK_MS
        reply = self._send("GET", "/v1/watch", query, "kvs.watch", timeout_ms=bound_ms)
        self._require_ok(reply, "kvs.watch")
        return self._integer(reply, "revision", "kvs.watch")

    def _send(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        step: str,
        *,
        body: bytes | None = None,
        fresh: bool = False,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> HttpReply:
        return self._client.request(
            method,
            f"{path}?{urlencode(query)}",
            step=step,
            timeout_ms=timeout_ms,
            body=body,
            headers={"Content-Type": "application/octet-stream"},
            fresh=fresh,
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

    def _json(self, reply: HttpReply, step: str) -> Any:
        return decode_json(reply, step=step, peer=self._client.peer)

    def _field(self, reply: HttpReply, name: str, step: str) -> Any:
        value = self._json(reply, step)
        if not isinstance(value, dict) or name not in value:
            raise ProtocolError(f"reply has no {name}", step=step, peer=self._client.peer)
        return value[name]

    def _integer(self, reply: HttpReply, name: str, step: str) -> int:
        value = self._field(reply, name, step)
        if not isinstance(value, int):
            raise ProtocolError(f"{name} is no integer", step=step, peer=self._client.peer)
        return value

    def _entry(self, item: Any, step: str) -> KeyValueEntry:
        return decode_entry(item, "mod_revision", step=step, peer=self._client.peer)


def decode_entry(item: Any, revision_field: str, *, step: str, peer: str) -> KeyValueEntry:
    """Decode an entry whose value is base64 text.

    :param item: decoded JSON
    :param revision_field: field that holds the revision of the last change
    :param step: step for the error
    :param peer: peer for the error
    :raises ProtocolError: it is no entry
    """
    try:
        value = base64.b64decode(item["value"], validate=True)
        return KeyValueEntry(str(item["key"]), value, int(item[revision_field]))
    except (KeyError, TypeError, ValueError) as error:
        raise ProtocolError(f"bad entry: {error!r}", step=step, peer=peer) from error
