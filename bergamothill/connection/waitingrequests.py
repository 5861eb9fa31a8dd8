"""Requests of a connection that were read and wait until those before them are answered; no I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from itertools import islice

from bergamothill.connection.requestparser import ParsedRequest
from bergamothill.request.callerrequest import RawRequest

__all__ = ["WaitingRequests"]

MAX_REFUSED_REQUESTS = 16
"""Maximum requests of a connection that are refused one by one; it closes before the others."""


class WaitingRequests:
    """Requests in the order of their arrival.

    :param record_dropped: called with requests that will not be started
    """

    def __init__(self, record_dropped: Callable[[Sequence[RawRequest]], None]) -> None:
        self.memory_bytes = 0
        self._requests: deque[ParsedRequest] = deque()
        self._record_dropped = record_dropped

    def __bool__(self) -> bool:
        """Return whether a request waits."""
        return bool(self._requests)

    def append(self, request: ParsedRequest) -> None:
        """Add a request."""
        self._requests.append(request)
        self.memory_bytes += request.memory_bytes

    def pop(self) -> ParsedRequest:
        """Remove and return the first one."""
        request = self._requests.popleft()
        self.memory_bytes -= request.memory_bytes
        return request

    def put_back(self, request: ParsedRequest) -> None:
        """Put a request back in front of the others."""
        self._requests.appendleft(request)
        self.memory_bytes += request.memory_bytes

    def end_after_last(self) -> None:
        """Let the answer to the last request close the connection."""
        self._requests[-1] = self._requests[-1]._replace(keep_alive=False)

    def refuse(self) -> None:
        """Release the memory of all requests; a few are refused in their turn, the rest dropped."""
        refused = [
            ParsedRequest(None, 0, True) for _ in islice(self._requests, MAX_REFUSED_REQUESTS)
        ]
        self.drop()
        self._requests.extend(refused)

    def drop(self) -> None:
        """Remove all requests."""
        dropped = [each.request for each in self._requests if each.request is not None]
        self._requests.clear()
        self.memory_bytes = 0
        self._record_dropped(dropped)
