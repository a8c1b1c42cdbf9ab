"""Sharing of a service's room between organisations and priorities while it is short.

The room is shared by max-min fairness over all boxes together: no organisation gets
more than it asks for, and what one leaves is shared among the others. Each box paces an
organisation that asks for more than its share at the box's part of it. Pacing only
orders the requests that wait: one of an organisation over its share still starts if no
other one waits and a worker has room. Without requests that wait nothing is paced.
"""

import enum
import typing as t

import msgspec

from ..ids import Millis
from ..ids import OrgId
from ..ids import RequestId
from ..ids import ServiceId
from ..tables.fleet import Fleet
from ..tables.waiting import OrgShare
from ..tables.waiting import ServiceShares
from ..tables.waiting import Waiter
from ..tables.workers import WorkerRow
from ..utils import unit_hash
from .admitting import steps_below_highest
from .arrivals import box_share
from .demand import OTHER_ORGS
from .demand import Demand
from .demand import all_demands
from .evacuating import is_evacuated
from .fleet_size import box_count
from .worker_speed import time_factor

SHORT_PART = 0.8
"""Part of a service's room from which on its demand counts as short of room. Boxes then
exchange demands, so that shares are known when the room is used up."""

LIMIT_PART = 1.05
"""Multiple of the room that demand must exceed before shares are in force, so that they
don't come and go while demand just fills the room."""

SHARE_HELD_MS = 1_000
"""How long a share is kept after the last time that its organisation asked for more, in
ms. It is not in force, but its end is logged only then."""

BURST_MS = 200
"""Time for which an organisation may save up its pace, in ms."""

MAX_DEBT_MS = 500
"""How long an organisation is over its share at most after it used room that others
left, in ms."""

MAX_BOX_PART = 4.0
"""Most of the room that the paces of one box add up to, as a multiple of an even part,
unless more of the requests arrive there. It bounds what boxes without news of each
other give out together."""

PRIORITY_STEP = 4
"""Of the requests of a priority, one in this many is ordered as if its priority were
the next more urgent one, so that none is starved, and none is served worse than a less
urgent one."""

_TOLERANCE = 1e-9
"""Relative rounding error, and the least divisor."""


class ShareChange(enum.Enum):
    """What became of an organisation's share."""

    BEGAN = "began"
    ENDED = "ended"


class _Standing(enum.IntEnum):
    """Where an organisation stands against its share, in the order of its turn."""

    BELOW_SHARE = 0
    WITHIN_SHARE = 1
    OVER_SHARE = 2


class ShareEvent(msgspec.Struct, frozen=True):
    """An organisation's share that came into force or ended."""

    change: ShareChange
    service: ServiceId
    org: OrgId
    share: OrgShare
    room_per_s: float


def max_min_shares(room: float, demands: t.Mapping[OrgId, float]) -> dict[OrgId, float]:
    """Share room out by max-min fairness.

    No share is greater than the demand, the shares add up to the lesser of the room and
    all demands, and what one organisation leaves is shared evenly among those that ask
    for more. `room` and `demands` have the same unit.
    """
    left = max(0.0, room)
    shares = {}
    ascending = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for index, (org, demand) in enumerate(ascending):
        shares[org] = min(max(0.0, demand), left / (len(ascending) - index))
        left = max(0.0, left - shares[org])
    return shares


def limited_shares(
    room: float, demands: t.Mapping[OrgId, Demand]
) -> dict[OrgId, float]:
    """Return the shares of the organisations that ask for more than theirs."""
    totals = {org: demand.total_per_s for org, demand in demands.items()}
    if sum(totals.values()) <= LIMIT_PART * room:
        return {}
    shares = max_min_shares(room, totals)
    return {
        org: share
        for org, share in shares.items()
        if share < totals[org] * (1.0 - _TOLERANCE)
    }


