"""Graceful shutdown (drain) as a state machine without I/O.

The same machine drains an entry instance before it stops, and an engine before its weights or its
role change. It never terminates a stream: each stream completes, or is handed over to another
instance that resumes it by its token, or is reported as remaining when the drain times out.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import singledispatchmethod

from bergamothill.ids import LeaseId, StreamId

__all__ = [
    "WorkArrived",
    "Close",
    "DrainBounds",
    "DrainEffect",
    "DrainEvent",
    "DrainMachine",
    "DrainPhase",
    "DrainReport",
    "Drained",
    "FailReadiness",
    "HandOver",
    "HandOverFailed",
    "HandedOver",
    "LeaseReleased",
    "ReadinessSeen",
    "RejectWork",
    "ReleaseLeases",
    "LeaveMembership",
    "ShutdownRequested",
    "StreamEnded",
    "StreamStarted",
    "DrainTick",
]

DEFAULT_NOTICE_MS = 5_000
DEFAULT_FINISH_MS = 60_000
DEFAULT_HAND_OVER_MS = 20_000
HAND_OVER_RETRY_DELAY_MS = 500
LEASE_RELEASE_TIMEOUT_MS = 2_000
PAUSE_THRESHOLD_MS = 1_000
"""A longer gap between two events means that this process was suspended or stalled."""


@dataclass(frozen=True, slots=True)
class DrainBounds:
    """Timeouts of a drain, in milliseconds.

    :param notice_ms: time for the load balancer to notice that the readiness check fails
    :param finish_ms: time for streams to complete on their own, counted from the shutdown request
    :param hand_over_ms: further time in which the remaining streams are handed over
    """

    notice_ms: int = DEFAULT_NOTICE_MS
    finish_ms: int = DEFAULT_FINISH_MS
    hand_over_ms: int = DEFAULT_HAND_OVER_MS

    @property
    def total_ms(self) -> int:
        """Longest time until remaining streams are reported, not counting the release of leases."""
        return self.finish_ms + self.hand_over_ms


class DrainPhase(Enum):
    """Phase of a drain."""

    SERVING = "serving"
    NOTICE = "notice"
    """Readiness checks fail; new work is still accepted, as the load balancer may still send it."""

    FINISHING = "finishing"
    """New work is rejected; streams run to completion."""

    HANDING_OVER = "handing_over"
    RELEASING = "releasing"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """A graceful shutdown was requested."""


@dataclass(frozen=True, slots=True)
class ReadinessSeen:
    """The load balancer made a readiness check and got a failure response."""


@dataclass(frozen=True, slots=True)
class WorkArrived:
    """New work arrived; the only possible effect is :class:`RejectWork` for its stream.

    :param stream: stream that the work would be assigned
    """

    stream: StreamId


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """An accepted stream is in progress; this includes a stream resumed at this instance.

    :param stream: stream that started
    :param resumable: whether another instance can resume it by its token
    """

    stream: StreamId
    resumable: bool = True


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """A stream delivered its complete answer, or its caller disconnected."""

    stream: StreamId


@dataclass(frozen=True, slots=True)
class HandedOver:
    """Another instance has taken over delivery of the stream to the caller."""

    stream: StreamId


@dataclass(frozen=True, slots=True)
class HandOverFailed:
    """No other instance could take over the stream; it continues here."""

    stream: StreamId


@dataclass(frozen=True, slots=True)
class LeaseReleased:
    """A lease was released or has expired."""

    lease: LeaseId


@dataclass(frozen=True, slots=True)
class DrainTick:
    """Periodic event that lets the machine check its timeouts."""


DrainEvent = (
    ShutdownRequested
    | ReadinessSeen
    | WorkArrived
    | StreamStarted
    | StreamEnded
    | HandedOver
    | HandOverFailed
    | LeaseReleased
    | DrainTick
)


@dataclass(frozen=True, slots=True)
class FailReadiness:
    """Fail readiness checks from now on."""


@dataclass(frozen=True, slots=True)
class RejectWork:
    """Reject new work as not executed.

    :param stream: stream to reject; None rejects all new work from now on
    """

    stream: StreamId | None = None


@dataclass(frozen=True, slots=True)
class HandOver:
    """Hand a stream over without interrupting it; report HandedOver or HandOverFailed.

    :param stream: stream to hand over to another instance
    """

    stream: StreamId


@dataclass(frozen=True, slots=True)
class ReleaseLeases:
    """Release the held leases; report LeaseReleased for each."""

    leases: tuple[LeaseId, ...]


@dataclass(frozen=True, slots=True)
class LeaveMembership:
    """Leave the membership and tell the peers."""


@dataclass(frozen=True, slots=True)
class DrainReport:
    """Outcome of a drain.

    :param duration_ms: time from the shutdown request to the end, without pauses of this process,
        in milliseconds
    :param finished: number of streams that ended on their own after the shutdown request
    :param handed_over: number of streams handed over
    :param remaining: streams still in progress at the timeout
    :param leases_kept: leases whose release was not confirmed; they expire on their own
    """

    duration_ms: int
    finished: int
    handed_over: int
    remaining: tuple[StreamId, ...] = ()
    leases_kept: tuple[LeaseId, ...] = ()


@dataclass(frozen=True, slots=True)
class Drained:
    """The drain is complete.

    :param report: outcome of the drain
    """

    report: DrainReport


@dataclass(frozen=True, slots=True)
class Close:
    """Close listeners, idle connections and peer connections, then exit."""


DrainEffect = (
    FailReadiness | RejectWork | HandOver | ReleaseLeases | LeaveMembership | Drained | Close
)


@dataclass(slots=True)
class _Stream:
    resumable: bool
    handing_over: bool = False
    next_attempt_ms: int = 0


class DrainMachine:
    """State machine that drains an entry instance or an engine.

    :param bounds: timeouts of the drain
    """

    def __init__(self, bounds: DrainBounds = DrainBounds()) -> None:  # noqa: B008 - immutable
        self.phase = DrainPhase.SERVING
        self._bounds = bounds
        self._streams: dict[StreamId, _Stream] = {}
        self._leases: set[LeaseId] = set()
        self._started_ms = 0
        self._last_event_ms: int | None = None
        self._total_pause_ms = 0
        self._readiness_seen_ms: int | None = None
        self._release_started_ms = 0
        self._finished = 0
        self._handed_over = 0

    def handle(self, event: DrainEvent, now_ms: int) -> tuple[DrainEffect, ...]:
        """Process one event; :class:`DrainTick` must be passed several times a second.

        :param event: event to process
        :param now_ms: current time, in milliseconds
        :returns: effects to perform, in order
        """
        effects: list[DrainEffect] = []
        now_ms = self._time_without_pauses_ms(now_ms)
        self._handle_event(event, now_ms, effects)
        if not isinstance(event, WorkArrived | StreamStarted):
            self._advance_phases(now_ms, effects)
        return tuple(effects)

    def _time_without_pauses_ms(self, now_ms: int) -> int:
        """Return the current time minus the pauses of this process during the drain.

        A pause must not count against the timeouts of the load balancer and the streams: what they
        sent in the meantime is still in the receive buffers.
        """
        if self._last_event_ms is not None:
            gap_ms = now_ms - self._last_event_ms
            if gap_ms > PAUSE_THRESHOLD_MS and not self.ready:
                self._total_pause_ms += gap_ms
        self._last_event_ms = now_ms
        return now_ms - self._total_pause_ms

    def add_lease(self, lease: LeaseId) -> None:
        """Register a lease to release at the end of the drain.

        :param lease: lease held by this instance
        """
        self._leases.add(lease)

    @property
    def accepts_new_work(self) -> bool:
        """Whether new work is accepted."""
        return self.phase in (DrainPhase.SERVING, DrainPhase.NOTICE)

    @property
    def ready(self) -> bool:
        """Whether readiness checks succeed."""
        return self.phase is DrainPhase.SERVING

    @property
    def open_streams(self) -> tuple[StreamId, ...]:
        """Streams in progress."""
        return tuple(self._streams)

    @singledispatchmethod
    def _handle_event(self, event: DrainEvent, now_ms: int, effects: list[DrainEffect]) -> None:
        raise TypeError(f"unknown drain event: {type(event).__name__}")

    @_handle_event.register
    def _(self, event: ShutdownRequested, now_ms: int, effects: list[DrainEffect]) -> None:
        if self.phase is DrainPhase.SERVING:
            self.phase = DrainPhase.NOTICE
            self._started_ms = now_ms
            effects.append(FailReadiness())

    @_handle_event.register
    def _(self, event: ReadinessSeen, now_ms: int, effects: list[DrainEffect]) -> None:
        if self.phase is DrainPhase.NOTICE and self._readiness_seen_ms is None:
            self._readiness_seen_ms = now_ms

    @_handle_event.register
    def _(self, event: WorkArrived, now_ms: int, effects: list[DrainEffect]) -> None:
        if not self.accepts_new_work:
            effects.append(RejectWork(event.stream))

    @_handle_event.register
    def _(self, event: StreamStarted, now_ms: int, effects: list[DrainEffect]) -> None:
        self._streams.setdefault(event.stream, _Stream(event.resumable))

    @_handle_event.register
    def _(self, event: StreamEnded, now_ms: int, effects: list[DrainEffect]) -> None:
        if self._streams.pop(event.stream, None) is not None and not self.ready:
            self._finished += 1

    @_handle_event.register
    def _(self, event: HandedOver, now_ms: int, effects: list[DrainEffect]) -> None:
        if self._streams.pop(event.stream, None) is not None:
            self._handed_over += 1

    @_handle_event.register
    def _(self, event: HandOverFailed, now_ms: int, effects: list[DrainEffect]) -> None:
        stream = self._streams.get(event.stream)
        if stream is not None:
            stream.handing_over = False
            stream.next_attempt_ms = now_ms + HAND_OVER_RETRY_DELAY_MS

    @_handle_event.register
    def _(self, event: LeaseReleased, now_ms: int, effects: list[DrainEffect]) -> None:
        self._leases.discard(event.lease)

    @_handle_event.register
    def _(self, event: DrainTick, now_ms: int, effects: list[DrainEffect]) -> None:
        pass

    def _advance_phases(self, now_ms: int, effects: list[DrainEffect]) -> None:
        """Advance past every phase whose end condition is met."""
        elapsed_ms = now_ms - self._started_ms
        if self.phase is DrainPhase.NOTICE and self._notice_over(now_ms):
            self.phase = DrainPhase.FINISHING
            effects.append(RejectWork())
        if self.phase is DrainPhase.FINISHING and elapsed_ms >= self._bounds.finish_ms:
            self.phase = DrainPhase.HANDING_OVER
        if self.phase is DrainPhase.HANDING_OVER:
            self._hand_over_streams(now_ms, effects)
        if self.phase in (DrainPhase.FINISHING, DrainPhase.HANDING_OVER):
            self._start_release_if_due(elapsed_ms, now_ms, effects)
        if self.phase is DrainPhase.RELEASING:
            self._finish_release(now_ms, effects)

    def _notice_over(self, now_ms: int) -> bool:
        """Return whether the load balancer has had enough time to notice the failing check.

        The first failed check restarts the notice period, because the check before it may have
        succeeded right before the shutdown request. Without any check, the drain waits for twice
        the period.
        """
        waited_ms = now_ms - self._started_ms
        if self._readiness_seen_ms is None:
            return waited_ms >= 2 * self._bounds.notice_ms
        return now_ms - self._readiness_seen_ms >= self._bounds.notice_ms

    def _hand_over_streams(self, now_ms: int, effects: list[DrainEffect]) -> None:
        for stream_id, stream in self._streams.items():
            if stream.resumable and not stream.handing_over and now_ms >= stream.next_attempt_ms:
                stream.handing_over = True
                effects.append(HandOver(stream_id))

    def _start_release_if_due(
        self, elapsed_ms: int, now_ms: int, effects: list[DrainEffect]
    ) -> None:
        if self._streams and elapsed_ms < self._bounds.total_ms:
            return
        self.phase = DrainPhase.RELEASING
        self._release_started_ms = now_ms
        effects.append(ReleaseLeases(tuple(sorted(self._leases))))

    def _finish_release(self, now_ms: int, effects: list[DrainEffect]) -> None:
        if self._leases and now_ms - self._release_started_ms < LEASE_RELEASE_TIMEOUT_MS:
            return
        self.phase = DrainPhase.DONE
        report = DrainReport(
            now_ms - self._started_ms,
            self._finished,
            self._handed_over,
            tuple(self._streams),
            tuple(sorted(self._leases)),
        )
        effects += [LeaveMembership(), Drained(report), Close()]
