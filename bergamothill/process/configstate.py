"""The configuration in force as known to an entry instance, and its age; no I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from bergamothill.connection.storeera import REWRITE_MS
from bergamothill.ids import BrandName, EntryInstanceId
from bergamothill.process.nodesettings import DeploymentBounds
from bergamothill.version.routetable import Brand, CallerLimits, Route, RouteTable, RoutingConfig

__all__ = ["DEFAULT_APPLY_MS", "Admission", "ConfigState", "Verdict"]

DEFAULT_APPLY_MS = 2_000

REVOCATION_MARGIN_MS = 250
"""Subtracted from the revocation bound, as a request reaches its server later than the check."""


class Verdict(Enum):
    """Whether a request may be forwarded."""

    ADMITTED = "admitted"
    NO_CONFIGURATION = "no_configuration"
    STALE_KEYS = "stale_keys"
    UNCONFIRMED = "unconfirmed"
    """Not in the configuration in force, which may lack newer routes and keys."""

    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"


@dataclass(frozen=True, slots=True)
class Admission:
    """Admission decision for a request, with its route, brand and configuration.

    :param verdict: whether the request may be forwarded
    :param route: route of the request; None when there is none
    :param brand: brand of the key; None on a public route
    :param version: configuration version; 0 without a configuration
    :param age_ms: time since the configuration was last known to be current; -1 without one
    """

    verdict: Verdict
    route: Route | None
    brand: Brand | None
    version: int
    age_ms: int

    @property
    def brand_name(self) -> BrandName | None:
        """Name of the brand; None on a public route."""
        return None if self.brand is None else self.brand.name


class ConfigState:
    """The configuration in force, and the time at which it was last known to be current.

    :param revocation_ms: time after which a removed key must be rejected
    :param is_strict: reject all keys once the configuration is older than that
    :param apply_ms: time in which a change must be in force
    """

    def __init__(
        self, revocation_ms: int, *, is_strict: bool, apply_ms: int = DEFAULT_APPLY_MS
    ) -> None:
        self.apply_ms = apply_ms
        self.on_confirmed: Callable[[], None] = lambda: None
        """Called when a later read has shown that the configuration is current."""

        self.table: RouteTable | None = None
        self.revision = 0
        self.confirmed_by: EntryInstanceId | None = None
        """Instance whose read showed last that the configuration is current; None for this one."""

        self._confirmed_ms: int | None = None
        self._distrusted_until_ms = 0
        self._is_distrusted = False
        self.set_revocation_bound(revocation_ms, is_strict=is_strict)

    @classmethod
    def of_bounds(cls, bounds: DeploymentBounds) -> ConfigState:
        """Return the state without a configuration."""
        return cls(
            bounds.key_revocation_ms,
            is_strict=bounds.is_revocation_strict,
            apply_ms=bounds.config_apply_ms,
        )

    def set_bounds(self, bounds: DeploymentBounds) -> None:
        """Apply the bounds of reloaded settings."""
        self.apply_ms = bounds.config_apply_ms
        self.set_revocation_bound(bounds.key_revocation_ms, is_strict=bounds.is_revocation_strict)

    def set_revocation_bound(self, revocation_ms: int, *, is_strict: bool) -> None:
        """Set the time within which removed keys must be rejected.

        :param revocation_ms: time after which a removed key must be rejected
        :param is_strict: reject all keys once the configuration is older than that
        """
        self._max_config_age_ms = max(1, revocation_ms - REVOCATION_MARGIN_MS)
        self.is_strict = is_strict

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 when there is none."""
        return 0 if self.table is None else self.table.config.version

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers."""
        return CallerLimits() if self.table is None else self.table.config.limits

    def record_restore(self, now_ms: int) -> None:
        """Record that the key-value service was restored from an older copy.

        Until the operator has written its changes again, a read that returns the configuration in
        force does not show that no newer one was accepted before.

        :param now_ms: current time, in milliseconds
        """
        self._is_distrusted = True
        self._distrusted_until_ms = now_ms + REWRITE_MS

    def record_reconnection(self, now_ms: int) -> None:
        """Record that the key-value service is available again.

        If it went away before the operator can have written again, the wait starts anew.

        :param now_ms: current time, in milliseconds
        """
        if self._is_distrusted:
            self._distrusted_until_ms = now_ms + REWRITE_MS

    def is_read_trusted(self, sent_ms: int) -> bool:
        """Return whether a linearizable read shows all that was accepted before it was sent.

        :param sent_ms: time at which the read was sent
        """
        return sent_ms >= self._distrusted_until_ms

    def confirm(self, revision: int, sent_ms: int, source: EntryInstanceId | None = None) -> None:
        """Record a linearizable read that returned the revision already in force.

        :param revision: revision that was read
        :param sent_ms: time at which the read was sent; its result includes all earlier writes
        :param source: instance that read; None for this one
        """
        if not self.is_read_trusted(sent_ms):
            return
        self._is_distrusted = False
        is_later = self._confirmed_ms is None or sent_ms > self._confirmed_ms
        if revision >= self.revision and is_later:
            self._confirmed_ms, self.confirmed_by = sent_ms, source
            self.on_confirmed()

    def apply(
        self,
        config: RoutingConfig,
        revision: int,
        sent_ms: int,
        source: EntryInstanceId | None = None,
    ) -> bool:
        """Put a configuration into force unless the same or a newer version is in force.

        An older version comes from a service that was restored from an older copy; it does not
        confirm the version in force.

        :returns: whether the configuration is newly in force
        """
        if self.table is not None and config.version < self.version:
            return False
        if self.table is not None and config.version == self.version:
            self.revision = max(revision, self.revision)
            self.confirm(revision, sent_ms, source)
            return False
        self.table = RouteTable(config)
        self.revision = revision
        self.confirm(revision, sent_ms, source)
        return True

    def age_ms(self, now_ms: int) -> int | None:
        """Return the time since the configuration was last known to be current; None if never."""
        return None if self._confirmed_ms is None else now_ms - self._confirmed_ms

    def is_confirmed_since(self, sent_ms: int) -> bool:
        """Return whether a read sent at some time or later showed the configuration in force."""
        return self._confirmed_ms is not None and self._confirmed_ms >= sent_ms

    def is_config_fresh(self, now_ms: int) -> bool:
        """Return whether the configuration is fresh enough to accept keys."""
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and (not self.is_strict or age_ms < self._max_config_age_ms)

    def may_deny(self, now_ms: int) -> bool:
        """Return whether what the configuration in force lacks certainly does not exist.

        An older configuration may lack what was added since, which must be in force by now.
        """
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms < self.apply_ms

    def admit(self, host: str, path: str, key: str | None, now_ms: int) -> Admission:
        """Decide whether to admit a request.

        :param host: host of the request
        :param path: path without the query
        :param key: bearer key; None when there is none
        :param now_ms: current time, in milliseconds
        """
        age_ms = self.age_ms(now_ms)
        if self.table is None or age_ms is None:
            return Admission(Verdict.NO_CONFIGURATION, None, None, 0, -1)

        def decide(verdict: Verdict, brand: Brand | None = None) -> Admission:
            return Admission(verdict, route, brand, self.version, age_ms)

        route = self.table.find(host, path)
        if route is not None and route.is_public:
            return decide(Verdict.ADMITTED)
        if not self.is_config_fresh(now_ms):
            return decide(Verdict.STALE_KEYS)
        brand = None if key is None else self.table.brand_of(key)
        if route is not None and brand is not None:
            return decide(Verdict.ADMITTED, brand)
        if not self.may_deny(now_ms):
            return decide(Verdict.UNCONFIRMED)
        return decide(Verdict.UNKNOWN_ROUTE if route is None else Verdict.UNKNOWN_KEY)
