"""State machine of one inference: attempts, answer stream, and handling of failures.

It takes typed events and returns typed effects, without sockets, threads or clock. The runner in
:mod:`bergamothill.request.runner` performs the effects.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod

from bergamothill.connection.engine import EventKind, StreamEvent
from bergamothill.errors import (
    BergamothillError,
    Execution,
    NotFoundError,
    ProtocolError,
    StreamBrokenError,
    WeightVersionError,
)
from bergamothill.ids import ServerId, StreamId, WeightVersion
from bergamothill.request.attemptlog import Attempt, AttemptLog
from bergamothill.request.stream import AnswerStream, StreamPhase
from bergamothill.version.block import BlockChain
from bergamothill.version.weights import RunVersion

__all__ = [
    "Closed",
    "Effect",
    "Failed",
    "Finished",
    "InferenceMachine",
    "Place",
    "Placed",
    "Refused",
    "Resume",
    "Send",
    "Unplaceable",
]

MAX_ATTEMPTS = 3
RESUME_DELAYS_MS = (0, 250, 1_000)
_STEP = "inference"


@dataclass(frozen=True, slots=True)
class Place:
    """Effect: choose a backend server that has not been tried.

    :param tried: servers of earlier attempts
    """

    tried: tuple[ServerId, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Effect: send the run to a backend server.

    :param server: backend server
    :param stream_id: stream to open there
    """

    server: ServerId
    stream_id: StreamId


@dataclass(frozen=True, slots=True)
class Resume:
    """Effect: fetch the rest of the stream on a new connection.

    :param server: backend server that has the stream
    :param stream_id: stream to resume
    :param after: last sequence number received without a gap
    :param pause_ms: time to wait before resuming, in milliseconds
    """

    server: ServerId
    stream_id: StreamId
    after: int
    pause_ms: int = 0


@dataclass(frozen=True, slots=True)
class Finished:
    """Final effect: the complete answer was delivered."""


@dataclass(frozen=True, slots=True)
class Failed:
    """Final effect: report an error to the caller.

    :param error: error whose ``execution`` holds for the whole request
    """

    error: BergamothillError


Effect = Place | Send | Resume | Finished | Failed


@dataclass(frozen=True, slots=True)
class Placed:
    """Event: a backend server was chosen.

    :param server: backend server
    :param stream_id: new id for the stream
    """

    server: ServerId
    stream_id: StreamId


@dataclass(frozen=True, slots=True)
class Unplaceable:
    """Event: no backend server can take the run.

    :param error: reason
    """

    error: BergamothillError


@dataclass(frozen=True, slots=True)
class Refused:
    """Event: the exchange failed with an error.

    :param error: error; its ``execution`` states whether the run may have started
    """

    error: BergamothillError


@dataclass(frozen=True, slots=True)
class Closed:
    """Event: the connection ended without an error."""


