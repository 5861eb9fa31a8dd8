"""Stand-in for a plain service, such as booking, that does not deduplicate repeated calls.

``GET /effects`` lists the effects, ``GET /stats`` counts the calls received for execution. ``GET``
of any other path has no effect. The fault switch ``effect_delay_ms``, in addition to those of
:mod:`standins.base`, delays the effect, which takes place even if the caller has disconnected.
"""

from __future__ import annotations

import argparse
import threading
import time
from typing import Any

from werkzeug.wrappers import Request, Response

from standins.base import StandIn, json_response


class ServiceStandIn(StandIn):
    """Plain service that records the effects of its calls.

    :param name: name of the service
    """

    def __init__(self, name: str) -> None:
        super().__init__()
        self._name = name
        self._effects: list[dict[str, Any]] = []
        self._received_calls = 0
        self._lock = threading.Lock()
        self.route("/effects", self._handle_effects, ["GET"])
        self.route("/stats", self._handle_stats, ["GET"])
        self.route("/healthz", self._handle_health, ["GET"])
        self.route("/<path:path>", self._handle_read, ["GET"])
        self.route("/<path:path>", self._handle_call, ["POST", "PUT", "DELETE"])

    def _handle_effects(self, request: Request) -> Response:
        with self._lock:
            return json_response(self._effects)

    def _handle_stats(self, request: Request) -> Response:
        with self._lock:
            return json_response({"received": self._received_calls})

    def _handle_health(self, request: Request) -> Response:
        return json_response({"state": "live"})

    def _handle_read(self, request: Request, path: str) -> Response:
        with self._lock:
            return json_response({"service": self._name, "effects": len(self._effects)})

    def _handle_call(self, request: Request, path: str) -> Response:
        with self._lock:
            self._received_calls += 1
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
