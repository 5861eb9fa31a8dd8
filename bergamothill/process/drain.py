"""Drain: the order of a planned stop, as a state machine without I/O.

The same machine drains an entry instance before it stops, and an engine before a swap of weights
or a change of role. It never ends a stream by itself: a stream finishes, or is handed over to
another instance, which resumes it by its token, or is reported when the time runs out.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import singledispatchmethod

from bergamothill.ids import LeaseId, StreamId

__all__ = [
    "AcceptNew",
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
    "RefuseNew",
    "ReleaseLeases",
    "SayGoodbye",
    "StopRequested",
    "StreamEnded",
    "StreamStarted",
    "TimePassed",
]

DEFAULT_NOTICE_MS = 5_000
DEFAULT_FINISH_MS = 60_000
DEFAULT_HAND_OVER_MS = 20_000
HAND_OVER_RETRY_MS = 500
LEASE_RELEASE_MS = 2_000
PAUSE_MS = 1_000
"""A gap between two events above this many milliseconds is a pause of this process."""


@dataclass(frozen=True, slots=True)
class DrainBounds:
    """Bounds of a drain, in milliseconds.

    :param notice_ms: time given to the balancer to see that readiness fails
    :param finish_ms: time given to streams to finish by themselves, from the stop request
    :param hand_over_ms: time after that in which streams are handed over
    """

    notice_ms: int = DEFAULT_NOTICE_MS
    finish_ms: int = DEFAULT_FINISH_MS
    hand_over_ms: int = DEFAULT_HAND_OVER_MS

    @property
    def total_ms(self) -> int:
        """Longest time until the remainder is reported, without the release of leases."""
        return self.finish_ms + self.hand_over_ms


class DrainPhase(Enum):
    """Where a drain stands."""

    SERVING = "serving"
    NOTICE = "notice"
    """Readiness fails; new work is still taken, because the balancer may still send it."""

    FINISHING = "finishing"
    """New work is refused; streams finish."""

    HANDING_OVER = "handing_over"
    RELEASING = "releasing"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A planned stop begins."""


@dataclass(frozen=True, slots=True)
class ReadinessSeen:
    """The balancer asked for readiness and was told that it fails."""


@dataclass(frozen=True, slots=True)
class AcceptNew:
    """New work arrives; its only effect is :class:`RefuseNew` of its stream, if any.

    :param stream: stream that it would become
    """

    stream: StreamId


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A stream that was accepted is in progress; also one resumed here.

    :param stream: stream
    :param resumable: another instance can resume it by its token
    """

    stream: StreamId
    resumable: bool = True


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """A stream delivered its whole answer, or its caller left."""

    stream: StreamId


@dataclass(frozen=True, slots=True)
class HandedOver:
    """Another instance delivers the stream on to the caller."""

    stream: StreamId


@dataclass(frozen=True, slots=True)
class HandOverFailed:
    """No other instance could take the stream; it continues here."""

    stream: StreamId


@dataclass(frozen=True, slots=True)
class LeaseReleased:
    """A lease was released, or has ended."""

    lease: LeaseId


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Time passed."""


DrainEvent = (
    StopRequested
    | ReadinessSeen
    | AcceptNew
    | StreamStarted
    | StreamEnded
    | HandedOver
    | HandOverFailed
    | LeaseReleased
    | TimePassed
)


@dataclass(frozen=True, slots=True)
class FailReadiness:
    """Answer readiness checks with failure from now on."""


@dataclass(frozen=True, slots=True)
class RefuseNew:
    """Refuse new work as not run; without a stream, from now on, else this one.

    :param stream: stream refused; None for all that follow
    """

    stream: StreamId | None = None


@dataclass(frozen=True, slots=True)
class HandOver:
    """Move a stream to another instance without cutting it; report HandedOver or HandOverFailed.

    :param stream: stream to move
    """

    stream: StreamId


@dataclass(frozen=True, slots=True)
class ReleaseLeases:
    """Release the leases held, and report each."""

    leases: tuple[LeaseId, ...]