class InferenceMachine:
    """State machine of one inference.

    :param version: weight version pinned at admission
    """

    def __init__(self, version: WeightVersion) -> None:
        self._version = version
        self._attempts = self._new_attempts()
        self._attempt: Attempt | None = None
        self._server = ServerId("")
        self._stream_id = StreamId("")
        self._stream = self._new_stream(-1)
        self._run_version = self._new_run_version(ServerId(""), is_confirmed=False)
        self._start: StreamEvent | None = None
        self._last_error: BergamothillError | None = None
        self._resumptions_without_progress = 0
        self._progress = -1
        self._is_resumption = False
        self._has_delivered = False

    @classmethod
    def resuming(
        cls, version: WeightVersion, server: ServerId, stream_id: StreamId, after: int
    ) -> InferenceMachine:
        """Return a machine that resumes a stream started on another connection of the caller.

        :param version: weight version pinned for the run
        :param server: backend server that has the stream
        :param stream_id: stream to resume
        :param after: last sequence number that the caller has
        """
        machine = cls(version)
        machine._server = server
        machine._stream_id = stream_id
        machine._stream = machine._new_stream(after)
        machine._run_version = machine._new_run_version(server, is_confirmed=after >= 0)
        machine._progress = after
        machine._is_resumption = True
        machine._has_delivered = True
        return machine

    def _new_attempts(self) -> AttemptLog:
        return AttemptLog()

    def _new_stream(self, after: int) -> AnswerStream:
        return AnswerStream(after)

    def _new_run_version(self, server: ServerId, *, is_confirmed: bool) -> RunVersion:
        return RunVersion(self._version, server, is_confirmed=is_confirmed)

    def may_export(self, chain: BlockChain) -> bool:
        """Return whether blocks computed by the last attempt may be stored under a chain's keys.

        :param chain: blocks of the prompt
        """
        return self._run_version.may_export(chain)

    def begin(self) -> Effect:
        """Return the first effect."""
        if self._is_resumption:
            return Resume(self._server, self._stream_id, self._stream.after)
        return Place(())

    def mark_sending(self) -> None:
        """Record that bytes of the run may be sent from now on; called just before the send."""
        if self._attempt is not None:
            self._attempts.mark_sending(self._attempt)

    @property
    def has_delivered(self) -> bool:
        """Whether the caller has received events, and with them the stream token."""
        return self._has_delivered

    def receive(
        self, event: StreamEvent, stream_id: StreamId | None = None
    ) -> tuple[StreamEvent, ...]:
        """Handle an event of the current stream.

        The START event is withheld until the next event can be delivered, so that a run that fails
        before its first token can still move to another backend server.

        :param event: event as received
        :param stream_id: stream of the event; None for the current one
        :returns: events to deliver to the caller now
        :raises WeightVersionError: the engine ran another weight version than the pinned one
        """
        if not self._is_current(stream_id):
            return ()
        ready = self._stream.receive(event)
        if not ready:
            return ()
        if self._attempt is not None:
            self._attempts.mark_started(self._attempt)
        self._check_version(ready)
        if ready[0].kind is EventKind.START and not self._has_delivered:
            self._start = ready[0]
            ready = ready[1:]
        ready = tuple(event for event in ready if event.kind is not EventKind.ERROR)
        if not ready:
            return ()
        if self._start is not None:
            ready = (self._start, *ready)
            self._start = None
        self._has_delivered = True
        return ready

    @singledispatchmethod
    def handle(self, event: object) -> Effect:
        """Handle an event and return the next effect.

        :param event: one of the event types of this module
        """
        raise TypeError(f"unknown event {event!r}")

    @handle.register
    def _(self, event: Placed) -> Effect:
        self._attempt = self._attempts.begin(event.server)
        self._server = event.server
        self._stream_id = event.stream_id
        self._stream = self._new_stream(-1)
        self._run_version = self._new_run_version(event.server, is_confirmed=False)
        self._start = None
        self._progress = -1
        self._resumptions_without_progress = 0
        return Send(event.server, event.stream_id)

    @handle.register
    def _(self, event: Unplaceable) -> Effect:
        error = self._last_error or event.error
        if error.retry_after_ms is None:
            error.retry_after_ms = event.error.retry_after_ms
        return self._fail(error)

    @handle.register
    def _(self, event: Closed) -> Effect:
        broken = StreamBrokenError(
            "the connection closed before the answer was complete",
            step=_STEP,
            peer=self._server,
            execution=Execution.UNKNOWN,
        )
        return self._after_failure(broken)

    @handle.register
    def _(self, event: Refused) -> Effect:
        return self._after_failure(event.error)

    def _after_failure(self, error: BergamothillError) -> Effect:
        if self._stream.phase is StreamPhase.COMPLETE:
            return Finished()
        if self._stream.phase is StreamPhase.FAILED:
            error = StreamBrokenError(
                f"the engine ended the stream: {self._stream.failure}",
                step=_STEP,
                peer=self._server,
                execution=Execution.UNKNOWN,
            )
        if self._attempt is not None:
            self._attempts.mark_failed(self._attempt, error)
        self._last_error = error
        if self._has_delivered:
            return self._resume_or_fail(error)
        if len(self._attempts.servers) < MAX_ATTEMPTS:
            return Place(self._attempts.servers)
        return self._fail(error)

    def _resume_or_fail(self, error: BergamothillError) -> Effect:
        is_final = isinstance(error, NotFoundError | ProtocolError)
        if is_final or self._stream.phase is StreamPhase.FAILED:
            return self._fail(self._to_stream_broken(error))
        after = self._stream.connection_lost()
        if after > self._progress:
            self._resumptions_without_progress = 0
        self._progress = after
        self._resumptions_without_progress += 1
        if self._resumptions_without_progress > len(RESUME_DELAYS_MS):
            return self._fail(self._to_stream_broken(error))
        pause_ms = RESUME_DELAYS_MS[self._resumptions_without_progress - 1]
        return Resume(self._server, self._stream_id, after, pause_ms)

    def _to_stream_broken(self, error: BergamothillError) -> BergamothillError:
        if self._is_resumption and isinstance(error, NotFoundError):
            return error
        return StreamBrokenError(
            f"the answer stream cannot be resumed: {error.message}",
            step=error.step,
            peer=error.peer,
            execution=Execution.UNKNOWN,
        )

    def _fail(self, error: BergamothillError) -> Failed:
        if self._is_resumption:
            error.execution = Execution.UNKNOWN
            return Failed(error)
        return Failed(self._attempts.with_final_execution(error))

    def _is_current(self, stream_id: StreamId | None) -> bool:
        """Return whether an event belongs to the current stream, not to an abandoned attempt."""
        return stream_id is None or stream_id == self._stream_id

    def _check_version(self, ready: tuple[StreamEvent, ...]) -> None:
        try:
            for event in ready:
                self._run_version.check(event)
        except WeightVersionError:
            self._stream.phase = StreamPhase.OPEN
            raise
