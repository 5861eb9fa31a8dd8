"""Messages between entry instances about backend servers and the instance list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bergamothill.connection.bus import message
from bergamothill.connection.engine import EngineLoad, EngineState
from bergamothill.connection.instancelist import Instance
from bergamothill.ids import Incarnation, ServerId, ZoneName

__all__ = [
    "InstanceChanges",
    "LeavingNotice",
    "LeavingQuery",
    "LeavingServer",
    "LoadFigures",
    "Numbering",
    "PollResult",
    "ServerReport",
    "ZoneSummary",
    "figures_of",
]


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """Load metrics of an engine: the fields of ``EngineLoad`` except its state."""

    age_ms: int
    queued_tokens: int
    running: int
    prefill_tokens_per_s: int
    link_bytes_per_s: int
    link_queued_bytes: int
    cache_free_tokens: int

    def with_state(self, state: EngineState) -> EngineLoad:
        """Return a load report with these metrics and a state.

        :param state: what the engine serves
        """
        return EngineLoad(
            self.age_ms,
            self.queued_tokens,
            self.running,
            self.prefill_tokens_per_s,
            self.link_bytes_per_s,
            self.link_queued_bytes,
            self.cache_free_tokens,
            state,
        )


def figures_of(load: EngineLoad) -> LoadFigures:
    """Return the load metrics of a load report.

    :param load: report of an engine
    """
    return LoadFigures(
        load.age_ms,
        load.queued_tokens,
        load.running,
        load.prefill_tokens_per_s,
        load.link_bytes_per_s,
        load.link_queued_bytes,
        load.cache_free_tokens,
    )


class Numbering(Enum):
    """Source of an incarnation number; the two number series are independent."""

    LISTED = 0
    """Assigned by the instance list."""

    OWN = 1
    """Assigned by the server itself."""


@dataclass(frozen=True, slots=True)
class LeavingServer:
    """A server that takes no new work.

    :param server: id of the backend server or store instance
    :param incarnation: incarnation that is leaving; a greater one is not affected
    :param numbering: source of the incarnation number
    :param age_ms: time since an entry instance first learned of it, in milliseconds
    """

    server: ServerId
    incarnation: Incarnation
    numbering: Numbering = Numbering.LISTED
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class PollResult:
    """Result of one poll of an engine.

    :param server: id of the engine
    :param incarnation: its incarnation, in the series of :attr:`Numbering.OWN`
    :param observed_ms: time on the reporter's clock at which the engine was in this state
    :param figures: load metrics; None when unchanged since the last report
    :param state: what the engine serves; None when unchanged
    """

    server: ServerId
    incarnation: Incarnation
    observed_ms: int
    figures: LoadFigures | None = None
    state: EngineState | None = None


@message("server_report")
@dataclass(frozen=True, slots=True)
class ServerReport:
    """Periodic report of one entry instance to its zone.

    :param created_ms: time on the reporter's clock
    :param leaving_digest: digest of the set of leaving servers that the reporter knows
    :param list_read_ms: time on the reporter's clock of the latest read of the instance list
        that it knows of; -1 for none
    :param poll_results: engines polled since the last report
    """

    created_ms: int
    leaving_digest: int
    list_read_ms: int = -1
    poll_results: tuple[PollResult, ...] = ()


@message("leaving")
@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Announces leaving servers; also the reply to :class:`LeavingQuery`.

    :param servers: leaving servers
    :param created_ms: time on the sender's clock
    :param list_read_ms: as in :class:`ServerReport`
    """

    servers: tuple[LeavingServer, ...]
    created_ms: int
    list_read_ms: int = -1


@message("leaving_query")
@dataclass(frozen=True, slots=True)
class LeavingQuery:
    """Asks a peer for all leaving servers it knows of."""


@message("instance_changes")
@dataclass(frozen=True, slots=True)
class InstanceChanges:
    """Differences between two successive reads of the instance list.

    :param read_ms: time on the reader's clock before the read
    :param leaving_digest: digest of the set of leaving servers known after the read
    :param changed: new and changed instances
    :param removed: names of instances no longer listed
    """

    read_ms: int
    leaving_digest: int
    changed: tuple[Instance, ...] = ()
    removed: tuple[str, ...] = ()


@message("zone_summary")
@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """Load of a zone's least loaded engines, sent to the other zones.

    :param zone: availability zone
    :param poll_results: poll results of those engines, with load metrics and state
    """

    zone: ZoneName
    poll_results: tuple[PollResult, ...]
