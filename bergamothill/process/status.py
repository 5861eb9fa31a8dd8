"""Status of an entry instance as a JSON object for operators."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from bergamothill.process.membership import PeerView
from bergamothill.process.servers import ServerStatus
from bergamothill.process.settings import Settings
from bergamothill.version.watcher import ConfigurationStatus

__all__ = ["entry_status"]


def entry_status(
    settings: Settings,
    incarnation: int,
    configuration: ConfigurationStatus,
    peers: Sequence[PeerView],
    servers: Sequence[ServerStatus],
) -> dict[str, Any]:
    """Return the status of one entry instance.

    :param settings: settings of the entry instance
    :param incarnation: incarnation of the entry instance
    :param configuration: status of its configuration
    :param peers: observed state of the other entry instances
    :param servers: observed state of the backend servers and stores
    """
    return {
        "entry": settings.entry_id,
        "zone": settings.zone,
        "incarnation": incarnation,
        "revision": configuration.revision,
        "configuration_age_ms": configuration.age_ms,
        "refused_revision": configuration.refused_revision,
        "refused_reason": configuration.reason.value,
        "kvs_reachable": configuration.kvs_reachable,
        "holds_watch": configuration.holds_watch,
        "peers": [_peer_status(peer) for peer in peers],
        "servers": [_server_status(server) for server in servers if server.kind.value != "store"],
        "stores": [_server_status(server) for server in servers if server.kind.value == "store"],
    }


def _peer_status(peer: PeerView) -> dict[str, Any]:
    return {"entry": peer.peer, "zone": peer.zone, "state": peer.status.value}


def _server_status(server: ServerStatus) -> dict[str, Any]:
    reachability = "live" if server.reachable else "unreachable"
    state = "leaving" if server.leaving else reachability
    return {
        "server": server.server,
        "kind": server.kind.value,
        "zone": server.zone,
        "incarnation": server.incarnation,
        "state": state,
        "age_ms": server.age_ms,
    }
