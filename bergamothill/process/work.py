"""Tracks requests in progress at this entry instance, and drains them at a graceful shutdown."""

from __future__ import annotations

import threading
import uuid
from collections.abc import Callable, Iterable
from typing import Any

from werkzeug.wrappers import Request, Response

from bergamothill.clock import Clock, ms_to_seconds
from bergamothill.errors import UnavailableError
from bergamothill.ids import RequestId, StreamId
from bergamothill.logs import EventLog
from bergamothill.process.drain import (
    Close,
    DrainBounds,
    Drained,
    DrainEvent,
    DrainMachine,
    DrainTick,
    HandOver,
    HandOverFailed,
    LeaveMembership,
    ReadinessSeen,
    RejectWork,
    ShutdownRequested,
    StreamEnded,
    StreamStarted,
    WorkArrived,
)
from bergamothill.process.frontend import StreamedResponse, View

__all__ = ["WorkTracker"]

TICK_MS = 100
RETRY_AFTER_MS = 1_000

_log = EventLog("drain")


class WorkTracker:
    """Counts requests in progress and performs the drain; thread-safe.

    Streams are not handed over: the connection to the caller stays at this instance until the
    answer ends.

    :param clock: source of time
    :param bounds: timeouts of the drain
    :param leave: releases the duties and leaves the membership; called once all work has ended
    """

    def __init__(self, clock: Clock, bounds: DrainBounds, leave: Callable[[], None]) -> None:
        self._clock = clock
        self._leave = leave
        self._machine = DrainMachine(bounds)
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._drain_thread: threading.Thread | None = None

    @property
    def is_draining(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return not self._machine.ready

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        with self._lock:
            return len(self._machine.open_streams)

    def is_ready(self) -> bool:
        """Return the result for a readiness check, and record that the load balancer got it."""
        self._handle_event(ReadinessSeen())
        return self._machine.ready

    def guard(self, view: View) -> View:
        """Wrap a view that accepts new work, to count its requests or reject them in a drain.

        :param view: view to wrap
        :returns: wrapped view
        """

        def guarded(request: Request, request_id: RequestId, **arguments: Any) -> Any:
            stream = self._admit()
            try:
                answer = view(request, request_id, **arguments)
            except BaseException:
                self._handle_event(StreamEnded(stream))
                raise
            if isinstance(answer, Response):
                answer.call_on_close(lambda: self._handle_event(StreamEnded(stream)))
                return answer
            return self._track_streamed_answer(answer, stream)

        return guarded

    def start_drain(self) -> None:
        """Begin a graceful shutdown; further calls have no effect."""
        with self._lock:
            if self._drain_thread is not None:
                return
            self._drain_thread = threading.Thread(target=self._run_drain, name="drain", daemon=True)
        _log.info("drain_started", in_progress=self.in_progress)
        self._handle_event(ShutdownRequested())
        self._drain_thread.start()

    def wait_closed(self) -> None:
        """Wait until the graceful shutdown is complete."""
        self._closed.wait()

    def _admit(self) -> StreamId:
        stream = StreamId(uuid.uuid4().hex)
        with self._lock:
            now_ms = self._clock.now_ms()
            effects = self._machine.handle(WorkArrived(stream), now_ms)
            refused = any(isinstance(e, RejectWork) and e.stream == stream for e in effects)
            if not refused:
                self._machine.handle(StreamStarted(stream), now_ms)
        if refused:
            raise UnavailableError(
                "this entry instance is shutting down", step="drain", retry_after_ms=RETRY_AFTER_MS
            )
        return stream

    def _track_streamed_answer(
        self, answer: StreamedResponse, stream: StreamId
    ) -> StreamedResponse:
        def tracked(start_response: Callable[..., Any]) -> Iterable[bytes]:
            try:
                return answer(start_response)
            finally:
                self._handle_event(StreamEnded(stream))

        return tracked

    def _run_drain(self) -> None:
        while not self._closed.wait(ms_to_seconds(TICK_MS)):
            self._handle_event(DrainTick())

    def _handle_event(self, event: DrainEvent) -> None:
        with self._lock:
            effects = self._machine.handle(event, self._clock.now_ms())
        for effect in effects:
            self._perform(effect)

    def _perform(self, effect: object) -> None:
        if isinstance(effect, HandOver):
            self._handle_event(HandOverFailed(effect.stream))
        elif isinstance(effect, LeaveMembership):
            self._leave()
        elif isinstance(effect, Drained):
            report = effect.report
            _log.info(
                "drained",
                duration_ms=report.duration_ms,
                finished=report.finished,
                remaining=len(report.remaining),
            )
        elif isinstance(effect, Close):
            self._closed.set()
