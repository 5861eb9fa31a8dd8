"""Work in progress at this entry instance, and the planned stop that waits for it."""

from __future__ import annotations

import threading
import uuid
from collections.abc import Callable, Iterable
from typing import Any

from werkzeug.wrappers import Request, Response

from bergamothill.clock import Clock, seconds
from bergamothill.errors import UnavailableError
from bergamothill.ids import RequestId, StreamId
from bergamothill.logs import EventLog
from bergamothill.process.drain import (
    AcceptNew,
    Close,
    DrainBounds,
    Drained,
    DrainEvent,
    DrainMachine,
    HandOver,
    HandOverFailed,
    ReadinessSeen,
    RefuseNew,
    SayGoodbye,
    StopRequested,
    StreamEnded,
    StreamStarted,
    TimePassed,
)
from bergamothill.process.frontend import Streamed, View

__all__ = ["WorkTracker"]

TICK_MS = 100
RETRY_AFTER_MS = 1_000

_log = EventLog("drain")


class WorkTracker:
    """Counts work in progress and carries out a drain; safe for concurrent use.

    Streams are not handed over: the answer's connection to its caller stays here until its end.

    :param clock: source of time
    :param bounds: bounds of a drain
    :param leave: releases duties and leaves membership, once work has ended
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
        """Tell whether a planned stop has begun."""
        return not self._machine.ready

    @property
    def in_progress(self) -> int:
        """Requests in progress."""
        with self._lock:
            return len(self._machine.open_streams)

    def is_ready(self) -> bool:
        """Return the answer to a readiness check, and note that the balancer saw it."""
        self._feed(ReadinessSeen())
        return self._machine.ready

    def guard(self, view: View) -> View:
        """Wrap a view that takes new work: count it, and refuse it late in a drain.

        :param view: view to wrap
        :returns: wrapped view
        """

        def guarded(request: Request, request_id: RequestId, **arguments: Any) -> Any:
            stream = self._begin()
            try:
                answer = view(request, request_id, **arguments)
            except BaseException:
                self._feed(StreamEnded(stream))
                raise
            if isinstance(answer, Response):
                answer.call_on_close(lambda: self._feed(StreamEnded(stream)))
                return answer
            return self._counted(answer, stream)

        return guarded

    def start_drain(self) -> None:
        """Begin a planned stop; a second call changes nothing."""
        with self._lock:
            if self._drain_thread is not None:
                return
            self._drain_thread = threading.Thread(target=self._drain, name="drain", daemon=True)
        _log.info("drain_started", in_progress=self.in_progress)
        self._feed(StopRequested())
        self._drain_thread.start()

    def wait_closed(self) -> None:
        """Wait until a planned stop is over."""
        self._closed.wait()

    def _begin(self) -> StreamId:
        stream = StreamId(uuid.uuid4().hex)
        with self._lock:
            now_ms = self._clock.now_ms()
            effects = self._machine.handle(AcceptNew(stream), now_ms)
            refused = any(isinstance(e, RefuseNew) and e.stream == stream for e in effects)
            if not refused:
                self._machine.handle(StreamStarted(stream), now_ms)
        if refused:
            raise UnavailableError(
                "this entry instance is stopping", step="drain", retry_after_ms=RETRY_AFTER_MS
            )
        return stream

    def _counted(self, answer: Streamed, stream: StreamId) -> Streamed:
        def counted(start_response: Callable[..., Any]) -> Iterable[bytes]:
            try:
                return answer(start_response)
            finally:
                self._feed(StreamEnded(stream))

        return counted

    def _drain(self) -> None:
        while not self._closed.wait(seconds(TICK_MS)):
            self._feed(TimePassed())

    def _feed(self, event: DrainEvent) -> None:
        with self._lock:
            effects = self._machine.handle(event, self._clock.now_ms())
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect: object) -> None:
        if isinstance(effect, HandOver):
            self._feed(HandOverFailed(effect.stream))
        elif isinstance(effect, SayGoodbye):
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
