"""Slow start: limits on requests to workers that started recently.

A worker that just started is idle and looks best to every box at once, and a cold
worker is overloaded if all boxes send to it. The limit is a rate for all boxes
together, and boxes keep to it without communication: a hash of box and worker selects
the few boxes that may send to the worker, and each of them limits its own rate. Both
depend on the number of known boxes, not on which of them are alive, so that boxes which
disagree on that still keep to the same total.
"""

from ..ids import Millis
from ..tables.fleet import Fleet
from ..tables.workers import WorkerRow
from ..utils import unit_hash
from .fleet_size import box_count
from .fleet_size import is_discovery_finished

PLANNED_SHARE = 1 / 3
"""Part of the allowed rate of a cold worker that boxes plan to use. The rest covers two
requests that one box sends a second apart but that arrive within one second, and random
variation in the number of boxes that the hash selects."""

SEND_INTERVAL_MS = 1_000
"""Time that a box waits between two requests to the same cold worker, in ms, if there
are at least as many boxes as requests planned per second. Each box then sends at most
one request in any second. Fewer boxes must each send more, so they wait for a shorter
time."""


def is_cold(row: WorkerRow, now: Millis) -> bool:
    """Return whether a worker is still slow after its start."""
    return now < row.cold_until


def may_send_to(fleet: Fleet, row: WorkerRow, now: Millis) -> bool:
    """Return whether this box may send to a worker now.

    It may if the worker is warm, or cold without a limit in the catalog. To any other
    cold worker it may send only if it has finished looking for peers, the hash selects
    this box, and its last request to the worker is long enough ago.
    """
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
    interval_ms = SEND_INTERVAL_MS * min(1.0, boxes / rate)
    return row.cold_sent_at < 0 or now >= row.cold_sent_at + interval_ms


def record_cold_send(row: WorkerRow, now: Millis) -> None:
    """Record that this box sends a request to a worker."""
    if is_cold(row, now):
        row.cold_sent_at = now


def mark_cold(fleet: Fleet, row: WorkerRow, now: Millis) -> None:
    """Mark a worker as cold that may have just started.

    The worker's entry in the list of workers, which the box reads from the store or
    gets from peers, may state the rest of its cold time, but it may arrive seconds
    later.
    """
    catalog = fleet.catalog
    service = catalog.services.get(row.service) if catalog is not None else None
    if service is not None:
        row.cold_until = max(row.cold_until, Millis(now + service.cold_start_ms))


def _planned_rate(fleet: Fleet, row: WorkerRow) -> float:
    """Return the planned requests a second to a cold worker; 0 for no limit."""
    catalog = fleet.catalog
    service = catalog.services.get(row.service) if catalog is not None else None
    if service is None or service.cold_per_s <= 0.0:
        return 0.0
    bounds = fleet.cold_bounds
    max_rate = service.cold_per_s * bounds.rate_factor + bounds.slack
    return min(service.cold_per_s, PLANNED_SHARE * max_rate)
