"""When an entry instance sends its next report of a kind; no I/O and no clock."""

from __future__ import annotations

__all__ = ["ReportSchedule"]

BURST_INTERVAL_MS = 100
BURST_MS = 500
KEEPALIVE_MS = 400
KEEPALIVE_PER_PEER_MS = 2  # a report of trials lives for 1 s at its receivers


class ReportSchedule:
    """Sends a change at once and repeats it, as datagrams get lost; then sends now and then.

    Changes that follow each other closely are sent together, so that a peer gets no more reports a
    second from many instances than from a few, however much happens at the same moment.

    :param keepalive_ms: shortest interval between reports without a change
    :param per_peer_ms: shortest interval between any two reports, for each peer
    """

    def __init__(
        self, keepalive_ms: int = KEEPALIVE_MS, per_peer_ms: int = KEEPALIVE_PER_PEER_MS
    ) -> None:
        self._keepalive_ms = keepalive_ms
        self._per_peer_ms = per_peer_ms
        self._revision = 0
        self._changed_ms: int | None = None
        self._sent_ms: int | None = None

    def is_due(self, revision: int, peer_count: int, now_ms: int) -> bool:
        """Return whether a report is due, and record that it is then sent.

        :param revision: number that grows with each change that peers should learn at once
        :param peer_count: number of peers
        """
        spacing_ms = self._per_peer_ms * peer_count
        if revision != self._revision:
            if self._sent_ms is not None and now_ms - self._sent_ms < spacing_ms:
                return False
            self._revision = revision
            self._changed_ms = self._sent_ms = now_ms
            return True
        if self._sent_ms is not None and now_ms - self._sent_ms < self._interval_ms(
            spacing_ms, now_ms
        ):
            return False
        self._sent_ms = now_ms
        return True

    def is_change(self, now_ms: int) -> bool:
        """Return whether a report that is sent now tells of a change, or repeats one."""
        return self._changed_ms is not None and now_ms - self._changed_ms <= BURST_MS

    def _interval_ms(self, spacing_ms: int, now_ms: int) -> int:
        usual_ms = BURST_INTERVAL_MS if self.is_change(now_ms) else self._keepalive_ms
        return max(usual_ms, spacing_ms)
