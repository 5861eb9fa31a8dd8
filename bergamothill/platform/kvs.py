"""Client of the platform's key-value service."""

from __future__ import annotations

import base64
import json
from collections.abc import Iterator, Mapping
from typing import Any
from urllib.parse import urlencode

from bergamothill.connection.http import HttpClient, HttpReply, decode_json
from bergamothill.connection.kvs import KeyValueEntry, KeyValueService
from bergamothill.connection.kvs_http import decode_entry
from bergamothill.errors import (
    ConflictError,
    LeaseLostError,
    OverloadedError,
    PeerTimeoutError,
    ProtocolError,
    UnavailableError,
)
from bergamothill.ids import LeaseId

__all__ = ["PlatformKeyValueService"]

CALL_TIMEOUT_MS = 800  # two consecutive calls fit into 2 s, the shortest time limit in the settings
WATCH_SLACK_MS = 1_000

_JSON_HEADERS = {"Content-Type": "application/json"}


class PlatformKeyValueService(KeyValueService):
    """Implements the key-value service interface with the platform's HTTP API.

    Each conditional write and lease grant uses a new connection, because libcurl may resend a
    request on a reused one. If the first copy succeeded, the second copy of a write would fail with
    a conflict, and that of a grant would create a second lease.

    :param client: client of the service's address
    :param timeout_ms: timeout of a call
    """

    def __init__(self, client: HttpClient, *, timeout_ms: int = CALL_TIMEOUT_MS) -> None:
        self._client = client
        self._timeout_ms = timeout_ms

    def get(self, key: str) -> KeyValueEntry | None:
        """Read one key with a linearizable read."""
        reply = self._call("GET", "/kv-key", "kvs.get", query={"key": key}, allowed=(200, 404))
        if reply.status == 404:
            return None
        return self._decode_entry(self._decode_object(reply, "kvs.get"), "kvs.get")

    def scan(self, prefix: str) -> tuple[KeyValueEntry, ...]:
        """Read all keys with a prefix page by page; the entries need not form a snapshot."""
        return tuple(self._scan_pages(prefix))

    def put_if(
        self, key: str, value: bytes, *, expected: int, lease_id: LeaseId | None = None
    ) -> KeyValueEntry:
        """Write a key if it is still at the expected revision."""
        write = {"key": key, "value": base64.b64encode(value).decode()}
        if lease_id is not None:
            write["lease"] = int(lease_id)
        revision = self._transact(key, expected, writes=[write], lease_id=lease_id)
        return KeyValueEntry(key, value, revision)

    def delete_if(self, key: str, *, expected: int) -> None:
        """Delete a key if it is still at the expected revision."""
        self._transact(key, expected, deletes=[key])

    def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Create a lease."""
        reply = self._call(
            "POST", "/kv-lease", "kvs.grant", body={"ttlMs": ttl_ms}, new_connection=True
        )
        return LeaseId(str(self._decode_integer(reply, "lease", "kvs.grant")))

    def renew_lease(self, lease_id: LeaseId) -> None:
        """Restart the lease's time to live."""
        reply = self._call("POST", f"/kv-keep/{lease_id}", "kvs.renew", allowed=(200, 404))
        if reply.status == 404:
            raise self._lease_lost_error(lease_id, "kvs.renew")

    def revoke_lease(self, lease_id: LeaseId) -> None:
        """Revoke the lease and delete its keys."""
        path = f"/kv-lease-end/{lease_id}"
        self._call("DELETE", path, "kvs.revoke", allowed=(200, 204, 404))

    def wait_for_change(self, prefix: str, *, after: int, timeout_ms: int) -> int:
        """Wait until a key below the prefix changes; return 0 if the history was compacted."""
        query = {"prefix": prefix, "after": after, "waitMs": timeout_ms}
        reply = self._call(
            "GET",
            "/kv-watch",
            "kvs.watch",
            query=query,
            allowed=(200, 410),
            timeout_ms=timeout_ms + WATCH_SLACK_MS,
        )
        return 0 if reply.status == 410 else self._decode_integer(reply, "currentRev", "kvs.watch")

    def _scan_pages(self, prefix: str) -> Iterator[KeyValueEntry]:
        query = {"prefix": prefix}
        while True:
            reply = self._call("GET", "/kv-range", "kvs.scan", query=query)
            page = self._decode_object(reply, "kvs.scan")
            entries = [self._decode_entry(item, "kvs.scan") for item in page.get("items", [])]
            yield from entries
            if not page.get("hasMore") or not entries:
                return
            query["after"] = entries[-1].key

    def _transact(
        self,
        key: str,
        expected: int,
        *,
        writes: list[dict[str, Any]] | None = None,
        deletes: list[str] | None = None,
        lease_id: LeaseId | None = None,
    ) -> int:
        step = "kvs.put"
        body = {
            # Condition: the revision that the key must have, 0 if it must not exist.
            "expected": [{"key": key, "revision": expected}],
            "writes": writes or [],
            "drop": deletes or [],
        }
        reply = self._call(
            "POST", "/kv-txn", step, body=body, new_connection=True, allowed=(200, 404, 412)
        )
        if reply.status == 404:
            raise self._lease_lost_error(lease_id, step)
        if reply.status == 412:
            raise ConflictError(
                f"key {key} is not at the expected revision", step=step, peer=self._client.peer
            )
        return self._decode_integer(reply, "revision", step)

    def _call(
        self,
        method: str,
        path: str,
        step: str,
        *,
        query: Mapping[str, Any] | None = None,
        body: Any = None,
        new_connection: bool = False,
        allowed: tuple[int, ...] = (200,),
        timeout_ms: int | None = None,
    ) -> HttpReply:
        encoded = None if body is None else json.dumps(body).encode()
        reply = self._client.request(
            method,
            f"{path}?{urlencode(query)}" if query else path,
            step=step,
            timeout_ms=timeout_ms or self._timeout_ms,
            body=encoded if encoded is not None or method != "POST" else b"",
            headers=_JSON_HEADERS,
            new_connection=new_connection,
        )
        if reply.status not in allowed:
            raise self._status_error(reply, step)
        return reply

    def _status_error(self, reply: HttpReply, step: str) -> Exception:
        text = f"status {reply.status}: {reply.body[:200].decode('utf-8', 'replace')}"
        if reply.status == 429:
            return OverloadedError(text, step=step, peer=self._client.peer)
        if reply.status == 503:
            return UnavailableError(text, step=step, peer=self._client.peer)
        if reply.status >= 500:  # the request may have taken effect
            return PeerTimeoutError(text, step=step, peer=self._client.peer)
        return ProtocolError(text, step=step, peer=self._client.peer)

    def _lease_lost_error(self, lease_id: LeaseId | None, step: str) -> LeaseLostError:
        return LeaseLostError(f"lease {lease_id} has ended", step=step, peer=self._client.peer)

    def _decode_object(self, reply: HttpReply, step: str) -> Mapping[str, Any]:
        value = decode_json(reply, step=step, peer=self._client.peer)
        if not isinstance(value, Mapping):
            raise ProtocolError("reply is not a JSON object", step=step, peer=self._client.peer)
        return value

    def _decode_integer(self, reply: HttpReply, name: str, step: str) -> int:
        value = self._decode_object(reply, step).get(name)
        if not isinstance(value, int):
            raise ProtocolError(
                f"{name} in the reply is not an integer", step=step, peer=self._client.peer
            )
        return value

    def _decode_entry(self, item: Any, step: str) -> KeyValueEntry:
        return decode_entry(item, "revision", step=step, peer=self._client.peer)
