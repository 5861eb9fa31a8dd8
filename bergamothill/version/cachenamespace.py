"""Namespaces of cached context, by weight version, brands that share the context, and home regions.

Backend servers look up cached context by namespace and report neither who made it nor with which
weights. A namespace therefore follows from the configuration in force alone, so that entry
instances agree on it whatever they have read before.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from functools import cached_property, lru_cache
from urllib.parse import quote, unquote

from bergamothill.ids import BrandName, ModelName
from bergamothill.version.routetable import Brand

__all__ = ["NO_ISOLATION", "BrandIsolation", "Namespace", "encode_name", "namespace", "version_of"]

SHARED_MARK = "!"
"""First character of the scope of context that brands share; encoded names do not contain it."""

DIGEST_BYTES = 8
MAX_CACHED_NAMESPACES = 4_096
MAX_VERSION_DIGITS = 18

_SEPARATOR = "~"


def encode_name(name: str) -> str:
    """Return a name without any character that separates the elements of a namespace."""
    return quote(name, safe="").replace(_SEPARATOR, "%7E")


@dataclass(frozen=True)
class BrandIsolation:
    """Which brands share cached context, by the set of isolated brands of a configuration.

    Context under the shared scope of a set was made only by brands outside that set. A brand that
    becomes isolated, or is so no longer, therefore changes the shared scope.

    :param isolated: names of the isolated brands, including those without a key
    """

    isolated: frozenset[BrandName] = frozenset()

    @cached_property
    def shared_scope(self) -> str:
        """Scope of the context that brands share."""
        return _shared_scope(self.isolated)

    def scope_of(self, brand: Brand | None) -> str:
        """Return the scope of the context that a request may use.

        A brand that was isolated when the request was admitted does not begin to share meanwhile.

        :param brand: brand of the caller at the admission; None on a public route
        """
        if brand is not None and (brand.is_isolated or brand.name in self.isolated):
            return encode_name(brand.name)
        return self.shared_scope

    def may_use(self, scope: str) -> bool:
        """Return whether a scope chosen under an earlier configuration may still be used."""
        return scope == self.shared_scope or not _is_shared(scope)

    def is_retired(self, scope: str) -> bool:
        """Return whether no request that is admitted now can use a scope."""
        if _is_shared(scope):
            return scope != self.shared_scope
        return scope not in map(encode_name, self.isolated)


def _is_shared(scope: str) -> bool:
    return not scope or scope.startswith(SHARED_MARK)


def _shared_scope(isolated: frozenset[BrandName]) -> str:
    if not isolated:
        return ""
    encoded = json.dumps(sorted(isolated)).encode()
    return SHARED_MARK + hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class Namespace:
    """Elements of a namespace.

    :param model: model of the request
    :param version: weight version that the request runs on
    :param scope: brands that share the context, by :meth:`BrandIsolation.scope_of`
    :param home_regions: home regions that separate the context; empty for none
    """

    model: ModelName
    version: int
    scope: str = ""
    home_regions: str = ""

    def encode(self) -> str:
        """Return the name that backend servers are given."""
        elements = [encode_name(self.model), str(self.version), self.scope, self.home_regions]
        return _SEPARATOR.join(elements).rstrip(_SEPARATOR)

    @classmethod
    def decode(cls, name: str) -> Namespace | None:
        """Return the elements of a name; None if it does not have the form of :meth:`encode`."""
        elements = [*name.split(_SEPARATOR), "", ""][:4]
        model, version, scope, home_regions = elements if len(elements) == 4 else ("",) * 4
        is_version = (
            version.isascii() and version.isdecimal() and len(version) <= MAX_VERSION_DIGITS
        )
        if not model or not is_version:
            return None
        decoded = cls(ModelName(unquote(model)), int(version), scope, home_regions)
        return decoded if decoded.encode() == name else None


NO_ISOLATION = BrandIsolation()
"""All brands share, those aside whose requests were admitted as isolated."""


def namespace(
    model: ModelName,
    version: int,
    brand: Brand | None,
    home_regions: str = "",
    isolation: BrandIsolation = NO_ISOLATION,
) -> str:
    """Return the namespace for the cached context of a request.

    :param model: model of the request
    :param version: weight version that the request runs on
    :param brand: brand of the caller; None on a public route
    :param home_regions: home regions that separate the context; empty for none
    :param isolation: isolated brands of the configuration in force
    """
    return _encode(model, version, isolation.scope_of(brand), home_regions)


@lru_cache(MAX_CACHED_NAMESPACES)
def _encode(model: ModelName, version: int, scope: str, home_regions: str) -> str:
    return Namespace(model, version, scope, home_regions).encode()


def version_of(name: str, model: ModelName) -> int | None:
    """Return the weight version of a namespace.

    :param name: namespace
    :param model: expected model
    :returns: weight version; None if the namespace does not belong to this model
    """
    decoded = Namespace.decode(name)
    return decoded.version if decoded is not None and decoded.model == model else None
