"""Stand-in for the platform's key-value service.

Fault switches in addition to those of :mod:`standins.base`:

- ``late_writes``: number of writes to apply late, with the connection reset at once
- ``late_effect_ms``: delay until such a write is applied (default 2000)

``GET /stats`` returns the number of calls by kind; ``POST /snapshot`` saves the state, and
``POST /restore`` restores the last saved one.
"""

from __future__ import annotations

import argparse
import base64
import contextlib
import threading
from collections import Counter
from collections.abc import Callable
from typing import Any

from werkzeug.wrappers import Request, Response

from bergamothill.clock import SystemClock
from bergamothill.connection.kvs import KeyValueEntry
from bergamothill.connection.kvs_memory import MemoryKeyValueService
from bergamothill.errors import BergamothillError, ConflictError, LeaseLostError
from bergamothill.ids import LeaseId
from standins.base import DropConnection, StandIn, json_response

LATE_EFFECT_MS = 2_000


class KeyValueStandIn(StandIn):
    """HTTP interface to an in-memory key-value service."""

    def __init__(self) -> None:
        super().__init__()
        self._service = MemoryKeyValueService(SystemClock())
        self._saved_snapshot = self._service.snapshot()
        self._call_counts: Counter[str] = Counter()
        self._lock = threading.Lock()
        self.route("/v1/kv", self._handle_get, ["GET"])
        self.route("/v1/kv", self._handle_put, ["PUT"])
        self.route("/v1/kv", self._handle_delete, ["DELETE"])
        self.route("/v1/scan", self._handle_scan, ["GET"])
        self.route("/v1/watch", self._handle_watch, ["GET"])
        self.route("/v1/leases", self._handle_grant, ["POST"])
        self.route("/v1/leases", self._handle_renew, ["PUT"])
        self.route("/v1/leases", self._handle_revoke, ["DELETE"])
        self.route("/stats", self._handle_stats, ["GET"])
        self.route("/snapshot", self._handle_snapshot, ["POST"])
        self.route("/restore", self._handle_restore, ["POST"])

    def _handle_get(self, request: Request) -> Response:
        self._count_call("get")
        entry = self._service.get(request.args["key"])
        if entry is None:
            return json_response({"error": "no such key"}, 404)
        return json_response(_encode_entry(entry))

    def _handle_scan(self, request: Request) -> Response:
        self._count_call("scan")
        entries = self._service.scan(request.args["prefix"])
        return json_response([_encode_entry(entry) for entry in entries])

    def _handle_put(self, request: Request) -> Response:
        self._count_call("put")
        key, value = request.args["key"], request.get_data()
        expected = int(request.args["expected"])
        lease_id = LeaseId(request.args["lease"]) if request.args.get("lease") else None

        def write() -> KeyValueEntry:
            return self._service.put_if(key, value, expected=expected, lease_id=lease_id)

        return self._apply_write(lambda: {"mod_revision": write().mod_revision})

    def _handle_delete(self, request: Request) -> Response:
        self._count_call("delete")
        key, expected = request.args["key"], int(request.args["expected"])
        return self._apply_write(lambda: self._service.delete_if(key, expected=expected))

    def _handle_watch(self, request: Request) -> Response:
        self._count_call("watch")
        revision = self._service.wait_for_change(
            request.args["prefix"],
            after=int(request.args["after"]),
            timeout_ms=int(request.args["timeout_ms"]),
        )
        return json_response({"revision": revision})

    def _handle_grant(self, request: Request) -> Response:
        self._count_call("grant")
        ttl_ms = int(request.args["ttl_ms"])
        return self._apply_write(lambda: {"lease_id": self._service.grant_lease(ttl_ms)})

    def _handle_renew(self, request: Request) -> Response:
        self._count_call("renew")
        lease_id = LeaseId(request.args["lease"])
        return self._apply_write(lambda: self._service.renew_lease(lease_id))

    def _handle_revoke(self, request: Request) -> Response:
        self._count_call("revoke")
        lease_id = LeaseId(request.args["lease"])
        return self._apply_write(lambda: self._service.revoke_lease(lease_id))

    def _handle_stats(self, request: Request) -> Response:
        with self._lock:
            return json_response(dict(self._call_counts))

    def _handle_snapshot(self, request: Request) -> Response:
        self._saved_snapshot = self._service.snapshot()
        return json_response({"revision": self._saved_snapshot.revision})

    def _handle_restore(self, request: Request) -> Response:
        self._service.restore(self._saved_snapshot)
        return json_response({"revision": self._saved_snapshot.revision})

    def _apply_write(self, operation: Callable[[], Any]) -> Response:
        if self.faults.consume("late_writes"):
            delay_s = self.faults.get("late_effect_ms", LATE_EFFECT_MS) / 1000
            threading.Timer(delay_s, _apply_ignoring_errors, [operation]).start()
            raise DropConnection
        try:
            return json_response(operation() or {})
        except ConflictError as error:
            return json_response({"error": error.message}, 409)
        except LeaseLostError as error:
            return json_response({"error": error.message}, 410)

    def _count_call(self, kind: str) -> None:
        with self._lock:
            self._call_counts[kind] += 1


def _apply_ignoring_errors(operation: Callable[[], Any]) -> None:
    with contextlib.suppress(BergamothillError):
        operation()


def _encode_entry(entry: KeyValueEntry) -> dict[str, Any]:
    value = base64.b64encode(entry.value).decode()
    return {"key": entry.key, "value": value, "mod_revision": entry.mod_revision}


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    KeyValueStandIn().serve(parser.parse_args().port)


if __name__ == "__main__":
    main()
