"""Room of workers for plain requests, by their reports and this box's own requests.

A worker has room while it holds fewer requests than it can begin within a short time.
The requests of this box there are counted exactly. Those of other boxes are known from
the worker's last report, which counts for less the older it is. It counts for longer
where this box already holds its share of the room, so that boxes with old reports do
not all fill the same workers. The share follows the requests that arrive at the box
(`arrivals`). One that most callers ask holds most of the room: it would leave workers
alone for seconds that others filled before, so there old reports never count longer.
"""

import msgspec

from ..ids import Millis
from ..ids import ServiceId
from ..ids import WorkerId
from ..tables.fleet import Fleet
from ..tables.workers import WorkerRow
from .arrivals import box_share
from .arrivals import is_far_above_mean
from .brittleness import has_place
from .brittleness import is_brittle
from .worker_speed import time_factor

LEAD_MS = 50.0
"""A worker may hold as many requests beyond its slots as it begins within this time, in
ms, so that it is never idle while reports travel."""

MIN_LEAD_FRACTION, MAX_LEAD_FRACTION = 0.25, 0.5
"""Least and most of such requests, as fractions of the slots. Boxes do not know of each
other's requests at once, and workers queue only a few."""

ANSWERED_REQUESTS = 1
"""Requests that a report may count though they have ended: the one that it answers. If
they counted against an organisation over its share, it would leave a slot of each
worker idle."""

SHARE_HALF_LIFE_MS = 400.0
"""Half-life of the weight of other boxes' requests in a report while this box holds
less than its share of the room, in ms."""

FULL_HALF_LIFE_MS = 5_000.0
"""Half-life of that weight once this box holds its share, in ms: about the time of a
few answers, after which nothing is known of the worker."""

FULL_FACTOR = 2
"""Least number of requests that a worker is believed to hold once it turned one away as
full, as a multiple of its slots."""

MIN_WORK_MS = 1.0
"""Shortest time of work that a rate of starts is computed from, in ms."""


class ServiceRoom(msgspec.Struct, frozen=True):
    """What is believed of the room of the workers that may take a request.

    Attributes
    ----------
    full : frozenset of str
        Workers without room.
    has_room : bool
        Whether any of the workers has room.
    work_ms : float
        Usual time of the request's work at these workers, in ms; 0 if it is unknown.
    lead_ms : float
        Longest time that it waits at a worker that has room, in ms.
    starts_per_ms : float
        Requests that workers begin for this box in a ms; 0 if it is unknown or not
        needed, as there is room and nothing waits.
    """

    full: frozenset[WorkerId]
    has_room: bool
    work_ms: float
    lead_ms: float
    starts_per_ms: float


def others_requests(row: WorkerRow, now: Millis, half_life_ms: float) -> float:
    """Return the number of other boxes' requests at a worker, by its last report."""
    if not row.others:
        return 0.0
    weight: float = 0.5 ** (max(0, now - row.others_at) / half_life_ms)
    return row.others * weight


def request_bound(row: WorkerRow, work_ms: float) -> float:
    """Return how many requests a worker may hold with the next one."""
    lead = LEAD_MS / work_ms if work_ms > 0.0 else MAX_LEAD_FRACTION
    return row.slots * (1.0 + min(MAX_LEAD_FRACTION, max(MIN_LEAD_FRACTION, lead)))


def record_full(row: WorkerRow, now: Millis) -> None:
    """Record that a worker turned a request away as full.

    It is believed to hold more than its slots, whatever it reports.
    """
    held = max(row.reported, FULL_FACTOR * row.slots)
    row.others = max(0, held - row.inflight)
    row.others_at = now


def find_room(
    fleet: Fleet,
    rows: list[WorkerRow],
    work_ms: float,
    now: Millis,
    *,
    free_slots_only: bool,
    over_share: bool = False,
) -> ServiceRoom:
    """Return what is believed of the room of workers that accept a request.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    rows : list of WorkerRow
        The workers; at least one.
    work_ms : float
        Usual time of the request's work, in ms; 0 if it is unknown.
    now : int
        The time, in ms.
    free_slots_only : bool
        Whether only a free slot counts as room: for a request that a worker turned away
        as full, because each arrival that is turned away uses up retry budget.
    over_share : bool
        Whether the request is one of an organisation over its share. It gets free slots
        only, so that others find places at workers.
    """
    times = [work_ms * time_factor(row, now) for row in rows]
    if free_slots_only:
        bounds = [float(row.slots) for row in rows]
    else:
        bounds = [
            request_bound(row, took) for row, took in zip(rows, times, strict=True)
        ]
    if over_share:
        bounds = [
            min(bound, row.slots + ANSWERED_REQUESTS)
            for row, bound in zip(rows, bounds, strict=True)
        ]
    service = rows[0].service
    part = box_share(fleet, service, now)
    own = sum(row.inflight for row in rows)
    has_share = own >= part * sum(bounds) and not is_far_above_mean(fleet, service, now)
    half_life_ms = FULL_HALF_LIFE_MS if has_share else SHARE_HALF_LIFE_MS
    full = frozenset(
        row.name
        for row, bound in zip(rows, bounds, strict=True)
        if row.inflight + others_requests(row, now, half_life_ms) + 1 > bound
        or not has_place(fleet, row, now)
    )
    has_room = len(full) < len(rows)
    scarce = work_ms > 0.0 and (not has_room or fleet.wait_list.count > 0)
    fastest_ms = min(times)
    return ServiceRoom(
        full=full,
        has_room=has_room,
        work_ms=fastest_ms,
        lead_ms=MAX_LEAD_FRACTION * fastest_ms,
        starts_per_ms=_starts_per_ms(rows, times, part, now) if scarce else 0.0,
    )


def has_free_slots_everywhere(fleet: Fleet, service: ServiceId) -> bool:
    """Return whether all workers of a service are believed to have a free slot."""
    return all(
        row.inflight + row.others < row.slots and not is_brittle(row)
        for row in fleet.workers.find_capable(service, None)
    )


def _starts_per_ms(
    rows: list[WorkerRow], times: list[float], part: float, now: Millis
) -> float:
    """Return the rate at which workers begin requests of this box, in 1/ms.

    It is the room that other boxes leave by the last reports, and at least this box's
    `part` of the room.
    """
    rate = 0.0
    for row, took in zip(rows, times, strict=True):
        left = row.slots - others_requests(row, now, FULL_HALF_LIFE_MS)
        rate += max(part * row.slots, left) / max(MIN_WORK_MS, took)
    return rate
