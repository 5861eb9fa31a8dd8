"""Stand-in of the platform's weight store.

``PUT /models/<model>/versions`` sets the versions (JSON list, oldest first), ``GET`` shows them.
``GET /models/<model>/versions/<version>`` is a load: it takes ``--load-ms``, and longer in
proportion when more than ``--concurrent`` loads are under way.
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
    """Weight versions with a limited rate of loads.

    :param load_ms: duration of one load, in milliseconds
    :param concurrent: loads at once that do not slow each other down
    """

    def __init__(self, load_ms: int, concurrent: int) -> None:
        super().__init__()
        self._load_ms = load_ms
        self._concurrent = concurrent
        self._versions: dict[str, list[str]] = {}
        self._loading = 0
        self._most_loading = 0
        self._lock = threading.Lock()
        self.route("/models/<model>/versions", self._show, ["GET"])
        self.route("/models/<model>/versions", self._set, ["PUT"])
        self.route("/models/<model>/versions/<version>", self._load, ["GET"])
        self.route("/stats", self._stats, ["GET"])

    def _show(self, request: Request, model: str) -> Response:
        if model not in self._versions:
            return json_response({"error": "no such model"}, 404)
        return json_response(self._versions[model])

    def _set(self, request: Request, model: str) -> Response:
        self._versions[model] = [str(name) for name in json.loads(request.get_data())]
        return json_response({})

    def _load(self, request: Request, model: str, version: str) -> Response:
        if version not in self._versions.get(model, []):
            return json_response({"error": "no such version"}, 404)
        with self._lock:
            self._loading += 1
            self._most_loading = max(self._most_loading, self._loading)
            slowdown = max(1.0, self._loading / self._concurrent)
        time.sleep(self._load_ms * slowdown / 1000)
        with self._lock:
            self._loading -= 1
        return json_response({"model": model, "version": version, "size_bytes": WEIGHT_BYTES})

    def _stats(self, request: Request) -> Response:
        with self._lock:
            return json_response({"loading": self._loading, "most_loading": self._most_loading})


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