def service_room(fleet: Fleet, service: ServiceId, now: Millis) -> float:
    """Return the room of a service, in s of a worker's slot a second.

    A slot of a slow worker counts less, by the time that its work takes.
    """
    return sum(
        row.slots / max(_TOLERANCE, time_factor(row, now))
        for row in fleet.workers.find_capable(service, None)
        if _takes_work(fleet, row, now)
    )


def services_short_of_room(fleet: Fleet, now: Millis) -> list[ServiceId]:
    """Return services with waiters, or whose demand nearly exceeds their room."""
    return [
        service
        for service, demands in all_demands(fleet, now).items()
        if _is_short(fleet, service, demands, service_room(fleet, service, now))
    ]


def update_shares(fleet: Fleet, now: Millis) -> list[ShareEvent]:
    """Compute all shares anew; return those that came into force or ended.

    Also records which services are short of room.
    """
    events: list[ShareEvent] = []
    short = set()
    demands = all_demands(fleet, now)
    for service in demands.keys() | fleet.service_shares.keys():
        room = service_room(fleet, service, now)
        found = demands.get(service, {})
        if _is_short(fleet, service, found, room):
            short.add(service)
        events += _update_service(fleet, service, room, found, now)
    fleet.short_services = frozenset(short)
    return events


def org_share(fleet: Fleet, service: ServiceId, org: OrgId) -> OrgShare | None:
    """Return the share in force of an organisation; None if it may have what it asks.

    An organisation without a row of its own has part of the common one.
    """
    shares = fleet.service_shares.get(service)
    if shares is None:
        return None
    share = shares.orgs.get(org)
    if share is None and (service, org) not in fleet.org_demands:
        share = shares.orgs.get(OTHER_ORGS)
    return share if share is not None and share.limited else None


def is_over_share(fleet: Fleet, service: ServiceId, org: OrgId, now: Millis) -> bool:
    """Return whether an organisation has used up its share at this box for now."""
    share = org_share(fleet, service, org)
    return share is not None and share.next_start_at > now


def charge_start(
    fleet: Fleet, service: ServiceId, org: OrgId, work_ms: float, now: Millis
) -> None:
    """Charge a request that is sent to its organisation's share, if one is in force."""
    share = org_share(fleet, service, org)
    if share is None:
        return
    since = max(share.next_start_at, float(now - BURST_MS))
    pause_ms = work_ms / max(_TOLERANCE, share.pace_per_s)
    share.next_start_at = min(since + pause_ms, float(now + MAX_DEBT_MS))


def waiters_in_order(fleet: Fleet, service: ServiceId, now: Millis) -> list[Waiter]:
    """Return the waiting requests of a service in the order in which they get room.

    Organisations that ask for no more than their share, or have left some of it unused,
    go first. Those that have used up theirs go last, of one priority the one first that
    gets more of its share sooner. Else the order is by priority, then by the time left,
    so that a request that has waited longer is not behind a newcomer.
    """
    rows = fleet.wait_list.waiters.get(service, {}).values()
    return sorted(rows, key=lambda row: _turn(fleet, row, now))


def waiters_before(fleet: Fleet, waiter: Waiter, now: Millis) -> int:
    """Return how many waiting requests get room before one that may join them."""
    turn = _turn(fleet, waiter, now)
    rows = fleet.wait_list.waiters.get(waiter.service, {}).values()
    return sum(_turn(fleet, row, now) < turn for row in rows)


def own_waiters_before(fleet: Fleet, waiter: Waiter) -> int:
    """Return how many waiting requests of its organisation go before a request."""
    order = (waiter.priority, waiter.start_by)
    return sum(
        row.org == waiter.org
        and row.request != waiter.request
        and (row.priority, row.start_by) <= order
        for row in fleet.wait_list.waiters.get(waiter.service, {}).values()
    )


def steps_behind(
    fleet: Fleet, service: ServiceId, request: RequestId, priority: int
) -> int:
    """Return how many priorities a request is ordered behind the most urgent one.

    One in `PRIORITY_STEP` requests, drawn by a hash, is ordered a priority further in
    front, one in `PRIORITY_STEP` of these another one, and so on.
    """
    behind = steps_below_highest(fleet, service, priority)
    if not behind:
        return 0
    point = unit_hash("turn", request)
    while behind and point < 1.0 / PRIORITY_STEP:
        point *= PRIORITY_STEP
        behind -= 1
    return behind


