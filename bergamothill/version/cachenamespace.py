"""Namespaces of cached context, by weight version of a model, brands that share it and home regions.

Backend servers look up cached context by namespace and report neither who made it nor with which
weights. A namespace therefore follows from the configuration in force alone, so that entry
instances agree on it whatever they have read before.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from urllib.parse import quote, unquote

from bergamothill.ids import ModelName
from bergamothill.version.routetable import Brand

__all__ = ["Namespace", "encode_name", "namespace", "version_of"]

MAX_CACHED_NAMESPACES = 4_096
MAX_VERSION_DIGITS = 18

_SEPARATOR = "~"


def encode_name(name: str) -> str:
    """Return a name without any character that separates the elements of a namespace."""
    return quote(name, safe="").replace(_SEPARATOR, "%7E")


@dataclass(frozen=True, slots=True)
class Namespace:
    """Elements of a namespace.

    :param model: model of the request
    :param version: weight version that the request runs on
    :param scope: encoded name of the brand if it is isolated; empty if brands share the context
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


def namespace(model: ModelName, version: int, brand: Brand | None, home_regions: str = "") -> str:
    """Return the namespace for the cached context of a request.

    :param model: model of the request
    :param version: weight version that the request runs on
    :param brand: brand of the caller; None on a public route
    :param home_regions: home regions that separate the context; empty for none
    """
    scope = encode_name(brand.name) if brand is not None and brand.is_isolated else ""
    return _encode(model, version, scope, home_regions)


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
