"""Stand-in for the key-value service of the users' platform.

Fault switches in addition to those of :mod:`standins.base`:

- ``busy``: reply 503 without handling the request
- ``limited``: reply 429 without handling the request
- ``late_writes``: number of writes to apply late, with the connection reset at once
- ``late_effect_ms``: delay until such a write is applied (default 2000)
- ``compacted``: watches fail with 410, as if their start revision had been compacted
- ``era_header``: value of the header with the era instead of the true one
"""

from __future__ import annotations

import argparse
import base64
import json
import threading
from typing import Any

from werkzeug.wrappers import Request, Response

from bergamothill.clock import SystemClock
from bergamothill.connection.kvs import KeyValueChange, KeyValueEntry
from bergamothill.connection.kvs_memory import KeyValueSnapshot, MemoryKeyValueService
from bergamothill.errors import ConflictError, LeaseLostError
from bergamothill.ids import LeaseId
from standins.base import DropConnection, StandIn, json_response

LATE_EFFECT_MS = 2_000
PAGE_ITEMS = 3


class PlatformStoreStandIn(StandIn):
    """HTTP interface to an in-memory key-value service, in the platform's format."""

    def __init__(self) -> None:
        super().__init__()
        self.service = MemoryKeyValueService(SystemClock())
        self._leases: dict[int, LeaseId] = {}
        self._lock = threading.Lock()
        self.era = 1
        self.route("/kv-key", self._handle_get, ["GET"])
        self.route("/kv-range", self._handle_range, ["GET"])
        self.route("/kv-watch", self._handle_watch, ["GET"])
        self.route("/kv-txn", self._handle_transaction, ["POST"])
        self.route("/kv-lease", self._handle_lease_grant, ["POST"])
        self.route("/kv-keep/<int:lease>", self._handle_lease_renewal, ["POST"])
        self.route("/kv-lease-end/<int:lease>", self._handle_lease_end, ["DELETE"])

    def _dispatch(self, request: Request) -> Response:
        if request.path.startswith("/kv-"):
            if self.faults.get("busy"):
                return json_response({"error": "busy"}, 503)
            if self.faults.get("limited"):
                return json_response({"error": "too many calls"}, 429)
        response = super()._dispatch(request)
        response.headers["Store-Era"] = self.faults.get("era_header", str(self.era))
        return response

    def restore(self, copy: KeyValueSnapshot) -> None:
        """Replace the state with an older copy; all leases end and their numbers are reused.

        :param copy: state to restore
        """
        with self._lock:
            leased = {key for lease in copy.leases for key in lease.keys}
            kept = tuple(entry for entry in copy.entries if entry.key not in leased)
            self._leases.clear()
            self.era += 1
            self.service.restore(KeyValueSnapshot(copy.revision, kept, ()))

    def _handle_get(self, request: Request) -> Response:
        entry = self.service.get(request.args["key"])
        if entry is None:
            return json_response({"error": "no such key"}, 404)
        created = self.service.created_revision(entry.key) or entry.mod_revision
        revisions = {"createdRev": created, "currentRev": self.service.revision}
        return json_response(_encode_entry(entry) | revisions)

    def _handle_range(self, request: Request) -> Response:
        after = request.args.get("after", "")
        matching = [item for item in self.service.scan(request.args["prefix"]) if item.key > after]
        page = matching[:PAGE_ITEMS]
        items = [_encode_entry(entry) for entry in page]
        return json_response(
            {"items": items, "hasMore": len(matching) > len(page), "currentRev": 1}
        )

    def _handle_watch(self, request: Request) -> Response:
        if self.faults.get("compacted"):
            return json_response({"error": "history is gone"}, 410)
        after, wait_ms = int(request.args["after"]), int(request.args["waitMs"])
        if after > self.service.revision:
            return json_response({"error": "no such revision"}, 410)
        prefix = request.args["prefix"]
        revision = self.service.wait_for_change(prefix, after=after, timeout_ms=wait_ms)
        changes = self.service.changes_after(prefix, after)
        events = [_encode_change(change) for change in changes if change.mod_revision <= revision]
        return json_response({"events": events, "currentRev": revision})

    def _handle_transaction(self, request: Request) -> Response:
        body = json.loads(request.get_data())
        if self.faults.consume("late_writes"):
            delay_s = self.faults.get("late_effect_ms", LATE_EFFECT_MS) / 1000
            threading.Timer(delay_s, self._apply_transaction, [body]).start()
            raise DropConnection
        return self._apply_transaction(body)

    def _apply_transaction(self, body: dict[str, Any]) -> Response:
        (condition,) = body["expected"]
        try:
            for write in body["writes"]:
                lease = self._leases.get(write.get("lease", 0))
                if write.get("lease") and lease is None:
                    return json_response({"error": "no such lease"}, 404)
                value = base64.b64decode(write["value"])
                expected = condition["revision"]
                entry = self.service.put_if(write["key"], value, expected=expected, lease_id=lease)
                return json_response({"revision": entry.mod_revision})
            for key in body["drop"]:
                self.service.delete_if(key, expected=condition["revision"])
            return json_response({"revision": 1})
        except LeaseLostError:
            return json_response({"error": "no such lease"}, 404)
        except ConflictError:
            return json_response({"items": []}, 412)

    def _handle_lease_grant(self, request: Request) -> Response:
        ttl_ms = json.loads(request.get_data())["ttlMs"]
        lease = self.service.grant_lease(ttl_ms)
        with self._lock:
            number = len(self._leases) + 1
            self._leases[number] = lease
        return json_response({"lease": number, "ttlMs": ttl_ms})

    def _handle_lease_renewal(self, request: Request, lease: int) -> Response:
        try:
            self.service.renew_lease(self._leases.get(lease, LeaseId("")))
        except LeaseLostError:
            return json_response({"error": "no such lease"}, 404)
        return json_response({"ttlMs": 1})

    def _handle_lease_end(self, request: Request, lease: int) -> Response:
        self.service.revoke_lease(self._leases.get(lease, LeaseId("")))
        return json_response({})


def _encode_entry(entry: KeyValueEntry) -> dict[str, Any]:
    value = base64.b64encode(entry.value).decode()
    return {"key": entry.key, "value": value, "revision": entry.mod_revision, "lease": 0}


def _encode_change(change: KeyValueChange) -> dict[str, Any]:
    if change.value is None:
        return {"key": change.key, "revision": change.mod_revision, "tombstone": True}
    return _encode_entry(KeyValueEntry(change.key, change.value, change.mod_revision))


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    PlatformStoreStandIn().serve(parser.parse_args().port)


if __name__ == "__main__":
    main()
