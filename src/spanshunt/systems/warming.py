"""Workers that just started: what each gets while it is still slow.

A worker that starts has nothing to do and looks the best to every box at once, and one
that is cold falls over where all send to it. What it may get is a rate of all boxes
together. They keep to it without a word: a hash of box and worker lets a few boxes send
to it at all, each at a pace of its own. Both follow from how many boxes there are, not
from which of them live, so that boxes which disagree on that still add up to the same.
"""

from ..ids import Millis
from ..tables.fleet import Fleet
from ..tables.workers import WorkerRow
from ..utils import unit_hash
from .fleet_size import box_count
from .fleet_size import is_discovery_finished

BOUND_PART = 1 / 3
"""Part of what a cold worker may get in a second that boxes send it by plan. The rest
is for two sends of one box that arrive within one second, and for chance in how many
boxes the hash takes."""

PACE_MS = 1_000
"""Shortest time between two sends of one box to one cold worker, in ms, where boxes are
many: then each of them counts once in any second."""


def is_cold(row: WorkerRow, now: Millis) -> bool:
    """Tell whether a worker is still slow from its start."""
    return now < row.cold_until


def may_send_to(fleet: Fleet, row: WorkerRow, now: Millis) -> bool:
    """Tell whether this box may send a worker a request now: always if it is warm."""
    if not is_cold(row, now):
        return True
    rate = _planned_rate(fleet, row)
    if rate <= 0.0:
        return True
    boxes = box_count(fleet)
    if not is_discovery_finished(fleet, now):
        return False
    if unit_hash("cold", row.name, fleet.identity.box) >= rate / boxes:
        return False
    pace_ms = PACE_MS * min(1.0, boxes / rate)
    return row.cold_sent_at < 0 or now >= row.cold_sent_at + pace_ms


def note_sent(row: WorkerRow, now: Millis) -> None:
    """Take in that this box sends a worker a request."""
    if is_cold(row, now):
        row.cold_sent_at = now


def note_started(fleet: Fleet, row: WorkerRow, now: Millis) -> None:
    """Take a worker for cold that may just have started: its entry tells it later."""
    catalog = fleet.catalog
    service = catalog.services.get(row.service) if catalog is not None else None
    if service is not None:
        row.cold_until = max(row.cold_until, Millis(now + service.cold_start_ms))


def _planned_rate(fleet: Fleet, row: WorkerRow) -> float:
    """Return the requests a second that a cold worker is to get; 0 for any number."""
    catalog = fleet.catalog
    service = catalog.services.get(row.service) if catalog is not None else None
    if service is None or service.cold_per_s <= 0.0:
        return 0.0
    bounds = fleet.cold_bounds
    most = service.cold_per_s * bounds.rate_factor + bounds.slack
    return min(service.cold_per_s, BOUND_PART * most)
