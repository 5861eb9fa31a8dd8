"""Which requests an instance still accepts while it drains; does no I/O."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["DrainPeriod"]


@dataclass(frozen=True, slots=True)
class DrainPeriod:
    """Time from the stop signal to the last answer.

    :param notice_ends_ms: time from which the load balancer sends no new connections
    :param ends_ms: time at which requests in progress get a final answer, and streams are cut
    """

    notice_ends_ms: int
    ends_ms: int

    def is_too_late(self, due_ms: int, now_ms: int) -> bool:
        """Return whether a request that was not sent yet must be refused.

        Its answer could come after the end, and would then be lost though the request has run.

        :param due_ms: deadline of its answer
        :param now_ms: current time, in milliseconds
        """
        is_late = now_ms >= self.notice_ends_ms and due_ms > self.ends_ms
        return is_late or now_ms >= self.ends_ms
