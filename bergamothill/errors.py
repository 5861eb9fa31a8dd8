"""Errors of the project: small classes that carry the step and the peer at which they arose."""

from __future__ import annotations

from enum import Enum

__all__ = [
    "AuthenticationError",
    "BergamothillError",
    "ConflictError",
    "Execution",
    "FencedError",
    "InvalidRequestError",
    "LeaseLostError",
    "NotFoundError",
    "OverloadedError",
    "PeerTimeoutError",
    "PeerUnreachableError",
    "PermissionDeniedError",
    "ProtocolError",
    "SettingsError",
    "StaleConfigurationError",
    "StoreFullError",
    "StreamBrokenError",
    "UnavailableError",
    "WeightVersionError",
]


class Execution(Enum):
    """What is known about whether a failed call had an effect."""

    NOT_RUN = "not_run"
    """The call truly did not run."""

    UNKNOWN = "unknown"
    """The call may or may not have run."""


class BergamothillError(Exception):
    """Base of all errors that the project raises.

    :param message: what happened, for people
    :param step: step at which it arose, such as ``admission`` or ``kvs.put``
    :param peer: other side of the failed exchange; empty when there is none
    :param execution: whether the work behind the call may have run
    :param retry_after_ms: when to ask again, in milliseconds; None when asking again is no help
    """

    code = "internal"
    http_status = 500

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = "",
        execution: Execution = Execution.NOT_RUN,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        self.execution = execution
        self.retry_after_ms = retry_after_ms

    def __str__(self) -> str:
        where = f"step={self.step}" + (f" peer={self.peer}" if self.peer else "")
        return f"{self.message} ({where})"


class InvalidRequestError(BergamothillError):
    """The request is malformed; asking again with the same body cannot succeed."""

    code = "invalid_request"
    http_status = 400


class AuthenticationError(BergamothillError):
    """The bearer key is missing or names no brand."""

    code = "invalid_key"
    http_status = 401


class PermissionDeniedError(BergamothillError):
    """The brand may not use what the request names."""

    code = "permission_denied"
    http_status = 403


class NotFoundError(BergamothillError):
    """What the request names does not exist, or not for this brand."""

    code = "not_found"
    http_status = 404


class ConflictError(BergamothillError):
    """A conditional write lost, or an idempotency key was used with another body."""

    code = "conflict"
    http_status = 409


class OverloadedError(BergamothillError):
    """A limit refused the request before any work was done."""

    code = "overloaded"
    http_status = 429


class UnavailableError(BergamothillError):
    """Nothing that could serve the request is available."""

    code = "unavailable"
    http_status = 503


class PeerUnreachableError(BergamothillError):
    """No byte of the request reached the peer: the call truly did not run."""

    code = "peer_unreachable"
    http_status = 503


class PeerTimeoutError(BergamothillError):
    """The peer did not answer in time, or the reply was lost; the effect is unknown by default."""

    code = "peer_timeout"
    http_status = 504

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = "",
        execution: Execution = Execution.UNKNOWN,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(
            message, step=step, peer=peer, execution=execution, retry_after_ms=retry_after_ms
        )


class ProtocolError(BergamothillError):
    """The peer answered with something its protocol does not allow."""

    code = "protocol_error"
    http_status = 502


class WeightVersionError(ProtocolError):
    """An engine ran another weight version than the one that the run is pinned to.

    The engine computed something, but nothing of it is delivered or kept.
    """

    code = "wrong_weight_version"


class StreamBrokenError(BergamothillError):
    """An answer stream cannot be finished; what was received is not the whole answer."""

    code = "stream_broken"
    http_status = 502


class FencedError(BergamothillError):
    """An order carried an old fencing number."""

    code = "fenced"
    http_status = 409


class LeaseLostError(BergamothillError):
    """The lease that the work depends on is lost or cannot be confirmed."""

    code = "lease_lost"
    http_status = 503


class StoreFullError(BergamothillError):
    """A store instance has no room."""

    code = "store_full"
    http_status = 507


class StaleConfigurationError(BergamothillError):
    """A configuration older than the one in force was offered."""

    code = "stale_configuration"
    http_status = 409


class SettingsError(BergamothillError):
    """One fault in a settings file.

    :param file: path of the settings file
    :param key: dotted key at fault
    :param found: what the file has
    :param expected: what is allowed there
    """

    code = "invalid_settings"

    def __init__(self, *, file: str, key: str, found: str, expected: str) -> None:
        super().__init__(
            f"file={file} key={key} found={found} expected={expected}", step="settings"
        )
        self.file = file
        self.key = key
        self.found = found
        self.expected = expected
