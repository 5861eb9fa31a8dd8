"""Namespaces of kept context: one for each weight version of a model, and for each isolated brand.

Servers find kept context only under the same namespace, and do not tell by which weights it was
made. So the name carries the version, and the brand where it shares nothing with others.
"""

from __future__ import annotations

from bergamothill.ids import ModelName
from bergamothill.version.routetable import Brand

__all__ = ["namespace", "version_of"]

_SEPARATOR = "~"


def namespace(model: ModelName, version: int, brand: Brand | None) -> str:
    """Return the namespace of a request's context.

    :param model: model
    :param version: weight version that the request runs on
    :param brand: brand of the caller; None on a public route
    """
    parts = [model, str(version)]
    if brand is not None and brand.is_isolated:
        parts.append(brand.name)
    return _SEPARATOR.join(parts)


def version_of(name: str, model: ModelName) -> int | None:
    """Return the weight version of a namespace.

    :param name: namespace
    :param model: model that it has to belong to
    :returns: None when it is not a namespace of this model
    """
    parts = name.split(_SEPARATOR)
    if len(parts) < 2 or parts[0] != model or not parts[1].isdecimal():
        return None
    return int(parts[1])
