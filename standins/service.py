"""Stand-in of a plain service, such as booking: runs each call that it gets, repeated ones too.

``GET /effects`` lists what ran, ``GET /stats`` counts the calls that came in to run. ``GET`` of any
other path reads and has no effect. Besides the
switches of the base it knows ``effect_delay_ms``: wait before the effect, also when the caller
has gone away by then.
"""

from __future__ import annotations

import argparse
import threading
import time
from typing import Any

from werkzeug.wrappers import Request, Response

from standins.base import StandIn, json_response


class ServiceStandIn(StandIn):
    """Plain service with a record of its effects.

    :param name: name of the service
    """

    def __init__(self, name: str) -> None:
        super().__init__()
        self._name = name
        self._effects: list[dict[str, Any]] = []
        self._received = 0
        self._lock = threading.Lock()
        self.route("/effects", self._show, ["GET"])
        self.route("/stats", self._stats, ["GET"])
        self.route("/healthz", self._health, ["GET"])
        self.route("/<path:path>", self._read, ["GET"])
        self.route("/<path:path>", self._run, ["POST", "PUT", "DELETE"])

    def _show(self, request: Request) -> Response:
        with self._lock:
            return json_response(self._effects)

    def _stats(self, request: Request) -> Response:
        with self._lock:
            return json_response({"received": self._received})

    def _health(self, request: Request) -> Response:
        return json_response({"state": "live"})

    def _read(self, request: Request, path: str) -> Response:
        with self._lock:
            return json_response({"service": self._name, "effects": len(self._effects)})

    def _run(self, request: Request, path: str) -> Response:
        with self._lock:
            self._received += 1
        time.sleep(self.faults.get("effect_delay_ms", 0) / 1000)
        effect = {
            "request_id": request.headers.get("X-Request-Id", ""),
            "brand": request.headers.get("X-Brand", ""),
            "idempotency_key": request.headers.get("Idempotency-Key", ""),
            "method": request.method,
            "path": path,
            "body": request.get_data().decode("utf-8", "replace"),
        }
        with self._lock:
            self._effects.append(effect)
            number = len(self._effects)
        return json_response({"service": self._name, "id": f"{self._name}-{number}"}, 201)


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", default="booking")
    arguments = parser.parse_args()
    ServiceStandIn(arguments.name).serve(arguments.port)


if __name__ == "__main__":
    main()
