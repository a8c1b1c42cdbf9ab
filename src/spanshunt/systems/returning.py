"""When a caller that is refused for lack of room should come back.

Callers of an organisation that asks for more than its share are told to come back one
after another, as fast as this box's part of the share drains them. All boxes together
then see them come back at the rate at which room appears, and no box needs to know whom
the others refused. Other callers are spread over the time in which the work drains that
waits at the boxes. Nothing is kept of a refused caller: how much of its time it has
left tells how long it has waited, and one with less left returns sooner.
"""

import math
import typing as t

import msgspec

from ..ids import Millis
from ..ids import OrgId
from ..ids import ServiceId
from ..tables.fleet import Fleet
from ..tables.waiting import OrgDemand
from ..utils import unit_hash
from .demand import Demand
from .demand import row_org
from .demand import service_demands
from .fleet_size import box_count
from .fleet_size import stagger_fraction
from .sharing import limited_shares
from .sharing import service_room

RETURN_PART = 0.75
"""Part of the room that is left for callers that return; the rest is for newcomers."""

HONOURED_FRACTION = 1 / 3
"""Part of the time left for which a caller is willing to stay away."""

MIN_RETURN_MS = 20
"""Earliest return, in ms; a caller that comes back sooner finds the workers as full."""

FIRST_FRACTION = 1 / 3
"""First part of a span in which none of the callers spread over it returns."""

MIN_LEFT_FRACTION = 0.25
"""Least factor by which the time to return is shortened for a caller with little time
left."""

_GOLDEN = (math.sqrt(5.0) - 1.0) / 2.0
"""The golden ratio; its multiples, taken modulo 1, are evenly spread."""


class RefusedCall(msgspec.Struct, frozen=True):
    """A request that is refused for lack of room.

    Attributes
    ----------
    service, org : str
        The service that it needs, and its organisation.
    left_ms : int
        How long its caller still waits, in ms.
    whole_ms : int
        Time limit of its route, in ms.
    """

    service: ServiceId
    org: OrgId
    left_ms: int
    whole_ms: int


def return_after_ms(
    fleet: Fleet, refused: RefusedCall, work_ms: float, now: Millis
) -> Millis | None:
    """Return when a refused caller should come back, in ms; None if no work waits.

    `work_ms` is the usual time of its work; 0 if it is unknown.
    """
    service = refused.service
    org = row_org(fleet, service, refused.org)
    demands = service_demands(fleet, service, now)
    room = service_room(fleet, service, now)
    share = limited_shares(room, demands).get(org)
    if share is None:
        span_ms = waiting_drain_ms(fleet, service, demands, room, work_ms)
        after_ms = _spread(fleet, shorten_ms(span_ms, refused))
    else:
        pace = share * demands[org].own_per_s / demands[org].total_per_s
        demand = fleet.org_demands[service, org]
        after_ms = _queue_return(fleet, demand, refused, work_ms, pace, now)
    if after_ms <= 0.0:
        return None
    return Millis(int(max(MIN_RETURN_MS, after_ms)))


def shorten_ms(after_ms: float, refused: RefusedCall) -> float:
    """Return a time to return, in ms, shortened for the time that a caller has left.

    A caller that has spent a part of its time already comes back sooner, and none is
    told more than it is willing to stay away.
    """
    left_fraction = min(1.0, max(0.0, refused.left_ms / max(1, refused.whole_ms)))
    return min(after_ms * max(MIN_LEFT_FRACTION, left_fraction), _honoured_ms(refused))


def waiting_drain_ms(
    fleet: Fleet,
    service: ServiceId,
    demands: t.Mapping[OrgId, Demand],
    room: float,
    work_ms: float,
) -> float:
    """Return the time in which the work drains that waits at all boxes, in ms.

    Other boxes are assumed to hold as much for their demand as this one for its own.
    """
    total = sum(demand.total_per_s for demand in demands.values())
    own = sum(demand.own_per_s for demand in demands.values())
    waiting = work_ms * len(fleet.wait_list.waiters.get(service, {}))
    if own > 0.0:
        waiting *= min(float(box_count(fleet)), total / own)
    return waiting / room if room > 0.0 else 0.0


def _queue_return(
    fleet: Fleet,
    demand: OrgDemand,
    refused: RefusedCall,
    work_ms: float,
    pace: float,
    now: Millis,
) -> float:
    """Return when a caller should come back after those refused before it, in ms.

    One that would not stay away for so long gets no place behind them, and is spread
    over the time for which it does.
    """
    if pace <= 0.0:
        return _spread(fleet, _honoured_ms(refused))
    pause_ms = work_ms / (RETURN_PART * pace)
    until = max(demand.returns_until, float(now)) + pause_ms
    # All boxes begin at the same moment, so their places are staggered.
    early_ms = pause_ms * stagger_fraction(fleet, f"return {refused.service}")
    after_ms = shorten_ms(until - early_ms - now, refused)
    if after_ms >= _honoured_ms(refused):
        return _spread(fleet, after_ms)
    demand.returns_until = until
    return after_ms


def _honoured_ms(refused: RefusedCall) -> float:
    """Return for how long a caller is willing to stay away, in ms."""
    return HONOURED_FRACTION * max(0, refused.left_ms)


def _spread(fleet: Fleet, span_ms: float) -> float:
    """Return the next of evenly spread moments of a span, in ms.

    Fewer of them fall together than of moments drawn at random. The sequence differs
    from box to box.
    """
    fleet.returns_spread += 1
    phase = unit_hash("return", fleet.identity.box)
    point = (phase + fleet.returns_spread * _GOLDEN) % 1.0
    return span_ms * (FIRST_FRACTION + (1.0 - FIRST_FRACTION) * point)
