"""Estimated load of the engines: the last report plus the work that this zone has sent since."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from bergamothill.connection.bus import message
from bergamothill.connection.engine import EngineLoad
from bergamothill.ids import ServerId, ZoneName
from bergamothill.request.routing import EngineView

__all__ = ["LoadEstimator", "SentWork", "SentWorkDelta"]

MILLIS_PER_SECOND = 1_000
SEND_RETENTION_MS = 30_000
LINK_SPEED_WEIGHT = 0.3
LINK_SPEED_TTL_MS = 60_000
MIN_SPEED_PER_S = 1


@dataclass(frozen=True, slots=True)
class SentWork:
    """Work sent to an engine.

    :param server: engine
    :param tokens: prompt tokens to compute
    :param link_bytes: bytes to import
    :param age_ms: time since it was sent, in milliseconds
    :param reused: keys of the cached blocks that the work reuses, which causes no cache event
    """

    server: ServerId
    tokens: int
    link_bytes: int
    age_ms: int
    reused: tuple[str, ...] = ()


@message("sent_work_delta")
@dataclass(frozen=True, slots=True)
class SentWorkDelta:
    """Work that an entry instance sent since its last delta; peers of the zone add it.

    :param work: work sent
    """

    work: tuple[SentWork, ...]


@dataclass(frozen=True, slots=True)
class _Send:
    at_ms: int
    tokens: int
    link_bytes: int
    reused: tuple[str, ...] = ()


@dataclass(slots=True)
class _Engine:
    zone: ZoneName
    load: EngineLoad
    measured_ms: int
    sends: deque[_Send] = field(default_factory=deque)
    link_bytes_per_s: float | None = None
    link_measured_ms: int = 0


class LoadEstimator:
    """Estimates the queues of engines between their load reports."""

    def __init__(self) -> None:
        self._engines: dict[ServerId, _Engine] = {}
        self._pending_sends: list[tuple[ServerId, _Send]] = []

    def report(self, server: ServerId, zone: ZoneName, load: EngineLoad, now_ms: int) -> None:
        """Apply a load report, unless it is older than the last one.

        :param server: engine
        :param zone: availability zone of the engine
        :param load: reported load
        :param now_ms: current time, in milliseconds
        """
        measured_ms = now_ms - load.age_ms
        known = self._engines.get(server)
        if known is None:
            self._engines[server] = _Engine(zone, load, measured_ms)
            return
        if measured_ms < known.measured_ms:
            return
        known.load = load
        known.measured_ms = measured_ms
        while known.sends and known.sends[0].at_ms <= measured_ms:
            known.sends.popleft()

    def forget(self, server: ServerId) -> None:
        """Remove an engine that left.

        :param server: engine
        """
        self._engines.pop(server, None)

    def record_send(
        self,
        server: ServerId,
        tokens: int,
        link_bytes: int,
        now_ms: int,
        reused: tuple[str, ...] = (),
    ) -> None:
        """Record work that this entry instance sends.

        :param server: engine
        :param tokens: prompt tokens to compute
        :param link_bytes: bytes to import
        :param now_ms: current time, in milliseconds
        :param reused: keys of the cached blocks that the work reuses
        """
        send = _Send(now_ms, tokens, link_bytes, reused)
        self._add(server, send)
        self._pending_sends.append((server, send))

    def take_delta(self, now_ms: int) -> SentWorkDelta | None:
        """Return the work to relay to the peers of the zone, or None if none was sent.

        :param now_ms: current time, in milliseconds
        """
        if not self._pending_sends:
            return None
        work = tuple(
            SentWork(server, send.tokens, send.link_bytes, now_ms - send.at_ms, send.reused)
            for server, send in self._pending_sends
        )
        self._pending_sends = []
        return SentWorkDelta(work)

    def apply_delta(self, delta: SentWorkDelta, now_ms: int) -> None:
        """Record work that a peer sent.

        :param delta: delta of the peer
        :param now_ms: current time, in milliseconds
        """
        for work in delta.work:
            send = _Send(now_ms - work.age_ms, work.tokens, work.link_bytes)
            self._add(work.server, send)

    def record_transfer(
        self, server: ServerId, size_bytes: int, duration_ms: int, now_ms: int
    ) -> None:
        """Update the measured link speed after a finished transfer.

        :param server: engine
        :param size_bytes: bytes transferred
        :param duration_ms: duration of the transfer, in milliseconds
        :param now_ms: current time, in milliseconds
        """
        engine = self._engines.get(server)
        if engine is None or size_bytes <= 0:
            return
        measured = size_bytes * MILLIS_PER_SECOND / max(1, duration_ms)
        known = engine.link_bytes_per_s or float(engine.load.link_bytes_per_s)
        engine.link_bytes_per_s = known + LINK_SPEED_WEIGHT * (measured - known)
        engine.link_measured_ms = now_ms

    def views(self, cached_blocks: Mapping[ServerId, int], now_ms: int) -> tuple[EngineView, ...]:
        """Return the engine states that routing uses.

        :param cached_blocks: candidate engines, each with the number of leading blocks of the
            prompt that it is believed to have cached
        :param now_ms: current time, in milliseconds
        """
        return tuple(
            self._view(server, self._engines[server], cached, now_ms)
            for server, cached in cached_blocks.items()
            if server in self._engines
        )

    def _add(self, server: ServerId, send: _Send) -> None:
        engine = self._engines.get(server)
        if engine is None or send.at_ms <= engine.measured_ms:
            return
        engine.sends.append(send)
        while engine.sends and engine.sends[0].at_ms < send.at_ms - SEND_RETENTION_MS:
            engine.sends.popleft()

    def _view(self, server: ServerId, engine: _Engine, cached: int, now_ms: int) -> EngineView:
        load = engine.load
        prefill_speed = max(MIN_SPEED_PER_S, load.prefill_tokens_per_s)
        link_speed = max(MIN_SPEED_PER_S, round(self._link_speed(engine, now_ms)))
        sends = sorted(engine.sends, key=lambda send: send.at_ms)
        tokens = [(send.at_ms, send.tokens) for send in sends]
        link_bytes = [(send.at_ms, send.link_bytes) for send in sends]
        queued = _backlog(load.queued_tokens, engine.measured_ms, tokens, prefill_speed, now_ms)
        link_queued = _backlog(
            load.link_queued_bytes, engine.measured_ms, link_bytes, link_speed, now_ms
        )
        return EngineView(
            server=server,
            zone=engine.zone,
            queued_tokens=queued,
            running=load.running,
            prefill_tokens_per_s=prefill_speed,
            link_bytes_per_s=link_speed,
            link_queued_bytes=link_queued,
            cached_blocks=cached,
        )

    def _link_speed(self, engine: _Engine, now_ms: int) -> float:
        fresh = now_ms - engine.link_measured_ms < LINK_SPEED_TTL_MS
        if engine.link_bytes_per_s is None or not fresh:
            return float(engine.load.link_bytes_per_s)
        return engine.link_bytes_per_s


def _backlog(
    reported: int, measured_ms: int, sends: list[tuple[int, int]], speed_per_s: int, now_ms: int
) -> int:
    """Return the estimated queue: the reported one plus later sends, drained at a steady speed."""
    backlog = float(reported)
    at_ms = measured_ms
    for sent_ms, amount in [*sends, (now_ms, 0)]:
        drained = max(0, sent_ms - at_ms) * speed_per_s / MILLIS_PER_SECOND
        backlog = max(0.0, backlog - drained) + amount
        at_ms = max(at_ms, sent_ms)
    return round(backlog)
