"""HTTP client of a store instance."""

from __future__ import annotations

from urllib.parse import quote, urlencode

from bergamothill.connection.errorreply import raise_for_status
from bergamothill.connection.http import HttpClient, HttpReply, decode_json
from bergamothill.connection.store import StoredObject, StoreInstance
from bergamothill.errors import ProtocolError

__all__ = ["HttpStoreInstance"]

CALL_TIMEOUT_MS = 2_000
STATUS_RANGE_NOT_SATISFIABLE = 416


class HttpStoreInstance(StoreInstance):
    """Store instance whose objects are accessed over HTTP.

    :param client: HTTP client of the store
    :param timeout_ms: maximum duration of one call, in milliseconds
    """

    def __init__(self, client: HttpClient, *, timeout_ms: int = CALL_TIMEOUT_MS) -> None:
        self._client = client
        self._timeout_ms = timeout_ms

    def put(self, name: str, value: bytes) -> None:
        """See :meth:`StoreInstance.put`."""
        self._send_and_check("PUT", _object_path(name), "store.put", body=value)

    def get(self, name: str, *, start: int = 0, length: int | None = None) -> bytes:
        """See :meth:`StoreInstance.get`."""
        # An HTTP byte range contains at least one byte.
        if length == 0:
            return b""
        last_position = "" if length is None else str(start + length - 1)
        headers = {"Range": f"bytes={start}-{last_position}"}
        reply = self._send("GET", _object_path(name), "store.get", headers=headers)
        # The range starts at or after the end of the object.
        if reply.status == STATUS_RANGE_NOT_SATISFIABLE:
            return b""
        return raise_for_status(reply, step="store.get", peer=self._client.peer).body

    def delete(self, name: str) -> None:
        """See :meth:`StoreInstance.delete`."""
        self._send_and_check("DELETE", _object_path(name), "store.delete")

    def list(self, prefix: str) -> tuple[StoredObject, ...]:
        """See :meth:`StoreInstance.list`."""
        reply = self._send_and_check(
            "GET", "/objects?" + urlencode({"prefix": prefix}), "store.list"
        )
        rows = decode_json(reply, step="store.list", peer=self._client.peer)
        try:
            return tuple(StoredObject(name, int(size), int(age)) for name, size, age in rows)
        except (ValueError, TypeError) as error:
            raise ProtocolError(
                f"malformed object list: {error!r}", step="store.list", peer=self._client.peer
            ) from error

    def _send_and_check(
        self, method: str, path: str, step: str, body: bytes | None = None
    ) -> HttpReply:
        reply = self._send(method, path, step, body=body)
        return raise_for_status(reply, step=step, peer=self._client.peer)

    def _send(
        self,
        method: str,
        path: str,
        step: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> HttpReply:
        return self._client.request(
            method, path, step=step, timeout_ms=self._timeout_ms, body=body, headers=headers
        )


def _object_path(name: str) -> str:
    return "/objects/" + quote(name, safe="/")
