"""Stand-in for the platform's weight store.

``PUT /models/<model>/versions`` sets the versions (JSON list, oldest first), ``GET`` returns them.
``GET /models/<model>/versions/<version>`` simulates a load: it takes ``--load-ms``, and
proportionally longer while more than ``--concurrent`` loads are in progress.
"""

from __future__ import annotations

import argparse
import json
import threading
import time

from werkzeug.wrappers import Request, Response

from standins.base import StandIn, json_response

WEIGHT_BYTES = 1_000_000_000


class WeightStoreStandIn(StandIn):
    """Weight store with limited load bandwidth.

    :param load_ms: duration of one load, in milliseconds
    :param concurrent: number of concurrent loads that run at full speed
    """

    def __init__(self, load_ms: int, concurrent: int) -> None:
        super().__init__()
        self._load_ms = load_ms
        self._concurrent_loads = concurrent
        self._versions: dict[str, list[str]] = {}
        self._active_loads = 0
        self._peak_loads = 0
        self._lock = threading.Lock()
        self.route("/models/<model>/versions", self._handle_list, ["GET"])
        self.route("/models/<model>/versions", self._handle_set, ["PUT"])
        self.route("/models/<model>/versions/<version>", self._handle_load, ["GET"])
        self.route("/stats", self._handle_stats, ["GET"])

    def _handle_list(self, request: Request, model: str) -> Response:
        if model not in self._versions:
            return json_response({"error": "no such model"}, 404)
        return json_response(self._versions[model])

    def _handle_set(self, request: Request, model: str) -> Response:
        self._versions[model] = [str(name) for name in json.loads(request.get_data())]
        return json_response({})

    def _handle_load(self, request: Request, model: str, version: str) -> Response:
        if version not in self._versions.get(model, []):
            return json_response({"error": "no such version"}, 404)
        with self._lock:
            self._active_loads += 1
            self._peak_loads = max(self._peak_loads, self._active_loads)
            slowdown = max(1.0, self._active_loads / self._concurrent_loads)
        time.sleep(self._load_ms * slowdown / 1000)
        with self._lock:
            self._active_loads -= 1
        return json_response({"model": model, "version": version, "size_bytes": WEIGHT_BYTES})

    def _handle_stats(self, request: Request) -> Response:
        with self._lock:
            return json_response({"loading": self._active_loads, "most_loading": self._peak_loads})


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--load-ms", type=int, default=300)
    parser.add_argument("--concurrent", type=int, default=2)
    arguments = parser.parse_args()
    WeightStoreStandIn(arguments.load_ms, arguments.concurrent).serve(arguments.port)


if __name__ == "__main__":
    main()
