"""Settings of an entry instance on the deployment platform."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.ids import EntryInstanceId, ZoneName
from bergamothill.process.coldservers import ColdBounds
from bergamothill.version.homes import RegionMap
from bergamothill.version.versionrecord import RecordUse

__all__ = ["DeploymentBounds", "NodeSettings"]


@dataclass(frozen=True, slots=True)
class DeploymentBounds:
    """Bounds that the deployment guarantees to its users.

    :param config_apply_ms: time in which every entry instance applies a configuration
    :param stability_window_ms: time after an outage of the key-value service from which on the
        bounds hold again
    :param drain_notice_ms: time for which a leaving server may still get requests
    :param stop_grace_ms: time between the stop signal and the kill signal
    :param key_revocation_ms: time after which a revoked key is rejected by every entry instance
    :param is_revocation_strict: whether that bound also holds for partitioned entry instances
    :param retry_ratio: retry budget of a service, as a share of its requests
    :param retry_slack: number of retries allowed in addition to that share
    :param retry_window_ms: time window over which the retry budget is counted
    :param order_gap_ms: minimum time between the orders of two holders of a duty to one engine
    :param weights_due_ms: time in which engines must move to a new weight target
    :param engines_check_fencing: whether engines reject orders with an outdated fencing number
    :param reuse_window_ms: time in which cached context is expected to be used again
    :param cold: requests that cold servers get
    :param evacuation_ms: time after which the servers of an evacuated zone get nothing
    """

    config_apply_ms: int
    stability_window_ms: int
    drain_notice_ms: int
    stop_grace_ms: int
    key_revocation_ms: int
    is_revocation_strict: bool
    retry_ratio: float
    retry_slack: float
    retry_window_ms: int
    order_gap_ms: int
    weights_due_ms: int
    engines_check_fencing: bool
    reuse_window_ms: int
    evacuation_ms: int = 5_000
    cold: ColdBounds = ColdBounds()

    @property
    def operator_read_ms(self) -> int:
        """Shortest bound in which what the operator or a leaving server writes must be known."""
        return min(self.config_apply_ms, self.drain_notice_ms, self.evacuation_ms)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Validated settings of one entry instance on the platform.

    :param entry: name of the instance, unique in the deployment
    :param zone: availability zone
    :param ip_address: IP address of the machine
    :param caller_address: ``host:port`` to listen on for callers
    :param readiness_address: ``host:port`` to listen on for readiness checks of the load balancer
    :param peer_port: port to listen on for the other entry instances
    :param store_address: ``host:port`` of the key-value service
    :param heartbeat_interval_ms: time between two signs of life of a backend server
    :param min_lease_ms: minimum lease TTL that the key-value service grants
    :param memory_mb: memory limit of the process
    :param descriptors: limit on open file descriptors
    :param bounds: guaranteed bounds of the deployment
    :param link_mbps: bandwidth of the link of the machine, in Mbit/s; 0 if not known
    :param regions: regions of the availability zones
    :param version_record: use of the record of versions of services
    """

    entry: EntryInstanceId
    zone: ZoneName
    ip_address: str
    caller_address: str
    readiness_address: str
    peer_port: int
    store_address: str
    heartbeat_interval_ms: int
    min_lease_ms: int
    memory_mb: int
    descriptors: int
    bounds: DeploymentBounds
    link_mbps: int = 0
    regions: RegionMap = RegionMap()
    version_record: RecordUse = RecordUse.OBSERVE
