"""What may have begun streams before the record of versions was begun, by the service's history."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from bergamothill.connection.kvs import KeyValueHistory
from bergamothill.errors import ProtocolError
from bergamothill.platform.config import CONFIG_KEY, decode_config
from bergamothill.platform.servers import SERVER_PREFIX, decode_server
from bergamothill.process.backends import BackendServer
from bergamothill.version.routetable import RetryPolicy, Route
from bergamothill.version.versionrecord import RecordItem

__all__ = ["HistoryReader", "items_of_lists", "read_past"]


class HistoryReader(Protocol):
    """Key-value service that keeps its latest changes."""

    def changes_since_creation(self, prefix: str, key: str) -> KeyValueHistory | None:
        """Return all changes below a prefix since a key was created; None if not available."""


def items_of_lists(
    routes: Iterable[Route], servers: Iterable[BackendServer]
) -> frozenset[RecordItem]:
    """Return what may begin streams by a configuration and a list of servers.

    :param routes: all routes of the configuration
    :param servers: all servers; of services without stream routes only engines count
    """
    streams = [route for route in routes if route.retry_policy is RetryPolicy.STREAM]
    services = {share.service for route in streams for share in route.shares}
    by_route = {RecordItem.of_route(r.name, s.service) for r in streams for s in r.shares}
    by_version = {
        RecordItem.of_version(server.service, server.software_version)
        for server in servers
        if server.weights or server.service in services
    }
    return frozenset(by_route | by_version)


def read_past(
    reader: HistoryReader, listed: Iterable[BackendServer]
) -> frozenset[RecordItem] | None:
    """Return all that has come before, since the operator wrote the first configuration.

    No stream began before that, so that nothing else may have begun one.

    :param reader: key-value service
    :param listed: servers of the latest list
    :returns: None if the service does not have the whole history
    :raises BergamothillError: the service cannot be read
    """
    configs = reader.changes_since_creation(CONFIG_KEY, CONFIG_KEY)
    entries = reader.changes_since_creation(SERVER_PREFIX, CONFIG_KEY)
    if configs is None or entries is None:
        return None
    routes = [route for change in configs.changes for route in _routes(change.value)]
    servers, written = [], set()
    for change in entries.changes:
        if change.value is not None:
            written.add(change.key)
            servers += _decode(change.key, change.value)
        elif change.key not in written:
            return None  # it was registered before, with a version that is not known
    for server in listed:
        is_missing = f"{SERVER_PREFIX}{server.server}" not in written
        if is_missing and server.revision >= entries.created_revision:
            return None
    return items_of_lists(routes, servers)


def _routes(encoded: bytes | None) -> tuple[Route, ...]:
    try:
        return () if encoded is None else decode_config(encoded).routes
    except ProtocolError:
        return ()  # never in force


def _decode(key: str, encoded: bytes) -> list[BackendServer]:
    try:
        return [decode_server(key, encoded)]
    except ProtocolError:
        return []  # never used
