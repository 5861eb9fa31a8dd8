"""Test doubles that several tests and proofs share."""

from __future__ import annotations

from bergamothill.process.backends import BackendServer
from bergamothill.request.callerrequest import ForwardTerms
from bergamothill.request.serverchoice import ServerChoice


class ScriptedChooser:
    """Chooses what a test sets, or else the first of its servers that is not avoided.

    :param servers: servers in order
    """

    def __init__(self, *servers: BackendServer) -> None:
        self.servers = servers
        self.answer: BackendServer | ServerChoice = None
        self.needs_lone_server: bool | None = None

    def choose(
        self,
        service,
        request,
        brand,
        avoided,
        urgency,
        now_ms,
        trial=None,
        *,
        is_move=False,
        version=None,
    ) -> ServerChoice:
        """Choose a server and the terms to forward the request under."""
        if trial is not None:
            self.needs_lone_server = trial.needs_lone_server
        chosen = self.answer
        if chosen is None and self.servers:
            fresh = [s for s in self.servers if s.server not in avoided] or self.servers
            chosen = fresh[0]
        if isinstance(chosen, BackendServer):
            return (chosen, ForwardTerms(chosen.server, 0))
        return chosen
