"""Boxes at which far more requests arrive than at the mean box.

Averaging by exchanges leaves a busy box and its partners with means that are too high,
the more so the more boxes there are. A busy box therefore states its own rate, which
boxes pass on under its name, and leaves its requests out of the mean. The total is then
the rates of the busy boxes and the mean of what all others get, for each box.
"""

import typing as t

from ..ids import BoxId
from ..ids import Millis
from ..ids import ServiceId
from ..tables.fleet import Fleet
from ..tables.rates import BusyBox
from ..tables.rates import MeanRate
from .averaging import STATED_MS
from .averaging import decay_rate
from .averaging import is_credible
from .averaging import stated_mean

BUSY_FACTOR, NO_LONGER_BUSY_FACTOR = 4.0, 2.0
"""A box is busy from this many times the mean rate on, and until its rate is below the
lower one."""

MIN_BUSY_PER_S = 4.0
"""Lowest rate at which a box becomes busy, a second: at fewer, requests that come
together by chance pass for many."""

MAX_BUSY_BOXES = 8
"""Maximum number of busy boxes of a service. With more, none stands out."""


def update_busy_box(
    fleet: Fleet, service: ServiceId, row: MeanRate, now: Millis
) -> bool:
    """Update whether this box is busy, and the rate that it states; return whether."""
    own = fleet.identity.box
    known = fleet.busy_boxes.setdefault(service, {})
    was_busy = own in known
    if not was_busy and len(known) >= MAX_BUSY_BOXES:
        return False
    if not _is_busy(row, was_busy, now):
        known.pop(own, None)
        return False
    known[own] = BusyBox(row.own_per_s, now)
    return True


def is_busy_box(fleet: Fleet, service: ServiceId) -> bool:
    """Return whether this box states its rate for a service."""
    return fleet.identity.box in fleet.busy_boxes.get(service, {})


def _is_busy(row: MeanRate, was_busy: bool, now: Millis) -> bool:
    mean = stated_mean(row, now)
    if mean is None:
        return False
    decay_rate(row, now)
    if was_busy:
        return row.own_per_s >= NO_LONGER_BUSY_FACTOR * mean
    return row.own_per_s >= max(MIN_BUSY_PER_S, BUSY_FACTOR * mean)


def busy_total(fleet: Fleet, service: ServiceId, now: Millis) -> float:
    """Return the requests a second at all busy boxes."""
    known = fleet.busy_boxes.get(service, {})
    return sum(row.per_s for row in known.values() if _is_recent(row, now))


def busy_to_send(
    fleet: Fleet, services: t.Collection[ServiceId], now: Millis
) -> list[tuple[ServiceId, BoxId, BusyBox]]:
    """Return the rows of these services to send to a peer; updates this box's own."""
    for service in services:
        if service in fleet.arrivals:
            update_busy_box(fleet, service, fleet.arrivals[service], now)
    return [
        (service, box, row)
        for service in services
        for box, row in fleet.busy_boxes.get(service, {}).items()
        if _is_recent(row, now)
    ]


def merge_busy_box(
    fleet: Fleet, service: ServiceId, box: BoxId, received: BusyBox, now: Millis
) -> bool:
    """Merge what a peer states of a box; return whether the box was not busy before.

    A statement is dropped if its service is not configured, and if there are too many
    busy boxes.
    """
    is_known = fleet.catalog is not None and service in fleet.catalog.services
    if not is_known or not is_credible(received.per_s) or box == fleet.identity.box:
        return False
    known = fleet.busy_boxes.setdefault(service, {})
    present = known.get(box)
    if present is None and len(known) >= MAX_BUSY_BOXES:
        return False
    if not _is_recent(received, now) or (present and present.at >= received.at):
        return False
    known[box] = received
    return present is None


def expire_busy_boxes(fleet: Fleet, now: Millis) -> None:
    """Drop the rows of which nothing was stated lately."""
    for service, known in list(fleet.busy_boxes.items()):
        for box, row in list(known.items()):
            if not _is_recent(row, now):
                del known[box]
        if not known:
            del fleet.busy_boxes[service]


def _is_recent(row: BusyBox, now: Millis) -> bool:
    return now - row.at <= STATED_MS
