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
    "ServerNews",
    "ServerReport",
    "ZoneSummary",
    "figures_of",
]


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """Figures of a load report; the fields are those of ``EngineLoad`` without its state."""

    age_ms: int
    queued_tokens: int
    running: int
    prefill_tokens_per_s: int
    link_bytes_per_s: int
    link_queued_bytes: int
    cache_free_tokens: int

    def with_state(self, state: EngineState) -> EngineLoad:
        """Return the whole load report.

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
    """Return the figures of a load report.

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
    """Who numbered an incarnation; the two series need not agree."""

    LISTED = 0
    """The instance list."""

    OWN = 1
    """The server itself."""


@dataclass(frozen=True, slots=True)
class LeavingServer:
    """A server that takes no new work.

    :param server: backend server, or store instance
    :param incarnation: incarnation that leaves; a greater one is not concerned
    :param numbering: series of the incarnation
    :param age_ms: time since it was learned first, in milliseconds
    """

    server: ServerId
    incarnation: Incarnation
    numbering: Numbering = Numbering.LISTED
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class ServerNews:
    """What one poll of an engine found.

    :param server: engine
    :param incarnation: its incarnation, by its own numbering
    :param asked_ms: instant on the reporter's clock at which the engine's state was true
    :param figures: load; None when unchanged since the last report
    :param state: what the engine serves; None when unchanged
    """

    server: ServerId
    incarnation: Incarnation
    asked_ms: int
    figures: LoadFigures | None = None
    state: EngineState | None = None


@message("server_report")
@dataclass(frozen=True, slots=True)
class ServerReport:
    """Report of one entry instance to its zone, once a tick.

    :param made_ms: instant on the reporter's clock
    :param leaving_digest: digest of the leaving servers that the reporter knows
    :param list_read_ms: instant on the reporter's clock of the newest read of the instance list
        that it knows of; -1 for none
    :param news: engines polled since the last report
    """

    made_ms: int
    leaving_digest: int
    list_read_ms: int = -1
    news: tuple[ServerNews, ...] = ()


@message("leaving")
@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Servers that leave; also the answer to :class:`LeavingQuery`.

    :param servers: leaving servers
    :param made_ms: instant on the sender's clock
    :param list_read_ms: as in :class:`ServerReport`
    """

    servers: tuple[LeavingServer, ...]
    made_ms: int
    list_read_ms: int = -1


@message("leaving_query")
@dataclass(frozen=True, slots=True)
class LeavingQuery:
    """Asks a peer for all leaving servers that it knows."""


@message("instance_changes")
@dataclass(frozen=True, slots=True)
class InstanceChanges:
    """What a read of the instance list changed in the reader's knowledge of it.

    :param read_ms: instant on the reader's clock before the read
    :param leaving_digest: as in :class:`ServerReport`, after the read
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
    """Load of a zone's least loaded engines, for the other zones.

    :param zone: availability zone
    :param news: those engines, with figures and state
    """

    zone: ZoneName
    news: tuple[ServerNews, ...]
