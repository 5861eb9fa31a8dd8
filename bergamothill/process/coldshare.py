"""Share of one entry instance in the rate of a cold server; no I/O and no clock.

Requests are counted when the server is chosen, so that no more are on their way than may be sent,
and spaced again right before they are written: opening a connection takes a varying time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["ColdShare", "ShareTerms", "divide_cold_rate"]

TOLERANCE_MS = 50
"""Time by which two requests may follow each other earlier than their interval."""

TRANSIT_JITTER_MS = 50
"""Most by which the times differ that two requests take to the server."""

MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class ShareTerms:
    """Share of each instance that sends to a cold server.

    :param senders: number of instances that send
    :param per_s: rate of each
    """

    senders: int
    per_s: float


def divide_cold_rate(rate_per_s: float, bound: float, members: int) -> ShareTerms:
    """Divide the rate of a cold server so that no second exceeds a bound.

    Each sender may send one request at any moment beside its rate, so the number of senders and the
    rate must together stay below the bound. Requests of one sender are spaced, which limits those
    in a second. The share never grows with the members, so instances that know of more than the
    others only send less.

    :param rate_per_s: rate for all instances together
    :param bound: requests that all of them may send in any one second
    :param members: number of instances
    """
    senders = max(1, min(members, int(bound - rate_per_s)))
    most_per_sender = int(bound / senders)
    if not most_per_sender:
        return ShareTerms(senders, 0.0)
    # So many intervals are longer than a second, even if the last request is early.
    longest_ms = MS_PER_S + TOLERANCE_MS + TRANSIT_JITTER_MS + 1
    return ShareTerms(senders, min(rate_per_s / senders, most_per_sender / longest_ms * MS_PER_S))


class _Spacing:
    """Keeps requests an interval apart; a request that comes early delays the next one."""

    def __init__(self, last_ms: float) -> None:
        self.last_ms = last_ms

    def wait_ms(self, interval_ms: float, now_ms: int) -> int:
        return max(0, math.ceil(self.last_ms + interval_ms - now_ms))

    def take(self, interval_ms: float, now_ms: int) -> None:
        self.last_ms = max(float(now_ms), self.last_ms + interval_ms)


class ColdShare:
    """Requests of this instance to one incarnation of a server that may be cold.

    :param now_ms: current time, in milliseconds
    """

    def __init__(self, now_ms: int) -> None:
        self.rate_per_s = 0.0
        self.divided_by: tuple[object, ...] | None = None
        self._created_ms = now_ms
        self._chosen = _Spacing(-math.inf)
        self._written = _Spacing(-math.inf)

    def set_rate(self, terms: ShareTerms, rank: int, divided_by: tuple[object, ...]) -> None:
        """Set the share of this instance.

        :param rank: rank of this instance among the members; from the number of senders on it has
            no share
        :param divided_by: what the share follows from
        """
        self.divided_by = divided_by
        self.rate_per_s = terms.per_s if rank < terms.senders else 0.0
        if self.rate_per_s and math.isinf(self._chosen.last_ms):
            # The first requests of the senders are spread over one interval.
            first_ms = self._created_ms + self._interval_ms * rank / terms.senders
            self._chosen.last_ms = self._written.last_ms = first_ms - self._interval_ms

    def clear_rate(self) -> None:
        """Let this instance send nothing."""
        self.rate_per_s, self.divided_by = 0.0, None

    @property
    def _interval_ms(self) -> float:
        return MS_PER_S / self.rate_per_s

    def wait_ms(self, now_ms: int) -> int | None:
        """Return the time until the server may be chosen; None if it may not be."""
        return self._chosen.wait_ms(self._interval_ms, now_ms) if self.rate_per_s else None

    def spend(self, now_ms: int) -> None:
        """Count a request for which the server is chosen."""
        if self.rate_per_s:
            self._chosen.take(self._interval_ms, now_ms)

    def try_write(self, now_ms: int) -> bool:
        """Return whether a request may be written now; it is then counted as written."""
        if not self.rate_per_s:
            return False
        if self._written.wait_ms(self._interval_ms, now_ms) > TOLERANCE_MS:
            return False
        self._written.take(self._interval_ms, now_ms)
        return True

    def record_write(self, now_ms: int) -> None:
        """Record a request to the server while it is warm, as it may become cold at any moment."""
        self._chosen.last_ms = self._written.last_ms = now_ms
