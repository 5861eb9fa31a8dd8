"""What an entry instance believes of the configuration, with the age of each belief; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bergamothill.version.routetable import Brand, CallerLimits, Route, RouteTable, RoutingConfig

__all__ = ["Admission", "ConfigBelief", "Verdict"]

REVOCATION_MARGIN_MS = 250
"""Kept back of the revocation bound: time between a check and the arrival at a server."""


class Verdict(Enum):
    """Whether a request may be forwarded."""

    ADMITTED = "admitted"
    NO_CONFIGURATION = "no_configuration"
    STALE_KEYS = "stale_keys"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"


@dataclass(frozen=True, slots=True)
class Admission:
    """Verdict on a request, with what it was judged by.

    :param verdict: whether it may be forwarded
    :param route: its route
    :param brand: brand of its key; None on a public route
    :param version: configuration version; 0 when there is none
    :param age_ms: time since the configuration was last known to be the newest
    """

    verdict: Verdict
    route: Route | None
    brand: Brand | None
    version: int
    age_ms: int


class ConfigBelief:
    """The configuration in force, as far as it is known.

    :param revocation_ms: time after which a removed key admits nothing
    :param is_strict: keys count only while the configuration is known to be that fresh
    """

    def __init__(self, revocation_ms: int, *, is_strict: bool) -> None:
        self.table: RouteTable | None = None
        self.revision = 0
        self._confirmed_ms: int | None = None
        self.set_bound(revocation_ms, is_strict=is_strict)

    def set_bound(self, revocation_ms: int, *, is_strict: bool) -> None:
        """Set how long keys are trusted.

        :param revocation_ms: time after which a removed key admits nothing
        :param is_strict: keys count only while the configuration is known to be that fresh
        """
        self._bound_ms = max(1, revocation_ms - REVOCATION_MARGIN_MS)
        self._is_strict = is_strict

    @property
    def version(self) -> int:
        """Version in force; 0 when there is none."""
        return 0 if self.table is None else self.table.config.version

    @property
    def limits(self) -> CallerLimits:
        """Bounds on callers."""
        return CallerLimits() if self.table is None else self.table.config.limits

    def confirm(self, revision: int, sent_ms: int) -> None:
        """Note a linearizable read that showed the revision already in force.

        :param sent_ms: when the read was sent: what was accepted before it is known
        """
        if revision >= self.revision:
            self._confirmed_ms = max(sent_ms, self._confirmed_ms or sent_ms)

    def take(self, config: RoutingConfig, revision: int, sent_ms: int) -> bool:
        """Take over a configuration unless a newer one is in force.

        :returns: whether it is in force now and was not before
        """
        if self.table is not None and config.version <= self.version:
            self.revision = max(revision, self.revision)
            self.confirm(revision, sent_ms)
            return False
        self.table = RouteTable(config)
        self.revision = revision
        self.confirm(revision, sent_ms)
        return True

    def age_ms(self, now_ms: int) -> int | None:
        """Return the time since the configuration was known to be the newest."""
        return None if self._confirmed_ms is None else now_ms - self._confirmed_ms

    def keys_hold(self, now_ms: int) -> bool:
        """Tell whether keys may be trusted."""
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and (not self._is_strict or age_ms < self._bound_ms)

    def admit(self, host: str, path: str, key: str | None, now_ms: int) -> Admission:
        """Judge a request.

        :param host: host that it names
        :param path: path without the query
        :param key: bearer key; None when there is none
        :param now_ms: present instant, in milliseconds
        """
        age_ms = self.age_ms(now_ms)
        if self.table is None or age_ms is None:
            return Admission(Verdict.NO_CONFIGURATION, None, None, 0, -1)

        def verdict(kind: Verdict, brand: Brand | None = None) -> Admission:
            return Admission(kind, route, brand, self.version, age_ms)

        route = self.table.find(host, path)
        if route is None:
            # An entry instance that may have missed changes does not deny what it cannot know.
            kind = Verdict.UNKNOWN_ROUTE if self.keys_hold(now_ms) else Verdict.STALE_KEYS
            return verdict(kind)
        if route.is_public:
            return verdict(Verdict.ADMITTED)
        if not self.keys_hold(now_ms):
            return verdict(Verdict.STALE_KEYS)
        brand = None if key is None else self.table.brand_of(key)
        if brand is None:
            return verdict(Verdict.UNKNOWN_KEY)
        return verdict(Verdict.ADMITTED, brand)
