"""Steps of a forwarded request that wait, and the reasons why one ends without an answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bergamothill.request.requestqueue import NO_LIMIT, AdmissionRate

__all__ = ["Reason", "WaitForMemory", "WaitForTrial"]


class Reason(Enum):
    """Reason why a request ended without an answer from a server."""

    NO_SERVER = "no_server"
    REFUSED = "refused_by_servers"
    BUDGET = "retry_budget"
    BROKEN = "answer_lost"
    EXPIRED = "expired"
    FULL = "engines_full"
    QUIET = "servers_ask_for_quiet"
    EVACUATED = "zones_evacuated"
    LIMITED = "servers_at_limit"
    STOPPING = "instance_stopping"
    AWAITS_TRIAL = "part_under_trial"
    QUARANTINED = "part_quarantined"
    INTERNAL_ERROR = "internal_error"
    ORIGIN_UNKNOWN = "stream_origin_unknown"
    NO_SUCH_VERSION = "no_server_of_version"
    NO_HOME_SERVER = "no_server_in_home_regions"
    NO_HELPER = "no_instance_helps"
    ISOLATED = "instance_isolated"


@dataclass(frozen=True, slots=True)
class WaitForMemory:
    """Wait for free engine memory or for the limits of servers, then call :meth:`Forwarding.retry`.

    :param urgency: priority in the queue; 0 comes first
    :param tokens: memory needed, in tokens
    :param on_time_until_ms: time until which the objective can still be met
    :param give_up_ms: time after which waiting no longer helps
    :param rate: rate at which the limits of the servers admit requests
    :param work_per_ms: work that the servers are expected to take from this instance; 0 if not
        known
    """

    urgency: int
    tokens: int
    on_time_until_ms: int
    give_up_ms: int
    rate: AdmissionRate = NO_LIMIT
    work_per_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class WaitForTrial:
    """Wait until suspected parts may be tried, then call :meth:`Forwarding.retry`.

    :param retry_ms: time after which to ask again
    :param give_up_ms: time after which waiting no longer helps
    """

    retry_ms: int
    give_up_ms: int
