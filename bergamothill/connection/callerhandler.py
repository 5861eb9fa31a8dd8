"""Interface of what handles the requests of callers' connections."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Protocol

from bergamothill.connection.callerintake import CallerIntake
from bergamothill.request.callerrequest import RawRequest
from bergamothill.version.routetable import CallerLimits

if TYPE_CHECKING:
    from bergamothill.connection.callerhttp import CallerConnection

__all__ = ["CallerHandler"]


class CallerHandler(Protocol):
    """Handler of the requests of a connection."""

    intake: CallerIntake
    """What the connections share."""

    def limits(self) -> CallerLimits:
        """Return the current limits."""

    def is_draining(self) -> bool:
        """Return whether connections are to be closed after the response in progress."""

    def start(self, connection: CallerConnection, request: RawRequest) -> Callable[[], None]:
        """Start handling a request; return a callback that cancels it on disconnect."""

    def record_dropped(self, requests: Sequence[RawRequest]) -> None:
        """Record requests that were read and will not be started."""
