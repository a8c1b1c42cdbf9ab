"""Versions whose workers are listed before their order is known.

Workers and orders are read by different calls, so a box may learn of a new version's
workers first. Without the order they would be as good as any worker of the service:
sessions would move to them and back, and the version would get more than a bad one may.
A version that comes to a service which others serve is therefore withheld, for as long
as an order that is written by then may take to be known. A version that still has no
order is one that the operators bring in without one.
"""

from ..ids import Millis
from ..ids import ServiceId
from ..ids import VersionId
from ..tables.fleet import Fleet
from ..tables.workers import ServiceVersion


def withhold_new_versions(
    fleet: Fleet, before: frozenset[ServiceVersion], now: Millis
) -> tuple[ServiceVersion, ...]:
    """Withhold versions that came since to services which others serve; return them."""
    served = {service for service, _version in before}
    new = [
        (service, version)
        for service, version in sorted(fleet.workers.known_versions() - before)
        if service in served and not _is_ordered(fleet, service, version)
    ]
    until = Millis(now + fleet.rollouts.order_wait_ms)
    withheld = fleet.rollouts.withheld
    for key in [key for key, end in withheld.items() if end <= now]:
        del withheld[key]
    withheld.update(dict.fromkeys(new, until))
    return tuple(new)


def _is_ordered(fleet: Fleet, service: ServiceId, version: VersionId) -> bool:
    row = fleet.rollouts.rows.get(service)
    return row is not None and row.version == version


def withheld_versions(
    fleet: Fleet, service: ServiceId, now: Millis
) -> frozenset[VersionId]:
    """Return the versions of a service that are withheld now."""
    return frozenset(
        version
        for (of_service, version), until in fleet.rollouts.withheld.items()
        if of_service == service and now < until
    )
