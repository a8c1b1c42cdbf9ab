"""Demand of organisations for a service, at this box and averaged over all boxes.

The averages are those of :mod:`~spanshunt.systems.averaging`.
"""

import typing as t
from functools import partial

import msgspec

from ..ids import Millis
from ..ids import OrgId
from ..ids import ServiceId
from ..tables.fleet import Fleet
from ..tables.waiting import OrgDemand
from .arrivals import is_far_above_mean
from .arrivals import own_part
from .averaging import add_to_rate
from .averaging import apply_answered_means
from .averaging import apply_called_means
from .averaging import expire_means
from .averaging import means_to_send
from .averaging import total_rate
from .fleet_size import box_count

MAX_ORG_ROWS = 64
"""Maximum number of organisations of a service with a row of their own."""

OTHER_ORGS = OrgId("*")
"""The common row of all other organisations."""

MAX_DEMANDS_SENT = 32
"""Maximum number of demands in one message, largest first."""

DemandKey = tuple[ServiceId, OrgId]
DemandRow = tuple[DemandKey, float]
"""A service and an organisation, and the mean of its demand over all boxes."""


class Demand(msgspec.Struct, frozen=True):
    """Demand of an organisation at all boxes and at this one.

    Both are in s of a worker's slot a second.
    """

    total_per_s: float
    own_per_s: float


def row_org(fleet: Fleet, service: ServiceId, org: OrgId) -> OrgId:
    """Return the organisation under which the demand of `org` is counted."""
    if (service, org) in fleet.org_demands or _has_space(fleet, service):
        return org
    return OTHER_ORGS


def record_arrival(
    fleet: Fleet, service: ServiceId, org: OrgId, work_ms: float, now: Millis
) -> None:
    """Count a request that arrives here; `work_ms` is its usual time at a worker."""
    key = (service, row_org(fleet, service, org))
    row = fleet.org_demands.setdefault(key, OrgDemand(0.0, now))
    add_to_rate(row, work_ms / 1_000, now)


def service_demands(
    fleet: Fleet, service: ServiceId, now: Millis
) -> dict[OrgId, Demand]:
    """Return the demand of each organisation for a service.

    The total is never below what arrives at this box alone.
    """
    part, boxes = _part_far_above_mean(fleet, service, now), box_count(fleet)
    return {
        org: _demand(row, boxes, part, now)
        for (name, org), row in fleet.org_demands.items()
        if name == service
    }


def all_demands(fleet: Fleet, now: Millis) -> dict[ServiceId, dict[OrgId, Demand]]:
    """Return the demand of each organisation for each service."""
    demands: dict[ServiceId, dict[OrgId, Demand]] = {}
    parts: dict[ServiceId, float | None] = {}
    boxes = box_count(fleet)
    for (service, org), row in fleet.org_demands.items():
        if service not in parts:
            parts[service] = _part_far_above_mean(fleet, service, now)
        found = _demand(row, boxes, parts[service], now)
        demands.setdefault(service, {})[org] = found
    return demands


def demands_to_send(
    fleet: Fleet, services: t.Collection[ServiceId], now: Millis
) -> list[DemandRow]:
    """Return the greatest demands for these services, to call a peer with."""
    rows = {key: row for key, row in fleet.org_demands.items() if key[0] in services}
    return means_to_send(rows, now, MAX_DEMANDS_SENT)


def apply_called_demands(
    fleet: Fleet, called: t.Iterable[DemandRow], now: Millis
) -> list[DemandRow]:
    """Move towards the demands in a peer's call; return this box's own for the answer.

    A demand that is not credible, or for which there is no space, is left out.
    """
    return apply_called_means(partial(_peer_row, fleet, now), called, now)


def apply_answered_demands(
    fleet: Fleet,
    called: t.Iterable[DemandRow],
    answered: t.Iterable[DemandRow],
    now: Millis,
) -> None:
    """Move towards a peer by as much as it moved, which its answer to a call shows."""
    apply_answered_means(partial(_peer_row, fleet, now), called, answered, now)


def expire_demands(fleet: Fleet, now: Millis) -> None:
    """Drop the rows whose averages have decayed."""
    expire_means(fleet.org_demands, now)


def _part_far_above_mean(fleet: Fleet, service: ServiceId, now: Millis) -> float | None:
    """Return which part of a service's requests this box gets, if that is far above the
    mean; else None.
    """
    if not is_far_above_mean(fleet, service, now):
        return None
    return own_part(fleet, service, now)


def _demand(row: OrgDemand, boxes: int, part: float | None, now: Millis) -> Demand:
    """Return a demand.

    `part` is which part of all requests this box gets, if that is far above the mean.
    Its mean is then above those of other boxes, so the total is worked out from that
    part: such a box gets more connections, of all organisations alike.
    """
    total = total_rate(row, boxes, now)
    if part is not None:
        total = max(row.own_per_s, min(total, row.own_per_s / part))
    return Demand(total, row.own_per_s)


def _peer_row(fleet: Fleet, now: Millis, key: DemandKey) -> OrgDemand | None:
    """Return the row that a peer's demand is merged into; None for none."""
    service, org = key
    if key not in fleet.org_demands:
        if org != OTHER_ORGS and not _has_space(fleet, service):
            return None
        fleet.org_demands[key] = OrgDemand(0.0, now)
    return fleet.org_demands[key]


def _has_space(fleet: Fleet, service: ServiceId) -> bool:
    return sum(name == service for name, _ in fleet.org_demands) < MAX_ORG_ROWS
