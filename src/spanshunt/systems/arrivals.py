"""The part of what all boxes together may send to a worker that this box may send.

Most callers may ask one box for a while, and another one after that. A share that
follows the requests which arrive here leaves such a box most of what the others do not
use. Boxes know the requests of all by :mod:`~spanshunt.systems.averaging` and
:mod:`~spanshunt.systems.busy_boxes`. Until a box has exchanged news, its own requests
count as if each box had as many, which leaves it an even share.
"""

import typing as t
from functools import partial

from ..ids import Millis
from ..ids import ServiceId
from ..tables.fleet import Fleet
from ..tables.rates import MeanRate
from .averaging import MIN_PER_S
from .averaging import add_to_own_rate
from .averaging import add_to_rate
from .averaging import apply_answered_means
from .averaging import apply_called_means
from .averaging import decay_rate
from .averaging import expire_means
from .averaging import means_to_send
from .averaging import stated_mean
from .averaging import sum_of_means
from .averaging import total_rate
from .busy_boxes import busy_total
from .busy_boxes import is_busy_box
from .busy_boxes import update_busy_box
from .fleet_size import box_count

EVEN_PART = 0.1
"""Part of the whole that is shared evenly, for boxes that get their first requests."""

FAR_ABOVE_FACTOR = 2.0
"""Multiple of the mean from which on a box gets far more requests: fewer come by
chance."""

MAX_ARRIVALS_SENT = 16
"""Maximum number of services in one message, those with most requests first."""

Arrival = tuple[ServiceId, float]
"""A service and the mean of its requests a second over all boxes."""


def record_request(fleet: Fleet, service: ServiceId, now: Millis) -> None:
    """Count a request for a service that arrives here, whatever becomes of it."""
    row = fleet.arrivals.setdefault(service, MeanRate(0.0, now))
    if update_busy_box(fleet, service, row, now):
        add_to_own_rate(row, 1.0, now)
    else:
        add_to_rate(row, 1.0, now)


def box_share(fleet: Fleet, service: ServiceId, now: Millis) -> float:
    """Return the part of a worker's room that this box may use, from 0 to 1."""
    even = 1.0 / box_count(fleet)
    return EVEN_PART * even + (1.0 - EVEN_PART) * own_part(fleet, service, now)


def own_part(fleet: Fleet, service: ServiceId, now: Millis) -> float:
    """Return which part of a service's requests arrives here, from 0 to 1."""
    row = fleet.arrivals.get(service)
    total = _total_per_s(fleet, service, row, now) if row is not None else 0.0
    if row is None or total < MIN_PER_S:
        return 1.0 / box_count(fleet)
    return row.own_per_s / total


def is_far_above_mean(fleet: Fleet, service: ServiceId, now: Millis) -> bool:
    """Return whether far more of a service's requests arrive here than elsewhere."""
    row = fleet.arrivals.get(service)
    mean = stated_mean(row, now) if row is not None else None
    if row is None or mean is None:
        return False
    decay_rate(row, now)
    return row.own_per_s >= FAR_ABOVE_FACTOR * max(MIN_PER_S, mean)


def _total_per_s(fleet: Fleet, service: ServiceId, row: MeanRate, now: Millis) -> float:
    """Return the requests a second at all boxes together, at least this box's own.

    It is too low for a moment once many requests begin to arrive everywhere.
    """
    boxes = box_count(fleet)
    if stated_mean(row, now) is None:
        return total_rate(row, boxes, now)
    others = sum_of_means(row, boxes, now)
    if is_busy_box(fleet, service):
        # What it added to the mean before it stated its rate is in both.
        others = max(0.0, others - row.added_per_s)
    return max(row.own_per_s, busy_total(fleet, service, now) + others)


def arrivals_to_send(
    fleet: Fleet, services: t.Collection[ServiceId], now: Millis
) -> list[Arrival]:
    """Return the means for these services, to call a peer with."""
    rows = {name: row for name, row in fleet.arrivals.items() if name in services}
    return means_to_send(rows, now, MAX_ARRIVALS_SENT)


def apply_called_arrivals(
    fleet: Fleet, called: t.Iterable[Arrival], now: Millis
) -> list[Arrival]:
    """Move towards the means in a peer's call; return this box's own for the answer.

    A mean that is not credible, or of a service that is not configured, is left out.
    """
    return apply_called_means(partial(_peer_row, fleet, now), called, now)


def apply_answered_arrivals(
    fleet: Fleet,
    called: t.Iterable[Arrival],
    answered: t.Iterable[Arrival],
    now: Millis,
) -> None:
    """Move towards a peer by as much as it moved, which its answer to a call shows."""
    apply_answered_means(partial(_peer_row, fleet, now), called, answered, now)


def expire_arrivals(fleet: Fleet, now: Millis) -> None:
    """Drop the rows whose averages have decayed."""
    expire_means(fleet.arrivals, now)


def _peer_row(fleet: Fleet, now: Millis, service: ServiceId) -> MeanRate | None:
    """Return the row that a peer's mean is merged into; None for none."""
    if fleet.catalog is None or service not in fleet.catalog.services:
        return None
    return fleet.arrivals.setdefault(service, MeanRate(0.0, now))
