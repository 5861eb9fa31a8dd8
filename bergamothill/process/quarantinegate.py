"""Asks the quarantine for each request, and tells it of each run.

Runs on the event loop; :mod:`~bergamothill.request.partquarantine` decides.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from bergamothill.clock import Clock
from bergamothill.ids import ServerId
from bergamothill.logs import EventLog
from bergamothill.process.backends import BackendServer
from bergamothill.process.gatewaymetrics import GatewayMetrics
from bergamothill.process.wakeup import wait_until_set
from bergamothill.request.callerrequest import CallerRequest
from bergamothill.request.crashevidence import PartId, RunNumber, ServerIncarnation
from bergamothill.request.forwarding import Send
from bergamothill.request.partquarantine import (
    AwaitTrial,
    PartQuarantine,
    QuarantineReport,
    QuarantineVerdict,
    RunEnd,
    StoredQuarantine,
)

__all__ = ["QuarantineGate", "GatedRun"]

MIN_PAUSE_MS = 500
"""Time without a check that shows a pause of this process."""

CATCH_UP_MIN_MS = 100
"""Time to process the reports of peers that arrived in a pause."""

CATCH_UP_MAX_MS = 250
"""Time after which an instance that cannot read the verdicts decides by what it knows.

Shorter than any request waits for a trial, so that none is refused for this alone.
"""

CATCH_UP_POLL_MS = 50

STORE_CHECK_INTERVAL_MS = 10_000
PEER_WRITE_DELAY_MS = 2_000
"""Instances that reached a verdict by themselves write it first."""

_log = EventLog("quarantine")


class QuarantineGate:
    """Quarantine of parts of requests in this entry instance.

    :param clock: source of time
    :param quarantine: evidence, trials and verdicts
    :param metrics: counters and histograms
    """

    def __init__(self, clock: Clock, quarantine: PartQuarantine, metrics: GatewayMetrics) -> None:
        self.on_change: Callable[[], None] = _do_nothing
        """Called when peers should get a report."""

        self.on_store: Callable[[StoredQuarantine, int], None] = _ignore_stored
        """Called with all that is to be stored, and with the time in which others may do so."""

        self.on_pause: Callable[[], None] = _do_nothing
        """Called after a pause of this process, in which it may have missed verdicts."""

        self._clock = clock
        self._quarantine = quarantine
        self._metrics = metrics
        self._revisions = (quarantine.report_revision, quarantine.verdict_revision)
        self._verdicts: frozenset[frozenset[PartId]] = frozenset()
        self._changed = asyncio.Event()
        self._checked_ms: int | None = None
        self._paused_ms: int | None = None
        self._has_read = False
        self._has_read_since_pause = False
        self._stored_ms = clock.now_ms()
        self._store_delay_ms: int | None = None

    # Requests.

    def check(self, request: CallerRequest, now_ms: int) -> QuarantineVerdict:
        """Return whether a request may be sent."""
        if self._is_catching_up(now_ms):
            return AwaitTrial(CATCH_UP_POLL_MS)
        verdict = self._quarantine.check(request.suspects, now_ms)
        self._publish("evidence", 0)
        return verdict

    def may_send(self, request: CallerRequest, now_ms: int) -> bool:
        """Return False if parts of a request were convicted after it was checked."""
        return self._quarantine.may_send(request.suspects, now_ms)

    def begin_run(self, request: CallerRequest, send: Send, now_ms: int) -> GatedRun:
        """Record that a request is sent to a server."""
        server = _incarnation(send.server)
        number = self._quarantine.begin_run(
            request.request_id, server, request.suspects, now_ms, trial=send.trial
        )
        run = GatedRun(self, number, request, send, now_ms)
        if send.trial is not None:
            self._log_run("part_trial", run, send.trial.parts)
        self._publish("evidence", 0)
        return run

    def record_event(self, run: GatedRun, now_ms: int) -> None:
        """Record that an event of an answer arrived."""
        self._quarantine.record_event(run.number, now_ms)
        self._publish("evidence", 0)

    def record_alive(self, run: GatedRun, now_ms: int) -> None:
        """Record that the server of a run answered it."""
        self._quarantine.record_alive(_incarnation(run.send.server), run.sent_ms, now_ms)
        self._publish("evidence", 0)

    def end_run(self, run: GatedRun, end: RunEnd, now_ms: int) -> None:
        """Record the end of a run."""
        trial = run.send.trial
        self._quarantine.end_run(run.number, end, now_ms)
        if end is RunEnd.CRASHED:
            request = run.request
            suspects = self._quarantine.suspects(request.suspects, now_ms)
            if suspects:
                self._log_run("part_suspected", run, suspects)
        elif end is RunEnd.COMPLETE and trial is not None:
            self._log_run("part_cleared", run, trial.parts)
        self._publish("evidence", 0)

    async def wait_for_change(self, timeout_ms: int) -> None:
        """Wait until a request that waits for a trial should ask again."""
        await wait_until_set(self._changed, timeout_ms)

    # Peers, verdicts in the store, and pauses.

    def merge(self, report: QuarantineReport) -> None:
        """Merge the report of a peer."""
        self._publish("evidence", 0)
        if self._quarantine.merge(report, self._clock.now_ms()):
            self._wake_waiting()
        delay_ms = PEER_WRITE_DELAY_MS + random.randrange(PEER_WRITE_DELAY_MS)
        self._publish("peer", delay_ms)

    def add_stored(self, stored: StoredQuarantine) -> StoredQuarantine:
        """Add what was read from the store; return what is to be stored."""
        self._has_read = self._has_read_since_pause = True
        self._quarantine.add_stored(stored, self._clock.now_ms())
        self._publish("store", 0)
        self._wake_waiting()
        return self._quarantine.to_store(self._clock.now_ms())

    @property
    def has_read(self) -> bool:
        """Whether the stored verdicts have been read since the start."""
        return self._has_read

    def record_check(self) -> None:
        """Record a periodic check, the lack of which shows a pause of this process."""
        now_ms = self._clock.now_ms()
        self._is_catching_up(now_ms)
        self._checked_ms = now_ms
        self._publish("evidence", 0)
        is_check_due = now_ms - self._stored_ms >= STORE_CHECK_INTERVAL_MS and self._verdicts
        if is_check_due and self._store_delay_ms is None:
            self._store_delay_ms = PEER_WRITE_DELAY_MS
        if self._store_delay_ms is not None:
            delay_ms, self._store_delay_ms = self._store_delay_ms, None
            self._stored_ms = now_ms
            self.on_store(self._quarantine.to_store(now_ms), delay_ms)

    def servers_under_trial(self, now_ms: int) -> frozenset[ServerId]:
        """Return the servers on which a trial is running."""
        return self._quarantine.servers_under_trial(now_ms)

    def _is_catching_up(self, now_ms: int) -> bool:
        checked_ms = self._checked_ms
        if checked_ms is not None and now_ms - checked_ms >= MIN_PAUSE_MS:
            self._checked_ms = self._paused_ms = now_ms
            self._has_read_since_pause = False
            self.on_pause()
        if self._paused_ms is None:
            return False
        passed_ms = now_ms - self._paused_ms
        bound_ms = CATCH_UP_MIN_MS if self._has_read_since_pause else CATCH_UP_MAX_MS
        if passed_ms < bound_ms:
            return True
        self._paused_ms = None
        return False

    # Effects.

    def _publish(self, source: str, delay_ms: int) -> None:
        """Tell peers, the store and waiting requests what has changed."""
        quarantine = self._quarantine
        if (quarantine.report_revision, quarantine.verdict_revision) == self._revisions:
            return
        verdicts = quarantine.verdicts(self._clock.now_ms())
        revisions = (quarantine.report_revision, quarantine.verdict_revision)
        if revisions[1] != self._revisions[1]:
            due_ms = delay_ms if self._store_delay_ms is None else self._store_delay_ms
            self._store_delay_ms = min(delay_ms, due_ms)
        self._revisions = revisions
        self._log_verdicts(frozenset(verdict.parts for verdict in verdicts), source)
        self._wake_waiting()
        self.on_change()

    def _log_verdicts(self, verdicts: frozenset[frozenset[PartId]], source: str) -> None:
        for parts in verdicts - self._verdicts:
            _log.warning("part_quarantined", parts=_names(parts), source=source)
            self._metrics.count("part_decisions", decision="part_quarantined")
        for parts in self._verdicts - verdicts:
            _log.info("part_released", parts=_names(parts))
        self._verdicts = verdicts

    def _wake_waiting(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _log_run(self, event: str, run: GatedRun, parts: Iterable[PartId]) -> None:
        _log.info(
            event,
            request=run.request.request_id,
            server=run.send.server.server,
            parts=_names(parts),
        )
        self._metrics.count("part_decisions", decision=event)


class GatedRun:
    """One run of a request at a server, as told to the quarantine.

    :param gate: quarantine
    :param number: number of the run
    :param request: caller's request
    :param send: server and terms
    :param sent_ms: time before the request was sent
    """

    def __init__(
        self,
        gate: QuarantineGate,
        number: RunNumber,
        request: CallerRequest,
        send: Send,
        sent_ms: int,
    ) -> None:
        self.number = number
        self.request = request
        self.send = send
        self.sent_ms = sent_ms
        self._gate = gate
        self._has_ended = False

    def record_event(self, now_ms: int) -> None:
        """Record that an event of the answer arrived."""
        self._gate.record_event(self, now_ms)

    def record_alive(self, now_ms: int) -> None:
        """Record that the server answered."""
        self._gate.record_alive(self, now_ms)

    def end(self, end: RunEnd, now_ms: int) -> None:
        """Record the end of the run; later calls have no effect."""
        if not self._has_ended:
            self._has_ended = True
            self._gate.end_run(self, end, now_ms)


def _incarnation(server: BackendServer) -> ServerIncarnation:
    return ServerIncarnation(server.server, server.started_wall_ms)


def _names(parts: Iterable[PartId]) -> str:
    return " ".join(str(part) for part in sorted(parts)) or "-"


def _do_nothing() -> None:
    return


def _ignore_stored(_stored: StoredQuarantine, _delay_ms: int) -> None:
    return
