"""Attempts of one request: decides whether a failure may be called "not run".

A request may be refused as not run only when no attempt was sent, or every attempt that was sent
got a definite refusal. Anything else leaves the outcome unknown, whatever came first or last.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bergamothill.errors import BergamothillError, Execution
from bergamothill.ids import ServerId

__all__ = ["Attempt", "AttemptLog", "AttemptState"]


class AttemptState(Enum):
    """What is known of one attempt."""

    UNSENT = "unsent"
    SENT = "sent"
    REFUSED = "refused"
    STARTED = "started"


@dataclass(slots=True)
class Attempt:
    """One attempt at one backend server.

    :param server: backend server
    :param state: what is known of it
    """

    server: ServerId
    state: AttemptState = AttemptState.UNSENT


class AttemptLog:
    """All attempts of one request, from the first to the final answer."""

    def __init__(self) -> None:
        self._attempts: list[Attempt] = []

    @property
    def servers(self) -> tuple[ServerId, ...]:
        """Backend servers tried so far, in order."""
        return tuple(attempt.server for attempt in self._attempts)

    def begin(self, server: ServerId) -> Attempt:
        """Open an attempt, before its first byte can be sent.

        :param server: backend server
        :returns: the attempt, to be given to the methods below
        """
        attempt = Attempt(server)
        self._attempts.append(attempt)
        return attempt

    def sending(self, attempt: Attempt) -> None:
        """Note that bytes may leave from now on."""
        attempt.state = AttemptState.SENT

    def started(self, attempt: Attempt) -> None:
        """Note that the backend server began the run."""
        attempt.state = AttemptState.STARTED

    def failed(self, attempt: Attempt, error: BergamothillError) -> None:
        """Note why an attempt failed.

        :param attempt: attempt that failed
        :param error: a definite refusal carries ``Execution.NOT_RUN``
        """
        is_definite = error.execution is Execution.NOT_RUN
        if is_definite and attempt.state is not AttemptState.STARTED:
            attempt.state = AttemptState.REFUSED

    def execution(self) -> Execution:
        """Return what may be said of the whole request if it ends in a failure now."""
        harmless = (AttemptState.UNSENT, AttemptState.REFUSED)
        if all(attempt.state in harmless for attempt in self._attempts):
            return Execution.NOT_RUN
        return Execution.UNKNOWN

    def can_try_elsewhere(self) -> bool:
        """Return whether another attempt cannot run the request twice."""
        return self.execution() is Execution.NOT_RUN

    def final(self, error: BergamothillError) -> BergamothillError:
        """Return the error with what may truly be said of the request.

        :param error: failure of the last attempt
        :returns: the same error
        """
        error.execution = self.execution()
        return error
