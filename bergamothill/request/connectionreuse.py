"""Decides whether a request may be sent on a kept connection; no I/O.

The server may have closed such a connection without notice. The request is then reset, may have run
all the same, and is repeated on a new connection.
"""

from __future__ import annotations

from bergamothill.request.attemptlog import AttemptLog
from bergamothill.request.callerrequest import CallerRequest
from bergamothill.version.routetable import Route

__all__ = ["may_reuse_connection"]


def may_reuse_connection(
    route: Route, request: CallerRequest, attempts: AttemptLog, run_count: int, retries_left: int
) -> bool:
    """Return whether an attempt may use a kept connection, as its repeat would be allowed.

    A request without an id, or with one that cannot be compared byte for byte, always gets a new
    connection: on a kept one the late copy of an earlier answer could not be told from its own.

    :param attempts: earlier attempts; the repeat of one on a kept connection uses a new one
    :param run_count: attempts that may have run the request, in progress or ended
    :param retries_left: retries that may still be sent to the service
    """
    has_id = bool(request.request_id) and request.request_id.isascii()
    if not (route.may_retry and has_id) or attempts.has_stale:
        return False
    return run_count + 1 < route.max_servers and bool(retries_left)