@dataclass(frozen=True, slots=True)
class SayGoodbye:
    """Leave membership."""


@dataclass(frozen=True, slots=True)
class DrainReport:
    """Outcome of a drain.

    :param duration_ms: from the stop request to the end without pauses, in milliseconds
    :param finished: streams that ended by themselves since the stop request
    :param handed_over: streams handed over
    :param remaining: streams still in progress when the time ran out
    :param leases_kept: leases whose release was not confirmed; they end by themselves
    """

    duration_ms: int
    finished: int
    handed_over: int
    remaining: tuple[StreamId, ...] = ()
    leases_kept: tuple[LeaseId, ...] = ()


@dataclass(frozen=True, slots=True)
class Drained:
    """The drain is over.

    :param report: outcome
    """

    report: DrainReport


@dataclass(frozen=True, slots=True)
class Close:
    """Close listeners, idle connections and peers, and end."""


DrainEffect = FailReadiness | RefuseNew | HandOver | ReleaseLeases | SayGoodbye | Drained | Close


@dataclass(slots=True)
class _Stream:
    resumable: bool
    handing_over: bool = False
    retry_ms: int = 0


class DrainMachine:
    """Planned stop of an entry instance, or drain of an engine.

    :param bounds: bounds in milliseconds
    """

    def __init__(self, bounds: DrainBounds = DrainBounds()) -> None:  # noqa: B008 - immutable
        self.phase = DrainPhase.SERVING
        self._bounds = bounds
        self._streams: dict[StreamId, _Stream] = {}
        self._leases: set[LeaseId] = set()
        self._started_ms = 0
        self._last_ms: int | None = None
        self._paused_ms = 0
        self._seen_ms: int | None = None
        self._release_started_ms = 0
        self._finished = 0
        self._handed_over = 0

    def handle(self, event: DrainEvent, now_ms: int) -> tuple[DrainEffect, ...]:
        """Take in one event; feed :class:`TimePassed` several times a second.

        :param event: what happened
        :param now_ms: instant now
        :returns: what to do, in order
        """
        effects: list[DrainEffect] = []
        now_ms = self._running_ms(now_ms)
        self._on(event, now_ms, effects)
        if not isinstance(event, AcceptNew | StreamStarted):
            self._advance(now_ms, effects)
        return tuple(effects)

    def _running_ms(self, now_ms: int) -> int:
        """Return the instant without the pauses of this process.

        A pause must not use up the time of the balancer and the streams: what they sent meanwhile
        waits in our buffers.
        """
        if self._last_ms is not None:
            gap_ms = now_ms - self._last_ms
            if gap_ms > PAUSE_MS and not self.ready:
                self._paused_ms += gap_ms
        self._last_ms = now_ms
        return now_ms - self._paused_ms

    def hold_lease(self, lease: LeaseId) -> None:
        """Note a lease to release at the end.

        :param lease: lease that this instance holds
        """
        self._leases.add(lease)

    @property
    def accepts_new(self) -> bool:
        """Tell whether new work is taken."""
        return self.phase in (DrainPhase.SERVING, DrainPhase.NOTICE)

    @property
    def ready(self) -> bool:
        """Tell what readiness checks are answered."""
        return self.phase is DrainPhase.SERVING

    @property
    def open_streams(self) -> tuple[StreamId, ...]:
        """Return the streams in progress."""
        return tuple(self._streams)

    @singledispatchmethod
    def _on(self, event: DrainEvent, now_ms: int, effects: list[DrainEffect]) -> None:
        raise TypeError(f"{type(event).__name__} is no event of a drain")

    @_on.register
    def _(self, event: StopRequested, now_ms: int, effects: list[DrainEffect]) -> None:
        if self.phase is DrainPhase.SERVING:
            self.phase = DrainPhase.NOTICE
            self._started_ms = now_ms
            effects.append(FailReadiness())

    @_on.register
    def _(self, event: ReadinessSeen, now_ms: int, effects: list[DrainEffect]) -> None:
        if self.phase is DrainPhase.NOTICE and self._seen_ms is None:
            self._seen_ms = now_ms

    @_on.register
    def _(self, event: AcceptNew, now_ms: int, effects: list[DrainEffect]) -> None:
        if not self.accepts_new:
            effects.append(RefuseNew(event.stream))

    @_on.register
    def _(self, event: StreamStarted, now_ms: int, effects: list[DrainEffect]) -> None:
        self._streams.setdefault(event.stream, _Stream(event.resumable))

    @_on.register
    def _(self, event: StreamEnded, now_ms: int, effects: list[DrainEffect]) -> None:
        if self._streams.pop(event.stream, None) is not None and not self.ready:
            self._finished += 1

    @_on.register
    def _(self, event: HandedOver, now_ms: int, effects: list[DrainEffect]) -> None:
        if self._streams.pop(event.stream, None) is not None:
            self._handed_over += 1

    @_on.register
    def _(self, event: HandOverFailed, now_ms: int, effects: list[DrainEffect]) -> None:
        stream = self._streams.get(event.stream)
        if stream is not None:
            stream.handing_over = False
            stream.retry_ms = now_ms + HAND_OVER_RETRY_MS

    @_on.register
    def _(self, event: LeaseReleased, now_ms: int, effects: list[DrainEffect]) -> None:
        self._leases.discard(event.lease)

    @_on.register
    def _(self, event: TimePassed, now_ms: int, effects: list[DrainEffect]) -> None:
        pass

    def _advance(self, now_ms: int, effects: list[DrainEffect]) -> None:
        """Go through the phases whose conditions are met now."""
        elapsed_ms = now_ms - self._started_ms
        if self.phase is DrainPhase.NOTICE and self._notice_over(now_ms):
            self.phase = DrainPhase.FINISHING
            effects.append(RefuseNew())
        if self.phase is DrainPhase.FINISHING and elapsed_ms >= self._bounds.finish_ms:
            self.phase = DrainPhase.HANDING_OVER
        if self.phase is DrainPhase.HANDING_OVER:
            self._hand_over(now_ms, effects)
        if self.phase in (DrainPhase.FINISHING, DrainPhase.HANDING_OVER):
            self._end_streams(elapsed_ms, now_ms, effects)
        if self.phase is DrainPhase.RELEASING:
            self._end_release(now_ms, effects)

    def _notice_over(self, now_ms: int) -> bool:
        """Tell whether the balancer has had its time.

        A check answered with failure starts the time anew, because the check before it may have
        passed right before the stop; a balancer that never asks costs twice the time at most.
        """
        waited_ms = now_ms - self._started_ms
        if self._seen_ms is None:
            return waited_ms >= 2 * self._bounds.notice_ms
        return now_ms - self._seen_ms >= self._bounds.notice_ms

    def _hand_over(self, now_ms: int, effects: list[DrainEffect]) -> None:
        for name, stream in self._streams.items():
            if stream.resumable and not stream.handing_over and now_ms >= stream.retry_ms:
                stream.handing_over = True
                effects.append(HandOver(name))

    def _end_streams(self, elapsed_ms: int, now_ms: int, effects: list[DrainEffect]) -> None:
        if self._streams and elapsed_ms < self._bounds.total_ms:
            return
        self.phase = DrainPhase.RELEASING
        self._release_started_ms = now_ms
        effects.append(ReleaseLeases(tuple(sorted(self._leases))))

    def _end_release(self, now_ms: int, effects: list[DrainEffect]) -> None:
        if self._leases and now_ms - self._release_started_ms < LEASE_RELEASE_MS:
            return
        self.phase = DrainPhase.DONE
        report = DrainReport(
            now_ms - self._started_ms,
            self._finished,
            self._handed_over,
            tuple(self._streams),
            tuple(sorted(self._leases)),
        )
        effects += [SayGoodbye(), Drained(report), Close()]
