"""Attempts of one request; decides whether a failed request may be reported as "not run".

A request may be reported as not run only if every attempt was either not sent or definitely
refused. In all other cases the outcome is unknown, whatever the order of the attempts.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bergamothill.errors import BergamothillError, Execution
from bergamothill.ids import ServerId

__all__ = ["Attempt", "AttemptLog", "AttemptState"]


class AttemptState(Enum):
    """Known state of an attempt."""

    UNSENT = "unsent"
    SENT = "sent"
    REFUSED = "refused"
    STARTED = "started"


@dataclass(slots=True)
class Attempt:
    """One attempt at one backend server.

    :param server: backend server
    :param state: known state of the attempt
    :param is_stale: whether it failed because its kept connection had been closed
    """

    server: ServerId
    state: AttemptState = AttemptState.UNSENT
    is_stale: bool = False


class AttemptLog:
    """All attempts of one request."""

    def __init__(self) -> None:
        self._attempts: list[Attempt] = []

    @property
    def servers(self) -> tuple[ServerId, ...]:
        """Backend servers tried so far, in order."""
        return tuple(attempt.server for attempt in self._attempts)

    @property
    def avoided(self) -> tuple[ServerId, ...]:
        """Servers that another attempt should avoid; a closed connection shows no failure."""
        return tuple(attempt.server for attempt in self._attempts if not attempt.is_stale)

    @property
    def has_stale(self) -> bool:
        """Whether an attempt failed because its kept connection had been closed."""
        return any(attempt.is_stale for attempt in self._attempts)

    def begin(self, server: ServerId) -> Attempt:
        """Record a new attempt, before any of its bytes can be sent.

        :param server: backend server
        :returns: the attempt, to pass to the methods below
        """
        attempt = Attempt(server)
        self._attempts.append(attempt)
        return attempt

    def mark_sending(self, attempt: Attempt) -> None:
        """Record that bytes of the request may be sent from now on."""
        attempt.state = AttemptState.SENT

    def mark_started(self, attempt: Attempt) -> None:
        """Record that the backend server has started the run."""
        attempt.state = AttemptState.STARTED

    def mark_failed(self, attempt: Attempt, error: BergamothillError) -> None:
        """Record the failure of an attempt.

        :param attempt: attempt that failed
        :param error: cause; a definite refusal has the execution ``Execution.NOT_RUN``
        """
        is_definite = error.execution is Execution.NOT_RUN
        if is_definite and attempt.state is not AttemptState.STARTED:
            attempt.state = AttemptState.REFUSED

    def execution(self) -> Execution:
        """Return the execution to report if the request fails now."""
        not_run_states = (AttemptState.UNSENT, AttemptState.REFUSED)
        if all(attempt.state in not_run_states for attempt in self._attempts):
            return Execution.NOT_RUN
        return Execution.UNKNOWN

    def with_final_execution(self, error: BergamothillError) -> BergamothillError:
        """Set the execution of the error to that of the whole request.

        :param error: failure of the last attempt
        :returns: the same error
        """
        error.execution = self.execution()
        return error
