"""Token bucket for an entry instance's share of a brand's rate; shares can be lent to peers."""

from __future__ import annotations

import heapq

from bergamothill.version.config import Limits

__all__ = ["LENDABLE_FRACTION", "LOAN_MARGIN_MS", "LOAN_MS", "Quota"]

LOAN_MS = 5_000
LOAN_MARGIN_MS = 500
LENDABLE_FRACTION = 0.5
MILLIS_PER_SECOND = 1_000
MIN_CAPACITY = 1.0
EPSILON = 1e-9


class Quota:
    """Token bucket over a share of a fleet-wide limit.

    The shares of all entry instances never add up to more than 1: a lender gives up a share before
    the borrower gets it, and takes it back only after the loan has expired at the borrower. A
    bucket holds at least one request, so the limit may be exceeded by one request per instance.

    :param limits: fleet-wide limits of the brand
    :param own_share: share that this instance owns, from 0 to 1
    :param started_ms: time at which this incarnation started; an earlier incarnation may have lent
        the lendable part, which is therefore usable only after the duration of a loan
    """

    def __init__(self, limits: Limits, own_share: float, started_ms: int) -> None:
        self.limits = limits
        self._owned = 0.0
        self._borrowed = 0.0
        self._own_share = own_share
        self._tokens = MIN_CAPACITY
        self._refilled_ms = started_ms
        self._changes: list[tuple[int, float, float]] = []
        lendable = own_share * LENDABLE_FRACTION
        self._apply_change(started_ms, own_share - lendable, 0)
        self._schedule_change(started_ms + LOAN_MS + LOAN_MARGIN_MS, lendable, 0)

    def share(self, now_ms: int) -> float:
        """Return the share of the limit that may be used now.

        :param now_ms: current time, in milliseconds
        """
        self._advance(now_ms)
        return self._usable_share()

    def is_low(self, now_ms: int) -> bool:
        """Return whether less than half of the bucket is left.

        :param now_ms: current time, in milliseconds
        """
        self._advance(now_ms)
        return self._tokens < self._capacity() / 2

    def lendable(self, needed: float, now_ms: int) -> float:
        """Return the share that may be lent; borrowed shares are not lent again.

        :param needed: share that this instance needs itself
        :param now_ms: current time, in milliseconds
        """
        self._advance(now_ms)
        kept = max(needed, self._own_share * (1 - LENDABLE_FRACTION))
        return max(0.0, self._owned - kept)

    def take(self, now_ms: int) -> int:
        """Take one request from the bucket.

        :param now_ms: current time, in milliseconds
        :returns: 0 if taken, otherwise the expected wait in milliseconds
        """
        self._advance(now_ms)
        if self._tokens + EPSILON >= 1:
            self._tokens -= 1
            return 0
        rate = self.limits.requests_per_s * self._usable_share()
        if rate <= 0:
            return LOAN_MS
        return max(1, round((1 - self._tokens) * MILLIS_PER_SECOND / rate))

    def lend(self, share: float, now_ms: int) -> None:
        """Give up a share until the loan has certainly expired.

        :param share: share of the limit
        :param now_ms: current time, in milliseconds
        """
        self._advance(now_ms)
        self._apply_change(now_ms, -share, 0)
        self._schedule_change(now_ms + LOAN_MS + LOAN_MARGIN_MS, share, 0)

    def borrow(self, share: float, expires_ms: int, now_ms: int) -> None:
        """Add a share lent by a peer.

        :param share: share of the limit
        :param expires_ms: expiry of the loan, on this instance's clock
        :param now_ms: current time, in milliseconds
        """
        self._advance(now_ms)
        if expires_ms <= now_ms:
            return
        self._apply_change(now_ms, 0, share)
        self._schedule_change(expires_ms, 0, -share)

    def resize(self, own_share: float, now_ms: int) -> None:
        """Change the owned share; a reduction applies at once, an increase after the loan duration.

        :param own_share: share that this instance owns now
        :param now_ms: current time, in milliseconds
        """
        self._advance(now_ms)
        delta = own_share - self._own_share
        self._own_share = own_share
        if delta < 0:
            self._apply_change(now_ms, delta, 0)
        else:
            self._schedule_change(now_ms + LOAN_MS + LOAN_MARGIN_MS, delta, 0)

    def _schedule_change(self, at_ms: int, owned: float, borrowed: float) -> None:
        heapq.heappush(self._changes, (at_ms, owned, borrowed))

    def _apply_change(self, at_ms: int, owned: float, borrowed: float) -> None:
        self._refill(at_ms)
        self._owned += owned
        self._borrowed += borrowed
        self._tokens = min(self._tokens, self._capacity())

    def _advance(self, now_ms: int) -> None:
        while self._changes and self._changes[0][0] <= now_ms:
            self._apply_change(*heapq.heappop(self._changes))
        self._refill(now_ms)

    def _refill(self, until_ms: int) -> None:
        elapsed_ms = max(0, until_ms - self._refilled_ms)
        rate = self.limits.requests_per_s * self._usable_share()
        refilled = self._tokens + rate * elapsed_ms / MILLIS_PER_SECOND
        self._tokens = min(refilled, self._capacity())
        self._refilled_ms = max(until_ms, self._refilled_ms)

    def _capacity(self) -> float:
        return max(MIN_CAPACITY, self.limits.burst * self._usable_share())

    def _usable_share(self) -> float:
        return max(0.0, self._owned + self._borrowed)
