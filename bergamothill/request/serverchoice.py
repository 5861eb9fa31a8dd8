"""Choice of a server for a request, and what it may depend on; does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from bergamothill.ids import SoftwareVersion
from bergamothill.process.backends import BackendServer
from bergamothill.request.callerrequest import CallerRequest, ForwardTerms
from bergamothill.request.partquarantine import QuarantineVerdict, Trial
from bergamothill.version.routetable import Brand, Service

__all__ = [
    "AllQuiet",
    "AtLimit",
    "NoFreeMemory",
    "PartScreen",
    "ServerChoice",
    "ServerChooser",
]


@dataclass(frozen=True, slots=True)
class NoFreeMemory:
    """Result of a choice: no server that could run the request has capacity for it now.

    :param answer_ms: time that an answer takes once the request is sent; None if not known
    :param work_per_ms: time in slots of servers that this instance may use in one ms; 0 if not
        known
    """

    answer_ms: float | None = None
    work_per_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class AllQuiet:
    """Result of a choice: all servers that could run the request asked for a pause.

    :param until_ms: time at which the first of them may be used again
    :param is_evacuated: whether their zones are evacuated instead; the time is then a guess
    """

    until_ms: int
    is_evacuated: bool = False


@dataclass(frozen=True, slots=True)
class AtLimit:
    """Result of a choice: all servers that could run the request have a limit that is used up.

    :param wait_ms: time until one of them may get a request of this instance; None if none may
    :param interval_ms: time between two such requests
    """

    wait_ms: int | None
    interval_ms: int


ServerChoice = tuple[BackendServer, ForwardTerms] | NoFreeMemory | AllQuiet | AtLimit | None


class ServerChooser(Protocol):
    """Chooses among the servers of a service."""

    def choose(
        self,
        service: Service,
        request: CallerRequest,
        brand: Brand | None,
        avoided: tuple[str, ...],
        urgency: int,
        now_ms: int,
        trial: Trial | None = None,
        *,
        is_move: bool = False,
        version: SoftwareVersion | None = None,
    ) -> ServerChoice:
        """Return a server and the terms for it.

        Returns None if no server can run the request, ``NoFreeMemory`` if none of those that may be
        chosen has capacity for it or others wait before it, ``AllQuiet`` if all of them asked for a
        pause, ``AtLimit`` if all of them take no more requests for now.

        :param urgency: 0 comes first; less urgent requests must leave more memory free
        :param avoided: servers that already failed the request; chosen only as a last resort
        :param trial: trial for which a server is chosen where few requests would go down with it
        :param is_move: an attempt is in progress that may still succeed, so no server is chosen
            that is avoided, silent or in its backoff
        :param version: only software version at which the request may run; None for any
        """


class PartScreen(Protocol):
    """Tells whether a request may be sent, by what is known of its parts."""

    def check(self, request: CallerRequest, now_ms: int) -> QuarantineVerdict:
        """Return whether a request may be sent."""
