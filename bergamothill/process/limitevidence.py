"""Request limit of one server, by the order of the answers that name it; no I/O and no clock.

Answers overtake each other, so a limit is lifted or raised only by an answer to a request that was
sent after the last answer with the lower limit had arrived. A lower limit counts at once.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LimitEvidence", "ServerLimit"]


@dataclass(frozen=True, slots=True)
class LimitEvidence:
    """What one answer says of the limit of its server.

    :param per_s: requests per second for all entry instances together; None if it names no limit
    :param sent_ms: time before the request was sent
    :param answered_ms: time at which the head of the answer arrived
    """

    per_s: float | None
    sent_ms: int
    answered_ms: int


class ServerLimit:
    """Request limit of one incarnation of a server."""

    def __init__(self) -> None:
        self.per_s: float | None = None
        """Requests per second for all entry instances together; None without a limit."""

        self._named_ms: int | None = None
        self._raised_ms: int | None = None

    def apply(self, evidence: LimitEvidence, *, delay_ms: int = 0) -> bool:
        """Apply the evidence of an answer; return whether the limit changed.

        :param delay_ms: time by which the times of the evidence may be too late
        """
        before = self.per_s
        is_lower = evidence.per_s is not None and (before is None or evidence.per_s <= before)
        if is_lower:
            self._lower(evidence)
        elif self._named_ms is None or evidence.sent_ms - delay_ms >= self._named_ms:
            self._raise(evidence, delay_ms)
        return self.per_s != before

    def _lower(self, evidence: LimitEvidence) -> None:
        if self._raised_ms is None or evidence.answered_ms >= self._raised_ms:
            self.per_s = evidence.per_s
            self.confirm(evidence.answered_ms)

    def _raise(self, evidence: LimitEvidence, delay_ms: int) -> None:
        self.per_s = evidence.per_s
        self._raised_ms = max(evidence.sent_ms - delay_ms, self._raised_ms or 0)
        self.confirm(evidence.answered_ms)

    def confirm(self, answered_ms: int) -> None:
        """Record the time of an answer that names a limit, also one that could not be read."""
        if self.per_s is not None:
            self._named_ms = max(answered_ms, self._named_ms or 0)
