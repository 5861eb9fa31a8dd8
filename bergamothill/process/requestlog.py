"""Log lines on the processing of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamothill.ids import ServerId
from bergamothill.logs import EventLog
from bergamothill.process.serverattempt import ServerAttempt
from bergamothill.process.serverpool import ServerPool
from bergamothill.request.callerrequest import CallerRequest
from bergamothill.request.forwarding import AbortStream, Forwarding, ForwardStep, Send
from bergamothill.version.routetable import Route

if TYPE_CHECKING:
    from bergamothill.process.configstate import Admission

__all__ = ["RequestLog"]

_log = EventLog("gateway")


class RequestLog:
    """Writes the lines of one request.

    :param request: caller's request
    :param route: its route
    :param server_pool: observed state of the backend servers
    :param forwarding: state of the request
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        server_pool: ServerPool,
        forwarding: Forwarding,
    ) -> None:
        self._request = request
        self._route = route
        self._server_pool = server_pool
        self._forwarding = forwarding
        self._move_refusal = ""

    def record_move(
        self, attempt: ServerAttempt, step: ForwardStep, refusal: str, now_ms: int
    ) -> None:
        """Log a move, or why none can be made if that has changed.

        :param attempt: attempt that has stalled
        :param step: first step of the move
        :param refusal: why none can be made; empty if one is
        """
        if refusal and refusal == self._move_refusal:
            return
        self._move_refusal = refusal
        server = attempt.send.server.server
        _log.info(
            "answer_move",
            request=self._request.request_id,
            server=server,
            silence_ms=self._server_pool.silence_ms(server, now_ms),
            to=step.server.server if isinstance(step, Send) else "-",
            refusal=refusal or None,
            runs=self._forwarding.run_count,
            max_runs=self._route.max_servers,
            retries_left=self._forwarding.retries_left(now_ms),
        )

    def record_cut(
        self, step: AbortStream, server: ServerId, admission: Admission, now_ms: int
    ) -> None:
        """Log that a stream was cut.

        :param step: final step of the request
        :param server: server whose answer it was; empty if there was none
        :param admission: decision that admitted the request
        """
        _log.info(
            "answer_cut",
            request=self._request.request_id,
            reason=step.reason.value,
            server=server,
            silence_ms=self._server_pool.silence_ms(server, now_ms),
            runs=self._forwarding.run_count,
            max_runs=self._route.max_servers,
            retries_left=self._forwarding.retries_left(now_ms),
            config=admission.version,
        )
