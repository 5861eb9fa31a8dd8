"""Authentication: the caller's bearer key alone determines the brand."""

from __future__ import annotations

import hashlib
import hmac

from bergamothill.errors import AuthenticationError
from bergamothill.ids import BrandName
from bergamothill.version.config import Configuration

__all__ = ["BrandIndex", "bearer_key", "check_operator", "key_digest"]

_SCHEME = "bearer "
_STEP = "authentication"


def bearer_key(authorization: str | None) -> str:
    """Return the key of an ``Authorization`` header.

    :param authorization: header value; None if the header is missing
    :raises AuthenticationError: the header has no bearer key
    """
    if not authorization or not authorization.lower().startswith(_SCHEME):
        raise AuthenticationError("a bearer key is required", step=_STEP)
    return authorization[len(_SCHEME) :].strip()


def key_digest(key: str) -> str:
    """Return the hexadecimal SHA-256 of a key, as used in the configuration."""
    return hashlib.sha256(key.encode()).hexdigest()


def check_operator(authorization: str | None, digest: str) -> None:
    """Check the operator key, which is sent as a bearer key.

    :param authorization: header value
    :param digest: hexadecimal SHA-256 of the operator key
    :raises AuthenticationError: the key is missing or wrong
    """
    if not hmac.compare_digest(key_digest(bearer_key(authorization)), digest):
        raise AuthenticationError("the operator key is wrong", step=_STEP)


class BrandIndex:
    """Index of the brands of one configuration by key digest.

    :param configuration: configuration in force
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._brands = {
            digest: brand.name
            for brand in configuration.brands.values()
            for digest in brand.key_digests
        }

    def authenticate(self, authorization: str | None) -> BrandName:
        """Return the brand that the key of a request belongs to.

        :param authorization: header value
        :raises AuthenticationError: the key is missing or belongs to no brand
        """
        brand = self._brands.get(key_digest(bearer_key(authorization)))
        if brand is None:
            raise AuthenticationError("the key belongs to no brand", step=_STEP)
        return brand
