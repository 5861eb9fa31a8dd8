"""Stand-in of the platform's key-value service.

Besides the switches of the base it knows these:

- ``late_writes``: number of writes whose reply is lost at once and whose effect comes late
- ``late_effect_ms``: how late that effect comes (default 2000)

``GET /stats`` counts the calls by kind; ``POST /snapshot`` keeps the state, ``POST /restore``
returns to the state kept last.
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
    """HTTP face of an in-memory key-value service."""

    def __init__(self) -> None:
        super().__init__()
        self._service = MemoryKeyValueService(SystemClock())
        self._kept = self._service.snapshot()
        self._calls: Counter[str] = Counter()
        self._lock = threading.Lock()
        self.route("/v1/kv", self._get, ["GET"])
        self.route("/v1/kv", self._put, ["PUT"])
        self.route("/v1/kv", self._delete, ["DELETE"])
        self.route("/v1/scan", self._scan, ["GET"])
        self.route("/v1/watch", self._watch, ["GET"])
        self.route("/v1/leases", self._grant, ["POST"])
        self.route("/v1/leases", self._renew, ["PUT"])
        self.route("/v1/leases", self._revoke, ["DELETE"])
        self.route("/stats", self._stats, ["GET"])
        self.route("/snapshot", self._snapshot, ["POST"])
        self.route("/restore", self._restore, ["POST"])

    def _get(self, request: Request) -> Response:
        self._count("get")
        entry = self._service.get(request.args["key"])
        if entry is None:
            return json_response({"error": "no such key"}, 404)
        return json_response(_entry_json(entry))

    def _scan(self, request: Request) -> Response:
        self._count("scan")
        entries = self._service.scan(request.args["prefix"])
        return json_response([_entry_json(entry) for entry in entries])

    def _put(self, request: Request) -> Response:
        self._count("put")
        key, value = request.args["key"], request.get_data()
        expected = int(request.args["expected"])
        lease_id = LeaseId(request.args["lease"]) if request.args.get("lease") else None

        def write() -> KeyValueEntry:
            return self._service.put_if(key, value, expected=expected, lease_id=lease_id)

        return self._change(lambda: {"mod_revision": write().mod_revision})

    def _delete(self, request: Request) -> Response:
        self._count("delete")
        key, expected = request.args["key"], int(request.args["expected"])
        return self._change(lambda: self._service.delete_if(key, expected=expected))

    def _watch(self, request: Request) -> Response:
        self._count("watch")
        revision = self._service.wait_change(
            request.args["prefix"],
            after=int(request.args["after"]),
            timeout_ms=int(request.args["timeout_ms"]),
        )
        return json_response({"revision": revision})

    def _grant(self, request: Request) -> Response:
        self._count("grant")
        ttl_ms = int(request.args["ttl_ms"])
        return self._change(lambda: {"lease_id": self._service.grant_lease(ttl_ms)})

    def _renew(self, request: Request) -> Response:
        self._count("renew")
        lease_id = LeaseId(request.args["lease"])
        return self._change(lambda: self._service.renew_lease(lease_id))

    def _revoke(self, request: Request) -> Response:
        self._count("revoke")
        lease_id = LeaseId(request.args["lease"])
        return self._change(lambda: self._service.revoke_lease(lease_id))

    def _stats(self, request: Request) -> Response:
        with self._lock:
            return json_response(dict(self._calls))

    def _snapshot(self, request: Request) -> Response:
        self._kept = self._service.snapshot()
        return json_response({"revision": self._kept.revision})

    def _restore(self, request: Request) -> Response:
        self._service.restore(self._kept)
        return json_response({"revision": self._kept.revision})

    def _change(self, work: Callable[[], Any]) -> Response:
        if self.faults.take("late_writes"):
            late_s = self.faults.get("late_effect_ms", LATE_EFFECT_MS) / 1000
            threading.Timer(late_s, _ignore_refusal, [work]).start()
            raise DropConnection
        try:
            return json_response(work() or {})
        except ConflictError as error:
            return json_response({"error": error.message}, 409)
        except LeaseLostError as error:
            return json_response({"error": error.message}, 410)

    def _count(self, kind: str) -> None:
        with self._lock:
            self._calls[kind] += 1


def _ignore_refusal(work: Callable[[], Any]) -> None:
    with contextlib.suppress(BergamothillError):
        work()


def _entry_json(entry: KeyValueEntry) -> dict[str, Any]:
    value = base64.b64encode(entry.value).decode()
    return {"key": entry.key, "value": value, "mod_revision": entry.mod_revision}


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    KeyValueStandIn().serve(parser.parse_args().port)


if __name__ == "__main__":
    main()
