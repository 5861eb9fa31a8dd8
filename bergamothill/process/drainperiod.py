"""Which requests an instance still accepts while it drains; does no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.version.routetable import RetryPolicy, Route

__all__ = ["DrainPeriod"]


@dataclass(frozen=True, slots=True)
class DrainPeriod:
    """Time from the stop signal to the last answer.

    :param notice_ends_ms: time from which the load balancer sends no new connections
    :param ends_ms: time at which answers in progress are broken off
    """

    notice_ends_ms: int
    ends_ms: int

    def is_too_late(self, route: Route, due_ms: int, now_ms: int) -> bool:
        """Return whether a request must be refused, as its answer could be broken off.

        :param route: route of the request
        :param due_ms: deadline of its answer
        :param now_ms: time at which it was received
        """
        if now_ms >= self.ends_ms:
            return True
        is_late = now_ms >= self.notice_ends_ms and due_ms > self.ends_ms
        return is_late and route.retry_policy is RetryPolicy.STREAM
