"""WSGI application of an entry instance: routes requests and renders errors as JSON bodies."""

from __future__ import annotations

import json
import uuid
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from werkzeug.exceptions import HTTPException, RequestEntityTooLarge
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response
from werkzeug.wsgi import ClosingIterator

from bergamothill.errors import (
    BergamothillError,
    InvalidRequestError,
    NotFoundError,
    OverloadedError,
)
from bergamothill.ids import RequestId
from bergamothill.logs import EventLog
from bergamothill.process.bodyaccount import BodyAccount
from bergamothill.process.httpserver import OVERLOADED_KEY
from bergamothill.request.chat import error_body

__all__ = ["Frontend", "View", "json_response"]

MILLIS_PER_SECOND = 1_000
OVERLOAD_RETRY_MS = 1_000
REQUEST_ID_HEADER = "X-Request-Id"

_log = EventLog("frontend")

StartResponse = Callable[..., Callable[[bytes], None]]


class StreamedResponse(Protocol):
    """Answer that is written incrementally, in place of a finished response."""

    def __call__(self, start_response: StartResponse) -> Iterable[bytes]:
        """Write the answer; an error raised before the first byte becomes an error response."""


View = Callable[..., Response | StreamedResponse]


def json_response(value: Any, status: int = 200) -> Response:
    """Return a response with a JSON body.

    :param value: JSON-serializable content of the body
    :param status: HTTP status
    """
    return Response(json.dumps(value), status, content_type="application/json")


class Frontend:
    """Routes requests to views.

    A view takes the request, its id and the variables of the URL rule. It returns a response, or an
    answer that is written incrementally.

    :param max_body_bytes: maximum size of a request body
    :param bodies: account of the bodies of all requests
    """

    def __init__(self, max_body_bytes: int, bodies: BodyAccount) -> None:
        self._max_body_bytes = max_body_bytes
        self._bodies = bodies
        self._url_map = Map()
        self._views: dict[str, View] = {}
        self._always_served: set[str] = set()

    def route(
        self, path: str, view: View, methods: tuple[str, ...], *, always_served: bool = False
    ) -> None:
        """Add a route.

        :param path: werkzeug URL rule
        :param view: handles its requests
        :param methods: HTTP methods
        :param always_served: whether to serve it even when all workers are busy
        """
        endpoint = f"{'|'.join(methods)} {path}"
        self._url_map.add(Rule(path, endpoint=endpoint, methods=methods))
        self._views[endpoint] = view
        if always_served:
            self._always_served.add(endpoint)

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request (WSGI)."""
        body = environ["wsgi.input"] = self._bodies.open(environ["wsgi.input"])
        try:
            return ClosingIterator(self._serve(environ, start_response), body.release)
        except BaseException:
            body.release()
            raise

    def _serve(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        request = Request(environ)
        request.max_content_length = self._max_body_bytes
        request_id = RequestId(f"req-{uuid.uuid4().hex}")
        try:
            answer = self._dispatch(request, request_id)
            if isinstance(answer, Response):
                answer.headers[REQUEST_ID_HEADER] = request_id
                return answer(environ, start_response)
            return answer(start_response)
        except OSError as error:
            raise ConnectionAbortedError(str(error)) from None
        except BergamothillError as error:
            return self._error_response(error, request, request_id)(environ, start_response)
        except Exception as error:  # noqa: BLE001 - callers must not see tracebacks
            _log.error("unexpected_error", request_id=request_id, error=repr(error))
            internal_error = BergamothillError("internal error", step="frontend")
            return self._error_response(internal_error, request, request_id)(
                environ, start_response
            )

    def _dispatch(self, request: Request, request_id: RequestId) -> Response | StreamedResponse:
        try:
            endpoint, arguments = self._url_map.bind_to_environ(request.environ).match()
            if request.environ.get(OVERLOADED_KEY) and endpoint not in self._always_served:
                raise OverloadedError(
                    "all workers of this entry instance are busy",
                    step="frontend.workers",
                    retry_after_ms=OVERLOAD_RETRY_MS,
                )
            return self._views[endpoint](request, request_id, **arguments)
        except RequestEntityTooLarge:
            error = InvalidRequestError(
                f"the body is larger than {self._max_body_bytes} bytes", step="request.read"
            )
            error.code, error.http_status = "body_too_large", 413
            raise error from None
        except HTTPException as error:
            code = error.code or 500
            error_type = NotFoundError if code == 404 else InvalidRequestError
            http_error = error_type(error.description or error.name, step="frontend.route")
            http_error.http_status = code
            raise http_error from None

    def _error_response(
        self, error: BergamothillError, request: Request, request_id: RequestId
    ) -> Response:
        _log.info(
            "request_failed",
            request_id=request_id,
            path=request.path,
            code=error.code,
            step=error.step,
            peer=error.peer,
            execution=error.execution.value,
            reason=error.message,
        )
        response = json_response(error_body(error, request_id), error.http_status)
        response.headers[REQUEST_ID_HEADER] = request_id
        if error.retry_after_ms is not None:
            retry_after_s = -(-error.retry_after_ms // MILLIS_PER_SECOND)
            response.headers["Retry-After"] = str(max(1, retry_after_s))
        return response
