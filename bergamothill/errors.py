"""Errors of the project; each carries the step and the peer at which it occurred."""

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
    "StoreRestoredError",
    "StreamBrokenError",
    "UnavailableError",
    "WeightVersionError",
]


class Execution(Enum):
    """What is known about whether a failed call had an effect."""

    NOT_RUN = "not_run"
    """The call is known not to have run."""

    UNKNOWN = "unknown"
    """The call may or may not have run."""


class BergamothillError(Exception):
    """Base of all errors that the project raises.

    :param message: human-readable description
    :param step: step at which the error occurred, such as ``admission`` or ``kvs.put``
    :param peer: remote side of the failed call; empty when there is none
    :param execution: whether the work behind the call may have run
    :param retry_after_ms: delay before a retry, in milliseconds; None when a retry cannot help
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
        context = f"step={self.step}" + (f" peer={self.peer}" if self.peer else "")
        return f"{self.message} ({context})"


class InvalidRequestError(BergamothillError):
    """The request is invalid; a retry with the same body cannot succeed."""

    code = "invalid_request"
    http_status = 400


class AuthenticationError(BergamothillError):
    """The bearer key is missing or belongs to no brand."""

    code = "invalid_key"
    http_status = 401


class PermissionDeniedError(BergamothillError):
    """The brand has no right to use the resource that the request names."""

    code = "permission_denied"
    http_status = 403


class NotFoundError(BergamothillError):
    """The resource that the request names does not exist, or not for this brand."""

    code = "not_found"
    http_status = 404


class ConflictError(BergamothillError):
    """A conditional write failed, or an idempotency key was reused with another body."""

    code = "conflict"
    http_status = 409


class OverloadedError(BergamothillError):
    """The request exceeded a limit and was rejected before any work was done."""

    code = "overloaded"
    http_status = 429


class UnavailableError(BergamothillError):
    """No server or service that could handle the request is available."""

    code = "unavailable"
    http_status = 503


class PeerUnreachableError(BergamothillError):
    """No byte of the request reached the peer, so the call did not run."""

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


class StoreRestoredError(PeerTimeoutError):
    """The key-value service was restored from an older copy before or during the call."""

    code = "store_restored"


class ProtocolError(BergamothillError):
    """The peer sent a reply that its protocol does not allow."""

    code = "protocol_error"
    http_status = 502


class WeightVersionError(ProtocolError):
    """An engine used a weight version other than the one that the run is pinned to.

    The engine may have produced output, but none of it is delivered or kept.
    """

    code = "wrong_weight_version"


class StreamBrokenError(BergamothillError):
    """An answer stream cannot be completed; the answer received so far is incomplete."""

    code = "stream_broken"
    http_status = 502


class FencedError(BergamothillError):
    """An order carried an outdated fencing number."""

    code = "fenced"
    http_status = 409


class LeaseLostError(BergamothillError):
    """The lease that the work depends on is lost or cannot be confirmed."""

    code = "lease_lost"
    http_status = 503


class StoreFullError(BergamothillError):
    """A store instance has no free capacity."""

    code = "store_full"
    http_status = 507


class StaleConfigurationError(BergamothillError):
    """The received configuration is older than the one in force."""

    code = "stale_configuration"
    http_status = 409


class SettingsError(BergamothillError):
    """One fault in a settings file.

    :param file: path of the settings file
    :param key: dotted key of the invalid value
    :param found: value in the file
    :param expected: description of the allowed values
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
