"""Settings that the platform hands to an entry instance."""

from __future__ import annotations

from dataclasses import dataclass

from bergamothill.ids import EntryInstanceId, ZoneName

__all__ = ["DeploymentBounds", "NodeSettings"]


@dataclass(frozen=True, slots=True)
class DeploymentBounds:
    """Bounds that the deployment promises to its users.

    :param drain_notice_ms: time in which a leaving server may still get requests
    :param stop_grace_ms: time between the stop signal and the kill
    :param key_revocation_ms: time after which a removed key admits nothing anywhere
    :param is_revocation_strict: the bound above holds for entry instances that are cut off, too
    :param retry_ratio: repeats that a service may get, as a share of its requests
    :param retry_slack: repeats that a service may get beyond that share
    :param retry_window_ms: window of the two above
    :param order_turn_ms: time between the orders of two holders of a duty
    :param weights_due_ms: time in which engines move to a named weight version
    :param engines_check_fencing: engines refuse orders with an old fencing number
    :param reuse_window_ms: time in which kept context is expected back
    """

    drain_notice_ms: int
    stop_grace_ms: int
    key_revocation_ms: int
    is_revocation_strict: bool
    retry_ratio: float
    retry_slack: float
    retry_window_ms: int
    order_turn_ms: int
    weights_due_ms: int
    engines_check_fencing: bool
    reuse_window_ms: int


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Checked settings of one entry instance on the platform.

    :param entry: name of the instance, unique in the deployment
    :param zone: availability zone
    :param ip_address: address of the machine
    :param caller_address: ``host:port`` for callers
    :param readiness_address: ``host:port`` for the balancer's readiness checks
    :param peer_port: port for the other entry instances
    :param store_address: ``host:port`` of the key-value service
    :param least_lease_ms: shortest lease that the key-value service grants
    :param memory_mb: memory limit of the process
    :param descriptors: limit of open descriptors
    :param bounds: promises of the deployment
    """

    entry: EntryInstanceId
    zone: ZoneName
    ip_address: str
    caller_address: str
    readiness_address: str
    peer_port: int
    store_address: str
    least_lease_ms: int
    memory_mb: int
    descriptors: int
    bounds: DeploymentBounds
