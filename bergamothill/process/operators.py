"""HTTP routes for operators: health, readiness, status, drain and error budget burn."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from werkzeug.wrappers import Request, Response

from bergamothill.ids import RequestId
from bergamothill.process.frontend import Frontend, json_response
from bergamothill.process.metrics import Recorder, encode_snapshot
from bergamothill.process.work import WorkTracker
from bergamothill.request.auth import check_operator

__all__ = ["OperatorRoutes"]


class OperatorRoutes:
    """Views for the operator routes.

    :param key_digest: hexadecimal SHA-256 of the operator key
    :param work: tracks the requests in progress
    :param status: returns the status of the process as a JSON object
    :param is_configured: returns whether a configuration has been applied
    :param recorder: records the outcome of requests
    """

    def __init__(
        self,
        key_digest: str,
        work: WorkTracker,
        status: Callable[[], dict[str, Any]],
        is_configured: Callable[[], bool],
        recorder: Recorder,
    ) -> None:
        self._key_digest = key_digest
        self._work = work
        self._status = status
        self._is_configured = is_configured
        self._recorder = recorder

    def add_to(self, frontend: Frontend) -> None:
        """Add the routes; they are served even when all worker threads are busy."""
        routes = (
            ("/healthz", self.health, "GET"),
            ("/readyz", self.readiness, "GET"),
            ("/operator/status", self.status, "GET"),
            ("/operator/drain", self.drain, "POST"),
            ("/operator/burn", self.burn, "GET"),
        )
        for path, view, method in routes:
            frontend.route(path, view, (method,), always_served=True)

    def health(self, request: Request, request_id: RequestId) -> Response:
        """Report that the process is alive."""
        return json_response({"status": "live"})

    def readiness(self, request: Request, request_id: RequestId) -> Response:
        """Report whether the load balancer should send new requests."""
        if not self._work.is_ready():
            return json_response({"status": "draining"}, 503)
        if not self._is_configured():
            return json_response({"status": "no configuration"}, 503)
        return json_response({"status": "ready"})

    def status(self, request: Request, request_id: RequestId) -> Response:
        """Return the status of the process."""
        self._authorize(request)
        return json_response(self._status())

    def drain(self, request: Request, request_id: RequestId) -> Response:
        """Begin a graceful shutdown."""
        self._authorize(request)
        self._work.start_drain()
        return json_response({"draining": True, "in_progress": self._work.in_progress}, 202)

    def burn(self, request: Request, request_id: RequestId) -> Response:
        """Return the recorded request outcomes, encoded for the burn report."""
        self._authorize(request)
        snapshot = encode_snapshot(self._recorder.snapshot())
        return Response(snapshot, content_type="application/cbor")

    def _authorize(self, request: Request) -> None:
        check_operator(request.headers.get("Authorization"), self._key_digest)
