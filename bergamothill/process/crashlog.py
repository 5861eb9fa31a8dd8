"""Logs internal errors that end the processing of a request."""

from __future__ import annotations

from bergamothill.logs import EventLog

__all__ = ["MAX_ERROR_CHARACTERS", "log_crash"]

MAX_ERROR_CHARACTERS = 300

_log = EventLog("gateway")


def log_crash(request_id: str, error: BaseException) -> None:
    """Log the error, where it was raised, and the request.

    :param request_id: request, or ``-`` if it is not known
    :param error: error that was not handled
    """
    frame = error.__traceback__
    while frame is not None and frame.tb_next is not None:
        frame = frame.tb_next
    code = None if frame is None else frame.tb_frame.f_code
    _log.error(
        "request_crashed",
        request=request_id,
        error=repr(error)[:MAX_ERROR_CHARACTERS],
        at="-" if code is None else f"{code.co_qualname}:{frame.tb_lineno}",
    )
