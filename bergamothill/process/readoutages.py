"""Outages of the key-value service as seen through the reads of several instances; no I/O.

Entries of servers lapse in an outage, so content that follows one is treated differently from
content that follows a reader which stopped or was rejected alone.
"""

from __future__ import annotations

__all__ = ["ReadOutages"]

SLACK_MS = 100
"""Added to the interval of the reads, after which nobody can have read without an outage."""

MIN_DISTANCE_MS = 2_000
"""Several readers report the same outage; reports that are closer count as one."""


class ReadOutages:
    """What one instance knows of the outages seen in the reads of one prefix."""

    def __init__(self) -> None:
        self.ended_ms: int | None = None
        """Time at which the own read was sent that ended the last outage; None before the first."""

        self._failed_here_ms: int | None = None
        self._failure_heard_ms = 0
        self._flagged_ms = 0

    def record_own_failure(self, now_ms: int) -> None:
        """Record that an own read failed."""
        self._failed_here_ms = now_ms

    def record_failure(self, now_ms: int) -> None:
        """Record that another instance told of a failed read."""
        self._failure_heard_ms = now_ms

    def on_own_read(self, sent_ms: int, last_ms: int | None, interval_ms: int) -> bool:
        """Return whether a successful own read follows an outage that was only heard of.

        :param sent_ms: time at which it was sent
        :param last_ms: the same of the read applied before; None if there was none
        :param interval_ms: time between two reads of a reader
        """
        follows_outage = self._is_gap(sent_ms, last_ms, self._failure_heard_ms, interval_ms)
        if self._failed_here_ms is not None or follows_outage:
            self.ended_ms = sent_ms
        self._failed_here_ms = None
        return follows_outage

    def on_told_read(
        self, sent_ms: int, ended_ms: int | None, last_ms: int | None, interval_ms: int
    ) -> bool:
        """Return whether a read of another instance, which is to be applied, follows an outage.

        :param sent_ms: time at which it was sent
        :param ended_ms: when the last outage ended that the other instance saw; None if none
        :param last_ms: time at which the read applied before was sent; None if there was none
        :param interval_ms: time between two reads of a reader
        """
        failed_ms = max(self._failure_heard_ms, ended_ms or 0)
        if self._failed_here_ms is not None and sent_ms > self._failed_here_ms:
            # Another instance can read, so that its outages count and not the failed reads here.
            self._failed_here_ms = None
        if sent_ms < self._flagged_ms + MIN_DISTANCE_MS:
            return False
        follows_outage = self._is_gap(sent_ms, last_ms, failed_ms, interval_ms)
        if follows_outage:
            self._flagged_ms = sent_ms
        return follows_outage

    def _is_gap(self, sent_ms: int, last_ms: int | None, failed_ms: int, interval_ms: int) -> bool:
        if last_ms is None:
            return False
        return failed_ms > last_ms and sent_ms - last_ms > interval_ms + SLACK_MS
