"""One entry instance's part of a brand's fleet-wide rate: token bucket with shares on loan."""

from __future__ import annotations

import heapq

from bergamothill.version.config import Limits

__all__ = ["LENDABLE_PART", "LOAN_MARGIN_MS", "LOAN_MS", "Quota"]

LOAN_MS = 5_000
LOAN_MARGIN_MS = 500
LENDABLE_PART = 0.5
MILLIS_PER_SECOND = 1_000
MIN_CAPACITY = 1.0
EPSILON = 1e-9


class Quota:
    """Token bucket over a share of a fleet-wide limit.

    The shares of all entry instances never sum to more than 1: a lender gives its part up before
    the borrower has it, and takes it back only after the borrower's has expired. A bucket holds at
    least one request, so the slack of the limit is one request at each entry instance.

    :param limits: limits of the brand over the whole fleet
    :param home_share: part that this instance owns, from 0 to 1
    :param started_ms: instant at which this incarnation started; an earlier one may have lent the
        lendable part, so that part may be used only after the life of a loan
    """

    def __init__(self, limits: Limits, home_share: float, started_ms: int) -> None:
        self.limits = limits
        self._owned = 0.0
        self._borrowed = 0.0
        self._home_share = home_share
        self._tokens = MIN_CAPACITY
        self._filled_ms = started_ms
        self._changes: list[tuple[int, float, float]] = []
        lendable = home_share * LENDABLE_PART
        self._change(started_ms, home_share - lendable, 0)
        self._plan(started_ms + LOAN_MS + LOAN_MARGIN_MS, lendable, 0)

    def share(self, now_ms: int) -> float:
        """Return the part of the limit that may be used now.

        :param now_ms: current time, in milliseconds
        """
        self._advance(now_ms)
        return self._usable()

    def is_low(self, now_ms: int) -> bool:
        """Return whether less than half of the bucket is left.

        :param now_ms: current time, in milliseconds
        """
        self._advance(now_ms)
        return self._tokens < self._capacity() / 2

    def lendable(self, needed: float, now_ms: int) -> float:
        """Return the part that may be lent; what was borrowed is not lent on.

        :param needed: part that this instance needs itself
        :param now_ms: current time, in milliseconds
        """
        self._advance(now_ms)
        kept = max(needed, self._home_share * (1 - LENDABLE_PART))
        return max(0.0, self._owned - kept)

    def take(self, now_ms: int) -> int:
        """Take one request from the bucket.

        :param now_ms: current time, in milliseconds
        :returns: 0 when taken, else milliseconds until one is expected to be there
        """
        self._advance(now_ms)
        if self._tokens + EPSILON >= 1:
            self._tokens -= 1
            return 0
        rate = self.limits.requests_per_s * self._usable()
        if rate <= 0:
            return LOAN_MS
        return max(1, round((1 - self._tokens) * MILLIS_PER_SECOND / rate))

    def lend(self, share: float, now_ms: int) -> None:
        """Give up a part of the share until the loan has surely expired.

        :param share: part of the limit
        :param now_ms: current time, in milliseconds
        """
        self._advance(now_ms)
        self._change(now_ms, -share, 0)
        self._plan(now_ms + LOAN_MS + LOAN_MARGIN_MS, share, 0)

    def borrow(self, share: float, expires_ms: int, now_ms: int) -> None:
        """Use a part that a peer lent.

        :param share: part of the limit
        :param expires_ms: instant, by this instance's clock, after which it may not be used
        :param now_ms: current time, in milliseconds
        """
        self._advance(now_ms)
        if expires_ms <= now_ms:
            return
        self._change(now_ms, 0, share)
        self._plan(expires_ms, 0, -share)

    def resize(self, home_share: float, now_ms: int) -> None:
        """Change the owned part: a smaller one holds at once, a larger one after a loan's life.

        :param home_share: part that this instance owns now
        :param now_ms: current time, in milliseconds
        """
        self._advance(now_ms)
        delta = home_share - self._home_share
        self._home_share = home_share
        if delta < 0:
            self._change(now_ms, delta, 0)
        else:
            self._plan(now_ms + LOAN_MS + LOAN_MARGIN_MS, delta, 0)

    def _plan(self, at_ms: int, owned: float, borrowed: float) -> None:
        heapq.heappush(self._changes, (at_ms, owned, borrowed))

    def _change(self, at_ms: int, owned: float, borrowed: float) -> None:
        self._fill(at_ms)
        self._owned += owned
        self._borrowed += borrowed
        self._tokens = min(self._tokens, self._capacity())

    def _advance(self, now_ms: int) -> None:
        while self._changes and self._changes[0][0] <= now_ms:
            self._change(*heapq.heappop(self._changes))
        self._fill(now_ms)

    def _fill(self, until_ms: int) -> None:
        elapsed_ms = max(0, until_ms - self._filled_ms)
        rate = self.limits.requests_per_s * self._usable()
        filled = self._tokens + rate * elapsed_ms / MILLIS_PER_SECOND
        self._tokens = min(filled, self._capacity())
        self._filled_ms = max(until_ms, self._filled_ms)

    def _capacity(self) -> float:
        return max(MIN_CAPACITY, self.limits.burst * self._usable())

    def _usable(self) -> float:
        return max(0.0, self._owned + self._borrowed)
