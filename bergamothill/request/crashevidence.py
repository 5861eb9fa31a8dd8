"""Reports of requests that broke off, as evidence against parts of their prompts; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

from bergamothill.ids import EntryInstanceId, ModelName, RequestId, ServerId

__all__ = ["CrashReport", "PartId", "RunNumber", "ServerIncarnation"]

RunNumber = NewType("RunNumber", int)
"""Number of a run, unique among all runs of entry instances of one name."""


@dataclass(frozen=True, slots=True, order=True)
class PartId:
    """Part of a prompt for a model."""

    model: ModelName
    name: str


@dataclass(frozen=True, slots=True)
class ServerIncarnation:
    """One life of a server, from its start to its end."""

    server: ServerId
    started_wall_ms: int


@dataclass(frozen=True, slots=True)
class CrashReport:
    """One run that broke off because the server closed or reset the connection.

    :param entry: entry instance that sent the request
    :param run: number of the run
    :param request_id: caller's id of the request
    :param server: server that ran it
    :param suspects: parts of the prompt but for the last
    :param is_trial: whether the run was a trial
    """

    entry: EntryInstanceId
    run: RunNumber
    request_id: RequestId
    server: ServerIncarnation
    suspects: frozenset[PartId]
    is_trial: bool
