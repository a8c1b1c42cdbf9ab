"""The part of what all boxes together may send to a worker that this box may send.

Most callers may ask one box for a while, and another one after that. A share that
follows the requests which arrive here leaves such a box most of what the others do not
use. Boxes know the requests of all by :mod:`~spanshunt.systems.averaging`. Until a box
has exchanged news, its own requests count as if each box had as many, which leaves it
an even share.
"""

import typing as t

import msgspec

from ..ids import Millis
from ..ids import ServiceId
from ..tables.fleet import Fleet
from ..tables.rates import MeanRate
from .averaging import add_to_rate
from .averaging import decay_rate
from .averaging import stated_total
from .averaging import take_answered_mean
from .averaging import take_called_mean
from .fleet_size import box_count

EVEN_PART = 0.1
"""Part of the whole that is shared evenly, for boxes that get their first requests."""

MAX_ARRIVALS_SENT = 16
"""Maximum number of services in one message, those with most requests first."""

MIN_ARRIVALS_PER_S = 1e-3
"""Smaller means are neither sent nor kept, in requests a second."""

MAX_ARRIVALS_PER_S = 1e6
"""Greater means in a message are not believed, in requests a second."""


class ArrivalRow(msgspec.Struct, frozen=True):
    """Mean of the requests a second for a service over all boxes."""

    service: ServiceId
    per_s: float


def record_request(fleet: Fleet, service: ServiceId, now: Millis) -> None:
    """Count a request for a service that arrives here, whatever becomes of it."""
    row = fleet.arrivals.setdefault(service, MeanRate(0.0, now))
    add_to_rate(row, 1.0, now)


def box_share(fleet: Fleet, service: ServiceId, now: Millis) -> float:
    """Return the part of a worker's room that this box may use, from 0 to 1."""
    boxes = box_count(fleet)
    row = fleet.arrivals.get(service)
    total = stated_total(row, boxes, now) if row is not None else 0.0
    if row is None or total < MIN_ARRIVALS_PER_S:
        return 1.0 / boxes
    return EVEN_PART / boxes + (1.0 - EVEN_PART) * row.own_per_s / total


def arrivals_to_send(
    fleet: Fleet, services: t.Collection[ServiceId], now: Millis
) -> list[ArrivalRow]:
    """Return the means for these services, to call a peer with."""
    rows = []
    for service, row in fleet.arrivals.items():
        if service in services:
            decay_rate(row, now)
            rows.append(ArrivalRow(service, row.per_s))
    rows = [row for row in rows if row.per_s >= MIN_ARRIVALS_PER_S]
    return sorted(rows, key=lambda row: -row.per_s)[:MAX_ARRIVALS_SENT]


def apply_called_arrivals(
    fleet: Fleet, called: t.Iterable[ArrivalRow], now: Millis
) -> list[ArrivalRow]:
    """Move towards the means in a peer's call; return this box's own for the answer.

    A mean that is not credible, or of a service that is not configured, is left out.
    """
    answered = []
    for item in called:
        row = _peer_row(fleet, item, now)
        if row is not None:
            take_called_mean(row, item.per_s, now)
            answered.append(ArrivalRow(item.service, row.per_s))
    return answered


def apply_answered_arrivals(
    fleet: Fleet,
    called: t.Iterable[ArrivalRow],
    answered: t.Iterable[ArrivalRow],
    now: Millis,
) -> None:
    """Move towards a peer by as much as it moved, which its answer to a call shows."""
    sent = {item.service: item.per_s for item in called}
    for item in answered:
        before = sent.pop(item.service, None)
        row = _peer_row(fleet, item, now) if before is not None else None
        if row is not None and before is not None:
            take_answered_mean(row, before, item.per_s, now)


def expire_arrivals(fleet: Fleet, now: Millis) -> None:
    """Drop the rows whose averages have decayed."""
    for service, row in list(fleet.arrivals.items()):
        decay_rate(row, now)
        if max(row.per_s, row.own_per_s) < MIN_ARRIVALS_PER_S:
            del fleet.arrivals[service]


def _peer_row(fleet: Fleet, item: ArrivalRow, now: Millis) -> MeanRate | None:
    """Return the row that a peer's mean is merged into; None for none."""
    configured = fleet.catalog.services if fleet.catalog is not None else {}
    if item.service not in configured or not 0.0 <= item.per_s <= MAX_ARRIVALS_PER_S:
        return None
    return fleet.arrivals.setdefault(item.service, MeanRate(0.0, now))
