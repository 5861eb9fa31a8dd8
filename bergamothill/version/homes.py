"""Home regions: the regions in which a request may be served and its context cached; no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from bergamothill.ids import RegionName, ZoneName
from bergamothill.version.cachenamespace import encode_name
from bergamothill.version.routetable import Brand, Route

__all__ = ["HomeRegions", "RegionMap", "home_regions"]

HomeRegions = frozenset[RegionName]


def home_regions(route: Route, brand: Brand | None) -> HomeRegions | None:
    """Return the regions in which a request may be served; None if it may be anywhere.

    :param route: route of the request
    :param brand: brand of the caller's key; None on a public route
    """
    lists = [route.home_regions, None if brand is None else brand.home_regions]
    named = [regions for regions in lists if regions is not None]
    return frozenset.intersection(*named) if named else None


@dataclass(frozen=True, slots=True)
class RegionMap:
    """Regions of the availability zones.

    :param own: region of this entry instance; None if the settings do not name it
    :param regions: region of each zone; a zone that is not listed belongs to no region
    """

    own: RegionName | None = None
    regions: Mapping[ZoneName, RegionName] = field(default_factory=dict)

    def is_home(self, zone: ZoneName, homes: HomeRegions | None) -> bool:
        """Return whether a zone is in one of the home regions of a request."""
        return homes is None or self.regions.get(zone) in homes

    def namespace_of(self, homes: HomeRegions | None) -> str:
        """Return what separates cached context of these home regions; empty if nothing does.

        Context that other requests may use in further regions is not theirs to share.
        """
        if homes is None or homes.issuperset(self.regions.values()):
            return ""
        return ",".join(encode_name(region) for region in sorted(homes))
