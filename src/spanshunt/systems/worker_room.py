"""Room of workers for plain requests, by their reports and this box's own requests.

A worker has room while it holds fewer requests than it can begin within a short time.
The requests of this box there are counted exactly. Those of other boxes are known from
the worker's last report, which counts for less the older it is. It counts for longer
where this box already holds its even share of the room, so that boxes with old reports
do not all fill the same workers.
"""

import msgspec

from ..ids import Millis
from ..ids import WorkerId
from ..tables.fleet import Fleet
from ..tables.workers import WorkerRow
from .fleet_size import box_count
from .worker_speed import time_factor

LEAD_MS = 50.0
"""A worker may hold as many requests beyond its slots as it begins within this time, in
ms, so that it is never idle while reports travel."""

MAX_LEAD_FRACTION = 0.5
"""Most of such requests, as a fraction of the slots: workers queue only a few."""

SHARE_HALF_LIFE_MS = 400.0
"""Half-life of the weight of other boxes' requests in a report while this box holds
less than its even share of the room, in ms."""

FULL_HALF_LIFE_MS = 5_000.0
"""The same once this box holds its share, in ms: about the time of a few answers, after
which nothing is known of the worker."""

FULL_FACTOR = 2
"""Requests that a worker that turns one away as full is believed to hold at least, as a
multiple of its slots."""

MIN_WORK_MS = 1.0
"""Shortest time of work that is reckoned with, in ms."""


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
        Requests that workers begin for this box in a ms; 0 if it is unknown.
    """

    full: frozenset[WorkerId]
    has_room: bool
    work_ms: float
    lead_ms: float
    starts_per_ms: float


def others_requests(row: WorkerRow, now: Millis, half_life_ms: float) -> float:
    """Return the number of other boxes' requests at a worker, by its last report.

    A report comes with an answer, and need not count the request that it answers, which
    this box still counted then. The request is therefore taken to be another box's.
    """
    if not row.reported_at:
        return 0.0
    others = max(0, row.reported - max(0, row.own_inflight_at_report - 1))
    weight: float = 0.5 ** (max(0, now - row.reported_at) / half_life_ms)
    return others * weight


def has_free_slot(row: WorkerRow, now: Millis) -> bool:
    """Return whether a worker begins a request at once that is sent to it now."""
    held = row.inflight + others_requests(row, now, FULL_HALF_LIFE_MS)
    return held <= row.slots


def request_bound(row: WorkerRow, work_ms: float) -> float:
    """Return how many requests a worker may hold while it has room for another."""
    if work_ms <= 0.0:
        return row.slots * (1.0 + MAX_LEAD_FRACTION)
    return row.slots * (1.0 + min(MAX_LEAD_FRACTION, LEAD_MS / work_ms))


def record_full(row: WorkerRow, now: Millis) -> None:
    """Record that a worker turned a request away as full.

    It is believed to hold more than its slots, whatever it reports.
    """
    row.reported = max(row.reported, FULL_FACTOR * row.slots + row.inflight)
    row.own_inflight_at_report = row.inflight
    row.reported_at = now


def find_room(
    fleet: Fleet,
    rows: list[WorkerRow],
    work_ms: float,
    now: Millis,
    *,
    free_slots_only: bool,
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
        as full, because each arrival that is turned away uses up retry budget, and for
        one of an organisation over its share, so that others find places at workers.
    """
    times = {row.name: work_ms * time_factor(row, now) for row in rows}
    bounds = {
        row.name: float(row.slots)
        if free_slots_only
        else request_bound(row, times[row.name])
        for row in rows
    }
    share = sum(bounds.values()) / box_count(fleet)
    own = sum(row.inflight for row in rows)
    half_life_ms = SHARE_HALF_LIFE_MS if own < share else FULL_HALF_LIFE_MS
    full = frozenset(
        row.name
        for row in rows
        if row.inflight + others_requests(row, now, half_life_ms) >= bounds[row.name]
    )
    fastest_ms = min(times.values())
    return ServiceRoom(
        full=full,
        has_room=len(full) < len(rows),
        work_ms=fastest_ms,
        lead_ms=MAX_LEAD_FRACTION * fastest_ms,
        starts_per_ms=_starts_per_ms(fleet, rows, times, now) if work_ms else 0.0,
    )


def _starts_per_ms(
    fleet: Fleet, rows: list[WorkerRow], times: dict[WorkerId, float], now: Millis
) -> float:
    """Return the rate at which workers begin requests of this box, in 1/ms.

    It is the room that other boxes leave by the last reports, and at least this box's
    even share.
    """
    boxes, rate = box_count(fleet), 0.0
    for row in rows:
        left = row.slots - others_requests(row, now, FULL_HALF_LIFE_MS)
        rate += max(row.slots / boxes, left) / max(MIN_WORK_MS, times[row.name])
    return rate
