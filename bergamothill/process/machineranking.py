"""Ranks entry instances for work that they do for others, by the links of their machines; no I/O.

Machines of one deployment differ: what an instance relays to a zone of 22 fills a link of 10
Mbit/s, and the requests of its own callers wait behind that.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from bergamothill.ids import EntryInstanceId
from bergamothill.process.rendezvous import rendezvous

__all__ = ["rank_by_link"]


def rank_by_link(
    key: str, links_mbps: Mapping[EntryInstanceId, float]
) -> tuple[EntryInstanceId, ...]:
    """Rank instances for a key: those with faster links first, by powers of two, then by hash.

    :param key: key to assign
    :param links_mbps: bandwidth of the link of each instance, in Mbit/s; 0 if it is not known
    """
    ranked = rendezvous(key, links_mbps)
    return tuple(sorted(ranked, key=lambda entry: -_link_class(links_mbps[entry])))


def _link_class(link_mbps: float) -> int:
    return int(math.log2(link_mbps)) if link_mbps >= 1 else 0
