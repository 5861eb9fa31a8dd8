"""Encoding of errors as JSON bodies of HTTP replies, and back to error classes."""

from __future__ import annotations

import json
from typing import Any, NoReturn

from bergamothill import errors
from bergamothill.connection.http import HttpReply
from bergamothill.errors import BergamothillError, Execution, ProtocolError

__all__ = ["raise_for_status", "raise_reply_error", "encode_error_body"]

_CLASSES_BY_CODE = {
    error_class.code: error_class
    for error_class in (getattr(errors, name) for name in errors.__all__)
    if isinstance(error_class, type)
    and issubclass(error_class, BergamothillError)
    and error_class is not errors.SettingsError
}


def encode_error_body(error: BergamothillError) -> dict[str, Any]:
    """Return the JSON object that reports an error to a peer."""
    body: dict[str, Any] = {"code": error.code, "message": error.message}
    if error.retry_after_ms is not None:
        body["retry_after_ms"] = error.retry_after_ms
    return body


def raise_reply_error(reply: HttpReply, *, step: str, peer: str) -> NoReturn:
    """Raise the error that is encoded in a reply of status 4xx or 5xx.

    :param reply: reply with an error as its JSON body
    :param step: step to name in the error
    :param peer: peer to name in the error
    :raises BergamothillError: an error of the class for the code in the body, with
        ``Execution.NOT_RUN``
    :raises ProtocolError: the body is not an encoded error; the outcome is unknown
    """
    try:
        body = json.loads(reply.body)
        error_class = _CLASSES_BY_CODE[body["code"]]
        message = str(body.get("message", ""))
        retry_after_ms = body.get("retry_after_ms")
    except (ValueError, RecursionError, KeyError, TypeError, AttributeError):
        raise ProtocolError(
            f"status {reply.status} without an error code in the body",
            step=step,
            peer=peer,
            execution=Execution.UNKNOWN,
        ) from None
    raise error_class(
        message,
        step=step,
        peer=peer,
        execution=Execution.NOT_RUN,
        retry_after_ms=retry_after_ms,
    )


def raise_for_status(reply: HttpReply, *, step: str, peer: str) -> HttpReply:
    """Return the reply, or raise the error that it reports; see :func:`raise_reply_error`."""
    if reply.status >= 400:
        raise_reply_error(reply, step=step, peer=peer)
    return reply
