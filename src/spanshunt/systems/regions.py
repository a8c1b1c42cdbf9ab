"""Regions that a request is restricted to, by its route and by its organisation."""

import typing as t

from ..ids import DomainId
from ..ids import RegionId
from ..tables.fleet import Fleet


def is_in_regions(
    fleet: Fleet, domain: DomainId, regions: t.Iterable[frozenset[RegionId]]
) -> bool:
    """Return whether a failure domain is in each set of regions.

    An empty set allows any region; an unknown region is in none of the others.
    """
    region = fleet.regions.get(domain)
    return all(region in allowed for allowed in regions if allowed)


def may_share_region(
    first: t.Iterable[frozenset[RegionId]], second: t.Iterable[frozenset[RegionId]]
) -> bool:
    """Return whether requests with these sets of allowed regions may go to the same."""
    bounds = [allowed for allowed in (*first, *second) if allowed]
    return not bounds or bool(frozenset.intersection(*bounds))
