"""Which servers may run a request while some of them try suspected parts of others; no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.ids import ServerId
from bergamothill.process.loadreport import PeerLoads
from bergamothill.process.observedserver import ObservedServer
from bergamothill.request.partquarantine import Trial

__all__ = ["TrialPlacement"]


@dataclass(frozen=True, slots=True)
class TrialPlacement:
    """Selects among servers that have room.

    :param under_trial: servers on which a trial is running
    :param peer_loads: loads reported by the other entry instances
    """

    under_trial: frozenset[ServerId]
    peer_loads: PeerLoads

    def select_for(
        self, trial: Trial | None, servers: list[ObservedServer]
    ) -> list[ObservedServer]:
        """Return the servers for a trial, or for a request that is none."""
        if trial is None:
            return self.avoid(servers)
        return self.select_lone(servers) if trial.needs_lone_server else self.select(servers)

    def avoid(self, servers: list[ObservedServer]) -> list[ObservedServer]:
        """Return the servers without a trial, or all if each has one."""
        return self.select_free(servers) or servers if self.under_trial else servers

    def select(self, servers: list[ObservedServer]) -> list[ObservedServer]:
        """Return the servers on which a trial puts the fewest other requests at risk."""
        return self._least_loaded(self.avoid(servers))

    def select_lone(self, servers: list[ObservedServer]) -> list[ObservedServer]:
        """Return the same, but no server on which another trial is running."""
        return self._least_loaded(self.select_free(servers))

    def select_free(self, servers: list[ObservedServer]) -> list[ObservedServer]:
        """Return the servers without a trial."""
        return [state for state in servers if state.entry.server not in self.under_trial]

    def _least_loaded(self, servers: list[ObservedServer]) -> list[ObservedServer]:
        counts = {state.entry.server: self._in_progress(state) for state in servers}
        fewest = min(counts.values(), default=0)
        return [state for state in servers if counts[state.entry.server] == fewest]

    def _in_progress(self, state: ObservedServer) -> int:
        return state.in_progress + self.peer_loads.load_on(state.entry.server).in_progress
