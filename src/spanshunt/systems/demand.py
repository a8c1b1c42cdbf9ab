"""Demand of organisations for a service, at this box and averaged over all boxes.

Each arrival adds to a moving average, which decays by the same factor at every box. In
an exchange of news both boxes move towards each other by the same amount. The mean over
all boxes therefore stays what it is, and every box soon holds it. What a lost answer
distorts is forgotten as the averages decay.
"""

import math
import typing as t

import msgspec

from ..ids import Millis
from ..ids import OrgId
from ..ids import ServiceId
from ..tables.fleet import Fleet
from ..tables.waiting import OrgDemand
from .fleet_size import box_count

AVERAGING_MS = 1_000
"""Time constant of the moving averages, in ms."""

MAX_ORG_ROWS = 64
"""Maximum number of organisations of a service with a row of their own."""

OTHER_ORGS = OrgId("*")
"""The common row of all other organisations."""

MAX_DEMANDS_SENT = 32
"""Maximum number of demands in one message, largest first."""

MIN_DEMAND_PER_S = 1e-3
"""Smaller demands are neither sent nor kept, in s of a worker's slot a second."""

MAX_DEMAND_PER_S = 1e6
"""Greater demands in a message are not believed, in s of a worker's slot a second."""

EXCHANGE_STEP = 0.25
"""Part of the difference by which each side of an exchange moves. A box may have four
calls under way, which together take no more than all of its demand."""


class DemandRow(msgspec.Struct, frozen=True):
    """Demand of an organisation for a service, as it is exchanged with a peer."""

    service: ServiceId
    org: OrgId
    per_s: float


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
    _decay(row, now)
    added = work_ms / AVERAGING_MS
    row.per_s += added
    row.own_per_s += added


def service_demands(
    fleet: Fleet, service: ServiceId, now: Millis
) -> dict[OrgId, Demand]:
    """Return the demand of each organisation for a service.

    The total is never below what arrives at this box alone.
    """
    boxes = box_count(fleet)
    return {
        org: _demand(row, boxes, now)
        for (name, org), row in fleet.org_demands.items()
        if name == service
    }


def all_demands(fleet: Fleet, now: Millis) -> dict[ServiceId, dict[OrgId, Demand]]:
    """Return the demand of each organisation for each service."""
    boxes = box_count(fleet)
    demands: dict[ServiceId, dict[OrgId, Demand]] = {}
    for (service, org), row in fleet.org_demands.items():
        demands.setdefault(service, {})[org] = _demand(row, boxes, now)
    return demands


def demands_to_send(
    fleet: Fleet, services: t.Collection[ServiceId], now: Millis
) -> list[DemandRow]:
    """Return the greatest demands for these services, to call a peer with."""
    rows = []
    for (service, org), row in fleet.org_demands.items():
        if service in services:
            _decay(row, now)
            rows.append(DemandRow(service, org, row.per_s))
    rows = [row for row in rows if row.per_s >= MIN_DEMAND_PER_S]
    return sorted(rows, key=lambda row: -row.per_s)[:MAX_DEMANDS_SENT]


def apply_called_demands(
    fleet: Fleet, called: t.Iterable[DemandRow], now: Millis
) -> list[DemandRow]:
    """Move towards the demands in a peer's call; return this box's own for the answer.

    A demand that is not credible, or for which there is no space, is left out.
    """
    answered = []
    for item in called:
        row = _peer_row(fleet, item, now)
        if row is not None:
            row.per_s += EXCHANGE_STEP * (item.per_s - row.per_s)
            answered.append(DemandRow(item.service, item.org, row.per_s))
    return answered


def apply_answered_demands(
    fleet: Fleet,
    called: t.Iterable[DemandRow],
    answered: t.Iterable[DemandRow],
    now: Millis,
) -> None:
    """Move towards a peer by as much as it moved, which its answer to a call shows."""
    sent = {(item.service, item.org): item.per_s for item in called}
    step = EXCHANGE_STEP / (1.0 - EXCHANGE_STEP)
    for item in answered:
        before = sent.pop((item.service, item.org), None)
        if before is None:
            continue
        row = _peer_row(fleet, item, now)
        if row is not None:
            row.per_s = max(0.0, row.per_s + step * (item.per_s - before))


def expire_demands(fleet: Fleet, now: Millis) -> None:
    """Drop the rows whose averages have decayed."""
    for key, row in list(fleet.org_demands.items()):
        _decay(row, now)
        if max(row.per_s, row.own_per_s) < MIN_DEMAND_PER_S:
            del fleet.org_demands[key]


def _demand(row: OrgDemand, boxes: int, now: Millis) -> Demand:
    _decay(row, now)
    return Demand(max(row.own_per_s, boxes * row.per_s), row.own_per_s)


def _peer_row(fleet: Fleet, item: DemandRow, now: Millis) -> OrgDemand | None:
    """Return the row that a peer's demand is merged into, decayed; None for none."""
    if not 0.0 <= item.per_s <= MAX_DEMAND_PER_S:
        return None
    key = (item.service, item.org)
    if key not in fleet.org_demands:
        if item.org != OTHER_ORGS and not _has_space(fleet, item.service):
            return None
        fleet.org_demands[key] = OrgDemand(0.0, now)
    row = fleet.org_demands[key]
    _decay(row, now)
    return row


def _has_space(fleet: Fleet, service: ServiceId) -> bool:
    return sum(name == service for name, _ in fleet.org_demands) < MAX_ORG_ROWS


def _decay(row: OrgDemand, now: Millis) -> None:
    """Let the averages decay up to now."""
    if now <= row.at:
        return
    factor = math.exp((row.at - now) / AVERAGING_MS)
    row.per_s *= factor
    row.own_per_s *= factor
    row.at = now
