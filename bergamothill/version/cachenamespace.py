"""Namespaces of cached context, by weight version of a model, isolated brand and home regions.

Backend servers look up cached context by namespace and do not report which weights it was computed
with. The namespace therefore contains the weight version, the brand if it is isolated, and the home
regions of requests whose context must not be used elsewhere.
"""

from __future__ import annotations

from bergamothill.ids import ModelName
from bergamothill.version.routetable import Brand

__all__ = ["namespace", "version_of"]

_SEPARATOR = "~"


def namespace(model: ModelName, version: int, brand: Brand | None, home_regions: str = "") -> str:
    """Return the namespace for the cached context of a request.

    :param model: model of the request
    :param version: weight version that the request runs on
    :param brand: brand of the caller; None on a public route
    :param home_regions: home regions that separate the context; empty for none
    """
    parts = [model, str(version)]
    if brand is not None and brand.is_isolated:
        parts.append(brand.name)
    elif home_regions:
        parts.append("")
    if home_regions:
        parts.append(home_regions)
    return _SEPARATOR.join(parts)


def version_of(name: str, model: ModelName) -> int | None:
    """Return the weight version of a namespace.

    :param name: namespace
    :param model: expected model
    :returns: weight version; None if the namespace does not belong to this model
    """
    parts = name.split(_SEPARATOR)
    if len(parts) < 2 or parts[0] != model or not parts[1].isdecimal():
        return None
    return int(parts[1])
