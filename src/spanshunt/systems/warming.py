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

UNKNOWN_BOXES_FACTOR = 3
"""How many times as many boxes as a box knows may exist: after a partition, each part
knows its own boxes only."""

PLANNED_SHARE = 1 / 8
"""Part of the allowed rate of a cold worker that the known boxes plan to use. With
`UNKNOWN_BOXES_FACTOR` times as many, they use three eighths on average. The rest covers
random variation in the number of boxes that the hash selects, and two requests that one
box sends a second apart but that arrive within one second."""

FIRST_BOX_FACTOR = 2.0
"""How far the hash of the only box that sends may exceed the share, as a multiple of
the share. Boxes that don't know each other may each take themselves for that box."""

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
    if not _is_selected(fleet, row, rate / boxes):
        return False
    interval_ms = SEND_INTERVAL_MS * min(1.0, boxes / rate)
    return row.cold_sent_at < 0 or now >= row.cold_sent_at + interval_ms


def _is_selected(fleet: Fleet, row: WorkerRow, share: float) -> bool:
    """Return whether the hash selects this box to send to a cold worker.

    It selects a share of the boxes. If it selects none, the box with the lowest hash
    sends, as long as it knows all boxes and its hash is within `FIRST_BOX_FACTOR` times
    the share.
    """
    own = unit_hash("cold", row.name, fleet.identity.box)
    if own < share:
        return True
    if own >= FIRST_BOX_FACTOR * share or 1 + len(fleet.peers) < box_count(fleet):
        return False
    return all(unit_hash("cold", row.name, peer) > own for peer in fleet.peers)


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
    # Boxes that may all send need no reserve for the variation of a hash.
    boxes = box_count(fleet)
    unselected = boxes * (max_rate // (UNKNOWN_BOXES_FACTOR * boxes))
    return min(service.cold_per_s, max(PLANNED_SHARE * max_rate, unselected))
