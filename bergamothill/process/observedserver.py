"""Observed state of one incarnation of a backend server; no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.ids import ModelName
from bergamothill.process.backends import BackendServer

__all__ = ["ObservedServer"]


@dataclass(slots=True)
class ObservedServer:
    """Observed state of one incarnation of a server.

    :param entry: the server as listed in the key-value service
    :param in_progress: number of requests that this entry instance has in progress there
    :param tokens: prompt tokens of these requests
    :param pending_prefill_tokens: tokens left to prefill for the requests without a first token
    :param streaming: number of these requests whose answers have begun
    :param unread: number of these requests whose answers are not read, as their callers do not keep
        up
    :param last_received_ms: time at which it last sent bytes, last had no reason to send any, or
        this process last resumed from a pause
    :param has_event_reader: whether this entry instance reads its cache events, so that a server
        that works is never silent for long
    :param is_reachable: False while its event connection, once opened, is lost
    :param reconnected_ms: time at which its event connection was restored, until a list shows that
        its process has not ended; None if it has not been lost since
    :param failed_ms: time of the last failed request, likewise
    :param is_followed: whether a read of its cache events has had a reply
    :param identified_ms: time at which the latest question was sent that this incarnation answered;
        None without one
    :param names_start: whether it names its start when it is asked
    :param backoff_until_ms: end of its backoff; used earlier only if no other server is left
    :param failures: number of consecutive failures
    :param is_replaced: an answer from its address showed that another instance runs there
    :param listed_ms: time at which the last list that contains it was requested
    :param gone_after_ms: time from which on it counts as gone, set once it is missing from the
        list; None while it is listed
    :param leaving_answers: number of answers in which it said that it is leaving
    :param quiet_until_ms: end of the pause that it asked this entry instance for
    :param weights: weight versions seen in answers, which may be newer than those listed
    """

    entry: BackendServer
    in_progress: int = 0
    tokens: int = 0
    pending_prefill_tokens: int = 0
    streaming: int = 0
    unread: int = 0
    last_received_ms: int = 0
    has_event_reader: bool = True
    is_reachable: bool = True
    reconnected_ms: int | None = None
    failed_ms: int | None = None
    is_followed: bool = False
    identified_ms: int | None = None
    names_start: bool = True
    backoff_until_ms: int = 0
    failures: int = 0
    is_replaced: bool = False
    listed_ms: int = 0
    gone_after_ms: int | None = None
    leaving_answers: int = 0
    quiet_until_ms: int = 0
    weights: dict[ModelName, int] | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether the list or an answer told that the server is leaving."""
        return self.entry.is_leaving or self.leaving_answers > 0

    def is_present(self, now_ms: int) -> bool:
        """Return whether the server is there and not leaving."""
        is_listed = self.gone_after_ms is None or now_ms < self.gone_after_ms
        return is_listed and not self.is_leaving and not self.is_replaced

    def is_usable(self, now_ms: int) -> bool:
        """Return whether the server may get new work."""
        return self.is_present(now_ms) and now_ms >= self.quiet_until_ms

    @property
    def is_heard(self) -> bool:
        """Whether this entry instance reads an answer of the server."""
        return self.in_progress > self.unread

    def record_unread(self, change: int, now_ms: int) -> None:
        """Add to the number of answers that are not read; its silence counts anew."""
        self.unread = max(0, self.unread + change)
        self.last_received_ms = max(self.last_received_ms, now_ms)

    def record_version(self, model: ModelName, version: int) -> None:
        """Record a weight version that the server was seen to have; it never goes back."""
        if self.weights is None:
            self.weights = {}
        self.weights[model] = max(version, self.weights.get(model, 0))

    def weight_version(self, model: ModelName) -> int | None:
        """Return the newest weight version that the server is known to have; None if unknown."""
        listed = self.entry.weights.get(model)
        seen = (self.weights or {}).get(model)
        if listed is None or seen is None:
            return seen if listed is None else listed
        return max(listed, seen)