def _turn(
    fleet: Fleet, waiter: Waiter, now: Millis
) -> tuple[_Standing, int, float, Millis, RequestId]:
    """Return the key by which waiting requests are ordered."""
    service = waiter.service
    share = org_share(fleet, service, waiter.org)
    standing, over_until = _Standing.BELOW_SHARE, 0.0
    if share is not None and share.next_start_at > now:
        standing, over_until = _Standing.OVER_SHARE, share.next_start_at
    elif share is not None and share.next_start_at > now - BURST_MS:
        standing = _Standing.WITHIN_SHARE
    behind = steps_behind(fleet, service, waiter.request, waiter.priority)
    return standing, behind, over_until, waiter.start_by, waiter.request


def _takes_work(fleet: Fleet, row: WorkerRow, now: Millis) -> bool:
    """Return whether a worker adds to its service's room."""
    return (
        row.name not in fleet.workers.leaving
        and row.ejected_until <= now
        and not is_evacuated(fleet, row.domain)
    )


def _is_short(
    fleet: Fleet, service: ServiceId, demands: t.Mapping[OrgId, Demand], room: float
) -> bool:
    """Return whether requests wait, or the demand nearly exceeds the room."""
    return service in fleet.wait_list.waiters or _total(demands) > SHORT_PART * room


def _total(demands: t.Mapping[OrgId, Demand]) -> float:
    return sum(demand.total_per_s for demand in demands.values())


def _update_service(
    fleet: Fleet,
    service: ServiceId,
    room: float,
    demands: t.Mapping[OrgId, Demand],
    now: Millis,
) -> t.Iterator[ShareEvent]:
    """Compute the shares of one service anew."""
    limited = limited_shares(room, demands)
    if not limited and service not in fleet.service_shares:
        return
    shares = fleet.service_shares.setdefault(service, ServiceShares(room))
    shares.room_per_s = room
    part = box_share(fleet, service, now)
    paces = _paces(room, part, box_count(fleet), demands, limited)
    for org, share_per_s in limited.items():
        total = demands[org].total_per_s
        row = shares.orgs.get(org)
        if row is None:
            row = OrgShare(total, share_per_s, paces[org], float(now), now)
            shares.orgs[org] = row
            yield ShareEvent(ShareChange.BEGAN, service, org, row, room)
        row.demand_per_s, row.share_per_s = total, share_per_s
        row.pace_per_s, row.limited_at = paces[org], now
    yield from _end_shares(fleet, service, shares, limited, now)


def _paces(
    room: float,
    part: float,
    boxes: int,
    demands: t.Mapping[OrgId, Demand],
    limited: t.Mapping[OrgId, float],
) -> dict[OrgId, float]:
    """Return this box's part of each share: its part of the organisation's demand.

    `part` is that of the service's requests which arrives at this box.
    """
    paces = {
        org: share * demands[org].own_per_s / demands[org].total_per_s
        for org, share in limited.items()
    }
    bound = room * min(1.0, max(part, MAX_BOX_PART / boxes))
    factor = min(1.0, bound / max(_TOLERANCE, sum(paces.values())))
    return {org: factor * pace for org, pace in paces.items()}


def _end_shares(
    fleet: Fleet,
    service: ServiceId,
    shares: ServiceShares,
    limited: t.Container[OrgId],
    now: Millis,
) -> t.Iterator[ShareEvent]:
    """Lift shares that are not needed any more, and drop them after a while."""
    for org, row in list(shares.orgs.items()):
        row.limited = org in limited
        if now - row.limited_at > SHARE_HELD_MS:
            del shares.orgs[org]
            yield ShareEvent(ShareChange.ENDED, service, org, row, shares.room_per_s)
    if not shares.orgs:
        del fleet.service_shares[service]
