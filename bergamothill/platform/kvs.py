"""Client of the platform's key-value service."""

from __future__ import annotations

import base64
import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import urlencode

from bergamothill.connection.http import HttpClient, HttpReply, decode_json
from bergamothill.connection.kvs import (
    ABSENT,
    MAX_VALUE_BYTES,
    KeyValueChange,
    KeyValueEntry,
    KeyValueHistory,
    KeyValueService,
)
from bergamothill.connection.kvs_http import decode_entry
from bergamothill.connection.storeera import StoreEra, qualify_revision
from bergamothill.errors import (
    ConflictError,
    InvalidRequestError,
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
MAX_HISTORY_CALLS = 8
MAX_ERA_DIGITS = 4  # a qualified revision then fits into the 53 bits of a JSON number

_JSON_HEADERS = {"Content-Type": "application/json"}
_ERA_HEADER = "store-era"  # rises by one each time the service is restored from an older copy


@dataclass(frozen=True, slots=True)
class _StoreReply:
    """Reply with the era of the service in which the call was handled."""

    http: HttpReply
    era: int

    @property
    def status(self) -> int:
        return self.http.status


class PlatformKeyValueService(KeyValueService):
    """Implements the key-value service interface with the platform's HTTP API.

    Each conditional write and lease grant uses a new connection, because libcurl may resend a
    request on a reused one. If the first copy succeeded, the second copy of a write would fail with
    a conflict, and that of a grant would create a second lease.

    Revisions and lease ids are qualified with the era of the reply, see
    :mod:`~bergamothill.connection.storeera`.

    :param client: client of the service's address
    :param timeout_ms: timeout of a call
    """

    def __init__(self, client: HttpClient, *, timeout_ms: int = CALL_TIMEOUT_MS) -> None:
        self._client = client
        self._timeout_ms = timeout_ms
        self.era = StoreEra(client.peer)

    def get(self, key: str) -> KeyValueEntry | None:
        """Read one key with a linearizable read."""
        reply = self._call("GET", "/kv-key", "kvs.get", query={"key": key}, allowed=(200, 404))
        if reply.status == 404:
            return None
        entry = self._decode_entry(self._decode_object(reply, "kvs.get"), reply.era, "kvs.get")
        # On a connection in use again a late copy of another reply may come first.
        return self._checked_entry(entry, entry.key == key, "kvs.get")

    def scan(self, prefix: str) -> tuple[KeyValueEntry, ...]:
        """Read all keys with a prefix page by page; the entries need not form a snapshot."""
        return tuple(self._scan_pages(prefix))

    def put_if(
        self, key: str, value: bytes, *, expected: int, lease_id: LeaseId | None = None
    ) -> KeyValueEntry:
        """Write a key if it is still at the expected revision."""
        if len(value) > MAX_VALUE_BYTES:
            raise InvalidRequestError(f"value of {len(value)} bytes is too large", step="kvs.put")
        # Known before the lease and the revision are checked: if the era changes in between, the
        # reply is from another one.
        sent_era = self.era.current
        write = {"key": key, "value": base64.b64encode(value).decode()}
        if lease_id is not None:
            write["lease"] = self.era.unqualify_lease(lease_id, "kvs.put")
        revision = self._transact(
            key, expected, "kvs.put", sent_era, writes=[write], lease_id=lease_id
        )
        return KeyValueEntry(key, value, revision)

    def delete_if(self, key: str, *, expected: int) -> None:
        """Delete a key if it is still at the expected revision."""
        self._transact(key, expected, "kvs.delete", self.era.current, deletes=[key])

    def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Create a lease."""
        reply = self._call(
            "POST", "/kv-lease", "kvs.grant", body={"ttlMs": ttl_ms}, new_connection=True
        )
        return self.era.qualify_lease(reply.era, self._decode_integer(reply, "lease", "kvs.grant"))

    def renew_lease(self, lease_id: LeaseId) -> None:
        """Restart the lease's time to live."""
        step, sent_era = "kvs.renew", self.era.current
        number = self.era.unqualify_lease(lease_id, step)
        reply = self._call("POST", f"/kv-keep/{number}", step, allowed=(200, 404))
        if reply.status == 404 or reply.era != sent_era:
            raise self._lease_lost_error(lease_id, step)

    def revoke_lease(self, lease_id: LeaseId) -> None:
        """Revoke the lease and delete its keys; a lease of an earlier era has ended already."""
        try:
            number = self.era.unqualify_lease(lease_id, "kvs.revoke")
        except LeaseLostError:
            return
        self._call("DELETE", f"/kv-lease-end/{number}", "kvs.revoke", allowed=(200, 204, 404))

    def wait_for_change(self, prefix: str, *, after: int, timeout_ms: int) -> int:
        """Wait until a key below the prefix changes; return 0 if the history is not available.

        The history after a revision of an earlier era is never available.
        """
        try:
            revision = self.era.unqualify_revision(after, "kvs.watch")
        except ConflictError:
            return 0
        query = {"prefix": prefix, "after": revision, "waitMs": timeout_ms}
        reply = self._call(
            "GET",
            "/kv-watch",
            "kvs.watch",
            query=query,
            allowed=(200, 410),
            timeout_ms=timeout_ms + WATCH_SLACK_MS,
        )
        if reply.status == 410:
            return 0
        return qualify_revision(reply.era, self._decode_integer(reply, "currentRev", "kvs.watch"))

    def changes_since_creation(self, prefix: str, key: str) -> KeyValueHistory | None:
        """Return all changes below a prefix since a key was created.

        :param prefix: prefix of the keys
        :param key: key whose creation begins the history
        :returns: None if the key does not exist, or the service does not have all of the history
        """
        step = "kvs.history"
        reply = self._call("GET", "/kv-key", step, query={"key": key}, allowed=(200, 404))
        if reply.status == 404:
            return None
        era, until = reply.era, self._decode_integer(reply, "currentRev", step)
        created = self._decode_integer(reply, "createdRev", step)
        changes: list[KeyValueChange] = []
        after = created - 1
        for _ in range(MAX_HISTORY_CALLS):
            query = {"prefix": prefix, "after": after, "waitMs": 1}
            reply = self._call("GET", "/kv-watch", step, query=query, allowed=(200, 410))
            if reply.status == 410 or reply.era != era:
                return None
            page = self._decode_object(reply, step)
            changes += [self._decode_change(item, era, step) for item in page.get("events", [])]
            after = self._decode_integer(reply, "currentRev", step)
            if after >= until:
                return KeyValueHistory(qualify_revision(era, created), tuple(changes))
        return None

    def _decode_change(self, item: Any, era: int, step: str) -> KeyValueChange:
        if not isinstance(item, Mapping) or not item.get("tombstone"):
            entry = self._decode_entry(item, era, step)
            return KeyValueChange(entry.key, entry.value, entry.mod_revision)
        key, revision = item.get("key"), item.get("revision")
        if not isinstance(key, str) or not isinstance(revision, int):
            raise ProtocolError("malformed change", step=step, peer=self._client.peer)
        return KeyValueChange(key, None, qualify_revision(era, revision))

    def _scan_pages(self, prefix: str) -> Iterator[KeyValueEntry]:
        query, step, first_era = {"prefix": prefix}, "kvs.scan", None
        while True:
            reply = self._call("GET", "/kv-range", step, query=query)
            first_era = reply.era if first_era is None else first_era
            self.era.check_same(first_era, reply.era, step)
            page = self._decode_object(reply, step)
            entries = [self._decode_entry(i, reply.era, step) for i in page.get("items", [])]
            for entry in entries:
                yield self._checked_entry(entry, entry.key.startswith(prefix), step)
            if not page.get("hasMore") or not entries:
                return
            query["after"] = entries[-1].key

    def _transact(
        self,
        key: str,
        expected: int,
        step: str,
        sent_era: int,
        *,
        writes: list[dict[str, Any]] | None = None,
        deletes: list[str] | None = None,
        lease_id: LeaseId | None = None,
    ) -> int:
        body = {
            # Condition: the revision that the key must have, 0 if it must not exist.
            "expected": [{"key": key, "revision": self.era.unqualify_revision(expected, step)}],
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
        if expected != ABSENT or lease_id is not None:
            self.era.check_same(sent_era, reply.era, step)
        return qualify_revision(reply.era, self._decode_integer(reply, "revision", step))

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
    ) -> _StoreReply:
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
        era = self.era.observe(self._decode_era(reply, step), step)
        if reply.status not in allowed:
            raise self._status_error(reply, step)
        return _StoreReply(reply, era)

    def _decode_era(self, reply: HttpReply, step: str) -> int | None:
        text = reply.headers.get(_ERA_HEADER)
        if text is None:
            return None
        if not text.isdecimal() or len(text) > MAX_ERA_DIGITS:
            raise ProtocolError(
                f"era is not a whole number: {text!r:.40}", step=step, peer=self._client.peer
            )
        return int(text)

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

    def _decode_object(self, reply: _StoreReply, step: str) -> Mapping[str, Any]:
        value = decode_json(reply.http, step=step, peer=self._client.peer)
        if not isinstance(value, Mapping):
            raise ProtocolError("reply is not a JSON object", step=step, peer=self._client.peer)
        return value

    def _decode_integer(self, reply: _StoreReply, name: str, step: str) -> int:
        value = self._decode_object(reply, step).get(name)
        if not isinstance(value, int):
            raise ProtocolError(
                f"{name} in the reply is not an integer", step=step, peer=self._client.peer
            )
        return value

    def _checked_entry(self, entry: KeyValueEntry, is_asked_for: bool, step: str) -> KeyValueEntry:
        if not is_asked_for:
            text = f"reply to another call: key {entry.key!r:.60}"
            raise ProtocolError(text, step=step, peer=self._client.peer)
        return entry

    def _decode_entry(self, item: Any, era: int, step: str) -> KeyValueEntry:
        entry = decode_entry(item, "revision", step=step, peer=self._client.peer)
        return replace(entry, mod_revision=qualify_revision(era, entry.mod_revision))
